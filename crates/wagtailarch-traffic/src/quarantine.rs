//! Quarantine of requests that crash backend servers.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wagtailarch_types::{Fingerprint, InstanceId};

/// Time after the last strike at which a suspicion or a quarantine expires.
const TTL: Duration = Duration::from_secs(600);
/// Time within which several reports of a crash of one backend server count as one crash.
///
/// A crash breaks several connections, and several instances report it within seconds. An engine
/// takes longer than this to restart, so the window hides no second crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of fingerprints kept; the oldest are evicted first.
const MAX_ENTRIES: usize = 65_536;

/// Fingerprints of requests that were in flight on backend servers when these crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: Mutex<Entries>,
}

/// Strikes by fingerprint, with the order in which they expire.
#[derive(Debug, Default)]
struct Entries {
    /// At most `MAX_ENTRIES` entries. Each is in `order` with its time.
    map: HashMap<Fingerprint, Entry>,
    /// Strikes, oldest first; at most `MAX_ENTRIES`. It may contain strikes that have been cleared
    /// or replaced by later ones, which are not in `map` with the same time.
    order: VecDeque<(Duration, Fingerprint)>,
}

/// The last strike of one fingerprint.
#[derive(Debug, Clone)]
struct Entry {
    kind: StrikeKind,
    /// Backend server whose crash caused the strike.
    server: InstanceId,
    /// Time of the strike.
    at: Duration,
}

/// State of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No strike counts against it.
    Clear,
    /// It was in flight during one crash; it must not share a backend server with another suspect.
    Suspect,
    /// It was in flight during two crashes; requests with it are refused.
    Quarantined,
}

/// A strike, which is sent to all peers of the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StrikeEvent {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Backend server that crashed.
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

    /// Returns the state of a fingerprint.
    pub fn check(&self, now: Duration, fingerprint: Fingerprint) -> Verdict {
        match self.lock().map.get(&fingerprint) {
            Some(entry) if !entry.is_expired(now) => entry.kind.verdict(),
            _ => Verdict::Clear,
        }
    }

    /// Returns the time of the last strike that counts against a fingerprint.
    pub fn last_strike(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        let entries = self.lock();
        let entry = entries.map.get(&fingerprint)?;
        (!entry.is_expired(now)).then_some(entry.at)
    }

    /// Adds a strike to each request that was in flight on the crashed `server`.
    ///
    /// Returns the new strikes, which the caller sends to all peers.
    pub fn on_crash(
        &self,
        now: Duration,
        server: &InstanceId,
        in_flight: &[Fingerprint],
    ) -> Vec<StrikeEvent> {
        let mut entries = self.lock();
        let mut events = Vec::new();
        for &fingerprint in in_flight {
            let Some(kind) = entries.add_strike(now, server, fingerprint) else {
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

    /// Clears a suspect whose request has completed; a quarantine stays.
    pub fn on_completed(&self, fingerprint: Fingerprint) {
        let mut entries = self.lock();
        let Some(entry) = entries.map.get(&fingerprint) else {
            return;
        };
        if entry.kind == StrikeKind::Suspected {
            entries.map.remove(&fingerprint);
        }
    }

    /// Applies a strike received from a peer.
    pub fn apply_remote(&self, now: Duration, event: StrikeEvent) {
        let mut entries = self.lock();
        match event.kind {
            StrikeKind::Suspected => {
                entries.add_strike(now, &event.server, event.fingerprint);
            }
            StrikeKind::Quarantined => {
                entries.insert(now, event.server, event.fingerprint, event.kind);
            }
        }
    }

    /// Returns at most `limit` fingerprints, the oldest strike first, with the state of each and
    /// the time until it expires.
    pub fn list(&self, now: Duration, limit: usize) -> Vec<(Fingerprint, Verdict, Duration)> {
        let entries = self.lock();
        let mut listed = Vec::new();
        for (at, fingerprint) in &entries.order {
            let Some(entry) = entries.map.get(fingerprint) else {
                continue;
            };
            if entry.at != *at || entry.is_expired(now) || listed.len() >= limit {
                continue;
            }
            let remaining = (entry.at + TTL).saturating_sub(now);
            listed.push((*fingerprint, entry.kind.verdict(), remaining));
        }
        listed
    }

    /// Returns the number of fingerprints kept, suspected or quarantined.
    pub fn len(&self) -> usize {
        self.lock().map.len()
    }

    /// Returns whether no fingerprint is kept.
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
    fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) >= TTL
    }

    fn is_same_crash(&self, now: Duration, server: &InstanceId) -> bool {
        self.server == *server && now.saturating_sub(self.at) < SAME_CRASH_WINDOW
    }
}

impl Entries {
    /// Adds a strike and returns its result, or `None` if it is not a new one.
    fn add_strike(
        &mut self,
        now: Duration,
        server: &InstanceId,
        fingerprint: Fingerprint,
    ) -> Option<StrikeKind> {
        let kind = match self.map.get(&fingerprint) {
            Some(entry) if entry.is_expired(now) => StrikeKind::Suspected,
            Some(entry) if entry.is_same_crash(now, server) => return None,
            Some(entry) if entry.kind == StrikeKind::Quarantined => return None,
            Some(_) => StrikeKind::Quarantined,
            None => StrikeKind::Suspected,
        };
        self.insert(now, server.clone(), fingerprint, kind);
        Some(kind)
    }

    /// Stores a strike as the newest one and removes expired strikes and those beyond the bound.
    fn insert(
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
