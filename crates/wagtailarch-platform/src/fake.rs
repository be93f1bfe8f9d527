//! In-memory platform with injected faults.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::Instant;
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::platform::{
    InstanceList, ListedInstance, WatchEvent, WatchEventKind, WatchResponse,
};

use crate::http::check_size;
use crate::{
    ListPage, ListedObject, Platform, PlatformError, PlatformFuture, PlatformResult, Precondition,
    Versioned,
};

/// Number of changes that are kept for watches; a watch that starts before them is expired.
const EVENT_LOG_LEN: usize = 10_000;
/// Number of former states that are kept of each object for stale reads.
const HISTORY_LEN: usize = 4;
/// Number of lists of instances that are kept for stale reads.
const INSTANCE_HISTORY_LEN: usize = 4;
/// Maximum number of pending late writes; further writes take effect immediately.
const LATE_WRITES_LEN: usize = 64;

/// In-memory platform with injected faults.
///
/// Conditional writes are atomic regardless of the faults. The same seed and the same order of
/// calls result in the same faults.
#[derive(Debug)]
pub struct FakePlatform {
    store: Mutex<Store>,
    revision: watch::Sender<ObjectVersion>,
}

/// Faults of a [`FakePlatform`]. The ratios are probabilities per call, from 0 to 1.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FakeFaults {
    /// Calls that fail as in an outage.
    pub unavailable_ratio: f64,
    /// Writes that take effect and whose response is lost.
    pub lost_response_ratio: f64,
    /// Writes whose response is lost and that never take effect.
    pub lost_write_ratio: f64,
    /// Writes whose response is lost and that take effect during a later call.
    pub late_write_ratio: f64,
    /// Reads of an object that return a former state.
    pub stale_get_ratio: f64,
    /// Reads of the list of instances that return a former list.
    pub stale_instances_ratio: f64,
    /// Watches that fail as expired.
    pub expired_watch_ratio: f64,
    /// Maximum delay of a call; the delays are uniformly distributed from zero to this value.
    pub max_delay: Duration,
}

#[derive(Debug)]
struct Store {
    rng: ChaCha8Rng,
    faults: FakeFaults,
    outage: bool,
    revision: ObjectVersion,
    objects: BTreeMap<String, Versioned>,
    /// Former states by key, oldest first; at most `HISTORY_LEN` for each.
    history: BTreeMap<String, VecDeque<Option<Versioned>>>,
    /// Changes in the order of their versions; at most `EVENT_LOG_LEN`.
    events: VecDeque<WatchEvent>,
    /// Version of the last change that was removed from `events`.
    expired_version: ObjectVersion,
    /// Writes that take effect during a later call; at most `LATE_WRITES_LEN`.
    late_writes: VecDeque<Write>,
    /// Lists of instances, oldest first; at least one and at most `INSTANCE_HISTORY_LEN`.
    instances: VecDeque<InstanceList>,
    calls: u64,
}

#[derive(Debug, Clone)]
struct Write {
    key: String,
    /// `None` deletes the object.
    value: Option<Bytes>,
    precondition: Precondition,
}

impl FakePlatform {
    /// Creates an empty platform.
    pub fn new(seed: u64, faults: FakeFaults) -> Self {
        let store = Store {
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            outage: false,
            revision: 0,
            objects: BTreeMap::new(),
            history: BTreeMap::new(),
            events: VecDeque::new(),
            expired_version: 0,
            late_writes: VecDeque::new(),
            instances: VecDeque::from([InstanceList::default()]),
            calls: 0,
        };
        Self {
            store: Mutex::new(store),
            revision: watch::Sender::new(0),
        }
    }

    /// Sets the faults of further calls.
    pub fn set_faults(&self, faults: FakeFaults) {
        self.lock().faults = faults;
    }

    /// Starts or ends an outage, during which all calls fail with `Unavailable`.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, items: Vec<ListedInstance>) {
        let mut store = self.lock();
        let revision = store.instances.back().map_or(0, |list| list.revision) + 1;
        store.instances.push_back(InstanceList { revision, items });
        if store.instances.len() > INSTANCE_HISTORY_LEN {
            store.instances.pop_front();
        }
    }

    /// Applies all pending late writes.
    pub fn apply_late_writes(&self) {
        let mut store = self.lock();
        while let Some(write) = store.late_writes.pop_front() {
            let _ = store.write(write);
        }
        self.revision.send_replace(store.revision);
    }

    /// Reads the current state of an object, without faults.
    pub fn peek(&self, key: &str) -> Option<Versioned> {
        self.lock().objects.get(key).cloned()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts and delays a call, applies a late write and injects outages.
    async fn begin_call(&self) -> PlatformResult<()> {
        let delay = {
            let mut store = self.lock();
            store.calls += 1;
            let delay = store.random_delay();
            store.apply_late_write();
            self.revision.send_replace(store.revision);
            delay
        };
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        } else {
            // Yields to other tasks, so that concurrent calls interleave.
            tokio::task::yield_now().await;
        }
        let mut store = self.lock();
        let ratio = store.faults.unavailable_ratio;
        if store.outage || store.should_inject(ratio) {
            return Err(PlatformError::Unavailable("simulated outage".into()));
        }
        Ok(())
    }

    async fn submit(&self, write: Write) -> PlatformResult<ObjectVersion> {
        self.begin_call().await?;
        let mut store = self.lock();
        let result = store.submit(write);
        self.revision.send_replace(store.revision);
        result
    }

    async fn wait_for_events(
        &self,
        prefix: &str,
        since: ObjectVersion,
        wait: Duration,
    ) -> PlatformResult<WatchResponse> {
        self.begin_call().await?;
        {
            let mut store = self.lock();
            let ratio = store.faults.expired_watch_ratio;
            if store.should_inject(ratio) {
                return Err(PlatformError::Expired);
            }
        }
        let deadline = Instant::now() + wait;
        let mut revision = self.revision.subscribe();
        loop {
            revision.mark_unchanged();
            let response = self.lock().events_after(prefix, since)?;
            if !response.events.is_empty() {
                return Ok(response);
            }
            if tokio::time::timeout_at(deadline, revision.changed())
                .await
                .is_err()
            {
                return Ok(response);
            }
        }
    }
}

impl Platform for FakePlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Versioned>> {
        Box::pin(async move {
            self.begin_call().await?;
            Ok(self.lock().read(key))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        precondition: Precondition,
    ) -> PlatformFuture<'a, ObjectVersion> {
        Box::pin(async move {
            check_size(&value)?;
            self.submit(Write {
                key: key.into(),
                value: Some(value),
                precondition,
            })
            .await
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        version: Option<ObjectVersion>,
    ) -> PlatformFuture<'a, ()> {
        let precondition = version.map_or(Precondition::Any, Precondition::Version);
        Box::pin(async move {
            self.submit(Write {
                key: key.into(),
                value: None,
                precondition,
            })
            .await
            .map(|_| ())
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> PlatformFuture<'a, ListPage> {
        Box::pin(async move {
            self.begin_call().await?;
            Ok(self.lock().list(prefix, after, limit))
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: ObjectVersion,
        wait: Duration,
    ) -> PlatformFuture<'a, WatchResponse> {
        Box::pin(self.wait_for_events(prefix, since, wait))
    }

    fn instances(&self) -> PlatformFuture<'_, InstanceList> {
        Box::pin(async move {
            self.begin_call().await?;
            Ok(self.lock().instance_list())
        })
    }
}

impl Store {
    fn should_inject(&mut self, ratio: f64) -> bool {
        ratio > 0.0 && self.rng.random_bool(ratio.min(1.0))
    }

    fn random_delay(&mut self) -> Duration {
        let max_delay = self.faults.max_delay;
        if max_delay.is_zero() {
            return Duration::ZERO;
        }
        max_delay.mul_f64(self.rng.random::<f64>())
    }

    /// Applies the oldest late write with a probability of one half.
    fn apply_late_write(&mut self) {
        if self.late_writes.is_empty() || !self.should_inject(0.5) {
            return;
        }
        if let Some(write) = self.late_writes.pop_front() {
            // The caller of a late write no longer waits for its outcome.
            let _ = self.write(write);
        }
    }

    fn submit(&mut self, write: Write) -> PlatformResult<ObjectVersion> {
        let faults = self.faults.clone();
        let unknown = |reason: &str| Err(PlatformError::Unknown(reason.into()));
        if self.should_inject(faults.lost_write_ratio) {
            return unknown("simulated loss before the write");
        }
        if self.late_writes.len() < LATE_WRITES_LEN && self.should_inject(faults.late_write_ratio) {
            self.late_writes.push_back(write);
            return unknown("simulated late write");
        }
        let result = self.write(write);
        if self.should_inject(faults.lost_response_ratio) {
            return unknown("simulated loss of the response");
        }
        result
    }

    fn write(&mut self, write: Write) -> PlatformResult<ObjectVersion> {
        let current = self.objects.get(&write.key);
        match (write.precondition, current) {
            (Precondition::Absent, Some(_)) => return Err(PlatformError::Conflict),
            (Precondition::Version(v), Some(object)) if object.version != v => {
                return Err(PlatformError::Conflict);
            }
            (Precondition::Version(_), None) if write.value.is_some() => {
                return Err(PlatformError::Conflict);
            }
            (_, None) if write.value.is_none() => return Err(PlatformError::NotFound),
            _ => {}
        }
        let former_state = current.cloned();
        let history = self.history.entry(write.key.clone()).or_default();
        history.push_back(former_state);
        if history.len() > HISTORY_LEN {
            history.pop_front();
        }
        self.revision += 1;
        let version = self.revision;
        let kind = match write.value {
            Some(value) => {
                self.objects
                    .insert(write.key.clone(), Versioned { version, value });
                WatchEventKind::Put
            }
            None => {
                self.objects.remove(&write.key);
                WatchEventKind::Delete
            }
        };
        self.append_event(WatchEvent {
            kind,
            key: write.key,
            version,
        });
        Ok(version)
    }

    fn append_event(&mut self, event: WatchEvent) {
        self.events.push_back(event);
        if self.events.len() > EVENT_LOG_LEN
            && let Some(dropped) = self.events.pop_front()
        {
            self.expired_version = dropped.version;
        }
    }

    fn read(&mut self, key: &str) -> Option<Versioned> {
        let ratio = self.faults.stale_get_ratio;
        let history_len = self.history.get(key).map_or(0, VecDeque::len);
        if history_len > 0 && self.should_inject(ratio) {
            let index = self.rng.random_range(0..history_len);
            return self
                .history
                .get(key)
                .and_then(|states| states[index].clone());
        }
        self.objects.get(key).cloned()
    }

    fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> ListPage {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let mut items = Vec::new();
        let mut next = None;
        for (key, object) in self.objects.range::<str, _>((start, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            if items.len() == limit.max(1) {
                next = items.last().map(|item: &ListedObject| item.key.clone());
                break;
            }
            items.push(ListedObject {
                key: key.clone(),
                version: object.version,
                value: object.value.clone(),
            });
        }
        ListPage {
            revision: self.revision,
            items,
            next,
        }
    }

    fn events_after(&self, prefix: &str, since: ObjectVersion) -> PlatformResult<WatchResponse> {
        if since < self.expired_version {
            return Err(PlatformError::Expired);
        }
        let mut events = Vec::new();
        for event in &self.events {
            if event.version > since && event.key.starts_with(prefix) {
                events.push(event.clone());
            }
        }
        Ok(WatchResponse {
            revision: self.revision,
            events,
        })
    }

    fn instance_list(&mut self) -> InstanceList {
        let ratio = self.faults.stale_instances_ratio;
        let mut index = self.instances.len() - 1;
        if index > 0 && self.should_inject(ratio) {
            index = self.rng.random_range(0..index);
        }
        self.instances[index].clone()
    }
}
