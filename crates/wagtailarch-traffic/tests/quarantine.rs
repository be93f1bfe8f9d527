//! Fuzz tests of the quarantine, and a simulation of how many unrelated requests it quarantines.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailarch_traffic::{
    BackendView, Quarantine, Router, Selection, SelectionRequest, StrikeEvent, StrikeKind, Verdict,
};
use wagtailarch_types::{BackendKind, BackendState, InstanceId, Phase};

const TTL_S: u64 = 600;
const SAME_CRASH_S: u64 = 5;

#[derive(Debug, Clone)]
enum Step {
    Crash {
        server: u8,
        in_flight: Vec<u128>,
    },
    Completed {
        fingerprint: u128,
    },
    /// A strike arrives from a peer.
    RemoteStrike {
        server: u8,
        fingerprint: u128,
        quarantined: bool,
    },
    Advance {
        s: u64,
    },
}

/// Reference model: the last strike of each fingerprint.
#[derive(Debug, Clone, Default)]
struct Model {
    now_s: u64,
    /// Backend server and time of the last strike, and whether the fingerprint is quarantined.
    struck: HashMap<u128, (u8, u64, bool)>,
}

impl Model {
    fn verdict(&self, fingerprint: u128) -> Verdict {
        match self.struck.get(&fingerprint) {
            Some((_, at, _)) if self.now_s - at >= TTL_S => Verdict::Clear,
            Some((_, _, true)) => Verdict::Quarantined,
            Some((_, _, false)) => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    fn strike(&mut self, server: u8, fingerprint: u128) {
        let now = self.now_s;
        let quarantined = match self.verdict(fingerprint) {
            Verdict::Clear => false,
            Verdict::Quarantined => return,
            Verdict::Suspect => {
                let (last_server, at, _) = self.struck[&fingerprint];
                if last_server == server && now - at < SAME_CRASH_S {
                    return;
                }
                true
            }
        };
        self.struck.insert(fingerprint, (server, now, quarantined));
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let in_flight = prop::collection::vec(0..6u128, 0..4);
        prop_oneof![
            4 => (0..3u8, in_flight).prop_map(|(server, in_flight)| Step::Crash { server, in_flight }),
            3 => (0..6u128).prop_map(|fingerprint| Step::Completed { fingerprint }),
            2 => (0..3u8, 0..6u128, any::<bool>()).prop_map(
                |(server, fingerprint, quarantined)| Step::RemoteStrike { server, fingerprint, quarantined }
            ),
            4 => (0..4u64).prop_map(|s| Step::Advance { s }),
            1 => (0..400u64).prop_map(|s| Step::Advance { s }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Crash { server, in_flight } => {
                for fingerprint in in_flight {
                    state.strike(*server, *fingerprint);
                }
            }
            Step::Completed { fingerprint } => {
                if state
                    .struck
                    .get(fingerprint)
                    .is_some_and(|struck| !struck.2)
                {
                    state.struck.remove(fingerprint);
                }
            }
            Step::RemoteStrike {
                server,
                fingerprint,
                quarantined: true,
            } => {
                state
                    .struck
                    .insert(*fingerprint, (*server, state.now_s, true));
            }
            Step::RemoteStrike {
                server,
                fingerprint,
                quarantined: false,
            } => {
                state.strike(*server, *fingerprint);
            }
            Step::Advance { s } => state.now_s += s,
        }
        state
    }
}

struct Strikes;

impl StateMachineTest for Strikes {
    type SystemUnderTest = (Quarantine, Duration);
    type Reference = Model;

    fn init_test(_: &Model) -> Self::SystemUnderTest {
        (Quarantine::new(), Duration::ZERO)
    }

    fn apply(
        (quarantine, mut now): Self::SystemUnderTest,
        _: &Model,
        step: Step,
    ) -> Self::SystemUnderTest {
        match step {
            Step::Crash { server, in_flight } => {
                quarantine.on_crash(now, &server_id(server), &in_flight);
            }
            Step::Completed { fingerprint } => quarantine.on_completed(fingerprint),
            Step::RemoteStrike {
                server,
                fingerprint,
                quarantined,
            } => {
                let kind = if quarantined {
                    StrikeKind::Quarantined
                } else {
                    StrikeKind::Suspected
                };
                let event = StrikeEvent {
                    fingerprint,
                    server: server_id(server),
                    kind,
                };
                quarantine.apply_remote(now, event);
            }
            Step::Advance { s } => now += Duration::from_secs(s),
        }
        (quarantine, now)
    }

    fn check_invariants((quarantine, now): &Self::SystemUnderTest, model: &Model) {
        for fingerprint in 0..6 {
            assert_eq!(
                quarantine.check(*now, fingerprint),
                model.verdict(fingerprint)
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(common::fuzz_config(1_000))]

    /// Guards against a quarantine after a single crash, a missing one after two crashes, and one
    /// that never expires.
    #[test]
    fn two_crashes_quarantine_until_the_ttl(sequential 1..60 => Strikes);
}

/// Guards against memory that grows with the number of requests in crashes.
#[test]
fn the_number_of_fingerprints_is_bounded() {
    let quarantine = Quarantine::new();
    for fingerprint in 0..200_000 {
        quarantine.on_crash(Duration::ZERO, &server_id(0), &[fingerprint]);
    }
    assert_eq!(quarantine.len(), 65_536);
}

fn server_id(server: u8) -> InstanceId {
    format!("s{server}").into()
}

/// One request of the simulation.
struct Running {
    fingerprint: u128,
    selection: Selection,
    ends_ms: u64,
    poison: bool,
}

/// Counts of one simulation.
#[derive(Debug, Default)]
struct Counts {
    /// Requests that do not crash backend servers.
    bystanders: u64,
    /// First strikes against bystanders.
    struck: u64,
    /// Bystanders that were quarantined.
    blamed: u64,
    poison_crashes: u64,
    poison_quarantined: bool,
}

/// Simulates 6 backend servers for 30 minutes with 20 requests/s of 1 s each, a poison request that
/// its client repeats every 10 s, and unrelated crashes with a mean interval of 60 s.
fn simulate(seed: u64) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (router, quarantine) = (Router::new("z".into(), seed), Quarantine::new());
    let mut counts = Counts::default();
    let mut up_at = [0u64; 6];
    let mut running: Vec<Running> = Vec::new();
    for ms in (0..1_800_000u64).step_by(50) {
        let now = Duration::from_millis(ms);
        if ms == 0 || up_at.contains(&ms) {
            router.update(now, views(ms, &up_at));
        }
        let mut waiting = Vec::new();
        if ms.is_multiple_of(10_000) {
            waiting.push((0, true));
        }
        if rng.random_bool(1.0 - (-1.0f64).exp()) {
            counts.bystanders += 1;
            waiting.push((u128::from(counts.bystanders), false));
        }
        let mut crashed: Vec<u8> = Vec::new();
        if rng.random_bool(50.0 / 60_000.0) {
            crashed.push(rng.random_range(0..6));
        }
        let ended: Vec<Running> = running
            .extract_if(.., |request| request.ends_ms <= ms)
            .collect();
        for request in ended {
            match request.poison {
                true => crashed.push(request.selection.id[1..].parse().expect("number")),
                false => quarantine.on_completed(request.fingerprint),
            }
            if request.poison {
                running.push(request);
            }
        }
        for server in crashed {
            up_at[usize::from(server)] = ms + 8_000;
            let id = server_id(server);
            let lost: Vec<Running> = running
                .extract_if(.., |request| request.selection.id == id)
                .collect();
            let fingerprints: Vec<u128> = lost.iter().map(|request| request.fingerprint).collect();
            counts.poison_crashes += u64::from(lost.iter().any(|request| request.poison));
            for event in quarantine.on_crash(now, &id, &fingerprints) {
                let bystander = event.fingerprint != 0;
                counts.struck += u64::from(bystander && event.kind == StrikeKind::Suspected);
                counts.blamed += u64::from(bystander && event.kind == StrikeKind::Quarantined);
            }
            waiting.extend(
                lost.iter()
                    .map(|request| (request.fingerprint, request.poison)),
            );
        }
        if up_at.contains(&(ms + 8_000)) {
            router.update(now, views(ms, &up_at));
        }
        for (fingerprint, poison) in waiting {
            let verdict = quarantine.check(now, fingerprint);
            if verdict == Verdict::Quarantined {
                counts.poison_quarantined |= poison;
                continue;
            }
            let Some(selection) = router.select(now, &request(verdict == Verdict::Suspect)) else {
                continue;
            };
            let ends_ms = ms
                + if poison {
                    100
                } else {
                    rng.random_range(500..1_500)
                };
            running.push(Running {
                fingerprint,
                selection,
                ends_ms,
                poison,
            });
        }
    }
    counts
}

fn views(ms: u64, up_at: &[u64; 6]) -> Vec<BackendView> {
    let view = |server: u8| BackendView {
        id: server_id(server),
        group: "g".into(),
        kind: BackendKind::Service,
        zone: "z".into(),
        address: "".into(),
        assignment: None,
        state: BackendState::Serving,
        report: None,
        report_age: Duration::ZERO,
        accepting: up_at[usize::from(server)] <= ms,
        serving_since: Duration::ZERO,
    };
    (0..6).map(view).collect()
}

fn request(suspect: bool) -> SelectionRequest {
    SelectionRequest {
        group: "g".into(),
        kind: BackendKind::Service,
        phase: Phase::Full,
        model: None,
        version: None,
        adapter: None,
        prefix_hashes: Vec::new(),
        prompt_tokens: 0,
        preferred_zone: None,
        excluded: Vec::new(),
        suspect,
        backends_with_suspects: Vec::new(),
    }
}

/// Guards against a quarantine of bystanders, which happen to be in flight during two crashes, and
/// against a poison request that is never quarantined.
#[test]
fn few_bystanders_are_blamed() {
    let (mut struck, mut blamed, mut bystanders, mut crashes) = (0, 0, 0, 0);
    for seed in 0..common::env_number("WAGTAIL_SIM_SEEDS", 10) {
        let counts = simulate(seed);
        assert!(counts.poison_quarantined, "{counts:?}");
        struck += counts.struck;
        blamed += counts.blamed;
        bystanders += counts.bystanders;
        crashes += counts.poison_crashes;
    }
    println!("bystanders {bystanders} struck {struck} blamed {blamed} poison crashes {crashes}");
    assert!(
        struck > 500,
        "the simulation must strike bystanders: {struck}"
    );
    // Each of the 6 backend servers has an unrelated crash every 360 s on average. One falls into
    // the 1 s of the second attempt of about 0.3 in 100 struck bystanders, which it quarantines.
    assert!(
        blamed * 100 <= struck,
        "{blamed} of {struck} struck bystanders were quarantined"
    );
}
