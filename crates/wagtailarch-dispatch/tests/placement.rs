//! Where generations go.

mod common;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use common::{ENGINES, config, engine, prompt, request};
use rstest::rstest;
use wagtailarch_dispatch::{
    GenerationPlan, GenerationRequest, LoadBalancer, Placement, PrefillNumber, PrefillPlan,
    PrefixLink, Urgency,
};
use wagtailarch_types::{InstanceId, Role, ZoneName};

const NOW: Duration = Duration::from_secs(10);

/// Returns a board with these engines of one zone.
fn board(engines: &[(&str, Role)]) -> LoadBalancer {
    let servers: Vec<_> = engines
        .iter()
        .map(|&(id, role)| engine(id, "a", role))
        .collect();
    let mut board = LoadBalancer::default();
    board.apply(&servers, &config());
    board
}

/// Places a prompt of the instance's own zone.
fn place(board: &LoadBalancer, prefixes: &[PrefixLink]) -> Placement {
    let zone: ZoneName = "a".into();
    board.place_generation(NOW, &ENGINES.into(), &request(prefixes, &zone), &[])
}

/// Places a prompt where an engine is free.
fn plan(board: &LoadBalancer, prefixes: &[PrefixLink]) -> GenerationPlan {
    match place(board, prefixes) {
        Placement::Use(plan) => plan,
        other => panic!("engines are free: {other:?}"),
    }
}

/// Notes that a prompt is sent to the engine that reads it; returns that engine and the number.
fn start_prefill(
    board: &mut LoadBalancer,
    plan: &GenerationPlan,
    prefixes: &[PrefixLink],
) -> (InstanceId, PrefillNumber) {
    let id = match &plan.prefill {
        PrefillPlan::Direct => plan.decode.id.clone(),
        PrefillPlan::Split(reader) => reader.id.clone(),
    };
    let tokens = prefixes.last().map_or(0, |link| link.end_tokens);
    let started = board.start_prefill(NOW, &id, plan.urgency, prefixes, tokens);
    let (number, _) = started.expect("the engine is known");
    (id, number)
}

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
    let mut board = LoadBalancer::default();
    board.apply(&servers, &config());
    let prefixes = prompt("s", 13_300, "o", 3_720);
    let request = request(&prefixes, &zone);
    let service = ENGINES.into();
    let Placement::Use(plan) = board.place_generation(NOW, &service, &request, &[]) else {
        panic!("engines are idle");
    };
    assert_eq!(plan.decode.id, "near");
    let PrefillPlan::Split(reader) = plan.prefill else {
        panic!("a long prompt is read by the prefill engine");
    };

    servers.retain(|server| server.id != "near");
    board.apply(&servers, &config());
    let generator = board.place_decode(NOW, &service, &request, &reader.id, &[]);
    assert_eq!(generator.expect("an engine is left").id, "far");
}

/// Guards against shared parts that are read again because requests for them are spread.
#[test]
fn prompts_follow_the_engine_that_holds_their_shared_part() {
    let mut board = board(&[
        ("r1", Role::Prefill),
        ("r2", Role::Prefill),
        ("r3", Role::Prefill),
        ("d", Role::Decode),
    ]);
    let mut used = Vec::new();
    for own in ["o1", "o2", "o3"] {
        let prefixes = prompt("shared", 13_300, own, 4_000);
        let plan = plan(&board, &prefixes);
        assert!(matches!(plan.prefill, PrefillPlan::Split(_)));
        let (reader, number) = start_prefill(&mut board, &plan, &prefixes);
        board.finish_prefill(NOW + plan.prefill_time, number, true);
        used.push(reader);
    }
    assert!(used.iter().all(|id| *id == used[0]), "{used:?}");
}

/// Guards against clients that are held although no engine can answer while they wait.
#[test]
fn what_cannot_begin_in_time_is_refused_at_once() {
    let mut board = board(&[("r", Role::Prefill), ("d", Role::Decode)]);
    for index in 0..40 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 13_300, &own, 4_000);
        match place(&board, &prefixes) {
            Placement::Use(plan) => {
                start_prefill(&mut board, &plan, &prefixes);
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
    let mut board = board(&[("r", Role::Prefill), ("d", Role::Decode)]);
    let prefixes = prompt("s", 350, "o", 1_110);
    assert_eq!(plan(&board, &prefixes).prefill, PrefillPlan::Direct);
    board.add_running(&"d".into(), 30);
    assert!(matches!(
        plan(&board, &prefixes).prefill,
        PrefillPlan::Split(_)
    ));
}

/// Guards against pauses in streams because several prompts are read on their engine at once: each
/// alone was short enough, together they took longer than the objective between two events.
#[test]
fn reading_that_waits_at_a_generating_engine_counts_as_disturbance() {
    let mut board = board(&[("d1", Role::Decode), ("d2", Role::Decode)]);
    for id in ["d1", "d2"] {
        board.add_running(&id.into(), 2);
    }
    let mut used = Vec::new();
    for own in ["o1", "o2"] {
        let prefixes = prompt("s", 350, own, 1_900);
        let plan = plan(&board, &prefixes);
        start_prefill(&mut board, &plan, &prefixes);
        used.push(plan.decode.id);
    }
    assert_ne!(used[0], used[1]);
}

/// Guards against streams that pause at a peak of long prompts: while engines that only read are
/// busier than the clients' objective allows, prompts were read on those that generate, every event of
/// whose streams was late by it.
#[test]
fn streams_do_not_pause_for_long_prompts_at_a_peak() {
    let gap = Duration::from_millis(200);
    let mut board = board(&[
        ("r1", Role::Prefill),
        ("r2", Role::Prefill),
        ("d1", Role::Decode),
        ("d2", Role::Decode),
    ]);
    for id in ["d1", "d2"] {
        board.add_running(&id.into(), 2);
    }
    let mut read_here: HashMap<InstanceId, Duration> = HashMap::new();
    let mut refused = 0;
    for index in 0..60 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 2_500, &own, 1_500);
        match place(&board, &prefixes) {
            Placement::Use(plan) => {
                let (engine, _) = start_prefill(&mut board, &plan, &prefixes);
                *read_here.entry(engine).or_default() += plan.prefill_time;
            }
            Placement::Refuse { .. } => refused += 1,
            Placement::NoEngine => panic!("engines are usable"),
        }
    }
    assert!(refused > 0, "the peak is above what the engines can read");
    for id in ["d1", "d2"] {
        let paused = read_here.get(id).copied().unwrap_or_default();
        assert!(paused < gap, "{id} reads for {paused:?}");
    }
    assert!(read_here["r1"] > gap && read_here["r2"] > gap);
}

/// Guards against prompts that nobody reads because all engines generate, as after the loss of those
/// that only read.
#[test]
fn long_prompts_are_read_beside_streams_where_no_engine_only_reads() {
    let mut board = board(&[("d1", Role::Decode), ("d2", Role::Decode)]);
    for id in ["d1", "d2"] {
        board.add_running(&id.into(), 2);
    }
    let plan = plan(&board, &prompt("s", 13_300, "o", 3_700));
    assert_eq!(plan.prefill, PrefillPlan::Direct);
}

/// Guards against a request that is refused or late because only part of a large fleet is compared: all
/// engines that its prompt prefers are busy, and others are idle.
#[test]
fn all_engines_are_compared_if_those_preferred_are_busy() {
    let ids: Vec<_> = (0..400).map(|index| format!("d{index}")).collect();
    let engines: Vec<_> = ids.iter().map(|id| (id.as_str(), Role::Decode)).collect();
    let mut board = board(&engines);
    let prefixes = prompt("shared", 8_000, "own", 1_000);
    let mut used = Vec::new();
    for _ in 0..200 {
        let plan = plan(&board, &prefixes);
        assert_eq!(plan.urgency, Urgency::OnTime);
        // Long prompts, so that one makes its engine too late for another.
        let long = prompt("other", 40_000, "own", 1_000);
        let (engine, _) = start_prefill(&mut board, &plan, &long);
        used.push(engine);
    }
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 200);
}

/// Guards against instances that all send their prompts to the engine that was idle when they last
/// heard of it: with knowledge that is 60 ms old, the busiest engine had twice the mean load.
#[test]
fn instances_with_old_knowledge_use_engines_evenly() {
    const ENGINES_THERE: usize = 40;
    const INSTANCES: usize = 20;
    let ids: Vec<_> = (0..ENGINES_THERE)
        .map(|index| format!("r{index}"))
        .collect();
    let mut engines: Vec<_> = ids.iter().map(|id| (id.as_str(), Role::Prefill)).collect();
    engines.push(("d", Role::Decode));
    // One engine has been idle, and the others have a prompt to read.
    let mut used: HashMap<InstanceId, u32> = HashMap::new();
    for instance in 0..INSTANCES {
        let mut board = board(&engines);
        board.add_running(&"d".into(), 2);
        for id in &ids[1..] {
            let prefixes = prompt("before", 4_000, id, 1_000);
            board.start_prefill(NOW, &id.as_str().into(), Urgency::OnTime, &prefixes, 5_000);
        }
        for index in 0..2 {
            let own = format!("i{instance}-{index}");
            let prefixes = prompt(&own, 4_000, &own, 1_000);
            let plan = plan(&board, &prefixes);
            assert_eq!(plan.urgency, Urgency::OnTime);
            let (engine, _) = start_prefill(&mut board, &plan, &prefixes);
            *used.entry(engine).or_default() += 1;
        }
    }
    let busiest = used.values().copied().max().unwrap_or_default();
    // All engines are in time, so that no one may take more than a third.
    let prompts = used.values().sum::<u32>();
    assert!(
        busiest * 3 <= prompts,
        "{busiest} of {prompts} prompts went to one engine"
    );
}

/// Guards against prompts that are late by little and wait behind all that come after them, until their
/// clients leave, and against such prompts that make others late which are on time.
#[test]
fn a_prompt_that_is_late_by_little_is_ranked_between() {
    let objective = Duration::from_millis(600);
    let mut board = board(&[("d", Role::Decode)]);
    let mut ranked = Vec::new();
    for index in 0..40 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 1_000, &own, 1_000);
        if let Placement::Use(plan) = place(&board, &prefixes) {
            ranked.push((plan.urgency, plan.first_event));
            start_prefill(&mut board, &plan, &prefixes);
        }
    }
    let of = |wanted: Urgency| {
        let found = ranked.iter().filter(|(urgency, _)| *urgency == wanted);
        found.map(|(_, first)| *first).collect::<Vec<_>>()
    };
    let (on_time, near, late) = (of(Urgency::OnTime), of(Urgency::Near), of(Urgency::Late));
    assert!(!on_time.is_empty() && on_time.iter().all(|first| *first <= objective));
    assert!(!near.is_empty(), "{ranked:?}");
    assert!(
        near.iter()
            .all(|first| *first > objective && *first <= objective * 2)
    );
    assert!(
        late.iter().all(|first| *first > objective * 2),
        "{ranked:?}"
    );
}

/// Reads `count` prompts one after the other, each `times` as slow as the prediction of the board as
/// it was at first.
fn read_at_pace(board: &mut LoadBalancer, count: u32, times: f64) {
    let mut assumed = None;
    for index in 0..count {
        let own = format!("learn{index}");
        let prefixes = prompt(&own, 2_000, &own, 2_000);
        let plan = plan(board, &prefixes);
        let assumed = *assumed.get_or_insert(plan.prefill_time);
        let (_, number) = start_prefill(board, &plan, &prefixes);
        let took = assumed.mul_f64(times) + Duration::from_millis(3);
        board.finish_prefill(NOW + took, number, true);
    }
}

/// Guards against predictions for other engines than those that exist: engines six times as fast were
/// believed to be slow, so that placing and refusing worked with waits three times too long, and
/// engines half as fast took in prompts that nobody waited for any more.
#[rstest]
#[case::fast(0.16)]
#[case::as_assumed(1.0)]
#[case::slow(2.5)]
fn what_is_accepted_follows_the_pace_of_the_engines(#[case] times: f64) {
    let objective = Duration::from_millis(600);
    let mut board = board(&[("r", Role::Prefill), ("d", Role::Decode)]);
    board.add_running(&"d".into(), 2);
    let probe = prompt("probe", 2_000, "probe", 2_000);
    let assumed = plan(&board, &probe).prefill_time;
    read_at_pace(&mut board, 20, times);
    let learned = plan(&board, &probe).prefill_time;
    let ratio = learned.as_secs_f64() / assumed.as_secs_f64();
    assert!(
        (ratio / times - 1.0).abs() < 0.1,
        "learned {ratio}, true {times}"
    );

    let mut on_time = 0u32;
    for index in 0..400 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 2_000, &own, 2_000);
        let Placement::Use(plan) = place(&board, &prefixes) else {
            break;
        };
        if plan.urgency != Urgency::OnTime {
            break;
        }
        start_prefill(&mut board, &plan, &prefixes);
        on_time += 1;
    }
    let truly = objective.as_secs_f64() / (assumed.as_secs_f64() * times);
    let accepted = f64::from(on_time);
    assert!(
        (0.7 * truly..=truly + 1.0).contains(&accepted),
        "{on_time} accepted as on time, {truly} can be"
    );
}

/// Guards against callers that are held until they leave: at a peak that prompts on time fill, one that
/// is late was accepted though its engine never came to it.
#[test]
fn late_prompts_are_refused_at_once_while_prompts_on_time_fill_the_engines() {
    let zone: ZoneName = "a".into();
    let mut board = board(&[("r", Role::Prefill), ("d", Role::Decode)]);
    board.add_running(&"d".into(), 2);
    let mut now = NOW;
    // Prompts of 0.1 s each that come as fast as they are read.
    for index in 0..60 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 2_000, &own, 2_000);
        let started = board.start_prefill(now, &"r".into(), Urgency::OnTime, &prefixes, 4_000);
        let (number, _) = started.expect("the engine is known");
        now += Duration::from_millis(100);
        board.finish_prefill(now, number, false);
    }
    // Three that are late wait; another one cannot be served beside those that come.
    for own in ["l1", "l2", "l3"] {
        let prefixes = prompt(own, 6_000, own, 6_000);
        board.start_prefill(now, &"r".into(), Urgency::Late, &prefixes, 12_000);
    }
    let prefixes = prompt("l4", 2_000, "l4", 2_000);
    let late = GenerationRequest {
        objective_left: Duration::ZERO,
        ..request(&prefixes, &zone)
    };
    let placed = board.place_generation(now, &ENGINES.into(), &late, &[]);
    assert!(matches!(placed, Placement::Refuse { .. }), "{placed:?}");
    // After the peak there is room.
    let later = now + Duration::from_secs(2);
    let placed = board.place_generation(later, &ENGINES.into(), &late, &[]);
    assert!(matches!(placed, Placement::Use(_)), "{placed:?}");
}

/// Time for which clients of [`served_in_time`] wait for the first event.
const PATIENCE_MS: u64 = 2_400;

/// A prompt at one of the engines of [`served_in_time`].
struct Waiting {
    arrived_ms: u64,
    sent_ms: u64,
    give_up_ms: u64,
    work_left_ms: u64,
}

/// Plays two engines that read prompts in 400 ms each while a prompt comes every 150 ms for four
/// seconds; returns how many are read while their client waits.
///
/// The instance does not know what waits at the engines, as after a start. A prompt that is given up
/// goes to the other engine, which reads it anew.
fn served_in_time(attempt_timeout: impl Fn(&GenerationPlan, Duration) -> Duration) -> u32 {
    let mut queues: [VecDeque<Waiting>; 2] = Default::default();
    let mut served = 0;
    let send = |queue: &mut VecDeque<Waiting>, now_ms: u64, arrived_ms: u64| {
        let plan = GenerationPlan {
            prefill: PrefillPlan::Direct,
            decode: engine("e", "a", Role::Decode).endpoint(),
            urgency: Urgency::Late,
            first_event: Duration::from_millis(100),
            prefill_wait: Duration::ZERO,
            prefill_time: Duration::ZERO,
            new_tokens: 0,
        };
        let left = Duration::from_millis((arrived_ms + PATIENCE_MS).saturating_sub(now_ms));
        queue.push_back(Waiting {
            arrived_ms,
            sent_ms: now_ms,
            give_up_ms: attempt_timeout(&plan, left).as_millis() as u64,
            work_left_ms: 400,
        });
    };
    for now_ms in 0..8_000 {
        if now_ms < 4_000 && now_ms % 150 == 0 {
            let shorter = usize::from(queues[1].len() < queues[0].len());
            send(&mut queues[shorter], now_ms, now_ms);
        }
        for index in 0..queues.len() {
            if let Some(first) = queues[index].front_mut() {
                first.work_left_ms -= 1;
                if first.work_left_ms == 0 {
                    served += 1;
                    queues[index].pop_front();
                }
            }
            let queue = std::mem::take(&mut queues[index]);
            for prompt in queue {
                if now_ms >= prompt.arrived_ms + PATIENCE_MS {
                    continue;
                }
                if now_ms >= prompt.sent_ms + prompt.give_up_ms {
                    send(&mut queues[1 - index], now_ms, prompt.arrived_ms);
                } else {
                    queues[index].push_back(prompt);
                }
            }
        }
    }
    served
}

/// Guards against engines that are given up although they work: in an overload prompts were read again
/// and again elsewhere, and fewer clients were served than without giving up.
#[test]
fn giving_up_serves_no_fewer_clients_in_an_overload() {
    let patient = served_in_time(|_, client_timeout_left| client_timeout_left);
    let served = served_in_time(GenerationPlan::attempt_timeout);
    assert!(served >= patient, "{served} of {patient}");
}
