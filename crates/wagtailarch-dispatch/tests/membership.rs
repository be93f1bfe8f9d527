//! Tests which servers may receive requests.

mod common;

use std::time::Duration;

use common::plain;
use wagtailarch_dispatch::{BackendServer, LeavingServers, Membership, MembershipChange};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn usable(membership: &Membership) -> Vec<&str> {
    membership
        .usable()
        .map(|server| server.id.as_str())
        .collect()
}

/// Returns `s1` of [`two_servers`] after a restart.
fn restarted() -> BackendServer {
    BackendServer {
        started_unix_ms: 2_000,
        ..plain("s1", "a")
    }
}

fn two_servers() -> Membership {
    let mut membership = Membership::default();
    membership.on_list(at(0), vec![plain("s1", "a"), plain("s2", "a")]);
    membership
}

/// Guards against requests to a server after its first announcement that it leaves, even if an
/// older registration arrives late.
#[test]
fn a_leaving_server_never_returns_without_a_restart() {
    let mut membership = two_servers();
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
    let not_leaving = BackendServer {
        heartbeat: 4,
        ..plain("s1", "a")
    };
    assert_eq!(
        membership.on_registered(not_leaving),
        MembershipChange::Outdated
    );
    assert_eq!(usable(&membership), ["s2"]);
    assert_eq!(
        membership.on_registered(restarted()),
        MembershipChange::Added
    );
    assert_eq!(usable(&membership).len(), 2);
}

/// Guards against a registration from before a restart that arrives after one from after the
/// restart.
#[test]
fn an_earlier_start_does_not_replace_a_later_one() {
    let mut membership = Membership::default();
    let later = restarted();
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

/// Guards against an update for each heartbeat, which only raises the number of the registration.
#[test]
fn a_heartbeat_changes_nothing() {
    let mut membership = two_servers();
    let heartbeat = BackendServer {
        heartbeat: 2,
        ..plain("s1", "a")
    };
    assert_eq!(
        membership.on_registered(heartbeat),
        MembershipChange::Unchanged
    );
}

/// Guards against the loss of live servers whose registrations expired during an outage of the
/// store, and against keeping servers that do not come back.
#[test]
fn a_server_missing_after_an_outage_is_kept_for_almost_two_seconds() {
    let mut membership = two_servers();
    membership.on_store_lost();
    let changes = membership.on_list(at(10_000), vec![plain("s1", "a")]);
    assert_eq!(changes, [("s2".into(), MembershipChange::Missing)]);
    assert_eq!(usable(&membership).len(), 2);
    assert_eq!(membership.next_removal(), Some(at(11_800)));
    assert!(membership.remove_missing(at(11_700)).is_empty());
    assert_eq!(membership.remove_missing(at(11_800)), ["s2"]);
    assert_eq!(usable(&membership), ["s1"]);
}

/// Guards against a delayed removal although there was no outage of the store.
#[test]
fn a_server_is_removed_at_once_without_an_outage() {
    let mut membership = two_servers();
    assert_eq!(
        membership.on_removed(at(5_000), &"s1".into()),
        MembershipChange::Removed
    );
    assert_eq!(usable(&membership), ["s2"]);
}

/// Guards against the removal of a missing server that has registered again.
#[test]
fn a_missing_server_that_registers_again_stays() {
    let mut membership = two_servers();
    membership.on_store_lost();
    membership.on_list(at(10_000), vec![plain("s1", "a")]);
    let registered_again = BackendServer {
        heartbeat: 7,
        ..plain("s2", "a")
    };
    assert_eq!(
        membership.on_registered(registered_again),
        MembershipChange::Updated
    );
    assert!(membership.remove_missing(at(13_000)).is_empty());
}

/// Guards against a server that says in a response that it leaves and is used again, since a
/// registration still states otherwise, is written again, or is removed and listed again.
#[test]
fn a_server_that_states_in_a_response_that_it_leaves_never_returns_without_a_restart() {
    let mut membership = two_servers();
    let process = plain("s1", "a").process();
    let change = membership.on_stated_leaving(process.clone());
    assert_eq!(change, MembershipChange::Leaving);
    assert_eq!(
        membership.on_stated_leaving(process),
        MembershipChange::Unchanged
    );
    let renewed = BackendServer {
        heartbeat: 2,
        ..plain("s1", "a")
    };
    membership.on_registered(renewed.clone());
    assert_eq!(usable(&membership), ["s2"]);
    membership.on_removed(at(10), &"s1".into());
    let change = membership.on_registered(renewed.clone());
    assert_eq!(change, MembershipChange::Leaving);
    membership.on_store_lost();
    membership.on_list(at(20), vec![plain("s2", "a"), renewed]);
    assert_eq!(usable(&membership), ["s2"]);
    assert_eq!(
        membership.on_registered(restarted()),
        MembershipChange::Added
    );
    assert_eq!(usable(&membership).len(), 2);
}

/// Guards against a response of an earlier start that takes out the server that follows it.
#[test]
fn a_response_of_an_earlier_start_says_nothing_about_the_present_one() {
    let mut membership = Membership::default();
    let earlier = plain("s1", "a").process();
    let present = restarted();
    membership.on_registered(present);
    membership.on_stated_leaving(earlier);
    assert_eq!(usable(&membership), ["s1"]);
}

/// Guards against memory that grows with the number of servers that have ever left.
#[test]
fn a_limited_number_of_leaving_servers_is_remembered() {
    let mut leaving = LeavingServers::default();
    let process = |number: u64| plain(&format!("s{number}"), "a").process();
    for number in 0..5_000 {
        assert!(leaving.insert(process(number)));
    }
    assert!(!leaving.contains(&process(0)));
    assert!(leaving.contains(&process(4_999)));
}
