//! Stateful fuzzing of the control decisions of one zone, checked against the guarantees.
//!
//! `WAGTAIL_FUZZ_STEPS` and `WAGTAIL_FUZZ_SEED` set the number of steps and the seed; the defaults
//! are for CI. For 100,000 steps: `WAGTAIL_FUZZ_STEPS=100000 cargo test --release
//! -p wagtailarch-control --test zone_fuzz -- --nocapture`.

mod zone_model;

use std::cell::RefCell;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use wagtailarch_types::Role;
use zone_model::oracle::Tally;
use zone_model::{ENGINES, PROCESSES, PlatformMode, World};

/// Steps of one case.
const STEPS: usize = 100;
/// Steps of a run in CI.
const DEFAULT_STEPS: usize = 10_000;
/// Seed of a run in CI.
const DEFAULT_SEED: u64 = 1;

thread_local! {
    /// Counts of all cases of the run.
    static TOTAL: RefCell<Tally> = RefCell::default();
}

/// One event in the zone.
#[derive(Debug, Clone)]
enum Event {
    Advance(u32),
    PassTime(u64),
    Step(usize),
    Pause(usize),
    PauseHolder,
    PauseNextSender,
    RestartNextEngine,
    Resume(usize),
    Restart(usize),
    RestartEngine(usize),
    Platform(PlatformMode),
    BlockNetwork(bool),
    ApplyConfiguration,
    StaleManifest(usize),
    Plan(usize, Role),
    BeginRequest(usize),
    FinishRequests(usize),
    CaptureReport(usize, usize),
    Deliver(usize),
    ServeLateCall(usize),
}

/// Reference model without state, since any event may happen at any time.
struct AnyEvents;

impl ReferenceStateMachine for AnyEvents {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        let process = 0..PROCESSES;
        let engine = 0..ENGINES;
        let mode = prop_oneof![
            3 => Just(PlatformMode::Up),
            2 => Just(PlatformMode::LosesResponses),
            1 => Just(PlatformMode::Down),
        ];
        let role = prop::sample::select(Role::ALL.to_vec());
        prop_oneof![
            10 => (1..8_u32).prop_map(Event::Advance),
            6 => prop::sample::select(vec![16_u32, 18, 24, 32, 48]).prop_map(Event::Advance),
            2 => (10..1_500_u64).prop_map(Event::PassTime),
            6 => process.clone().prop_map(Event::Step),
            2 => process.clone().prop_map(Event::Pause),
            2 => Just(Event::PauseHolder),
            4 => Just(Event::PauseNextSender),
            2 => Just(Event::RestartNextEngine),
            3 => process.clone().prop_map(Event::Resume),
            1 => process.clone().prop_map(Event::Restart),
            1 => engine.clone().prop_map(Event::RestartEngine),
            2 => mode.prop_map(Event::Platform),
            2 => any::<bool>().prop_map(Event::BlockNetwork),
            2 => Just(Event::ApplyConfiguration),
            1 => process.clone().prop_map(Event::StaleManifest),
            4 => (engine.clone(), role).prop_map(|(engine, role)| Event::Plan(engine, role)),
            4 => engine.clone().prop_map(Event::BeginRequest),
            3 => engine.clone().prop_map(Event::FinishRequests),
            2 => (process, engine).prop_map(|(p, e)| Event::CaptureReport(p, e)),
            3 => (0..8_usize).prop_map(Event::Deliver),
            2 => (0..8_usize).prop_map(Event::ServeLateCall),
        ]
        .boxed()
    }

    fn apply((): (), _: &Event) {}
}

struct ZoneTest;

impl StateMachineTest for ZoneTest {
    type SystemUnderTest = World;
    type Reference = AnyEvents;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), event: Event) -> World {
        world.oracle.tally.steps += 1;
        match event {
            Event::Advance(turns) => world.advance(turns),
            Event::PassTime(ms) => world.pass_time(Duration::from_millis(ms)),
            Event::Step(process) => world.step(process),
            Event::Pause(process) => world.pause(process),
            Event::PauseHolder => world.pause_holder(),
            Event::PauseNextSender => world.pause_next_sender(),
            Event::RestartNextEngine => world.restart_next_engine(),
            Event::Resume(process) => world.resume(process),
            Event::Restart(process) => world.restart(process),
            Event::RestartEngine(engine) => world.restart_engine(engine),
            Event::Platform(mode) => world.set_mode(mode),
            Event::BlockNetwork(blocked) => world.set_network_blocked(blocked),
            Event::ApplyConfiguration => world.apply_configuration(),
            Event::StaleManifest(process) => world.read_stale_manifest(process),
            Event::Plan(engine, role) => world.plan(engine, role),
            Event::BeginRequest(engine) => world.begin_request(engine),
            Event::FinishRequests(engine) => world.finish_requests(engine),
            Event::CaptureReport(process, engine) => world.capture_report(process, engine),
            Event::Deliver(choice) => world.deliver_one(choice),
            Event::ServeLateCall(choice) => world.serve_late_call(choice),
        }
        world
    }

    fn teardown(world: World, (): ()) {
        TOTAL.with_borrow_mut(|total| total.add(&world.oracle.tally));
    }
}

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against concurrent orders to one engine, orders of an earlier lease holder that take
/// effect, interrupted requests, generations that decrease and overlapping leases, under any
/// sequence of faults.
#[test]
fn guarantees_hold_under_any_sequence_of_faults() {
    let steps = setting("WAGTAIL_FUZZ_STEPS", DEFAULT_STEPS);
    let seed = setting("WAGTAIL_FUZZ_SEED", DEFAULT_SEED);
    let config = Config {
        cases: steps.div_ceil(STEPS) as u32,
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = AnyEvents::sequential_strategy(STEPS..=STEPS);
    let outcome = runner.run(&strategy, |(state, events, seen_counter)| {
        ZoneTest::test_sequential(config.clone(), state, events, seen_counter);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("seed {seed}: {error}");
    }
    let total = TOTAL.with_borrow(|total| *total);
    println!("seed {seed}: {total:?}");
    // Without enough orders and lease changes, the checks of the guarantees are vacuous.
    assert!(total.effects > total.steps / 100, "{total:?}");
    assert!(
        total.assigns > 0 && total.stale_refused > 0 && total.late_orders > 0,
        "{total:?}"
    );
    assert!(total.terms > total.steps / 200, "{total:?}");
}
