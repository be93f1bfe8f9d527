//! Controllers of the roles of engines: the planner, thresholds, or a plan made in advance.

use std::time::Duration;

use wagtailarch_control::{Demand, Planner, PlannerConfig, PlannerGroup, ZoneEngine, ZoneView};
use wagtailarch_types::{InstanceId, Role};

use super::engine::{Engine, EngineModel, EngineState};
use super::fleet::FleetKind;
use super::foresight::RolePlan;

/// Prefill queue in seconds above which the threshold rule adds a prefill engine.
const HIGH_QUEUE_S: f64 = 0.5;
/// Prefill queue in seconds below which the threshold rule may remove a prefill engine.
const LOW_QUEUE_S: f64 = 0.1;
/// Share of decode slots in use above which the threshold rule adds a decode engine.
const HIGH_SLOT_USE: f64 = 0.7;
/// Age in seconds from which the last report of an engine is too old, so that the engine gets no
/// requests.
pub(crate) const REPORT_TIMEOUT_S: f64 = 3.0;
/// Least time in seconds between two changes by the threshold rule in a zone.
const THRESHOLD_INTERVAL_S: f64 = 10.0;

/// Controller of the roles in one zone.
pub(crate) enum RoleController {
    /// Roles never change.
    Fixed,
    /// Roles follow the planner of the project.
    Planned(Box<Planner>),
    /// A role changes when the prefill queue or the slot use crosses a threshold.
    Threshold {
        /// Time of the last change.
        last_change_s: f64,
    },
    /// Roles follow a plan computed from the future load.
    Foresight(RolePlan),
}

/// State of a zone according to the last received reports.
pub(crate) struct ZoneReports<'a> {
    /// Engines of the zone.
    pub engines: Vec<&'a Engine>,
    /// Reports with their ages in seconds, in the order of `engines`.
    pub reports: Vec<(EngineReportData, f64)>,
    /// Demand measured by the entry instances of the zone.
    pub demand: Demand,
}

/// Fields of a load report that routing and role controllers use.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EngineReportData {
    /// Requests running or queued.
    pub running: usize,
    /// Prompt tokens queued for prefill.
    pub queued_tokens: u64,
    /// Prompt tokens prefilled in the last second.
    pub prefill_per_s: f64,
    /// Output tokens generated in the last second.
    pub decode_per_s: f64,
}

impl RoleController {
    /// Creates a controller with the planner of the project and its default configuration.
    pub fn planned() -> Self {
        Self::Planned(Box::new(Planner::new(PlannerConfig::default())))
    }

    /// Returns the engines to change now, with their new roles.
    pub fn plan_changes(
        &mut self,
        now_s: f64,
        zone: &ZoneReports,
        fleet: FleetKind,
        model: &EngineModel,
    ) -> Vec<(InstanceId, Role)> {
        match self {
            Self::Fixed => Vec::new(),
            Self::Planned(planner) => {
                let changes = planner.plan(
                    Duration::from_secs_f64(now_s),
                    &planner_view(zone, fleet, model),
                );
                changes
                    .into_iter()
                    .map(|change| (change.engine, change.to))
                    .collect()
            }
            Self::Threshold { last_change_s } => {
                if now_s - *last_change_s < THRESHOLD_INTERVAL_S || any_engine_unavailable(zone) {
                    return Vec::new();
                }
                let change = threshold_change(zone, model);
                if change.is_some() {
                    *last_change_s = now_s;
                }
                change.into_iter().collect()
            }
            Self::Foresight(plan) => {
                if any_engine_unavailable(zone) {
                    return Vec::new();
                }
                step_towards(zone, plan.at(now_s)).into_iter().collect()
            }
        }
    }
}

/// Returns whether any engine of the zone is draining, changing its role or down.
fn any_engine_unavailable(zone: &ZoneReports) -> bool {
    zone.engines
        .iter()
        .any(|engine| engine.state != EngineState::Serving)
}

/// Converts the reports to the input of the planner.
fn planner_view(zone: &ZoneReports, fleet: FleetKind, model: &EngineModel) -> ZoneView {
    let group = PlannerGroup {
        name: "lm".into(),
        roles: fleet.roles(),
        prefill_capacity_per_s: model.prefill_tokens_per_s(),
        decode_capacity_per_s: model.decode_tokens_per_s(),
        demand: Some(zone.demand),
    };
    let engines = zone
        .engines
        .iter()
        .zip(&zone.reports)
        .map(|(engine, (report, age_s))| ZoneEngine {
            id: engine.id.clone(),
            group: "lm".into(),
            role: engine.role,
            serving: engine.state == EngineState::Serving && *age_s < REPORT_TIMEOUT_S,
            report_age: Some(Duration::from_secs_f64(*age_s)),
            requests: report.running as f64,
            queued_tokens: report.queued_tokens as f64,
            prefill_tokens_per_s: report.prefill_per_s,
            decode_tokens_per_s: report.decode_per_s,
        });
    ZoneView {
        policy: fleet.policy(),
        engines: engines.collect(),
        groups: vec![group],
    }
}

/// Returns the change by the threshold rule, which operators commonly use.
fn threshold_change(zone: &ZoneReports, model: &EngineModel) -> Option<(InstanceId, Role)> {
    let count = |role| {
        zone.engines
            .iter()
            .filter(|engine| engine.role == role)
            .count()
    };
    let sum = |role: Role, value: fn(&EngineReportData) -> f64| -> f64 {
        let engine_reports = zone.engines.iter().zip(&zone.reports);
        engine_reports
            .filter(|(engine, _)| engine.role == role)
            .map(|(_, (report, _))| value(report))
            .sum()
    };
    let prefill_engines = count(Role::Prefill);
    let decode_engines = count(Role::Decode);
    let queued = sum(Role::Prefill, |report| report.queued_tokens as f64)
        + sum(Role::Decode, |report| report.queued_tokens as f64);
    let queue_s = queued * model.prefill_s_per_token / prefill_engines.max(1) as f64;
    let slots = (decode_engines * model.slots).max(1) as f64;
    let slot_use = sum(Role::Decode, |report| report.running as f64) / slots;
    if queue_s > HIGH_QUEUE_S && decode_engines > 1 {
        return least_loaded(zone, Role::Decode).map(|id| (id, Role::Prefill));
    }
    if slot_use > HIGH_SLOT_USE && queue_s < LOW_QUEUE_S && prefill_engines > 1 {
        return least_loaded(zone, Role::Prefill).map(|id| (id, Role::Decode));
    }
    None
}

/// Returns one change that moves the number of engines by role towards `target`.
fn step_towards(zone: &ZoneReports, target: [usize; 3]) -> Option<(InstanceId, Role)> {
    let current = Role::ALL.map(|role| {
        zone.engines
            .iter()
            .filter(|engine| engine.role == role)
            .count()
    });
    let from = (0..3).find(|role| current[*role] > target[*role])?;
    let to = (0..3).find(|role| current[*role] < target[*role])?;
    least_loaded(zone, Role::ALL[from]).map(|id| (id, Role::ALL[to]))
}

/// Returns the engine of a role with the fewest requests.
fn least_loaded(zone: &ZoneReports, role: Role) -> Option<InstanceId> {
    let engine_reports = zone.engines.iter().zip(&zone.reports);
    engine_reports
        .filter(|(engine, _)| engine.role == role)
        .min_by_key(|(_, (report, _))| report.running)
        .map(|(engine, _)| engine.id.clone())
}
