//! Tests the detection of lost paths and the selection of instances that serve in place of this one.

#[path = "../common/mod.rs"]
mod common;

mod decisions;
mod simulation;

use std::time::Duration;

use rstest::rstest;
use simulation::{Fleet, Link, Outcome, Simulation};

/// Start of the faults.
const CUT: Duration = Duration::from_secs(4);
/// End of the faults.
const HEAL: Duration = Duration::from_secs(14);
const END: Duration = Duration::from_secs(18);
const SECOND: Duration = Duration::from_secs(1);

const SMALL: Fleet = Fleet {
    instances: 8,
    zones: 3,
    services: 4,
    servers: 6,
    rate_per_s: 20.0,
    duration: END,
};
/// The rate of each instance is lower than in the fleet to design for, so that the run is short; the
/// times do not depend on it above a few requests per second.
const LARGE: Fleet = Fleet {
    instances: 370,
    zones: 13,
    services: 6,
    servers: 100,
    rate_per_s: 20.0,
    duration: END,
};

fn during_cut(at: Duration) -> bool {
    (CUT..HEAL).contains(&at)
}

/// Returns the latest loss and return of instances for which `is_cut` holds, after the fault began
/// and ended.
fn delays(outcome: &Outcome) -> (Duration, Duration) {
    let losses = outcome.losses.iter().map(|(_, _, at)| *at - CUT);
    let returns = outcome.returns.iter();
    let returns = returns.map(|(_, _, at)| at.saturating_sub(HEAL));
    (
        losses.max().unwrap_or_default(),
        returns.max().unwrap_or_default(),
    )
}

/// Guards against an instance that refuses its clients for as long as it is cut off from all
/// servers, although other instances reach them, and against one that stays without a path
/// afterwards. The worst case is one surviving instance of a zone.
#[rstest]
#[case::one_of_a_zone(SMALL, &[0], Link::Refuses)]
#[case::most_of_a_zone(SMALL, &[0, 3], Link::Refuses)]
#[case::all_of_a_zone(SMALL, &[0, 3, 6], Link::Refuses)]
#[case::all_of_a_zone_hangs(SMALL, &[0, 3, 6], Link::Hangs)]
#[case::half_of_the_fleet(SMALL, &[0, 1, 3, 6], Link::Hangs)]
#[case::one_of_many(LARGE, &[5], Link::Hangs)]
fn an_instance_without_a_path_serves_as_often_as_the_others(
    #[case] fleet: Fleet,
    #[case] cut: &[usize],
    #[case] fault: Link,
    #[values(1, 2, 3)] seed: u64,
) {
    check_cut(fleet, cut, fault, seed);
}

/// Guards against the same for a whole zone of the fleet to design for, whose instances all choose
/// others at once.
#[rstest]
fn a_zone_of_29_instances_is_served_by_the_other_zones(
    #[values(Link::Refuses, Link::Hangs)] fault: Link,
) {
    let cut: Vec<_> = (0..LARGE.instances)
        .filter(|i| i % LARGE.zones == 1)
        .collect();
    let outcome = check_cut(LARGE, &cut, fault, 1);
    let most = outcome.served_for_others.values().max().copied();
    let all: usize = outcome.served_for_others.values().sum();
    let mean = all as f64 / (LARGE.instances - cut.len()) as f64;
    println!("requests for others at one instance: mean {mean:.0}, most {most:?}");
    assert!(most.unwrap_or_default() as f64 <= 2.0 * mean);
}

fn check_cut(fleet: Fleet, cut: &[usize], fault: Link, seed: u64) -> Outcome {
    let link = |at: Duration, instance: usize, _: usize, _: usize| match cut.contains(&instance) {
        true if during_cut(at) => fault,
        _ => Link::Opens,
    };
    let outcome = Simulation::run(fleet, seed, &link);
    let is_cut = |instance: usize| cut.contains(&instance);
    let first = outcome.served_share(is_cut, CUT, CUT + SECOND);
    let later = outcome.served_share(is_cut, CUT + SECOND, HEAL);
    let others = outcome.served_share(|i| !is_cut(i), CUT, HEAL);
    let (lost_after, returned_after) = delays(&outcome);
    let probes_per_s = outcome.probes_per_s(CUT, HEAL) / cut.len() as f64;
    println!(
        "{} instances, {} cut, {fault:?}: lost after {lost_after:?}, back after {returned_after:?}, \
         served {first:.3} in the first second, {later:.3} then, {others:.3} by the others; \
         {probes_per_s:.1} probes/s each for {} services; at most {} bytes",
        fleet.instances,
        cut.len(),
        fleet.services,
        outcome.max_report_bytes,
    );
    assert!(lost_after < SECOND, "lost after {lost_after:?}");
    assert_eq!(outcome.losses.len(), cut.len() * fleet.services);
    assert_eq!(outcome.returns.len(), cut.len() * fleet.services);
    assert!(returned_after < Duration::from_millis(1_500));
    assert!(later >= 0.99 * others, "{later} of {others}");
    assert!(first >= 0.95 * others, "{first} of {others}");
    assert_eq!(outcome.probes_per_s(Duration::ZERO, CUT), 0.0);
    assert!(probes_per_s <= 3.5 * fleet.services as f64);
    outcome
}

/// Guards against faults of servers, and short faults of the path, that are taken for its loss, and
/// against probes that go on after them.
#[rstest]
#[case::crashed_server(|at, server| match server == 0 && during_cut(at) {
    true => Link::Refuses,
    false => Link::Opens,
})]
#[case::unreachable_server(|at, server| match server == 0 && during_cut(at) {
    true => Link::Hangs,
    false => Link::Opens,
})]
#[case::most_servers_crashed(|at, server| match server < 5 && during_cut(at) {
    true => Link::Refuses,
    false => Link::Opens,
})]
#[case::short_loss_of_packets(|at, _| match at >= CUT && at < CUT + Duration::from_millis(200) {
    true => Link::Hangs,
    false => Link::Opens,
})]
fn a_fault_of_servers_is_no_loss_of_the_path(
    #[case] fault: fn(Duration, usize) -> Link,
    #[values(1, 2, 3)] seed: u64,
) {
    let link = |at, _, _, server| fault(at, server);
    let outcome = Simulation::run(SMALL, seed, &link);
    assert_eq!(outcome.losses, Vec::new());
    assert_eq!(outcome.probes_per_s(HEAL + SECOND, END), 0.0);
    println!("{:.1} probes/s of all", outcome.probes_per_s(CUT, HEAL));
}

/// Guards against a loss that needs two servers where the service has one, and against clients that
/// wait for other instances while the only server is down.
#[rstest]
fn a_service_with_one_server(#[values(1, 2, 3)] seed: u64, #[values(true, false)] is_path: bool) {
    let fleet = Fleet {
        servers: 1,
        ..SMALL
    };
    let link = |at, instance, _, _| match (instance == 0 || !is_path) && during_cut(at) {
        true => Link::Refuses,
        false => Link::Opens,
    };
    let outcome = Simulation::run(fleet, seed, &link);
    let share = outcome.served_share(|instance| instance == 0, CUT + SECOND, HEAL);
    let after = outcome.served_share(|instance| instance == 0, HEAL + SECOND, END);
    assert_eq!(after, 1.0);
    if is_path {
        assert!(share >= 0.99, "{share}");
        return;
    }
    assert_eq!(share, 0.0);
    let refused = outcome.requests.iter();
    let refused = refused.filter(|(_, _, at, ..)| *at >= CUT + 2 * SECOND && *at < HEAL);
    let longest = refused.map(|(_, _, _, took, _)| *took).max();
    assert!(longest < Some(Duration::from_millis(20)), "{longest:?}");
}

/// Guards against an instance that waits for a success before it can notice a loss.
#[rstest]
fn an_instance_that_starts_behind_the_partition(#[values(1, 2, 3)] seed: u64) {
    let link = |at, instance, _, _| match instance == 0 && at < HEAL {
        true => Link::Hangs,
        false => Link::Opens,
    };
    let outcome = Simulation::run(SMALL, seed, &link);
    let share = outcome.served_share(|instance| instance == 0, 2 * SECOND, END);
    assert!(share >= 0.99, "{share}");
}

/// Guards against clients of a rarely used service that are refused, since nothing but their
/// requests shows the loss.
#[rstest]
fn a_low_rate_of_requests(#[values(1, 2, 3)] seed: u64) {
    let fleet = Fleet {
        rate_per_s: 0.5,
        ..SMALL
    };
    let link = |at, instance, _, _| match instance == 0 && during_cut(at) {
        true => Link::Hangs,
        false => Link::Opens,
    };
    let outcome = Simulation::run(fleet, seed, &link);
    assert_eq!(
        outcome.served_share(|instance| instance == 0, CUT, HEAL),
        1.0
    );
}

/// Guards against an instance that switches as often as its path does.
#[rstest]
fn a_path_that_comes_and_goes(#[values(1, 2, 3)] seed: u64) {
    let link = |at: Duration, instance, _, _| {
        let is_off = (at.as_millis() / 1_000).is_multiple_of(2);
        match instance == 0 && during_cut(at) && is_off {
            true => Link::Refuses,
            false => Link::Opens,
        }
    };
    let outcome = Simulation::run(SMALL, seed, &link);
    let share = outcome.served_share(|instance| instance == 0, CUT, END);
    let losses = outcome.losses.len() as f64 / SMALL.services as f64;
    println!("{losses} losses in 10 s, {share:.3} served");
    assert!(losses <= 3.0, "{losses} losses");
    assert!(share >= 0.98, "{share}");
}
