//! Process of the stand-in platform.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use displaydoc::Display;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::sync::watch;
use wagtailarch_types::{InstanceId, ObjectVersion};
use wagtailarch_wire::platform::{
    INSTANCES_PATH, LIST_PATH, ListedInstance, ListedState, OBJECTS_PATH_PREFIX, WATCH_PATH,
};

use super::faults::{Faults, LostResponses, Milliseconds, PlatformCounters, RateLimit};
use super::instances::InstanceRegistry;
use super::store::{Precondition, Store, StoreError};
use crate::engine::settings::{millis, option};
use crate::serve::{
    Body, ServeError, build_response, json_response, listen, query_value, read_body, read_json,
    serve_http, shutdown_signal,
};

/// Help text of the platform's options.
pub const PLATFORM_HELP: &str = "\
OPTIONS:
  --port <N>           port on loopback; 0 selects a free port and prints it [0]
  --writes-per-s <N>   limit of writes [300]
  --reads-per-s <N>    limit of reads; a waiting watch counts once [2000]
  --delay-ms <N>       delay of every call [2]
  --list-lag-ms <N>    minimum age of the list of instances when it is read [500]

CONTROL (JSON bodies, under /standin/v1/):
  POST outage {ms}, delay {ms}, list-lag {ms}, lose-answers {count, prefix}
  POST instances <one item of the list>, instances/state {id, state}; DELETE instances/<id>
  GET  counters";

/// Maximum wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Path prefix of the control API.
const CONTROL_PREFIX: &str = "/standin/v1/";

/// the response is lost and the connection is closed
#[derive(Debug, Clone, Copy, Display)]
struct ResponseLost;

impl std::error::Error for ResponseLost {}

/// Settings of the platform.
#[derive(Debug, Clone, Copy)]
pub struct PlatformSettings {
    /// Port on loopback; 0 selects a free one.
    pub port: u16,
    /// Maximum number of writes per second.
    pub writes_per_s: f64,
    /// Maximum number of reads per second.
    pub reads_per_s: f64,
    /// Delay of every call except control calls.
    pub delay: Duration,
    /// Time by which the list of instances lags behind changes.
    pub list_lag: Duration,
}

impl PlatformSettings {
    /// Reads the settings from options.
    pub fn from_args(args: &mut pico_args::Arguments) -> Result<Self, ServeError> {
        Ok(Self {
            port: option(args, "--port", 0)?,
            writes_per_s: option(args, "--writes-per-s", 300.0)?,
            reads_per_s: option(args, "--reads-per-s", 2000.0)?,
            delay: millis(args, "--delay-ms", 2)?,
            list_lag: millis(args, "--list-lag-ms", 500)?,
        })
    }
}

/// State of the platform behind one lock.
struct Inner {
    store: Store,
    instances: InstanceRegistry,
    faults: Faults,
    counters: PlatformCounters,
    writes: RateLimit,
    reads: RateLimit,
}

/// A running platform.
struct Platform {
    inner: Mutex<Inner>,
    /// Version of the store and number of outages so far; wakes waiting watches when it changes.
    changed: watch::Sender<(ObjectVersion, u64)>,
}

/// Body of the control call that sets the state of an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StateChange {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// New state of the instance.
    pub state: ListedState,
}

/// Runs the platform until SIGTERM.
pub async fn run_platform(settings: PlatformSettings, logger: Logger) -> Result<(), ServeError> {
    let listener = listen(settings.port).await?;
    let platform = Arc::new(Platform::new(&settings));
    let server = serve_http(listener, move |request| {
        Arc::clone(&platform).handle(request)
    });
    tokio::select! {
        () = server => {}
        () = shutdown_signal(&logger) => {}
    }
    Ok(())
}

impl Platform {
    fn new(settings: &PlatformSettings) -> Self {
        let now = Instant::now();
        let inner = Inner {
            store: Store::default(),
            instances: InstanceRegistry::new(settings.list_lag),
            faults: Faults {
                delay: settings.delay,
                ..Faults::default()
            },
            counters: PlatformCounters::default(),
            writes: RateLimit::new(settings.writes_per_s, now),
            reads: RateLimit::new(settings.reads_per_s, now),
        };
        Self {
            inner: Mutex::new(inner),
            changed: watch::Sender::new((0, 0)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ResponseLost> {
        let path = request.uri().path().to_owned();
        if let Some(call) = path.strip_prefix(CONTROL_PREFIX) {
            return Ok(self
                .handle_control(call, request)
                .await
                .unwrap_or_else(|refusal| refusal));
        }
        let delay = self.lock().faults.delay;
        tokio::time::sleep(delay).await;
        let is_write = matches!(*request.method(), Method::PUT | Method::DELETE);
        if let Some(refusal) = self.lock().check_limits(is_write) {
            return Ok(refusal);
        }
        let query = request.uri().query().map(str::to_owned);
        let query = query.as_deref();
        match path.as_str() {
            LIST_PATH => Ok(self.list(query)),
            WATCH_PATH => Ok(self.watch(query).await),
            INSTANCES_PATH => {
                let list = self.lock().instances.list(Instant::now());
                Ok(json_response(StatusCode::OK, &list))
            }
            _ => match path.strip_prefix(OBJECTS_PATH_PREFIX) {
                Some(key) => {
                    let key = percent_encoding::percent_decode_str(key).decode_utf8_lossy();
                    self.object(&key, request).await
                }
                None => Ok(build_response(StatusCode::NOT_FOUND, "no such call")),
            },
        }
    }

    /// Reads, writes or deletes an object.
    async fn object(
        &self,
        key: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ResponseLost> {
        let method = request.method().clone();
        let Some(precondition) = parse_precondition(request.headers()) else {
            return Ok(build_response(
                StatusCode::BAD_REQUEST,
                "malformed condition",
            ));
        };
        if method == Method::GET {
            let found = self.lock().store.get(key);
            return Ok(match found {
                Some((version, value)) => with_etag(build_response(StatusCode::OK, value), version),
                None => build_response(StatusCode::NOT_FOUND, ""),
            });
        }
        let value = match read_body(request).await {
            Ok(value) => value,
            Err(refusal) => return Ok(refusal),
        };
        let mut inner = self.lock();
        let inner = &mut *inner;
        let result = match method {
            Method::PUT => inner.store.put(key, value, precondition).map(Some),
            Method::DELETE => inner.store.delete(key, precondition).map(|()| None),
            _ => return Ok(build_response(StatusCode::METHOD_NOT_ALLOWED, "")),
        };
        self.changed
            .send_modify(|(version, _)| *version = inner.store.version());
        inner.counters.mismatches += u64::from(result == Err(StoreError::Mismatch));
        if result.is_ok() && inner.faults.take_lost_response(key) {
            inner.counters.lost_responses += 1;
            return Err(ResponseLost);
        }
        Ok(match result {
            Ok(Some(version)) => with_etag(build_response(StatusCode::OK, ""), version),
            Ok(None) => build_response(StatusCode::NO_CONTENT, ""),
            Err(error) => build_response(error_status(error), error.to_string()),
        })
    }

    fn list(&self, query: Option<&str>) -> Response<Body> {
        let prefix = query_value(query, "prefix").unwrap_or_default();
        let after = query_value(query, "after").unwrap_or_default();
        let limit = query_value(query, "limit").and_then(|text| text.parse().ok());
        let list = self
            .lock()
            .store
            .list(&prefix, &after, limit.unwrap_or(1000));
        json_response(StatusCode::OK, &list)
    }

    /// Waits for changes until the wait of the call elapses or an outage begins.
    async fn watch(&self, query: Option<&str>) -> Response<Body> {
        let prefix = query_value(query, "prefix").unwrap_or_default();
        let number_parameter =
            |name| query_value(query, name).and_then(|text| text.parse::<u64>().ok());
        let since = number_parameter("since").unwrap_or(0);
        let wait = Duration::from_millis(number_parameter("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            let found = {
                let inner = self.lock();
                if inner.faults.is_down(Instant::now()) {
                    return build_response(StatusCode::SERVICE_UNAVAILABLE, "outage");
                }
                inner.store.changes(&prefix, since)
            };
            match found {
                Err(error) => return build_response(error_status(error), error.to_string()),
                Ok(found) => {
                    let timed_out = tokio::time::Instant::now() >= deadline;
                    if !found.events.is_empty() || timed_out {
                        return json_response(StatusCode::OK, &found);
                    }
                }
            }
            // The next iteration checks the deadline.
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }

    /// Handles a control call and returns the response, as an error if the body was rejected.
    async fn handle_control(
        &self,
        call: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Response<Body>> {
        let now = Instant::now();
        if request.method() == Method::DELETE {
            let id = call.strip_prefix("instances/").unwrap_or_default();
            return Ok(instance_response(self.lock().instances.remove(id, now)));
        }
        let duration = async |request| {
            let body: Milliseconds = read_json(request).await?;
            Ok::<_, Response<Body>>(Duration::from_millis(body.ms))
        };
        match call {
            "counters" => return Ok(json_response(StatusCode::OK, &self.lock().counters)),
            "outage" => {
                let time = duration(request).await?;
                self.lock().faults.outage_until = Some(now + time);
                self.changed.send_modify(|(_, outages)| *outages += 1);
            }
            "delay" => {
                let time = duration(request).await?;
                self.lock().faults.delay = time;
            }
            "list-lag" => {
                let time = duration(request).await?;
                self.lock().instances.lag = time;
            }
            "lose-answers" => {
                let lost_responses: LostResponses = read_json(request).await?;
                self.lock().faults.lost_responses = lost_responses;
            }
            "instances" => {
                let item: ListedInstance = read_json(request).await?;
                return Ok(instance_response(self.lock().instances.register(item, now)));
            }
            "instances/state" => {
                let change: StateChange = read_json(request).await?;
                let found = self
                    .lock()
                    .instances
                    .set_state(&change.id, change.state, now);
                return Ok(instance_response(found));
            }
            _ => return Ok(build_response(StatusCode::NOT_FOUND, "no such call")),
        }
        Ok(build_response(StatusCode::NO_CONTENT, ""))
    }
}

impl Inner {
    /// Counts a call and returns the response that refuses it during an outage or above the rate
    /// limit.
    fn check_limits(&mut self, is_write: bool) -> Option<Response<Body>> {
        let now = Instant::now();
        if self.faults.is_down(now) {
            self.counters.refused_by_outage += 1;
            return Some(build_response(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        let (limit, count) = if is_write {
            (&mut self.writes, &mut self.counters.writes)
        } else {
            (&mut self.reads, &mut self.counters.reads)
        };
        *count += 1;
        if limit.try_acquire(now) {
            return None;
        }
        self.counters.rate_limited += 1;
        let mut refusal = build_response(StatusCode::TOO_MANY_REQUESTS, "rate limited");
        refusal
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from_static("1"));
        Some(refusal)
    }
}

/// Parses the precondition of a call from the headers; returns `None` if it is malformed.
fn parse_precondition(headers: &HeaderMap) -> Option<Precondition> {
    if let Some(value) = headers.get(IF_NONE_MATCH) {
        return (value == "*").then_some(Precondition::Absent);
    }
    let Some(value) = headers.get(IF_MATCH) else {
        return Some(Precondition::None);
    };
    let version = value.to_str().ok()?.trim_matches('"').parse().ok()?;
    Some(Precondition::Version(version))
}

/// Adds the version of an object to a response.
fn with_etag(mut response: Response<Body>, version: ObjectVersion) -> Response<Body> {
    if let Ok(value) = HeaderValue::try_from(format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, value);
    }
    response
}

/// Builds the response to a control call for an instance: 204 if the call took effect, else 404,
/// also if the list has no space for a registration.
fn instance_response(took_effect: bool) -> Response<Body> {
    let status = if took_effect {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    };
    build_response(status, "")
}

/// Returns the HTTP status of an error.
fn error_status(error: StoreError) -> StatusCode {
    match error {
        StoreError::NotFound => StatusCode::NOT_FOUND,
        StoreError::Mismatch => StatusCode::PRECONDITION_FAILED,
        StoreError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::Full => StatusCode::INSUFFICIENT_STORAGE,
        StoreError::Expired => StatusCode::GONE,
    }
}
