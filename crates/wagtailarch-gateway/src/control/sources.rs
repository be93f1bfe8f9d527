//! Selects the source of objects, the store or a relay of the zone, and reads from relays.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, StatusCode};
use tokio::sync::watch;
use wagtailarch_adapter::StoreObject;
use wagtailarch_dispatch::{
    LogSource, ReadLimits, ReaderName, RelayPlan, StoreAccess, StoreFailure, StoreRead,
    UpdateSource,
};
use wagtailarch_types::{InstanceId, ObjectVersion};
use wagtailarch_wire::relay::{
    RELAY_PATH, RELAY_VERSION, RelayKind, RelayRequest, RelayResponse, RelayedObject, RelayedRead,
    decode, encode,
};

use crate::{
    control::{
        ControlContext,
        relay::{Relay, decode_object},
    },
    http_client::{CallError, HttpClient},
    outbox::LIVENESS_GRACE,
    snapshot::Peer,
};

/// Time after the start for which a new member reads only the list of instances, while the other
/// members of a new fleet register.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_500);

/// Relays and zone members, shared by the tasks of the control thread.
#[derive(Debug, Clone)]
pub struct Sources {
    /// Settings and shared state of the control thread.
    pub context: ControlContext,
    /// Objects that this instance relays to others.
    pub relay: Relay,
    /// Registered members of the own zone, this instance included.
    members: Rc<RefCell<Vec<Peer>>>,
    /// Whether this instance registered for the first time, so that its list of members may be
    /// incomplete.
    new_member: Rc<Cell<bool>>,
    /// Calls to the store, which all readers make in turn while it fails.
    store: Rc<RefCell<StoreAccess>>,
    /// Notified when a reader gets a response of the store after failed calls.
    store_returned: watch::Sender<()>,
}

/// Reads the objects of one kind from relays.
#[derive(Debug)]
pub struct RelayReader {
    kind: RelayKind,
    limits: ReadLimits,
    sources: Sources,
    plan: RelayPlan,
    /// Returns of the store that this reader has not reacted to.
    store_returned: watch::Receiver<()>,
    /// Connection to the last relay that was called.
    client: Option<(InstanceId, HttpClient)>,
    /// Whether the store is the next source regardless of the plan.
    store_next: bool,
}

/// Objects received from a relay.
#[derive(Debug)]
pub enum RelayUpdate {
    /// Nothing has changed.
    Unchanged(StoreRead),
    /// All objects.
    All(StoreRead, Vec<StoreObject>),
    /// Changed objects, each with whether it was deleted.
    Changes(StoreRead, Vec<(StoreObject, bool)>),
}

/// Why a relay returned no objects.
#[derive(Debug, Display)]
pub enum RelayError {
    /// cannot call the relay: {0}
    Call(CallError),
    /// the relay responded with status {0}
    Status(StatusCode),
    /// a message cannot be encoded or decoded: {0}
    Message(postcard::Error),
    /// a relayed object cannot be decoded: {0}
    Object(serde_json::Error),
    /// the relay has no data, or its address is not known
    Unknown,
    /// the update is too large to be relayed
    TooLarge,
}

impl Sources {
    /// Creates the sources of an instance that has listed no members yet.
    pub fn new(context: ControlContext) -> Self {
        let bound = context.config_bound.min(context.leaving_bound);
        let interval = context.read_limits(bound).store_retry_interval();
        Self {
            relay: Relay::new(context.epoch),
            context,
            members: Rc::default(),
            new_member: Rc::default(),
            store: Rc::new(RefCell::new(StoreAccess::new(interval))),
            store_returned: watch::Sender::new(()),
        }
    }

    /// Replaces the registered members of the zone.
    pub fn set_members(&self, peers: &[Peer]) {
        let zone = &self.context.zone;
        let members = peers.iter().filter(|peer| peer.zone == *zone);
        *self.members.borrow_mut() = members.cloned().collect();
    }

    /// Records whether this instance registered for the first time.
    pub fn set_new_member(&self, new: bool) {
        self.new_member.set(new);
    }

    /// Returns the members of the zone that can be relays, which may include this instance.
    fn relay_candidates(&self) -> Vec<InstanceId> {
        let members = self.members.borrow();
        let mut members: Vec<_> = members.iter().map(|peer| peer.name.clone()).collect();
        if self.context.epoch.elapsed() >= LIVENESS_GRACE {
            let live = self.context.live_peers();
            members.retain(|member| live.iter().any(|(name, _)| name == member));
        }
        members
    }

    /// Returns whether members of a new fleet may still be unregistered.
    fn is_settling(&self) -> bool {
        self.new_member.get() && self.context.epoch.elapsed() < REGISTRATION_TIME
    }
}

impl RelayReader {
    /// Creates a reader for one kind of objects.
    pub fn new(kind: RelayKind, limits: ReadLimits, sources: Sources) -> Self {
        Self {
            kind,
            limits,
            store_returned: sources.store_returned.subscribe(),
            sources,
            plan: RelayPlan::new(reader_name(kind)),
            client: None,
            store_next: false,
        }
    }

    /// Returns the source of the next read.
    pub fn source(&mut self) -> UpdateSource {
        let context = &self.sources.context;
        let age = context.epoch.elapsed();
        let mut store = self.sources.store.borrow_mut();
        if std::mem::take(&mut self.store_next) {
            store.on_call(reader_name(self.kind), age);
            return UpdateSource::Store;
        }
        if self.sources.is_settling() {
            return UpdateSource::Wait;
        }
        let relay_candidates = self.sources.relay_candidates();
        self.plan
            .source(age, age, &context.instance, &relay_candidates, &mut store)
    }

    /// Requests the changes after version `have` from a relay, which may wait for a change.
    ///
    /// A relay that failed is not asked again for some time; after [`RelayError::TooLarge`], the
    /// next source is the store.
    pub async fn read(
        &mut self,
        relay: &InstanceId,
        have: Option<ObjectVersion>,
        wait: Duration,
    ) -> Result<RelayUpdate, RelayError> {
        let response = self.call(relay, have, wait).await;
        let now = self.sources.context.epoch.elapsed();
        match &response {
            Ok(_) => self.plan.on_response(),
            Err(RelayError::Unknown) => self.plan.on_no_data(now, relay, have.is_some()),
            Err(RelayError::TooLarge) => self.store_next = true,
            Err(_) => self.plan.on_failure(now, relay),
        }
        response
    }

    /// Records that a relay lags behind the versions that peers report; the store is read next.
    pub fn on_stale(&mut self, relay: &InstanceId) {
        self.on_outdated(relay);
        self.store_next = true;
        self.client = None;
    }

    /// Records that a relay responds, but has not proved for too long that its objects are current.
    pub fn on_outdated(&mut self, relay: &InstanceId) {
        let now = self.sources.context.epoch.elapsed();
        self.plan.on_failure(now, relay);
    }

    /// Records that the store responded, but no longer has the history that was asked for; the store
    /// is read next.
    pub fn on_history_expired(&mut self) {
        self.on_store_response();
        self.store_next = true;
    }

    /// Records that a call to the store that began at `sent_at` has failed; returns the pause before
    /// the next one, at least `backoff`.
    pub fn on_store_failure(
        &mut self,
        sent_at: Duration,
        failure: StoreFailure,
        backoff: Duration,
    ) -> Duration {
        let now = self.sources.context.epoch.elapsed();
        let mut store = self.sources.store.borrow_mut();
        store.on_failure(sent_at, failure);
        store.retry_pause(
            reader_name(self.kind),
            now,
            backoff,
            self.limits.max_backoff(),
        )
    }

    /// Returns the start of the newest call of any reader that failed because the store, or the path
    /// to it, was lost.
    pub fn store_failed_at(&self) -> Option<Duration> {
        self.sources.store.borrow().failed_at()
    }

    /// Returns a receiver that is notified when another reader gets a response of the store after
    /// failed calls, also if that was before.
    pub fn store_returned(&self) -> watch::Receiver<()> {
        self.store_returned.clone()
    }

    /// Makes the store the next source after its return.
    pub fn on_store_returned(&mut self) {
        self.store_returned.mark_unchanged();
        self.store_next = true;
    }

    fn on_store_response(&mut self) {
        self.plan.on_response();
        let now = self.sources.context.epoch.elapsed();
        if self.sources.store.borrow_mut().on_response(now) {
            self.sources.store_returned.send_replace(());
        }
        self.store_returned.mark_unchanged();
    }

    /// Records a complete list from the store and relays it to other instances.
    pub fn on_store_list(&mut self, read: StoreRead, objects: &[StoreObject]) {
        self.on_store_response();
        let relay = &self.sources.relay;
        relay.on_list(self.kind, LogSource::Store, read, objects);
    }

    /// Records all changes after the version `after` from the store and relays them to other
    /// instances; returns whether all objects are known.
    #[must_use]
    pub fn on_store_changes(
        &mut self,
        after: ObjectVersion,
        read: StoreRead,
        changes: &[(StoreObject, bool)],
    ) -> bool {
        self.on_store_response();
        let relay = &self.sources.relay;
        relay.on_changes(self.kind, LogSource::Store, after, read, changes)
    }

    /// Records the update of a relay for the version `have`, so that this instance can become a
    /// relay; returns whether all objects are known.
    #[must_use]
    pub fn on_relay_update(&self, have: Option<ObjectVersion>, update: &RelayUpdate) -> bool {
        let relay = &self.sources.relay;
        let (read, changes) = match update {
            RelayUpdate::Unchanged(read) => (*read, [].as_slice()),
            RelayUpdate::Changes(read, changes) => (*read, changes.as_slice()),
            RelayUpdate::All(read, objects) => {
                relay.on_list(self.kind, LogSource::Relay, *read, objects);
                return true;
            }
        };
        have.is_some_and(|after| {
            relay.on_changes(self.kind, LogSource::Relay, after, read, changes)
        })
    }

    /// Makes the store the next source regardless of the plan.
    pub fn ask_store_next(&mut self) {
        self.store_next = true;
    }

    /// Stops relaying while this instance does not read from the store itself.
    pub fn suspend_relaying(&self) {
        self.sources.relay.suspend(self.kind);
    }

    async fn call(
        &mut self,
        relay: &InstanceId,
        have: Option<ObjectVersion>,
        wait: Duration,
    ) -> Result<RelayUpdate, RelayError> {
        let relay_request = RelayRequest {
            version: RELAY_VERSION,
            kind: self.kind,
            have,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let mut request = Request::new(Bytes::from(
            encode(&relay_request).map_err(RelayError::Message)?,
        ));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(RELAY_PATH);
        let limit = wait + self.limits.response_margin();
        let epoch = self.sources.context.epoch;
        let sent_at = epoch.elapsed();
        let client = self.client(relay)?;
        let response = client.call(request, limit).await;
        let (status, body) = response.map_err(RelayError::Call)?;
        if status != StatusCode::OK {
            return Err(RelayError::Status(status));
        }
        // A relay responds to a request without updates when the wait is over, and to any other one
        // at an unknown time after it was sent.
        let unchanged_at = epoch.elapsed().min(sent_at + wait);
        let read = |relayed: RelayedRead, responded_at: Duration| StoreRead {
            version: relayed.version,
            at: responded_at.saturating_sub(Duration::from_millis(relayed.age_ms.into())),
        };
        match decode(&body).map_err(RelayError::Message)? {
            RelayResponse::Unknown => Err(RelayError::Unknown),
            RelayResponse::TooLarge => Err(RelayError::TooLarge),
            RelayResponse::Unchanged(relayed) => {
                Ok(RelayUpdate::Unchanged(read(relayed, unchanged_at)))
            }
            RelayResponse::All(relayed, objects) => {
                let objects = objects
                    .into_iter()
                    .map(|relayed| object(self.kind, relayed));
                let objects = objects.collect::<Result<_, _>>()?;
                Ok(RelayUpdate::All(read(relayed, sent_at), objects))
            }
            RelayResponse::Changes(relayed, changes) => {
                let (kind, changes) = (self.kind, changes.into_iter());
                let changes =
                    changes.map(|(changed, deleted)| Ok((object(kind, changed)?, deleted)));
                Ok(RelayUpdate::Changes(
                    read(relayed, sent_at),
                    changes.collect::<Result<_, _>>()?,
                ))
            }
        }
    }

    /// Returns the connection to a relay.
    fn client(&mut self, relay: &InstanceId) -> Result<&mut HttpClient, RelayError> {
        if self.client.as_ref().is_none_or(|(name, _)| name != relay) {
            let members = self.sources.members.borrow();
            let peer = members.iter().find(|peer| peer.name == *relay);
            let address = peer.ok_or(RelayError::Unknown)?.address;
            self.client = Some((
                relay.clone(),
                HttpClient::new(address, self.limits.connect_limit()),
            ));
        }
        let client = self.client.as_mut().map(|(_, client)| client);
        client.ok_or(RelayError::Unknown)
    }
}

fn reader_name(kind: RelayKind) -> ReaderName {
    match kind {
        RelayKind::Routing => "config",
        RelayKind::Servers => "servers",
        RelayKind::Instances => "instances",
    }
}

fn object(kind: RelayKind, relayed: RelayedObject) -> Result<StoreObject, RelayError> {
    decode_object(kind, relayed).map_err(RelayError::Object)
}
