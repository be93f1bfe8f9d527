//! Which servers may be given requests.

mod common;

use std::time::Duration;

use common::plain;
use wagtailarch_dispatch::{BackendServer, Membership, MembershipChange};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn usable(membership: &Membership) -> Vec<&str> {
    membership
        .usable()
        .map(|server| server.id.as_str())
        .collect()
}

fn known() -> Membership {
    let mut membership = Membership::default();
    membership.on_list(at(0), vec![plain("s1", "a"), plain("s2", "a")]);
    membership
}

/// Guards against requests to a server after the first sign that it leaves, also if an older
/// registration arrives late.
#[test]
fn a_leaving_server_never_returns_under_the_same_start() {
    let mut membership = known();
    let leaving = BackendServer {
        leaving: true,
        heartbeat: 3,
        ..plain("s1", "a")
    };
    assert_eq!(membership.on_registered(leaving), MembershipChange::Leaving);
    assert_eq!(usable(&membership), ["s2"]);
    let old = BackendServer {
        heartbeat: 2,
        ..plain("s1", "a")
    };
    assert_eq!(membership.on_registered(old), MembershipChange::Outdated);
    let strange = BackendServer {
        heartbeat: 4,
        ..plain("s1", "a")
    };
    assert_eq!(
        membership.on_registered(strange),
        MembershipChange::Outdated
    );
    assert_eq!(usable(&membership), ["s2"]);
    let restarted = BackendServer {
        started_unix_ms: 2_000,
        ..plain("s1", "a")
    };
    assert_eq!(membership.on_registered(restarted), MembershipChange::Added);
    assert_eq!(usable(&membership).len(), 2);
}

/// Guards against a registration of an earlier start that arrives after the one of a later start.
#[test]
fn an_earlier_start_does_not_replace_a_later_one() {
    let mut membership = Membership::default();
    let later = BackendServer {
        started_unix_ms: 2_000,
        ..plain("s1", "a")
    };
    membership.on_registered(later);
    let earlier = BackendServer {
        heartbeat: 90,
        ..plain("s1", "a")
    };
    assert_eq!(
        membership.on_registered(earlier),
        MembershipChange::Outdated
    );
}

/// Guards against news of a server whose heartbeat only raises its number.
#[test]
fn a_heartbeat_is_no_news() {
    let mut membership = known();
    let heartbeat = BackendServer {
        heartbeat: 2,
        ..plain("s1", "a")
    };
    assert_eq!(
        membership.on_registered(heartbeat),
        MembershipChange::Unchanged
    );
}

/// Guards against losing live servers whose registration expired while the store was away, and against
/// keeping those that do not come back.
#[test]
fn a_server_that_is_missing_after_an_outage_has_almost_two_seconds() {
    let mut membership = known();
    membership.on_store_lost();
    let changes = membership.on_list(at(10_000), vec![plain("s1", "a")]);
    assert_eq!(changes, [("s2".into(), MembershipChange::Missing)]);
    assert_eq!(usable(&membership).len(), 2);
    assert_eq!(membership.next_removal(), Some(at(11_800)));
    assert!(membership.remove_missing(at(11_700)).is_empty());
    assert_eq!(membership.remove_missing(at(11_800)), ["s2"]);
    assert_eq!(usable(&membership), ["s1"]);
}

/// Guards against a removal that is held back although the store was never away.
#[test]
fn a_removed_server_is_gone_at_once() {
    let mut membership = known();
    assert_eq!(
        membership.on_removed(at(5_000), &"s1".into()),
        MembershipChange::Removed
    );
    assert_eq!(usable(&membership), ["s2"]);
}

/// Guards against a server that stays on its way out although it was registered again.
#[test]
fn a_missing_server_that_returns_stays() {
    let mut membership = known();
    membership.on_store_lost();
    membership.on_list(at(10_000), vec![plain("s1", "a")]);
    let back = BackendServer {
        heartbeat: 7,
        ..plain("s2", "a")
    };
    assert_eq!(membership.on_registered(back), MembershipChange::Updated);
    assert!(membership.remove_missing(at(13_000)).is_empty());
}
