//! To whom an instance sends its notes, and which notes of others it passes on.
//!
//! In a small fleet everyone tells everyone. In a larger one the members of a zone tell its relays,
//! which pass notes on to the other members and to the relays of other zones, so that the datagrams of
//! an instance do not grow with the fleet.

use std::collections::HashSet;

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, ZoneName, rendezvous_weight};

use crate::relay_plan::relays;

/// Peers up to which everyone tells everyone.
///
/// 24 notes take as many datagrams as two relays send for a bundle of them.
const MESH_PEERS: usize = 24;

/// Members of a zone for each relay of notes.
///
/// All notes of 295 instances are about 130 KB a second. With 30 members a relay sent four times what the
/// link of a small machine carries, 20 Mbit/s, so that most were lost and prompts were read again elsewhere.
const MEMBERS_PER_RELAY: usize = 8;

/// Receivers of the notes that one instance sends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NoteRoutes {
    /// Who gets the notes of this instance.
    pub own_receivers: Vec<InstanceId>,
    /// Who gets the notes that others have sent to this instance.
    pub member_receivers: Vec<InstanceId>,
    /// Who gets the notes of members of the own zone.
    pub cross_zone_receivers: Vec<InstanceId>,
}

impl NoteRoutes {
    /// Returns the receivers of the instance `own` in `zone`.
    ///
    /// `listed` are all other instances, `heard` those whose notes arrive. Of a zone in which nobody is
    /// heard all listed members count: after a partition or the loss of a relay both sides would
    /// otherwise tell each other nothing for ever.
    pub fn new(
        own: &InstanceId,
        zone: &ZoneName,
        listed: &[(InstanceId, ZoneName)],
        heard: &HashSet<InstanceId>,
    ) -> Self {
        if listed.len() <= MESH_PEERS {
            let all = listed.iter().map(|(name, _)| name.clone());
            return Self {
                own_receivers: all.collect(),
                ..Self::default()
            };
        }
        let mut zones = members_by_zone(listed);
        let others = zones.swap_remove(zone).unwrap_or_default();
        if !others.iter().any(|name| heard.contains(name)) {
            // Whichever of them are relays hear this instance and pass it on.
            return Self {
                own_receivers: others,
                ..Self::default()
            };
        }
        let others = present(others, heard);
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
        let nearest = |member: &InstanceId| {
            let key = rendezvous_weight(0, member);
            let relays = zone_relays.iter();
            relays.max_by_key(|relay| rendezvous_weight(key, relay))
        };
        let members = others.iter().filter(|name| !zone_relays.contains(name));
        let followers = members.filter(|name| nearest(name) == Some(own));
        routes.member_receivers = followers.cloned().collect();
        for (other, members) in zones {
            let members = present(members, heard);
            routes
                .cross_zone_receivers
                .extend(foreign(own, &zone_relays, other, &members));
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

/// Returns the members that are heard, or all if none is.
fn present(members: Vec<InstanceId>, heard: &HashSet<InstanceId>) -> Vec<InstanceId> {
    let known: Vec<_> = members
        .iter()
        .filter(|name| heard.contains(*name))
        .cloned()
        .collect();
    if known.is_empty() { members } else { known }
}

/// Returns the relays of another zone to which this relay passes on the notes of its zone.
///
/// One relay of a zone serves each other zone, so that notes cross a border once for each relay there.
fn foreign(
    own: &InstanceId,
    zone_relays: &[InstanceId],
    other: &ZoneName,
    members: &[InstanceId],
) -> Vec<InstanceId> {
    let key = xxhash_rust::xxh3::xxh3_64(other.as_bytes());
    let speaker = zone_relays
        .iter()
        .max_by_key(|relay| rendezvous_weight(key, relay));
    match members.split_first() {
        Some((first, rest)) if speaker == Some(own) => relays(first, rest, MEMBERS_PER_RELAY)
            .into_iter()
            .cloned()
            .collect(),
        _ => Vec::new(),
    }
}
