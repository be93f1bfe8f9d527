//! Tests of the state of the stand-in engine, without sockets.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use wagtailarch_standin::engine::{EngineSettings, EngineState, Sequence};
use wagtailarch_standin::token::{block_hashes, check_output, prompt_key, prompt_tokens};
use wagtailarch_types::{Assignment, BackendState, Phase, Priority, Role};
use wagtailarch_wire::engine::{EngineRefusalCode, FinishReason, Frame, Order, OrderKind};

/// Creates an engine from command-line options.
fn engine(options: &[&str]) -> EngineState {
    let options = options.iter().map(Into::into).collect();
    let mut args = pico_args::Arguments::from_vec(options);
    EngineState::new(
        EngineSettings::from_args(&mut args).expect("valid options"),
        7,
    )
}

/// Creates the sequence of a prompt with `end` tokens of output.
fn sequence(prompt: &str, priority: Priority, end: u32) -> (Sequence, mpsc::Receiver<Frame>) {
    let (frames, receiver) = mpsc::channel(64);
    let sequence = Sequence {
        request: prompt.into(),
        attempt: 1,
        priority,
        phase: Phase::Full,
        key: prompt_key(prompt),
        hashes: block_hashes(prompt),
        prompt_tokens: prompt_tokens(prompt),
        prefill_left: prompt_tokens(prompt),
        cached_tokens: 0,
        next_index: 0,
        end_index: end,
        finish: FinishReason::Length,
        crashes: false,
        frames,
    };
    (sequence, receiver)
}

/// Runs steps of an engine and starts queued requests before each.
fn run_steps(engine: &mut EngineState, count: usize) {
    for _ in 0..count {
        let max_running = engine.settings().max_running;
        engine.batch.start_queued(&mut engine.cache, max_running);
        assert_eq!(engine.step(), None);
    }
}

fn order(nonce: u64, fencing_number: u64, kind: OrderKind) -> Order {
    Order {
        nonce,
        fencing_number,
        generation: 1,
        kind,
    }
}

fn assign(version: &str) -> OrderKind {
    OrderKind::Assign(Assignment {
        role: Role::Mixed,
        model: "model".into(),
        version: version.into(),
        adapters: Vec::new(),
    })
}

/// Guards against a batch that loses, repeats or reorders tokens of concurrent requests.
#[test]
fn concurrent_outputs_are_complete() {
    let mut engine = engine(&[]);
    let prompts: Vec<String> = (0..5).map(|n| format!("prompt {n}")).collect();
    let mut receivers = Vec::new();
    for prompt in &prompts {
        let (sequence, receiver) = sequence(prompt, Priority::Normal, 9);
        engine.submit(sequence);
        receivers.push(receiver);
    }
    run_steps(&mut engine, 12);
    assert_eq!(engine.counters.completed, 5);
    for (prompt, receiver) in prompts.iter().zip(&mut receivers) {
        let mut text = String::new();
        while let Ok(frame) = receiver.try_recv() {
            text.push_str(&frame.text);
        }
        assert_eq!(check_output(prompt_key(prompt), 9, &text), Ok(()));
    }
}

/// Guards against a queue that starts requests in the order of arrival regardless of priority.
#[test]
fn higher_priority_starts_first() {
    let mut engine = engine(&["--max-running", "1"]);
    let (low, mut low_receiver) = sequence("low", Priority::Low, 1);
    let (high, mut high_receiver) = sequence("high", Priority::High, 1);
    engine.submit(low);
    engine.submit(high);
    run_steps(&mut engine, 2);
    assert!(high_receiver.try_recv().is_ok());
    assert!(low_receiver.try_recv().is_err());
}

/// Guards against a full frame buffer, after a client stopped reading, that stalls other requests
/// or loses tokens.
#[test]
fn a_slow_client_pauses_only_its_own_sequence() {
    let mut engine = engine(&[]);
    let (slow, mut slow_receiver) = sequence("slow", Priority::Normal, 100);
    let (fast, mut fast_receiver) = sequence("fast", Priority::Normal, 100);
    engine.submit(slow);
    engine.submit(fast);
    let mut fast_text = String::new();
    for _ in 0..110 {
        run_steps(&mut engine, 1);
        while let Ok(frame) = fast_receiver.try_recv() {
            fast_text.push_str(&frame.text);
        }
    }
    assert_eq!(check_output(prompt_key("fast"), 100, &fast_text), Ok(()));
    let mut slow_text = String::new();
    for _ in 0..110 {
        while let Ok(frame) = slow_receiver.try_recv() {
            slow_text.push_str(&frame.text);
        }
        run_steps(&mut engine, 1);
    }
    assert_eq!(check_output(prompt_key("slow"), 100, &slow_text), Ok(()));
}

/// Guards against cached prefixes that are prefilled again or are matched after their eviction.
#[test]
fn cached_prefixes_are_not_prefilled_again() {
    let mut engine = engine(&["--cache-blocks", "4"]);
    let shared = "x".repeat(1024);
    for (suffix, cached) in [("a", 0), ("b", 256)] {
        let (sequence, mut receiver) = sequence(&(shared.clone() + suffix), Priority::Normal, 1);
        engine.submit(sequence);
        run_steps(&mut engine, 2);
        let usage = receiver
            .try_recv()
            .expect("one frame")
            .usage
            .expect("usage");
        assert_eq!(usage.cached_tokens, cached);
    }
    let (other_sequence, _receiver) = sequence(&"y".repeat(1024), Priority::Normal, 1);
    engine.submit(other_sequence);
    run_steps(&mut engine, 2);
    assert_eq!(engine.cache.match_prefix(&block_hashes(&shared)), 0);
    assert!(!engine.cache.events_after(0).events.is_empty());
}

/// Guards against an engine that checks fencing numbers but accepts an order from an older lease.
#[test]
fn an_engine_that_checks_fencing_refuses_an_old_number() {
    let mut engine = engine(&["--checks-fencing"]);
    let now = Instant::now();
    assert_eq!(
        engine.handle_order(&order(1, 5, OrderKind::Drain), now),
        Ok(())
    );
    let refused = engine.handle_order(&order(2, 4, OrderKind::Undrain), now);
    assert_eq!(refused, Err(EngineRefusalCode::StaleFencingNumber));
    assert_eq!(engine.counters.order_conflicts, 0);
}

/// Guards against conflicting orders that are not counted, which would hide a violation of the
/// guarantee of one order at a time.
#[test]
fn conflicting_orders_are_counted() {
    let mut engine = engine(&[]);
    let now = Instant::now();
    engine
        .handle_order(&order(1, 5, assign("v2")), now)
        .expect("accepted");
    engine
        .handle_order(&order(1, 5, assign("v2")), now)
        .expect("the same order again");
    assert_eq!(engine.counters.order_conflicts, 0);
    engine
        .handle_order(&order(2, 5, assign("v3")), now)
        .expect("accepted");
    engine
        .handle_order(&order(3, 4, OrderKind::Drain), now)
        .expect("accepted");
    assert_eq!(engine.counters.order_conflicts, 2);
}

/// Guards against an assign order that does not abort running requests or takes effect at once.
#[test]
fn an_assign_order_aborts_requests_and_takes_time() {
    let mut engine = engine(&["--report-lag-ms", "0"]);
    let (running, mut receiver) = sequence("long", Priority::Normal, 100);
    engine.submit(running);
    run_steps(&mut engine, 3);
    let now = Instant::now();
    engine
        .handle_order(&order(1, 1, assign("v2")), now)
        .expect("accepted");
    assert_eq!(engine.counters.aborted_requests, 1);
    while receiver.try_recv().is_ok() {}
    assert!(receiver.is_closed());
    engine.finish_change(now + Duration::from_millis(2999));
    engine.make_report(now + Duration::from_millis(2999));
    let state = engine.report().expect("report").state;
    assert_eq!(state, BackendState::Changing);
    engine.finish_change(now + Duration::from_millis(3000));
    engine.make_report(now + Duration::from_millis(3000));
    let report = engine.report().expect("report");
    assert_eq!(
        (report.version.as_str(), report.last_order_nonce),
        ("v2", Some(1))
    );
}
