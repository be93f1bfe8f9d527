//! What the traffic thread tells the control thread.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, ServiceName};

/// Time after which a silent peer counts as gone; peers tell something every second.
const SILENT_AFTER: Duration = Duration::from_millis(3_500);

/// What the traffic thread tells the control thread.
#[derive(Debug, Default)]
pub struct TrafficView {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When each peer was last heard.
    heard: IndexMap<InstanceId, Duration>,
    /// Requests of all instances that generate, by service.
    running: IndexMap<ServiceName, u32>,
    /// When a request last arrived.
    last_request: Option<Duration>,
}

impl TrafficView {
    /// Notes that a peer was heard.
    pub fn on_heard(&self, now: Duration, peer: &InstanceId) {
        self.lock().heard.insert(peer.clone(), now);
    }

    /// Returns the peers that are heard at present.
    pub fn live_peers(&self, now: Duration) -> Vec<InstanceId> {
        let mut state = self.lock();
        state
            .heard
            .retain(|_, at| now.saturating_sub(*at) < SILENT_AFTER);
        state.heard.keys().cloned().collect()
    }

    /// Notes the requests that generate.
    pub fn set_running(&self, running: IndexMap<ServiceName, u32>) {
        self.lock().running = running;
    }

    /// Returns the requests of a service that generate.
    pub fn running(&self, service: &ServiceName) -> u32 {
        self.lock().running.get(service).copied().unwrap_or(0)
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
