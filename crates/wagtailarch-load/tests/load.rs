//! Tests of scenarios, plans and runs against a stand-in engine in this process.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_load::load::{
    Arrival, ArrivalSchedule, LoadConfig, RequestKind, Scenario, Targets, run_load,
};
use wagtailarch_standin::engine::{EngineSettings, run_engine};
use wagtailarch_standin::token::prompt_tokens;

const SCENARIO: &str = r#"
seed = 7
model = "fedel"
keys = ["a", "b"]
direct = { group = "group", model = "model", version = "v1" }
[[phase]]
duration_s = 10.0
rate_per_s = 50.0
ramp = true
prompt_tokens = { min = 100, max = 200 }
output_tokens = { min = 2, max = 4 }
shared_tokens = 64
families = 3
weights = { direct = 1.0 }
[[phase]]
duration_s = 10.0
rate_per_s = 150.0
prompt_tokens = { min = 300, max = 400 }
output_tokens = { min = 10, max = 20 }
weights = { direct = 1.0 }
"#;

fn scenario() -> Scenario {
    Scenario::parse(SCENARIO).expect("valid scenario")
}

/// Guards against runs that cannot be repeated from their seed.
#[test]
fn plan_depends_on_the_seed_alone() {
    let mut scenario = scenario();
    let plan = |scenario: &Scenario| ArrivalSchedule::new(scenario, None).collect::<Vec<Arrival>>();
    let first = plan(&scenario);
    assert_eq!(first, plan(&scenario));
    scenario.seed = 8;
    assert_ne!(first, plan(&scenario));
}

/// Guards against a mix that does not shift or prompts without their length.
#[test]
fn mix_moves_towards_the_next_phase() {
    let scenario = scenario();
    let middle = scenario.mix_at(Duration::from_secs(5));
    assert_eq!((middle.rate_per_s, middle.prompt_tokens.min), (100.0, 200));
    assert_eq!(scenario.mix_at(Duration::from_secs(25)), middle);
    for arrival in ArrivalSchedule::new(&scenario, Some(500)) {
        let tokens = prompt_tokens(&arrival.prompt);
        assert!((100..=410).contains(&tokens), "{tokens} tokens");
    }
}

/// Guards against scenarios whose faults would only show in the middle of a run.
#[rstest]
#[case::zero_rate("rate_per_s = 50.0", "rate_per_s = 0.0")]
#[case::unknown_key("seed = 7", "sead = 7")]
#[case::reversed_range("min = 100, max = 200", "min = 200, max = 100")]
#[case::no_direct_table("direct = { group", "#direct = { group")]
#[case::no_path("weights = { direct = 1.0 }", "weights = { post = 1.0 }")]
fn invalid_scenarios_are_refused(#[case] from: &str, #[case] to: &str) {
    assert!(Scenario::parse(SCENARIO).is_ok());
    assert!(Scenario::parse(&SCENARIO.replace(from, to)).is_err());
}

/// Guards against a check that misses answers and against sending that waits for answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn direct_calls_are_answered_whole() {
    let options = ["--port", "25120", "--step-base-us", "1000"]
        .map(Into::into)
        .to_vec();
    let mut args = pico_args::Arguments::from_vec(options);
    let settings = EngineSettings::from_args(&mut args).expect("valid options");
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let engine = tokio::spawn(run_engine(settings, logger));
    let address = "127.0.0.1:25120";
    while tokio::net::TcpStream::connect(address).await.is_err() {
        assert!(!engine.is_finished(), "the engine did not start");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let targets = Targets {
        engines: vec![address.into()],
        ..Targets::default()
    };
    let load = LoadConfig {
        scenario: scenario(),
        targets,
        requests: Some(40),
        http2: false,
        stop: Default::default(),
    };
    let report = run_load(load, |_| {}).await.expect("a run");
    assert_eq!((report.sent, report.completed), (40, 40), "{report}");
    assert!(!report.has_faults());
    let direct = report.kind(RequestKind::Direct).expect("direct calls");
    assert!(direct.first_us.p50 > 0);
    let csv = report.to_csv().expect("CSV");
    assert_eq!(csv.lines().count(), 2);
    engine.abort();
}
