//! Tests the time limits of reads, the proofs that objects are current, and the responsibility for
//! duties.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::{Freshness, ReadLimits, StoreRead, is_designated};
use wagtailarch_types::InstanceId;

/// Time for a call to a store that responds, connection included.
const STORE_CALL: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a duty with two responsible instances, or none, while all instances are live for
/// each other.
#[test]
fn exactly_one_member_is_designated() {
    let members: Vec<InstanceId> = (0..8).map(|i| format!("front-{i}").into()).collect();
    for duty in ["lm", "config", "servers"] {
        let designated = members.iter().filter(|&own| {
            let others = members.iter().filter(|member| *member != own);
            is_designated(duty, own, others)
        });
        assert_eq!(designated.count(), 1, "{duty}");
    }
}

/// Guards against a chain of failing sources that takes longer than the users' bound, on small and
/// on large deployments. Each sum is the longest time from the failure to the read of the store.
#[rstest]
#[case(2_000)]
#[case(3_000)]
#[case(4_000)]
fn failing_sources_are_left_within_the_bound(#[case] bound_ms: u64) {
    let bound = ms(bound_ms);
    let limits = ReadLimits::new(bound);
    let silent_relay = limits.relay_wait() + limits.response_margin();
    let second_silent_relay = limits.connect_limit();
    assert!(silent_relay + second_silent_relay + STORE_CALL < bound);
    // A relay whose store is unresponsive reports it when its watch fails.
    let silent_store = limits.watch_wait() + limits.response_margin();
    assert!(silent_store + second_silent_relay + STORE_CALL < bound);
    // A change during the pause after another one.
    assert!(limits.change_pause() + silent_store < bound);
    // A relay that responds, but no longer reads the store.
    assert!(limits.max_age() + STORE_CALL < bound);
    assert!(limits.stale_after() + silent_relay < bound);
}

/// Guards against an instance that is late after an outage of the store. The bounds apply again one
/// second more than the bound after the store's return.
#[rstest]
#[case(2_000)]
#[case(3_000)]
#[case(4_000)]
fn the_store_is_read_soon_after_its_return(#[case] bound_ms: u64) {
    let limits = ReadLimits::new(ms(bound_ms));
    let allowed = ms(bound_ms + 1_000);
    let relay = limits.call_limit() + limits.max_backoff() + STORE_CALL;
    let no_relay = limits.store_retry_interval() + STORE_CALL;
    assert!(relay + limits.relay_wait() < allowed);
    assert!(no_relay < allowed);
    let watch = limits.watch_wait() + limits.response_margin();
    assert!(watch + limits.max_backoff() + STORE_CALL < allowed);
}

/// Guards against healthy relays that are left, each time with a call to the store.
#[rstest]
#[case(2_000)]
#[case(4_000)]
fn reads_through_a_healthy_relay_are_young_enough(#[case] bound_ms: u64) {
    let limits = ReadLimits::new(ms(bound_ms));
    // After a change, the next proof of a relay comes with the end of its next watch.
    let oldest = limits.watch_wait() * 2 + STORE_CALL;
    assert!(oldest <= limits.max_age(), "{oldest:?}");
}

const LIMITS: ReadLimits = ReadLimits::new(Duration::from_secs(2));

fn read(version: u64, at: Duration) -> StoreRead {
    StoreRead { version, at }
}

/// Guards against "no change" of a relay that is behind, or that has not read the store for long,
/// taken as a proof.
#[test]
fn only_a_young_read_of_a_relay_that_is_not_behind_is_a_proof() {
    let mut freshness = Freshness::default();
    assert!(freshness.is_overdue(ms(0), &LIMITS));
    freshness.on_store_read(read(20, ms(10_000)));
    assert!(!freshness.is_overdue(ms(11_500), &LIMITS));
    assert!(freshness.is_overdue(ms(11_501), &LIMITS));
    assert_eq!(freshness.time_left(ms(11_300), &LIMITS), ms(200));
    assert!(!freshness.on_relayed_read(ms(11_400), read(19, ms(11_400)), &LIMITS));
    assert!(freshness.is_overdue(ms(11_600), &LIMITS));
    assert!(freshness.on_relayed_read(ms(11_600), read(20, ms(9_000)), &LIMITS));
    assert!(freshness.is_overdue(ms(11_600), &LIMITS));
    assert!(freshness.on_relayed_read(ms(11_600), read(20, ms(11_000)), &LIMITS));
    assert!(!freshness.is_overdue(ms(12_500), &LIMITS));
    // New content is applied however old it is, but proves little.
    assert!(freshness.on_relayed_read(ms(14_000), read(25, ms(11_200)), &LIMITS));
    assert_eq!(freshness.version(), Some(25));
    assert!(freshness.is_overdue(ms(14_000), &LIMITS));
}

/// Guards against an instance that starts with an old configuration and refuses newer routes.
#[test]
fn the_first_objects_of_an_instance_must_be_current() {
    let mut freshness = Freshness::default();
    assert!(!freshness.on_relayed_read(ms(10_000), read(5, ms(8_000)), &LIMITS));
    assert!(freshness.is_overdue(ms(10_000), &LIMITS));
    assert!(freshness.on_relayed_read(ms(10_000), read(5, ms(9_000)), &LIMITS));
    assert!(!freshness.is_overdue(ms(10_000), &LIMITS));
}
