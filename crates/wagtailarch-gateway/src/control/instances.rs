//! The entry instances, which find each other through objects of their own in the store.

use std::{sync::Arc, time::Duration};

use displaydoc::Display;
use serde_json::json;
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::{sync::watch, time::sleep};
use wagtailarch_adapter::{
    Kind, PutOutcome, StoreObject, create_request, decode_list, decode_put, list_request,
    replace_request,
};

use crate::{
    control::{ControlContext, publish, store_error::StoreError},
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

/// Keeps this instance listed and publishes the others.
pub async fn keep_listed(context: ControlContext, publisher: Arc<watch::Sender<Arc<Snapshot>>>) {
    let mut client = HttpClient::new(context.store_address);
    while let Err(error) = write(&context, &mut client).await {
        warn!(context.log, "instance not listed"; "cause" => %error);
        sleep(SHORT_PAUSE).await;
    }
    let mut lists = 0;
    loop {
        match list(&context, &mut client).await {
            Ok(peers) if *publisher.borrow().peers != peers => {
                info!(context.log, "peers changed"; "peers" => peers.len());
                publish(&publisher, |snapshot| snapshot.peers = Arc::new(peers));
            }
            Ok(_) => {}
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

/// Creates or replaces the object of this instance.
async fn write(context: &ControlContext, client: &mut HttpClient) -> Result<(), ListingError> {
    let content = json!({
        "peer_address": context.peer_address.to_string(),
        "zone": context.zone,
    });
    let create = create_request(Kind::Instances, &context.instance, &content);
    match put(context, client, create).await? {
        PutOutcome::Done(_) => return Ok(()),
        PutOutcome::Conflict(object) if object.content == content => return Ok(()),
        PutOutcome::Conflict(_) | PutOutcome::Missing => {}
    }
    let replace = replace_request(Kind::Instances, &context.instance, &content, None);
    match put(context, client, replace).await? {
        PutOutcome::Done(_) => Ok(()),
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

/// Lists the other instances in the order of their names.
async fn list(context: &ControlContext, client: &mut HttpClient) -> Result<Vec<Peer>, StoreError> {
    let mut peers = Vec::new();
    let mut after: Option<SmolStr> = None;
    loop {
        context.metrics.store_call(StoreCall::StaleList);
        let request = list_request(Kind::Instances, after.as_deref(), true);
        let (status, body) = client.call(request, CALL_LIMIT).await?;
        let page = decode_list(status, &body)?;
        let others = page.objects.iter().filter_map(peer);
        peers.extend(others.filter(|peer| peer.name != context.instance));
        after = page.next_after;
        if after.is_none() {
            break;
        }
    }
    peers.sort();
    Ok(peers)
}

fn peer(object: &StoreObject) -> Option<Peer> {
    let content = &object.content;
    Some(Peer {
        name: object.name.clone(),
        zone: content.get("zone")?.as_str()?.into(),
        address: content.get("peer_address")?.as_str()?.parse().ok()?,
    })
}
