//! Tests rate limits that many instances keep together, in virtual time.

#[path = "../common/mod.rs"]
mod common;

mod simulation;

use std::{collections::HashSet, time::Duration};

use common::{config, plain};
use rstest::rstest;
use simulation::{Event, Instance, Simulation, WINDOW, name, named, number, server};
use wagtailarch_dispatch::{LimitMembers, LoadBalancer, NamedLimit};
use wagtailarch_types::InstanceId;
use wagtailarch_wire::{load_note::server_key, permit::PermitRank};

/// Returns the number of requests that the users' rule allows in a window.
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Guards against instances that together exceed a limit, and against a limit that is hardly used,
/// at both ends of the fleet sizes and with uneven load.
#[rstest]
fn the_sum_of_all_instances_stays_within_the_limit(
    #[values(1, 8, 370)] instances: usize,
    #[values(0.0, 0.2, 1.5, 4.0, 60.0)] limit: f64,
    #[values(false, true)] uneven: bool,
) {
    let mut simulation = Simulation::new(instances);
    let demand_per_s = (limit * 4.0).max(10.0);
    for instance in 0..instances {
        let per_s = match uneven && instances > 1 {
            false => demand_per_s / instances as f64,
            true if instance == 0 => demand_per_s * 0.9,
            true => demand_per_s * 0.1 / (instances - 1) as f64,
        };
        simulation.add_clients(instance, PermitRank::Normal, per_s, 0.0..60.0);
    }
    simulation.run_until(10.0);
    simulation.limit = Some(limit);
    simulation.run_until(60.0);
    let most = simulation.most(13.0);
    assert!(
        most <= allowed(limit),
        "{most} requests, allowed {}",
        allowed(limit)
    );
    let expected = limit.max(0.1) * 40.0 * 0.8;
    let used = simulation.count(20.0, 60.0);
    assert!(
        used as f64 >= expected.floor(),
        "{used} requests in 40 s, expected {expected}"
    );
}

/// Guards against a limit that is exceeded or unused while the coordinator has stopped, and
/// afterwards.
#[rstest]
fn a_coordinator_that_stops_is_replaced(
    #[values(8, 370)] instances: usize,
    #[values(1.5, 20.0)] limit: f64,
) {
    let mut simulation = Simulation::loaded(instances, limit, limit * 6.0);
    for instance in coordinators(&simulation) {
        simulation.stopped.insert(instance, simulation.now);
    }
    simulation.run_until(60.0);
    assert!(simulation.most(5.0) <= allowed(limit));
    let used = simulation.count(30.0, 60.0) as f64;
    assert!(
        used >= limit * 30.0 * 0.75,
        "{used} requests in 30 s after the stop"
    );
}

/// Returns the instances that regard themselves as coordinator.
fn coordinators(simulation: &Simulation) -> HashSet<Instance> {
    let all: Vec<InstanceId> = (0..simulation.balancers.len()).map(name).collect();
    let members = LimitMembers {
        own: all.first().cloned(),
        live: all[1..].to_vec(),
        listed: all.len(),
    };
    let key = server_key(&server());
    members.coordinator(key).map(number).into_iter().collect()
}

/// Guards against two sides of a partition that each use the whole limit, and against a side that
/// uses nothing.
#[rstest]
fn both_sides_of_a_partition_share_the_limit(
    #[values(9, 370)] instances: usize,
    #[values(1.5, 12.0)] limit: f64,
) {
    let mut simulation = Simulation::loaded(instances, limit, limit * 6.0);
    let side = 0..instances / 3;
    for instance in side.clone() {
        simulation.cut.insert(instance, simulation.now);
    }
    simulation.run_until(50.0);
    simulation.cut.clear();
    simulation.run_until(60.0);
    assert!(simulation.most(5.0) <= allowed(limit));
    let cut_off = simulation.arrivals.iter().filter(|(at, instance, _)| {
        side.contains(instance) && (28..50).contains(&(at.as_secs() as usize))
    });
    let expected = limit / 3.0 * 22.0 * 0.7;
    let used = cut_off.count() as f64;
    assert!(
        used >= expected,
        "{used} requests of the side that is cut off"
    );
}

/// Guards against a limit that is exceeded by two instances that both regard themselves as its
/// coordinator for two seconds, each with a full bucket.
#[rstest]
fn two_coordinators_stay_within_the_limit_in_a_burst(
    #[values(0.0, 0.5, 1.5, 4.0, 60.0)] limit: f64,
) {
    let mut simulation = Simulation::new(2);
    simulation.limit = Some(limit);
    for instance in 0..2 {
        simulation.add_clients(instance, PermitRank::Urgent, 20.0, 0.0..1.0);
        // A bucket fills from its first request on.
        simulation.add_clients(instance, PermitRank::Normal, 10.0, 6.0..6.1);
        let burst_per_s = (limit * 8.0).max(20.0);
        simulation.add_clients(instance, PermitRank::Urgent, burst_per_s, 40.0..44.0);
    }
    simulation.run_until(5.0);
    simulation
        .events
        .retain(|_, event| !matches!(event, Event::UpdateMembers));
    for (instance, balancer) in simulation.balancers.iter_mut().enumerate() {
        balancer.set_limit_members(LimitMembers {
            own: Some(name(instance)),
            live: Vec::new(),
            listed: 1,
        });
    }
    simulation.run_until(42.0);
    let most = simulation.most(38.0);
    assert!(
        most <= allowed(limit),
        "{most} requests, allowed {}",
        allowed(limit)
    );
}

/// Guards against a limit that is exceeded after it was lowered, and against instances that go on
/// keeping a limit that was raised or taken back.
#[test]
fn changes_of_a_limit_reach_all_instances() {
    const INSTANCES: usize = 8;
    let mut simulation = Simulation::loaded(INSTANCES, 20.0, 80.0);
    simulation.limit = Some(2.0);
    simulation.run_until(30.0);
    assert!(simulation.most(21.0) <= allowed(2.0));
    simulation.limit = Some(30.0);
    simulation.run_until(40.0);
    let raised = simulation.count(35.0, 40.0);
    assert!((120..=180).contains(&raised), "{raised}");
    simulation.limit = None;
    simulation.run_until(60.0);
    assert!(simulation.count(50.0, 60.0) > 780);
}

/// Guards against an urgent route that is refused while others use the limit.
#[rstest]
#[case(1.5)]
#[case(20.0)]
fn urgent_requests_go_first(#[case] limit: f64) {
    const INSTANCES: usize = 8;
    let mut simulation = Simulation::new(INSTANCES);
    simulation.limit = Some(limit);
    let urgent_per_s = limit * 0.8;
    for instance in 0..INSTANCES {
        let share = |per_s: f64| per_s / INSTANCES as f64;
        simulation.add_clients(instance, PermitRank::Low, share(limit * 4.0), 0.0..60.0);
        simulation.add_clients(instance, PermitRank::Urgent, share(urgent_per_s), 0.0..60.0);
    }
    simulation.run_until(60.0);
    let late = simulation
        .arrivals
        .iter()
        .filter(|(at, ..)| at.as_secs() >= 20);
    let urgent = late
        .filter(|(_, _, client)| client.rank == PermitRank::Urgent)
        .count();
    let share = urgent as f64 / (urgent_per_s * 40.0);
    assert!(share > 0.8, "{share} of the urgent requests");
    assert!(simulation.most(5.0) <= allowed(limit));
}

/// Guards against a Retry-After that does not hold: most clients of a burst find room when they
/// come back after it, at another instance.
#[rstest]
fn refused_clients_find_room_when_they_retry(
    #[values(1, 8, 370)] instances: usize,
    #[values(1.0, 4.0, 20.0)] limit: f64,
) {
    let mut simulation = Simulation::loaded(instances, limit, 1.0);
    simulation.run_until(60.0);
    simulation.clients_retry = true;
    let burst_per_s = limit * 10.0 / instances.min(8) as f64;
    for instance in 0..instances.min(8) {
        simulation.add_clients(instance, PermitRank::Normal, burst_per_s, 60.0..61.0);
    }
    let before = simulation.refusals.len();
    simulation.run_until(100.0);
    let refusals = &simulation.refusals[before..];
    let refused = refusals.iter().filter(|client| !client.returned).count();
    let refused_again = refusals.len() - refused;
    assert!(refused as f64 >= limit * 4.0, "{refused} refused");
    assert!(
        refused_again * 4 <= refused,
        "{refused_again} of {refused} are refused again"
    );
}

/// Guards against a response that takes a limit back although its server sent it before it named
/// the limit, and against a limit that outlives a restart of its server.
#[test]
fn only_newer_responses_take_a_limit_back() {
    let at = Duration::from_millis;
    let mut balancer = LoadBalancer::default();
    balancer.apply(&[plain("s1", "a")], &config());
    balancer.on_named_limit(at(100), &server(), at(50), named(Some(2.0)));
    assert_eq!(
        balancer.on_named_limit(at(110), &server(), at(90), named(None)),
        None
    );
    assert_eq!(balancer.limited_servers().len(), 1);
    let invalid = balancer.on_named_limit(at(190), &server(), at(180), NamedLimit::Invalid);
    assert_eq!(invalid, None);
    assert_eq!(balancer.limited_servers().len(), 1);
    balancer.on_named_limit(at(200), &server(), at(150), named(None));
    assert!(balancer.limited_servers().is_empty());
    balancer.on_named_limit(at(300), &server(), at(250), named(Some(2.0)));
    let mut restarted = plain("s1", "a");
    restarted.started_unix_ms += 1;
    balancer.apply(&[restarted], &config());
    assert!(balancer.limited_servers().is_empty());
}

/// Guards against messages that cost more than an instance may spend on control: 2 KB/s with 1% of
/// 3,800 servers at their limits, in datagrams of at most 48 bytes.
#[test]
fn the_messages_for_a_limit_are_bounded() {
    const INSTANCES: usize = 370;
    const MOST_PER_S: f64 = 2_048.0 * INSTANCES as f64 / 38.0 / 48.0;
    let mut simulation = Simulation::new(INSTANCES);
    simulation.limit = Some(4.0);
    for instance in 0..INSTANCES {
        simulation.add_clients(instance, PermitRank::Normal, 1.0, 0.0..30.0);
    }
    simulation.run_until(30.0);
    let per_s = simulation.messages as f64 / 30.0;
    assert!(
        per_s < MOST_PER_S,
        "{per_s} of {MOST_PER_S} messages a second"
    );
}
