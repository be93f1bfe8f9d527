//! Execution of the runs of an experiment.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use super::engine::EngineModel;
use super::fleet::FleetKind;
use super::foresight::candidate_plans;
use super::outcome::RunOutcome;
use super::policy::PolicyKind;
use super::roles::RoleController;
use super::scenario::{Fault, Scenario};
use super::simulation::Simulation;
use super::workload::Workload;

/// Number of threads that run cases. The runs are independent and deterministic.
const THREAD_COUNT: usize = 3;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Case {
    /// Load and request lengths over time.
    pub scenario: Arc<Scenario>,
    /// Fleet to simulate.
    pub fleet: FleetKind,
    /// Injected fault.
    pub fault: Fault,
    /// Policy to simulate.
    pub policy: PolicyKind,
    /// Seed of the workload and of the random decisions of the policy.
    pub seed: u64,
}

/// A run and its outcome.
#[derive(Debug, Clone)]
pub struct CaseResult {
    /// Parameters of the run.
    pub case: Case,
    /// Outcome of the run.
    pub outcome: RunOutcome,
}

/// Runs a case and returns its outcome.
///
/// For [`PolicyKind::Foresight`], this is the outcome with the best goodput among several plans.
pub fn run_case(case: &Case) -> RunOutcome {
    let model = EngineModel::default();
    let zones = case.fleet.zones().len();
    let instances = zones * FleetKind::INSTANCES_PER_ZONE;
    let engines = zones * case.fleet.engines_per_zone();
    let workload = Workload::new(&case.scenario, engines, instances, &model, case.seed);
    let run = |roles: [usize; 3], new_controller: &dyn Fn() -> RoleController| {
        let role_controllers = (0..zones).map(|_| new_controller()).collect();
        Simulation::new(case, &workload, roles, role_controllers).run()
    };
    let initial_roles = initial_split(&case.scenario, case.fleet, &model);
    match case.policy {
        PolicyKind::Wagtail => run(initial_roles, &RoleController::planned),
        PolicyKind::FixedSplit => run(initial_roles, &|| RoleController::Fixed),
        PolicyKind::Threshold => run(initial_roles, &|| RoleController::Threshold {
            last_change_s: 0.0,
        }),
        PolicyKind::RoundRobin | PolicyKind::LeastRequests => {
            run([0, 0, case.fleet.engines_per_zone()], &|| {
                RoleController::Fixed
            })
        }
        PolicyKind::Foresight => {
            let outcomes = candidate_plans(&case.scenario, case.fleet, &model)
                .into_iter()
                .map(|plan| run(plan.at(-1e9), &|| RoleController::Foresight(plan.clone())));
            let best = outcomes.max_by(|a, b| a.goodput().total_cmp(&b.goodput()));
            best.unwrap_or_default()
        }
    }
}

/// Runs all cases and returns the results, sorted by scenario, fleet, fault, policy and seed.
///
/// `report_progress` is called with the number of finished cases after each one.
pub fn run_suite(cases: Vec<Case>, report_progress: impl Fn(usize) + Sync) -> Vec<CaseResult> {
    let next_case = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(cases.len()));
    std::thread::scope(|scope| {
        for _ in 0..THREAD_COUNT {
            scope.spawn(|| {
                while let Some(case) = cases.get(next_case.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = run_case(case);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push(CaseResult {
                        case: case.clone(),
                        outcome,
                    });
                    report_progress(results.len());
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|result| {
        let case = &result.case;
        (
            case.scenario.name.clone(),
            case.fleet,
            case.fault,
            case.policy,
            case.seed,
        )
    });
    results
}

/// Returns the number of engines by role in each zone that fits the request lengths at the start.
fn initial_split(scenario: &Scenario, fleet: FleetKind, model: &EngineModel) -> [usize; 3] {
    let point = scenario.at(0.0);
    let prefill = point.prompt_tokens / model.prefill_tokens_per_s();
    let decode = point.output_tokens / model.decode_tokens_per_s();
    let engines = fleet.engines_per_zone();
    let ideal_prefill_engines = prefill / (prefill + decode) * engines as f64;
    let prefill_engines = (ideal_prefill_engines.round() as usize).clamp(1, engines - 1);
    [prefill_engines, engines - prefill_engines, 0]
}
