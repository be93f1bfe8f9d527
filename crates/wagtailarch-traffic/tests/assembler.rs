//! Fuzz tests of the assembly of responses from interleaved frames.

mod common;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use wagtailarch_traffic::{Assembler, DropReason, FrameOutcome};
use wagtailarch_types::format_request_id;
use wagtailarch_wire::engine::{FinishReason, Frame};

const REQUESTS: usize = 2;
const TOKENS: u32 = 6;
const ATTEMPTS: u32 = 4;

#[derive(Debug, Clone)]
enum Step {
    StartAttempt {
        request: usize,
    },
    /// A frame of `request` arrives at the assembler of `to`.
    Arrive {
        to: usize,
        request: usize,
        attempt: u32,
        index: u32,
    },
    /// The frame that the assembler expects next arrives.
    ArriveNext {
        request: usize,
    },
    /// A frame with a KV handle arrives.
    ArriveKv {
        to: usize,
        request: usize,
        attempt: u32,
    },
}

/// Number of started attempts of each request.
#[derive(Debug, Clone)]
struct StartedAttempts([u32; REQUESTS]);

impl ReferenceStateMachine for StartedAttempts {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self([0; REQUESTS])).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let id = 0..REQUESTS;
        prop_oneof![
            2 => id.clone().prop_map(|request| Step::StartAttempt { request }),
            6 => (id.clone(), id.clone(), 1..=ATTEMPTS, 0..TOKENS).prop_map(
                |(to, request, attempt, index)| Step::Arrive { to, request, attempt, index }
            ),
            4 => id.clone().prop_map(|request| Step::ArriveNext { request }),
            1 => (id.clone(), id, 1..=ATTEMPTS).prop_map(
                |(to, request, attempt)| Step::ArriveKv { to, request, attempt }
            ),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        if let Step::StartAttempt { request } = step {
            state.0[*request] += 1;
        }
        state
    }
}

fn token(request: usize, index: u32) -> String {
    format!("r{request}t{index} ")
}

fn frame(request: usize, attempt: u32, index: u32) -> Frame {
    Frame {
        request: format_request_id(request as u128).into(),
        attempt,
        index,
        text: token(request, index),
        finish: (index + 1 == TOKENS).then_some(FinishReason::Stop),
        usage: None,
        kv_handle: None,
    }
}

/// An assembler and the text that it has delivered.
struct Client {
    assembler: Assembler,
    received: String,
    finished: u32,
    current: u32,
}

impl Client {
    fn accept(&mut self, same_request: bool, frame: Frame) {
        let (attempt, index, kv) = (frame.attempt, frame.index, frame.kv_handle.is_some());
        let expected = self.assembler.next_index();
        match self.assembler.accept(frame) {
            FrameOutcome::Deliver(text) => self.received.push_str(&text),
            FrameOutcome::Finished { text, .. } => {
                self.received.push_str(&text);
                self.finished += 1;
            }
            FrameOutcome::KvReady(_) => assert!(same_request && kv && attempt == self.current),
            FrameOutcome::Dropped(DropReason::OtherRequest) => assert!(!same_request),
            FrameOutcome::Dropped(DropReason::OtherAttempt) => assert_ne!(attempt, self.current),
            FrameOutcome::Dropped(DropReason::Duplicate) => assert!(index < expected),
            FrameOutcome::Dropped(DropReason::Gap) => assert!(index > expected),
            FrameOutcome::Dropped(DropReason::Closed | DropReason::TooLong) => {}
        }
    }
}

struct Assembly;

impl StateMachineTest for Assembly {
    type SystemUnderTest = Vec<Client>;
    type Reference = StartedAttempts;

    fn init_test(_: &StartedAttempts) -> Vec<Client> {
        let client = |request| Client {
            assembler: Assembler::new(request as u128),
            received: String::new(),
            finished: 0,
            current: 0,
        };
        (0..REQUESTS).map(client).collect()
    }

    fn apply(mut clients: Vec<Client>, _: &StartedAttempts, step: Step) -> Vec<Client> {
        match step {
            Step::StartAttempt { request } => {
                clients[request].current = clients[request].assembler.start_attempt();
            }
            Step::Arrive {
                to,
                request,
                attempt,
                index,
            } => {
                clients[to].accept(to == request, frame(request, attempt, index));
            }
            Step::ArriveNext { request } => {
                let client = &mut clients[request];
                let next = frame(request, client.current, client.assembler.next_index());
                client.accept(true, next);
            }
            Step::ArriveKv {
                to,
                request,
                attempt,
            } => {
                let mut kv = frame(request, attempt, 0);
                kv.kv_handle = Some("kv".into());
                clients[to].accept(to == request, kv);
            }
        }
        clients
    }

    fn check_invariants(clients: &Vec<Client>, started: &StartedAttempts) {
        for (request, client) in clients.iter().enumerate() {
            let count = client.assembler.next_index();
            let expected: String = (0..count).map(|index| token(request, index)).collect();
            assert_eq!(
                client.received, expected,
                "the client gets each token once, in order"
            );
            assert_eq!(
                client.assembler.emitted(),
                expected,
                "a resumed attempt continues from the delivered text"
            );
            assert_eq!(
                client.finished == 1,
                count == TOKENS,
                "complete exactly at the last token"
            );
            assert_eq!(client.current, started.0[request]);
        }
    }

    /// Guards against an assembler that drops valid frames: a final attempt must complete every
    /// response.
    fn teardown(mut clients: Vec<Client>, _: StartedAttempts) {
        for (request, client) in clients.iter_mut().enumerate() {
            client.current = client.assembler.start_attempt();
            for index in client.assembler.next_index()..TOKENS {
                client.accept(true, frame(request, client.current, index));
            }
            assert!(client.assembler.is_finished());
        }
    }
}

prop_state_machine! {
    #![proptest_config(common::fuzz_config(1_500))]

    /// Guards against tokens of other responses and against lost, repeated or reordered tokens
    /// (G4), while frames of earlier attempts and other requests arrive in between.
    #[test]
    fn delivers_the_exact_token_sequence_once(sequential 1..80 => Assembly);
}
