//! State that the traffic thread reports to the control thread.

use std::{
    collections::HashSet,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use tokio::sync::{Notify, watch};
use wagtailarch_dispatch::{EngineUse, RoleDemand, ServerProcess};
use wagtailarch_types::{InstanceId, ServiceName, ZoneName};
use wagtailarch_wire::load_note::{LoadNote, StoreVersions};

use crate::outbox::NOTE_INTERVAL;

/// Number of missing load notes in a row after which a peer is no longer live.
const MISSED_NOTES: f64 = 3.5;

/// State that the traffic thread reports to the control thread.
#[derive(Debug, Default)]
pub struct TrafficView {
    state: Mutex<State>,
    /// Newest store versions that any peer has reported.
    peer_versions: watch::Sender<StoreVersions>,
    /// Notified when the software versions recorded in the store are needed.
    version_record_request: Notify,
    /// Notified when a response states that its server leaves.
    leaving_stated: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Zone of each peer and when its last load note arrived.
    last_notes: IndexMap<InstanceId, (ZoneName, Duration)>,
    /// Demand for engines by service.
    demand: IndexMap<ServiceName, RoleDemand>,
    /// Use of the engines by service.
    engine_use: IndexMap<ServiceName, EngineUse>,
    /// Servers that name a rate limit.
    limited_servers: HashSet<InstanceId>,
    /// When the last request arrived.
    last_request: Option<Duration>,
    /// Servers that have stated that they leave, not taken by the control thread yet.
    leaving: Vec<ServerProcess>,
}

impl TrafficView {
    /// Records the state that a peer reports about itself.
    pub fn on_note(&self, now: Duration, note: &LoadNote) {
        let last_note = (note.zone.clone(), now);
        self.lock()
            .last_notes
            .insert(note.sender.clone(), last_note);
        self.peer_versions.send_if_modified(|versions| {
            let before = *versions;
            versions.routing = versions.routing.max(note.store_versions.routing);
            versions.servers = versions.servers.max(note.store_versions.servers);
            *versions != before
        });
    }

    /// Returns the live peers with their zones.
    pub fn live_peers(&self, now: Duration) -> Vec<(InstanceId, ZoneName)> {
        let mut state = self.lock();
        let limit = NOTE_INTERVAL.mul_f64(MISSED_NOTES);
        state
            .last_notes
            .retain(|_, (_, at)| now.saturating_sub(*at) < limit);
        let live = state.last_notes.iter();
        live.map(|(name, (zone, _))| (name.clone(), zone.clone()))
            .collect()
    }

    /// Returns a receiver of the newest store versions that peers have reported.
    pub fn peer_versions(&self) -> watch::Receiver<StoreVersions> {
        self.peer_versions.subscribe()
    }

    /// Requests the software versions recorded in the store for the next snapshot.
    pub fn request_version_record(&self) {
        self.version_record_request.notify_one();
    }

    /// Waits until the software versions recorded in the store are requested.
    pub async fn version_record_requested(&self) {
        self.version_record_request.notified().await;
    }

    /// Replaces the demand for engines.
    pub fn set_demand(&self, demand: IndexMap<ServiceName, RoleDemand>) {
        self.lock().demand = demand;
    }

    /// Returns the demand for the engines of a service.
    pub fn demand(&self, service: &ServiceName) -> RoleDemand {
        self.lock().demand.get(service).copied().unwrap_or_default()
    }

    /// Replaces the use of the engines.
    pub fn set_engine_use(&self, engine_use: IndexMap<ServiceName, EngineUse>) {
        self.lock().engine_use = engine_use;
    }

    /// Returns the use of the engines of a service; `None` if none is listed.
    pub fn engine_use(&self, service: &ServiceName) -> Option<EngineUse> {
        self.lock().engine_use.get(service).copied()
    }

    /// Replaces the servers that name a rate limit.
    pub fn set_limited_servers(&self, servers: HashSet<InstanceId>) {
        self.lock().limited_servers = servers;
    }

    /// Returns whether a server names a rate limit.
    pub fn is_limited(&self, server: &InstanceId) -> bool {
        self.lock().limited_servers.contains(server)
    }

    /// Records that a response of a server states that it leaves.
    pub fn on_stated_leaving(&self, process: ServerProcess) {
        self.lock().leaving.push(process);
        self.leaving_stated.notify_one();
    }

    /// Waits for servers that have stated that they leave, and takes them.
    pub async fn take_leaving(&self) -> Vec<ServerProcess> {
        self.leaving_stated.notified().await;
        std::mem::take(&mut self.lock().leaving)
    }

    /// Records the arrival of a request.
    pub fn on_request(&self, now: Duration) {
        self.lock().last_request = Some(now);
    }

    /// Returns when the last request arrived.
    pub fn last_request(&self) -> Option<Duration> {
        self.lock().last_request
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
