//! The role planner of a zone.

use std::time::Duration;

use wagtailarch_fleet::{Policy, RoleTable};
use wagtailarch_types::{GroupName, InstanceId, Role};

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
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            fast: Duration::from_secs(10),
            slow: Duration::from_secs(60),
            stale_after: Duration::from_secs(10),
            target_utilisation: 0.85,
        }
    }
}

/// What the planner sees of one zone.
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
    /// Expected gain in engine-seconds, weighted.
    pub gain: f64,
    /// Cost in engine-seconds, weighted.
    pub cost: f64,
}

/// Plans role changes of one zone.
#[derive(Debug)]
pub struct Planner {
    config: PlannerConfig,
}

impl Planner {
    /// Returns a planner without history.
    pub fn new(config: PlannerConfig) -> Self {
        Self { config }
    }

    /// Takes the present view and returns the changes that pay off, at most one per group.
    pub fn plan(&mut self, _now: Duration, _view: &ZoneView) -> Vec<RoleChange> {
        todo!("{:?}", self.config)
    }
}
