//! Watches all objects of a kind in the store.

use std::time::Duration;

use slog::{Logger, info, warn};
use smol_str::SmolStr;
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};
use wagtailarch_adapter::{
    ObjectKind, StoreObject, StoreResponseError, decode_watch, watch_request,
};
use wagtailarch_dispatch::{
    Freshness, ReadLimits, StoreFailure, StoreLoss, StoreRead, UpdateSource,
};
use wagtailarch_types::{InstanceId, ObjectVersion};
use wagtailarch_wire::{load_note::StoreVersions, relay::RelayKind};

use crate::{
    control::{
        ControlContext,
        object_list::list_objects,
        read_trail::ReadTrail,
        sources::{RelayError, RelayReader, RelayUpdate, Sources},
        store_error::StoreError,
    },
    http_client::{CallError, HttpClient},
    metrics::StoreCall,
};

/// Name of the store as a source in logs.
const STORE: &str = "store";
/// Wait of a watch that only has to reach the versions reported by peers; its response carries the
/// store's version.
const CATCH_UP_WAIT: Duration = Duration::from_millis(50);
/// Delay before a relay that does not read from the store is called again, and while there is no
/// source to read from.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// First delay after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Watches all objects of a kind: a list first, then watches, and another list after each failure.
#[derive(Debug)]
pub struct Watcher {
    kind: ObjectKind,
    client: HttpClient,
    context: ControlContext,
    /// Reads from relays, and relays what this instance reads.
    relay_reader: RelayReader,
    limits: ReadLimits,
    /// Version from which the next watch continues, and the newest proof that it is current.
    freshness: Freshness,
    backoff: Duration,
    /// Earliest time of the next read after a failed call.
    retry_at: Option<Instant>,
    /// The loss that the newest update ended.
    ended_loss: Option<StoreLoss>,
    /// Earliest start of the next watch.
    not_before: Option<Instant>,
    /// Version of the newest change that this instance has seen, announced to peers.
    newest_change: ObjectVersion,
    /// Whether the store has to be listed next.
    ///
    /// After a failure a watch would report expired registrations as if their servers had left.
    list_next: bool,
    /// Whether all objects have been listed once.
    listed: bool,
    /// Whether the next watch only has to reach the versions reported by peers.
    catching_up: bool,
    /// Store versions reported by peers.
    peer_versions: watch::Receiver<StoreVersions>,
    /// Reads that led to the newest update.
    trail: ReadTrail,
}

/// Result of one step of a [`Watcher`].
#[derive(Debug)]
pub enum WatchUpdate {
    /// All objects.
    Listed(Vec<StoreObject>),
    /// Changed objects in order, each with whether it was deleted.
    Changed(Vec<(StoreObject, bool)>),
    /// The store cannot be read, which is an outage of it, or of the path to it, from a time on.
    StoreLost {
        /// Time since the start of the process.
        outage_from: Duration,
    },
}

impl Watcher {
    /// Creates a watcher that begins with a list of the objects of `kind`, which relays serve as
    /// `relay_kind`.
    ///
    /// `limits` follow from the time within which changes must be applied.
    pub fn new(
        kind: ObjectKind,
        relay_kind: RelayKind,
        limits: ReadLimits,
        sources: Sources,
    ) -> Self {
        let context = sources.context.clone();
        let peer_versions = context.traffic.peer_versions();
        Self {
            kind,
            client: HttpClient::new(context.store_address, limits.connect_limit()),
            context,
            relay_reader: RelayReader::new(relay_kind, limits, sources),
            limits,
            freshness: Freshness::default(),
            backoff: MIN_BACKOFF,
            retry_at: None,
            ended_loss: None,
            not_before: None,
            newest_change: 0,
            list_next: false,
            listed: false,
            catching_up: false,
            peer_versions,
            trail: ReadTrail::default(),
        }
    }

    /// Returns the version of the newest change that this instance has seen.
    pub fn newest_change(&self) -> ObjectVersion {
        self.newest_change
    }

    /// Returns the version of the store up to which this instance has all changes.
    pub fn read_version(&self) -> Option<ObjectVersion> {
        self.freshness.version()
    }

    /// Returns the reads that led to the newest update.
    pub fn trail(&self) -> &ReadTrail {
        &self.trail
    }

    /// Returns the age of the newest proof that the objects are current.
    pub fn age(&self) -> Duration {
        self.freshness.age(self.now())
    }

    /// Returns the time since the start of the process at which the objects were last proven to be
    /// current.
    pub fn proven_at(&self) -> Duration {
        self.freshness.proven_at()
    }

    /// Returns the loss of the store that the newest update ended, once.
    pub fn take_ended_loss(&mut self) -> Option<StoreLoss> {
        self.ended_loss.take()
    }

    /// Waits for the next update; its list of changes may be empty.
    ///
    /// While the store is lost, its return to another reader ends waits, and calls that began before.
    pub async fn next(&mut self) -> WatchUpdate {
        loop {
            let mut store_returned = self.relay_reader.store_returned();
            let is_lost = self.freshness.is_lost();
            let update = tokio::select! {
                biased;
                update = self.step() => update,
                Ok(()) = store_returned.changed(), if is_lost => {
                    self.trail.on_failure(STORE, "returned to another reader");
                    self.relay_reader.on_store_returned();
                    self.retry_at = None;
                    None
                }
            };
            if let Some(update) = update {
                return update;
            }
        }
    }

    /// Reads from one source; returns `None` if another read has to follow.
    async fn step(&mut self) -> Option<WatchUpdate> {
        if let Some(retry_at) = self.retry_at {
            sleep_until(retry_at).await;
            self.retry_at = None;
        }
        let source = self.relay_reader.source();
        let sent_at = self.now();
        let watched_version = self.freshness.version().filter(|_| !self.list_next);
        let result = match source {
            UpdateSource::Wait => {
                sleep(RELAY_RETRY_DELAY).await;
                return None;
            }
            UpdateSource::Relay(relay) => return self.read_relay(&relay).await,
            UpdateSource::Store => match watched_version {
                None => self.list().await,
                Some(version) => self.watch(version).await,
            },
        };
        match result {
            Ok(update) => {
                self.on_response(STORE.into());
                Some(update)
            }
            Err(StoreError::Response(StoreResponseError::HistoryExpired)) => {
                info!(self.log(), "store history expired"; "kind" => self.kind.as_str(),
                    "version" => self.freshness.version());
                self.trail.on_failure(STORE, "history expired");
                self.relay_reader.on_history_expired();
                self.freshness.reset();
                None
            }
            Err(error) => {
                let failure = match error {
                    StoreError::Call(CallError::Connection(_)) if watched_version.is_some() => {
                        StoreFailure::Inconclusive
                    }
                    _ => StoreFailure::Lost,
                };
                self.on_failure(sent_at, failure, &error)
            }
        }
    }

    fn log(&self) -> &Logger {
        &self.context.log
    }

    async fn list(&mut self) -> Result<WatchUpdate, StoreError> {
        let sent_at = self.now();
        let limit = self.limits.call_limit();
        let list = list_objects(&self.context, &mut self.client, self.kind, false, limit).await?;
        let read = StoreRead {
            version: list.oldest_version,
            at: sent_at,
        };
        self.freshness.on_store_read(read);
        self.list_next = false;
        if !list.is_complete {
            // Objects that are known from before may be among those that the list lacks.
            let objects = list.objects.into_iter();
            let changes: Vec<_> = objects.map(|object| (object, false)).collect();
            self.on_changes(&changes);
            return Ok(WatchUpdate::Changed(changes));
        }
        self.on_list(&list.objects);
        self.relay_reader.on_store_list(read, &list.objects);
        Ok(WatchUpdate::Listed(list.objects))
    }

    /// Records the newest change that a list shows.
    ///
    /// Objects that were removed during a failure are missing from the list, so all changes up to
    /// its version count as seen. Peers with stale watches would otherwise notice them only when
    /// their watches end.
    fn on_list(&mut self, objects: &[StoreObject]) {
        let newest = objects.iter().map(|object| object.version).max();
        let newest_change = match self.listed {
            true => self.freshness.version(),
            false => newest,
        };
        self.newest_change = self.newest_change.max(newest_change.unwrap_or(0));
        self.listed = true;
    }

    async fn watch(&mut self, version: ObjectVersion) -> Result<WatchUpdate, StoreError> {
        // Also after a change of the source, the response comes before the newest proof is too old.
        let time_left = self.freshness.time_left(self.now(), &self.limits);
        let mut wait = self.limits.watch_wait().min(time_left.max(CATCH_UP_WAIT));
        if let Some(time) = self.not_before.take() {
            sleep_until(time).await;
            wait = wait.saturating_sub(self.limits.change_pause());
        }
        let mut limit = wait + self.limits.response_margin();
        if std::mem::take(&mut self.catching_up) {
            // The response may carry objects that are too large for a relay.
            wait = CATCH_UP_WAIT;
            limit = self.limits.call_limit();
        }
        let request = watch_request(self.kind, version, wait)?;
        self.context.metrics.count_store_call(StoreCall::Watch);
        let kind = self.kind;
        let sent_at = self.now();
        let response = tokio::select! {
            response = self.client.call(request, limit) => response,
            () = wait_until_stale(&mut self.peer_versions, kind, version, self.limits.stale_after()) => {
                // An abandoned call closes its connection.
                self.catching_up = true;
                self.trail.on_failure(STORE, "stale");
                info!(self.log(), "watch renewed"; "kind" => kind.as_str(), "version" => version,
                    "cause" => "peers report newer versions");
                return Ok(WatchUpdate::Changed(Vec::new()));
            }
        };
        let (status, body) = response?;
        let page = decode_watch(kind, status, &body)?;
        let read = StoreRead {
            version: page.store_version,
            // The store responds when the wait is over, or at an unknown time if there is a change.
            at: match page.changes.is_empty() {
                true => self.now().min(sent_at + wait),
                false => sent_at,
            },
        };
        self.freshness.on_store_read(read);
        let complete = self
            .relay_reader
            .on_store_changes(version, read, &page.changes);
        if !complete {
            self.on_gap(version);
        }
        if !page.changes.is_empty() {
            self.not_before = Some(Instant::now() + self.limits.change_pause());
        }
        self.on_changes(&page.changes);
        Ok(WatchUpdate::Changed(page.changes))
    }

    /// Records the versions of changed objects.
    fn on_changes(&mut self, changes: &[(StoreObject, bool)]) {
        let versions = changes.iter().map(|(object, _)| object.version);
        self.newest_change = versions.fold(self.newest_change, ObjectVersion::max);
    }

    /// Reads from a relay; returns `None` if another source has to be tried.
    async fn read_relay(&mut self, relay: &InstanceId) -> Option<WatchUpdate> {
        self.relay_reader.suspend_relaying();
        let have = self.freshness.version();
        let wait = match have {
            Some(_) => {
                let time_left = self.freshness.time_left(self.now(), &self.limits);
                self.limits.relay_wait().min(time_left)
            }
            None => Duration::ZERO,
        };
        let version = have.unwrap_or(ObjectVersion::MAX);
        let response = tokio::select! {
            response = self.relay_reader.read(relay, have, wait) => response,
            () = wait_until_stale(
                &mut self.peer_versions, self.kind, version, self.limits.stale_after(),
            ) => {
                info!(self.log(), "relay stale"; "kind" => self.kind.as_str(), "peer" => %relay,
                    "version" => version);
                self.trail.on_failure(relay, "stale");
                self.relay_reader.on_stale(relay);
                self.catching_up = true;
                return None;
            }
        };
        match response {
            Ok(update) => {
                let update = self.apply_relay_update(have, update);
                if update.is_some() {
                    self.on_response(relay.clone());
                }
                let now = self.now();
                if self.freshness.is_overdue(now, &self.limits) {
                    let age_ms = self.freshness.age(now).as_millis();
                    info!(self.log(), "relay outdated"; "kind" => self.kind.as_str(),
                        "peer" => %relay, "version" => self.freshness.version(),
                        "age_ms" => age_ms as u64);
                    self.trail
                        .on_failure(relay, format_args!("outdated by {age_ms} ms"));
                    self.relay_reader.on_outdated(relay);
                }
                update
            }
            Err(error) => {
                self.trail.on_failure(relay, &error);
                self.on_relay_error(relay, error).await
            }
        }
    }

    /// Reacts to a failed read from a relay; returns the loss of the store if the relay reports it
    /// first.
    async fn on_relay_error(
        &mut self,
        relay: &InstanceId,
        error: RelayError,
    ) -> Option<WatchUpdate> {
        match error {
            RelayError::TooLarge => {
                self.catching_up = self.freshness.version().is_some();
                None
            }
            RelayError::Unknown => {
                sleep(RELAY_RETRY_DELAY).await;
                // Servers may be missing when the store returns, as after a failed call to it.
                let lost = self.on_lost(StoreFailure::Inconclusive);
                if lost.is_some() {
                    info!(self.log(), "relay not reading the store"; "kind" => self.kind.as_str(),
                        "peer" => %relay);
                }
                lost
            }
            error => {
                info!(self.log(), "relay not asked"; "kind" => self.kind.as_str(),
                    "peer" => %relay, "cause" => %error);
                None
            }
        }
    }

    /// Applies an update from a relay, whose versions are those of the store; returns `None` if its
    /// content is not to be used.
    fn apply_relay_update(
        &mut self,
        have: Option<ObjectVersion>,
        update: RelayUpdate,
    ) -> Option<WatchUpdate> {
        let now = self.now();
        let read = match &update {
            RelayUpdate::Unchanged(read)
            | RelayUpdate::All(read, _)
            | RelayUpdate::Changes(read, _) => *read,
        };
        if !self.freshness.on_relayed_read(now, read, &self.limits) {
            return None;
        }
        self.list_next = false;
        if !self.relay_reader.on_relay_update(have, &update) {
            self.on_gap(read.version);
        }
        Some(match update {
            RelayUpdate::Unchanged(_) => WatchUpdate::Changed(Vec::new()),
            RelayUpdate::All(_, objects) => {
                self.on_list(&objects);
                WatchUpdate::Listed(objects)
            }
            RelayUpdate::Changes(_, changes) => {
                self.on_changes(&changes);
                WatchUpdate::Changed(changes)
            }
        })
    }

    /// Lists the store next, since this instance could not relay all objects to others.
    fn on_gap(&mut self, version: ObjectVersion) {
        warn!(self.log(), "record of objects incomplete"; "kind" => self.kind.as_str(),
            "version" => version);
        self.list_next = true;
        self.relay_reader.ask_store_next();
    }

    /// Returns the time since the start of the process.
    fn now(&self) -> Duration {
        self.context.epoch.elapsed()
    }

    fn on_response(&mut self, source: SmolStr) {
        self.trail.on_response(source);
        self.context
            .metrics
            .set_last_store_response(self.kind.as_str());
        self.backoff = MIN_BACKOFF;
        self.ended_loss = self.freshness.end_loss(self.relay_reader.store_failed_at());
        if self.ended_loss.is_some() {
            info!(self.log(), "store regained"; "kind" => self.kind.as_str(),
                "source" => self.trail.source(), "gap_ms" => self.trail.gap_ms(),
                "tried" => self.trail.tried());
        }
    }

    /// Reacts to a failed call to the store that began at `sent_at`; the first one since the last
    /// response is the loss of the store and is repeated at once.
    fn on_failure(
        &mut self,
        sent_at: Duration,
        failure: StoreFailure,
        error: &StoreError,
    ) -> Option<WatchUpdate> {
        self.context.metrics.count_store_failure();
        self.trail.on_failure(STORE, error);
        self.list_next = true;
        self.relay_reader.suspend_relaying();
        let pause = self
            .relay_reader
            .on_store_failure(sent_at, failure, self.backoff);
        let lost = self.on_lost(failure);
        if lost.is_some() {
            warn!(self.log(), "store lost"; "kind" => self.kind.as_str(), "cause" => %error);
            return lost;
        }
        self.retry_at = Some(Instant::now() + pause);
        self.backoff = (self.backoff * 2).min(self.limits.max_backoff());
        None
    }

    /// Records that the store is lost; returns the loss unless it was lost before.
    fn on_lost(&mut self, failure: StoreFailure) -> Option<WatchUpdate> {
        let now = self.now();
        let outage_from = self.freshness.on_lost(now, failure, &self.limits)?;
        Some(WatchUpdate::StoreLost { outage_from })
    }
}

/// Waits until peers have reported a version beyond `version` for the time `stale_after`.
async fn wait_until_stale(
    peer_versions: &mut watch::Receiver<StoreVersions>,
    kind: ObjectKind,
    version: ObjectVersion,
    stale_after: Duration,
) {
    let newest_change = |versions: &StoreVersions| match kind {
        ObjectKind::Config => versions.routing,
        ObjectKind::Servers => versions.servers,
        ObjectKind::Instances
        | ObjectKind::OrderClaims
        | ObjectKind::Duties
        | ObjectKind::ServiceVersions => 0,
    };
    if peer_versions
        .wait_for(|versions| newest_change(versions) > version)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
    sleep(stale_after).await;
}
