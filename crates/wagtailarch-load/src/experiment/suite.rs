//! All runs of an experiment.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use super::engine::EngineModel;
use super::fleet::FleetKind;
use super::foresight::plans;
use super::outcome::RunOutcome;
use super::policy::PolicyKind;
use super::roles::RoleControl;
use super::scenario::{Fault, Scenario};
use super::workload::Workload;
use super::world::World;

/// Threads that run cases; the runs are independent and fixed by their seeds.
const THREADS: usize = 3;

/// One run.
#[derive(Debug, Clone)]
pub struct Case {
    /// Load over time.
    pub scenario: Arc<Scenario>,
    /// Fleet.
    pub fleet: FleetKind,
    /// What goes wrong.
    pub fault: Fault,
    /// Policy.
    pub policy: PolicyKind,
    /// Seed of the workload and of the random choices.
    pub seed: u64,
}

/// A run and its outcome.
#[derive(Debug, Clone)]
pub struct CaseResult {
    /// The run.
    pub case: Case,
    /// Its outcome.
    pub outcome: RunOutcome,
}

/// Runs one case.
pub fn run_case(case: &Case) -> RunOutcome {
    let model = EngineModel::default();
    let zones = case.fleet.zones().len();
    let instances = zones * FleetKind::INSTANCES_PER_ZONE;
    let engines = zones * case.fleet.engines_per_zone();
    let workload = Workload::new(&case.scenario, engines, instances, &model, case.seed);
    let run = |roles: [usize; 3], control: &dyn Fn() -> RoleControl| {
        let controls = (0..zones).map(|_| control()).collect();
        World::new(case, &workload, roles, controls).run()
    };
    let split = first_split(&case.scenario, case.fleet, &model);
    match case.policy {
        PolicyKind::Wagtail => run(split, &RoleControl::planned),
        PolicyKind::FixedSplit => run(split, &|| RoleControl::Fixed),
        PolicyKind::Threshold => run(split, &|| RoleControl::Threshold { changed_s: 0.0 }),
        PolicyKind::RoundRobin | PolicyKind::LeastRequests => {
            run([0, 0, case.fleet.engines_per_zone()], &|| {
                RoleControl::Fixed
            })
        }
        PolicyKind::Foresight => {
            let outcomes = plans(&case.scenario, case.fleet, &model)
                .into_iter()
                .map(|plan| run(plan.at(-1e9), &|| RoleControl::Ahead(plan.clone())));
            let best = outcomes.max_by(|a, b| a.goodput().total_cmp(&b.goodput()));
            best.unwrap_or_default()
        }
    }
}

/// Runs all cases; `progress` is told the number of finished ones.
pub fn run_suite(cases: Vec<Case>, progress: impl Fn(usize) + Sync) -> Vec<CaseResult> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(cases.len()));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = run_case(case);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push(CaseResult {
                        case: case.clone(),
                        outcome,
                    });
                    progress(results.len());
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

/// Returns the split of prefill and decode engines that suits the mix at the start.
fn first_split(scenario: &Scenario, fleet: FleetKind, model: &EngineModel) -> [usize; 3] {
    let point = scenario.at(0.0);
    let prefill = point.prompt_tokens / model.prefill_tokens_per_s();
    let decode = point.output_tokens / model.decode_tokens_per_s();
    let engines = fleet.engines_per_zone();
    let wanted = prefill / (prefill + decode) * engines as f64;
    let prefills = (wanted.round() as usize).clamp(1, engines - 1);
    [prefills, engines - prefills, 0]
}
