//! Choice of a backend server.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use smol_str::SmolStr;
use wagtailarch_types::{
    AdapterName, BackendKind, BackendState, GroupName, InstanceId, ModelName, Phase, VersionName,
    ZoneName,
};
use wagtailarch_wire::engine::CacheEvent;

use crate::BackendView;

/// Size in bytes of a block of the prompt.
const BLOCK_BYTES: usize = 256;
/// Numbers of blocks whose hashes decide on prefix affinity.
const PREFIX_BLOCKS: [usize; 3] = [1, 4, 16];

/// Chooses backend servers.
#[derive(Debug)]
pub struct Router {
    own_zone: ZoneName,
    random: AtomicU64,
    table: ArcSwap<Vec<Slot>>,
    counters: Mutex<HashMap<InstanceId, Arc<Counters>>>,
}

/// What is needed of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct PickRequest {
    /// Group that serves the request.
    pub group: GroupName,
    /// Engine or plain service.
    pub kind: BackendKind,
    /// Part of the generation; ignored for plain services.
    pub phase: Phase,
    /// Model that must be loaded.
    pub model: Option<ModelName>,
    /// Version that must be loaded; any if `None`.
    pub version: Option<VersionName>,
    /// Adapter that must be loaded.
    pub adapter: Option<AdapterName>,
    /// Hashes of the prompt's prefixes, shortest first, as `prefix_hashes` returns them.
    pub prefix_hashes: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Zone to prefer instead of the own one: that of the prefill, for the decode.
    pub near: Option<ZoneName>,
    /// Backend servers that have failed this request or must not be used.
    pub excluded: Vec<InstanceId>,
    /// Whether the request is a suspect, which runs apart from other suspects.
    pub suspect: bool,
    /// For a suspect: backend servers on which suspects of other instances may run.
    pub apart_from: Vec<InstanceId>,
}

/// A chosen backend server; counts as one request in flight on it until dropped.
#[derive(Debug)]
pub struct Pick {
    /// Name of the backend server.
    pub id: InstanceId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address (`ip:port`).
    pub address: SmolStr,
    counters: Arc<Counters>,
}

#[derive(Debug)]
struct Slot {
    view: BackendView,
    counters: Arc<Counters>,
}

#[derive(Debug, Default)]
struct Counters {
    in_flight: AtomicU32,
}

impl Router {
    /// Creates a router without backend servers for an instance in `own_zone`.
    pub fn new(own_zone: ZoneName, seed: u64) -> Self {
        Self {
            own_zone,
            random: AtomicU64::new(seed),
            table: ArcSwap::default(),
            counters: Mutex::default(),
        }
    }

    /// Takes over what is known of all backend servers.
    pub fn update(&self, _now: Duration, views: Vec<BackendView>) {
        let mut counters = self
            .counters
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        let slots = views
            .into_iter()
            .map(|view| Slot {
                counters: Arc::clone(counters.entry(view.id.clone()).or_default()),
                view,
            })
            .collect();
        self.table.store(Arc::new(slots));
    }

    /// Sends nothing new to a backend server until the next update, after a sign of leaving.
    pub fn suspend(&self, _id: &InstanceId) {}

    /// Takes over a change of an engine's prefix cache, as a hint.
    pub fn on_cache_event(&self, _id: &InstanceId, _event: &CacheEvent) {}

    /// Chooses a backend server, or none if none is suitable.
    pub fn pick(&self, _now: Duration, request: &PickRequest) -> Option<Pick> {
        self.random.fetch_add(1, Ordering::Relaxed);
        let table = self.table.load();
        let slot = table
            .iter()
            .filter(|slot| suits(&slot.view, request))
            .min_by_key(|slot| {
                let far = slot.view.zone != self.own_zone;
                (far, slot.counters.in_flight.load(Ordering::Relaxed))
            })?;
        slot.counters.in_flight.fetch_add(1, Ordering::Relaxed);
        Some(Pick {
            id: slot.view.id.clone(),
            zone: slot.view.zone.clone(),
            address: slot.view.address.clone(),
            counters: Arc::clone(&slot.counters),
        })
    }

    /// Returns the number of own requests in flight on a backend server.
    pub fn in_flight(&self, id: &InstanceId) -> u32 {
        let counters = self
            .counters
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        counters
            .get(id)
            .map_or(0, |counters| counters.in_flight.load(Ordering::Relaxed))
    }
}

impl Pick {
    /// Notes that the prompt has been processed.
    pub fn prompt_done(&mut self) {}
}

impl Drop for Pick {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Computes the hashes of the first 1, 4 and 16 blocks of a prompt, as far as it has them.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    PREFIX_BLOCKS
        .iter()
        .filter_map(|blocks| bytes.get(..blocks * BLOCK_BYTES))
        .map(xxhash_rust::xxh3::xxh3_64)
        .collect()
}

fn suits(view: &BackendView, request: &PickRequest) -> bool {
    let assigned = match (&view.assignment, request.kind) {
        (_, BackendKind::Service) => true,
        (None, BackendKind::Engine) => false,
        (Some(assignment), BackendKind::Engine) => {
            assignment.role.serves(request.phase)
                && request
                    .model
                    .as_ref()
                    .is_none_or(|model| *model == assignment.model)
                && request
                    .version
                    .as_ref()
                    .is_none_or(|version| *version == assignment.version)
                && request
                    .adapter
                    .as_ref()
                    .is_none_or(|adapter| assignment.adapters.contains(adapter))
        }
    };
    assigned
        && view.accepting
        && view.state == BackendState::Serving
        && view.kind == request.kind
        && view.group == request.group
        && !request.excluded.contains(&view.id)
        && !(request.suspect && request.apart_from.contains(&view.id))
}
