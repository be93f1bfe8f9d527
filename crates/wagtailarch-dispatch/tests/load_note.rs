//! Tests the load that peers report.

mod common;

use std::time::Duration;

use common::{ENGINES, config, engine, note};
use wagtailarch_dispatch::{LoadBalancer, Urgency};
use wagtailarch_types::{InstanceId, Role, ServiceName};
use wagtailarch_wire::load_note::server_key;

/// Returns the number of running requests and the mean wait at the prefill engines in milliseconds.
fn demand(balancer: &LoadBalancer, now: Duration) -> (u32, u128) {
    let demand = balancer.demand(now)[&ServiceName::from(ENGINES)];
    (demand.running, demand.late_wait.as_millis())
}

/// Guards against engines that keep the load of a peer whose notes no longer contain them, and
/// against a note of one peer that ends the load of another.
#[test]
fn a_note_replaces_the_load_of_the_previous_note() {
    let now = Duration::from_secs(1);
    let mut balancer = LoadBalancer::default();
    let servers = [
        engine("r", "a", Role::Prefill),
        engine("d", "a", Role::Decode),
    ];
    balancer.apply(&servers, &config());
    balancer.on_load_note(now, &note("p", &[("r", 1), ("r", 2)], &[("d", 3)]));
    balancer.on_load_note(now, &note("q", &[("r", 1)], &[("d", 2)]));
    assert_eq!(demand(&balancer, now), (5, 300));
    balancer.on_load_note(now, &note("p", &[("r", 2)], &[]));
    assert_eq!(demand(&balancer, now), (2, 200));
    balancer.on_load_note(now, &note("p", &[], &[]));
    assert_eq!(demand(&balancer, now), (2, 100));
    balancer.on_load_note(now, &note("q", &[], &[]));
    assert_eq!(demand(&balancer, now), (0, 0));
}

/// Guards against a split generation that is counted on the planned decode engine instead of the
/// one that was selected after the prefill.
#[test]
fn running_requests_are_counted_on_their_decode_engine() {
    let now = Duration::from_secs(1);
    let mut balancer = LoadBalancer::default();
    let servers = [
        engine("d1", "a", Role::Decode),
        engine("d2", "a", Role::Decode),
    ];
    balancer.apply(&servers, &config());
    let (first, second) = (InstanceId::from("d1"), InstanceId::from("d2"));
    balancer.add_running(&first, 1);
    balancer.add_running(&second, 1);
    balancer.add_running(&first, -1);
    assert_eq!(balancer.own_running(), [(server_key("d2"), 1)]);
    let started = balancer.start_prefill(now, &second, Urgency::OnTime, &[], 1_000);
    assert!(started.is_some());
    assert_eq!(balancer.open_prefills()[0].engine, server_key("d2"));
}

/// Guards against prompts that are counted again while they are read, or not at all once the next
/// note of their sender no longer contains them.
#[test]
fn the_use_of_engines_counts_each_prompt_once() {
    let mut balancer = LoadBalancer::default();
    let servers = [
        engine("r", "a", Role::Prefill),
        engine("s", "b", Role::Prefill),
        engine("d", "a", Role::Decode),
    ];
    balancer.apply(&servers, &config());
    let service = ServiceName::from(ENGINES);
    let take = |balancer: &mut LoadBalancer, now| balancer.take_engine_use(now)[&service];
    let start = Duration::from_secs(1);
    take(&mut balancer, start);
    // Each prompt of a note takes 100 ms.
    balancer.on_load_note(start, &note("p", &[("r", 1), ("s", 2)], &[("d", 3)]));
    balancer.on_load_note(start, &note("p", &[("r", 1)], &[("d", 3)]));
    let first = take(&mut balancer, start + Duration::from_millis(500));
    assert!((first.prefilling - 0.4).abs() < 1e-9, "{first:?}");
    assert_eq!(
        (first.engines, first.prefill_engines, first.running),
        (3, 2, 3)
    );
    let second = take(&mut balancer, start + Duration::from_millis(1_000));
    assert_eq!(second.prefilling, 0.0);
}
