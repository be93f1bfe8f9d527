//! What the traffic thread tells the control thread.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use tokio::sync::watch;
use wagtailarch_dispatch::RoleDemand;
use wagtailarch_types::{InstanceId, ServiceName, ZoneName};
use wagtailarch_wire::load_note::{LoadNote, StoreVersions};

use crate::outbox::REPEAT;

/// Notes in a row after whose absence a silent peer counts as gone.
const MISSED_NOTES: f64 = 3.5;

/// What the traffic thread tells the control thread.
#[derive(Debug, Default)]
pub struct TrafficView {
    state: Mutex<State>,
    /// Newest news from the store that any peer has told.
    news: watch::Sender<StoreVersions>,
}

#[derive(Debug, Default)]
struct State {
    /// Zone of each peer and when it was last heard.
    heard: IndexMap<InstanceId, (ZoneName, Duration)>,
    /// What is asked of the engines, by service.
    demand: IndexMap<ServiceName, RoleDemand>,
    /// When a request last arrived.
    last_request: Option<Duration>,
}

impl TrafficView {
    /// Takes over what a peer tells of itself.
    pub fn on_note(&self, now: Duration, note: &LoadNote) {
        let heard = (note.zone.clone(), now);
        self.lock().heard.insert(note.sender.clone(), heard);
        self.news.send_if_modified(|news| {
            let before = *news;
            news.routing = news.routing.max(note.store_versions.routing);
            news.servers = news.servers.max(note.store_versions.servers);
            *news != before
        });
    }

    /// Returns the peers that this instance hears at present, with their zones.
    pub fn live_peers(&self, now: Duration) -> Vec<(InstanceId, ZoneName)> {
        let mut state = self.lock();
        let limit = REPEAT.mul_f64(MISSED_NOTES);
        state
            .heard
            .retain(|_, (_, at)| now.saturating_sub(*at) < limit);
        let heard = state.heard.iter();
        heard
            .map(|(name, (zone, _))| (name.clone(), zone.clone()))
            .collect()
    }

    /// Returns the newest news from the store that peers have told.
    pub fn news(&self) -> watch::Receiver<StoreVersions> {
        self.news.subscribe()
    }

    /// Notes what is asked of the engines.
    pub fn set_demand(&self, demand: IndexMap<ServiceName, RoleDemand>) {
        self.lock().demand = demand;
    }

    /// Returns what is asked of the engines of a service.
    pub fn demand(&self, service: &ServiceName) -> RoleDemand {
        self.lock().demand.get(service).copied().unwrap_or_default()
    }

    /// Notes that a request arrived.
    pub fn on_request(&self, now: Duration) {
        self.lock().last_request = Some(now);
    }

    /// Returns when a request last arrived.
    pub fn last_request(&self) -> Option<Duration> {
        self.lock().last_request
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
