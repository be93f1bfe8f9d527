//! Choice of a backend server.

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
use crate::slot::{Known, Slot};
use crate::{BackendView, Selection, SelectionRequest};

/// Score in the own zone above which other zones are considered.
const SPILL_SCORE: f64 = 0.9;
/// Cost of the link to another zone, in units of the score.
const LINK_COST: f64 = 0.25;
/// Cost of running a whole generation on a decode engine, in units of the score: its running
/// streams stall while the prompt is processed.
const DECODE_PREFILL_COST: f64 = 0.5;
/// Load of the preferred backend server, in relation to the mean, above which affinity yields.
const AFFINITY_LOAD: f64 = 1.25;
/// Greatest number of candidates over which the mean load is taken; reading the load of 300
/// takes longer than the rest of the decision.
const MEAN_SAMPLE: usize = 32;

/// Chooses backend servers.
#[derive(Debug)]
pub struct Router {
    own_zone: ZoneName,
    random: AtomicU64,
    table: ArcSwap<Table>,
    /// What outlives an update, by backend server; bounded by the last update and the requests
    /// in flight.
    known: Mutex<HashMap<InstanceId, Known>>,
    affinity: Affinity,
}

/// Backend servers that accept requests.
#[derive(Debug, Default)]
struct Table {
    groups: HashMap<GroupName, Vec<Class>>,
    /// Zones of all backend servers; slots refer to them by index, since comparing names for each
    /// candidate took most of the time of a decision.
    zones: Vec<ZoneName>,
}

/// Backend servers of one group that serve the same.
#[derive(Debug)]
struct Class {
    kind: BackendKind,
    /// `None` for plain services.
    assignment: Option<Assignment>,
    slots: Vec<Slot>,
}

/// A backend server that suits a request.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    slot: &'a Slot,
    role: Option<Role>,
    /// Cost of serving this request's phase with its role, in units of the score.
    role_cost: f64,
}

impl Router {
    /// Creates a router without backend servers for an instance in `own_zone`.
    ///
    /// `seed` differs between instances, so that they choose differently from the same reports.
    pub fn new(own_zone: ZoneName, seed: u64) -> Self {
        Self {
            own_zone,
            random: AtomicU64::new(seed),
            table: ArcSwap::default(),
            known: Mutex::default(),
            affinity: Affinity::default(),
        }
    }

    /// Takes over what is known of all backend servers.
    pub fn update(&self, now: Duration, views: Vec<BackendView>) {
        let mut known = self.lock_known();
        let mut table = Table::default();
        for view in &views {
            let zone = table.zone(&view.zone);
            let known = known.entry(view.id.clone()).or_default();
            let slot = known.slot(now, view, zone);
            if !accepts(view) {
                continue;
            }
            let classes = table.groups.entry(view.group.clone()).or_default();
            class_of(classes, view).slots.push(slot);
        }
        let listed: std::collections::HashSet<_> = views.iter().map(|view| &view.id).collect();
        known.retain(|id, known| listed.contains(id) || !known.is_idle());
        self.table.store(Arc::new(table));
    }

    /// Sends nothing new to a backend server until the next update, after a sign of leaving.
    pub fn suspend(&self, id: &InstanceId) {
        if let Some(known) = self.lock_known().get(id) {
            known.counters.set_suspended(true);
        }
    }

    /// Takes over a change of an engine's prefix cache, as a hint.
    pub fn on_cache_event(&self, id: &InstanceId, event: &CacheEvent) {
        self.affinity
            .on_event(wagtailarch_types::rendezvous_weight(0, id), event);
    }

    /// Chooses a backend server, or none if none is suitable.
    pub fn select(&self, now: Duration, request: &SelectionRequest) -> Option<Selection> {
        let table = self.table.load();
        let zone = request.preferred_zone.as_ref().unwrap_or(&self.own_zone);
        let (near, far) = table.candidates(request, zone);
        if request.suspect {
            return pick_apart(now, near, request).or_else(|| pick_apart(now, far, request));
        }
        let preference = match request.phase {
            Phase::Full | Phase::Prefill => self.affinity.prefer(&request.prefix_hashes),
            Phase::Decode => None,
        };
        let best = self.choose(now, &near, preference.as_ref());
        let chosen = match best {
            Some((candidate, score)) if score <= SPILL_SCORE => Some(candidate),
            Some((candidate, score)) => match self.choose(now, &far, None) {
                Some((other, other_score)) if other_score + LINK_COST < score => Some(other),
                _ => Some(candidate),
            },
            None => self
                .choose(now, &far, preference.as_ref())
                .map(|(candidate, _)| candidate),
        };
        start(chosen?.slot, request)
    }

    /// Tells whether a request should be split into prefill and decode on different engines.
    ///
    /// It should if the zone has engines for both and a prefill engine is likely to process the
    /// prompt earlier than an engine that would run the whole generation. Otherwise the spare
    /// capacity of mixed and decode engines is used before any role is changed.
    pub fn should_split(&self, request: &SelectionRequest) -> bool {
        let table = self.table.load();
        let in_phase = |phase| {
            let request = SelectionRequest {
                phase,
                ..request.clone()
            };
            table.candidates(&request, &self.own_zone).0
        };
        let first = |candidates: Vec<Candidate>| {
            let times = candidates
                .iter()
                .map(|it| it.slot.prompt_time_s(request.prompt_tokens));
            times.fold(f64::INFINITY, f64::min)
        };
        let mut prefill = in_phase(Phase::Prefill);
        prefill.retain(|candidate| candidate.role == Some(Role::Prefill));
        if prefill.is_empty() || in_phase(Phase::Decode).is_empty() {
            return false;
        }
        first(prefill) <= first(in_phase(Phase::Full))
    }

    /// Returns the number of own requests in flight on a backend server.
    pub fn in_flight(&self, id: &InstanceId) -> u32 {
        self.lock_known()
            .get(id)
            .map_or(0, |known| known.counters.in_flight())
    }

    /// Chooses by affinity, or else the better one of two random candidates.
    fn choose<'a>(
        &self,
        now: Duration,
        candidates: &[Candidate<'a>],
        preference: Option<&Preference>,
    ) -> Option<(Candidate<'a>, f64)> {
        if candidates.is_empty() {
            return None;
        }
        if let Some(preference) = preference {
            let chosen = choose_by_affinity(now, candidates, preference);
            if chosen.is_some() {
                return chosen;
            }
        }
        let random = self.next_random();
        let count = candidates.len() as u64;
        let first = (random >> 32) % count;
        // The second choice differs from the first one unless there is only one candidate.
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

    fn lock_known(&self) -> MutexGuard<'_, HashMap<InstanceId, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    /// Returns the index of a zone, which is added if it is new.
    fn zone(&mut self, zone: &ZoneName) -> usize {
        let position = self.zones.iter().position(|known| known == zone);
        position.unwrap_or_else(|| {
            self.zones.push(zone.clone());
            self.zones.len() - 1
        })
    }

    /// Collects the candidates in `zone` and those in other zones.
    fn candidates<'a>(
        &'a self,
        request: &SelectionRequest,
        zone: &ZoneName,
    ) -> (Vec<Candidate<'a>>, Vec<Candidate<'a>>) {
        let zone = self.zones.iter().position(|known| known == zone);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for class in self.groups.get(&request.group).into_iter().flatten() {
            if !class.suits(request) {
                continue;
            }
            let (role, role_cost) = (class.role(), class.role_cost(request.phase));
            near.reserve(class.slots.len());
            for slot in &class.slots {
                if slot.counters.is_suspended() || request.excluded.contains(&slot.id) {
                    continue;
                }
                let list = if Some(slot.zone_index) == zone {
                    &mut near
                } else {
                    &mut far
                };
                list.push(Candidate {
                    slot,
                    role,
                    role_cost,
                });
            }
        }
        (near, far)
    }
}

impl Class {
    fn role(&self) -> Option<Role> {
        self.assignment.as_ref().map(|assignment| assignment.role)
    }

    fn suits(&self, request: &SelectionRequest) -> bool {
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
        self.slot.score(now) + self.role_cost
    }
}

/// Tells whether a backend server accepts new requests.
fn accepts(view: &BackendView) -> bool {
    let known = view.kind == BackendKind::Service || view.assignment.is_some();
    known && view.accepting && view.state == BackendState::Serving
}

fn class_of<'a>(classes: &'a mut Vec<Class>, view: &BackendView) -> &'a mut Class {
    let position = classes
        .iter()
        .position(|class| class.kind == view.kind && class.assignment == view.assignment);
    let index = position.unwrap_or(classes.len());
    if index == classes.len() {
        classes.push(Class {
            kind: view.kind,
            assignment: view.assignment.clone(),
            slots: Vec::new(),
        });
    }
    &mut classes[index]
}

/// Chooses the candidate that most likely holds the prefix, unless its load is above the bound.
///
/// Beyond the bound the next one in the order of rendezvous hashing follows, so that a prefix
/// in heavy use spreads over the same few backend servers.
fn choose_by_affinity<'a>(
    now: Duration,
    candidates: &[Candidate<'a>],
    preference: &Preference,
) -> Option<(Candidate<'a>, f64)> {
    let step = candidates.len().div_ceil(MEAN_SAMPLE);
    let sample = candidates.iter().step_by(step);
    let mean = sample.clone().map(|it| it.score(now)).sum::<f64>() / sample.len() as f64;
    let mut best: Option<(Candidate<'a>, f64, (bool, u64))> = None;
    for &candidate in candidates {
        let rank = (
            preference.holders.contains(&candidate.slot.id_hash),
            mix(candidate.slot.id_hash ^ preference.prefix),
        );
        if best.as_ref().is_some_and(|(_, _, best)| *best >= rank) {
            continue;
        }
        let score = candidate.score(now);
        // One request more than the mean is always allowed; small counts vary by that much.
        if score > AFFINITY_LOAD * mean + candidate.slot.unit_score() {
            continue;
        }
        best = Some((candidate, score, rank));
    }
    best.map(|(candidate, score, _)| (candidate, score))
}

/// Places a suspect on the least loaded candidate without another suspect.
fn pick_apart(
    now: Duration,
    mut candidates: Vec<Candidate<'_>>,
    request: &SelectionRequest,
) -> Option<Selection> {
    candidates.retain(|candidate| !request.backends_with_suspects.contains(&candidate.slot.id));
    candidates.sort_by(|a, b| a.score(now).total_cmp(&b.score(now)));
    candidates
        .iter()
        .find_map(|candidate| start(candidate.slot, request))
}

fn start(slot: &Slot, request: &SelectionRequest) -> Option<Selection> {
    if !slot.counters.start(request.prompt_tokens, request.suspect) {
        return None;
    }
    let (id, zone, address) = (slot.id.clone(), slot.zone.clone(), slot.address.clone());
    Some(Selection::new(
        id,
        zone,
        address,
        Arc::clone(&slot.counters),
        request,
    ))
}

/// Finalizer of splitmix64: spreads every bit of the input over the output.
fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
