//! Routes of load notes: the instances to which an instance sends its own notes and forwards notes
//! of others.
//!
//! In a small fleet, every instance sends to every other. In a larger fleet, the members of a zone
//! send to the relays of the zone, which forward notes to the other members and to the relays of
//! other zones. The number of datagrams that an instance sends therefore does not grow with the
//! fleet.

use std::collections::HashSet;

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, ZoneName, rendezvous_weight};

use crate::relays::relay_plan::relays;

/// Number of peers up to which every instance sends to every other.
///
/// Sending 24 notes takes as many datagrams as two relays send to forward them in bundles.
const MAX_MESH_PEERS: usize = 24;

/// Number of members of a zone for each relay of notes.
///
/// The notes of 295 instances are about 130 KB/s. With 30 members for each relay, a relay sent four
/// times the capacity of the 20 Mbit/s link of a small machine; most notes were lost, and prompts
/// were prefilled again on other engines.
const MEMBERS_PER_RELAY: usize = 8;

/// Receivers of the notes that one instance sends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NoteRoutes {
    /// Receivers of the instance's own notes.
    pub own_receivers: Vec<InstanceId>,
    /// Members of the zone that receive all notes through this instance.
    pub member_receivers: Vec<InstanceId>,
    /// Relays of other zones that receive the notes of this zone through this instance.
    pub cross_zone_receivers: Vec<InstanceId>,
}

impl NoteRoutes {
    /// Returns the receivers for the instance `own` in `zone`.
    ///
    /// `listed` are all other instances, `live` are those whose notes arrive. In a zone without
    /// live members, all listed members count as live: after a partition or the loss of a relay,
    /// both sides would otherwise never send notes to each other again.
    pub fn new(
        own: &InstanceId,
        zone: &ZoneName,
        listed: &[(InstanceId, ZoneName)],
        live: &HashSet<InstanceId>,
    ) -> Self {
        if listed.len() <= MAX_MESH_PEERS {
            let all = listed.iter().map(|(name, _)| name.clone());
            return Self {
                own_receivers: all.collect(),
                ..Self::default()
            };
        }
        let mut zones = members_by_zone(listed);
        let others = zones.swap_remove(zone).unwrap_or_default();
        if !others.iter().any(|name| live.contains(name)) {
            // The relays are among the listed members and forward the notes.
            return Self {
                own_receivers: others,
                ..Self::default()
            };
        }
        let others = live_members(others, live);
        let zone_relays: Vec<_> = relays(own, &others, MEMBERS_PER_RELAY)
            .into_iter()
            .cloned()
            .collect();
        let to_relays = zone_relays.iter().filter(|name| *name != own);
        let mut routes = Self {
            own_receivers: to_relays.cloned().collect(),
            ..Self::default()
        };
        if !zone_relays.contains(own) {
            return routes;
        }
        let assigned_relay = |member: &InstanceId| {
            let key = rendezvous_weight(0, member);
            let relays = zone_relays.iter();
            relays.max_by_key(|relay| rendezvous_weight(key, relay))
        };
        let members = others.iter().filter(|name| !zone_relays.contains(name));
        let assigned_members = members.filter(|name| assigned_relay(name) == Some(own));
        routes.member_receivers = assigned_members.cloned().collect();
        for (other, members) in zones {
            let members = live_members(members, live);
            routes.cross_zone_receivers.extend(cross_zone_receivers(
                own,
                &zone_relays,
                other,
                &members,
            ));
        }
        routes
    }
}

fn members_by_zone(listed: &[(InstanceId, ZoneName)]) -> IndexMap<&ZoneName, Vec<InstanceId>> {
    let mut zones: IndexMap<&ZoneName, Vec<InstanceId>> = IndexMap::new();
    for (name, zone) in listed {
        zones.entry(zone).or_default().push(name.clone());
    }
    zones.sort_keys();
    zones
}

/// Returns the live members, or all members if none is live.
fn live_members(members: Vec<InstanceId>, live: &HashSet<InstanceId>) -> Vec<InstanceId> {
    let live_only: Vec<_> = members
        .iter()
        .filter(|name| live.contains(*name))
        .cloned()
        .collect();
    if live_only.is_empty() {
        members
    } else {
        live_only
    }
}

/// Returns the relays of another zone to which this relay forwards the notes of its zone.
///
/// Only one relay of a zone forwards notes to another zone, so that each relay there receives them
/// once.
fn cross_zone_receivers(
    own: &InstanceId,
    zone_relays: &[InstanceId],
    other: &ZoneName,
    members: &[InstanceId],
) -> Vec<InstanceId> {
    let key = xxhash_rust::xxh3::xxh3_64(other.as_bytes());
    let forwarder = zone_relays
        .iter()
        .max_by_key(|relay| rendezvous_weight(key, relay));
    match members.split_first() {
        Some((first, rest)) if forwarder == Some(own) => relays(first, rest, MEMBERS_PER_RELAY)
            .into_iter()
            .cloned()
            .collect(),
        _ => Vec::new(),
    }
}
