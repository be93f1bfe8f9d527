//! Tests the placement of generations.

mod common;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use common::{ENGINES, config, engine, note, prompt, request};
use rstest::rstest;
use wagtailarch_dispatch::{
    GenerationPlan, GenerationRequest, LoadBalancer, Placement, PrefillNumber, PrefillPlan,
    PrefixLink, Urgency,
};
use wagtailarch_types::{InstanceId, Role, ZoneName};

const NOW: Duration = Duration::from_secs(10);

/// Returns a load balancer with these engines in one zone.
fn balancer(engines: &[(&str, Role)]) -> LoadBalancer {
    let servers: Vec<_> = engines
        .iter()
        .map(|&(id, role)| engine(id, "a", role))
        .collect();
    let mut balancer = LoadBalancer::default();
    balancer.apply(&servers, &config());
    balancer
}

/// Returns a load balancer with a prefill engine `r` and a decode engine `d` with running streams.
fn balancer_with_streams() -> LoadBalancer {
    let mut balancer = balancer(&[("r", Role::Prefill), ("d", Role::Decode)]);
    balancer.add_running(&"d".into(), 2);
    balancer
}

/// Places a prompt from the zone of the engines.
fn place(balancer: &LoadBalancer, prefixes: &[PrefixLink]) -> Placement {
    place_at(balancer, NOW, prefixes)
}

fn place_at(balancer: &LoadBalancer, now: Duration, prefixes: &[PrefixLink]) -> Placement {
    let zone: ZoneName = "a".into();
    balancer.place_generation(now, &ENGINES.into(), &request(prefixes, &zone), &[])
}

/// Places a prompt that at least one engine can accept.
fn plan(balancer: &LoadBalancer, prefixes: &[PrefixLink]) -> GenerationPlan {
    match place(balancer, prefixes) {
        Placement::Use(plan) => plan,
        other => panic!("engines are free: {other:?}"),
    }
}

/// Records that a prompt is sent to its prefill engine; returns that engine and the number of the
/// prompt.
fn start_prefill(
    balancer: &mut LoadBalancer,
    plan: &GenerationPlan,
    prefixes: &[PrefixLink],
) -> (InstanceId, PrefillNumber) {
    start_prefill_at(balancer, NOW, plan, prefixes)
}

fn start_prefill_at(
    balancer: &mut LoadBalancer,
    now: Duration,
    plan: &GenerationPlan,
    prefixes: &[PrefixLink],
) -> (InstanceId, PrefillNumber) {
    let id = match &plan.prefill {
        PrefillPlan::Direct => plan.decode.id.clone(),
        PrefillPlan::Split(prefill_engine) => prefill_engine.id.clone(),
    };
    let tokens = prefixes.last().map_or(0, |link| link.end_tokens);
    let started = balancer.start_prefill(now, &id, plan.urgency, prefixes, tokens);
    let (number, _) = started.expect("the engine is known");
    (id, number)
}

/// Guards against a generation on an engine that began to leave while another engine prefilled the
/// prompt; a prefill of two seconds was observed.
#[test]
fn the_decode_engine_is_selected_after_the_prefill() {
    let zone: ZoneName = "a".into();
    let mut servers = vec![
        engine("reader", "a", Role::Prefill),
        engine("near", "a", Role::Decode),
        engine("far", "b", Role::Decode),
    ];
    let mut balancer = LoadBalancer::default();
    balancer.apply(&servers, &config());
    let prefixes = prompt("s", 13_300, "o", 3_720);
    let request = request(&prefixes, &zone);
    let service = ENGINES.into();
    let Placement::Use(plan) = balancer.place_generation(NOW, &service, &request, &[]) else {
        panic!("engines are idle");
    };
    assert_eq!(plan.decode.id, "near");
    let PrefillPlan::Split(prefill_engine) = plan.prefill else {
        panic!("a long prompt is prefilled by the prefill engine");
    };

    servers.retain(|server| server.id != "near");
    balancer.apply(&servers, &config());
    let decode_engine = balancer.place_decode(NOW, &service, &request, &prefill_engine.id, &[]);
    assert_eq!(decode_engine.expect("an engine is left").id, "far");
}

/// Guards against shared prefixes that are prefilled repeatedly because their requests are spread
/// over engines.
#[test]
fn prompts_with_a_shared_prefix_use_the_same_prefill_engine() {
    let mut balancer = balancer(&[
        ("r1", Role::Prefill),
        ("r2", Role::Prefill),
        ("r3", Role::Prefill),
        ("d", Role::Decode),
    ]);
    let mut used = Vec::new();
    for own in ["o1", "o2", "o3"] {
        let prefixes = prompt("shared", 13_300, own, 4_000);
        let plan = plan(&balancer, &prefixes);
        assert!(matches!(plan.prefill, PrefillPlan::Split(_)));
        let (prefill_engine, number) = start_prefill(&mut balancer, &plan, &prefixes);
        balancer.finish_prefill(NOW + plan.prefill_time, number, true);
        used.push(prefill_engine);
    }
    assert!(used.iter().all(|id| *id == used[0]), "{used:?}");
}

/// Guards against clients that wait although no engine can respond in time.
#[test]
fn generations_that_cannot_start_in_time_are_refused_at_once() {
    let mut balancer = balancer(&[("r", Role::Prefill), ("d", Role::Decode)]);
    for index in 0..40 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 13_300, &own, 4_000);
        match place(&balancer, &prefixes) {
            Placement::Use(plan) => {
                start_prefill(&mut balancer, &plan, &prefixes);
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

/// Guards against stalled streams because their engine prefills prompts between decode steps: a
/// decode engine with many streams leaves short prompts to the prefill engines.
#[test]
fn decode_engines_with_many_streams_leave_prompts_to_prefill_engines() {
    let mut balancer = balancer(&[("r", Role::Prefill), ("d", Role::Decode)]);
    let prefixes = prompt("s", 350, "o", 1_110);
    assert_eq!(plan(&balancer, &prefixes).prefill, PrefillPlan::Direct);
    balancer.add_running(&"d".into(), 30);
    assert!(matches!(
        plan(&balancer, &prefixes).prefill,
        PrefillPlan::Split(_)
    ));
}

/// Guards against stalled streams because several prompts are queued on their engine: each prefill
/// alone was short enough, but together they exceeded the gap objective.
#[test]
fn queued_prefill_on_a_decode_engine_counts_as_a_stall() {
    let mut balancer = balancer(&[("d1", Role::Decode), ("d2", Role::Decode)]);
    for id in ["d1", "d2"] {
        balancer.add_running(&id.into(), 2);
    }
    let mut used = Vec::new();
    for own in ["o1", "o2"] {
        let prefixes = prompt("s", 350, own, 1_900);
        let plan = plan(&balancer, &prefixes);
        start_prefill(&mut balancer, &plan, &prefixes);
        used.push(plan.decode.id);
    }
    assert_ne!(used[0], used[1]);
}

/// Guards against stalled streams at a peak of long prompts: while the prefill engines could not
/// meet the objective, prompts were prefilled on decode engines, which delayed every event of their
/// streams.
#[test]
fn long_prompts_do_not_stall_streams_at_a_peak() {
    let gap = Duration::from_millis(200);
    let mut balancer = balancer(&[
        ("r1", Role::Prefill),
        ("r2", Role::Prefill),
        ("d1", Role::Decode),
        ("d2", Role::Decode),
    ]);
    for id in ["d1", "d2"] {
        balancer.add_running(&id.into(), 2);
    }
    let mut prefill_time_by_engine: HashMap<InstanceId, Duration> = HashMap::new();
    let mut refused = 0;
    for index in 0..60 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 2_500, &own, 1_500);
        match place(&balancer, &prefixes) {
            Placement::Use(plan) => {
                let (engine, _) = start_prefill(&mut balancer, &plan, &prefixes);
                *prefill_time_by_engine.entry(engine).or_default() += plan.prefill_time;
            }
            Placement::Refuse { .. } => refused += 1,
            Placement::NoEngine => panic!("engines are usable"),
        }
    }
    assert!(refused > 0, "the peak exceeds the prefill capacity");
    for id in ["d1", "d2"] {
        let prefill_time = prefill_time_by_engine.get(id).copied().unwrap_or_default();
        assert!(prefill_time < gap, "{id} prefills for {prefill_time:?}");
    }
    assert!(prefill_time_by_engine["r1"] > gap && prefill_time_by_engine["r2"] > gap);
}

/// Guards against prompts that no engine prefills because only decode engines are left, as after
/// the loss of the prefill engines.
#[test]
fn long_prompts_are_prefilled_on_decode_engines_without_prefill_engines() {
    let mut balancer = balancer(&[("d1", Role::Decode), ("d2", Role::Decode)]);
    for id in ["d1", "d2"] {
        balancer.add_running(&id.into(), 2);
    }
    let plan = plan(&balancer, &prompt("s", 13_300, "o", 3_700));
    assert_eq!(plan.prefill, PrefillPlan::Direct);
}

/// Guards against requests that are refused or late because only part of a large fleet is compared:
/// all engines that the prompt prefers are busy, and others are idle.
#[test]
fn all_engines_are_compared_if_those_preferred_are_busy() {
    let ids: Vec<_> = (0..400).map(|index| format!("d{index}")).collect();
    let engines: Vec<_> = ids.iter().map(|id| (id.as_str(), Role::Decode)).collect();
    let mut balancer = balancer(&engines);
    let prefixes = prompt("shared", 8_000, "own", 1_000);
    let mut used = Vec::new();
    for _ in 0..200 {
        let plan = plan(&balancer, &prefixes);
        assert_eq!(plan.urgency, Urgency::OnTime);
        // The prompts are long, so that one of them makes its engine too late for another.
        let long = prompt("other", 40_000, "own", 1_000);
        let (engine, _) = start_prefill(&mut balancer, &plan, &long);
        used.push(engine);
    }
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 200);
}

/// Guards against instances that all send their prompts to the engine that was idle in the last
/// reports: with a view that was 60 ms old, the busiest engine had twice the mean load.
#[test]
fn instances_with_an_outdated_view_use_engines_evenly() {
    const PREFILL_ENGINES: usize = 40;
    const INSTANCES: usize = 20;
    let ids: Vec<_> = (0..PREFILL_ENGINES)
        .map(|index| format!("r{index}"))
        .collect();
    let mut engines: Vec<_> = ids.iter().map(|id| (id.as_str(), Role::Prefill)).collect();
    engines.push(("d", Role::Decode));
    // One engine is idle, and each of the others has a prompt to prefill.
    let mut used: HashMap<InstanceId, u32> = HashMap::new();
    for instance in 0..INSTANCES {
        let mut balancer = balancer(&engines);
        balancer.add_running(&"d".into(), 2);
        for id in &ids[1..] {
            let prefixes = prompt("before", 4_000, id, 1_000);
            balancer.start_prefill(NOW, &id.as_str().into(), Urgency::OnTime, &prefixes, 5_000);
        }
        for index in 0..2 {
            let own = format!("i{instance}-{index}");
            let prefixes = prompt(&own, 4_000, &own, 1_000);
            let plan = plan(&balancer, &prefixes);
            assert_eq!(plan.urgency, Urgency::OnTime);
            let (engine, _) = start_prefill(&mut balancer, &plan, &prefixes);
            *used.entry(engine).or_default() += 1;
        }
    }
    let busiest = used.values().copied().max().unwrap_or_default();
    // All engines can meet the objective, so that no engine may take more than a third.
    let prompts = used.values().sum::<u32>();
    assert!(
        busiest * 3 <= prompts,
        "{busiest} of {prompts} prompts went to one engine"
    );
}

/// Guards against slightly late prompts that wait behind all later ones until their clients
/// disconnect, and against such prompts that delay prompts that are on time.
#[test]
fn a_slightly_late_prompt_is_ranked_between_on_time_and_late() {
    let objective = Duration::from_millis(600);
    let mut balancer = balancer(&[("d", Role::Decode)]);
    let mut ranked = Vec::new();
    for index in 0..40 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 1_000, &own, 1_000);
        if let Placement::Use(plan) = place(&balancer, &prefixes) {
            ranked.push((plan.urgency, plan.first_event));
            start_prefill(&mut balancer, &plan, &prefixes);
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

/// Prefills `count` prompts one after the other, each `slowdown` times as slow as the initial
/// prediction.
fn prefill_at_slowdown(balancer: &mut LoadBalancer, count: u32, slowdown: f64) {
    let mut initial_time = None;
    for index in 0..count {
        let own = format!("learn{index}");
        let prefixes = prompt(&own, 2_000, &own, 2_000);
        let plan = plan(balancer, &prefixes);
        let initial_time = *initial_time.get_or_insert(plan.prefill_time);
        let (_, number) = start_prefill(balancer, &plan, &prefixes);
        let took = initial_time.mul_f64(slowdown) + Duration::from_millis(3);
        balancer.finish_prefill(NOW + took, number, true);
    }
}

/// Guards against predictions that do not fit the engines: engines six times as fast were predicted
/// to be slow, so that placement assumed waits three times too long, and engines half as fast
/// accepted prompts whose clients had already disconnected.
#[rstest]
#[case::fast(0.16)]
#[case::as_reference(1.0)]
#[case::slow(2.5)]
fn admission_follows_the_measured_prefill_speed(#[case] slowdown: f64) {
    let objective = Duration::from_millis(600);
    let mut balancer = balancer_with_streams();
    let probe = prompt("probe", 2_000, "probe", 2_000);
    let initial_time = plan(&balancer, &probe).prefill_time;
    prefill_at_slowdown(&mut balancer, 20, slowdown);
    let learned_time = plan(&balancer, &probe).prefill_time;
    let ratio = learned_time.as_secs_f64() / initial_time.as_secs_f64();
    assert!(
        (ratio / slowdown - 1.0).abs() < 0.1,
        "learned {ratio}, actual {slowdown}"
    );

    let mut on_time = 0u32;
    for index in 0..400 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 2_000, &own, 2_000);
        let Placement::Use(plan) = place(&balancer, &prefixes) else {
            break;
        };
        if plan.urgency != Urgency::OnTime {
            break;
        }
        start_prefill(&mut balancer, &plan, &prefixes);
        on_time += 1;
    }
    let capacity = objective.as_secs_f64() / (initial_time.as_secs_f64() * slowdown);
    let accepted = f64::from(on_time);
    assert!(
        (0.7 * capacity..=capacity + 1.0).contains(&accepted),
        "{on_time} accepted as on time, {capacity} possible"
    );
}

/// Guards against an engine that was unresponsive during one prefill and is taken for slow from then
/// on: prompts that are predicted to be late correct no prediction.
#[test]
fn one_slow_prefill_does_not_delay_predictions_for_good() {
    check_correction(1, 15.0);
}

/// Guards against the same if several engines were unresponsive at the same time.
#[test]
fn slow_prefills_do_not_delay_predictions_for_good() {
    check_correction(4, 10.0);
}

/// Checks that prompts that take the usual time correct the prediction after `slow` prompts that took
/// `slowdown` times as long.
fn check_correction(slow: u32, slowdown: f64) {
    let mut balancer = balancer_with_streams();
    let probe = prompt("probe", 2_000, "probe", 2_000);
    let initial_time = plan(&balancer, &probe).prefill_time;
    prefill_at_slowdown(&mut balancer, slow, slowdown);
    for index in 0..20 {
        let own = format!("later{index}");
        let prefixes = prompt(&own, 2_000, &own, 2_000);
        let plan = plan(&balancer, &prefixes);
        let (_, number) = start_prefill(&mut balancer, &plan, &prefixes);
        let took = initial_time + Duration::from_millis(3);
        balancer.finish_prefill(NOW + took, number, true);
    }
    let learned_time = plan(&balancer, &probe).prefill_time;
    let ratio = learned_time.as_secs_f64() / initial_time.as_secs_f64();
    assert!(ratio < 1.2, "predicted {ratio} times the prefill time");
}

/// Guards against an instance that refuses every prompt after one slow prefill, so that no prompt can
/// correct the prediction.
#[test]
fn prompts_are_accepted_again_after_a_slow_prefill() {
    let mut balancer = balancer_with_streams();
    prefill_at_slowdown(&mut balancer, 1, 60.0);
    let probe = prompt("probe", 2_000, "probe", 2_000);
    let placement = place_at(&balancer, NOW + Duration::from_secs(60), &probe);
    assert!(matches!(placement, Placement::Use(_)), "{placement:?}");
}

/// Guards against the same after several slow prefills, and against many prompts that are accepted
/// although the engines may still be as slow.
#[test]
fn one_prompt_measures_the_speed_after_slow_prefills() {
    let mut balancer = balancer_with_streams();
    prefill_at_slowdown(&mut balancer, 3, 60.0);
    let probe = prompt("probe", 2_000, "probe", 2_000);
    let refused = place_at(&balancer, NOW + Duration::from_secs(6), &probe);
    assert!(matches!(refused, Placement::Refuse { .. }), "{refused:?}");
    let mut now = NOW + Duration::from_secs(60);
    for index in 0..3 {
        let Placement::Use(plan) = place_at(&balancer, now, &probe) else {
            panic!("prompt {index} is not accepted");
        };
        let own = format!("p{index}");
        let prefixes = prompt(&own, 2_000, &own, 2_000);
        let (engine, number) = start_prefill_at(&mut balancer, now, &plan, &prefixes);
        assert_eq!(engine, "r", "the prefill engine is free");
        let beside = place_at(&balancer, now, &probe);
        assert!(matches!(beside, Placement::Refuse { .. }), "{beside:?}");
        now += Duration::from_millis(100);
        balancer.finish_prefill(now, number, true);
    }
    let Placement::Use(plan) = place_at(&balancer, now, &probe) else {
        panic!("the engines are free");
    };
    assert!(plan.first_event < Duration::from_millis(500), "{plan:?}");
}

/// Guards against prompts that no engine can serve in time: an outdated speed is no reason to accept
/// one where other prompts wait.
#[test]
fn no_prompt_measures_the_speed_of_busy_engines() {
    let mut balancer = balancer_with_streams();
    prefill_at_slowdown(&mut balancer, 3, 60.0);
    let now = NOW + Duration::from_secs(60);
    let mut report = note("p", &[("r", 1), ("d", 2)], &[]);
    for prefill in &mut report.open_prefills {
        prefill.work_ms = 10_000;
    }
    balancer.on_load_note(now, &report);
    let probe = prompt("probe", 2_000, "probe", 2_000);
    let placement = place_at(&balancer, now, &probe);
    assert!(
        matches!(placement, Placement::Refuse { .. }),
        "{placement:?}"
    );
}

/// Guards against clients that wait until they disconnect: at a peak of prompts on time, a late
/// prompt was accepted although its turn never came.
#[test]
fn late_prompts_are_refused_at_once_while_prompts_on_time_fill_the_engines() {
    let zone: ZoneName = "a".into();
    let mut balancer = balancer_with_streams();
    let mut now = NOW;
    // Prompts of 0.1 s each arrive as fast as they are prefilled.
    for index in 0..60 {
        let own = format!("o{index}");
        let prefixes = prompt(&own, 2_000, &own, 2_000);
        let started = balancer.start_prefill(now, &"r".into(), Urgency::OnTime, &prefixes, 4_000);
        let (number, _) = started.expect("the engine is known");
        now += Duration::from_millis(100);
        balancer.finish_prefill(now, number, false);
    }
    // Three late prompts wait; another one cannot be served besides the arriving ones.
    for own in ["l1", "l2", "l3"] {
        let prefixes = prompt(own, 6_000, own, 6_000);
        balancer.start_prefill(now, &"r".into(), Urgency::Late, &prefixes, 12_000);
    }
    let prefixes = prompt("l4", 2_000, "l4", 2_000);
    let late = GenerationRequest {
        objective_left: Duration::ZERO,
        ..request(&prefixes, &zone)
    };
    let placed = balancer.place_generation(now, &ENGINES.into(), &late, &[]);
    assert!(matches!(placed, Placement::Refuse { .. }), "{placed:?}");
    // After the peak, there is capacity again.
    let later = now + Duration::from_secs(2);
    let placed = balancer.place_generation(later, &ENGINES.into(), &late, &[]);
    assert!(matches!(placed, Placement::Use(_)), "{placed:?}");
}

/// Client timeout in [`served_in_time`].
const CLIENT_TIMEOUT_MS: u64 = 2_400;

/// An attempt that is queued at one of the engines of [`served_in_time`].
struct QueuedAttempt {
    arrived_ms: u64,
    sent_ms: u64,
    timeout_ms: u64,
    work_left_ms: u64,
}

/// Simulates two engines that prefill a prompt in 400 ms while one arrives every 150 ms for four
/// seconds; returns how many are prefilled before their client disconnects.
///
/// The instance has no view of the queues, as after a start. A prompt whose attempt times out is
/// sent to the other engine, which prefills it from the beginning.
fn served_in_time(attempt_timeout: impl Fn(&GenerationPlan, Duration) -> Duration) -> u32 {
    let mut queues: [VecDeque<QueuedAttempt>; 2] = Default::default();
    let mut served = 0;
    let send = |queue: &mut VecDeque<QueuedAttempt>, now_ms: u64, arrived_ms: u64| {
        let plan = GenerationPlan {
            prefill: PrefillPlan::Direct,
            decode: engine("e", "a", Role::Decode).endpoint(),
            urgency: Urgency::Late,
            first_event: Duration::from_millis(100),
            prefill_wait: Duration::ZERO,
            prefill_time: Duration::ZERO,
            new_tokens: 0,
        };
        let left = Duration::from_millis((arrived_ms + CLIENT_TIMEOUT_MS).saturating_sub(now_ms));
        queue.push_back(QueuedAttempt {
            arrived_ms,
            sent_ms: now_ms,
            timeout_ms: attempt_timeout(&plan, left).as_millis() as u64,
            work_left_ms: 400,
        });
    };
    for now_ms in 0..8_000 {
        if now_ms < 4_000 && now_ms % 150 == 0 {
            let shorter_queue = usize::from(queues[1].len() < queues[0].len());
            send(&mut queues[shorter_queue], now_ms, now_ms);
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
                if now_ms >= prompt.arrived_ms + CLIENT_TIMEOUT_MS {
                    continue;
                }
                if now_ms >= prompt.sent_ms + prompt.timeout_ms {
                    send(&mut queues[1 - index], now_ms, prompt.arrived_ms);
                } else {
                    queues[index].push_back(prompt);
                }
            }
        }
    }
    served
}

/// Guards against abandoning engines that are still working: in an overload, prompts were prefilled
/// again and again on other engines, and fewer clients were served than without attempt timeouts.
#[test]
fn attempt_timeouts_serve_no_fewer_clients_in_an_overload() {
    let without_timeouts = served_in_time(|_, client_timeout_left| client_timeout_left);
    let served = served_in_time(GenerationPlan::attempt_timeout);
    assert!(served >= without_timeouts, "{served} of {without_timeouts}");
}
