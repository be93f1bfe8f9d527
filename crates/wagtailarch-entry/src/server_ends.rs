//! Watches servers with open responses that end with their connections, and decides whether such a
//! response was whole.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use slog::info;
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};
use wagtailarch_control::BackendStatus;
use wagtailarch_traffic::{
    BackendView, ConnectionEnd, Departure, EndVerdict, PortState, ServerLife,
};
use wagtailarch_types::InstanceId;

use crate::shared::Shared;

/// Interval between probes of a server that leaves.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which a server accepts or refuses a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a probe that was accepted is closed if its process has just ended.
const LISTENER_TIME: Duration = Duration::from_millis(30);
/// Interval between looks at an undecided end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Assumed time between two heartbeats by which the platform notices that a server is gone.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a server that is no longer listed is forgotten.
const DEPARTURE_TTL: Duration = Duration::from_secs(600);

/// Servers that leave or have left, and servers with open responses that end with their connections.
#[derive(Debug, Default)]
pub struct ServerEnds {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    departures: IndexMap<InstanceId, Departure>,
    watched: IndexMap<InstanceId, Watched>,
}

/// A server with open responses.
#[derive(Debug, Default)]
struct Watched {
    life: ServerLife,
    /// Number of responses that are open or whose end is undecided.
    responses: usize,
}

impl ServerEnds {
    /// Applies the state of all listed servers; `before` contains those that were listed before.
    pub fn on_statuses(
        &self,
        now: Duration,
        statuses: &[BackendStatus],
        before: &IndexMap<InstanceId, BackendView>,
    ) {
        let departures = &mut self.lock().departures;
        let is_kept = |at: Duration| now < at + DEPARTURE_TTL;
        departures.retain(|_, departure| departure.removed_at.is_none_or(is_kept));
        let mut remaining = 0;
        for status in statuses {
            remaining += usize::from(before.contains_key(&status.id));
            match status.leaving {
                true => {
                    let departure = departures.entry(status.id.clone());
                    departure.or_insert_with(|| Departure::new(now));
                }
                false => {
                    departures.swap_remove(&status.id);
                }
            }
        }
        if remaining == before.len() {
            return;
        }
        let listed: HashSet<_> = statuses.iter().map(|status| &status.id).collect();
        for id in before.keys().filter(|id| !listed.contains(id)) {
            let departure = departures.entry(id.clone());
            let departure = departure.or_insert_with(|| Departure::new(now));
            departure.removed_at.get_or_insert(now);
        }
    }

    /// Returns whether the end of a server that was noticed at `ended_at` had been announced.
    pub fn is_announced(&self, server: &InstanceId, ended_at: Duration) -> bool {
        let state = self.lock();
        let departure = state.departures.get(server);
        departure.is_some_and(|departure| departure.explains_end(ended_at))
    }

    /// Returns whether a response of a server was whole, as far as it is known.
    fn verdict(&self, now: Duration, server: &InstanceId, end: ConnectionEnd) -> EndVerdict {
        let state = self.lock();
        let departure = state.departures.get(server);
        state
            .watched
            .get(server)
            .map_or(EndVerdict::Broken, |watched| {
                let life = &watched.life;
                life.verdict(now, end, departure, HEARTBEAT_INTERVAL)
            })
    }

    /// Returns whether a server is known to leave; `None` if it has no open responses.
    fn watched_leaves(&self, server: &InstanceId) -> Option<bool> {
        let state = self.lock();
        let leaves = state.departures.contains_key(server);
        state.watched.contains_key(server).then_some(leaves)
    }

    /// Records the result of a probe of a server.
    fn on_probe(&self, now: Duration, server: &InstanceId, port: PortState) {
        if let Some(watched) = self.lock().watched.get_mut(server) {
            watched.life.on_probe(now, port);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A response that ends with its connection; its server is watched until it is dropped.
#[derive(Debug)]
pub struct WatchedResponse {
    shared: Arc<Shared>,
    server: InstanceId,
    address: SmolStr,
    has_ended: bool,
}

impl WatchedResponse {
    /// Watches the server of a response whose head has just arrived.
    pub fn new(shared: &Arc<Shared>, server: &InstanceId, address: &SmolStr) -> Self {
        let mut state = shared.server_ends.lock();
        let watched = state.watched.entry(server.clone()).or_default();
        watched.responses += 1;
        watched.life.on_opened();
        watched.life.on_heard(shared.now());
        if watched.responses == 1 {
            let (shared, server) = (Arc::clone(shared), server.clone());
            tokio::spawn(probe_while_leaving(shared, server, address.clone()));
        }
        Self {
            shared: Arc::clone(shared),
            server: server.clone(),
            address: address.clone(),
            has_ended: false,
        }
    }

    /// Records that data of the response arrived.
    pub fn on_heard(&self) {
        let now = self.shared.now();
        self.with_life(|life| life.on_heard(now));
    }

    /// Returns whether the response was whole when its connection ended.
    pub async fn was_whole(&mut self) -> bool {
        let ended_at = self.shared.now();
        let end = self.with_life(|life| life.on_ended(ended_at));
        self.has_ended = true;
        let Some(end) = end else {
            return false;
        };
        if probe(&self.address).await != PortState::Closed {
            return true;
        }
        let is_whole = self.outlives(end).await;
        info!(self.shared.log, "response_ended_by_closed_port"; "backend" => %self.server,
            "whole" => is_whole,
            "decided_ms" => (self.shared.now() - ended_at).as_millis() as u64);
        is_whole
    }

    /// Waits for evidence whether the process went on after it had ended a connection.
    async fn outlives(&self, end: ConnectionEnd) -> bool {
        loop {
            let ends = &self.shared.server_ends;
            match ends.verdict(self.shared.now(), &self.server, end) {
                EndVerdict::Whole => return true,
                EndVerdict::Broken => return false,
                EndVerdict::Undecided => sleep(POLL_INTERVAL).await,
            }
        }
    }

    fn with_life<T>(&self, operation: impl FnOnce(&mut ServerLife) -> T) -> Option<T> {
        let mut state = self.shared.server_ends.lock();
        let watched = state.watched.get_mut(&self.server)?;
        Some(operation(&mut watched.life))
    }
}

impl Drop for WatchedResponse {
    fn drop(&mut self) {
        let mut state = self.shared.server_ends.lock();
        let Some(watched) = state.watched.get_mut(&self.server) else {
            return;
        };
        if !self.has_ended {
            watched.life.on_given_up();
        }
        watched.responses -= 1;
        if watched.responses == 0 {
            state.watched.swap_remove(&self.server);
        }
    }
}

/// Probes a server while it leaves and has open responses.
async fn probe_while_leaving(shared: Arc<Shared>, server: InstanceId, address: SmolStr) {
    while let Some(leaves) = shared.server_ends.watched_leaves(&server) {
        if leaves {
            let port = match connect(&address).await {
                Ok(_) => PortState::Open,
                Err(port) => port,
            };
            shared.server_ends.on_probe(shared.now(), &server, port);
        }
        sleep(PROBE_INTERVAL).await;
    }
}

/// Connects to a server after a connection to it ended.
pub async fn probe(address: &str) -> PortState {
    match connect(address).await {
        Ok(stream) => {
            // A process that exits closes the connections of its requests before its listener, so
            // this connection may be accepted and reset immediately.
            let closed = timeout(LISTENER_TIME, stream.readable()).await;
            match closed {
                Ok(_) => PortState::Closed,
                Err(_) => PortState::Open,
            }
        }
        Err(port) => port,
    }
}

async fn connect(address: &str) -> Result<tokio::net::TcpStream, PortState> {
    let connected = timeout(PROBE_TIMEOUT, tokio::net::TcpStream::connect(address)).await;
    match connected {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(_)) => Err(PortState::Closed),
        Err(_) => Err(PortState::Unreachable),
    }
}
