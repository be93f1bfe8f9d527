//! Passing on what this instance reads from the store to others of its zone.

use std::{cell::RefCell, convert::Infallible, rc::Rc, sync::Arc, time::Duration};

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
use wagtailarch_adapter::StoreObject;
use wagtailarch_dispatch::{RelayChange, RelayLog, RelayView};
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::relay::{
    RELAY_PATH, RELAY_VERSION, RelayKind, RelayRequest, RelayResponse, RelayedObject, decode,
    encode,
};

/// Connections of other instances at once; each asks over one for each kind.
const MAX_CONNECTIONS: usize = 400;
/// Greatest size of a question; it has about ten bytes.
const MAX_QUESTION_BYTES: usize = 256;
/// Greatest size of the objects in an answer.
///
/// Sixty instances that take over a larger one at once would fill the link of a small machine,
/// 20 Mbit/s, for more than a second.
const MAX_OBJECT_BYTES: usize = 64 * 1024;
/// Longest time for which a question waits for news.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Time for which a connection may stay idle; the next question follows at once.
const IDLE: Duration = Duration::from_secs(30);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What this instance has read from the store itself, for others.
#[derive(Debug, Clone)]
pub struct Relay {
    logs: Rc<RefCell<IndexMap<RelayKind, RelayLog<StoreObject>>>>,
    /// Changed with each change of a log.
    changed: watch::Sender<()>,
}

impl Relay {
    /// Creates a relay that knows nothing.
    pub fn new() -> Self {
        Self {
            logs: Rc::default(),
            changed: watch::Sender::new(()),
        }
    }

    /// Takes over a complete list of the store.
    pub fn on_list(&self, kind: RelayKind, position: ObjectVersion, objects: &[StoreObject]) {
        let objects = objects.iter();
        let objects = objects.map(|object| (object.name.clone(), object.clone()));
        self.change(kind, |log| log.on_list(position, objects.collect()));
    }

    /// Takes over changes of the store.
    pub fn on_changes(
        &self,
        kind: RelayKind,
        position: ObjectVersion,
        changes: &[(StoreObject, bool)],
    ) {
        let changes = changes.iter().map(|(object, deleted)| RelayChange {
            name: object.name.clone(),
            object: object.clone(),
            deleted: *deleted,
        });
        self.change(kind, |log| log.on_changes(position, changes.collect()));
    }

    /// Notes that this instance does not hear the store itself at present.
    pub fn on_lost(&self, kind: RelayKind) {
        self.change(kind, RelayLog::on_store_lost);
    }

    fn change(&self, kind: RelayKind, change: impl FnOnce(&mut RelayLog<StoreObject>)) {
        change(self.logs.borrow_mut().entry(kind).or_default());
        self.changed.send_replace(());
    }

    /// Answers a question, after its wait if there is no news.
    async fn answer(&self, question: RelayRequest) -> RelayResponse {
        let wait = Duration::from_millis(question.wait_ms.into()).min(MAX_WAIT);
        let mut changed = self.changed.subscribe();
        let news = async {
            loop {
                let answer = self.view(&question);
                if answer != RelayResponse::Unchanged {
                    return answer;
                }
                if changed.changed().await.is_err() {
                    return RelayResponse::Unknown;
                }
            }
        };
        timeout(wait, news)
            .await
            .unwrap_or(RelayResponse::Unchanged)
    }

    fn view(&self, question: &RelayRequest) -> RelayResponse {
        let logs = self.logs.borrow();
        let log = logs.get(&question.kind);
        match log.map_or(RelayView::Unknown, |log| log.view(question.have)) {
            RelayView::Unknown => RelayResponse::Unknown,
            RelayView::Unchanged => RelayResponse::Unchanged,
            RelayView::All(position, objects) => {
                let objects: Vec<_> = objects.iter().map(|(_, object)| encoded(object)).collect();
                if too_large(objects.iter()) {
                    return RelayResponse::TooLarge;
                }
                RelayResponse::All(position, objects)
            }
            RelayView::Changes(position, changes) => {
                let changes = changes.iter();
                let changes: Vec<_> = changes
                    .map(|change| (encoded(&change.object), change.deleted))
                    .collect();
                if too_large(changes.iter().map(|(object, _)| object)) {
                    return RelayResponse::TooLarge;
                }
                RelayResponse::Changes(position, changes)
            }
        }
    }
}

fn encoded(object: &StoreObject) -> RelayedObject {
    RelayedObject {
        name: object.name.clone(),
        version: object.version,
        content: object.content.to_string(),
    }
}

/// Restores an object that a relay passed on.
pub fn decoded(object: RelayedObject) -> Result<StoreObject, serde_json::Error> {
    Ok(StoreObject {
        content: serde_json::from_str(&object.content)?,
        name: object.name,
        version: object.version,
    })
}

fn too_large<'a>(objects: impl Iterator<Item = &'a RelayedObject>) -> bool {
    objects.map(|object| object.content.len()).sum::<usize>() > MAX_OBJECT_BYTES
}

/// Answers the questions of other instances until the process ends.
pub async fn serve_relay(relay: Relay, listener: Rc<TcpListener>, log: Logger) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "accept failed"; "cause" => %error);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            warn!(log, "question refused"; "cause" => "too many connections",
                "limit" => MAX_CONNECTIONS);
            continue;
        };
        let relay = relay.clone();
        let log = log.clone();
        tokio::task::spawn_local(async move {
            let _place = place;
            let service = service_fn(|request| {
                let relay = relay.clone();
                async move { Ok::<_, Infallible>(respond(&relay, request).await) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                debug!(log, "question ended"; "cause" => %error);
            }
        });
    }
}

async fn respond(relay: &Relay, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match question(request).await {
        Some(question) => match encode(&relay.answer(question).await) {
            Ok(body) => (StatusCode::OK, body),
            Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
        },
        None => (StatusCode::BAD_REQUEST, Vec::new()),
    };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}

/// Reads a question; `None` for anything else.
async fn question(request: Request<Incoming>) -> Option<RelayRequest> {
    if request.uri().path() != RELAY_PATH {
        return None;
    }
    let body = Limited::new(request.into_body(), MAX_QUESTION_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    let question: RelayRequest = decode(&body).ok()?;
    (question.version == RELAY_VERSION).then_some(question)
}
