//! How long engines are busy.

use std::time::Duration;

use wagtailarch_dispatch::{ReadQueue, Urgency};
use wagtailarch_types::InstanceId;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sender(name: &str) -> InstanceId {
    name.into()
}

/// Guards against an engine that seems idle while it still reads a prompt that takes longer than
/// expected; half of the predictions of a measured day were hundreds of milliseconds short.
#[test]
fn a_prompt_that_takes_longer_keeps_its_engine_busy() {
    let mut queue = ReadQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::OnTime, ms(100));
    queue.add(ms(0), &sender("b"), 1, Urgency::OnTime, ms(200));
    assert_eq!(queue.wait(ms(50), Urgency::OnTime), ms(250));
    // The first prompt is overdue and not reported as read.
    assert_eq!(queue.wait(ms(400), Urgency::OnTime), ms(210));
    queue.remove(ms(400), &sender("a"), 1);
    assert_eq!(queue.wait(ms(450), Urgency::OnTime), ms(150));
    queue.remove(ms(600), &sender("b"), 1);
    assert_eq!(queue.wait(ms(600), Urgency::OnTime), ms(0));
}

/// Guards against urgent prompts that count late ones as ahead of them.
#[test]
fn late_prompts_wait_for_all_and_urgent_ones_for_urgent_ones() {
    let mut queue = ReadQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::Late, ms(300));
    queue.add(ms(0), &sender("a"), 2, Urgency::OnTime, ms(100));
    assert_eq!(queue.wait(ms(0), Urgency::OnTime), ms(100));
    assert_eq!(queue.wait(ms(0), Urgency::Late), ms(400));
}

/// Guards against engines that stay busy for ever because a datagram was lost or a peer ended.
#[test]
fn prompts_of_silent_peers_are_forgotten() {
    let mut queue = ReadQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::OnTime, ms(100));
    queue.add(ms(0), &sender("a"), 2, Urgency::OnTime, ms(100));
    queue.keep_only(ms(80), &sender("a"), &[2]);
    assert_eq!(queue.wait(ms(80), Urgency::OnTime), ms(100));
    assert_eq!(queue.wait(ms(5_000), Urgency::OnTime), ms(0));
}

/// Guards against a learned speed that counts the time for which a prompt waited.
#[test]
fn the_time_spent_begins_with_the_end_of_the_prompt_before() {
    let mut queue = ReadQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::OnTime, ms(100));
    queue.add(ms(10), &sender("a"), 2, Urgency::OnTime, ms(100));
    let (_, spent) = queue
        .remove(ms(120), &sender("a"), 1)
        .expect("it was added");
    assert_eq!(spent, ms(120));
    let (_, spent) = queue
        .remove(ms(250), &sender("a"), 2)
        .expect("it was added");
    assert_eq!(spent, ms(130));
}
