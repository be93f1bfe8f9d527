//! To whom an instance sends its notes, and which notes of others it passes on.
//!
//! In a small fleet everyone tells everyone. In a larger one the members of a zone tell its relays,
//! which pass notes on to the other members and to the relays of other zones, so that the datagrams of
//! an instance do not grow with the fleet.

use wagtailarch_types::{InstanceId, ZoneName, rendezvous_weight};

use crate::relay_plan::relays;

/// Peers up to which everyone tells everyone.
///
/// 24 notes take as many datagrams as two relays send for a bundle of them.
const MESH_PEERS: usize = 24;

/// Receivers of the notes that one instance sends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NoteRoutes {
    /// Who gets the notes of this instance.
    pub own: Vec<InstanceId>,
    /// Who gets the notes that others have sent to this instance.
    pub followers: Vec<InstanceId>,
    /// Who gets the notes of members of the own zone.
    pub foreign: Vec<InstanceId>,
}

impl NoteRoutes {
    /// Returns the receivers of the instance `own` in `zone`, whose peers are `peers`.
    pub fn new(own: &InstanceId, zone: &ZoneName, peers: &[(InstanceId, ZoneName)]) -> Self {
        if peers.len() <= MESH_PEERS {
            let all = peers.iter().map(|(name, _)| name.clone());
            return Self {
                own: all.collect(),
                ..Self::default()
            };
        }
        let of_zone = |wanted: &ZoneName| -> Vec<InstanceId> {
            let members = peers.iter().filter(|(_, zone)| zone == wanted);
            members.map(|(name, _)| name.clone()).collect()
        };
        let others = of_zone(zone);
        let zone_relays: Vec<_> = relays(own, &others).into_iter().cloned().collect();
        let mut routes = Self {
            own: zone_relays
                .iter()
                .filter(|name| *name != own)
                .cloned()
                .collect(),
            ..Self::default()
        };
        if !zone_relays.contains(own) {
            return routes;
        }
        let nearest = |member: &InstanceId| {
            let key = rendezvous_weight(0, member);
            let nearest = zone_relays.iter();
            nearest.max_by_key(|relay| rendezvous_weight(key, relay))
        };
        let members = others.iter().filter(|name| !zone_relays.contains(name));
        routes.followers = members
            .filter(|name| nearest(name) == Some(own))
            .cloned()
            .collect();
        routes.foreign = foreign(own, zone, &zone_relays, peers);
        routes
    }
}

/// Returns the relays of other zones to which this relay passes on the notes of its zone.
///
/// One relay of a zone serves each other zone, so that notes cross a border once for each relay there.
fn foreign(
    own: &InstanceId,
    zone: &ZoneName,
    zone_relays: &[InstanceId],
    peers: &[(InstanceId, ZoneName)],
) -> Vec<InstanceId> {
    let mut zones: Vec<_> = peers
        .iter()
        .map(|(_, of)| of)
        .filter(|of| *of != zone)
        .collect();
    zones.sort();
    zones.dedup();
    let mut receivers = Vec::new();
    for other in zones {
        let key = xxhash_rust::xxh3::xxh3_64(other.as_bytes());
        let speaker = zone_relays
            .iter()
            .max_by_key(|relay| rendezvous_weight(key, relay));
        if speaker != Some(own) {
            continue;
        }
        let members = peers.iter().filter(|(_, of)| of == other);
        let members: Vec<_> = members.map(|(name, _)| name.clone()).collect();
        let Some((first, rest)) = members.split_first() else {
            continue;
        };
        receivers.extend(relays(first, rest).into_iter().cloned());
    }
    receivers
}
