//! Tests of the policy experiments.

use std::path::Path;
use std::sync::Arc;

use rstest::rstest;
use wagtailarch_load::experiment::{
    Case, EngineModel, Fault, FleetKind, PolicyKind, Scenario, Workload, run_case, run_suite,
};

fn scenario(name: &str) -> Arc<Scenario> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/experiment");
    let mut scenario = Scenario::read(&dir.join(name)).expect("valid scenario");
    scenario.duration_s = 40.0;
    Arc::new(scenario)
}

fn case(policy: PolicyKind, fault: Fault) -> Case {
    Case {
        scenario: scenario("swing-short.toml"),
        fleet: FleetKind::Budapest,
        fault,
        policy,
        seed: 3,
    }
}

/// Guards against requests that vanish or count twice, under every policy and fault.
#[rstest]
fn every_request_has_one_result(
    #[values(PolicyKind::Wagtail, PolicyKind::Threshold, PolicyKind::LeastRequests)]
    policy: PolicyKind,
    #[values(Fault::None, Fault::Crash, Fault::LostReports)] fault: Fault,
) {
    let outcome = run_case(&case(policy, fault));
    assert!(outcome.offered > 100, "{outcome:?}");
    let results = outcome.good + outcome.refused + outcome.late + outcome.lost;
    assert_eq!(results, outcome.offered);
    assert_eq!(
        fault == Fault::Crash,
        outcome.retries > 0,
        "only a crash causes retries"
    );
}

/// Guards against results that depend on threads or on anything but the seed.
#[test]
fn runs_are_fixed_by_the_seed() {
    let cases: Vec<Case> = [3, 4, 3]
        .map(|seed| Case {
            seed,
            ..case(PolicyKind::Wagtail, Fault::Crash)
        })
        .into();
    let results = run_suite(cases, |_| ());
    assert_eq!(
        results[0].outcome, results[1].outcome,
        "sorted by seed: 3, 3, 4"
    );
    assert_ne!(results[0].outcome, results[2].outcome);
}

/// Guards against load that is not the one the scenario states.
#[test]
fn the_workload_has_the_stated_load_and_mix() {
    let (model, scenario) = (EngineModel::default(), scenario("step.toml"));
    let workload = Workload::new(&scenario, 12, 6, &model, 1);
    let work_s = |prompt: u32, output: u32| {
        f64::from(prompt) / model.prefill_tokens_per_s()
            + f64::from(output) / model.decode_tokens_per_s()
    };
    let sum: f64 = workload
        .requests
        .iter()
        .map(|it| work_s(it.prompt_tokens, it.output_tokens))
        .sum();
    let load = sum / scenario.duration_s / 12.0;
    assert!((load - scenario.at(0.0).load).abs() < 0.05, "load {load}");
}

/// Guards against points that are taken in the wrong order, and against unusable files.
#[test]
fn points_interpolate_step_and_repeat() {
    let swing = scenario("swing-short.toml");
    assert_eq!(swing.at(7.9).prompt_tokens, 1_200.0);
    assert_eq!(swing.at(8.1).prompt_tokens, 4_000.0);
    assert_eq!(swing.at(16.1).prompt_tokens, 1_200.0);
    let ramp = scenario("ramp.toml");
    assert_eq!(ramp.at(170.0).prompt_tokens, 2_900.0);
    let missing = Scenario::read(Path::new("no-such-file.toml"));
    assert!(missing.is_err());
}
