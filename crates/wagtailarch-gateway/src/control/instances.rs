//! Registration and discovery of entry instances through their objects in the store.

use std::{sync::Arc, time::Duration};

use displaydoc::Display;
use serde_json::json;
use slog::{info, warn};
use tokio::{sync::watch, time::sleep};
use wagtailarch_adapter::{
    ObjectKind, PutOutcome, StoreObject, create_request, decode_delete, decode_put, delete_request,
    replace_request,
};
use wagtailarch_dispatch::{
    RegistrationTracker, StoreRead, UpdateSource, VersionedList, is_designated,
};
use wagtailarch_types::InstanceId;
use wagtailarch_wire::relay::RelayKind;

use crate::{
    control::{
        ControlContext,
        object_list::list_objects,
        publish,
        sources::{RelayReader, RelayUpdate, Sources},
        store_error::StoreError,
    },
    http_client::{CONNECT_LIMIT, HttpClient},
    metrics::StoreCall,
    snapshot::{Peer, Snapshot},
};

/// Timeout for a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between two lists; a stale list costs a tenth of a call.
const LIST_INTERVAL: Duration = Duration::from_secs(4);
/// Interval after a failed call, and between the first lists while other instances start.
const SHORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of lists after the start that use `SHORT_INTERVAL`.
const INITIAL_LISTS: u32 = 4;

/// Why this instance could not be registered.
#[derive(Debug, Display)]
enum RegisterError {
    /// {0}
    Store(StoreError),
    /// the store neither created nor replaced the object
    NotWritten,
}

impl<E: Into<StoreError>> From<E> for RegisterError {
    fn from(error: E) -> Self {
        Self::Store(error.into())
    }
}

/// Keeps this instance registered, publishes the other instances and removes expired ones.
pub async fn maintain_registration(sources: Sources, publisher: Arc<watch::Sender<Arc<Snapshot>>>) {
    let context = sources.context.clone();
    let mut client = HttpClient::new(context.store_address, CONNECT_LIMIT);
    loop {
        match register(&context, &mut client).await {
            Ok(new) => {
                sources.set_new_member(new);
                break;
            }
            Err(error) => warn!(context.log, "instance not listed"; "cause" => %error),
        }
        sleep(SHORT_INTERVAL).await;
    }
    let mut lists = 0;
    let mut tracker = RegistrationTracker::default();
    let mut reader = InstanceReader::new(sources.clone());
    loop {
        match reader.read(&mut client).await {
            Ok(Some(instances)) => {
                update_registrations(&context, &mut client, &mut tracker, &instances).await;
                sources.set_members(&instances);
                publish_peers(&context, &publisher, instances);
            }
            Ok(None) => {}
            // The watchers already log that the store is lost.
            Err(_) => context.metrics.count_store_failure(),
        }
        lists += 1;
        let interval = if lists < INITIAL_LISTS {
            SHORT_INTERVAL
        } else {
            LIST_INTERVAL
        };
        sleep(interval).await;
    }
}

/// Registers this instance again if it is missing, and removes expired instances.
async fn update_registrations(
    context: &ControlContext,
    client: &mut HttpClient,
    tracker: &mut RegistrationTracker,
    instances: &[Peer],
) {
    let now = context.epoch.elapsed();
    let live: Vec<_> = context
        .live_peers()
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    let listed: Vec<_> = instances.iter().map(|peer| peer.name.clone()).collect();
    let expired = tracker.on_list(now, &context.instance, &listed, &live);
    if tracker.must_register_again() {
        match register(context, client).await {
            Ok(_) => info!(context.log, "instance listed again"),
            Err(error) => warn!(context.log, "instance not listed"; "cause" => %error),
        }
    }
    if !is_designated(
        ObjectKind::Instances.as_str(),
        &context.instance,
        &mut live.iter(),
    ) {
        return;
    }
    for name in expired {
        match unregister(context, client, &name).await {
            Ok(()) => info!(context.log, "instance removed"; "peer" => %name, "cause" => "silent"),
            Err(error) => {
                warn!(context.log, "instance not removed"; "peer" => %name, "cause" => %error);
            }
        }
    }
}

fn publish_peers(
    context: &ControlContext,
    publisher: &watch::Sender<Arc<Snapshot>>,
    mut instances: Vec<Peer>,
) {
    instances.retain(|peer| peer.name != context.instance);
    let is_known = {
        let snapshot = publisher.borrow();
        snapshot.peers_listed && *snapshot.peers == instances
    };
    if !is_known {
        info!(context.log, "peers changed"; "peers" => instances.len());
        publish(publisher, |snapshot| {
            snapshot.peers = Arc::new(instances);
            snapshot.peers_listed = true;
        });
    }
}

async fn unregister(
    context: &ControlContext,
    client: &mut HttpClient,
    name: &InstanceId,
) -> Result<(), StoreError> {
    context.metrics.count_store_call(StoreCall::Write);
    let request = delete_request(ObjectKind::Instances, name)?;
    let (status, _) = client.call(request, CALL_TIMEOUT).await?;
    Ok(decode_delete(status)?)
}

/// Creates or replaces the object of this instance; returns whether it is new.
async fn register(
    context: &ControlContext,
    client: &mut HttpClient,
) -> Result<bool, RegisterError> {
    let content = json!({
        "peer_address": context.peer_address.to_string(),
        "forward_address": context.forward_address.to_string(),
        "zone": context.zone,
    });
    let create = create_request(ObjectKind::Instances, &context.instance, &content)?;
    match put(context, client, create).await? {
        PutOutcome::Done(_) => return Ok(true),
        PutOutcome::Conflict(object) if object.content == content => return Ok(false),
        PutOutcome::Conflict(_) | PutOutcome::Missing => {}
    }
    let replace = replace_request(ObjectKind::Instances, &context.instance, &content, None)?;
    match put(context, client, replace).await? {
        PutOutcome::Done(_) => Ok(false),
        PutOutcome::Conflict(_) | PutOutcome::Missing => Err(RegisterError::NotWritten),
    }
}

async fn put(
    context: &ControlContext,
    client: &mut HttpClient,
    request: http::Request<bytes::Bytes>,
) -> Result<PutOutcome, RegisterError> {
    context.metrics.count_store_call(StoreCall::Write);
    let (status, body) = client.call(request, CALL_TIMEOUT).await?;
    Ok(decode_put(ObjectKind::Instances, status, &body)?)
}

/// Reads the list of instances from the store or from a relay.
struct InstanceReader {
    context: ControlContext,
    relay_reader: RelayReader,
    /// The newest list, from the store or a relay.
    list: VersionedList<StoreObject>,
    /// Whether the next list is read from the store regardless of the relays.
    verify_with_store: bool,
}

impl InstanceReader {
    fn new(sources: Sources) -> Self {
        let limits = sources.context.read_limits(sources.context.config_bound);
        Self {
            context: sources.context.clone(),
            relay_reader: RelayReader::new(RelayKind::Instances, limits, sources),
            list: VersionedList::default(),
            verify_with_store: true,
        }
    }

    /// Returns all instances sorted by name; `None` if nothing has changed.
    async fn read(&mut self, client: &mut HttpClient) -> Result<Option<Vec<Peer>>, StoreError> {
        let source = match std::mem::take(&mut self.verify_with_store) {
            true => UpdateSource::Store,
            false => self.relay_reader.source(),
        };
        match source {
            UpdateSource::Wait | UpdateSource::Store => self.list(client).await?,
            UpdateSource::Relay(relay) => {
                self.relay_reader.suspend_relaying();
                match self
                    .relay_reader
                    .read(&relay, self.list.version(), Duration::ZERO)
                    .await
                {
                    Ok(RelayUpdate::All(read, objects)) => {
                        // A relay's list may be older than this instance's own registration.
                        let own = &self.context.instance;
                        self.verify_with_store = !objects.iter().any(|object| object.name == *own);
                        self.list.on_relayed(read.version, objects);
                        if self.verify_with_store {
                            return Ok(None);
                        }
                    }
                    Ok(_) => return Ok(None),
                    Err(error) => {
                        info!(self.context.log, "relay not asked"; "kind" => "instances",
                            "peer" => %relay, "cause" => %error);
                        return Ok(None);
                    }
                }
            }
        }
        let mut instances: Vec<_> = self.list.objects().iter().filter_map(peer).collect();
        instances.sort();
        Ok(Some(instances))
    }

    /// Lists all instances at the store.
    async fn list(&mut self, client: &mut HttpClient) -> Result<(), StoreError> {
        let kind = ObjectKind::Instances;
        let mut list = list_objects(&self.context, client, kind, true, CALL_TIMEOUT).await?;
        if !list.is_complete {
            // Instances that are known from before may be among those that the list lacks.
            for known in self.list.objects() {
                if !list.objects.iter().any(|object| object.name == known.name) {
                    list.objects.push(known.clone());
                }
            }
        }
        let read = StoreRead {
            version: self.list.on_stored(list.newest_version, list.objects),
            at: self.context.epoch.elapsed(),
        };
        if list.is_complete {
            self.relay_reader.on_store_list(read, self.list.objects());
        }
        Ok(())
    }
}

fn peer(object: &StoreObject) -> Option<Peer> {
    let content = &object.content;
    let address = |field: &str| content.get(field)?.as_str()?.parse().ok();
    Some(Peer {
        name: object.name.clone(),
        zone: content.get("zone")?.as_str()?.into(),
        address: address("peer_address")?,
        // Instances of earlier versions take no requests of others.
        forward_address: address("forward_address"),
    })
}
