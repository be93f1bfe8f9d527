//! The entry instances, which find each other through objects of their own in the store.

use std::{sync::Arc, time::Duration};

use displaydoc::Display;
use serde_json::json;
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::{sync::watch, time::sleep};
use wagtailarch_adapter::{
    ObjectKind, PutOutcome, StoreObject, create_request, decode_delete, decode_list, decode_put,
    delete_request, list_request, replace_request,
};
use wagtailarch_dispatch::{RegistrationTracker, UpdateSource, is_designated};
use wagtailarch_types::{InstanceId, ObjectVersion};
use wagtailarch_wire::relay::RelayKind;

use crate::{
    control::{
        ControlContext, publish,
        sources::{RelayReader, Relayed, Sources},
        store_error::StoreError,
    },
    http_client::HttpClient,
    metrics::StoreCall,
    snapshot::{Peer, Snapshot},
};

/// Limit on a call.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause between two lists; a stale list costs a tenth of a call.
const LIST_PAUSE: Duration = Duration::from_secs(4);
/// Pause after a failed call, and between the first lists, while other instances start.
const SHORT_PAUSE: Duration = Duration::from_millis(1_000);
/// Lists after the start that follow each other after `SHORT_PAUSE`.
const FIRST_LISTS: u32 = 4;

/// Why this instance could not be listed.
#[derive(Debug, Display)]
enum ListingError {
    /// {0}
    Store(StoreError),
    /// the store neither created nor replaced the object
    NotWritten,
}

/// Keeps this instance listed, publishes the others and removes those that are gone.
pub async fn keep_listed(sources: Sources, publisher: Arc<watch::Sender<Arc<Snapshot>>>) {
    let context = sources.context.clone();
    let mut client = HttpClient::new(context.store_address);
    loop {
        match write(&context, &mut client).await {
            Ok(new) => {
                sources.set_new_member(new);
                break;
            }
            Err(error) => warn!(context.log, "instance not listed"; "cause" => %error),
        }
        sleep(SHORT_PAUSE).await;
    }
    let mut lists = 0;
    let mut listing = RegistrationTracker::default();
    let mut reader = InstanceReader::new(sources.clone());
    loop {
        match reader.read(&mut client).await {
            Ok(Some(instances)) => {
                keep_list(&context, &mut client, &mut listing, &instances).await;
                sources.set_listed(&instances);
                publish_peers(&context, &publisher, instances);
            }
            Ok(None) => {}
            // The watchers report a lost store.
            Err(_) => context.metrics.store_failure(),
        }
        lists += 1;
        let pause = if lists < FIRST_LISTS {
            SHORT_PAUSE
        } else {
            LIST_PAUSE
        };
        sleep(pause).await;
    }
}

/// Lists this instance again if it is missing, and removes instances that are gone.
async fn keep_list(
    context: &ControlContext,
    client: &mut HttpClient,
    listing: &mut RegistrationTracker,
    instances: &[Peer],
) {
    let now = context.epoch.elapsed();
    let heard: Vec<_> = context
        .live_peers()
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    let listed: Vec<_> = instances.iter().map(|peer| peer.name.clone()).collect();
    let gone = listing.on_list(now, &context.instance, &listed, &heard);
    if listing.must_register_again() {
        match write(context, client).await {
            Ok(_) => info!(context.log, "instance listed again"),
            Err(error) => warn!(context.log, "instance not listed"; "cause" => %error),
        }
    }
    if !is_designated(
        ObjectKind::Instances.as_str(),
        &context.instance,
        &mut heard.iter(),
    ) {
        return;
    }
    for name in gone {
        match remove(context, client, &name).await {
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
    if *publisher.borrow().peers != instances {
        info!(context.log, "peers changed"; "peers" => instances.len());
        publish(publisher, |snapshot| snapshot.peers = Arc::new(instances));
    }
}

async fn remove(
    context: &ControlContext,
    client: &mut HttpClient,
    name: &InstanceId,
) -> Result<(), StoreError> {
    context.metrics.store_call(StoreCall::Write);
    let request = delete_request(ObjectKind::Instances, name);
    let (status, _) = client.call(request, CALL_LIMIT).await?;
    Ok(decode_delete(status)?)
}

/// Creates or replaces the object of this instance; returns whether it is new.
async fn write(context: &ControlContext, client: &mut HttpClient) -> Result<bool, ListingError> {
    let content = json!({
        "peer_address": context.peer_address.to_string(),
        "zone": context.zone,
    });
    let create = create_request(ObjectKind::Instances, &context.instance, &content);
    match put(context, client, create).await? {
        PutOutcome::Done(_) => return Ok(true),
        PutOutcome::Conflict(object) if object.content == content => return Ok(false),
        PutOutcome::Conflict(_) | PutOutcome::Missing => {}
    }
    let replace = replace_request(ObjectKind::Instances, &context.instance, &content, None);
    match put(context, client, replace).await? {
        PutOutcome::Done(_) => Ok(false),
        PutOutcome::Conflict(_) | PutOutcome::Missing => Err(ListingError::NotWritten),
    }
}

async fn put(
    context: &ControlContext,
    client: &mut HttpClient,
    request: http::Request<bytes::Bytes>,
) -> Result<PutOutcome, ListingError> {
    context.metrics.store_call(StoreCall::Write);
    let answer = client.call(request, CALL_LIMIT).await;
    let (status, body) = answer.map_err(|error| ListingError::Store(error.into()))?;
    decode_put(status, &body).map_err(|fault| ListingError::Store(fault.into()))
}

/// Reads the list of instances from the store or from a relay.
struct InstanceReader {
    context: ControlContext,
    relays: RelayReader,
    /// Version of the newest list.
    have: Option<ObjectVersion>,
    /// Objects of the newest list that the store gave.
    stored: Vec<StoreObject>,
    /// Whether the next list comes from the store whatever the relays have.
    check: bool,
}

impl InstanceReader {
    fn new(sources: Sources) -> Self {
        Self {
            context: sources.context.clone(),
            relays: RelayReader::new(RelayKind::Instances, sources),
            have: None,
            stored: Vec::new(),
            check: true,
        }
    }

    /// Returns all instances in the order of their names; `None` if there is nothing new.
    async fn read(&mut self, client: &mut HttpClient) -> Result<Option<Vec<Peer>>, StoreError> {
        let source = match std::mem::take(&mut self.check) {
            true => UpdateSource::Store,
            false => self.relays.source(),
        };
        let objects = match source {
            UpdateSource::Wait | UpdateSource::Store => self.list(client).await?,
            UpdateSource::Relay(relay) => {
                self.relays.on_store_unheard();
                match self.relays.ask(&relay, self.have, Duration::ZERO).await {
                    Ok(Relayed::All(version, objects)) => {
                        self.have = Some(version);
                        // A relay's list may be older than this instance's own entry.
                        let own = &self.context.instance;
                        self.check = !objects.iter().any(|object| object.name == *own);
                        if self.check {
                            return Ok(None);
                        }
                        objects
                    }
                    Ok(_) => return Ok(None),
                    Err(error) => {
                        info!(self.context.log, "relay not asked"; "kind" => "instances",
                            "peer" => %relay, "cause" => %error);
                        return Ok(None);
                    }
                }
            }
        };
        let mut instances: Vec<_> = objects.iter().filter_map(peer).collect();
        instances.sort();
        Ok(Some(instances))
    }

    /// Lists all instances at the store.
    async fn list(&mut self, client: &mut HttpClient) -> Result<Vec<StoreObject>, StoreError> {
        let mut objects = Vec::new();
        let mut version = 0;
        let mut after: Option<SmolStr> = None;
        loop {
            self.context.metrics.store_call(StoreCall::StaleList);
            let request = list_request(ObjectKind::Instances, after.as_deref(), true);
            let (status, body) = client.call(request, CALL_LIMIT).await?;
            let page = decode_list(status, &body)?;
            objects.extend(page.objects);
            version = page.store_version.max(version);
            after = page.next_after;
            if after.is_none() {
                break;
            }
        }
        // Others are told only of lists that differ.
        if objects != self.stored || self.have.is_none() {
            self.stored.clone_from(&objects);
            self.have = Some(version);
        }
        let have = self.have.unwrap_or(version);
        self.relays.on_store_list(have, &self.stored);
        Ok(objects)
    }
}

fn peer(object: &StoreObject) -> Option<Peer> {
    let content = &object.content;
    Some(Peer {
        name: object.name.clone(),
        zone: content.get("zone")?.as_str()?.into(),
        address: content.get("peer_address")?.as_str()?.parse().ok()?,
    })
}
