//! Checks of the whole file: zones, policy, models, groups, minimums and duplicate names. Starts
//! those of services and teams.

use std::collections::{HashMap, HashSet};

use smol_str::SmolStr;

use crate::check_services::check_services;
use crate::check_teams::check_teams;
use crate::draft::{
    BoundsDraft, Draft, FleetDraft, GroupDraft, ModelDraft, PolicyDraft, RolesDraft,
};
use crate::reader::Field;
use crate::schema::{MAX_ENGINES, MAX_ZONES};
use crate::sink::{Sink, Span};

/// Permitted difference between the sum of the weights and 1.
///
/// Sums of decimal fractions such as 0.7 and 0.3 are subject to rounding.
const WEIGHT_SUM_TOLERANCE: f64 = 1e-6;

/// Checks the values of a file for contradictions and reports them.
pub(crate) fn check(sink: &mut Sink<'_>, draft: &FleetDraft) {
    check_zones(sink, draft);
    if let Some(policy) = &draft.policy {
        check_weights(sink, policy);
    }
    report_duplicates(sink, "model", draft.models.iter().map(|model| &model.name));
    report_duplicates(sink, "group", draft.groups.iter().map(|group| &group.name));
    report_duplicates(
        sink,
        "service",
        draft.services.iter().map(|service| &service.name),
    );
    report_duplicates(sink, "team", draft.teams.iter().map(|team| &team.name));
    let models = index_by_name(&draft.models, |model| &model.name);
    for group in &draft.groups {
        check_group(sink, group, &models);
    }
    check_total_minimum(sink, draft);
    check_services(sink, draft);
    check_teams(sink, draft);
}

/// Indexes items by name; if several have the same name, the first is kept.
pub(crate) fn index_by_name<'d, T>(
    items: &'d [T],
    name: impl Fn(&'d T) -> &'d Draft<SmolStr>,
) -> HashMap<&'d str, &'d T> {
    let mut index = HashMap::new();
    for item in items {
        if let Some(field) = name(item) {
            index.entry(field.value.as_str()).or_insert(item);
        }
    }
    index
}

/// Reports a reference to a name that is not among the `defined` ones, and suggests a similar name.
pub(crate) fn report_unresolved<T>(
    sink: &mut Sink<'_>,
    kind: &str,
    reference: &Field<SmolStr>,
    defined: &HashMap<&str, T>,
) {
    if sink.is_full() {
        // This finding is only counted, so the slow search for similar names is skipped.
        sink.report(&reference.span, "", "");
        return;
    }
    let similar = defined
        .keys()
        .map(|name| (strsim::damerau_levenshtein(name, &reference.value), *name))
        .filter(|(distance, _)| *distance <= 2)
        .min();
    let hint = match similar {
        Some((_, name)) => format!("did you mean {name:?}?"),
        None => format!("add a [[{kind}]] with this name, or correct the reference"),
    };
    let message = format!("there is no {kind} {:?}", reference.value.as_str());
    sink.report(&reference.span, message, hint);
}

/// Reports names that occur more than once among the tables of a kind.
fn report_duplicates<'d>(
    sink: &mut Sink<'_>,
    kind: &str,
    names: impl Iterator<Item = &'d Draft<SmolStr>>,
) {
    let mut first_spans: HashMap<&str, &Span> = HashMap::new();
    for field in names.flatten() {
        let Some(span) = first_spans.get(field.value.as_str()) else {
            first_spans.insert(&field.value, &field.span);
            continue;
        };
        let line = sink.line(span);
        let message = format!("duplicate {kind} {:?}", field.value.as_str());
        sink.report(
            &field.span,
            message,
            format!("rename one; the first is in line {line}"),
        );
    }
}

/// Checks the number of availability zones.
fn check_zones(sink: &mut Sink<'_>, draft: &FleetDraft) {
    let zones = draft
        .section
        .as_ref()
        .and_then(|section| section.zones.as_ref());
    let Some(first_excess) = zones.and_then(|zones| zones.get(MAX_ZONES)) else {
        return;
    };
    let message = format!("there are more than {MAX_ZONES} zones");
    sink.report(&first_excess.span, message, "remove zones");
}

/// Checks that the weights sum to 1.
fn check_weights(sink: &mut Sink<'_>, policy: &PolicyDraft) {
    let (Some(goodput), Some(role_change)) = (&policy.goodput_weight, &policy.role_change_weight)
    else {
        return;
    };
    let sum = goodput.value + role_change.value;
    if (sum - 1.0).abs() <= WEIGHT_SUM_TOLERANCE {
        return;
    }
    let message = format!("goodput_weight and role_change_weight sum to {sum}, not to 1");
    let hint = format!(
        "for instance role_change_weight = {:.3}",
        1.0 - goodput.value
    );
    sink.report(&role_change.span, message, hint);
}

/// Checks the role bounds of a group, and that its model, version and adapters are defined.
fn check_group(sink: &mut Sink<'_>, group: &GroupDraft, models: &HashMap<&str, &ModelDraft>) {
    check_roles(sink, &group.roles);
    let Some(reference) = &group.model else {
        return;
    };
    let Some(model) = models.get(reference.value.as_str()) else {
        report_unresolved(sink, "model", reference, models);
        return;
    };
    let versions = group.version.iter();
    check_model_entries(
        sink,
        "version",
        reference,
        versions,
        model.versions.as_deref(),
    );
    let adapters = group.adapters.iter().flatten();
    // A model without the key has no adapters. An invalid list has already been reported.
    check_model_entries(
        sink,
        "adapter",
        reference,
        adapters,
        model.adapters.as_deref().or(Some(&[])),
    );
}

/// Checks that the referenced versions or adapters belong to the model.
fn check_model_entries<'d>(
    sink: &mut Sink<'_>,
    kind: &str,
    model: &Field<SmolStr>,
    references: impl Iterator<Item = &'d Field<SmolStr>>,
    entries: Option<&[Field<SmolStr>]>,
) {
    let Some(entries) = entries else {
        return;
    };
    let names: Vec<&str> = entries.iter().map(|entry| entry.value.as_str()).collect();
    for reference in references {
        if names.contains(&reference.value.as_str()) {
            continue;
        }
        let (name, model) = (reference.value.as_str(), model.value.as_str());
        let message = format!("model {model:?} has no {kind} {name:?}");
        let hint = match names.is_empty() {
            true => format!("add it to {kind}s of the model"),
            false => format!("it has {}", names.join(", ")),
        };
        sink.report(&reference.span, message, hint);
    }
}

/// Checks that no minimum is above its maximum, and that the bounds permit engines that decode.
fn check_roles(sink: &mut Sink<'_>, roles: &RolesDraft) {
    for bounds in [&roles.prefill, &roles.decode, &roles.mixed]
        .into_iter()
        .flatten()
    {
        let (Some(min), Some(max)) = (&bounds.min, &bounds.max) else {
            continue;
        };
        if min.value <= max.value {
            continue;
        }
        let message = format!("min = {} is above max = {}", min.value, max.value);
        sink.report(&min.span, message, "lower min or raise max");
    }
    let permits_no_engine = |bounds: &Option<BoundsDraft>| {
        let max = bounds.as_ref().and_then(|bounds| bounds.max.as_ref());
        max.is_some_and(|max| max.value == 0)
    };
    if !permits_no_engine(&roles.decode) || !permits_no_engine(&roles.mixed) {
        return;
    }
    let message = "no engine can decode: max is 0 for decode and for mixed";
    sink.report(&roles.span, message, "raise max of decode or of mixed");
}

/// Checks that the role bounds do not require more engines than a fleet can have.
///
/// Only the first group that exceeds the limit is reported.
fn check_total_minimum(sink: &mut Sink<'_>, draft: &FleetDraft) {
    let zones = draft
        .section
        .as_ref()
        .and_then(|section| section.zones.as_ref());
    let Some(zones) = zones else {
        return;
    };
    let zone_names: HashSet<&str> = zones.iter().map(|zone| zone.value.as_str()).collect();
    let mut total_min = 0;
    for group in &draft.groups {
        let roles = [
            &group.roles.prefill,
            &group.roles.decode,
            &group.roles.mixed,
        ];
        let mut group_min = 0;
        for min in roles
            .into_iter()
            .flatten()
            .filter_map(|bounds| bounds.min.as_ref())
        {
            group_min += u64::from(min.value);
        }
        let previous_total = total_min;
        total_min += group_min * zone_names.len() as u64;
        if previous_total > MAX_ENGINES || total_min <= MAX_ENGINES {
            continue;
        }
        let message = format!(
            "no fleet can meet the role bounds: up to this group they demand {total_min} engines in \
             {} zones",
            zone_names.len()
        );
        let hint = format!("lower min of the roles; a fleet has at most {MAX_ENGINES} engines");
        sink.report(&group.span, message, hint);
    }
}
