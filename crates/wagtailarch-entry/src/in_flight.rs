//! Which requests run on which backend server, for strikes after a crash.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use wagtailarch_types::{Fingerprint, InstanceId};

/// Time for which a broken request counts as in flight on its server.
///
/// Several requests notice the same crash one after the other.
const BROKEN_FOR: Duration = Duration::from_secs(5);

/// Greatest number of broken requests remembered for one server.
const MAX_BROKEN: usize = 1_024;

/// Requests in flight by backend server.
///
/// Its size is bounded by the requests that may run, and `MAX_BROKEN` for each server.
#[derive(Debug, Default)]
pub struct InFlight {
    servers: Mutex<HashMap<InstanceId, Server>>,
}

#[derive(Debug, Default)]
struct Server {
    running: HashMap<u64, Fingerprint>,
    next_ticket: u64,
    /// Broken requests, the oldest first.
    broken: Vec<(Duration, Fingerprint)>,
}

impl InFlight {
    /// Notes that a request is sent to a server, until the guard is dropped.
    pub fn track(self: &Arc<Self>, server: &InstanceId, request: Fingerprint) -> InFlightGuard {
        let mut servers = self.lock();
        let entry = servers.entry(server.clone()).or_default();
        let ticket = entry.next_ticket;
        entry.next_ticket += 1;
        entry.running.insert(ticket, request);
        InFlightGuard {
            all: Arc::clone(self),
            server: server.clone(),
            ticket,
        }
    }

    /// Takes the requests that a crash of `server` hit, each once.
    pub fn take_affected(&self, now: Duration, server: &InstanceId) -> Vec<Fingerprint> {
        let mut servers = self.lock();
        let Some(entry) = servers.get_mut(server) else {
            return Vec::new();
        };
        let recent = |at: Duration| now.saturating_sub(at) < BROKEN_FOR;
        let mut hit: Vec<_> = entry
            .broken
            .drain(..)
            .filter(|&(at, _)| recent(at))
            .map(|(_, f)| f)
            .collect();
        hit.extend(entry.running.values());
        hit.sort_unstable();
        hit.dedup();
        hit
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in flight on one server.
#[derive(Debug)]
pub struct InFlightGuard {
    all: Arc<InFlight>,
    server: InstanceId,
    ticket: u64,
}

impl InFlightGuard {
    /// Notes that the connection of the request broke.
    pub fn on_connection_lost(self, now: Duration) {
        let mut servers = self.all.lock();
        // Servers that are gone for good leave nothing behind.
        servers.retain(|_, server| {
            let recent = |&(at, _): &(Duration, _)| now.saturating_sub(at) < BROKEN_FOR;
            !server.running.is_empty() || server.broken.last().is_some_and(recent)
        });
        let Some(entry) = servers.get_mut(&self.server) else {
            return;
        };
        let Some(request) = entry.running.remove(&self.ticket) else {
            return;
        };
        entry
            .broken
            .retain(|&(at, _)| now.saturating_sub(at) < BROKEN_FOR);
        if entry.broken.len() < MAX_BROKEN {
            entry.broken.push((now, request));
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut servers = self.all.lock();
        let Some(entry) = servers.get_mut(&self.server) else {
            return;
        };
        entry.running.remove(&self.ticket);
        if entry.running.is_empty() && entry.broken.is_empty() {
            servers.remove(&self.server);
        }
    }
}
