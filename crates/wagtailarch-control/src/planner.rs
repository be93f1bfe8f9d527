//! The role planner of a zone.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_fleet::{Policy, RoleTable};
use wagtailarch_types::{GroupName, InstanceId, Role};

use crate::planner_capacity::{Efficiency, RoleCounts, served_share};
use crate::planner_demand::{DemandEstimate, Episode, Load};

/// Number of engines of a group from which more than one change is planned at once.
const LARGE_POOL: usize = 20;
/// Share of a large pool that is planned at once, as a divisor.
const LARGE_POOL_DIVISOR: usize = 10;
/// Greatest number of groups with a history.
const MAX_GROUPS: usize = 64;

/// Tunable constants of the planner.
#[derive(Debug, Clone, Copy)]
pub struct PlannerConfig {
    /// Time constant of the fast average of demand.
    pub fast: Duration,
    /// Time constant of the slow average and of the variance.
    pub slow: Duration,
    /// Age beyond which a report counts as missing.
    pub stale_after: Duration,
    /// Utilisation that the planner aims at.
    pub target_utilisation: f64,
    /// Share of its capacity that a mixed engine has, since prompt work delays generation.
    pub mixed_efficiency: f64,
    /// Share of the prefill capacity that a decode engine has when it processes prompts.
    pub decode_prefill_efficiency: f64,
    /// Gain below which no change is worth a look, in engines.
    pub min_gain_engines: f64,
    /// Standard errors by which the demand is shifted against a change before its gain counts.
    pub caution: f64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            fast: Duration::from_secs(10),
            slow: Duration::from_secs(60),
            stale_after: Duration::from_secs(10),
            target_utilisation: 0.8,
            // 0.9 kept mixed engines whose streams missed their deadlines under long prompts; see
            // docs/policy.md.
            mixed_efficiency: 0.6,
            decode_prefill_efficiency: 0.7,
            min_gain_engines: 0.05,
            caution: 1.0,
        }
    }
}

/// What the planner sees of one zone. Call [`Planner::plan`] about once a second.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneView {
    /// Weights, cost and horizon.
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
    /// Prompt tokens per second that one engine processes when it does nothing else.
    pub prefill_capacity_per_s: f64,
    /// Tokens per second that one engine generates when it does nothing else.
    pub decode_capacity_per_s: f64,
    /// Demand counted by the entry instances; `None` while no counter arrived, when the planner
    /// uses the engines' reports.
    pub demand: Option<Demand>,
}

/// Offered work of a group in a zone, refused and waiting work included.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens per second, without those found in a prefix cache.
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
    /// Role by the last report.
    pub role: Role,
    /// Whether it serves, that is, neither leaves, drains, changes nor is failed.
    pub serving: bool,
    /// Age of the last report; `None` if there was none.
    pub report_age: Option<Duration>,
    /// Requests running or queued.
    pub running: f64,
    /// Prompt tokens that wait.
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
    /// Present role.
    pub from: Role,
    /// New role.
    pub to: Role,
    /// Why the change is made.
    pub reason: ChangeReason,
    /// Expected gain in engine-seconds, weighted; 0 for a change that the bounds require.
    pub gain: f64,
    /// Cost in engine-seconds, weighted.
    pub cost: f64,
}

/// Why a role is changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// The number of engines of a role is outside its bounds.
    Bounds,
    /// The demand of the phases differs from the capacity of the roles.
    Demand,
}

/// Plans role changes of one zone.
///
/// A change is planned when two conditions hold. Its expected gain over the time that the present
/// mix is likely to last exceeds its cost; and the gain that was already forgone in the present
/// imbalance has reached the cost. The second one is the hysteresis: a swing whose imbalance ends
/// before a change would have paid for itself causes no change.
#[derive(Debug)]
pub struct Planner {
    config: PlannerConfig,
    /// At most `MAX_GROUPS`.
    groups: IndexMap<GroupName, GroupHistory>,
}

#[derive(Debug, Default)]
struct GroupHistory {
    demand: DemandEstimate,
    episode: Episode,
}

/// A possible change of one engine's role.
#[derive(Debug, Clone, Copy)]
struct Move {
    from: Role,
    to: Role,
    /// Gain in engines while the demand stays as it is.
    gain_engines: f64,
    /// Loss in engines while the engine is away.
    loss_engines: f64,
}

impl Planner {
    /// Returns a planner without history.
    pub fn new(config: PlannerConfig) -> Self {
        Self {
            config,
            groups: IndexMap::new(),
        }
    }

    /// Takes the present view and returns the changes that pay off.
    ///
    /// A group of fewer than 20 engines gets at most one change at once, and none while one of its
    /// engines is away; a larger one gets at most a tenth. A change is repeated by each call until
    /// the view shows it, so the caller ignores changes of engines that are under change already.
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
            let mut pass = GroupPass {
                config: &self.config,
                policy: &view.policy,
                group,
                engines,
            };
            changes.extend(pass.plan(now, history));
        }
        changes
    }

    /// Returns the estimated demand of a group in tokens per second, if there is one.
    pub fn demand(&self, group: &GroupName) -> Option<Demand> {
        self.groups.get(group)?.demand.mean()
    }
}

/// One group in one call of the planner.
struct GroupPass<'a> {
    config: &'a PlannerConfig,
    policy: &'a Policy,
    group: &'a PlannerGroup,
    /// Engines of the group; a planned engine is removed.
    engines: Vec<&'a ZoneEngine>,
}

impl GroupPass<'_> {
    fn plan(&mut self, now: Duration, history: &mut GroupHistory) -> Vec<RoleChange> {
        let size = self.engines.len();
        let away = self.engines.iter().filter(|engine| !engine.serving).count();
        let allowed = if size < LARGE_POOL {
            1
        } else {
            size / LARGE_POOL_DIVISOR
        };
        let free = allowed.saturating_sub(away);
        let demand_changes = self.plan_for_demand(now, history, free);
        let mut counts = self.counts();
        let mut changes = Vec::new();
        while changes.len() < free {
            let Some(change) = self.repair(&mut counts) else {
                break;
            };
            changes.push(change);
        }
        if changes.is_empty() {
            return demand_changes;
        }
        changes
    }

    /// Returns a change that the bounds require.
    fn repair(&mut self, counts: &mut RoleCounts) -> Option<RoleChange> {
        let roles = &self.group.roles;
        let below = |role: &Role| counts.get(*role) < roles.bounds(*role).min;
        let above = |role: &Role| counts.get(*role) > roles.bounds(*role).max;
        let spare = |role: &Role| {
            let count = counts.get(*role);
            count > roles.bounds(*role).min && count > 0
        };
        let room = |role: &Role| counts.get(*role) < roles.bounds(*role).max;
        // Decode comes before prefill, since only it can serve whole requests meanwhile.
        let wanted = [Role::Decode, Role::Mixed, Role::Prefill];
        let to = wanted.into_iter().find(|role| below(role));
        let from = Role::ALL.into_iter().find(|role| above(role));
        let (from, to) = match (from, to) {
            (None, None) => return None,
            (Some(from), Some(to)) => (from, to),
            (Some(from), None) => {
                let mut others = Role::ALL.into_iter().rev();
                (from, others.find(|role| *role != from && room(role))?)
            }
            (None, Some(to)) => {
                let mut others = Role::ALL.into_iter().rev();
                (others.find(|role| *role != to && spare(role))?, to)
            }
        };
        let change = self.change(from, to, ChangeReason::Bounds, 0.0, 0.0)?;
        counts.shift(from, to);
        Some(change)
    }

    fn plan_for_demand(
        &mut self,
        now: Duration,
        history: &mut GroupHistory,
        free: usize,
    ) -> Vec<RoleChange> {
        let sample = self.sample();
        history.demand.update(now, sample, self.config);
        let counts = self.counts();
        let Some(load) = history.demand.load(now, self.group, self.config) else {
            history.episode.clear();
            return Vec::new();
        };
        let best = self.best_move(&counts, &load);
        let weight = self.policy.goodput_weight;
        let direction = best.map(|best| prefill_direction(best.from, best.to));
        let rate = best.map_or(0.0, |best| weight * best.gain_engines);
        history
            .episode
            .advance(now, direction, rate, counts, self.config.fast / 2);
        let remaining_s = history.episode.remaining_s(now, self.policy.mix_horizon_s);
        let mut counts = counts;
        let mut changes = Vec::new();
        while changes.len() < free {
            let Some(best) = self.best_move(&counts, &load) else {
                break;
            };
            let away_s = self.policy.role_change_cost_s;
            let gain = weight * (best.gain_engines * remaining_s - best.loss_engines * away_s);
            let cost = self.policy.role_change_weight * away_s;
            let forgone = cost + weight * best.loss_engines * away_s;
            if gain <= cost || history.episode.regret < forgone {
                break;
            }
            let Some(change) = self.change(best.from, best.to, ChangeReason::Demand, gain, cost)
            else {
                break;
            };
            counts.shift(best.from, best.to);
            changes.push(change);
        }
        changes
    }

    /// Returns the change with the greatest gain that the bounds permit.
    fn best_move(&self, counts: &RoleCounts, load: &Load) -> Option<Move> {
        let mut best: Option<Move> = None;
        for from in Role::ALL {
            let least = self.group.roles.bounds(from).min;
            if counts.get(from) <= least {
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

    fn evaluate(&self, counts: &RoleCounts, load: &Load, from: Role, to: Role) -> Move {
        let mut after = *counts;
        after.shift(from, to);
        let mut during = *counts;
        during.remove(from);
        let efficiency = Efficiency {
            mixed: self.config.mixed_efficiency,
            decode_prefill: self.config.decode_prefill_efficiency,
        };
        let gain = |prefill: f64, decode: f64| {
            let before = served_share(counts, prefill, decode, efficiency);
            let then = served_share(&after, prefill, decode, efficiency);
            (then - before) * (prefill + decode)
        };
        // The gain must survive a demand that lies a standard error to the change's disadvantage.
        let sign = f64::from(prefill_direction(from, to)) * self.config.caution;
        let shifted_prefill = (load.prefill - sign * load.prefill_error).max(0.0);
        let shifted_decode = (load.decode + sign * load.decode_error).max(0.0);
        let cautious = gain(shifted_prefill, shifted_decode);
        let before = served_share(counts, load.prefill, load.decode, efficiency);
        let without = served_share(&during, load.prefill, load.decode, efficiency);
        Move {
            from,
            to,
            gain_engines: gain(load.prefill, load.decode).min(cautious),
            loss_engines: (before - without) * (load.prefill + load.decode),
        }
    }

    /// Returns the demand at present; `None` if too few engines report.
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
        // Engines without a fresh report are taken to be like the others.
        let scale = self.engines.len() as f64 / fresh.len() as f64;
        let drain_s = self.config.fast.as_secs_f64();
        let mut demand = Demand::default();
        for engine in fresh {
            let backlog_per_s = engine.queued_tokens / drain_s;
            demand.prefill_tokens_per_s += scale * (engine.prefill_tokens_per_s + backlog_per_s);
            demand.decode_tokens_per_s += scale * engine.decode_tokens_per_s;
        }
        Some(demand)
    }

    /// Counts roles over all engines, those away included, since they come back with their role.
    fn counts(&self) -> RoleCounts {
        let mut counts = RoleCounts::default();
        for engine in &self.engines {
            counts.add(engine.role);
        }
        counts
    }

    /// Chooses the engine with the least work that is interrupted in its caches.
    fn change(
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
            a.running
                .total_cmp(&b.running)
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

/// Returns 1 if a change adds prefill capacity and -1 if it takes some away.
fn prefill_direction(from: Role, to: Role) -> i8 {
    let rank = |role: Role| match role {
        Role::Decode => 0_i8,
        Role::Mixed => 1,
        Role::Prefill => 2,
    };
    (rank(to) - rank(from)).signum()
}
