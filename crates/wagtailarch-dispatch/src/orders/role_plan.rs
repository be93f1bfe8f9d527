//! Assignment of the prefill and decode roles to the engines of a service.
//!
//! It serves the entry instance on the users' platform; the planner in `wagtailarch-control` is the
//! counterpart for the instance of `wagtailarch-entry` and follows other rules.

use std::{collections::HashMap, time::Duration};

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, Role, ZoneName};

/// Minimum share of decode engines.
///
/// A decode step takes about 8 ms for all requests of an engine together, while each prompt token
/// takes 0.03 ms on its own. With usual request mixes, a share of one engine in five would use less
/// than a sixth of its decode slots, so a third has a margin.
const MIN_DECODE_SHARE: f64 = 0.33;
/// Maximum number of requests that a decode engine is planned for; more slow each other down
/// noticeably.
const MAX_RUNNING_PER_ENGINE: f64 = 40.0;
/// Mean wait at the prefill engines above which more of them are needed while requests are served.
///
/// A quarter of the shortest common objective, 400 ms, so that a shortage is detected while prompts
/// still meet it. A change takes much longer: it starts after `MIN_IMBALANCE_TIME` and makes the
/// engine unavailable for three seconds.
const MAX_PREFILL_WAIT: Duration = Duration::from_millis(100);
/// Number of engines for each entry instance up to which roles are assigned before requests arrive.
///
/// The demand is unknown at that time, but entry instances are sized for the traffic they bring.
/// Deployments with 0.8 to 2.3 engines for each instance lacked prefill engines. With ten, none
/// lacked them, and the cost of the orders exceeded all other costs together.
const MAX_PREASSIGNED_ENGINES_PER_INSTANCE: usize = 3;
/// While requests are served, at most one engine of a service in this many, but at least one
/// engine, changes its role at the same time.
const ENGINES_PER_CONCURRENT_CHANGE: usize = 100;
/// Time for which the number of engines must be unchanged before roles are assigned while no
/// requests arrive.
///
/// Engines that register one after the other look like a small fleet at first. After each update, a
/// watch pauses for half of the time within which changes must be applied, and the updates of 3,000
/// servers take another second. An engine that joins while another leaves does not restart the
/// time.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time for which the roles must be imbalanced before an engine changes its role while requests are
/// served.
///
/// A crashed engine is back within a few seconds, and a change makes an engine unavailable for
/// three seconds.
const MIN_IMBALANCE_TIME: Duration = Duration::from_secs(6);
/// Number of surplus decode engines that keep their role while requests are served; a change makes
/// an engine unavailable for three seconds.
const DECODE_SURPLUS: usize = 1;
/// Time after an order within which the same engine receives no other order.
const ORDER_COOLDOWN: Duration = Duration::from_secs(8);

/// Selects the engines of a service that change their role.
#[derive(Debug, Default)]
pub struct RolePlan {
    /// Number of engines.
    engines: usize,
    /// Time since which the number of engines is unchanged.
    unchanged_since: Duration,
    /// Time since which changes have been needed.
    imbalanced_since: Option<Duration>,
    /// Time of the last order for each engine.
    last_orders: HashMap<InstanceId, Duration>,
}

/// The demand on the engines of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoleDemand {
    /// Number of requests that are being decoded.
    pub running: u32,
    /// Mean predicted wait at the prefill engines of a prompt with
    /// [`Urgency::Late`](crate::Urgency::Late).
    pub late_wait: Duration,
}

/// The input of a [`RolePlan`] besides the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolePlanInput {
    /// Demand on the engines.
    pub demand: RoleDemand,
    /// Whether requests arrive at present.
    pub serving: bool,
    /// Number of entry instances.
    pub instances: usize,
}

/// An engine in a [`RolePlan`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedEngine {
    /// Identifier.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Current role.
    pub role: Role,
}

/// A change of an engine's role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Identifier of the engine.
    pub engine: InstanceId,
    /// New role.
    pub role: Role,
}

impl RolePlan {
    /// Returns the changes that are due and records them as ordered.
    ///
    /// While requests arrive, an imbalance must last for some time, and few engines change at the
    /// same time.
    pub fn changes(
        &mut self,
        now: Duration,
        engines: &[PlannedEngine],
        input: &RolePlanInput,
    ) -> Vec<RoleChange> {
        if self.engines != engines.len() {
            self.engines = engines.len();
            self.unchanged_since = now;
        }
        let settled = now.saturating_sub(self.unchanged_since) >= SETTLING_TIME;
        if !input.serving && !settled {
            return Vec::new();
        }
        let mut due = due_changes(engines, input);
        if due.is_empty() {
            self.imbalanced_since = None;
            return due;
        }
        let since = *self.imbalanced_since.get_or_insert(now);
        if input.serving {
            if now.saturating_sub(since) < MIN_IMBALANCE_TIME {
                return Vec::new();
            }
            self.imbalanced_since = None;
        }
        due.retain(|change| self.is_cooled_down(now, &change.engine));
        for change in &due {
            self.last_orders.insert(change.engine.clone(), now);
        }
        due
    }

    fn is_cooled_down(&self, now: Duration, engine: &InstanceId) -> bool {
        let ordered_at = self.last_orders.get(engine);
        ordered_at.is_none_or(|&at| now.saturating_sub(at) >= ORDER_COOLDOWN)
    }
}

/// Returns the needed changes: a few while requests arrive, otherwise all of them.
fn due_changes(engines: &[PlannedEngine], input: &RolePlanInput) -> Vec<RoleChange> {
    let by_share = (engines.len() as f64 * MIN_DECODE_SHARE).ceil() as usize;
    let by_demand = (f64::from(input.demand.running) / MAX_RUNNING_PER_ENGINE).ceil() as usize;
    let min_decode = by_share.max(by_demand);
    let max_changes = (engines.len() / ENGINES_PER_CONCURRENT_CHANGE).max(1);
    let max_preassigned_engines = input.instances * MAX_PREASSIGNED_ENGINES_PER_INSTANCE;
    let (max_decode, limit) = match input.serving {
        // Decode engines keep their role while prompts wait less than `MAX_PREFILL_WAIT`.
        true if input.demand.late_wait < MAX_PREFILL_WAIT => (engines.len(), max_changes),
        true => (min_decode + DECODE_SURPLUS, max_changes),
        false if engines.len() > max_preassigned_engines => (engines.len(), usize::MAX),
        false => (min_decode, usize::MAX),
    };
    let mut planned = engines.to_vec();
    let mut due = Vec::new();
    while due.len() < limit {
        let Some(change) = next_change(&planned, min_decode, max_decode) else {
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

/// Returns the next change towards `min_decode` to `max_decode` decode engines, if one is needed.
///
/// A partitioned zone serves requests alone, so that a zone with two or more engines keeps both
/// roles. Beyond that, only the total over all zones counts, so that a server that joins or leaves
/// changes no others.
fn next_change(
    engines: &[PlannedEngine],
    min_decode: usize,
    max_decode: usize,
) -> Option<RoleChange> {
    let mut zones: IndexMap<&ZoneName, Vec<&PlannedEngine>> = IndexMap::new();
    for engine in engines {
        zones.entry(&engine.zone).or_default().push(engine);
    }
    zones.sort_keys();
    for members in zones.values() {
        let decode_count = decode_count(members);
        if members.len() >= 2 && decode_count == 0 {
            return change(members, Role::Decode);
        }
        if members.len() >= 2 && decode_count == members.len() {
            return change(members, Role::Prefill);
        }
    }
    let total_decode = engines.iter().filter(|engine| decodes(engine)).count();
    if total_decode == 0 {
        // Without a decode engine nothing is served.
        let largest_zone = zones.values().max_by_key(|members| members.len())?;
        return change(largest_zone, Role::Decode);
    }
    // A zone whose engine changes its role keeps both roles.
    let zones = zones.values().filter(|members| members.len() >= 2);
    if total_decode < min_decode {
        let eligible = zones.filter(|members| decode_count(members) + 1 < members.len());
        let zone = eligible.max_by_key(|members| members.len() * 1_000 / decode_count(members))?;
        return change(zone, Role::Decode);
    }
    if total_decode > max_decode {
        let eligible = zones.filter(|members| decode_count(members) > 1);
        let zone = eligible.min_by_key(|members| members.len() * 1_000 / decode_count(members))?;
        return change(zone, Role::Prefill);
    }
    None
}

/// Returns a change to `role` of one engine of a zone: the first one by identifier with another
/// role.
fn change(members: &[&PlannedEngine], role: Role) -> Option<RoleChange> {
    let others = members
        .iter()
        .filter(|engine| decodes(engine) != (role == Role::Decode));
    let engine = others.min_by(|a, b| a.id.cmp(&b.id))?;
    Some(RoleChange {
        engine: engine.id.clone(),
        role,
    })
}

fn decode_count(members: &[&PlannedEngine]) -> usize {
    members.iter().filter(|engine| decodes(engine)).count()
}

/// Returns whether an engine decodes; mixed engines do as well.
fn decodes(engine: &PlannedEngine) -> bool {
    engine.role != Role::Prefill
}
