//! Planned changes of engines: drain, wait for running requests, assign, slow start.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_fleet::RoleTable;
use wagtailarch_types::{
    AdapterName, Assignment, BackendState, Generation, GroupName, InstanceId, ModelName, Phase,
    Role, VersionName,
};
use wagtailarch_wire::engine::OrderKind;

use crate::{OrderProgress, OrderRequest, RoleChange};

/// Number of engines of a group from which more than one may be unavailable at the same time.
const LARGE_GROUP: usize = 20;
/// Divisor that gives the number of engines of a large group that may be unavailable at
/// the same time.
const LARGE_GROUP_DIVISOR: usize = 10;
/// Time for which an engine must drain without a known order before the rollout adopts it. It
/// exceeds the lag of the platform's list, so that an engine that shuts down on its own is listed
/// as leaving by then.
const ADOPT_AFTER: Duration = Duration::from_secs(15);
/// Backoff of an engine after an older order blocked a change of it.
const BLOCKED_BACKOFF: Duration = Duration::from_secs(5);
/// Time after its change for which an engine still counts as unavailable. The other instances send
/// it work again after its next report, which reaches them within one gossip round of 1 s and the
/// report lag.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of engines of one zone.
const MAX_ENGINES: usize = 1_024;

/// State of one zone, the input of [`Rollout::step`].
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// Generation in force.
    pub generation: Generation,
    /// Groups of engines.
    pub groups: Vec<RolloutGroup>,
    /// Engines of the zone.
    pub engines: Vec<RolloutEngine>,
}

/// A group of engines and what it must serve.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutGroup {
    /// Group.
    pub name: GroupName,
    /// Model to be served.
    pub model: ModelName,
    /// Version to be served.
    pub version: VersionName,
    /// Adapters to be loaded, sorted.
    pub adapters: Vec<AdapterName>,
    /// Whether the engines refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Bounds per role.
    pub roles: RoleTable,
    /// Whether the last engine of the zone that serves whole requests may be changed, because
    /// another zone can serve its requests or the group has no other engine.
    pub may_empty: bool,
}

/// An engine of the zone.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutEngine {
    /// Engine.
    pub id: InstanceId,
    /// Group.
    pub group: GroupName,
    /// What it serves according to its last report.
    pub assignment: Assignment,
    /// State in its last report.
    pub state: BackendState,
    /// Number of running and queued requests in its last report.
    pub requests: u32,
    /// When the last report was requested.
    pub requested_at: Duration,
    /// Whether the list shows it as live and its reports arrive.
    pub healthy: bool,
    /// State of the newest order to it.
    pub order: OrderProgress,
    /// Whether the last order that took effect on it was a drain.
    pub drained_by_order: bool,
}

/// Action that the caller must perform for the rollout.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
    /// Give an order through the ledger.
    Order {
        /// Engine.
        engine: InstanceId,
        /// Requested order.
        request: OrderRequest,
    },
    /// Cancel a request that was not sent yet.
    Cancel {
        /// Engine.
        engine: InstanceId,
    },
    /// Announce to all peers that the engine accepts no new work, or accepts it again.
    AnnounceDrain {
        /// Engine.
        engine: InstanceId,
        /// Whether it accepts no new work.
        drained: bool,
    },
}

/// Changes in progress in one zone.
///
/// The state may be lost at any time. A new lease holder adopts the drained engines that it finds
/// and continues from their reports.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Changes by engine; at most `MAX_ENGINES`.
    changes: IndexMap<InstanceId, Change>,
    /// Engines that drain without a change, and since when; at most `MAX_ENGINES`.
    orphans: IndexMap<InstanceId, Duration>,
    /// Engines in backoff and when it ends; at most `MAX_ENGINES`.
    backoff: IndexMap<InstanceId, Duration>,
    /// Engines whose change has ended, and until when they count as unavailable; at most
    /// `MAX_ENGINES`.
    settling: IndexMap<InstanceId, Duration>,
}

/// A change of one engine.
#[derive(Debug, Clone)]
struct Change {
    target: Assignment,
    group: GroupName,
    step: Step,
    /// Whether the drain was announced to peers.
    announced: bool,
}

/// Step of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The drain order is being given.
    Drain,
    /// The drain order took effect at this time at the latest, and running requests finish.
    Wait(Duration),
    /// The assign order is being given.
    Assign,
    /// The undrain order is being given.
    Undrain,
}

impl Rollout {
    /// Creates a rollout without changes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Discards all state, which the caller does when the lease is lost.
    pub fn reset(&mut self) {
        self.changes.clear();
        self.orphans.clear();
        self.backoff.clear();
        self.settling.clear();
    }

    /// Returns the engines that are being changed.
    pub fn changing(&self) -> Vec<InstanceId> {
        self.changes.keys().cloned().collect()
    }

    /// Advances the changes in progress and starts those that the bounds permit.
    pub fn step(
        &mut self,
        now: Duration,
        view: &RolloutView,
        planned: &[RoleChange],
    ) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        self.advance(now, view, &mut actions);
        self.backoff.retain(|_, until| now < *until);
        self.settling.retain(|_, until| now < *until);
        self.adopt(now, view);
        self.start(now, view, planned);
        for (engine, change) in &self.changes {
            if let Some(request) = request_for(view, change) {
                actions.push(RolloutAction::Order {
                    engine: engine.clone(),
                    request,
                });
            }
        }
        actions
    }

    /// Advances the changes in progress and ends those that are complete or cannot continue.
    fn advance(&mut self, now: Duration, view: &RolloutView, actions: &mut Vec<RolloutAction>) {
        let engines: IndexMap<&InstanceId, &RolloutEngine> = view
            .engines
            .iter()
            .map(|engine| (&engine.id, engine))
            .collect();
        let mut ended = Vec::new();
        for (id, change) in &mut self.changes {
            let engine = engines.get(id).copied().filter(|engine| engine.healthy);
            let Some(engine) = engine else {
                // The engine crashed or left. Its assignment is planned anew when it returns.
                actions.push(RolloutAction::Cancel { engine: id.clone() });
                ended.push(id.clone());
                continue;
            };
            if engine.order == OrderProgress::Blocked {
                self.backoff.insert(id.clone(), now + BLOCKED_BACKOFF);
                actions.push(RolloutAction::Cancel { engine: id.clone() });
                ended.push(id.clone());
                continue;
            }
            if let Some(group) = view.groups.iter().find(|group| group.name == change.group) {
                change.update_target(group);
            }
            if change.advance(now, engine) {
                self.settling.insert(id.clone(), now + SETTLE_TIME);
                ended.push(id.clone());
                continue;
            }
            let unavailable = !matches!(change.step, Step::Drain)
                || engine.order == OrderProgress::Sent
                || engine.state == BackendState::Draining;
            if unavailable && !change.announced {
                change.announced = true;
                actions.push(RolloutAction::AnnounceDrain {
                    engine: id.clone(),
                    drained: true,
                });
            }
        }
        for id in ended {
            let change = self.changes.shift_remove(&id);
            if change.is_some_and(|change| change.announced) {
                actions.push(RolloutAction::AnnounceDrain {
                    engine: id,
                    drained: false,
                });
            }
        }
    }

    /// Starts changes of engines that an earlier lease holder left drained.
    fn adopt(&mut self, now: Duration, view: &RolloutView) {
        let mut drained = IndexMap::new();
        for engine in &view.engines {
            let is_orphan = engine.healthy
                && engine.state == BackendState::Draining
                && !self.changes.contains_key(&engine.id);
            if !is_orphan || drained.len() >= MAX_ENGINES {
                continue;
            }
            let since = self.orphans.get(&engine.id).copied().unwrap_or(now);
            drained.insert(engine.id.clone(), since);
        }
        self.orphans = drained;
        for engine in &view.engines {
            let due = self
                .orphans
                .get(&engine.id)
                .is_some_and(|since| engine.drained_by_order || now >= *since + ADOPT_AFTER);
            if !due || self.backoff.contains_key(&engine.id) {
                continue;
            }
            let Some(group) = view.groups.iter().find(|group| group.name == engine.group) else {
                continue;
            };
            let target = group.assignment(engine.assignment.role);
            let step = if target == engine.assignment {
                Step::Undrain
            } else {
                Step::Drain
            };
            self.orphans.shift_remove(&engine.id);
            self.insert(engine, target, step);
        }
    }

    /// Starts the planned role changes and the changes to a new version or new adapters.
    fn start(&mut self, now: Duration, view: &RolloutView, planned: &[RoleChange]) {
        for group in &view.groups {
            // Role changes come first, since they include a change of version or adapters.
            for change in planned.iter().filter(|change| change.group == group.name) {
                let engine = view
                    .engines
                    .iter()
                    .find(|engine| engine.id == change.engine);
                let Some(engine) = engine else {
                    continue;
                };
                if engine.assignment.role == change.from
                    && self.bounds_permit(view, group, change.from, change.to)
                {
                    self.start_one(now, view, engine, group.assignment(change.to));
                }
            }
            for engine in view
                .engines
                .iter()
                .filter(|engine| engine.group == group.name)
            {
                let target = group.assignment(engine.assignment.role);
                if target != engine.assignment {
                    self.start_one(now, view, engine, target);
                }
            }
        }
    }

    /// Starts a change of `engine` unless it or its group does not permit one now.
    fn start_one(
        &mut self,
        now: Duration,
        view: &RolloutView,
        engine: &RolloutEngine,
        target: Assignment,
    ) {
        let is_eligible = engine.healthy
            && engine.state == BackendState::Serving
            && !self.changes.contains_key(&engine.id)
            && self
                .backoff
                .get(&engine.id)
                .is_none_or(|until| now >= *until);
        if is_eligible
            && self.group_permits(view, &engine.group)
            && self.keeps_serving(view, engine)
        {
            self.insert(engine, target, Step::Drain);
        }
    }

    fn insert(&mut self, engine: &RolloutEngine, target: Assignment, step: Step) {
        if self.changes.len() >= MAX_ENGINES {
            return;
        }
        let change = Change {
            target,
            group: engine.group.clone(),
            step,
            announced: false,
        };
        self.changes.insert(engine.id.clone(), change);
    }

    /// Returns whether requests of the group can still be served while `engine` is unavailable.
    fn keeps_serving(&self, view: &RolloutView, engine: &RolloutEngine) -> bool {
        let group = view.groups.iter().find(|group| group.name == engine.group);
        if group.is_some_and(|group| group.may_empty) {
            return true;
        }
        let serves_whole = |engine: &RolloutEngine| engine.assignment.role.serves(Phase::Full);
        let mut others = view.engines.iter().filter(|other| other.id != engine.id);
        !serves_whole(engine)
            || others.any(|other| {
                other.group == engine.group
                    && serves_whole(other)
                    && other.healthy
                    && other.state == BackendState::Serving
                    && !self.changes.contains_key(&other.id)
            })
    }

    /// Returns whether one more engine of `group` may be unavailable.
    fn group_permits(&self, view: &RolloutView, group: &GroupName) -> bool {
        let engines = view.engines.iter().filter(|engine| engine.group == *group);
        let (mut size, mut unavailable) = (0, 0);
        for engine in engines {
            size += 1;
            let serves = engine.healthy && engine.state == BackendState::Serving;
            let settling = self.settling.contains_key(&engine.id);
            if !serves || settling || self.changes.contains_key(&engine.id) {
                unavailable += 1;
            }
        }
        let allowed = if size < LARGE_GROUP {
            1
        } else {
            size / LARGE_GROUP_DIVISOR
        };
        unavailable < allowed
    }

    /// Returns whether the bounds still hold after a change of role, no matter which of the changes
    /// in progress succeed.
    fn bounds_permit(
        &self,
        view: &RolloutView,
        group: &RolloutGroup,
        from: Role,
        to: Role,
    ) -> bool {
        let (mut min_from, mut max_to) = (0, 0);
        for engine in view
            .engines
            .iter()
            .filter(|engine| engine.group == group.name)
        {
            let current_role = engine.assignment.role;
            let change = self.changes.get(&engine.id);
            let target_role = change.map_or(current_role, |change| change.target.role);
            min_from += u32::from(engine.healthy && current_role == from && target_role == from);
            max_to += u32::from(current_role == to || target_role == to);
        }
        min_from > group.roles.bounds(from).min && max_to < group.roles.bounds(to).max
    }
}

impl Change {
    /// Adopts a newer version or newer adapters unless the assign order was already requested.
    fn update_target(&mut self, group: &RolloutGroup) {
        if matches!(self.step, Step::Drain | Step::Wait(_)) {
            self.target = group.assignment(self.target.role);
        }
    }

    /// Moves to the next step if the last report permits it. Returns whether the change is
    /// complete.
    fn advance(&mut self, now: Duration, engine: &RolloutEngine) -> bool {
        let took_effect = engine.order == OrderProgress::Effective;
        match self.step {
            Step::Drain => {
                if took_effect {
                    self.step = Step::Wait(now);
                }
            }
            Step::Wait(drained_at) => {
                if engine.requested_at < drained_at {
                    return false;
                }
                if engine.state == BackendState::Serving {
                    // The engine restarted and accepts work again.
                    self.step = Step::Drain;
                } else if engine.state == BackendState::Draining && engine.requests == 0 {
                    self.step = Step::Assign;
                }
            }
            Step::Assign => {
                let is_assigned = engine.assignment == self.target;
                match (is_assigned, engine.state) {
                    (true, BackendState::Serving) => return true,
                    (true, BackendState::Draining) => self.step = Step::Undrain,
                    // The engine restarted and accepts work again. The drain request replaces an
                    // assign request that was not sent yet.
                    (false, BackendState::Serving) if engine.order != OrderProgress::Sent => {
                        self.step = Step::Drain;
                    }
                    _ => {}
                }
            }
            Step::Undrain => return engine.state == BackendState::Serving,
        }
        false
    }
}

impl RolloutGroup {
    /// Returns the assignment of an engine of this group in `role`.
    fn assignment(&self, role: Role) -> Assignment {
        Assignment {
            role,
            model: self.model.clone(),
            version: self.version.clone(),
            adapters: self.adapters.clone(),
        }
    }
}

/// Returns the order that the current step of a change needs. The ledger ignores repeated requests.
fn request_for(view: &RolloutView, change: &Change) -> Option<OrderRequest> {
    let group = view
        .groups
        .iter()
        .find(|group| group.name == change.group)?;
    let kind = match change.step {
        Step::Drain => OrderKind::Drain,
        Step::Wait(_) => return None,
        Step::Assign => OrderKind::Assign(change.target.clone()),
        Step::Undrain => OrderKind::Undrain,
    };
    Some(OrderRequest {
        generation: view.generation,
        kind,
        checks_fencing: group.checks_fencing,
    })
}
