//! Where generations go.

mod common;

use std::time::Duration;

use common::{ENGINES, config, engine, prompt, request};
use wagtailarch_dispatch::{Board, Placement, ReadPlan, Urgency};
use wagtailarch_types::{Role, ZoneName};

const NOW: Duration = Duration::from_secs(10);

/// Guards against a generation on an engine that began to leave while another engine read the
/// prompt; reading took two seconds in a hunted day.
#[test]
fn the_generator_is_chosen_after_the_prompt_was_read() {
    let zone: ZoneName = "a".into();
    let mut servers = vec![
        engine("reader", "a", Role::Prefill),
        engine("near", "a", Role::Decode),
        engine("far", "b", Role::Decode),
    ];
    let mut board = Board::default();
    board.apply(&servers, &config());
    let prefixes = prompt("s", 13_300, "o", 3_720);
    let request = request(&prefixes, &zone);
    let service = ENGINES.into();
    let Placement::Use(plan) = board.place_generation(NOW, &service, &request, &[]) else {
        panic!("engines are idle");
    };
    assert_eq!(plan.generate.id, "near");
    let ReadPlan::Split(reader) = plan.read else {
        panic!("a long prompt is read by the prefill engine");
    };

    servers.retain(|server| server.id != "near");
    board.apply(&servers, &config());
    let generator = board.place_read(NOW, &service, &request, &reader.id, &[]);
    assert_eq!(generator.expect("an engine is left").id, "far");
}

/// Guards against shared parts that are read again because requests for them are spread.
#[test]
fn prompts_follow_the_engine_that_holds_their_shared_part() {
    let zone: ZoneName = "a".into();
    let readers = ["r1", "r2", "r3"].map(|id| engine(id, "a", Role::Prefill));
    let mut servers = readers.to_vec();
    servers.push(engine("d", "a", Role::Decode));
    let mut board = Board::default();
    board.apply(&servers, &config());
    let service = ENGINES.into();
    let mut used = Vec::new();
    for own in ["o1", "o2", "o3"] {
        let prefixes = prompt("shared", 13_300, own, 4_000);
        let request = request(&prefixes, &zone);
        let Placement::Use(plan) = board.place_generation(NOW, &service, &request, &[]) else {
            panic!("engines are idle");
        };
        let ReadPlan::Split(reader) = plan.read else {
            panic!("a long prompt is read by a prefill engine");
        };
        let tokens = request.prompt_tokens;
        let started = board.start_read(NOW, &reader.id, Urgency::OnTime, &prefixes, tokens);
        let (number, _) = started.expect("the engine is known");
        board.finish_read(NOW, number, true);
        used.push(reader.id);
    }
    assert!(used.iter().all(|id| *id == used[0]), "{used:?}");
}

/// Guards against clients that are held although no engine can answer while they wait.
#[test]
fn what_cannot_begin_in_time_is_refused_at_once() {
    let zone: ZoneName = "a".into();
    let servers = [
        engine("r", "a", Role::Prefill),
        engine("d", "a", Role::Decode),
    ];
    let mut board = Board::default();
    board.apply(&servers, &config());
    let service = ENGINES.into();
    for index in 0..40 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 13_300, &own, 4_000);
        let request = request(&prefixes, &zone);
        match board.place_generation(NOW, &service, &request, &[]) {
            Placement::Use(plan) => {
                let reader = match &plan.read {
                    ReadPlan::Direct => plan.generate.id.clone(),
                    ReadPlan::Split(reader) => reader.id.clone(),
                };
                let tokens = request.prompt_tokens;
                board.start_read(NOW, &reader, plan.urgency, &prefixes, tokens);
            }
            Placement::Refuse { retry_after, .. } => {
                assert!(index > 4, "refused request {index}");
                assert!(retry_after >= Duration::from_millis(300));
                return;
            }
            Placement::NoEngine => panic!("engines are usable"),
        }
    }
    panic!("40 long prompts were accepted at once");
}

/// Guards against streams that stutter because their engine reads prompts between their tokens: an
/// engine that generates for many leaves short prompts to those that only read.
#[test]
fn engines_with_many_streams_read_nothing_while_others_are_free() {
    let zone: ZoneName = "a".into();
    let servers = [
        engine("r", "a", Role::Prefill),
        engine("d", "a", Role::Decode),
    ];
    let mut board = Board::default();
    board.apply(&servers, &config());
    let prefixes = prompt("s", 350, "o", 1_110);
    let service = ENGINES.into();
    let read_plan = |board: &Board| {
        let request = request(&prefixes, &zone);
        match board.place_generation(NOW, &service, &request, &[]) {
            Placement::Use(plan) => plan.read,
            other => panic!("engines are idle: {other:?}"),
        }
    };
    assert_eq!(read_plan(&board), ReadPlan::Direct);
    board.add_running(&"d".into(), 30);
    assert!(matches!(read_plan(&board), ReadPlan::Split(_)));
}

/// Guards against pauses in streams because several prompts are read on their engine at once: each
/// alone was short enough, together they took longer than the objective between two events.
#[test]
fn reading_that_waits_at_a_generating_engine_counts_as_disturbance() {
    let zone: ZoneName = "a".into();
    let servers = [
        engine("d1", "a", Role::Decode),
        engine("d2", "a", Role::Decode),
    ];
    let mut board = Board::default();
    board.apply(&servers, &config());
    for id in ["d1", "d2"] {
        board.add_running(&id.into(), 2);
    }
    let service = ENGINES.into();
    let mut used = Vec::new();
    for own in ["o1", "o2"] {
        let prefixes = prompt("s", 350, own, 1_900);
        let request = request(&prefixes, &zone);
        let Placement::Use(plan) = board.place_generation(NOW, &service, &request, &[]) else {
            panic!("engines are free");
        };
        let id = &plan.generate.id;
        board.start_read(NOW, id, Urgency::OnTime, &prefixes, request.prompt_tokens);
        used.push(plan.generate.id);
    }
    assert_ne!(used[0], used[1]);
}
