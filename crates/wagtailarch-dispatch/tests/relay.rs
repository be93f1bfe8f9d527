//! Who asks the store, and what relays pass on.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::{RelayChange, RelayLog, RelayPlan, RelayView, UpdateSource};
use wagtailarch_types::InstanceId;

const LATER: Duration = Duration::from_secs(60);

fn zone(members: usize) -> Vec<InstanceId> {
    (0..members).map(|n| format!("front-{n}").into()).collect()
}

/// Returns the other members of a zone.
fn others(zone: &[InstanceId], own: &InstanceId) -> Vec<InstanceId> {
    zone.iter().filter(|name| *name != own).cloned().collect()
}

/// Returns whom each member asks.
fn sources(zone: &[InstanceId]) -> Vec<UpdateSource> {
    let asked = zone.iter().map(|own| {
        let mut plan = RelayPlan::default();
        plan.source(LATER, LATER, own, &others(zone, own))
    });
    asked.collect()
}

/// Guards against calls to the store that grow with the instances, and against a relay that has to
/// answer most of a zone.
#[rstest]
#[case(1, 1)]
#[case(3, 2)]
#[case(25, 2)]
#[case(70, 3)]
#[case(400, 14)]
fn few_members_ask_the_store(#[case] members: usize, #[case] expected: usize) {
    let zone = zone(members);
    let sources = sources(&zone);
    let direct = sources
        .iter()
        .filter(|s| **s == UpdateSource::Store)
        .count();
    assert_eq!(direct, expected);
    for relay in &zone {
        let asked = sources
            .iter()
            .filter(|s| **s == UpdateSource::Relay(relay.clone()));
        assert!(asked.count() <= 60, "{relay} answers too many");
    }
}

/// Guards against a zone whose relays all have long watches, so that a silent store is noticed late: the
/// member with short watches has to be one that reads from the store.
#[rstest]
#[case(1)]
#[case(3)]
#[case(25)]
#[case(70)]
fn one_relay_of_a_zone_has_short_watches(#[case] members: usize) {
    let zone = zone(members);
    let leads = |own: &&InstanceId| RelayPlan::is_first_relay(own, &others(&zone, own));
    let leaders: Vec<_> = zone.iter().filter(leads).collect();
    assert_eq!(leaders.len(), 1);
    let mut plan = RelayPlan::default();
    let source = plan.source(LATER, LATER, leaders[0], &others(&zone, leaders[0]));
    assert_eq!(source, UpdateSource::Store);
}

/// Guards against an instance that stays without news because its relays are dead, deaf or cut off,
/// and against one that never returns to them.
#[test]
fn the_store_is_asked_when_all_relays_fail() {
    let zone = zone(40);
    let mut plan = RelayPlan::default();
    let own = zone
        .iter()
        .find(|own| {
            let source = RelayPlan::default().source(LATER, LATER, own, &others(&zone, own));
            source != UpdateSource::Store
        })
        .expect("most are no relays");
    let others = others(&zone, own);
    let mut failed = 0;
    while let UpdateSource::Relay(relay) = plan.source(LATER, LATER, own, &others) {
        plan.on_failure(LATER, &relay);
        failed += 1;
    }
    assert_eq!(failed, 2);
    // Relays that cannot be reached are no reason to wait.
    for _ in 0..3 {
        assert_eq!(plan.source(LATER, LATER, own, &others), UpdateSource::Store);
    }
    let after = LATER + Duration::from_secs(6);
    let source = plan.source(after, LATER, own, &others);
    assert!(matches!(source, UpdateSource::Relay(_)), "{source:?}");
}

/// Guards against all instances that ask a store that is down, and against one that no longer asks it
/// although only its relays are refused by it.
#[test]
fn a_store_that_relays_have_lost_is_asked_now_and_then() {
    let zone = zone(40);
    let sources = sources(&zone);
    let follower = sources.iter().position(|s| *s != UpdateSource::Store);
    let own = &zone[follower.expect("most are no relays")];
    let others = others(&zone, own);
    let mut plan = RelayPlan::default();
    let mut calls = 0;
    for step in 0..100 {
        let now = LATER + Duration::from_millis(100) * step;
        match plan.source(now, LATER, own, &others) {
            UpdateSource::Store => calls += 1,
            UpdateSource::Relay(relay) => plan.on_unknown(now, &relay),
            UpdateSource::Wait => {}
        }
    }
    assert!((2..=6).contains(&calls), "{calls} calls in 10 s");
}

/// Guards against 300 instances that list everything at once when a fleet starts: they wait to hear of
/// each other, but not for long.
#[test]
fn an_instance_that_knows_nobody_waits_for_others_first() {
    let own = "front-1".into();
    let mut plan = RelayPlan::default();
    let early = Duration::from_millis(500);
    assert_eq!(plan.source(early, early, &own, &[]), UpdateSource::Wait);
    let late = Duration::from_millis(2_300);
    assert_eq!(plan.source(late, late, &own, &[]), UpdateSource::Store);
}

/// A change of an object.
fn change(name: &str, object: u32, deleted: bool) -> RelayChange<u32> {
    RelayChange {
        name: name.into(),
        object,
        deleted,
    }
}

/// Guards against changes that an instance misses or gets twice, and against objects that a relay
/// passes on although it cannot know whether they still hold.
#[test]
fn a_relay_passes_on_what_is_lacking() {
    let mut log = RelayLog::default();
    assert_eq!(log.view(None), RelayView::Unknown);
    log.on_list(10, vec![("a".into(), 1), ("b".into(), 1)]);
    let all = vec![("a".into(), 1), ("b".into(), 1)];
    assert_eq!(log.view(None), RelayView::All(10, all.clone()));
    assert_eq!(log.view(Some(9)), RelayView::All(10, all));
    assert_eq!(log.view(Some(10)), RelayView::Unchanged);
    log.on_changes(12, vec![change("a", 2, false)]);
    log.on_changes(15, vec![change("b", 1, true)]);
    let both = vec![change("a", 2, false), change("b", 1, true)];
    assert_eq!(log.view(Some(10)), RelayView::Changes(15, both));
    let second = vec![change("b", 1, true)];
    assert_eq!(log.view(Some(12)), RelayView::Changes(15, second));
    assert_eq!(log.view(None), RelayView::All(15, vec![("a".into(), 2)]));
    // An instance may have heard more than its relay.
    assert_eq!(log.view(Some(20)), RelayView::Unchanged);
    log.on_store_lost();
    assert_eq!(log.view(Some(10)), RelayView::Unknown);
}

/// Guards against a log that grows without end, and against one that hides what it has dropped.
#[test]
fn an_instance_that_lacks_dropped_changes_gets_all_objects() {
    let mut log = RelayLog::default();
    log.on_list(1, Vec::new());
    for version in 2..2_000 {
        log.on_changes(version, vec![change("a", version as u32, false)]);
    }
    let all = vec![("a".into(), 1_999)];
    assert_eq!(log.view(Some(2)), RelayView::All(1_999, all));
    let last = vec![change("a", 1_999, false)];
    assert_eq!(log.view(Some(1_998)), RelayView::Changes(1_999, last));
}
