//! Checks of policy, models and groups, and of names over the whole file.

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

/// Greatest deviation of the sum of the weights from 1, for decimal fractions as 0.7 + 0.3.
const WEIGHT_SUM_TOLERANCE: f64 = 1e-6;

/// Reports whatever contradicts another part of the file.
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
    let models = by_name(&draft.models, |model| &model.name);
    for group in &draft.groups {
        check_group(sink, group, &models);
    }
    check_engine_demand(sink, draft);
    check_services(sink, draft);
    check_teams(sink, draft);
}

/// Indexes items by name; the first of several with one name counts.
pub(crate) fn by_name<'d, T>(
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

/// Reports each reference that is not a key of `known`.
pub(crate) fn report_unresolved<T>(
    sink: &mut Sink<'_>,
    kind: &str,
    reference: &Field<SmolStr>,
    known: &HashMap<&str, T>,
) {
    if sink.is_full() {
        // The search for similar names is slow beside a finding that is only counted.
        sink.report(&reference.span, "", "");
        return;
    }
    let similar = known
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

fn report_duplicates<'d>(
    sink: &mut Sink<'_>,
    kind: &str,
    names: impl Iterator<Item = &'d Draft<SmolStr>>,
) {
    let mut first: HashMap<&str, &Span> = HashMap::new();
    for field in names.flatten() {
        let Some(span) = first.get(field.value.as_str()) else {
            first.insert(&field.value, &field.span);
            continue;
        };
        let line = sink.line(span);
        let message = format!("there are two of {kind} {:?}", field.value.as_str());
        sink.report(
            &field.span,
            message,
            format!("rename one; the first is in line {line}"),
        );
    }
}

fn check_zones(sink: &mut Sink<'_>, draft: &FleetDraft) {
    let zones = draft
        .section
        .as_ref()
        .and_then(|section| section.zones.as_ref());
    let Some(surplus) = zones.and_then(|zones| zones.get(MAX_ZONES)) else {
        return;
    };
    let message = format!("there are more than {MAX_ZONES} zones");
    sink.report(&surplus.span, message, "remove zones");
}

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
    check_members(
        sink,
        "version",
        reference,
        versions,
        model.versions.as_deref(),
    );
    let adapters = group.adapters.iter().flatten();
    // A model without the key has no adapters; one with an unusable list was reported already.
    check_members(
        sink,
        "adapter",
        reference,
        adapters,
        model.adapters.as_deref().or(Some(&[])),
    );
}

fn check_members<'d>(
    sink: &mut Sink<'_>,
    kind: &str,
    model: &Field<SmolStr>,
    references: impl Iterator<Item = &'d Field<SmolStr>>,
    members: Option<&[Field<SmolStr>]>,
) {
    let Some(members) = members else {
        return;
    };
    let names: Vec<&str> = members.iter().map(|member| member.value.as_str()).collect();
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
    let is_closed = |bounds: &Option<BoundsDraft>| {
        let max = bounds.as_ref().and_then(|bounds| bounds.max.as_ref());
        max.is_some_and(|max| max.value == 0)
    };
    if !is_closed(&roles.decode) || !is_closed(&roles.mixed) {
        return;
    }
    let message = "no engine may generate: max is 0 for decode and for mixed";
    sink.report(&roles.span, message, "raise max of decode or of mixed");
}

/// Reports bounds that demand more engines than any fleet has.
fn check_engine_demand(sink: &mut Sink<'_>, draft: &FleetDraft) {
    let zones = draft
        .section
        .as_ref()
        .and_then(|section| section.zones.as_ref());
    let Some(zones) = zones else {
        return;
    };
    let zone_names: HashSet<&str> = zones.iter().map(|zone| zone.value.as_str()).collect();
    let mut demand = 0;
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
        let before = demand;
        demand += group_min * zone_names.len() as u64;
        if before > MAX_ENGINES || demand <= MAX_ENGINES {
            continue;
        }
        let message = format!(
            "no fleet can meet the role bounds: up to this group they demand {demand} engines in \
             {} zones",
            zone_names.len()
        );
        let hint = format!("lower min of the roles; a fleet has at most {MAX_ENGINES} engines");
        sink.report(&group.span, message, hint);
    }
}
