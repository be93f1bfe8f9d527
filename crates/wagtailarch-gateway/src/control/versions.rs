//! Records in the store of which software versions streams may be open.
//!
//! An instance that starts lists the servers of today. The record tells it of versions whose last
//! server left before, so that it does not take the only version that it lists for that of a stream
//! which a client takes up. Nothing is written while the versions of a service do not change.

use std::{sync::Arc, time::Duration};

use displaydoc::Display;
use indexmap::{IndexMap, IndexSet};
use serde_json::{Value, json};
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use wagtailarch_adapter::{
    ObjectKind, PutOutcome, StoreObject, create_request, decode_put, decode_server, decode_watch,
    replace_request, watch_request,
};
use wagtailarch_dispatch::{STREAM_LIFETIME, is_designated};
use wagtailarch_types::{InstanceId, ObjectVersion, ServiceName, SoftwareVersion};

use crate::{
    control::{ControlContext, object_list::list_objects, publish, store_error::StoreError},
    http_client::{CONNECT_LIMIT, HttpClient},
    metrics::StoreCall,
    snapshot::{Snapshot, VersionRecord},
};

/// Interval between two comparisons of the record with the servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between the start and the first comparison; load notes of peers arrive before, so that few
/// instances compare at the same time.
const START_DELAY: Duration = Duration::from_millis(1_500);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Timeout for a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Wait of a watch that returns the changes until now.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Pause between two reads, which serve all take-ups that wait for them.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Why the versions of which streams may be open could not be read.
#[derive(Debug, Display)]
enum ReadError {
    /// {0}
    Store(StoreError),
    /// the servers have not been read
    NoServers,
    /// server {0} came and left since the last read
    UnknownServer(InstanceId),
}

impl<E: Into<StoreError>> From<E> for ReadError {
    fn from(error: E) -> Self {
        Self::Store(error.into())
    }
}

/// Why the record could not be written.
#[derive(Debug, Display)]
enum RecordError {
    /// {0}
    Store(StoreError),
    /// another instance changed the record at the same time
    Conflict,
}

impl<E: Into<StoreError>> From<E> for RecordError {
    fn from(error: E) -> Self {
        Self::Store(error.into())
    }
}

/// The recorded versions of one service.
#[derive(Debug, Clone, Default)]
struct RecordedService {
    /// Version of the object; absent before it exists.
    object_version: Option<ObjectVersion>,
    versions: IndexSet<SoftwareVersion>,
    /// Recorded versions without a server, with the time since when.
    unused_since: IndexMap<SoftwareVersion, Instant>,
}

/// Keeps the record up to date while this instance is designated for it, and reads it for the
/// traffic thread on request.
pub async fn maintain_version_record(
    context: ControlContext,
    publisher: Arc<watch::Sender<Arc<Snapshot>>>,
) {
    tokio::join!(
        read_on_request(&context, &publisher),
        write_record(&context, &publisher),
    );
}

async fn read_on_request(context: &ControlContext, publisher: &watch::Sender<Arc<Snapshot>>) {
    let mut client = HttpClient::new(context.store_address, CONNECT_LIMIT);
    loop {
        context.traffic.version_record_requested().await;
        let snapshot = Arc::clone(&publisher.borrow());
        match read(context, &mut client, &snapshot).await {
            Ok(record) => {
                info!(context.log, "recorded versions read"; "services" => record.services.len(),
                    "changed" => record.changed.len());
                let record = Arc::new(record);
                publish(publisher, |snapshot| snapshot.version_record = Some(record));
            }
            Err(error) => {
                warn!(context.log, "recorded versions not read"; "cause" => %error);
            }
        }
        sleep(READ_PAUSE).await;
    }
}

/// Reads the versions of which streams may be open now.
///
/// A response to a call that is sent now is the only proof that the servers of the snapshot are
/// current: the clocks of an instance that stood still may not show it.
async fn read(
    context: &ControlContext,
    client: &mut HttpClient,
    snapshot: &Snapshot,
) -> Result<VersionRecord, ReadError> {
    let read_at = context.epoch.elapsed();
    let since = snapshot.servers_since;
    let is_recorded = since.is_none_or(|since| read_at.saturating_sub(since) < STREAM_LIFETIME);
    let services = match is_recorded {
        true => list(context, client).await?,
        // The record names no version that this instance has not seen.
        false => Vec::new(),
    };
    let services = services.iter().map(|object| {
        let versions = versions(object).into_iter().collect();
        (object.name.clone(), versions)
    });
    Ok(VersionRecord {
        read_at,
        services: services.collect(),
        changed: read_changes(context, client, snapshot).await?,
    })
}

/// Reads the versions of servers that have changed since the snapshot.
async fn read_changes(
    context: &ControlContext,
    client: &mut HttpClient,
    snapshot: &Snapshot,
) -> Result<Vec<(ServiceName, SoftwareVersion)>, ReadError> {
    let kind = ObjectKind::Servers;
    let after = snapshot.servers_read.ok_or(ReadError::NoServers)?;
    context.metrics.count_store_call(StoreCall::Watch);
    let request = watch_request(kind, after, MIN_WAIT)?;
    let (status, body) = client.call(request, CALL_TIMEOUT).await?;
    let mut changed: IndexMap<InstanceId, (ServiceName, SoftwareVersion)> = IndexMap::new();
    for (object, deleted) in decode_watch(kind, status, &body)?.changes {
        let is_listed = || {
            snapshot
                .servers
                .iter()
                .any(|server| server.id == object.name)
        };
        if !deleted {
            // The watch of the servers logs registrations that cannot be decoded.
            if let Ok(server) = decode_server(&object.name, &object.content) {
                changed.insert(object.name, (server.service, server.version));
            }
        } else if !changed.contains_key(&object.name) && !is_listed() {
            return Err(ReadError::UnknownServer(object.name));
        }
    }
    Ok(changed.into_values().collect())
}

async fn write_record(context: &ControlContext, publisher: &watch::Sender<Arc<Snapshot>>) {
    let mut client = HttpClient::new(context.store_address, CONNECT_LIMIT);
    let mut record: Option<IndexMap<ServiceName, RecordedService>> = None;
    sleep(START_DELAY).await;
    loop {
        let snapshot = Arc::clone(&publisher.borrow());
        let peers = context.live_peers();
        let peers = peers.iter().map(|(name, _)| name);
        let duty = ObjectKind::ServiceVersions.as_str();
        if snapshot.servers_since.is_none() || !is_designated(duty, &context.instance, peers) {
            record = None;
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let result = match &mut record {
            Some(record) => update(context, &mut client, record, &snapshot).await,
            None => match list(context, &mut client).await {
                Ok(objects) => {
                    record = Some(objects.iter().map(recorded_service).collect());
                    Ok(())
                }
                Err(error) => Err(RecordError::Store(error)),
            },
        };
        if let Err(error) = result {
            warn!(context.log, "software versions not recorded"; "cause" => %error);
            record = None;
            sleep(RETRY_DELAY).await;
        } else {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

fn recorded_service(object: &StoreObject) -> (ServiceName, RecordedService) {
    let service = RecordedService {
        object_version: Some(object.version),
        versions: versions(object),
        unused_since: IndexMap::new(),
    };
    (object.name.clone(), service)
}

/// Returns the versions in an object; one that cannot be read holds none.
fn versions(object: &StoreObject) -> IndexSet<SoftwareVersion> {
    let versions = object.content.get("versions").and_then(Value::as_array);
    let versions = versions.into_iter().flatten().filter_map(Value::as_str);
    versions.map(SmolStr::from).collect()
}

/// Writes the services whose versions have changed.
async fn update(
    context: &ControlContext,
    client: &mut HttpClient,
    record: &mut IndexMap<ServiceName, RecordedService>,
    snapshot: &Snapshot,
) -> Result<(), RecordError> {
    let mut current: IndexMap<&ServiceName, IndexSet<SoftwareVersion>> = IndexMap::new();
    for server in snapshot.servers.iter() {
        let versions = current.entry(&server.service).or_default();
        versions.insert(server.version.clone());
    }
    for (service, in_service) in current {
        let recorded = record.entry(service.clone()).or_default();
        let mut versions: IndexSet<_> = recorded.versions.union(&in_service).cloned().collect();
        recorded
            .unused_since
            .retain(|version, _| !in_service.contains(version));
        let now = Instant::now();
        for version in recorded.versions.difference(&in_service) {
            let since = *recorded.unused_since.entry(version.clone()).or_insert(now);
            if now.saturating_duration_since(since) >= STREAM_LIFETIME {
                versions.shift_remove(version);
            }
        }
        if versions == recorded.versions {
            continue;
        }
        let object_version = write(context, client, service, recorded.object_version, &versions);
        recorded.object_version = Some(object_version.await?);
        info!(context.log, "software versions recorded"; "service" => %service,
            "versions" => versions.iter().map(SmolStr::as_str).collect::<Vec<_>>().join(","));
        recorded.versions = versions;
    }
    Ok(())
}

async fn write(
    context: &ControlContext,
    client: &mut HttpClient,
    service: &ServiceName,
    object_version: Option<ObjectVersion>,
    versions: &IndexSet<SoftwareVersion>,
) -> Result<ObjectVersion, RecordError> {
    let versions: Vec<_> = versions.iter().map(SmolStr::as_str).collect();
    let content = json!({ "versions": versions });
    let kind = ObjectKind::ServiceVersions;
    let request = match object_version {
        None => create_request(kind, service, &content)?,
        Some(version) => replace_request(kind, service, &content, Some(version))?,
    };
    context.metrics.count_store_call(StoreCall::Write);
    let (status, body) = client.call(request, CALL_TIMEOUT).await?;
    match decode_put(kind, status, &body)? {
        PutOutcome::Done(version) => Ok(version),
        PutOutcome::Conflict(_) | PutOutcome::Missing => Err(RecordError::Conflict),
    }
}

/// Lists the recorded services; a version that a list lacks would pass for one never in service.
async fn list(
    context: &ControlContext,
    client: &mut HttpClient,
) -> Result<Vec<StoreObject>, StoreError> {
    let kind = ObjectKind::ServiceVersions;
    let list = list_objects(context, client, kind, false, CALL_TIMEOUT).await?;
    match list.is_complete {
        true => Ok(list.objects),
        false => Err(StoreError::IncompleteList),
    }
}
