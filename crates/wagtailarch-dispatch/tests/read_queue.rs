//! Tests the prediction of the time for which engines are busy.

use std::time::Duration;

use wagtailarch_dispatch::{PrefillQueue, Urgency};
use wagtailarch_types::InstanceId;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sender(name: &str) -> InstanceId {
    name.into()
}

/// Guards against an engine that counts as idle while a prefill takes longer than predicted; half of
/// the predictions in one measurement were hundreds of milliseconds too short.
#[test]
fn a_prompt_that_takes_longer_keeps_its_engine_busy() {
    let mut queue = PrefillQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::OnTime, ms(100));
    queue.add(ms(0), &sender("b"), 1, Urgency::OnTime, ms(200));
    assert_eq!(queue.wait(ms(50), Urgency::OnTime), ms(250));
    // The first prefill is overdue and not reported as finished.
    assert_eq!(queue.wait(ms(400), Urgency::OnTime), ms(210));
    queue.remove(ms(400), &sender("a"), 1);
    assert_eq!(queue.wait(ms(450), Urgency::OnTime), ms(150));
    queue.remove(ms(600), &sender("b"), 1);
    assert_eq!(queue.wait(ms(600), Urgency::OnTime), ms(0));
}

/// Guards against prompts on time that count late prompts as ahead of them.
#[test]
fn late_prompts_wait_for_all_and_urgent_ones_for_urgent_ones() {
    let mut queue = PrefillQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::Late, ms(300));
    queue.add(ms(0), &sender("a"), 2, Urgency::OnTime, ms(100));
    assert_eq!(queue.wait(ms(0), Urgency::OnTime), ms(100));
    assert_eq!(queue.wait(ms(0), Urgency::Late), ms(400));
}

/// Guards against engines that count as busy for ever because a datagram was lost or a peer
/// terminated.
#[test]
fn prompts_of_unresponsive_peers_expire() {
    let mut queue = PrefillQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::OnTime, ms(100));
    queue.add(ms(0), &sender("a"), 2, Urgency::OnTime, ms(100));
    queue.retain_reported(ms(80), &sender("a"), &[2]);
    assert_eq!(queue.wait(ms(80), Urgency::OnTime), ms(100));
    assert_eq!(queue.wait(ms(5_000), Urgency::OnTime), ms(0));
}

/// Guards against a learned speed that includes the wait of a prompt: only a prompt that was added
/// to an empty queue yields a prefill time.
#[test]
fn only_a_prompt_added_to_an_empty_queue_is_marked() {
    let mut queue = PrefillQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::OnTime, ms(100));
    queue.add(ms(10), &sender("a"), 2, Urgency::OnTime, ms(100));
    let first = queue.remove(ms(120), &sender("a"), 1);
    assert!(first.expect("it was added").queue_was_empty);
    queue.add(ms(130), &sender("b"), 1, Urgency::Late, ms(100));
    let second = queue.remove(ms(250), &sender("a"), 2);
    assert!(!second.expect("it was added").queue_was_empty);
    let third = queue.remove(ms(300), &sender("b"), 1);
    assert!(!third.expect("it was added").queue_was_empty);
    queue.add(ms(310), &sender("b"), 2, Urgency::OnTime, ms(100));
    let fourth = queue.remove(ms(400), &sender("b"), 2);
    assert!(fourth.expect("it was added").queue_was_empty);
}

/// Guards against late prompts that are accepted while prompts on time take all of the engine's
/// time; they would wait until their clients disconnect.
#[test]
fn urgent_utilization_follows_the_load() {
    let mut queue = PrefillQueue::default();
    assert_eq!(queue.urgent_utilization(ms(0)), 0.0);
    for number in 0..160 {
        let now = ms(u64::from(number) * 50);
        queue.add(now, &sender("a"), number, Urgency::OnTime, ms(40));
    }
    let busy = queue.urgent_utilization(ms(8_000));
    assert!((0.7..=0.95).contains(&busy), "{busy}");
    // Late prompts do not add to the utilization, and it decays with the load.
    queue.add(ms(8_000), &sender("a"), 999, Urgency::Late, ms(4_000));
    assert!(queue.urgent_utilization(ms(8_000)) <= busy);
    assert!(queue.urgent_utilization(ms(18_000)) < 0.01);
}
