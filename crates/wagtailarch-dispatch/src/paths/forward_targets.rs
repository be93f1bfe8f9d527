//! Selection of the instance that serves a request in place of one without a path to the servers.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use wagtailarch_types::{InstanceId, ServiceName, ZoneName, rendezvous_weight};
use wagtailarch_wire::{load_note::LoadNote, path_report::LostPaths};

use crate::membership::service_versions::service_key;

/// Age of the last load note from which an instance takes no requests of others.
///
/// Notes are sent every second and take up to 0.3 s through relays.
const MAX_NOTE_AGE: Duration = Duration::from_millis(2_500);
/// Age of the last load note from which an instance is forgotten.
const FORGET_AGE: Duration = Duration::from_secs(60);
/// Maximum number of requests of others that an instance serves at a time.
///
/// At 49,000 requests/s over 370 instances, one with a mean time of 2 s has 265 open requests.
pub const MAX_SERVED_FOR_PEERS: u16 = 512;
/// Maximum number of requests that one instance has at others at a time.
const MAX_SENT: u32 = 2_048;
/// Time for which an instance is not asked again after it could not be reached or refused.
const AVOID_TIME: Duration = Duration::from_millis(1_000);
/// Least number of instances without a path from which the servers themselves are taken to be down.
const MIN_DENIALS: usize = 3;
/// Number of instances without a path that suffices in any fleet.
///
/// Up to that, more than half of the other instances are needed: with three, an instance refused its
/// clients for half a second when four of eight instances were partitioned at once.
const ENOUGH_DENIALS: usize = 8;
/// Time for which nothing is sent to others once the servers are taken to be down.
const DENIED_TIME: Duration = Duration::from_millis(500);

/// Selects the instance that serves a request in place of one without a path to the servers.
#[derive(Debug, Default)]
pub struct ForwardTargets {
    /// The other instances whose load notes arrive.
    peers: IndexMap<InstanceId, PeerPaths>,
    /// Services for which other instances had no path either.
    denials: IndexMap<ServiceName, Denials>,
    /// Number of requests of this instance at others.
    sent: u32,
    /// Number of selections so far, which spreads them.
    selections: u64,
}

/// What another instance says about itself, and what came of requests that were sent to it.
#[derive(Debug, Default)]
struct PeerPaths {
    zone: ZoneName,
    heard_at: Duration,
    leaving: bool,
    lost: LostPaths,
    /// Requests of others that it serves.
    served: u16,
    /// Requests of this instance that it serves.
    sent: u32,
    /// Time until which it gets no request.
    avoid_until: Duration,
    /// Services to which it had no path, each with the time until which that holds.
    denied: IndexMap<ServiceName, Duration>,
}

/// Instances that had no path to a service either, since one last served a request for it.
#[derive(Debug, Default)]
struct Denials {
    /// Zone of each of these instances and when it refused.
    instances: IndexMap<InstanceId, (ZoneName, Duration)>,
    /// Time until which no request is sent to another instance.
    until: Duration,
}

/// A request that needs another instance.
#[derive(Debug, Clone, Copy)]
pub struct ForwardRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// This instance.
    pub own: &'a InstanceId,
    /// Availability zone of this instance.
    pub zone: &'a ZoneName,
    /// Instances that were tried for this request.
    pub excluded: &'a [InstanceId],
}

/// How a request ended at another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardResult {
    /// The instance served the request, whatever the response was.
    Served,
    /// The instance has no path to a server of the service either.
    NoPath,
    /// The instance could not be reached or takes no requests of others at present.
    Unavailable,
}

impl ForwardTargets {
    /// Applies what another instance says about itself.
    pub fn on_note(&mut self, now: Duration, note: &LoadNote) {
        let peer = self.peers.entry(note.sender.clone()).or_default();
        if peer.zone != note.zone {
            peer.zone = note.zone.clone();
        }
        peer.heard_at = now;
        peer.leaving = note.paths.leaving;
        peer.served = note.paths.served_for_peers;
        peer.lost.clone_from(&note.paths.lost);
    }

    /// Selects the instance for a request; `None` if no instance is known to have a path and room.
    pub fn select(&mut self, now: Duration, request: &ForwardRequest<'_>) -> Option<InstanceId> {
        self.peers
            .retain(|_, peer| peer.sent > 0 || now.saturating_sub(peer.heard_at) < FORGET_AGE);
        let denials = self.denials.get(request.service);
        if self.sent >= MAX_SENT || denials.is_some_and(|denials| now < denials.until) {
            return None;
        }
        let key = service_key(request.service) as u32;
        let usable = |name: &InstanceId, peer: &PeerPaths| {
            !request.excluded.contains(name)
                && !peer.lost.contains(key)
                && peer.is_usable(now, request.service)
        };
        let usable: Vec<_> = self.peers.iter().filter(|(n, p)| usable(n, p)).collect();
        let in_zone = usable.iter().filter(|(_, peer)| peer.zone == *request.zone);
        let in_zone: Vec<_> = in_zone.copied().collect();
        let candidates = match self.zone_suffices(now, request, key, in_zone.len()) {
            true => in_zone,
            false => usable,
        };
        self.selections = self.selections.wrapping_add(1);
        let selected = less_loaded(request.own, self.selections, &candidates)?;
        Some(selected.clone())
    }

    /// Returns whether all other instances whose notes arrive say that they have no path to a
    /// service, if there are any.
    pub fn is_lost_everywhere(&self, now: Duration, service: &ServiceName) -> bool {
        let key = service_key(service) as u32;
        let mut live = self
            .peers
            .values()
            .filter(|peer| peer.is_live(now))
            .peekable();
        live.peek().is_some() && live.all(|peer| peer.lost.contains(key))
    }

    /// Records that a request is sent to another instance.
    pub fn on_sent(&mut self, name: &InstanceId) {
        self.sent += 1;
        if let Some(peer) = self.peers.get_mut(name) {
            peer.sent += 1;
        }
    }

    /// Records the end of a request at another instance; `result` is absent if the client left.
    pub fn on_ended(
        &mut self,
        now: Duration,
        service: &ServiceName,
        name: &InstanceId,
        result: Option<ForwardResult>,
    ) {
        self.sent = self.sent.saturating_sub(1);
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.sent = peer.sent.saturating_sub(1);
        match result {
            None => {}
            Some(ForwardResult::Served) => {
                peer.denied.swap_remove(service);
                self.denials.swap_remove(service);
            }
            Some(ForwardResult::Unavailable) => peer.avoid_until = now + AVOID_TIME,
            Some(ForwardResult::NoPath) => {
                peer.denied.insert(service.clone(), now + AVOID_TIME);
                let zone = peer.zone.clone();
                self.on_denied(now, service, name, zone);
            }
        }
    }

    /// Concludes that the servers are down once several instances in more than one zone have no
    /// path either, if there is more than one zone.
    fn on_denied(
        &mut self,
        now: Duration,
        service: &ServiceName,
        name: &InstanceId,
        zone: ZoneName,
    ) {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        let live: Vec<_> = live.map(|peer| &peer.zone).collect();
        let needed = (live.len() / 2 + 1).clamp(MIN_DENIALS, ENOUGH_DENIALS);
        let needed_zones = live.into_iter().collect::<IndexSet<_>>().len().min(2);
        let denials = self.denials.entry(service.clone()).or_default();
        denials.instances.insert(name.clone(), (zone, now));
        denials
            .instances
            .retain(|_, (_, at)| now.saturating_sub(*at) < AVOID_TIME);
        let zones: IndexSet<_> = denials.instances.values().map(|(zone, _)| zone).collect();
        if denials.instances.len() >= needed && zones.len() >= needed_zones {
            denials.until = now + DENIED_TIME;
        }
    }

    /// Returns whether the usable instances of the own zone can serve for all of the zone.
    ///
    /// Traffic between zones is charged, but one instance can't serve for a whole zone: the own zone
    /// is preferred while each of its instances serves for at most one other. Once an instance of
    /// the zone was tried in vain, the whole zone may be concerned.
    fn zone_suffices(
        &self,
        now: Duration,
        request: &ForwardRequest<'_>,
        key: u32,
        usable: usize,
    ) -> bool {
        let tried = request.excluded.iter();
        let mut tried_zones = tried.filter_map(|name| Some(&self.peers.get(name)?.zone));
        if tried_zones.any(|zone| zone == request.zone) {
            return false;
        }
        let in_zone = self.peers.values().filter(|p| p.zone == *request.zone);
        let without_path = in_zone.filter(|p| p.is_live(now) && p.lost.contains(key));
        usable > without_path.count()
    }
}

impl PeerPaths {
    fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard_at) < MAX_NOTE_AGE
    }

    fn is_usable(&self, now: Duration, service: &ServiceName) -> bool {
        let denied = self.denied.get(service);
        self.is_live(now)
            && !self.leaving
            && now >= self.avoid_until
            && denied.is_none_or(|until| now >= *until)
            && self.load() < u32::from(MAX_SERVED_FOR_PEERS)
    }

    /// Returns the requests of others that the instance has, as far as this one knows.
    ///
    /// The number in a note may lack the requests that were sent since.
    fn load(&self) -> u32 {
        self.sent.max(self.served.into())
    }
}

/// Returns the less loaded of two instances that differ by request and sender, so that instances
/// without a path do not all choose the same one between two notes.
fn less_loaded<'a>(
    own: &InstanceId,
    selection: u64,
    candidates: &[(&'a InstanceId, &'a PeerPaths)],
) -> Option<&'a InstanceId> {
    let count = u64::try_from(candidates.len()).ok()?;
    let hash = rendezvous_weight(selection, own);
    let first = hash.checked_rem(count)?;
    // The second one differs from the first if there are two.
    let offset = (hash >> 32)
        .checked_rem(count - 1)
        .map_or(0, |rest| rest + 1);
    let second = (first + offset) % count;
    let pair = [first, second].map(|index| candidates[index as usize]);
    let lower = pair.into_iter().min_by_key(|(_, peer)| peer.load());
    lower.map(|(name, _)| name)
}
