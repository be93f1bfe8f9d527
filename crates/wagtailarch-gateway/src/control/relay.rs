//! Relays objects that this instance reads from the store to other instances of its zone.

use std::{
    cell::RefCell,
    convert::Infallible,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use indexmap::IndexMap;
use slog::{Logger, debug, warn};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    time::{sleep, timeout},
};
use wagtailarch_adapter::{StoreObject, hash_keys};
use wagtailarch_dispatch::{
    LogSource, MAX_RELAYED_BYTES, RelayChange, RelayLog, RelayView, StoreRead,
};
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::relay::{
    RELAY_PATH, RelayKind, RelayRequest, RelayResponse, RelayedObject, RelayedRead, decode, encode,
};

/// Maximum number of connections; each instance uses one for each kind of objects.
const MAX_CONNECTIONS: usize = 400;
/// Maximum size of a request; it has about ten bytes.
const MAX_REQUEST_BYTES: usize = 256;
/// Maximum time for which a request waits for an update.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Time for which a connection may stay idle; clients send their next request immediately.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The objects that this instance has read, for other instances.
#[derive(Debug, Clone)]
pub struct Relay {
    logs: Rc<RefCell<IndexMap<RelayKind, RelayLog<RelayedObject>>>>,
    /// Notified after each change of a log.
    changed: watch::Sender<()>,
    /// Start of the process.
    epoch: Instant,
}

impl Relay {
    /// Creates a relay without objects.
    pub fn new(epoch: Instant) -> Self {
        Self {
            logs: Rc::default(),
            changed: watch::Sender::new(()),
            epoch,
        }
    }

    /// Records a complete list.
    pub fn on_list(
        &self,
        kind: RelayKind,
        source: LogSource,
        read: StoreRead,
        objects: &[StoreObject],
    ) {
        let objects = objects.iter();
        let objects = objects.map(|object| (object.name.clone(), encode_object(object)));
        self.change(kind, |log| log.on_list(source, read, objects.collect()));
    }

    /// Records all changes after the version `after`; returns whether all objects are known.
    #[must_use]
    pub fn on_changes(
        &self,
        kind: RelayKind,
        source: LogSource,
        after: ObjectVersion,
        read: StoreRead,
        changes: &[(StoreObject, bool)],
    ) -> bool {
        let changes = changes.iter().map(|(object, deleted)| {
            let relayed = encode_object(object);
            RelayChange {
                name: object.name.clone(),
                deleted: *deleted,
                size_bytes: relayed.content.len(),
                object: relayed,
            }
        });
        self.change(kind, |log| {
            log.on_changes(source, after, read, changes.collect())
        })
    }

    /// Marks the objects as outdated while this instance does not read them from the store itself.
    pub fn suspend(&self, kind: RelayKind) {
        self.change(kind, RelayLog::on_store_lost);
    }

    fn change<R>(
        &self,
        kind: RelayKind,
        change: impl FnOnce(&mut RelayLog<RelayedObject>) -> R,
    ) -> R {
        let result = change(self.logs.borrow_mut().entry(kind).or_default());
        self.changed.send_replace(());
        result
    }

    /// Responds to a request; waits for an update if there is none yet.
    async fn wait_for_update(&self, request: RelayRequest) -> RelayResponse {
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_WAIT);
        let mut changed = self.changed.subscribe();
        let update = async {
            loop {
                let response = self.current_response(&request);
                if !matches!(response, RelayResponse::Unchanged(_)) {
                    return response;
                }
                if changed.changed().await.is_err() {
                    return RelayResponse::Unknown;
                }
            }
        };
        match timeout(wait, update).await {
            Ok(response) => response,
            Err(_) => self.current_response(&request),
        }
    }

    fn current_response(&self, request: &RelayRequest) -> RelayResponse {
        let logs = self.logs.borrow();
        let log = logs.get(&request.kind);
        match log.map_or(RelayView::Unknown, |log| log.view(request.have)) {
            RelayView::Unknown => RelayResponse::Unknown,
            RelayView::Unchanged(read) => RelayResponse::Unchanged(self.relayed(read)),
            RelayView::All(read, objects) => {
                let objects: Vec<_> = objects.into_iter().map(|(_, object)| object).collect();
                let size_bytes: usize = objects.iter().map(|object| object.content.len()).sum();
                match size_bytes > MAX_RELAYED_BYTES {
                    true => RelayResponse::TooLarge,
                    false => RelayResponse::All(self.relayed(read), objects),
                }
            }
            // The log keeps no more changes than a response may have.
            RelayView::Changes(read, changes) => {
                let changes = changes.into_iter();
                let changes = changes.map(|change| (change.object, change.deleted));
                RelayResponse::Changes(self.relayed(read), changes.collect())
            }
        }
    }

    /// Returns a read with its present age.
    fn relayed(&self, read: StoreRead) -> RelayedRead {
        let age = self.epoch.elapsed().saturating_sub(read.at);
        RelayedRead {
            version: read.version,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

fn encode_object(object: &StoreObject) -> RelayedObject {
    RelayedObject {
        name: object.name.clone(),
        version: object.version,
        content: object.content.to_string(),
    }
}

/// Decodes an object that a relay sent; a relay of an older build sends keys instead of hashes.
pub fn decode_object(
    kind: RelayKind,
    object: RelayedObject,
) -> Result<StoreObject, serde_json::Error> {
    let mut content = serde_json::from_str(&object.content)?;
    if kind == RelayKind::Routing {
        hash_keys(&mut content, true);
    }
    Ok(StoreObject {
        content,
        name: object.name,
        version: object.version,
    })
}

/// Serves the requests of other instances until the process ends.
pub async fn serve_relay(relay: Relay, listener: Rc<TcpListener>, log: Logger) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "accept failed"; "cause" => %error);
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            warn!(log, "relay request refused"; "cause" => "too many connections",
                "limit" => MAX_CONNECTIONS);
            continue;
        };
        let relay = relay.clone();
        let log = log.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            let service = service_fn(|request| {
                let relay = relay.clone();
                async move { Ok::<_, Infallible>(respond(&relay, request).await) }
            });
            let result = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                debug!(log, "relay connection ended"; "cause" => %error);
            }
        });
    }
}

async fn respond(relay: &Relay, http_request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match read_request(http_request).await {
        Some(request) => match encode(&relay.wait_for_update(request).await) {
            Ok(body) => (StatusCode::OK, body),
            Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
        },
        None => (StatusCode::BAD_REQUEST, Vec::new()),
    };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}

/// Decodes a request; returns `None` for anything else.
async fn read_request(http_request: Request<Incoming>) -> Option<RelayRequest> {
    if http_request.uri().path() != RELAY_PATH {
        return None;
    }
    let body = Limited::new(http_request.into_body(), MAX_REQUEST_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    let request: RelayRequest = decode(&body).ok()?;
    request.is_supported().then_some(request)
}
