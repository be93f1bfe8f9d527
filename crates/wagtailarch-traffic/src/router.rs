//! Selection of a backend server by load, prefix affinity and zone, for the entry instance of
//! `wagtailarch-entry`.
//!
//! A suspect is a request that was in flight on a backend server when it crashed, so that the
//! request may have caused the crash.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use wagtailarch_types::{
    Assignment, BackendKind, BackendState, GroupName, InstanceId, Phase, Role, ZoneName,
};
use wagtailarch_wire::engine::CacheEvent;

use crate::affinity::{Affinity, Preference};
use crate::backend_load::{BackendLoad, BackendTracker};
use crate::{BackendView, Selection, SelectionRequest};

/// Score in the preferred zone above which other zones are considered.
const MAX_PREFERRED_ZONE_SCORE: f64 = 0.9;
/// Cost of a request to another zone, in units of the score.
const OTHER_ZONE_COST: f64 = 0.25;
/// Cost of running a whole generation on a decode engine, in units of the score. Its running
/// streams stall during the prefill.
const DECODE_PREFILL_COST: f64 = 0.5;
/// Maximum load of a backend server selected by prefix affinity, as a ratio to the mean load.
const MAX_AFFINITY_LOAD_RATIO: f64 = 1.25;
/// Maximum number of candidates sampled for the mean load. Reading the load of 300 candidates
/// takes longer than the rest of the selection.
const MEAN_SAMPLE_SIZE: usize = 32;

/// Selects backend servers for the requests of one entry instance.
#[derive(Debug)]
pub struct Router {
    local_zone: ZoneName,
    random: AtomicU64,
    table: ArcSwap<RoutingTable>,
    /// State kept across updates. Holds the backend servers of the last update and those with
    /// requests in flight.
    trackers: Mutex<HashMap<InstanceId, BackendTracker>>,
    affinity: Affinity,
}

/// Backend servers that accept requests, as of the last update.
#[derive(Debug, Default)]
struct RoutingTable {
    groups: HashMap<GroupName, Vec<BackendSet>>,
    /// Zones of all backend servers, which refer to them by index: comparing zone names for each
    /// candidate took most of the time of a selection.
    zones: Vec<ZoneName>,
}

/// Backend servers of one group with the same kind and assignment.
#[derive(Debug)]
struct BackendSet {
    kind: BackendKind,
    /// `None` for plain services.
    assignment: Option<Assignment>,
    backends: Vec<BackendLoad>,
}

/// A backend server that can serve a request.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    backend: &'a BackendLoad,
    role: Option<Role>,
    /// Cost of serving the phase of the request with this role, in units of the score.
    role_cost: f64,
}

impl Router {
    /// Creates a router without backend servers for an instance in `local_zone`.
    ///
    /// `seed` must differ between instances, so that they do not make the same selections from the
    /// same reports.
    pub fn new(local_zone: ZoneName, seed: u64) -> Self {
        Self {
            local_zone,
            random: AtomicU64::new(seed),
            table: ArcSwap::default(),
            trackers: Mutex::default(),
            affinity: Affinity::default(),
        }
    }

    /// Replaces the routing table by one built from `views`, which lists all backend servers.
    pub fn update(&self, now: Duration, views: Vec<BackendView>) {
        let mut trackers = self.lock_trackers();
        let mut table = RoutingTable::default();
        for view in &views {
            let zone = table.zone(&view.zone);
            let tracker = trackers.entry(view.id.clone()).or_default();
            let backend = tracker.apply_view(now, view, zone);
            if !accepts(view) {
                continue;
            }
            let sets = table.groups.entry(view.group.clone()).or_default();
            set_for(sets, view).backends.push(backend);
        }
        let listed: std::collections::HashSet<_> = views.iter().map(|view| &view.id).collect();
        trackers.retain(|id, tracker| listed.contains(id) || !tracker.is_idle());
        self.table.store(Arc::new(table));
    }

    /// Withholds new requests from a backend server until the next update.
    ///
    /// Called when the server reports that it is leaving, or has failed.
    pub fn suspend(&self, id: &InstanceId) {
        if let Some(tracker) = self.lock_trackers().get(id) {
            tracker.local_load.set_suspended(true);
        }
    }

    /// Applies a change of an engine's prefix cache, which serves as a hint only.
    pub fn on_cache_event(&self, id: &InstanceId, event: &CacheEvent) {
        self.affinity
            .on_event(wagtailarch_types::rendezvous_weight(0, id), event);
    }

    /// Selects a backend server, or returns `None` if none is suitable.
    pub fn select(&self, now: Duration, request: &SelectionRequest) -> Option<Selection> {
        let table = self.table.load();
        let zone = request.preferred_zone.as_ref().unwrap_or(&self.local_zone);
        let (in_zone, other_zones) = table.candidates(request, zone);
        if request.suspect {
            return select_for_suspect(now, in_zone, request)
                .or_else(|| select_for_suspect(now, other_zones, request));
        }
        let preference = match request.phase {
            Phase::Full | Phase::Prefill => self.affinity.preference(&request.prefix_hashes),
            Phase::Decode => None,
        };
        let best = self.select_candidate(now, &in_zone, preference.as_ref());
        let selected = match best {
            Some((candidate, score)) if score <= MAX_PREFERRED_ZONE_SCORE => Some(candidate),
            Some((candidate, score)) => match self.select_candidate(now, &other_zones, None) {
                Some((other, other_score)) if other_score + OTHER_ZONE_COST < score => Some(other),
                _ => Some(candidate),
            },
            None => self
                .select_candidate(now, &other_zones, preference.as_ref())
                .map(|(candidate, _)| candidate),
        };
        start_request(selected?.backend, request)
    }

    /// Returns whether a request should be split into prefill and decode on different engines.
    ///
    /// This is so if the zone of this instance has engines for both phases and a prefill engine is
    /// expected to finish the prefill no later than an engine that runs the whole generation.
    /// Otherwise one engine runs the whole generation, so that spare capacity of mixed and decode
    /// engines is used before any role changes.
    pub fn should_split(&self, request: &SelectionRequest) -> bool {
        let table = self.table.load();
        let candidates_for = |phase| {
            let request = SelectionRequest {
                phase,
                ..request.clone()
            };
            table.candidates(&request, &self.local_zone).0
        };
        let min_prefill_time_s = |candidates: Vec<Candidate>| {
            let times = candidates
                .iter()
                .map(|candidate| candidate.backend.prefill_time_s(request.prompt_tokens));
            times.fold(f64::INFINITY, f64::min)
        };
        let mut prefill = candidates_for(Phase::Prefill);
        prefill.retain(|candidate| candidate.role == Some(Role::Prefill));
        if prefill.is_empty() || candidates_for(Phase::Decode).is_empty() {
            return false;
        }
        min_prefill_time_s(prefill) <= min_prefill_time_s(candidates_for(Phase::Full))
    }

    /// Returns the number of this instance's requests in flight on a backend server.
    pub fn in_flight(&self, id: &InstanceId) -> u32 {
        self.lock_trackers()
            .get(id)
            .map_or(0, |tracker| tracker.local_load.in_flight())
    }

    /// Selects by prefix affinity, or else the less loaded of two random candidates.
    fn select_candidate<'a>(
        &self,
        now: Duration,
        candidates: &[Candidate<'a>],
        preference: Option<&Preference>,
    ) -> Option<(Candidate<'a>, f64)> {
        if candidates.is_empty() {
            return None;
        }
        if let Some(preference) = preference {
            let selected = select_by_affinity(now, candidates, preference);
            if selected.is_some() {
                return selected;
            }
        }
        let random = self.next_random();
        let count = candidates.len() as u64;
        let first = (random >> 32) % count;
        // The two candidates differ unless there is only one.
        let step = 1 + (random & 0xffff_ffff) % (count - 1).max(1);
        let scored = |index: u64| {
            let candidate = candidates[(index % count) as usize];
            (candidate, candidate.score(now))
        };
        let (a, b) = (scored(first), scored(first + step));
        Some(if b.1 < a.1 { b } else { a })
    }

    /// Returns the next number of a splitmix64 sequence.
    fn next_random(&self) -> u64 {
        let state = self
            .random
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        mix(state)
    }

    fn lock_trackers(&self) -> MutexGuard<'_, HashMap<InstanceId, BackendTracker>> {
        self.trackers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RoutingTable {
    /// Returns the index of a zone, adding the zone if it is new.
    fn zone(&mut self, zone: &ZoneName) -> usize {
        let position = self.zones.iter().position(|known| known == zone);
        position.unwrap_or_else(|| {
            self.zones.push(zone.clone());
            self.zones.len() - 1
        })
    }

    /// Returns the candidates in `zone` and those in other zones.
    fn candidates<'a>(
        &'a self,
        request: &SelectionRequest,
        zone: &ZoneName,
    ) -> (Vec<Candidate<'a>>, Vec<Candidate<'a>>) {
        let zone = self.zones.iter().position(|known| known == zone);
        let (mut in_zone, mut other_zones) = (Vec::new(), Vec::new());
        for set in self.groups.get(&request.group).into_iter().flatten() {
            if !set.can_serve(request) {
                continue;
            }
            let (role, role_cost) = (set.role(), set.role_cost(request.phase));
            in_zone.reserve(set.backends.len());
            for backend in &set.backends {
                if backend.local_load.is_suspended() || request.excluded.contains(&backend.id) {
                    continue;
                }
                let list = if Some(backend.zone_index) == zone {
                    &mut in_zone
                } else {
                    &mut other_zones
                };
                list.push(Candidate {
                    backend,
                    role,
                    role_cost,
                });
            }
        }
        (in_zone, other_zones)
    }
}

impl BackendSet {
    fn role(&self) -> Option<Role> {
        self.assignment.as_ref().map(|assignment| assignment.role)
    }

    fn can_serve(&self, request: &SelectionRequest) -> bool {
        if self.kind != request.kind {
            return false;
        }
        let Some(assignment) = &self.assignment else {
            return self.kind == BackendKind::Service;
        };
        let model = request.model.as_ref();
        let version = request.version.as_ref();
        let adapter = request.adapter.as_ref();
        assignment.role.serves(request.phase)
            && model.is_none_or(|model| *model == assignment.model)
            && version.is_none_or(|version| *version == assignment.version)
            && adapter.is_none_or(|adapter| assignment.adapters.contains(adapter))
    }

    fn role_cost(&self, phase: Phase) -> f64 {
        match (self.role(), phase) {
            (Some(Role::Decode), Phase::Full) => DECODE_PREFILL_COST,
            _ => 0.0,
        }
    }
}

impl Candidate<'_> {
    fn score(&self, now: Duration) -> f64 {
        self.backend.score(now) + self.role_cost
    }
}

/// Returns whether a backend server accepts new requests.
fn accepts(view: &BackendView) -> bool {
    let assigned = view.kind == BackendKind::Service || view.assignment.is_some();
    assigned && view.accepting && view.state == BackendState::Serving
}

/// Returns the set that contains a backend server, adding the set if it is new.
fn set_for<'a>(sets: &'a mut Vec<BackendSet>, view: &BackendView) -> &'a mut BackendSet {
    let position = sets
        .iter()
        .position(|set| set.kind == view.kind && set.assignment == view.assignment);
    let index = position.unwrap_or(sets.len());
    if index == sets.len() {
        sets.push(BackendSet {
            kind: view.kind,
            assignment: view.assignment.clone(),
            backends: Vec::new(),
        });
    }
    &mut sets[index]
}

/// Selects the candidate that most likely has the prefix cached, among those within the load bound.
///
/// Candidates that reported having the prefix rank before the others; within each of the two sets
/// the order is that of rendezvous hashing. When the first ones exceed the bound, the next ones
/// follow in this order, so that a popular prefix spreads over the same few backend servers.
fn select_by_affinity<'a>(
    now: Duration,
    candidates: &[Candidate<'a>],
    preference: &Preference,
) -> Option<(Candidate<'a>, f64)> {
    let step = candidates.len().div_ceil(MEAN_SAMPLE_SIZE);
    let sample = candidates.iter().step_by(step);
    let mean = sample
        .clone()
        .map(|candidate| candidate.score(now))
        .sum::<f64>()
        / sample.len() as f64;
    let mut best: Option<(Candidate<'a>, f64, (bool, u64))> = None;
    for &candidate in candidates {
        let rank = (
            preference.cached_by.contains(&candidate.backend.id_hash),
            mix(candidate.backend.id_hash ^ preference.prefix),
        );
        if best.as_ref().is_some_and(|(_, _, best)| *best >= rank) {
            continue;
        }
        let score = candidate.score(now);
        // One request above the mean is always allowed, since small counts vary by that much.
        if score > MAX_AFFINITY_LOAD_RATIO * mean + candidate.backend.unit_score() {
            continue;
        }
        best = Some((candidate, score, rank));
    }
    best.map(|(candidate, score, _)| (candidate, score))
}

/// Selects the least loaded candidate without another suspect.
fn select_for_suspect(
    now: Duration,
    mut candidates: Vec<Candidate<'_>>,
    request: &SelectionRequest,
) -> Option<Selection> {
    candidates.retain(|candidate| {
        !request
            .backends_with_suspects
            .contains(&candidate.backend.id)
    });
    candidates.sort_by(|a, b| a.score(now).total_cmp(&b.score(now)));
    candidates
        .iter()
        .find_map(|candidate| start_request(candidate.backend, request))
}

/// Counts the request on a backend server and returns the selection.
///
/// Returns `None` for a suspect if another suspect is in flight there.
fn start_request(backend: &BackendLoad, request: &SelectionRequest) -> Option<Selection> {
    if !backend
        .local_load
        .try_start(request.prompt_tokens, request.suspect)
    {
        return None;
    }
    let (id, zone, address) = (
        backend.id.clone(),
        backend.zone.clone(),
        backend.address.clone(),
    );
    Some(Selection::new(
        id,
        zone,
        address,
        Arc::clone(&backend.local_load),
        request,
    ))
}

/// Finalizer of splitmix64: every input bit affects all output bits.
fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
