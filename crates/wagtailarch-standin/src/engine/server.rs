//! The process of a stand-in engine: step loop and HTTP calls.

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
    Body, ServeError, answer, drain, json_answer, listen, query_value, read_json, serve_http,
    stop_signal,
};
use crate::token::{CRASH_MARK, answer_length, block_hashes, prompt_key, prompt_tokens};

/// Frames that wait for a slow reader; then its sequence pauses.
const FRAME_BUFFER: usize = 64;
/// Greatest size of an exported KV cache.
const MAX_KV_BYTES: usize = 4 << 20;
/// Time for the import of a KV cache.
const KV_IMPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Header of an exported KV cache with the key of its prompt.
const KV_KEY_HEADER: &str = "x-kv-key";
/// Lag after which the step loop no longer catches up with its schedule.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);

/// A running engine.
struct Engine {
    state: Mutex<EngineState>,
    /// Signals new work to the step loop.
    work: Notify,
    client: Client<HttpConnector, Empty<Bytes>>,
    logger: Logger,
}

/// Runs an engine until SIGTERM; running work is finished first.
pub async fn run_engine(settings: EngineSettings, logger: Logger) -> Result<(), ServeError> {
    let boot_id: BootId = rand::random();
    let listener = listen(settings.port).await?;
    let (linger, grace) = (settings.stop_linger, settings.stop_grace);
    let engine = Arc::new(Engine {
        state: Mutex::new(EngineState::new(settings, boot_id)),
        work: Notify::new(),
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
            stop_signal(&logger).await;
            engine.lock().set_draining(true);
            drain(linger, grace, || engine.lock().batch.is_empty()).await;
        } => {}
    }
    Ok(())
}

/// Runs steps at the pace of the service-time model while there is work.
async fn step_loop(engine: Arc<Engine>) {
    let mut next = Instant::now();
    loop {
        let step_time = {
            let mut state = engine.lock();
            let state = &mut *state;
            let max_running = state.settings().max_running;
            state.batch.start_waiting(&mut state.cache, max_running);
            (!state.batch.is_empty()).then(|| state.batch.step_time(state.settings()))
        };
        let Some(step_time) = step_time else {
            engine.work.notified().await;
            next = Instant::now();
            continue;
        };
        // The schedule is kept across steps, since a single sleep is rounded up to 1 ms.
        next = (next + step_time).max(Instant::now() - MAX_CATCH_UP);
        tokio::time::sleep_until(next.into()).await;
        let crashing = engine.lock().step();
        if let Some(request) = crashing {
            engine.crash(&format!("crash mark in {request}"));
        }
        tokio::task::yield_now().await;
    }
}

async fn report_loop(engine: Arc<Engine>) {
    let mut ticks = tokio::time::interval(REPORT_PERIOD);
    loop {
        ticks.tick().await;
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

    /// Ends the process as a crash does: without closing anything.
    fn crash(&self, why: &str) -> ! {
        // The asynchronous logger would lose the line, since the process ends at once.
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
            REPORT_PATH => json_answer(StatusCode::OK, &self.lock().report()),
            CACHE_EVENTS_PATH => {
                let after = query_value(request.uri().query(), "after");
                let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
                json_answer(StatusCode::OK, &self.lock().cache.events_after(after))
            }
            "/standin/v1/counters" => json_answer(StatusCode::OK, &self.lock().counters),
            "/standin/v1/drain" if is_post => self.set_draining(true),
            "/standin/v1/undrain" if is_post => self.set_draining(false),
            "/standin/v1/crash" if is_post => self.crash("control call"),
            _ => match path.strip_prefix(KV_PATH_PREFIX) {
                Some(handle) => self.export_kv(handle),
                None => answer(StatusCode::NOT_FOUND, "no such call"),
            },
        }
    }

    fn set_draining(&self, draining: bool) -> Response<Body> {
        self.lock().set_draining(draining);
        answer(StatusCode::NO_CONTENT, "")
    }

    async fn generate(&self, request: Request<Incoming>) -> Response<Body> {
        let call: GenerateRequest = match read_json(request).await {
            Ok(call) => call,
            Err(refusal) => return refusal,
        };
        let checked = self.lock().check(&call);
        if let Err(code) = checked {
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
        let (frames, reader) = mpsc::channel(FRAME_BUFFER);
        let sequence = sequence(&call, imported, frames);
        {
            let mut state = self.lock();
            // The engine may have been drained or reassigned during the import.
            if let Err(code) = state.check(&call) {
                drop(state);
                return self.refuse(code);
            }
            state.counters.kv_imports += u64::from(imported);
            state.submit(sequence);
        }
        self.work.notify_one();
        Response::new(frame_body(reader))
    }

    fn refuse(&self, code: EngineRefusalCode) -> Response<Body> {
        let mut state = self.lock();
        state.counters.refused += 1;
        state.counters.resume_mismatches += u64::from(code == EngineRefusalCode::BadRequest);
        drop(state);
        let status = match code {
            EngineRefusalCode::BadRequest => StatusCode::BAD_REQUEST,
            _ => StatusCode::CONFLICT,
        };
        let mut response = json_answer(status, &EngineRefusal { code });
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
                answer(StatusCode::OK, "{}")
            }
            Err(refusal) => refusal,
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let order: Order = match read_json(request).await {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        let taken = self.lock().order(&order, Instant::now());
        info!(self.logger, "order"; "nonce" => order.nonce, "number" => order.fencing_number,
            "kind" => format!("{:?}", order.kind), "taken" => taken.is_ok());
        match taken {
            Ok(()) => answer(StatusCode::ACCEPTED, "{}"),
            Err(code) => json_answer(StatusCode::CONFLICT, &EngineRefusal { code }),
        }
    }

    fn export_kv(&self, handle: &str) -> Response<Body> {
        let state = self.lock();
        let Some(entry) = state.kv_entry(handle) else {
            return answer(StatusCode::NOT_FOUND, "no such handle");
        };
        let size = state.settings().kv_bytes_per_token * entry.tokens as usize;
        drop(state);
        let mut response = answer(StatusCode::OK, vec![0; size.min(MAX_KV_BYTES)]);
        response
            .headers_mut()
            .insert(KV_KEY_HEADER, HeaderValue::from(entry.key));
        response
    }

    /// Fetches a KV cache from another engine; returns whether it belongs to the prompt.
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
        let fetched = tokio::time::timeout(KV_IMPORT_TIMEOUT, fetch).await;
        fetched.ok().flatten().unwrap_or(false)
    }
}

/// Turns a call into a sequence.
fn sequence(call: &GenerateRequest, imported: bool, frames: mpsc::Sender<Frame>) -> Sequence {
    let (length, stops) = answer_length(&call.prompt, call.max_tokens);
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
        crashes: call.prompt.contains(CRASH_MARK),
        frames,
    }
}

/// Streams frames as lines; a stream that was cut ends with an error, which closes the connection.
fn frame_body(reader: mpsc::Receiver<Frame>) -> Body {
    let lines = stream::unfold(Some(reader), |reader| async move {
        let mut reader = reader?;
        let Some(frame) = reader.recv().await else {
            return Some((Err(io::Error::other("cut")), None));
        };
        let ended = frame.finish.is_some() || frame.kv_handle.is_some();
        let line = serde_json::to_vec(&frame)
            .map_err(io::Error::other)
            .map(|mut bytes| {
                bytes.push(b'\n');
                hyper::body::Frame::data(Bytes::from(bytes))
            });
        Some((line, (!ended).then_some(reader)))
    });
    BodyExt::boxed(StreamBody::new(Box::pin(lines)))
}
