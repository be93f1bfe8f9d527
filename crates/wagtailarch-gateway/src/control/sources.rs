//! Whom this instance asks for objects: the store, or a relay of its zone.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, StatusCode};
use wagtailarch_adapter::StoreObject;
use wagtailarch_dispatch::{RelayPlan, UpdateSource};
use wagtailarch_types::{InstanceId, ObjectVersion};
use wagtailarch_wire::relay::{
    RELAY_PATH, RELAY_VERSION, RelayKind, RelayRequest, RelayResponse, RelayedObject, decode,
    encode,
};

use crate::{
    control::{
        ControlContext,
        relay::{Relay, decoded},
    },
    http_client::{CallError, HttpClient},
    outbox::HEARD_FROM,
    snapshot::Peer,
};

/// Time after the end of a question's wait in which the answer has to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Time for which a new member waits before it asks anybody, while others of a new fleet list themselves.
const SETTLING: Duration = Duration::from_millis(1_500);

/// What all parts of the control thread know of the members of the zone.
#[derive(Debug, Clone)]
pub struct Sources {
    /// What the control thread works with.
    pub context: ControlContext,
    /// What this instance passes on.
    pub relay: Relay,
    /// Listed members of the own zone but this one.
    members: Rc<RefCell<Vec<Peer>>>,
    /// Whether this instance is new, so that the list of members may be far from complete.
    new_member: Rc<Cell<bool>>,
}

/// Asks relays for the objects of one kind.
#[derive(Debug)]
pub struct RelayReader {
    kind: RelayKind,
    sources: Sources,
    plan: RelayPlan,
    /// Connection to the relay that was asked last.
    client: Option<(InstanceId, HttpClient)>,
    /// Whether the store is asked next whatever the plan says.
    store_next: bool,
}

/// Objects that a relay has passed on.
#[derive(Debug)]
pub enum Relayed {
    /// There is no news.
    Unchanged,
    /// All objects at a version of the store.
    All(ObjectVersion, Vec<StoreObject>),
    /// Changed objects up to a version of the store, each with whether it was deleted.
    Changes(ObjectVersion, Vec<(StoreObject, bool)>),
}

/// Why a relay has passed on nothing.
#[derive(Debug, Display)]
pub enum RelayError {
    /// the relay cannot be asked: {0}
    Call(CallError),
    /// the relay answered with status {0}
    Status(StatusCode),
    /// the answer cannot be decoded: {0}
    Message(postcard::Error),
    /// a relayed object cannot be decoded: {0}
    Object(serde_json::Error),
    /// the relay does not hear the store at present
    Unknown,
    /// the news is too large to be relayed
    TooLarge,
}

impl Sources {
    /// Creates the sources of an instance that knows nobody.
    pub fn new(context: ControlContext) -> Self {
        Self {
            context,
            relay: Relay::new(),
            members: Rc::default(),
            new_member: Rc::default(),
        }
    }

    /// Takes over the other listed instances.
    pub fn set_listed(&self, peers: &[Peer]) {
        let zone = &self.context.zone;
        let members = peers.iter().filter(|peer| peer.zone == *zone);
        *self.members.borrow_mut() = members.cloned().collect();
    }

    /// Notes whether this instance was listed before it started.
    pub fn set_new_member(&self, new: bool) {
        self.new_member.set(new);
    }

    /// Returns the other members of the zone that can be relays.
    fn others(&self) -> Vec<InstanceId> {
        let members = self.members.borrow();
        let mut members: Vec<_> = members.iter().map(|peer| peer.name.clone()).collect();
        if self.context.epoch.elapsed() >= HEARD_FROM {
            let heard = self.context.live_peers();
            members.retain(|member| heard.iter().any(|(name, _)| name == member));
        }
        members
    }

    /// Tells whether members of a new fleet may still be unlisted.
    fn settling(&self) -> bool {
        self.new_member.get() && self.context.epoch.elapsed() < SETTLING
    }
}

impl RelayReader {
    /// Creates a reader of a kind of objects.
    pub fn new(kind: RelayKind, sources: Sources) -> Self {
        Self {
            kind,
            sources,
            plan: RelayPlan::default(),
            client: None,
            store_next: false,
        }
    }

    /// Returns whom to ask next.
    pub fn source(&mut self) -> UpdateSource {
        if std::mem::take(&mut self.store_next) {
            return UpdateSource::Store;
        }
        if self.sources.settling() {
            return UpdateSource::Wait;
        }
        let context = &self.sources.context;
        let age = context.epoch.elapsed();
        let others = self.sources.others();
        self.plan.source(age, age, &context.instance, &others)
    }

    /// Tells whether the watches of this instance are short.
    pub fn leads(&self) -> bool {
        RelayPlan::is_first_relay(&self.sources.context.instance, &self.sources.others())
    }

    /// Asks a relay for what is newer than `have`; the answer may wait for news.
    ///
    /// After a failure the plan names another source.
    pub async fn ask(
        &mut self,
        relay: &InstanceId,
        have: Option<ObjectVersion>,
        wait: Duration,
    ) -> Result<Relayed, RelayError> {
        let answer = self.call(relay, have, wait).await;
        let now = self.sources.context.epoch.elapsed();
        match &answer {
            Ok(_) => self.plan.on_response(),
            Err(RelayError::Unknown) => self.plan.on_unknown(now, relay),
            Err(RelayError::TooLarge) => self.store_next = true,
            Err(_) => self.plan.on_failure(now, relay),
        }
        answer
    }

    /// Notes that a relay lacks news that others have; the store is asked next.
    pub fn on_deaf(&mut self, relay: &InstanceId) {
        let now = self.sources.context.epoch.elapsed();
        self.plan.on_failure(now, relay);
        self.store_next = true;
        self.client = None;
    }

    /// Takes over a complete list that the store gave, for others.
    pub fn on_store_list(&mut self, position: ObjectVersion, objects: &[StoreObject]) {
        self.plan.on_response();
        self.sources.relay.on_list(self.kind, position, objects);
    }

    /// Takes over changes that the store gave, for others.
    pub fn on_store_changes(&mut self, position: ObjectVersion, changes: &[(StoreObject, bool)]) {
        self.plan.on_response();
        self.sources.relay.on_changes(self.kind, position, changes);
    }

    /// Notes that this instance does not hear the store itself at present.
    pub fn on_store_unheard(&self) {
        self.sources.relay.on_lost(self.kind);
    }

    async fn call(
        &mut self,
        relay: &InstanceId,
        have: Option<ObjectVersion>,
        wait: Duration,
    ) -> Result<Relayed, RelayError> {
        let question = RelayRequest {
            version: RELAY_VERSION,
            kind: self.kind,
            have,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let mut request =
            Request::new(Bytes::from(encode(&question).map_err(RelayError::Message)?));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(RELAY_PATH);
        let client = self.client(relay)?;
        let answer = client.call(request, wait + ANSWER_MARGIN).await;
        let (status, body) = answer.map_err(RelayError::Call)?;
        if status != StatusCode::OK {
            return Err(RelayError::Status(status));
        }
        match decode(&body).map_err(RelayError::Message)? {
            RelayResponse::Unknown => Err(RelayError::Unknown),
            RelayResponse::TooLarge => Err(RelayError::TooLarge),
            RelayResponse::Unchanged => Ok(Relayed::Unchanged),
            RelayResponse::All(position, objects) => {
                let objects = objects.into_iter().map(object).collect::<Result<_, _>>()?;
                Ok(Relayed::All(position, objects))
            }
            RelayResponse::Changes(position, changes) => {
                let changes = changes.into_iter();
                let changes = changes.map(|(changed, deleted)| Ok((object(changed)?, deleted)));
                Ok(Relayed::Changes(
                    position,
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
            self.client = Some((relay.clone(), HttpClient::new(address)));
        }
        let client = self.client.as_mut().map(|(_, client)| client);
        client.ok_or(RelayError::Unknown)
    }
}

fn object(relayed: RelayedObject) -> Result<StoreObject, RelayError> {
    decoded(relayed).map_err(RelayError::Object)
}
