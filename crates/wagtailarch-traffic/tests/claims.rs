//! Fuzz tests of several writers of one claim log on a store that loses calls and responses.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wagtailarch_traffic::{
    ClaimAction, ClaimBatch, ClaimLog, ClaimOutcome, ClaimResult, CreateResult, ReadResult,
};

const WRITERS: usize = 3;
const KEYS: u128 = 4;
const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The outcome of an operation on the network.
#[derive(Debug, Clone, Copy)]
enum Network {
    Works,
    /// The operation is lost and takes no effect.
    LosesCall,
    /// The operation takes effect, but its response is lost.
    LosesAnswer,
    /// The operation takes effect later, after its writer received an unknown result.
    Delays,
    /// The platform refuses the operation.
    Refuses,
}

#[derive(Debug, Clone)]
enum Step {
    Submit {
        writer: usize,
        key: u128,
    },
    Outcome {
        writer: usize,
        key: u128,
    },
    Io {
        writer: usize,
        network: Network,
    },
    /// A delayed create takes effect.
    ApplyDelayed,
    Advance {
        ms: u64,
    },
    AdvanceHours {
        hours: u64,
    },
    Pause {
        writer: usize,
        paused: bool,
    },
    Restart {
        writer: usize,
    },
    /// The platform removes entries older than `RETENTION`.
    Trim,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let network = prop_oneof![
            6 => Just(Network::Works),
            1 => Just(Network::LosesCall),
            2 => Just(Network::LosesAnswer),
            2 => Just(Network::Delays),
            1 => Just(Network::Refuses),
        ];
        let writer = 0..WRITERS;
        prop_oneof![
            6 => (writer.clone(), 0..KEYS).prop_map(|(writer, key)| Step::Submit { writer, key }),
            2 => (writer.clone(), 0..KEYS).prop_map(|(writer, key)| Step::Outcome { writer, key }),
            14 => (writer.clone(), network).prop_map(|(writer, network)| Step::Io { writer, network }),
            2 => Just(Step::ApplyDelayed),
            8 => (1..400u64).prop_map(|ms| Step::Advance { ms }),
            1 => (1..30u64).prop_map(|hours| Step::AdvanceHours { hours }),
            2 => (writer.clone(), any::<bool>())
                .prop_map(|(writer, paused)| Step::Pause { writer, paused }),
            1 => writer.prop_map(|writer| Step::Restart { writer }),
            1 => Just(Step::Trim),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Default)]
struct World {
    now: Duration,
    writers: Vec<Writer>,
    /// Entries with the time of their creation.
    store: BTreeMap<u64, (Duration, ClaimBatch)>,
    /// Creates that have not taken effect yet.
    delayed: Vec<(u64, ClaimBatch)>,
    /// Writer and key of each claim without a result.
    tickets: HashMap<u64, (usize, u128)>,
    /// Time of the last grant of each key.
    grants: HashMap<u128, Duration>,
    next_ticket: u64,
    next_seed: u64,
}

struct Writer {
    log: ClaimLog,
    /// Reads and creates in progress.
    ops: Vec<ClaimAction>,
    paused: bool,
    /// Keys that this log has granted, with the time.
    granted: HashMap<u128, Duration>,
}

impl World {
    fn new_writer(&mut self) -> Writer {
        self.next_seed += 1;
        let first = self.store.keys().next().copied().unwrap_or(0);
        let end = self.store.keys().last().map_or(0, |seq| seq + 1);
        let mut log = ClaimLog::new("i".into(), self.next_seed, self.now, first, end);
        if self.next_seed.is_multiple_of(2) {
            let page = self
                .store
                .iter()
                .map(|(seq, entry)| (*seq, entry.1.clone()))
                .collect();
            assert!(
                log.on_page(self.now, page).is_empty(),
                "an idle log has nothing to do"
            );
        }
        Writer {
            log,
            ops: Vec::new(),
            paused: false,
            granted: HashMap::new(),
        }
    }

    fn perform(&mut self, writer: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Resolve { ticket, result } => {
                    self.check_result(writer, ticket, result)
                }
                op => self.writers[writer].ops.push(op),
            }
        }
    }

    fn check_result(&mut self, writer: usize, ticket: u64, result: ClaimResult) {
        let (owner, key) = self
            .tickets
            .remove(&ticket)
            .expect("a ticket is resolved once");
        assert_eq!(owner, writer);
        let now = self.now;
        match result {
            ClaimResult::Granted => {
                let previous = self.grants.insert(key, now);
                let twice = previous.is_some_and(|at| now - at < RETENTION);
                assert!(
                    !twice,
                    "key {key} was granted twice within the retention time"
                );
                self.writers[writer].granted.insert(key, now);
            }
            ClaimResult::AlreadyClaimed(outcome) => {
                assert!(outcome.is_none_or(|outcome| outcome == outcome_of(key)));
            }
            ClaimResult::Unavailable => {
                let granted = self.writers[writer].granted.get(&key);
                let granted_recently = granted.is_some_and(|at| now - *at < RETENTION);
                assert!(
                    !granted_recently,
                    "key {key} was granted here and must not be called unclaimed"
                );
            }
        }
    }

    fn create(&mut self, seq: u64, batch: ClaimBatch) -> CreateResult {
        if self.store.contains_key(&seq) {
            return CreateResult::Exists;
        }
        self.store.insert(seq, (self.now, batch));
        CreateResult::Created
    }

    fn io(&mut self, writer: usize, network: Network) {
        if self.writers[writer].paused || self.writers[writer].ops.is_empty() {
            return;
        }
        let op = self.writers[writer].ops.remove(0);
        let now = self.now;
        let actions = match op {
            ClaimAction::Read { seq } => {
                let result = match (network, self.store.get(&seq)) {
                    (Network::Works, Some((_, batch))) => ReadResult::Entry(batch.clone()),
                    (Network::Works, None) => ReadResult::Absent,
                    _ => ReadResult::Failed,
                };
                self.writers[writer].log.on_read(now, seq, result)
            }
            ClaimAction::Create { seq, batch } => {
                let result = match network {
                    Network::Works => self.create(seq, batch),
                    Network::Refuses => CreateResult::Failed,
                    Network::LosesCall => CreateResult::Unknown,
                    Network::LosesAnswer => {
                        self.create(seq, batch);
                        CreateResult::Unknown
                    }
                    Network::Delays => {
                        self.delayed.push((seq, batch));
                        CreateResult::Unknown
                    }
                };
                self.writers[writer].log.on_created(now, seq, result)
            }
            ClaimAction::Resolve { .. } => unreachable!("results are not operations"),
        };
        self.perform(writer, actions);
    }

    fn tick(&mut self) {
        for writer in 0..WRITERS {
            if self.writers[writer].paused {
                continue;
            }
            let actions = self.writers[writer].log.tick(self.now);
            self.perform(writer, actions);
            if self.writers[writer].log.is_stale() {
                self.replace(writer);
            }
        }
    }

    /// Replaces a writer. Its tickets get no result, and its last create may still take effect.
    fn replace(&mut self, writer: usize) {
        let new = self.new_writer();
        let old = std::mem::replace(&mut self.writers[writer], new);
        self.tickets.retain(|_, (owner, _)| *owner != writer);
        for op in old.ops {
            if let ClaimAction::Create { seq, batch } = op {
                self.delayed.push((seq, batch));
            }
        }
    }

    fn submit(&mut self, writer: usize, key: u128) {
        if self.writers[writer].paused {
            return;
        }
        self.next_ticket += 1;
        self.tickets.insert(self.next_ticket, (writer, key));
        let actions = self.writers[writer]
            .log
            .submit(self.now, self.next_ticket, key);
        self.perform(writer, actions);
    }

    /// Removes old entries but keeps the newest one.
    fn trim(&mut self) {
        let newest = self.store.keys().last().copied();
        let now = self.now;
        self.store
            .retain(|seq, (at, _)| Some(*seq) == newest || now - *at < RETENTION);
        // A call is not delayed by as long as the retention time.
        let first = self.store.keys().next().copied().unwrap_or(0);
        self.delayed.retain(|(seq, _)| *seq >= first);
    }
}

fn outcome_of(key: u128) -> ClaimOutcome {
    ClaimOutcome {
        status: 201,
        body: key.to_le_bytes().to_vec(),
    }
}

struct Claims;

impl StateMachineTest for Claims {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        let mut world = World::default();
        for _ in 0..WRITERS {
            let writer = world.new_writer();
            world.writers.push(writer);
        }
        world
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        match step {
            Step::Submit { writer, key } => world.submit(writer, key),
            Step::Outcome { writer, key } => {
                if world.writers[writer].granted.contains_key(&key) {
                    let log = &mut world.writers[writer].log;
                    let actions = log.record_outcome(world.now, key, outcome_of(key));
                    world.perform(writer, actions);
                }
            }
            Step::Io { writer, network } => world.io(writer, network),
            Step::ApplyDelayed => {
                if let Some((seq, batch)) = world.delayed.pop() {
                    world.create(seq, batch);
                }
            }
            Step::Advance { ms } => {
                world.now += Duration::from_millis(ms);
                world.tick();
            }
            Step::AdvanceHours { hours } => {
                world.now += Duration::from_secs(hours * 3600);
                world.tick();
            }
            Step::Pause { writer, paused } => world.writers[writer].paused = paused,
            Step::Restart { writer } => world.replace(writer),
            Step::Trim => world.trim(),
        }
        world
    }

    /// Guards against a log that grants nothing twice only because it resolves no claims.
    fn teardown(mut world: World, (): ()) {
        for writer in 0..WRITERS {
            world.writers[writer].paused = false;
        }
        let fresh = KEYS + 1;
        world.tick();
        world.submit(0, fresh);
        for _ in 0..300 {
            world.now += Duration::from_millis(5);
            world.tick();
            for writer in 0..WRITERS {
                world.io(writer, Network::Works);
            }
        }
        assert!(
            world.tickets.is_empty(),
            "every claim is resolved once the platform works"
        );
        assert!(
            world.grants.contains_key(&fresh),
            "an unclaimed key is granted"
        );
    }
}

prop_state_machine! {
    #![proptest_config(common::fuzz_config(1_000))]

    /// Guards against a call that runs twice because two writers were granted its key (G6), and
    /// against `claims_unavailable` for a call that this instance has granted.
    #[test]
    fn a_key_is_granted_at_most_once(sequential 1..120 => Claims);
}
