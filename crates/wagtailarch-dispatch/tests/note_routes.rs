//! Who hears the notes of whom.

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

/// Returns the routes of all members, each of which hears what `heard` says.
fn all_routes(
    fleet: &[Member],
    heard: impl Fn(&Member) -> HashSet<InstanceId>,
) -> HashMap<InstanceId, NoteRoutes> {
    let routes = fleet.iter().map(|member| {
        let (own, zone) = member;
        let routes = NoteRoutes::new(own, zone, &peers(fleet, own), &heard(member));
        (own.clone(), routes)
    });
    routes.collect()
}

/// Returns who hears a note of `sender` if members hear what `heard` says.
fn hearers(
    fleet: &[Member],
    sender: &Member,
    heard: impl Fn(&Member) -> HashSet<InstanceId>,
) -> HashSet<InstanceId> {
    let routes = all_routes(fleet, heard);
    let zones: HashMap<_, _> = fleet.iter().cloned().collect();
    let mut reached: HashSet<InstanceId> = HashSet::new();
    let mut open = vec![sender.0.clone()];
    open.extend(routes[&sender.0].own_receivers.clone());
    while let Some(name) = open.pop() {
        if !reached.insert(name.clone()) {
            continue;
        }
        open.extend(routes[&name].member_receivers.clone());
        if zones[&name] == sender.1 {
            open.extend(routes[&name].cross_zone_receivers.clone());
        }
    }
    reached.remove(&sender.0);
    reached
}

/// Guards against an instance that hears nothing of some others, in fleets of all sizes.
#[rstest]
#[case(1, 1)]
#[case(3, 2)]
#[case(3, 8)]
#[case(4, 22)]
#[case(5, 59)]
#[case(13, 29)]
fn everyone_hears_everyone(#[case] zones: usize, #[case] members: usize) {
    let fleet = fleet(zones, members);
    for sender in fleet.iter().step_by(7) {
        let heard = hearers(&fleet, sender, |_| names(&fleet));
        assert_eq!(heard.len(), fleet.len() - 1, "of {}", sender.0);
    }
}

/// Guards against receivers that grow with the fleet: at 295 instances each sent 1,900 datagrams a
/// second.
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

/// Guards against zones that tell each other nothing after a partition has ended, since neither hears
/// the other.
#[test]
fn zones_that_do_not_hear_each_other_still_tell_each_other() {
    let fleet = fleet(3, 30);
    let of_zone = |member: &Member| {
        let own = fleet.iter().filter(|(_, zone)| *zone == member.1);
        own.map(|(name, _)| name.clone()).collect()
    };
    for sender in &fleet[..3] {
        let heard = hearers(&fleet, sender, of_zone);
        assert_eq!(heard.len(), fleet.len() - 1, "of {}", sender.0);
    }
}

/// Guards against an instance that is alone for ever after it was cut off, or after the relay that told
/// it of all others is gone: it hears nobody, and nobody hears it.
#[test]
fn an_instance_that_hears_nobody_is_heard_again() {
    let fleet = fleet(3, 30);
    let lost = &fleet[4];
    let others: HashSet<_> = names(&peers(&fleet, &lost.0));
    let heard = |member: &Member| match member == lost {
        true => HashSet::new(),
        false => others.clone(),
    };
    let reached = hearers(&fleet, lost, heard);
    assert_eq!(reached.len(), fleet.len() - 1);
    // Those that hear it again tell it of all others.
    let reached = hearers(&fleet, &fleet[7], |_| names(&fleet));
    assert!(reached.contains(&lost.0));
}
