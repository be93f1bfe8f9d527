//! Stand-in for a plain service that records every run of a call.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::Logger;
use smol_str::SmolStr;
use wagtailarch_types::{BackendState, BootId};
use wagtailarch_wire::engine::RAN_HEADER;
use wagtailarch_wire::service::{REPORT_PATH, ServiceReport};
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::settings::{millis, option};
use crate::serve::{
    Body, ServeError, build_response, json_response, listen, query_value, read_body, read_json,
    serve_http, shutdown_signal, wait_for_drain,
};
use crate::token::CRASH_MARKER;

/// Help text of the service's options.
pub const SERVICE_HELP: &str = "\
OPTIONS:
  --port <N>            port on loopback; 0 selects a free port and prints it [0]
  --name <NAME>         name in responses [service-1]
  --max-running <N>     capacity in the load report; not enforced [64]
  --delay-ms <N>        duration of a run [5]
  --stop-linger-ms <N>  minimum time to refuse new calls after SIGTERM [3000]
  --stop-grace-ms <N>   maximum time to finish running calls after SIGTERM [10000]

A call whose body contains CRASH-ON-RUN ends the process. The response to every other call describes
its run: {run, service, request_id, idempotency_key, method, path, body_hash, started_ms}.
body_hash is the xxh3 hash of the body as 16 hexadecimal digits.

CONTROL (under /standin/v1/):
  GET  runs?key=<Idempotency-Key>, POST refuse {count}: 503 with x-ran: no for the next calls
  POST drain, undrain: 503 with x-ran: no and Connection: close; POST delay {count}: milliseconds";

/// Maximum number of recorded runs; the oldest ones are removed.
const MAX_RUNS: usize = 200_000;
/// Maximum length of a recorded header or path; longer ones are truncated.
const MAX_TEXT_BYTES: usize = 256;
/// Path prefix of the control API.
const CONTROL_PREFIX: &str = "/standin/v1/";

/// Settings of the service.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Port on loopback; 0 selects a free one.
    pub port: u16,
    /// Name in responses.
    pub name: SmolStr,
    /// Capacity in the load report; it is not enforced.
    pub max_running: u32,
    /// Duration of a run.
    pub delay: Duration,
    /// Minimum time for which new calls are refused after SIGTERM.
    pub stop_linger: Duration,
    /// Maximum time to finish running calls after SIGTERM.
    pub stop_grace: Duration,
}

impl ServiceSettings {
    /// Reads the settings from options.
    pub fn from_args(args: &mut pico_args::Arguments) -> Result<Self, ServeError> {
        Ok(Self {
            port: option(args, "--port", 0)?,
            name: option(args, "--name", SmolStr::from("service-1"))?,
            max_running: option(args, "--max-running", 64)?,
            delay: millis(args, "--delay-ms", 5)?,
            stop_linger: millis(args, "--stop-linger-ms", 3000)?,
            stop_grace: millis(args, "--stop-grace-ms", 10_000)?,
        })
    }
}

/// Record of the run of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Number of the run in this process, from 1.
    pub run: u64,
    /// Name of the service.
    pub service: SmolStr,
    /// Value of `x-request-id`; empty if absent.
    pub request_id: SmolStr,
    /// Value of `Idempotency-Key`; empty if absent.
    pub idempotency_key: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Hash of the body, 16 hexadecimal digits.
    pub body_hash: SmolStr,
    /// Start of the run in milliseconds since the start of the process.
    pub started_ms: u64,
}

/// Returns the hash of a body in the form that the service reports.
pub fn body_hash(body: &[u8]) -> SmolStr {
    SmolStr::from(format!("{:016x}", xxh3_64(body)))
}

/// Body of the control calls that set a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The number.
    pub count: u64,
}

/// State of the service that calls modify.
struct Inner {
    delay: Duration,
    draining: bool,
    /// Number of calls that are still to be refused.
    refusals: u64,
    next_run: u64,
    /// Number of running calls.
    running: u64,
    /// Sequence number of the last report.
    report_seq: u64,
    /// Recorded runs, the newest last; at most [`MAX_RUNS`].
    runs: VecDeque<Run>,
}

/// A running service.
struct PlainService {
    name: SmolStr,
    boot_id: BootId,
    max_running: u32,
    started: Instant,
    inner: Mutex<Inner>,
}

/// Runs the service until SIGTERM and then finishes the running calls.
pub async fn run_service(settings: ServiceSettings, logger: Logger) -> Result<(), ServeError> {
    let listener = listen(settings.port).await?;
    let (linger, grace) = (settings.stop_linger, settings.stop_grace);
    let inner = Inner {
        delay: settings.delay,
        draining: false,
        refusals: 0,
        next_run: 1,
        running: 0,
        report_seq: 0,
        runs: VecDeque::new(),
    };
    let service = Arc::new(PlainService {
        name: settings.name,
        boot_id: rand::random(),
        max_running: settings.max_running,
        started: Instant::now(),
        inner: Mutex::new(inner),
    });
    let handler = Arc::clone(&service);
    let server = serve_http(listener, move |request| {
        let service = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(service.handle(request).await) }
    });
    tokio::select! {
        () = server => {}
        () = async {
            shutdown_signal(&logger).await;
            service.lock().draining = true;
            wait_for_drain(linger, grace, || service.lock().running == 0).await;
        } => {}
    }
    Ok(())
}

/// Counts a call as running until it is dropped, which also happens when the client disconnects.
struct RunningCall<'a>(&'a PlainService);

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl PlainService {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if let Some(call) = path.strip_prefix(CONTROL_PREFIX) {
            return self
                .handle_control(call, request)
                .await
                .unwrap_or_else(|refusal| refusal);
        }
        if path == REPORT_PATH {
            return json_response(StatusCode::OK, &self.report());
        }
        if let Some(refusal) = self.take_refusal() {
            return refusal;
        }
        let (parts, body) = request.into_parts();
        let body = match read_body(Request::new(body)).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        if body
            .windows(CRASH_MARKER.len())
            .any(|window| window == CRASH_MARKER.as_bytes())
        {
            // Written directly, since the process exits before the asynchronous logger writes.
            eprintln!(
                "level=ERRO event=crash why=\"crash mark in a body\" program=standin-service"
            );
            std::process::exit(101);
        }
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let run = self.record_run(&parts.headers, &parts.method, path, body_hash(&body));
        let _running = RunningCall(self);
        let delay = self.lock().delay;
        tokio::time::sleep(delay).await;
        json_response(StatusCode::OK, &run)
    }

    /// Returns the next load report.
    fn report(&self) -> ServiceReport {
        let mut inner = self.lock();
        inner.report_seq += 1;
        let draining = inner.draining;
        ServiceReport {
            service: self.name.clone(),
            boot_id: self.boot_id,
            seq: inner.report_seq,
            running: u32::try_from(inner.running).unwrap_or(u32::MAX),
            max_running: self.max_running,
            state: if draining {
                BackendState::Draining
            } else {
                BackendState::Serving
            },
        }
    }

    /// Returns the response that refuses a call; `None` if the call is accepted.
    fn take_refusal(&self) -> Option<Response<Body>> {
        let mut inner = self.lock();
        let draining = inner.draining;
        if !draining && inner.refusals == 0 {
            return None;
        }
        inner.refusals = inner.refusals.saturating_sub(1);
        let mut refusal =
            build_response(StatusCode::SERVICE_UNAVAILABLE, "refused by the stand-in");
        refusal
            .headers_mut()
            .insert(RAN_HEADER, HeaderValue::from_static("no"));
        if draining {
            refusal
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Some(refusal)
    }

    /// Records the start of a run.
    fn record_run(
        &self,
        headers: &HeaderMap,
        method: &Method,
        path: &str,
        body_hash: SmolStr,
    ) -> Run {
        let header = |name: &str| {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            truncate(value.unwrap_or_default())
        };
        let mut inner = self.lock();
        let started_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let run = Run {
            run: inner.next_run,
            service: self.name.clone(),
            request_id: header("x-request-id"),
            idempotency_key: header("idempotency-key"),
            method: SmolStr::from(method.as_str()),
            path: truncate(path),
            body_hash,
            started_ms,
        };
        inner.next_run += 1;
        inner.running += 1;
        if inner.runs.len() == MAX_RUNS {
            inner.runs.pop_front();
        }
        inner.runs.push_back(run.clone());
        run
    }

    /// Handles a control call; an error is the response that rejects its body.
    async fn handle_control(
        &self,
        call: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Response<Body>> {
        match call {
            "runs" => {
                let key = query_value(request.uri().query(), "key");
                let inner = self.lock();
                let has_key = |run: &&Run| key.as_ref().is_none_or(|k| run.idempotency_key == *k);
                let runs: Vec<&Run> = inner.runs.iter().filter(has_key).collect();
                return Ok(json_response(StatusCode::OK, &runs));
            }
            "refuse" => {
                let body: Count = read_json(request).await?;
                self.lock().refusals = body.count;
            }
            "delay" => {
                let body: Count = read_json(request).await?;
                self.lock().delay = Duration::from_millis(body.count);
            }
            "drain" => self.lock().draining = true,
            "undrain" => self.lock().draining = false,
            _ => return Ok(build_response(StatusCode::NOT_FOUND, "no such call")),
        }
        Ok(build_response(StatusCode::NO_CONTENT, ""))
    }
}

/// Truncates text to [`MAX_TEXT_BYTES`].
fn truncate(text: &str) -> SmolStr {
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    SmolStr::from(&text[..end])
}
