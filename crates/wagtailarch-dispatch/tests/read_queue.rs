//! How long engines are busy.

use std::time::Duration;

use wagtailarch_dispatch::{PrefillQueue, Urgency};
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
    let mut queue = PrefillQueue::default();
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
    let mut queue = PrefillQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::Late, ms(300));
    queue.add(ms(0), &sender("a"), 2, Urgency::OnTime, ms(100));
    assert_eq!(queue.wait(ms(0), Urgency::OnTime), ms(100));
    assert_eq!(queue.wait(ms(0), Urgency::Late), ms(400));
}

/// Guards against engines that stay busy for ever because a datagram was lost or a peer ended.
#[test]
fn prompts_of_silent_peers_are_forgotten() {
    let mut queue = PrefillQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::OnTime, ms(100));
    queue.add(ms(0), &sender("a"), 2, Urgency::OnTime, ms(100));
    queue.keep_only(ms(80), &sender("a"), &[2]);
    assert_eq!(queue.wait(ms(80), Urgency::OnTime), ms(100));
    assert_eq!(queue.wait(ms(5_000), Urgency::OnTime), ms(0));
}

/// Guards against a learned speed that counts the time for which a prompt waited: only one that found
/// its engine without any other prompt tells how long reading takes.
#[test]
fn only_a_prompt_that_found_its_engine_idle_was_alone() {
    let mut queue = PrefillQueue::default();
    queue.add(ms(0), &sender("a"), 1, Urgency::OnTime, ms(100));
    queue.add(ms(10), &sender("a"), 2, Urgency::OnTime, ms(100));
    let first = queue.remove(ms(120), &sender("a"), 1);
    assert!(first.expect("it was added").alone);
    queue.add(ms(130), &sender("b"), 1, Urgency::Late, ms(100));
    let second = queue.remove(ms(250), &sender("a"), 2);
    assert!(!second.expect("it was added").alone);
    let third = queue.remove(ms(300), &sender("b"), 1);
    assert!(!third.expect("it was added").alone);
    queue.add(ms(310), &sender("b"), 2, Urgency::OnTime, ms(100));
    let fourth = queue.remove(ms(400), &sender("b"), 2);
    assert!(fourth.expect("it was added").alone);
}

/// Guards against late prompts that count as readable while prompts on time take all of the engine's
/// time: they wait until their clients leave.
#[test]
fn the_share_of_prompts_on_time_follows_the_load() {
    let mut queue = PrefillQueue::default();
    assert_eq!(queue.urgent_share(ms(0)), 0.0);
    for number in 0..160 {
        let now = ms(u64::from(number) * 50);
        queue.add(now, &sender("a"), number, Urgency::OnTime, ms(40));
    }
    let busy = queue.urgent_share(ms(8_000));
    assert!((0.7..=0.95).contains(&busy), "{busy}");
    // Late prompts take nothing of it, and it fades with the load.
    queue.add(ms(8_000), &sender("a"), 999, Urgency::Late, ms(4_000));
    assert!(queue.urgent_share(ms(8_000)) <= busy);
    assert!(queue.urgent_share(ms(18_000)) < 0.01);
}
