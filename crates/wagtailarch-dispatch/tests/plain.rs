//! Which plain server is chosen, and what its answers show.

mod common;

use std::time::Duration;

use common::{PLAIN, config, plain};
use wagtailarch_dispatch::{BackendServer, LoadBalancer, ServerHealth};
use wagtailarch_types::RefusalReason;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn board() -> LoadBalancer {
    let mut board = LoadBalancer::default();
    let servers = [plain("s1", "a"), plain("s2", "b"), plain("s3", "b")];
    board.apply(&servers, &config());
    board
}

fn choose(board: &LoadBalancer, now: Duration) -> Option<String> {
    let choice = board.select_server(now, &PLAIN.into(), &"a".into(), &[]);
    choice.map(|choice| choice.id.to_string())
}

/// Guards against requests that leave their zone while its server has room, and against a server that
/// is filled while others are idle.
#[test]
fn the_own_zone_is_preferred_until_its_server_is_loaded() {
    let mut board = board();
    assert_eq!(choose(&board, at(0)).as_deref(), Some("s1"));
    for _ in 0..4 {
        board.on_sent(&"s1".into());
    }
    assert_ne!(choose(&board, at(0)).as_deref(), Some("s1"));
}

/// Guards against a server that fails part of its requests while its health check is good.
#[test]
fn a_failing_server_is_left_and_tried_again_later() {
    let mut board = board();
    for _ in 0..3 {
        board.on_failure(at(0), &"s1".into());
    }
    assert_ne!(choose(&board, at(10)).as_deref(), Some("s1"));
    assert_eq!(choose(&board, at(20_000)).as_deref(), Some("s1"));
}

/// Guards against a dead server that is asked all the time: each failed connection pauses it longer.
#[test]
fn an_unreachable_server_is_paused_for_longer_each_time() {
    let mut evidence = ServerHealth::default();
    evidence.on_unreachable(at(0));
    assert!(!evidence.usable(at(300)));
    assert!(evidence.usable(at(400)));
    evidence.on_unreachable(at(400));
    assert!(!evidence.usable(at(1_100)));
    assert!(evidence.usable(at(1_200)));
    evidence.on_success(at(1_200));
    evidence.on_unreachable(at(1_300));
    assert!(evidence.usable(at(1_700)));
}

/// Guards against failures of an earlier start that count against a new one under the same name.
#[test]
fn a_new_start_begins_without_failures() {
    let mut board = board();
    board.on_unreachable(at(0), &"s1".into());
    assert_ne!(choose(&board, at(10)).as_deref(), Some("s1"));
    let restarted = BackendServer {
        started_unix_ms: 2_000,
        ..plain("s1", "a")
    };
    board.apply(&[restarted, plain("s2", "b")], &config());
    assert_eq!(choose(&board, at(10)).as_deref(), Some("s1"));
}

/// Guards against more connections than a server accepts from all instances: it resets those beyond,
/// and an at-most-once call whose connection was reset cannot be repeated.
#[test]
fn instances_together_stay_within_the_connections_of_a_server() {
    const INSTANCES: u32 = 8;
    let mut sent = 0;
    for _ in 0..INSTANCES {
        let mut board = LoadBalancer::default();
        board.set_instances(INSTANCES);
        board.apply(&[plain("s1", "a")], &config());
        while choose(&board, at(0)).is_some() && sent < 1_000 {
            board.on_sent(&"s1".into());
            sent += 1;
        }
        let lack = board.unavailable_reason(at(0), &PLAIN.into(), &[]);
        assert_eq!(lack, RefusalReason::Overloaded);
        board.on_ended(&"s1".into());
        assert_eq!(choose(&board, at(0)).as_deref(), Some("s1"));
    }
    // The service's servers accept 110 connections each.
    assert!((100..=110).contains(&sent), "{sent}");
}

/// Guards against an instance that is denied every connection because there are more instances than
/// connections.
#[test]
fn every_instance_may_open_a_connection() {
    let mut board = LoadBalancer::default();
    board.set_instances(10_000);
    board.apply(&[plain("s1", "a")], &config());
    assert_eq!(choose(&board, at(0)).as_deref(), Some("s1"));
}

/// Guards against a wrong cause in the log when the only server of a service cannot be reached.
#[test]
fn an_unreachable_server_is_no_overload() {
    let mut board = LoadBalancer::default();
    board.apply(&[plain("s1", "a")], &config());
    board.on_unreachable(at(0), &"s1".into());
    let lack = board.unavailable_reason(at(10), &PLAIN.into(), &[]);
    assert_eq!(lack, RefusalReason::NoBackend);
}
