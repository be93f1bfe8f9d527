//! What peers tell of their load.

mod common;

use std::time::Duration;

use common::{ENGINES, config, engine};
use wagtailarch_dispatch::{LoadBalancer, Urgency};
use wagtailarch_types::{InstanceId, Role, ServiceName};
use wagtailarch_wire::load_note::{LoadNote, OpenPrefill, StoreVersions, server_key};

fn note(sender: &str, reads: &[(&str, u32)], running: &[(&str, u32)]) -> LoadNote {
    let read = |&(engine, number): &(&str, u32)| OpenPrefill {
        engine: server_key(engine),
        number,
        work_ms: 100,
        urgency: Urgency::OnTime,
    };
    let running = running.iter().map(|(id, count)| (server_key(id), *count));
    LoadNote {
        sender: sender.into(),
        zone: "a".into(),
        boot: 1,
        sequence: 1,
        generation: 1,
        store_versions: StoreVersions::default(),
        open_prefills: reads.iter().map(read).collect(),
        sent_prefixes: Vec::new(),
        running: running.collect(),
        strikes: Vec::new(),
    }
}

/// Returns requests that generate and the mean wait at the engines that read, in milliseconds.
fn demand(board: &LoadBalancer, now: Duration) -> (u32, u128) {
    let demand = board.demand(now)[&ServiceName::from(ENGINES)];
    (demand.running, demand.prefill_wait.as_millis())
}

/// Guards against engines that keep the load of a peer that no longer names them, and against a note of
/// one peer that ends the load of another.
#[test]
fn a_note_replaces_all_that_the_note_before_it_told() {
    let now = Duration::from_secs(1);
    let mut board = LoadBalancer::default();
    let servers = [
        engine("r", "a", Role::Prefill),
        engine("d", "a", Role::Decode),
    ];
    board.apply(&servers, &config());
    board.on_load_note(now, &note("p", &[("r", 1), ("r", 2)], &[("d", 3)]));
    board.on_load_note(now, &note("q", &[("r", 1)], &[("d", 2)]));
    assert_eq!(demand(&board, now), (5, 300));
    board.on_load_note(now, &note("p", &[("r", 2)], &[]));
    assert_eq!(demand(&board, now), (2, 200));
    board.on_load_note(now, &note("p", &[], &[]));
    assert_eq!(demand(&board, now), (2, 100));
    board.on_load_note(now, &note("q", &[], &[]));
    assert_eq!(demand(&board, now), (0, 0));
}

/// Guards against a split generation that is counted on the engine that was planned and not on the one
/// that generates: its own count is taken back where it was added.
#[test]
fn running_requests_are_counted_where_they_generate() {
    let now = Duration::from_secs(1);
    let mut board = LoadBalancer::default();
    let servers = [
        engine("d1", "a", Role::Decode),
        engine("d2", "a", Role::Decode),
    ];
    board.apply(&servers, &config());
    let (first, second) = (InstanceId::from("d1"), InstanceId::from("d2"));
    board.add_running(&first, 1);
    board.add_running(&second, 1);
    board.add_running(&first, -1);
    assert_eq!(board.own_running(), [(server_key("d2"), 1)]);
    let started = board.start_prefill(now, &second, Urgency::OnTime, &[], 1_000);
    assert!(started.is_some());
    assert_eq!(board.open_prefills()[0].engine, server_key("d2"));
}
