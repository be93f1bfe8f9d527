//! Requests that crash backend servers.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wagtailarch_types::{Fingerprint, InstanceId};

/// Time for which a suspicion or a quarantine holds.
const TTL: Duration = Duration::from_secs(600);
/// Reports of a crash of one server within this time are taken for the same crash.
///
/// A crash breaks several connections and is reported by several instances within seconds, and
/// an engine takes longer than this to restart.
const SAME_CRASH: Duration = Duration::from_secs(5);
/// Greatest number of fingerprints kept; the oldest are forgotten first.
const MAX_ENTRIES: usize = 65_536;

/// Fingerprints of requests that were in flight on crashing backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: Mutex<Entries>,
}

/// Strikes by fingerprint, with the order in which they are forgotten.
#[derive(Debug, Default)]
struct Entries {
    /// At most `MAX_ENTRIES`, each of which is in `order` with its time.
    map: HashMap<Fingerprint, Entry>,
    /// Strikes, oldest first; at most `MAX_ENTRIES`. Those that a later strike has replaced, or
    /// that were cleared, are not in `map` with their time.
    order: VecDeque<(Duration, Fingerprint)>,
}

/// Strikes of one fingerprint.
#[derive(Debug, Clone)]
struct Entry {
    kind: StrikeKind,
    /// Server of the last strike.
    server: InstanceId,
    /// Time of the last strike.
    at: Duration,
}

/// What is known of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// It was in flight in one crash; it runs apart from other suspects.
    Suspect,
    /// It was in flight in two crashes; it is refused.
    Quarantined,
}

/// A strike, to be told to all peers of the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StrikeEvent {
    /// Request.
    pub fingerprint: Fingerprint,
    /// Server that crashed.
    pub server: InstanceId,
    /// Result of the strike.
    pub kind: StrikeKind,
}

/// Result of a strike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StrikeKind {
    /// First strike.
    Suspected,
    /// Second strike.
    Quarantined,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells what is known of a fingerprint.
    pub fn check(&self, now: Duration, fingerprint: Fingerprint) -> Verdict {
        match self.lock().map.get(&fingerprint) {
            Some(entry) if !entry.expired(now) => entry.kind.verdict(),
            _ => Verdict::Clear,
        }
    }

    /// Counts the crash of `server` against the requests in flight on it.
    ///
    /// Returns the strikes that are new, to be told to all peers.
    pub fn on_crash(
        &self,
        now: Duration,
        server: &InstanceId,
        in_flight: &[Fingerprint],
    ) -> Vec<StrikeEvent> {
        let mut entries = self.lock();
        let mut events = Vec::new();
        for &fingerprint in in_flight {
            let Some(kind) = entries.strike(now, server, fingerprint) else {
                continue;
            };
            events.push(StrikeEvent {
                fingerprint,
                server: server.clone(),
                kind,
            });
        }
        events
    }

    /// Clears a suspect whose request completed; a quarantine stays.
    pub fn on_completed(&self, fingerprint: Fingerprint) {
        let mut entries = self.lock();
        let Some(entry) = entries.map.get(&fingerprint) else {
            return;
        };
        if entry.kind == StrikeKind::Suspected {
            entries.map.remove(&fingerprint);
        }
    }

    /// Takes over a strike that a peer has told.
    pub fn apply_remote(&self, now: Duration, event: StrikeEvent) {
        let mut entries = self.lock();
        match event.kind {
            StrikeKind::Suspected => {
                entries.strike(now, &event.server, event.fingerprint);
            }
            StrikeKind::Quarantined => {
                entries.put(now, event.server, event.fingerprint, event.kind);
            }
        }
    }

    /// Returns at most `limit` fingerprints, the oldest first, with what is known of each and the
    /// time for which it holds.
    pub fn list(&self, now: Duration, limit: usize) -> Vec<(Fingerprint, Verdict, Duration)> {
        let entries = self.lock();
        let mut listed = Vec::new();
        for (at, fingerprint) in &entries.order {
            let Some(entry) = entries.map.get(fingerprint) else {
                continue;
            };
            if entry.at != *at || entry.expired(now) || listed.len() >= limit {
                continue;
            }
            let left = (entry.at + TTL).saturating_sub(now);
            listed.push((*fingerprint, entry.kind.verdict(), left));
        }
        listed
    }

    /// Returns the number of suspects and quarantined fingerprints kept.
    pub fn len(&self) -> usize {
        self.lock().map.len()
    }

    /// Tells whether nothing is suspected or quarantined.
    pub fn is_empty(&self) -> bool {
        self.lock().map.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StrikeKind {
    const fn verdict(self) -> Verdict {
        match self {
            Self::Suspected => Verdict::Suspect,
            Self::Quarantined => Verdict::Quarantined,
        }
    }
}

impl Entry {
    fn expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) >= TTL
    }

    fn same_crash(&self, now: Duration, server: &InstanceId) -> bool {
        self.server == *server && now.saturating_sub(self.at) < SAME_CRASH
    }
}

impl Entries {
    /// Adds a strike; returns its result if it is new.
    fn strike(
        &mut self,
        now: Duration,
        server: &InstanceId,
        fingerprint: Fingerprint,
    ) -> Option<StrikeKind> {
        let kind = match self.map.get(&fingerprint) {
            Some(entry) if entry.expired(now) => StrikeKind::Suspected,
            Some(entry) if entry.same_crash(now, server) => return None,
            Some(entry) if entry.kind == StrikeKind::Quarantined => return None,
            Some(_) => StrikeKind::Quarantined,
            None => StrikeKind::Suspected,
        };
        self.put(now, server.clone(), fingerprint, kind);
        Some(kind)
    }

    /// Stores a strike as the newest one and forgets expired ones and those beyond the bound.
    fn put(
        &mut self,
        at: Duration,
        server: InstanceId,
        fingerprint: Fingerprint,
        kind: StrikeKind,
    ) {
        self.map.insert(fingerprint, Entry { kind, server, at });
        self.order.push_back((at, fingerprint));
        while let Some(&(oldest, fingerprint)) = self.order.front() {
            let expired = at.saturating_sub(oldest) >= TTL;
            if !expired && self.order.len() <= MAX_ENTRIES {
                break;
            }
            self.order.pop_front();
            if self
                .map
                .get(&fingerprint)
                .is_some_and(|entry| entry.at == oldest)
            {
                self.map.remove(&fingerprint);
            }
        }
    }
}
