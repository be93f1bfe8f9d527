//! How roles change: by the planner, by thresholds or by a plan made ahead.

use std::time::Duration;

use wagtailarch_control::{Demand, Planner, PlannerConfig, PlannerGroup, ZoneEngine, ZoneView};
use wagtailarch_types::{InstanceId, Role};

use super::engine::{Engine, EngineModel, EngineState};
use super::fleet::FleetKind;
use super::foresight::RolePlan;

/// Seconds of waiting prompts above which the threshold rule wants prefill engines.
const HIGH_QUEUE_S: f64 = 0.5;
/// Seconds of waiting prompts below which the threshold rule spares prefill engines.
const LOW_QUEUE_S: f64 = 0.1;
/// Share of the slots in use above which the threshold rule wants decode engines.
const HIGH_SLOTS: f64 = 0.7;
/// Age above which an engine without reports counts as failed.
pub(crate) const REPORT_TIMEOUT_S: f64 = 3.0;
/// Time between two changes by the threshold rule in a zone.
const THRESHOLD_PAUSE_S: f64 = 10.0;

/// What decides on the roles of one zone.
pub(crate) enum RoleControl {
    /// Roles stay.
    Fixed,
    /// The planner of the project.
    Planned(Box<Planner>),
    /// A change whenever a queue or the slots pass a threshold.
    Threshold {
        /// Time of the last change.
        changed_s: f64,
    },
    /// Numbers of engines by time, known ahead.
    Ahead(RolePlan),
}

/// A zone as of the last reports.
pub(crate) struct ZoneReports<'a> {
    pub engines: Vec<&'a Engine>,
    /// Reports and their ages, in the order of `engines`.
    pub reports: Vec<(EngineReportData, f64)>,
    /// Demand counted by the entry instances of the zone.
    pub demand: Demand,
}

/// The part of a report that role decisions use.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EngineReportData {
    pub running: usize,
    pub queued_tokens: u64,
    pub prefill_per_s: f64,
    pub decode_per_s: f64,
}

impl RoleControl {
    /// Creates the planner of the project.
    pub fn planned() -> Self {
        Self::Planned(Box::new(Planner::new(PlannerConfig::default())))
    }

    /// Returns the engines that change their roles now.
    pub fn decide(
        &mut self,
        now_s: f64,
        zone: &ZoneReports,
        fleet: FleetKind,
        model: &EngineModel,
    ) -> Vec<(InstanceId, Role)> {
        match self {
            Self::Fixed => Vec::new(),
            Self::Planned(planner) => {
                let changes =
                    planner.plan(Duration::from_secs_f64(now_s), &view(zone, fleet, model));
                changes
                    .into_iter()
                    .map(|change| (change.engine, change.to))
                    .collect()
            }
            Self::Threshold { changed_s } => {
                if now_s - *changed_s < THRESHOLD_PAUSE_S || any_away(zone) {
                    return Vec::new();
                }
                let change = by_threshold(zone, model);
                if change.is_some() {
                    *changed_s = now_s;
                }
                change.into_iter().collect()
            }
            Self::Ahead(plan) => {
                if any_away(zone) {
                    return Vec::new();
                }
                towards(zone, plan.at(now_s)).into_iter().collect()
            }
        }
    }
}

fn any_away(zone: &ZoneReports) -> bool {
    zone.engines
        .iter()
        .any(|engine| engine.state != EngineState::Serving)
}

fn view(zone: &ZoneReports, fleet: FleetKind, model: &EngineModel) -> ZoneView {
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

/// Compares queue and slots with thresholds; the usual rule of an operator.
fn by_threshold(zone: &ZoneReports, model: &EngineModel) -> Option<(InstanceId, Role)> {
    let count = |role| {
        zone.engines
            .iter()
            .filter(|engine| engine.role == role)
            .count()
    };
    let sum = |role: Role, value: fn(&EngineReportData) -> f64| -> f64 {
        let pairs = zone.engines.iter().zip(&zone.reports);
        pairs
            .filter(|(engine, _)| engine.role == role)
            .map(|(_, (report, _))| value(report))
            .sum()
    };
    let prefills = count(Role::Prefill);
    let decodes = count(Role::Decode);
    let queued = sum(Role::Prefill, |report| report.queued_tokens as f64)
        + sum(Role::Decode, |report| report.queued_tokens as f64);
    let queue_s = queued * model.prefill_s_per_token / prefills.max(1) as f64;
    let slots = (decodes * model.slots).max(1) as f64;
    let used = sum(Role::Decode, |report| report.running as f64) / slots;
    if queue_s > HIGH_QUEUE_S && decodes > 1 {
        return least(zone, Role::Decode).map(|id| (id, Role::Prefill));
    }
    if used > HIGH_SLOTS && queue_s < LOW_QUEUE_S && prefills > 1 {
        return least(zone, Role::Prefill).map(|id| (id, Role::Decode));
    }
    None
}

/// Takes one step towards the wanted numbers of engines by role.
fn towards(zone: &ZoneReports, wanted: [usize; 3]) -> Option<(InstanceId, Role)> {
    let have = Role::ALL.map(|role| zone.engines.iter().filter(|it| it.role == role).count());
    let from = (0..3).find(|role| have[*role] > wanted[*role])?;
    let to = (0..3).find(|role| have[*role] < wanted[*role])?;
    least(zone, Role::ALL[from]).map(|id| (id, Role::ALL[to]))
}

/// Returns the engine with a role that has the fewest requests.
fn least(zone: &ZoneReports, role: Role) -> Option<InstanceId> {
    let candidates = zone.engines.iter().zip(&zone.reports);
    candidates
        .filter(|(engine, _)| engine.role == role)
        .min_by_key(|(_, (report, _))| report.running)
        .map(|(engine, _)| engine.id.clone())
}
