//! Which plain server is chosen, and what its answers show.

mod common;

use std::time::Duration;

use common::{PLAIN, config, plain};
use wagtailarch_dispatch::{BackendServer, Board, Evidence};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn board() -> Board {
    let mut board = Board::default();
    let servers = [plain("s1", "a"), plain("s2", "b"), plain("s3", "b")];
    board.apply(&servers, &config());
    board
}

fn choose(board: &Board, now: Duration) -> Option<String> {
    let choice = board.place_plain(now, &PLAIN.into(), &"a".into(), &[]);
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
    let mut evidence = Evidence::default();
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
