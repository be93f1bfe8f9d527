//! Checks of services and routes.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::check::{index_by_name, report_unresolved};
use crate::draft::{FleetDraft, GroupDraft, ServiceDraft};
use crate::model::GroupKind;
use crate::reader::Field;
use crate::sink::Sink;

/// Prefixes of the paths that entry instances handle themselves.
const RESERVED_PREFIXES: &[&str] = &["/v1/", "/healthz/", "/readyz/", "/metrics/"];
/// Maximum length of a path or path prefix.
const MAX_PATH_BYTES: usize = 1_024;

/// Checks each service, its relation to its group, and that path prefixes do not overlap.
pub(crate) fn check_services(sink: &mut Sink<'_>, draft: &FleetDraft) {
    let groups = index_by_name(&draft.groups, |group| &group.name);
    for service in &draft.services {
        check_service(sink, service, &groups);
    }
    report_overlapping_prefixes(sink, &draft.services);
}

/// Checks the path prefix, the routes and the group of a service.
fn check_service(sink: &mut Sink<'_>, service: &ServiceDraft, groups: &HashMap<&str, &GroupDraft>) {
    if let Some(prefix) = &service.path_prefix {
        check_prefix(sink, prefix);
    }
    check_routes(sink, service);
    let Some(reference) = &service.group else {
        return;
    };
    let Some(group) = groups.get(reference.value.as_str()) else {
        report_unresolved(sink, "group", reference, groups);
        return;
    };
    match group.kind {
        Some(GroupKind::Engine) => check_model_service(sink, service, group),
        Some(GroupKind::Service) => check_plain_service(sink, service),
        None => {}
    }
}

/// Checks the keys and the model of a service of an engine group.
fn check_model_service(sink: &mut Sink<'_>, service: &ServiceDraft, group: &GroupDraft) {
    for (key, span) in [
        ("path_prefix", &service.path_prefix_key),
        ("route", &service.route_key),
    ] {
        if let Some(span) = span {
            let message = format!("a service of an engine group cannot have {key}");
            sink.report(
                span,
                message,
                "remove it; clients name the service as the model",
            );
        }
    }
    if service.model_key.is_none() {
        let hint = "add model with the model of the group";
        sink.report(
            &service.span,
            "a service of an engine group lacks the key model",
            hint,
        );
    }
    let (Some(model), Some(expected)) = (&service.model, &group.model) else {
        return;
    };
    if model.value == expected.value {
        return;
    }
    let (model, expected) = (model, expected.value.as_str());
    let message = format!(
        "the group serves model {expected:?}, not {:?}",
        model.value.as_str()
    );
    sink.report(
        &model.span,
        message,
        format!("write {expected:?} or choose another group"),
    );
}

/// Checks the keys of a service of a group of plain services.
fn check_plain_service(sink: &mut Sink<'_>, service: &ServiceDraft) {
    if let Some(span) = &service.model_key {
        let hint = "remove the key or choose an engine group";
        sink.report(
            span,
            "a service of a service group cannot have a model",
            hint,
        );
    }
    if service.path_prefix_key.is_none() {
        let hint = "add path_prefix, for instance \"/lids/\"";
        sink.report(
            &service.span,
            "a service of a service group lacks path_prefix",
            hint,
        );
    }
}

/// Checks that a path prefix is valid and not reserved.
fn check_prefix(sink: &mut Sink<'_>, prefix: &Field<SmolStr>) {
    let path = prefix.value.as_str();
    let has_outer_slashes = path.len() >= 2 && path.starts_with('/') && path.ends_with('/');
    if !has_outer_slashes || !is_plain_path(path) {
        let message = format!("path_prefix {path:?} is not a path prefix");
        let hint = "begin and end it with a slash, without empty, '.' or '..' segments, blanks, \
                    queries or escapes, for instance \"/lids/\"";
        sink.report(&prefix.span, message, hint);
        return;
    }
    for reserved in RESERVED_PREFIXES {
        if path.starts_with(reserved) {
            let message = format!("path_prefix {path:?} clashes with a path of entry instances");
            sink.report(&prefix.span, message, format!("{reserved} is reserved"));
        }
    }
}

/// Checks that routes have valid paths within the path prefix of their service and are distinct.
fn check_routes(sink: &mut Sink<'_>, service: &ServiceDraft) {
    let mut first_lines: HashMap<(&str, &str), usize> = HashMap::new();
    for route in &service.routes {
        let Some(path) = &route.path else {
            continue;
        };
        if !path.value.starts_with('/') || !is_plain_path(&path.value) {
            let message = format!("route path {:?} is not a path", path.value.as_str());
            let hint = "begin it with a slash, without empty, '.' or '..' segments, blanks, \
                        queries or escapes";
            sink.report(&path.span, message, hint);
            continue;
        }
        if let Some(prefix) = &service.path_prefix
            && !path.value.starts_with(prefix.value.as_str())
        {
            let (path_text, prefix) = (path.value.as_str(), prefix.value.as_str());
            let message = format!("route {path_text:?} is outside the path_prefix {prefix:?}");
            sink.report(&path.span, message, format!("begin the path with {prefix}"));
        }
        let Some(method) = &route.method else {
            continue;
        };
        let line = sink.line(&path.span);
        let key = (method.value.as_str(), path.value.as_str());
        let Some(first_line) = first_lines.get(&key) else {
            first_lines.insert(key, line);
            continue;
        };
        let message = format!("there are two routes {} {}", key.0, key.1);
        let hint = format!("remove one; the first is in line {first_line}");
        sink.report(&path.span, message, hint);
    }
}

/// Reports path prefixes that are equal to another one or contained in it.
fn report_overlapping_prefixes(sink: &mut Sink<'_>, services: &[ServiceDraft]) {
    let mut prefixes: Vec<&Field<SmolStr>> = Vec::new();
    for prefix in services
        .iter()
        .filter_map(|service| service.path_prefix.as_ref())
    {
        prefixes.push(prefix);
    }
    // After sorting, each prefix is directly followed by those that it contains.
    prefixes.sort_by_key(|prefix| (prefix.value.as_str(), prefix.span.start));
    let mut outer: Option<&Field<SmolStr>> = None;
    for prefix in prefixes {
        let Some(container) = outer.filter(|container| contains(&container.value, &prefix.value))
        else {
            outer = Some(prefix);
            continue;
        };
        let (text, container_text) = (prefix.value.as_str(), container.value.as_str());
        let message = format!("path_prefix {text:?} clashes with {container_text:?}");
        let line = sink.line(&container.span);
        let hint = format!("choose prefixes that do not contain each other; see line {line}");
        sink.report(&prefix.span, message, hint);
    }
}

/// Returns whether the path prefix `outer` equals or contains `inner`.
fn contains(outer: &str, inner: &str) -> bool {
    outer.ends_with('/') && inner.starts_with(outer)
}

/// Returns whether a path has only one spelling, so that paths can be compared as text.
fn is_plain_path(path: &str) -> bool {
    let permitted = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%' | '\\' | '"');
    let is_dot_segment = |segment: &str| matches!(segment, "." | "..");
    path.len() <= MAX_PATH_BYTES
        && path.chars().all(permitted)
        && !path.contains("//")
        && !path.split('/').any(is_dot_segment)
}
