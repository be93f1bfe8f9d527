//! Which entry instances stay listed.

use std::time::Duration;

use wagtailarch_dispatch::RegistrationTracker;
use wagtailarch_types::InstanceId;

/// Interval between two lists.
const STEP: Duration = Duration::from_secs(4);

fn names(names: &[&str]) -> Vec<InstanceId> {
    names.iter().map(|&name| name.into()).collect()
}

/// Plays `steps` lists and returns what the last one removed.
fn play(
    listing: &mut RegistrationTracker,
    now: &mut Duration,
    steps: u32,
    listed: &[&str],
    heard: &[&str],
) -> Vec<InstanceId> {
    let mut gone = Vec::new();
    for _ in 0..steps {
        *now += STEP;
        gone = listing.on_list(*now, &"own".into(), &names(listed), &names(heard));
    }
    gone
}

/// Guards against machines that were replaced and keep their part of the retry budget for ever, and
/// against the removal of one that was only silent for some minutes.
#[test]
fn an_instance_that_is_silent_for_ten_minutes_is_gone() {
    let (mut listing, mut now) = (RegistrationTracker::default(), Duration::ZERO);
    let listed = ["own", "peer", "old"];
    assert!(play(&mut listing, &mut now, 140, &listed, &["peer"]).is_empty());
    // It is heard once, and the time begins anew.
    assert!(play(&mut listing, &mut now, 1, &listed, &["peer", "old"]).is_empty());
    assert!(play(&mut listing, &mut now, 140, &listed, &["peer"]).is_empty());
    let gone = play(&mut listing, &mut now, 20, &listed, &["peer"]);
    assert_eq!(gone, names(&["old"]));
}

/// Guards against an instance that is cut off from all others and removes them from the store.
#[test]
fn an_instance_that_hears_nobody_removes_nobody() {
    let (mut listing, mut now) = (RegistrationTracker::default(), Duration::ZERO);
    let listed = ["own", "peer", "other"];
    assert!(play(&mut listing, &mut now, 400, &listed, &[]).is_empty());
    // The time of its own isolation does not count.
    assert!(play(&mut listing, &mut now, 1, &listed, &["peer"]).is_empty());
}

/// Guards against an instance that was removed while it was cut off and stays unknown to its peers.
#[test]
fn an_instance_that_is_not_listed_lists_itself_again() {
    let (mut listing, mut now) = (RegistrationTracker::default(), Duration::ZERO);
    play(&mut listing, &mut now, 1, &["peer"], &["peer"]);
    assert!(!listing.must_register_again(), "the list may be old");
    play(&mut listing, &mut now, 1, &["peer"], &["peer"]);
    assert!(listing.must_register_again());
    play(&mut listing, &mut now, 1, &["own", "peer"], &["peer"]);
    assert!(!listing.must_register_again());
}
