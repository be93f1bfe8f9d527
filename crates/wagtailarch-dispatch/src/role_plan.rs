//! How many engines read prompts and how many generate.

use std::{collections::HashMap, time::Duration};

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, Role, ZoneName};

/// Smallest share of engines that generate.
///
/// Generating takes an engine about 8 ms a token for all its requests together, while a prompt token
/// takes it 0.03 ms alone: with the mixes of both sites, one engine in five generates with less than
/// a sixth of its slots.
const MIN_GENERATING_SHARE: f64 = 0.33;
/// Requests that one generating engine is meant to run at most; more slow each other noticeably.
const RUNNING_PER_ENGINE: f64 = 40.0;
/// Mean wait at the engines that read, beyond which more of them are wanted while requests are served.
///
/// Half of the shortest objective of the measured sites is 200 ms; a quarter leaves time for the change.
const READ_WAIT: Duration = Duration::from_millis(100);
/// Engines for each entry instance up to which a fleet is arranged before requests arrive.
///
/// The demand is not known then. An entry instance is sized for the traffic that it brings: the four
/// measured deployments, all of which lacked engines that read, have 0.8 to 2.3 engines an instance. In
/// a sweep with ten an instance none lacked, and orders cost more than everything else together.
const EARLY_ENGINES_PER_INSTANCE: usize = 3;
/// Engines of a service for each engine that changes at a time while requests are served.
const ENGINES_PER_CHANGE: usize = 100;
/// Time for which no engine may join or leave before a fleet is arranged while no requests arrive.
///
/// Engines that register one after the other look like a small fleet at first. Watches pause for up to
/// half of their bound between two looks, and the news of 3,000 servers take another second.
const SETTLED_FOR: Duration = Duration::from_secs(3);
/// Time for which engines must lack a role before an engine is changed while requests are served.
///
/// A crashed engine is back within a few seconds, and a change takes an engine away for three.
const LACKING_FOR: Duration = Duration::from_secs(6);
/// Generating engines beyond those wanted that are left as they are while requests are served; a
/// change costs three seconds of an engine.
const SERVING_SLACK: usize = 1;
/// Time after an order in which the same engine gets no other one.
const REST: Duration = Duration::from_secs(8);

/// Decides which engines of a service change their role.
#[derive(Debug, Default)]
pub struct RolePlan {
    /// Number of engines.
    engines: usize,
    /// Since when there are as many.
    unchanged_since: Duration,
    /// Since when changes have been needed.
    lacking_since: Option<Duration>,
    /// When each engine was last given an order.
    ordered: HashMap<InstanceId, Duration>,
}

/// What is asked of the engines of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoleDemand {
    /// Requests that generate.
    pub running: u32,
    /// Mean wait of a prompt at the engines that read.
    pub prefill_wait: Duration,
}

/// What a [`RolePlan`] knows beside the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolePlanInput {
    /// What is asked of the engines.
    pub demand: RoleDemand,
    /// Whether requests arrive at present.
    pub serving: bool,
    /// Entry instances.
    pub instances: usize,
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
    /// While requests arrive a lack has to last, and few engines change at a time.
    pub fn changes(
        &mut self,
        now: Duration,
        engines: &[PlannedEngine],
        situation: &RolePlanInput,
    ) -> Vec<RoleChange> {
        if self.engines != engines.len() {
            self.engines = engines.len();
            self.unchanged_since = now;
        }
        let settled = now.saturating_sub(self.unchanged_since) >= SETTLED_FOR;
        if !situation.serving && !settled {
            return Vec::new();
        }
        let mut due = due_changes(engines, situation);
        if due.is_empty() {
            self.lacking_since = None;
            return due;
        }
        let since = *self.lacking_since.get_or_insert(now);
        if situation.serving {
            if now.saturating_sub(since) < LACKING_FOR {
                return Vec::new();
            }
            self.lacking_since = None;
        }
        due.retain(|change| self.rested(now, &change.engine));
        for change in &due {
            self.ordered.insert(change.engine.clone(), now);
        }
        due
    }

    fn rested(&self, now: Duration, engine: &InstanceId) -> bool {
        let ordered = self.ordered.get(engine);
        ordered.is_none_or(|&at| now.saturating_sub(at) >= REST)
    }
}

/// Returns the changes that the situation asks for: few while requests arrive, all of them before.
fn due_changes(engines: &[PlannedEngine], situation: &RolePlanInput) -> Vec<RoleChange> {
    let by_share = (engines.len() as f64 * MIN_GENERATING_SHARE).ceil() as usize;
    let by_demand = (f64::from(situation.demand.running) / RUNNING_PER_ENGINE).ceil() as usize;
    let wanted = by_share.max(by_demand);
    let at_a_time = (engines.len() / ENGINES_PER_CHANGE).max(1);
    let expected_busy = situation.instances * EARLY_ENGINES_PER_INSTANCE;
    let (most, limit) = match situation.serving {
        // Engines that generate are left as they are while prompts are read without delay.
        true if situation.demand.prefill_wait < READ_WAIT => (engines.len(), at_a_time),
        true => (wanted + SERVING_SLACK, at_a_time),
        false if engines.len() > expected_busy => (engines.len(), usize::MAX),
        false => (wanted, usize::MAX),
    };
    let mut planned = engines.to_vec();
    let mut due = Vec::new();
    while due.len() < limit {
        let Some(change) = next_change(&planned, wanted, most) else {
            break;
        };
        let engine = planned.iter_mut().find(|engine| engine.id == change.engine);
        if let Some(engine) = engine {
            engine.role = change.role;
        }
        due.push(change);
    }
    due
}

/// Returns the next change towards `wanted` to `most` generating engines, if one is needed.
///
/// A zone serves alone while it is cut off, so that one with two engines keeps both roles. Otherwise
/// only the number in all zones counts, so that a server that joins or leaves moves no others.
fn next_change(engines: &[PlannedEngine], wanted: usize, most: usize) -> Option<RoleChange> {
    let mut zones: IndexMap<&ZoneName, Vec<&PlannedEngine>> = IndexMap::new();
    for engine in engines {
        zones.entry(&engine.zone).or_default().push(engine);
    }
    zones.sort_keys();
    for members in zones.values() {
        let generating = generating(members);
        if members.len() >= 2 && generating == 0 {
            return change(members, Role::Decode);
        }
        if members.len() >= 2 && generating == members.len() {
            return change(members, Role::Prefill);
        }
    }
    let total = engines.iter().filter(|engine| generates(engine)).count();
    // Both roles remain in each zone that gives an engine up.
    let zones = zones.values().filter(|members| members.len() >= 2);
    if total < wanted {
        let open = zones.filter(|members| generating(members) + 1 < members.len());
        let zone = open.max_by_key(|members| members.len() * 1_000 / generating(members))?;
        return change(zone, Role::Decode);
    }
    if total > most {
        let open = zones.filter(|members| generating(members) > 1);
        let zone = open.min_by_key(|members| members.len() * 1_000 / generating(members))?;
        return change(zone, Role::Prefill);
    }
    None
}

/// Gives one of the engines of a zone another role: the first that does not have it.
fn change(members: &[&PlannedEngine], role: Role) -> Option<RoleChange> {
    let others = members
        .iter()
        .filter(|engine| generates(engine) != (role == Role::Decode));
    let engine = others.min_by(|a, b| a.id.cmp(&b.id))?;
    Some(RoleChange {
        engine: engine.id.clone(),
        role,
    })
}

fn generating(members: &[&PlannedEngine]) -> usize {
    members.iter().filter(|engine| generates(engine)).count()
}

fn generates(engine: &PlannedEngine) -> bool {
    engine.role != Role::Prefill
}
