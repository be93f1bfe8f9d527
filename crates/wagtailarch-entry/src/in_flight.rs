//! The requests in flight on each backend server, which get strikes after a crash of the server.

use std::{
    cmp::Reverse,
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use wagtailarch_types::{Fingerprint, InstanceId};

/// Time for which a request whose connection was lost still counts as in flight on its server.
///
/// The requests on a crashed server detect the crash one after the other.
const DISCONNECTED_RETENTION: Duration = Duration::from_secs(5);

/// Maximum number of disconnected requests that are stored for one server.
const MAX_DISCONNECTED: usize = 1_024;

/// Requests in flight by backend server.
///
/// Its size is bounded by the number of requests that may run, plus `MAX_DISCONNECTED` for each
/// server.
#[derive(Debug, Default)]
pub struct InFlight {
    servers: Mutex<HashMap<InstanceId, ServerRequests>>,
}

#[derive(Debug, Default)]
struct ServerRequests {
    running: HashMap<u64, Run>,
    next_ticket: u64,
    /// Requests whose connection was lost, and when, the oldest first.
    disconnected: Vec<(Duration, Run)>,
}

/// A run of a request on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// When the run began.
    pub began_at: Duration,
}

impl InFlight {
    /// Counts a request as in flight on a server until the guard is dropped.
    pub fn track(self: &Arc<Self>, server: &InstanceId, run: Run) -> InFlightGuard {
        let mut servers = self.lock();
        let server_requests = servers.entry(server.clone()).or_default();
        let ticket = server_requests.next_ticket;
        server_requests.next_ticket += 1;
        server_requests.running.insert(ticket, run);
        InFlightGuard {
            in_flight: Arc::clone(self),
            server: server.clone(),
            ticket,
        }
    }

    /// Returns the requests that a crash of `server` affects, each of them once, with its last run.
    ///
    /// Disconnected requests are removed, so that the next call does not return them again.
    pub fn take_affected(&self, now: Duration, server: &InstanceId) -> Vec<Run> {
        let mut servers = self.lock();
        let Some(server_requests) = servers.get_mut(server) else {
            return Vec::new();
        };
        let recent = |at: Duration| now.saturating_sub(at) < DISCONNECTED_RETENTION;
        let mut affected: Vec<_> = server_requests
            .disconnected
            .drain(..)
            .filter(|&(at, _)| recent(at))
            .map(|(_, run)| run)
            .collect();
        affected.extend(server_requests.running.values());
        affected.sort_unstable_by_key(|run| Reverse(*run));
        affected.dedup_by_key(|run| run.fingerprint);
        affected
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, ServerRequests>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in flight on one server.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<InFlight>,
    server: InstanceId,
    ticket: u64,
}

impl InFlightGuard {
    /// Marks the request as disconnected after its connection was lost.
    pub fn on_connection_lost(self, now: Duration) {
        let mut servers = self.in_flight.lock();
        // Removes all servers without current entries, so that removed servers use no memory.
        servers.retain(|_, server| {
            let recent = |&(at, _): &(Duration, _)| now.saturating_sub(at) < DISCONNECTED_RETENTION;
            !server.running.is_empty() || server.disconnected.last().is_some_and(recent)
        });
        let Some(server_requests) = servers.get_mut(&self.server) else {
            return;
        };
        let Some(run) = server_requests.running.remove(&self.ticket) else {
            return;
        };
        server_requests
            .disconnected
            .retain(|&(at, _)| now.saturating_sub(at) < DISCONNECTED_RETENTION);
        if server_requests.disconnected.len() < MAX_DISCONNECTED {
            server_requests.disconnected.push((now, run));
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut servers = self.in_flight.lock();
        let Some(server_requests) = servers.get_mut(&self.server) else {
            return;
        };
        server_requests.running.remove(&self.ticket);
        if server_requests.running.is_empty() && server_requests.disconnected.is_empty() {
            servers.remove(&self.server);
        }
    }
}
