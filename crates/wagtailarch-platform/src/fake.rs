//! In-memory platform with seeded faults.

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

/// Changes that a watch can look back; older starts are expired.
const EVENT_LOG_LEN: usize = 10_000;
/// Former values kept per object for stale reads.
const HISTORY_LEN: usize = 4;
/// Former lists of instances kept for stale reads.
const INSTANCE_HISTORY_LEN: usize = 4;
/// Writes that may wait to take effect late; further ones take effect at once.
const LATE_WRITES_LEN: usize = 64;

/// In-memory platform with seeded faults.
///
/// Conditional writes are atomic whatever the faults are. The same seed and the same order of
/// calls give the same faults.
#[derive(Debug)]
pub struct FakePlatform {
    store: Mutex<Store>,
    revision: watch::Sender<ObjectVersion>,
}

/// Ratios, from 0 to 1 and per call, of the faults of a [`FakePlatform`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FakeFaults {
    /// Calls that are refused as in an outage.
    pub unavailable_ratio: f64,
    /// Writes that take effect and whose answer is lost.
    pub lost_response_ratio: f64,
    /// Writes whose answer is lost and that never take effect.
    pub lost_write_ratio: f64,
    /// Writes whose answer is lost and that take effect during a later call.
    pub late_write_ratio: f64,
    /// Reads of an object that return one of its former states.
    pub stale_get_ratio: f64,
    /// Reads of the list of instances that return a former list.
    pub stale_instances_ratio: f64,
    /// Watches that are refused as expired.
    pub expired_watch_ratio: f64,
    /// Longest delay of a call; each delay is drawn evenly from zero to this.
    pub max_delay: Duration,
}

#[derive(Debug)]
struct Store {
    rng: ChaCha8Rng,
    faults: FakeFaults,
    outage: bool,
    revision: ObjectVersion,
    objects: BTreeMap<String, Versioned>,
    /// Former states per key, oldest first, at most `HISTORY_LEN` each.
    history: BTreeMap<String, VecDeque<Option<Versioned>>>,
    /// Changes in the order of their versions, at most `EVENT_LOG_LEN`.
    events: VecDeque<WatchEvent>,
    /// Version of the last change that was dropped from `events`.
    expired: ObjectVersion,
    /// Writes that take effect during a later call, at most `LATE_WRITES_LEN`.
    late: VecDeque<Write>,
    /// Lists of instances, oldest first; never empty, at most `INSTANCE_HISTORY_LEN`.
    instances: VecDeque<InstanceList>,
    calls: u64,
}

#[derive(Debug, Clone)]
struct Write {
    key: String,
    /// `None` deletes the object.
    value: Option<Bytes>,
    expect: Precondition,
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
            expired: 0,
            late: VecDeque::new(),
            instances: VecDeque::from([InstanceList::default()]),
            calls: 0,
        };
        Self {
            store: Mutex::new(store),
            revision: watch::Sender::new(0),
        }
    }

    /// Replaces the faults of further calls.
    pub fn set_faults(&self, faults: FakeFaults) {
        self.lock().faults = faults;
    }

    /// Starts or ends an outage; every call fails with `Unavailable` while it lasts.
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

    /// Lets every pending late write take effect now.
    pub fn apply_late_writes(&self) {
        let mut store = self.lock();
        while let Some(write) = store.late.pop_front() {
            let _ = store.write(write);
        }
        self.revision.send_replace(store.revision);
    }

    /// Reads the true state of an object, without faults.
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

    /// Counts the call, delays it and applies late writes and outages.
    async fn begin(&self) -> PlatformResult<()> {
        let delay = {
            let mut store = self.lock();
            store.calls += 1;
            let delay = store.delay();
            store.apply_late();
            self.revision.send_replace(store.revision);
            delay
        };
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        } else {
            // Gives other tasks a turn, so that racing callers interleave.
            tokio::task::yield_now().await;
        }
        let mut store = self.lock();
        let ratio = store.faults.unavailable_ratio;
        if store.outage || store.draw(ratio) {
            return Err(PlatformError::Unavailable("simulated outage".into()));
        }
        Ok(())
    }

    async fn submit(&self, write: Write) -> PlatformResult<ObjectVersion> {
        self.begin().await?;
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
        self.begin().await?;
        {
            let mut store = self.lock();
            let ratio = store.faults.expired_watch_ratio;
            if store.draw(ratio) {
                return Err(PlatformError::Expired);
            }
        }
        let deadline = Instant::now() + wait;
        let mut revision = self.revision.subscribe();
        loop {
            revision.mark_unchanged();
            let answer = self.lock().events_after(prefix, since)?;
            if !answer.events.is_empty() {
                return Ok(answer);
            }
            if tokio::time::timeout_at(deadline, revision.changed())
                .await
                .is_err()
            {
                return Ok(answer);
            }
        }
    }
}

impl Platform for FakePlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Versioned>> {
        Box::pin(async move {
            self.begin().await?;
            Ok(self.lock().read(key))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expect: Precondition,
    ) -> PlatformFuture<'a, ObjectVersion> {
        Box::pin(async move {
            check_size(&value)?;
            self.submit(Write {
                key: key.into(),
                value: Some(value),
                expect,
            })
            .await
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        version: Option<ObjectVersion>,
    ) -> PlatformFuture<'a, ()> {
        let expect = version.map_or(Precondition::Any, Precondition::Version);
        Box::pin(async move {
            self.submit(Write {
                key: key.into(),
                value: None,
                expect,
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
            self.begin().await?;
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
            self.begin().await?;
            Ok(self.lock().instance_list())
        })
    }
}

impl Store {
    fn draw(&mut self, ratio: f64) -> bool {
        ratio > 0.0 && self.rng.random_bool(ratio.min(1.0))
    }

    fn delay(&mut self) -> Duration {
        let max_delay = self.faults.max_delay;
        if max_delay.is_zero() {
            return Duration::ZERO;
        }
        max_delay.mul_f64(self.rng.random::<f64>())
    }

    /// Lets the oldest late write take effect in half of the calls.
    fn apply_late(&mut self) {
        if self.late.is_empty() || !self.draw(0.5) {
            return;
        }
        if let Some(write) = self.late.pop_front() {
            // Nobody waits for the outcome of a late write any more.
            let _ = self.write(write);
        }
    }

    fn submit(&mut self, write: Write) -> PlatformResult<ObjectVersion> {
        let faults = self.faults.clone();
        let lost = |reason: &str| Err(PlatformError::Unknown(reason.into()));
        if self.draw(faults.lost_write_ratio) {
            return lost("simulated loss before the write");
        }
        if self.late.len() < LATE_WRITES_LEN && self.draw(faults.late_write_ratio) {
            self.late.push_back(write);
            return lost("simulated late write");
        }
        let result = self.write(write);
        if self.draw(faults.lost_response_ratio) {
            return lost("simulated loss of the answer");
        }
        result
    }

    fn write(&mut self, write: Write) -> PlatformResult<ObjectVersion> {
        let current = self.objects.get(&write.key);
        match (write.expect, current) {
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
        let former = current.cloned();
        let history = self.history.entry(write.key.clone()).or_default();
        history.push_back(former);
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
        self.record(WatchEvent {
            kind,
            key: write.key,
            version,
        });
        Ok(version)
    }

    fn record(&mut self, event: WatchEvent) {
        self.events.push_back(event);
        if self.events.len() > EVENT_LOG_LEN
            && let Some(dropped) = self.events.pop_front()
        {
            self.expired = dropped.version;
        }
    }

    fn read(&mut self, key: &str) -> Option<Versioned> {
        let ratio = self.faults.stale_get_ratio;
        let former_len = self.history.get(key).map_or(0, VecDeque::len);
        if former_len > 0 && self.draw(ratio) {
            let index = self.rng.random_range(0..former_len);
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
        if since < self.expired {
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
        if index > 0 && self.draw(ratio) {
            index = self.rng.random_range(0..index);
        }
        self.instances[index].clone()
    }
}
