//! Planned changes of engines: drain, wait, assign, ease in.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_fleet::RoleTable;
use wagtailarch_types::{
    AdapterName, Assignment, BackendState, Generation, GroupName, InstanceId, ModelName, Phase,
    Role, VersionName,
};
use wagtailarch_wire::engine::OrderKind;

use crate::{OrderProgress, OrderRequest, RoleChange};

/// Number of engines of a group from which more than one may be away at once.
const LARGE_POOL: usize = 20;
/// Share of a large pool that may be away at once, as a divisor.
const LARGE_POOL_DIVISOR: usize = 10;
/// Time for which an engine must drain without a known order before the rollout takes it over.
/// It exceeds the lag of the platform's list, so that an engine that is shutting down by itself is
/// listed as leaving by then.
const ADOPT_AFTER: Duration = Duration::from_secs(15);
/// Time for which an engine is left alone after an older order blocked a change of it.
const BLOCKED_PAUSE: Duration = Duration::from_secs(5);
/// Time after its change for which an engine still counts as away. The other instances take it
/// back on its next report, which reaches them within one gossip round of 1 s and the report lag.
const SETTLE: Duration = Duration::from_secs(2);
/// Greatest number of engines of one zone.
const MAX_ENGINES: usize = 1_024;

/// What the rollout sees of one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// Generation in force.
    pub generation: Generation,
    /// Groups of engines.
    pub groups: Vec<RolloutGroup>,
    /// Engines of the zone.
    pub engines: Vec<RolloutEngine>,
}

/// A group of engines and what it is to serve.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutGroup {
    /// Group.
    pub name: GroupName,
    /// Model to serve.
    pub model: ModelName,
    /// Version to serve.
    pub version: VersionName,
    /// Adapters to load; sorted.
    pub adapters: Vec<AdapterName>,
    /// Whether the engines check fencing numbers.
    pub checks_fencing: bool,
    /// Bounds per role.
    pub roles: RoleTable,
    /// Whether the last engine of the zone that serves whole requests may be changed, since
    /// another zone takes over or nothing can.
    pub may_empty: bool,
}

/// An engine of the zone.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutEngine {
    /// Engine.
    pub id: InstanceId,
    /// Group.
    pub group: GroupName,
    /// What it serves by its last report.
    pub assignment: Assignment,
    /// State by its last report.
    pub state: BackendState,
    /// Requests running or queued by its last report.
    pub running: u32,
    /// Time at which the last report was asked for.
    pub requested_at: Duration,
    /// Whether it is live in the list and reports.
    pub healthy: bool,
    /// State of the newest order to it.
    pub order: OrderProgress,
    /// Whether the last order that took effect on it was a drain.
    pub drained_by_order: bool,
}

/// What the rollout asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
    /// Give an order through the ledger.
    Order {
        /// Engine.
        engine: InstanceId,
        /// Order.
        request: OrderRequest,
    },
    /// Drop what was ordered and not sent yet.
    Cancel {
        /// Engine.
        engine: InstanceId,
    },
    /// Tell all peers that the engine takes no new work, or takes it again.
    AnnounceDrain {
        /// Engine.
        engine: InstanceId,
        /// Whether it takes no new work.
        drained: bool,
    },
}

/// Changes in progress in one zone.
///
/// The state can be lost at any time: a new lease holder takes over drained engines that it finds
/// and carries on from what the engines report.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Changes by engine; at most `MAX_ENGINES`.
    changes: IndexMap<InstanceId, Change>,
    /// Engines that drain without a change and since when; at most `MAX_ENGINES`.
    orphans: IndexMap<InstanceId, Duration>,
    /// Engines that are left alone until a time; at most `MAX_ENGINES`.
    paused: IndexMap<InstanceId, Duration>,
    /// Engines whose change has ended and until when they count as away; at most `MAX_ENGINES`.
    settling: IndexMap<InstanceId, Duration>,
}

/// A change of one engine.
#[derive(Debug, Clone)]
struct Change {
    target: Assignment,
    group: GroupName,
    step: Step,
    /// Whether peers were told to send no work.
    flooded: bool,
}

/// Step of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The drain order is on its way.
    Drain,
    /// The drain order took effect at this time at the latest; running requests finish.
    Wait(Duration),
    /// The assign order is on its way.
    Assign,
    /// The undrain order is on its way.
    Undrain,
}

impl Rollout {
    /// Returns a rollout without changes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets all changes, when the lease is lost.
    pub fn reset(&mut self) {
        self.changes.clear();
        self.orphans.clear();
        self.paused.clear();
        self.settling.clear();
    }

    /// Returns the engines under change.
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
        self.paused.retain(|_, until| now < *until);
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
                // The engine crashed or left; what it serves when it is back is planned afresh.
                actions.push(RolloutAction::Cancel { engine: id.clone() });
                ended.push(id.clone());
                continue;
            };
            if engine.order == OrderProgress::Blocked {
                self.paused.insert(id.clone(), now + BLOCKED_PAUSE);
                actions.push(RolloutAction::Cancel { engine: id.clone() });
                ended.push(id.clone());
                continue;
            }
            if let Some(group) = view.groups.iter().find(|group| group.name == change.group) {
                change.follow(group);
            }
            if change.advance(now, engine) {
                self.settling.insert(id.clone(), now + SETTLE);
                ended.push(id.clone());
                continue;
            }
            let out = !matches!(change.step, Step::Drain)
                || engine.order == OrderProgress::Sent
                || engine.state == BackendState::Draining;
            if out && !change.flooded {
                change.flooded = true;
                actions.push(RolloutAction::AnnounceDrain {
                    engine: id.clone(),
                    drained: true,
                });
            }
        }
        for id in ended {
            let change = self.changes.shift_remove(&id);
            if change.is_some_and(|change| change.flooded) {
                actions.push(RolloutAction::AnnounceDrain {
                    engine: id,
                    drained: false,
                });
            }
        }
    }

    /// Takes over engines that an earlier lease holder left drained.
    fn adopt(&mut self, now: Duration, view: &RolloutView) {
        let mut drained = IndexMap::new();
        for engine in &view.engines {
            let orphan = engine.healthy
                && engine.state == BackendState::Draining
                && !self.changes.contains_key(&engine.id);
            if !orphan || drained.len() >= MAX_ENGINES {
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
            if !due || self.paused.contains_key(&engine.id) {
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

    fn start(&mut self, now: Duration, view: &RolloutView, planned: &[RoleChange]) {
        for group in &view.groups {
            // Role changes come first; they carry the new version along.
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

    fn start_one(
        &mut self,
        now: Duration,
        view: &RolloutView,
        engine: &RolloutEngine,
        target: Assignment,
    ) {
        let free = engine.healthy
            && engine.state == BackendState::Serving
            && !self.changes.contains_key(&engine.id)
            && self
                .paused
                .get(&engine.id)
                .is_none_or(|until| now >= *until);
        if free && self.pool_permits(view, &engine.group) && self.keeps_serving(view, engine) {
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
            flooded: false,
        };
        self.changes.insert(engine.id.clone(), change);
    }

    /// Tells whether requests of the group can still be served while `engine` is away.
    fn keeps_serving(&self, view: &RolloutView, engine: &RolloutEngine) -> bool {
        let group = view.groups.iter().find(|group| group.name == engine.group);
        if group.is_some_and(|group| group.may_empty) {
            return true;
        }
        let whole = |engine: &RolloutEngine| engine.assignment.role.serves(Phase::Full);
        let mut others = view.engines.iter().filter(|other| other.id != engine.id);
        !whole(engine)
            || others.any(|other| {
                other.group == engine.group
                    && whole(other)
                    && other.healthy
                    && other.state == BackendState::Serving
                    && !self.changes.contains_key(&other.id)
            })
    }

    /// Tells whether one more engine of `group` may be away.
    fn pool_permits(&self, view: &RolloutView, group: &GroupName) -> bool {
        let pool = view.engines.iter().filter(|engine| engine.group == *group);
        let (mut size, mut away) = (0, 0);
        for engine in pool {
            size += 1;
            let serves = engine.healthy && engine.state == BackendState::Serving;
            let settling = self.settling.contains_key(&engine.id);
            if !serves || settling || self.changes.contains_key(&engine.id) {
                away += 1;
            }
        }
        let allowed = if size < LARGE_POOL {
            1
        } else {
            size / LARGE_POOL_DIVISOR
        };
        away < allowed
    }

    /// Tells whether the bounds still hold after a change of role, whichever of the changes in
    /// progress succeed.
    fn bounds_permit(
        &self,
        view: &RolloutView,
        group: &RolloutGroup,
        from: Role,
        to: Role,
    ) -> bool {
        let (mut least_from, mut most_to) = (0, 0);
        for engine in view
            .engines
            .iter()
            .filter(|engine| engine.group == group.name)
        {
            let now_role = engine.assignment.role;
            let change = self.changes.get(&engine.id);
            let then_role = change.map_or(now_role, |change| change.target.role);
            least_from += u32::from(engine.healthy && now_role == from && then_role == from);
            most_to += u32::from(now_role == to || then_role == to);
        }
        least_from > group.roles.bounds(from).min && most_to < group.roles.bounds(to).max
    }
}

impl Change {
    /// Takes over a newer version or newer adapters while nothing is assigned yet.
    fn follow(&mut self, group: &RolloutGroup) {
        if matches!(self.step, Step::Drain | Step::Wait(_)) {
            self.target = group.assignment(self.target.role);
        }
    }

    /// Moves to the next step as far as reports permit; returns true at the end.
    fn advance(&mut self, now: Duration, engine: &RolloutEngine) -> bool {
        let done = engine.order == OrderProgress::Effective;
        match self.step {
            Step::Drain => {
                if done {
                    self.step = Step::Wait(now);
                }
            }
            Step::Wait(drained_at) => {
                if engine.requested_at < drained_at {
                    return false;
                }
                if engine.state == BackendState::Serving {
                    // The engine restarted and takes work again.
                    self.step = Step::Drain;
                } else if engine.state == BackendState::Draining && engine.running == 0 {
                    self.step = Step::Assign;
                }
            }
            Step::Assign => {
                let arrived = engine.assignment == self.target;
                match (arrived, engine.state) {
                    (true, BackendState::Serving) => return true,
                    (true, BackendState::Draining) => self.step = Step::Undrain,
                    // The engine restarted and takes work again. The drain request replaces an
                    // assign order that was not sent yet.
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
    fn assignment(&self, role: Role) -> Assignment {
        Assignment {
            role,
            model: self.model.clone(),
            version: self.version.clone(),
            adapters: self.adapters.clone(),
        }
    }
}

/// Returns the order that the present step of a change needs. The ledger ignores repetitions.
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
