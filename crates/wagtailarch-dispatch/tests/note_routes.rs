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

/// Returns the routes of all members that live.
fn all_routes(fleet: &[Member]) -> HashMap<InstanceId, NoteRoutes> {
    let routes = fleet.iter().map(|(own, zone)| {
        let peers: Vec<_> = fleet
            .iter()
            .filter(|(name, _)| name != own)
            .cloned()
            .collect();
        (own.clone(), NoteRoutes::new(own, zone, &peers))
    });
    routes.collect()
}

/// Returns who hears a note of `sender`.
fn hearers(fleet: &[Member], sender: &Member) -> HashSet<InstanceId> {
    let routes = all_routes(fleet);
    let zones: HashMap<_, _> = fleet.iter().cloned().collect();
    let mut heard: HashSet<InstanceId> = HashSet::new();
    let mut open: Vec<InstanceId> = routes[&sender.0].own.clone();
    if !routes[&sender.0].followers.is_empty() {
        open.extend(routes[&sender.0].followers.clone());
    }
    open.extend(routes[&sender.0].foreign.clone());
    while let Some(name) = open.pop() {
        if !heard.insert(name.clone()) {
            continue;
        }
        open.extend(routes[&name].followers.clone());
        if zones[&name] == sender.1 {
            open.extend(routes[&name].foreign.clone());
        }
    }
    heard.remove(&sender.0);
    heard
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
        let heard = hearers(&fleet, sender);
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
    let peers: Vec<_> = fleet
        .iter()
        .filter(|(name, _)| name != own)
        .cloned()
        .collect();
    let routes = NoteRoutes::new(own, zone, &peers);
    let relays = members.div_ceil(30).max(2);
    assert!(routes.own.len() <= relays);
    for routes in all_routes(&fleet[..fleet.len().min(400)]).values() {
        assert!(routes.followers.len() <= 60);
    }
}
