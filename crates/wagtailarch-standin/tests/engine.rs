//! Tests of the engine's state without sockets.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use wagtailarch_standin::engine::{EngineSettings, EngineState, Sequence};
use wagtailarch_standin::token::{block_hashes, check_answer, prompt_key, prompt_tokens};
use wagtailarch_types::{Assignment, BackendState, Phase, Priority, Role};
use wagtailarch_wire::engine::{EngineRefusalCode, FinishReason, Frame, Order, OrderKind};

fn engine(options: &[&str]) -> EngineState {
    let options = options.iter().map(Into::into).collect();
    let mut args = pico_args::Arguments::from_vec(options);
    EngineState::new(
        EngineSettings::from_args(&mut args).expect("valid options"),
        7,
    )
}

fn sequence(prompt: &str, priority: Priority, end: u32) -> (Sequence, mpsc::Receiver<Frame>) {
    let (frames, reader) = mpsc::channel(64);
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
    (sequence, reader)
}

fn steps(engine: &mut EngineState, count: usize) {
    for _ in 0..count {
        let max_running = engine.settings().max_running;
        engine.batch.start_waiting(&mut engine.cache, max_running);
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

/// Guards against a batch that drops, repeats or reorders tokens.
#[test]
fn concurrent_answers_are_whole() {
    let mut engine = engine(&[]);
    let prompts: Vec<String> = (0..5).map(|n| format!("prompt {n}")).collect();
    let mut readers = Vec::new();
    for prompt in &prompts {
        let (sequence, reader) = sequence(prompt, Priority::Normal, 9);
        engine.submit(sequence);
        readers.push(reader);
    }
    steps(&mut engine, 12);
    assert_eq!(engine.counters.completed, 5);
    for (prompt, reader) in prompts.iter().zip(&mut readers) {
        let mut text = String::new();
        while let Ok(frame) = reader.try_recv() {
            text.push_str(&frame.text);
        }
        assert_eq!(check_answer(prompt_key(prompt), 9, &text), Ok(()));
    }
}

/// Guards against a queue that ignores priorities.
#[test]
fn higher_priority_starts_first() {
    let mut engine = engine(&["--max-running", "1"]);
    let (low, mut low_reader) = sequence("low", Priority::Low, 1);
    let (high, mut high_reader) = sequence("high", Priority::High, 1);
    engine.submit(low);
    engine.submit(high);
    steps(&mut engine, 2);
    assert!(high_reader.try_recv().is_ok());
    assert!(low_reader.try_recv().is_err());
}

/// Guards against a slow reader that stops the others or loses tokens.
#[test]
fn slow_reader_pauses_alone() {
    let mut engine = engine(&[]);
    let (slow, mut slow_reader) = sequence("slow", Priority::Normal, 100);
    let (fast, mut fast_reader) = sequence("fast", Priority::Normal, 100);
    engine.submit(slow);
    engine.submit(fast);
    let mut fast_text = String::new();
    for _ in 0..110 {
        steps(&mut engine, 1);
        while let Ok(frame) = fast_reader.try_recv() {
            fast_text.push_str(&frame.text);
        }
    }
    assert_eq!(check_answer(prompt_key("fast"), 100, &fast_text), Ok(()));
    let mut slow_text = String::new();
    for _ in 0..110 {
        while let Ok(frame) = slow_reader.try_recv() {
            slow_text.push_str(&frame.text);
        }
        steps(&mut engine, 1);
    }
    assert_eq!(check_answer(prompt_key("slow"), 100, &slow_text), Ok(()));
}

/// Guards against prefix hits that are not counted or survive their eviction.
#[test]
fn prefix_hits_save_prefill() {
    let mut engine = engine(&["--cache-blocks", "4"]);
    let shared = "x".repeat(1024);
    for (suffix, cached) in [("a", 0), ("b", 256)] {
        let (sequence, mut reader) = sequence(&(shared.clone() + suffix), Priority::Normal, 1);
        engine.submit(sequence);
        steps(&mut engine, 2);
        let usage = reader.try_recv().expect("one frame").usage.expect("usage");
        assert_eq!(usage.cached_tokens, cached);
    }
    let (other, _reader) = sequence(&"y".repeat(1024), Priority::Normal, 1);
    engine.submit(other);
    steps(&mut engine, 2);
    assert_eq!(engine.cache.hit(&block_hashes(&shared)), 0);
    assert!(!engine.cache.events_after(0).events.is_empty());
}

/// Guards against a checking engine that obeys an older lease.
#[test]
fn checking_engine_refuses_an_old_number() {
    let mut engine = engine(&["--checks-fencing"]);
    let now = Instant::now();
    assert_eq!(engine.order(&order(1, 5, OrderKind::Drain), now), Ok(()));
    let refused = engine.order(&order(2, 4, OrderKind::Undrain), now);
    assert_eq!(refused, Err(EngineRefusalCode::StaleFencingNumber));
    assert_eq!(engine.counters.order_conflicts, 0);
}

/// Guards against conflicts that the stand-in does not see, which would hide a broken guarantee.
#[test]
fn contradicting_orders_are_counted() {
    let mut engine = engine(&[]);
    let now = Instant::now();
    engine
        .order(&order(1, 5, assign("v2")), now)
        .expect("taken");
    engine
        .order(&order(1, 5, assign("v2")), now)
        .expect("the same order again");
    assert_eq!(engine.counters.order_conflicts, 0);
    engine
        .order(&order(2, 5, assign("v3")), now)
        .expect("taken");
    engine
        .order(&order(3, 4, OrderKind::Drain), now)
        .expect("taken");
    assert_eq!(engine.counters.order_conflicts, 2);
}

/// Guards against an assign order that spares running work or takes no time.
#[test]
fn assign_cuts_and_takes_time() {
    let mut engine = engine(&["--report-lag-ms", "0"]);
    let (running, mut reader) = sequence("long", Priority::Normal, 100);
    engine.submit(running);
    steps(&mut engine, 3);
    let now = Instant::now();
    engine
        .order(&order(1, 1, assign("v2")), now)
        .expect("taken");
    assert_eq!(engine.counters.cut_requests, 1);
    while reader.try_recv().is_ok() {}
    assert!(reader.is_closed());
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
