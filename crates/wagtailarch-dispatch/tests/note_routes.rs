//! Tests which instances receive the notes of which others.

use std::collections::{HashMap, HashSet};

use rstest::rstest;
use wagtailarch_dispatch::NoteRoutes;
use wagtailarch_types::{InstanceId, ZoneName};

type Member = (InstanceId, ZoneName);

fn fleet(zones: usize, members: usize) -> Vec<Member> {
    let names = (0..zones * members).map(|number| {
        let zone = format!("zone-{}", number % zones);
        (format!("front-{number}").into(), zone.as_str().into())
    });
    names.collect()
}

/// Returns the other members of a fleet.
fn peers(fleet: &[Member], own: &InstanceId) -> Vec<Member> {
    fleet
        .iter()
        .filter(|(name, _)| name != own)
        .cloned()
        .collect()
}

/// Returns the names of members.
fn names(fleet: &[Member]) -> HashSet<InstanceId> {
    fleet.iter().map(|(name, _)| name.clone()).collect()
}

/// Returns the routes of all members, given the live members of each.
fn all_routes(
    fleet: &[Member],
    live: impl Fn(&Member) -> HashSet<InstanceId>,
) -> HashMap<InstanceId, NoteRoutes> {
    let routes = fleet.iter().map(|member| {
        let (own, zone) = member;
        let routes = NoteRoutes::new(own, zone, &peers(fleet, own), &live(member));
        (own.clone(), routes)
    });
    routes.collect()
}

/// Returns the instances that a note of `sender` reaches, given the live members of each instance.
fn reached_by(
    fleet: &[Member],
    sender: &Member,
    live: impl Fn(&Member) -> HashSet<InstanceId>,
) -> HashSet<InstanceId> {
    let routes = all_routes(fleet, live);
    let zones: HashMap<_, _> = fleet.iter().cloned().collect();
    let mut reached: HashSet<InstanceId> = HashSet::new();
    let mut pending = vec![sender.0.clone()];
    pending.extend(routes[&sender.0].own_receivers.clone());
    while let Some(name) = pending.pop() {
        if !reached.insert(name.clone()) {
            continue;
        }
        pending.extend(routes[&name].member_receivers.clone());
        if zones[&name] == sender.1 {
            pending.extend(routes[&name].cross_zone_receivers.clone());
        }
    }
    reached.remove(&sender.0);
    reached
}

/// Guards against an instance that does not receive the notes of some others, in fleets of all
/// sizes.
#[rstest]
#[case(1, 1)]
#[case(3, 2)]
#[case(3, 8)]
#[case(4, 22)]
#[case(5, 59)]
#[case(13, 29)]
fn every_note_reaches_every_instance(#[case] zones: usize, #[case] members: usize) {
    let fleet = fleet(zones, members);
    for sender in fleet.iter().step_by(7) {
        let reached = reached_by(&fleet, sender, |_| names(&fleet));
        assert_eq!(reached.len(), fleet.len() - 1, "of {}", sender.0);
    }
}

/// Guards against a number of receivers that grows with the fleet: with 295 instances, each sent
/// 1,900 datagrams per second.
#[rstest]
#[case(4, 22)]
#[case(5, 59)]
#[case(13, 29)]
#[case(13, 300)]
fn receivers_do_not_grow_with_the_fleet(#[case] zones: usize, #[case] members: usize) {
    let fleet = fleet(zones, members);
    let (own, zone) = &fleet[5];
    let routes = NoteRoutes::new(own, zone, &peers(&fleet, own), &names(&fleet));
    let relays = members.div_ceil(8).max(2);
    assert!(routes.own_receivers.len() <= relays);
    let some = &fleet[..fleet.len().min(400)];
    for routes in all_routes(some, |_| names(some)).values() {
        assert!(routes.member_receivers.len() <= 30);
    }
}

/// Guards against zones that never send to each other again after a partition, because neither has
/// live members for the other.
#[test]
fn zones_without_live_members_still_receive_notes() {
    let fleet = fleet(3, 30);
    let of_zone = |member: &Member| {
        let own = fleet.iter().filter(|(_, zone)| *zone == member.1);
        own.map(|(name, _)| name.clone()).collect()
    };
    for sender in &fleet[..3] {
        let reached = reached_by(&fleet, sender, of_zone);
        assert_eq!(reached.len(), fleet.len() - 1, "of {}", sender.0);
    }
}

/// Guards against an instance that stays isolated after a partition or the loss of its relay: it
/// has no live peers and is not live for any of them.
#[test]
fn an_instance_without_live_peers_is_reached_again() {
    let fleet = fleet(3, 30);
    let isolated = &fleet[4];
    let others: HashSet<_> = names(&peers(&fleet, &isolated.0));
    let live = |member: &Member| match member == isolated {
        true => HashSet::new(),
        false => others.clone(),
    };
    let reached = reached_by(&fleet, isolated, live);
    assert_eq!(reached.len(), fleet.len() - 1);
    // Once its notes arrive, it receives the notes of all others again.
    let reached = reached_by(&fleet, &fleet[7], |_| names(&fleet));
    assert!(reached.contains(&isolated.0));
}
