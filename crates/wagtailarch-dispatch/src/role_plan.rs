//! How many engines read prompts and how many generate.

use std::{collections::HashMap, time::Duration};

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, Role, ZoneName, rendezvous_weight};

/// Smallest share of engines that generate.
///
/// Generating takes an engine about 8 ms a token for all its requests together, while a prompt token
/// takes it 0.03 ms alone: with the mixes of both sites, one engine in five generates with less than
/// a sixth of its slots.
const MIN_GENERATING_SHARE: f64 = 0.33;
/// Requests that one generating engine is meant to run at most; more slow each other noticeably.
const RUNNING_PER_ENGINE: f64 = 40.0;
/// Time for which engines must lack a role before an engine is changed while requests are served.
///
/// A crashed engine is back within a few seconds, and a change takes an engine away for three.
const LACKING_FOR: Duration = Duration::from_secs(6);
/// Time after an order in which the same engine gets no other one.
const REST: Duration = Duration::from_secs(8);

/// Decides which engines of a service change their role.
#[derive(Debug, Default)]
pub struct RolePlan {
    /// Since when each zone has lacked changes.
    lacking: HashMap<ZoneName, Duration>,
    /// When each engine was last given an order.
    ordered: HashMap<InstanceId, Duration>,
}

/// One engine for a [`RolePlan`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedEngine {
    /// Identifier.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Present role.
    pub role: Role,
}

/// A change of role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Engine.
    pub engine: InstanceId,
    /// New role.
    pub role: Role,
}

impl RolePlan {
    /// Returns the changes that are due and notes them as ordered.
    ///
    /// `running` is the number of requests that generate; `serving` tells whether requests arrive, in
    /// which case a lack has to last and one engine of a zone changes at a time.
    pub fn changes(
        &mut self,
        now: Duration,
        engines: &[PlannedEngine],
        running: u32,
        serving: bool,
    ) -> Vec<RoleChange> {
        let mut zones: IndexMap<&ZoneName, Vec<&PlannedEngine>> = IndexMap::new();
        for engine in engines {
            zones.entry(&engine.zone).or_default().push(engine);
        }
        let by_share = engines.len() as f64 * MIN_GENERATING_SHARE;
        let by_demand = f64::from(running) / RUNNING_PER_ENGINE;
        let wanted = by_share.max(by_demand).ceil();
        zones.sort_keys();
        let sizes: Vec<_> = zones.values().map(Vec::len).collect();
        let wanted = divide(wanted as usize, &sizes);
        let mut changes = Vec::new();
        for ((zone, members), wanted) in zones.into_iter().zip(wanted) {
            let mut due = zone_changes(&members, wanted);
            if due.is_empty() {
                self.lacking.remove(zone);
                continue;
            }
            let since = *self.lacking.entry(zone.clone()).or_insert(now);
            if serving {
                if now.saturating_sub(since) < LACKING_FOR {
                    continue;
                }
                due.truncate(1);
            }
            due.retain(|change| self.rested(now, &change.engine));
            changes.append(&mut due);
        }
        for change in &changes {
            self.ordered.insert(change.engine.clone(), now);
        }
        changes
    }

    fn rested(&self, now: Duration, engine: &InstanceId) -> bool {
        let ordered = self.ordered.get(engine);
        ordered.is_none_or(|&at| now.saturating_sub(at) >= REST)
    }
}

/// Returns the member that gives orders to the engines of a service.
///
/// Instances that hear the same members agree; the claim of each engine covers the others.
pub fn is_steward<'a>(
    service: &str,
    instance: &InstanceId,
    mut members: impl Iterator<Item = &'a InstanceId>,
) -> bool {
    let key = xxhash_rust::xxh3::xxh3_64(service.as_bytes());
    let own = rendezvous_weight(key, instance);
    !members.any(|member| rendezvous_weight(key, member) > own)
}

/// Divides `wanted` generating engines among zones with the given numbers of engines.
///
/// A zone serves alone while it is cut off, so that it keeps both roles if it has two engines.
fn divide(wanted: usize, sizes: &[usize]) -> Vec<usize> {
    let total: usize = sizes.iter().sum();
    let bounds = |size: usize| match size {
        0 | 1 => (size, size),
        _ => (1, size - 1),
    };
    let mut parts: Vec<_> = sizes
        .iter()
        .map(|&size| {
            let (least, most) = bounds(size);
            (wanted * size / total.max(1)).clamp(least, most)
        })
        .collect();
    // The rest goes to the zones with the most engines for each one that generates.
    while parts.iter().sum::<usize>() < wanted {
        let open = (0..sizes.len()).filter(|&zone| parts[zone] < bounds(sizes[zone]).1);
        let load = |zone: usize| sizes[zone] * 1_000 / parts[zone].max(1);
        let Some(zone) = open.rev().max_by_key(|&zone| load(zone)) else {
            break;
        };
        parts[zone] += 1;
    }
    parts
}

/// Returns the changes that leave `wanted` engines of a zone generating.
fn zone_changes(members: &[&PlannedEngine], wanted: usize) -> Vec<RoleChange> {
    let (mut reading, mut generating): (Vec<&PlannedEngine>, Vec<&PlannedEngine>) = members
        .iter()
        .partition(|engine| engine.role == Role::Prefill);
    reading.sort_by(|a, b| a.id.cmp(&b.id));
    generating.sort_by(|a, b| a.id.cmp(&b.id));
    let change = |engines: &[&PlannedEngine], role| {
        let engines = engines.iter();
        engines
            .map(|engine| RoleChange {
                engine: engine.id.clone(),
                role,
            })
            .collect()
    };
    if generating.len() > wanted {
        return change(&generating[wanted..], Role::Prefill);
    }
    let missing = (wanted - generating.len()).min(reading.len());
    change(&reading[..missing], Role::Decode)
}
