//! The role planner of a zone, which decides which engines change their role.
//!
//! The lease holder among the instances of `wagtailarch-entry` runs it. The instances of
//! `wagtailarch-gateway` use the role plan of `wagtailarch-dispatch` instead.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_fleet::{Policy, RoleTable};
use wagtailarch_types::{GroupName, InstanceId, Role};

use crate::planner_capacity::{Efficiency, RoleCounts, served_share};
use crate::planner_demand::{DemandEstimate, Imbalance, Load};

/// Number of engines of a group from which more than one change is planned at the same time.
const LARGE_GROUP: usize = 20;
/// Divisor that gives the number of engines of a large group that may change at the same time.
const LARGE_GROUP_DIVISOR: usize = 10;
/// Maximum number of groups that are planned.
const MAX_GROUPS: usize = 64;

/// Constants of the planner.
#[derive(Debug, Clone, Copy)]
pub struct PlannerConfig {
    /// Time constant of the mean of the demand. It is also the time in which a backlog of prompts
    /// is to be processed, and an interruption shorter than half of it does not end an imbalance.
    pub fast_time_constant: Duration,
    /// Time constant of the variance of the demand.
    pub slow_time_constant: Duration,
    /// Age beyond which a report counts as missing.
    pub stale_after: Duration,
    /// Utilisation that the planner aims for.
    pub target_utilisation: f64,
    /// Effective capacity of a mixed engine, as a share of its full capacity. Prefill on it delays
    /// decoding.
    pub mixed_efficiency: f64,
    /// Effective prefill capacity of a decode engine, as a share of its full prefill capacity.
    pub decode_prefill_efficiency: f64,
    /// Minimum gain, in engines, for which a change is considered.
    pub min_gain_engines: f64,
    /// Number of standard errors by which the estimated demand may be wrong to the disadvantage of
    /// a change; the change must still gain.
    pub error_margin: f64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            fast_time_constant: Duration::from_secs(10),
            slow_time_constant: Duration::from_secs(60),
            stale_after: Duration::from_secs(10),
            target_utilisation: 0.8,
            // With 0.9, the planner kept mixed engines whose streams missed their deadlines under
            // long prompts; see docs/policy.md.
            mixed_efficiency: 0.6,
            decode_prefill_efficiency: 0.7,
            min_gain_engines: 0.05,
            error_margin: 1.0,
        }
    }
}

/// State of one zone, the input of [`Planner::plan`], which is called about once a second.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneView {
    /// Weights, cost of a change and planning horizon.
    pub policy: Policy,
    /// Groups of engines.
    pub groups: Vec<PlannerGroup>,
    /// Engines of the zone.
    pub engines: Vec<ZoneEngine>,
}

/// A group of engines in the zone.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerGroup {
    /// Group.
    pub name: GroupName,
    /// Bounds per role.
    pub roles: RoleTable,
    /// Prompt tokens per second of one engine that only does prefill.
    pub prefill_capacity_per_s: f64,
    /// Output tokens per second of one engine that only decodes.
    pub decode_capacity_per_s: f64,
    /// Demand as counted by the entry instances; `None` until an instance has reported its
    /// demand. The planner then derives the demand from the engines' reports.
    pub demand: Option<Demand>,
}

/// Work offered to a group in a zone, including refused and queued work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens per second, without those that a prefix cache provides.
    pub prefill_tokens_per_s: f64,
    /// Output tokens per second.
    pub decode_tokens_per_s: f64,
}

/// An engine of the zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneEngine {
    /// Engine.
    pub id: InstanceId,
    /// Group.
    pub group: GroupName,
    /// Role in the last report.
    pub role: Role,
    /// Whether it serves, that is, it is not leaving, draining, changing or failed.
    pub serving: bool,
    /// Age of the last report; `None` if there was none.
    pub report_age: Option<Duration>,
    /// Number of running and queued requests.
    pub requests: f64,
    /// Prompt tokens in the queue.
    pub queued_tokens: f64,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated per second.
    pub decode_tokens_per_s: f64,
}

/// A change of one engine's role.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleChange {
    /// Engine.
    pub engine: InstanceId,
    /// Group.
    pub group: GroupName,
    /// Current role.
    pub from: Role,
    /// New role.
    pub to: Role,
    /// Reason for the change.
    pub reason: ChangeReason,
    /// Expected weighted gain in engine-seconds; 0 for a change that the bounds require.
    pub gain: f64,
    /// Weighted cost in engine-seconds.
    pub cost: f64,
}

/// Reason for a role change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// The number of engines of a role is outside its bounds.
    Bounds,
    /// The demand for prefill and decode differs from the capacity of the roles.
    Demand,
}

/// Plans role changes of one zone.
///
/// A change is planned when two conditions hold. First, its gain over the expected remaining time
/// of the current imbalance, less the loss while the engine does not serve, exceeds its cost.
/// Second, the gain that was already forgone in this imbalance has reached the cost and that loss.
/// The second condition is the hysteresis: a short imbalance, which ends before a change would have
/// paid for itself, causes no change.
#[derive(Debug)]
pub struct Planner {
    config: PlannerConfig,
    /// At most `MAX_GROUPS`.
    groups: IndexMap<GroupName, GroupHistory>,
}

/// State of a group that the planner keeps between calls.
#[derive(Debug, Default)]
struct GroupHistory {
    demand: DemandEstimate,
    imbalance: Imbalance,
}

/// A possible change of one engine's role.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    from: Role,
    to: Role,
    /// Gain in engines while the demand stays unchanged.
    gain_engines: f64,
    /// Loss in engines while the engine does not serve because of the change.
    loss_engines: f64,
}

impl Planner {
    /// Creates a planner without history.
    pub fn new(config: PlannerConfig) -> Self {
        Self {
            config,
            groups: IndexMap::new(),
        }
    }

    /// Updates the estimates from the current view and returns the changes to be made.
    ///
    /// In a group of fewer than 20 engines, at most one engine changes at a time, and none while
    /// another one is not serving; in a larger group at most a tenth. Each call returns a change
    /// again until the view shows it, so the caller must ignore changes of engines that are already
    /// changing.
    pub fn plan(&mut self, now: Duration, view: &ZoneView) -> Vec<RoleChange> {
        self.groups
            .retain(|name, _| view.groups.iter().any(|group| group.name == *name));
        let mut changes = Vec::new();
        for group in view.groups.iter().take(MAX_GROUPS) {
            let engines: Vec<&ZoneEngine> = view
                .engines
                .iter()
                .filter(|engine| engine.group == group.name)
                .collect();
            let history = self.groups.entry(group.name.clone()).or_default();
            let mut group_planner = GroupPlanner {
                config: &self.config,
                policy: &view.policy,
                group,
                engines,
            };
            changes.extend(group_planner.plan(now, history));
        }
        changes
    }

    /// Returns the estimated demand of a group in tokens per second, if an estimate exists.
    pub fn demand(&self, group: &GroupName) -> Option<Demand> {
        self.groups.get(group)?.demand.mean()
    }
}

/// Plans the changes of one group in one call of the planner.
struct GroupPlanner<'a> {
    config: &'a PlannerConfig,
    policy: &'a Policy,
    group: &'a PlannerGroup,
    /// Engines of the group, without those for which a change was planned.
    engines: Vec<&'a ZoneEngine>,
}

impl GroupPlanner<'_> {
    fn plan(&mut self, now: Duration, history: &mut GroupHistory) -> Vec<RoleChange> {
        let size = self.engines.len();
        let unavailable = self.engines.iter().filter(|engine| !engine.serving).count();
        let allowed = if size < LARGE_GROUP {
            1
        } else {
            size / LARGE_GROUP_DIVISOR
        };
        let budget = allowed.saturating_sub(unavailable);
        let demand_changes = self.plan_for_demand(now, history, budget);
        let mut counts = self.counts();
        let mut changes = Vec::new();
        while changes.len() < budget {
            let Some(change) = self.change_for_bounds(&mut counts) else {
                break;
            };
            changes.push(change);
        }
        if changes.is_empty() {
            return demand_changes;
        }
        changes
    }

    /// Returns a change that the bounds require, if any.
    fn change_for_bounds(&mut self, counts: &mut RoleCounts) -> Option<RoleChange> {
        let roles = &self.group.roles;
        let below_min = |role: &Role| counts.get(*role) < roles.bounds(*role).min;
        let above_max = |role: &Role| counts.get(*role) > roles.bounds(*role).max;
        let above_min = |role: &Role| {
            let count = counts.get(*role);
            count > roles.bounds(*role).min && count > 0
        };
        let below_max = |role: &Role| counts.get(*role) < roles.bounds(*role).max;
        // Decode comes before prefill, since decode engines can serve whole requests meanwhile.
        let priority = [Role::Decode, Role::Mixed, Role::Prefill];
        let to = priority.into_iter().find(|role| below_min(role));
        let from = Role::ALL.into_iter().find(|role| above_max(role));
        let (from, to) = match (from, to) {
            (None, None) => return None,
            (Some(from), Some(to)) => (from, to),
            (Some(from), None) => {
                let mut others = Role::ALL.into_iter().rev();
                (from, others.find(|role| *role != from && below_max(role))?)
            }
            (None, Some(to)) => {
                let mut others = Role::ALL.into_iter().rev();
                (others.find(|role| *role != to && above_min(role))?, to)
            }
        };
        let change = self.change_one(from, to, ChangeReason::Bounds, 0.0, 0.0)?;
        counts.shift(from, to);
        Some(change)
    }

    /// Updates the estimates and returns the changes that the demand justifies.
    fn plan_for_demand(
        &mut self,
        now: Duration,
        history: &mut GroupHistory,
        budget: usize,
    ) -> Vec<RoleChange> {
        let sample = self.sample();
        history.demand.update(now, sample, self.config);
        let counts = self.counts();
        let Some(load) = history.demand.load(now, self.group, self.config) else {
            history.imbalance.clear();
            return Vec::new();
        };
        let best = self.best_candidate(&counts, &load);
        let weight = self.policy.goodput_weight;
        let direction = best.map(|best| prefill_direction(best.from, best.to));
        let gain_rate = best.map_or(0.0, |best| weight * best.gain_engines);
        history.imbalance.advance(
            now,
            direction,
            gain_rate,
            counts,
            self.config.fast_time_constant / 2,
        );
        let remaining_s = history
            .imbalance
            .remaining_s(now, self.policy.mix_horizon_s);
        let mut counts = counts;
        let mut changes = Vec::new();
        while changes.len() < budget {
            let Some(best) = self.best_candidate(&counts, &load) else {
                break;
            };
            let change_s = self.policy.role_change_cost_s;
            let gain = weight * (best.gain_engines * remaining_s - best.loss_engines * change_s);
            let cost = self.policy.role_change_weight * change_s;
            let required_forgone_gain = cost + weight * best.loss_engines * change_s;
            if gain <= cost || history.imbalance.forgone_gain < required_forgone_gain {
                break;
            }
            let Some(change) =
                self.change_one(best.from, best.to, ChangeReason::Demand, gain, cost)
            else {
                break;
            };
            counts.shift(best.from, best.to);
            changes.push(change);
        }
        changes
    }

    /// Returns the change with the greatest gain among those that the bounds permit.
    fn best_candidate(&self, counts: &RoleCounts, load: &Load) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for from in Role::ALL {
            let minimum = self.group.roles.bounds(from).min;
            if counts.get(from) <= minimum {
                continue;
            }
            for to in Role::ALL {
                if to == from || counts.get(to) >= self.group.roles.bounds(to).max {
                    continue;
                }
                let candidate = self.evaluate(counts, load, from, to);
                let better = best.is_none_or(|best| candidate.gain_engines > best.gain_engines);
                if candidate.gain_engines >= self.config.min_gain_engines && better {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    /// Computes the gain and the loss of a change.
    fn evaluate(&self, counts: &RoleCounts, load: &Load, from: Role, to: Role) -> Candidate {
        let mut counts_after = *counts;
        counts_after.shift(from, to);
        let mut counts_during = *counts;
        counts_during.remove(from);
        let efficiency = Efficiency {
            mixed: self.config.mixed_efficiency,
            decode_prefill: self.config.decode_prefill_efficiency,
        };
        let gain = |prefill: f64, decode: f64| {
            let share_before = served_share(counts, prefill, decode, efficiency);
            let share_after = served_share(&counts_after, prefill, decode, efficiency);
            (share_after - share_before) * (prefill + decode)
        };
        // The change must also gain if the demand differs from the estimate by the error margin, to
        // the disadvantage of the change.
        let shift = f64::from(prefill_direction(from, to)) * self.config.error_margin;
        let shifted_prefill = (load.prefill - shift * load.prefill_error).max(0.0);
        let shifted_decode = (load.decode + shift * load.decode_error).max(0.0);
        let conservative_gain = gain(shifted_prefill, shifted_decode);
        let share_before = served_share(counts, load.prefill, load.decode, efficiency);
        let share_during = served_share(&counts_during, load.prefill, load.decode, efficiency);
        Candidate {
            from,
            to,
            gain_engines: gain(load.prefill, load.decode).min(conservative_gain),
            loss_engines: (share_before - share_during) * (load.prefill + load.decode),
        }
    }

    /// Returns the current demand; `None` if too few engines report.
    fn sample(&self) -> Option<Demand> {
        if self.group.demand.is_some() {
            return self.group.demand;
        }
        let fresh = |engine: &&&ZoneEngine| {
            engine
                .report_age
                .is_some_and(|age| age < self.config.stale_after)
        };
        let fresh: Vec<_> = self.engines.iter().filter(fresh).collect();
        if fresh.is_empty() || fresh.len() * 2 < self.engines.len() {
            return None;
        }
        // Engines without a fresh report are assumed to have the average load of the others.
        let scale = self.engines.len() as f64 / fresh.len() as f64;
        let backlog_time_s = self.config.fast_time_constant.as_secs_f64();
        let mut demand = Demand::default();
        for engine in fresh {
            let backlog_per_s = engine.queued_tokens / backlog_time_s;
            demand.prefill_tokens_per_s += scale * (engine.prefill_tokens_per_s + backlog_per_s);
            demand.decode_tokens_per_s += scale * engine.decode_tokens_per_s;
        }
        Some(demand)
    }

    /// Returns the number of engines per role, without those for which this call has planned a
    /// change. Engines that do not serve are included, since they return with their role.
    fn counts(&self) -> RoleCounts {
        let mut counts = RoleCounts::default();
        for engine in &self.engines {
            counts.add(engine.role);
        }
        counts
    }

    /// Returns a role change of the serving engine with the fewest requests, so that the loss of
    /// its caches affects the least work.
    fn change_one(
        &mut self,
        from: Role,
        to: Role,
        reason: ChangeReason,
        gain: f64,
        cost: f64,
    ) -> Option<RoleChange> {
        let candidates = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.role == from && engine.serving);
        let (index, _) = candidates.min_by(|(_, a), (_, b)| {
            a.requests
                .total_cmp(&b.requests)
                .then_with(|| a.id.cmp(&b.id))
        })?;
        let engine = self.engines.remove(index);
        Some(RoleChange {
            engine: engine.id.clone(),
            group: engine.group.clone(),
            from,
            to,
            reason,
            gain,
            cost,
        })
    }
}

/// Returns 1 if a change adds prefill capacity and -1 if it removes some.
fn prefill_direction(from: Role, to: Role) -> i8 {
    let rank = |role: Role| match role {
        Role::Decode => 0_i8,
        Role::Mixed => 1,
        Role::Prefill => 2,
    };
    (rank(to) - rank(from)).signum()
}
