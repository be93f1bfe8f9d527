//! Process of a stand-in engine: the step loop and the HTTP calls.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use slog::{Logger, info};
use tokio::sync::{Notify, mpsc};
use wagtailarch_types::{BootId, Phase};
use wagtailarch_wire::engine::{
    CACHE_EVENTS_PATH, CANCEL_PATH, CancelRequest, EngineRefusal, EngineRefusalCode, FinishReason,
    Frame, GENERATE_PATH, GenerateRequest, KV_PATH_PREFIX, KvSource, ORDERS_PATH, Order,
    RAN_HEADER, REPORT_PATH,
};

use super::batch::Sequence;
use super::settings::EngineSettings;
use super::state::{EngineState, REPORT_PERIOD};
use crate::serve::{
    Body, ServeError, build_response, json_response, listen, query_value, read_json, serve_http,
    shutdown_signal, wait_for_drain,
};
use crate::token::{CRASH_MARKER, block_hashes, output_length, prompt_key, prompt_tokens};

/// Maximum number of frames that wait for a slow client; its sequence pauses while the buffer is
/// full.
const FRAME_BUFFER: usize = 64;
/// Maximum size of an exported KV cache.
const MAX_KV_BYTES: usize = 4 << 20;
/// Timeout for the import of a KV cache.
const KV_IMPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Response header with the key of the prompt of an exported KV cache.
const KV_KEY_HEADER: &str = "x-kv-key";
/// Maximum lag of the step loop behind its schedule; a longer lag is not caught up.
const MAX_SCHEDULE_LAG: Duration = Duration::from_millis(50);

/// A running engine.
struct Engine {
    state: Mutex<EngineState>,
    /// Wakes the step loop when a request is added.
    work_added: Notify,
    client: Client<HttpConnector, Empty<Bytes>>,
    logger: Logger,
}

/// Runs an engine until SIGTERM and then finishes the running requests.
pub async fn run_engine(settings: EngineSettings, logger: Logger) -> Result<(), ServeError> {
    let boot_id: BootId = rand::random();
    let listener = listen(settings.port).await?;
    let (linger, grace) = (settings.stop_linger, settings.stop_grace);
    let engine = Arc::new(Engine {
        state: Mutex::new(EngineState::new(settings, boot_id)),
        work_added: Notify::new(),
        client: Client::builder(TokioExecutor::new()).build_http(),
        logger: logger.clone(),
    });
    tokio::spawn(step_loop(Arc::clone(&engine)));
    tokio::spawn(report_loop(Arc::clone(&engine)));
    let handler = Arc::clone(&engine);
    let server = serve_http(listener, move |request| {
        let engine = Arc::clone(&handler);
        async move { Ok::<_, io::Error>(engine.handle(request).await) }
    });
    tokio::select! {
        () = server => {}
        () = async {
            shutdown_signal(&logger).await;
            engine.lock().set_draining(true);
            wait_for_drain(linger, grace, || engine.lock().batch.is_empty()).await;
        } => {}
    }
    Ok(())
}

/// Runs steps at the times of the service-time model while there are requests.
async fn step_loop(engine: Arc<Engine>) {
    let mut next_step = Instant::now();
    loop {
        let step_time = {
            let mut state = engine.lock();
            let state = &mut *state;
            let max_running = state.settings().max_running;
            state.batch.start_queued(&mut state.cache, max_running);
            (!state.batch.is_empty()).then(|| state.batch.step_time(state.settings()))
        };
        let Some(step_time) = step_time else {
            engine.work_added.notified().await;
            next_step = Instant::now();
            continue;
        };
        // Steps follow a schedule, since the rounding of each sleep up to 1 ms would accumulate.
        next_step = (next_step + step_time).max(Instant::now() - MAX_SCHEDULE_LAG);
        tokio::time::sleep_until(next_step.into()).await;
        let crashing_request = engine.lock().step();
        if let Some(request) = crashing_request {
            engine.crash(&format!("crash mark in {request}"));
        }
        tokio::task::yield_now().await;
    }
}

/// Completes changes of assignment and creates reports periodically.
async fn report_loop(engine: Arc<Engine>) {
    let mut interval = tokio::time::interval(REPORT_PERIOD);
    loop {
        interval.tick().await;
        let mut state = engine.lock();
        let now = Instant::now();
        state.finish_change(now);
        state.make_report(now);
    }
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Exits immediately without finishing requests, as a crash would.
    fn crash(&self, why: &str) -> ! {
        // Written directly, since the process exits before the asynchronous logger writes.
        eprintln!("level=ERRO event=crash why={why:?} program=standin-engine");
        std::process::exit(101)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let is_post = request.method() == Method::POST;
        match path.as_str() {
            GENERATE_PATH if is_post => self.generate(request).await,
            CANCEL_PATH if is_post => self.cancel(request).await,
            ORDERS_PATH if is_post => self.order(request).await,
            REPORT_PATH => json_response(StatusCode::OK, &self.lock().report()),
            CACHE_EVENTS_PATH => {
                let after = query_value(request.uri().query(), "after");
                let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
                json_response(StatusCode::OK, &self.lock().cache.events_after(after))
            }
            "/standin/v1/counters" => json_response(StatusCode::OK, &self.lock().counters),
            "/standin/v1/drain" if is_post => self.set_draining(true),
            "/standin/v1/undrain" if is_post => self.set_draining(false),
            "/standin/v1/crash" if is_post => self.crash("control call"),
            _ => match path.strip_prefix(KV_PATH_PREFIX) {
                Some(handle) => self.export_kv(handle),
                None => build_response(StatusCode::NOT_FOUND, "no such call"),
            },
        }
    }

    fn set_draining(&self, draining: bool) -> Response<Body> {
        self.lock().set_draining(draining);
        build_response(StatusCode::NO_CONTENT, "")
    }

    async fn generate(&self, request: Request<Incoming>) -> Response<Body> {
        let call: GenerateRequest = match read_json(request).await {
            Ok(call) => call,
            Err(refusal) => return refusal,
        };
        let result = self.lock().check_call(&call);
        if let Err(code) = result {
            return self.refuse(code);
        }
        let imported = match &call.kv {
            Some(source) if call.phase == Phase::Decode => {
                if !self.import_kv(source, prompt_key(&call.prompt)).await {
                    return self.refuse(EngineRefusalCode::KvImportFailed);
                }
                true
            }
            _ => false,
        };
        let (frame_sender, frame_receiver) = mpsc::channel(FRAME_BUFFER);
        let sequence = new_sequence(&call, imported, frame_sender);
        {
            let mut state = self.lock();
            // The engine may have been drained or reassigned during the import.
            if let Err(code) = state.check_call(&call) {
                drop(state);
                return self.refuse(code);
            }
            state.counters.kv_imports += u64::from(imported);
            state.submit(sequence);
        }
        self.work_added.notify_one();
        Response::new(frame_body(frame_receiver))
    }

    /// Counts a refused call and returns its response.
    fn refuse(&self, code: EngineRefusalCode) -> Response<Body> {
        let mut state = self.lock();
        state.counters.refused += 1;
        state.counters.resume_mismatches += u64::from(code == EngineRefusalCode::BadRequest);
        drop(state);
        let status = match code {
            EngineRefusalCode::BadRequest => StatusCode::BAD_REQUEST,
            _ => StatusCode::CONFLICT,
        };
        let mut response = json_response(status, &EngineRefusal { code });
        response
            .headers_mut()
            .insert(RAN_HEADER, HeaderValue::from_static("no"));
        response
    }

    async fn cancel(&self, request: Request<Incoming>) -> Response<Body> {
        match read_json::<CancelRequest>(request).await {
            Ok(call) => {
                let mut state = self.lock();
                let found = state.batch.cancel(&call.request, call.attempt);
                state.counters.cancelled += u64::from(found);
                build_response(StatusCode::OK, "{}")
            }
            Err(refusal) => refusal,
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let order: Order = match read_json(request).await {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        let result = self.lock().handle_order(&order, Instant::now());
        info!(self.logger, "order"; "nonce" => order.nonce, "number" => order.fencing_number,
            "kind" => format!("{:?}", order.kind), "taken" => result.is_ok());
        match result {
            Ok(()) => build_response(StatusCode::ACCEPTED, "{}"),
            Err(code) => json_response(StatusCode::CONFLICT, &EngineRefusal { code }),
        }
    }

    /// Returns an exported KV cache, which consists of zeros.
    fn export_kv(&self, handle: &str) -> Response<Body> {
        let state = self.lock();
        let Some(entry) = state.kv_entry(handle) else {
            return build_response(StatusCode::NOT_FOUND, "no such handle");
        };
        let size = state.settings().kv_bytes_per_token * entry.tokens as usize;
        drop(state);
        let mut response = build_response(StatusCode::OK, vec![0; size.min(MAX_KV_BYTES)]);
        response
            .headers_mut()
            .insert(KV_KEY_HEADER, HeaderValue::from(entry.key));
        response
    }

    /// Fetches a KV cache from another engine and returns whether it belongs to the prompt.
    async fn import_kv(&self, source: &KvSource, key: u64) -> bool {
        let uri = format!(
            "http://{}{KV_PATH_PREFIX}{}",
            source.engine_address, source.handle
        );
        let Ok(uri) = uri.parse() else {
            return false;
        };
        let fetch = async {
            let response = self.client.get(uri).await.ok()?;
            let header = response.headers().get(KV_KEY_HEADER)?.to_str().ok()?;
            let matches = response.status() == StatusCode::OK && header == key.to_string();
            response.into_body().collect().await.ok()?;
            Some(matches)
        };
        let result = tokio::time::timeout(KV_IMPORT_TIMEOUT, fetch).await;
        result.ok().flatten().unwrap_or(false)
    }
}

/// Creates the sequence of a call; `imported` is whether its KV cache was imported.
fn new_sequence(call: &GenerateRequest, imported: bool, frames: mpsc::Sender<Frame>) -> Sequence {
    let (length, stops) = output_length(&call.prompt, call.max_tokens);
    let tokens = prompt_tokens(&call.prompt);
    Sequence {
        request: call.request.clone(),
        attempt: call.attempt,
        priority: call.priority,
        phase: call.phase,
        key: prompt_key(&call.prompt),
        hashes: block_hashes(&call.prompt),
        prompt_tokens: tokens,
        prefill_left: if imported {
            0
        } else {
            tokens.saturating_add(call.from_index)
        },
        cached_tokens: 0,
        next_index: call.from_index,
        end_index: length.max(call.from_index),
        finish: if stops {
            FinishReason::Stop
        } else {
            FinishReason::Length
        },
        crashes: call.prompt.contains(CRASH_MARKER),
        frames,
    }
}

/// Returns a response body with a line for each frame.
///
/// The body of an aborted sequence ends with an error, which closes the connection.
fn frame_body(receiver: mpsc::Receiver<Frame>) -> Body {
    let lines = stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        let Some(frame) = receiver.recv().await else {
            return Some((Err(io::Error::other("the generation was aborted")), None));
        };
        let ended = frame.finish.is_some() || frame.kv_handle.is_some();
        let line = serde_json::to_vec(&frame)
            .map_err(io::Error::other)
            .map(|mut bytes| {
                bytes.push(b'\n');
                hyper::body::Frame::data(Bytes::from(bytes))
            });
        Some((line, (!ended).then_some(receiver)))
    });
    BodyExt::boxed(StreamBody::new(Box::pin(lines)))
}
