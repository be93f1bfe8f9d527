//! Tests which entry instances stay registered.

use std::time::Duration;

use wagtailarch_dispatch::RegistrationTracker;
use wagtailarch_types::InstanceId;

/// Interval between two lists.
const STEP: Duration = Duration::from_secs(4);

fn names(names: &[&str]) -> Vec<InstanceId> {
    names.iter().map(|&name| name.into()).collect()
}

/// Applies `steps` lists and returns the instances that expired with the last one.
fn apply_lists(
    tracker: &mut RegistrationTracker,
    now: &mut Duration,
    steps: u32,
    listed: &[&str],
    live: &[&str],
) -> Vec<InstanceId> {
    let mut expired = Vec::new();
    for _ in 0..steps {
        *now += STEP;
        expired = tracker.on_list(*now, &"own".into(), &names(listed), &names(live));
    }
    expired
}

/// Guards against replaced machines that keep their share of the retry budget for ever, and against
/// the removal of an instance that was unresponsive for only some minutes.
#[test]
fn an_instance_without_notes_for_ten_minutes_expires() {
    let (mut tracker, mut now) = (RegistrationTracker::default(), Duration::ZERO);
    let listed = ["own", "peer", "old"];
    assert!(apply_lists(&mut tracker, &mut now, 140, &listed, &["peer"]).is_empty());
    // One received note restarts the timeout.
    assert!(apply_lists(&mut tracker, &mut now, 1, &listed, &["peer", "old"]).is_empty());
    assert!(apply_lists(&mut tracker, &mut now, 140, &listed, &["peer"]).is_empty());
    let expired = apply_lists(&mut tracker, &mut now, 20, &listed, &["peer"]);
    assert_eq!(expired, names(&["old"]));
}

/// Guards against a partitioned instance that removes all others from the store.
#[test]
fn an_instance_without_live_peers_reports_none_as_expired() {
    let (mut tracker, mut now) = (RegistrationTracker::default(), Duration::ZERO);
    let listed = ["own", "peer", "other"];
    assert!(apply_lists(&mut tracker, &mut now, 400, &listed, &[]).is_empty());
    // Its own time in a partition does not count.
    assert!(apply_lists(&mut tracker, &mut now, 1, &listed, &["peer"]).is_empty());
}

/// Guards against an instance that was removed during a partition and stays unknown to its peers.
#[test]
fn an_instance_missing_from_the_list_registers_again() {
    let (mut tracker, mut now) = (RegistrationTracker::default(), Duration::ZERO);
    apply_lists(&mut tracker, &mut now, 1, &["peer"], &["peer"]);
    assert!(!tracker.must_register_again(), "the list may be old");
    apply_lists(&mut tracker, &mut now, 1, &["peer"], &["peer"]);
    assert!(tracker.must_register_again());
    apply_lists(&mut tracker, &mut now, 1, &["own", "peer"], &["peer"]);
    assert!(!tracker.must_register_again());
}
