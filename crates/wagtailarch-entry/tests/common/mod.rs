//! Fakes of the engines and the platform, and HTTP helpers for the tests of the entry instance.

#![allow(dead_code, reason = "each test file uses a part of the fakes")]

use std::{
    collections::VecDeque,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    body::{Frame as BodyFrame, Incoming},
    service::service_fn,
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::mpsc};
use tokio_util::sync::CancellationToken;
use wagtailarch_entry::{Instance, parse_settings};
use wagtailarch_platform::{FakeFaults, FakePlatform, Platform};
use wagtailarch_telemetry::discard_logger;
use wagtailarch_wire::engine::GenerateRequest;

/// Error with which a fake breaks the body of a response.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
pub type FakeBody = BoxBody<Bytes, BodyError>;

/// How a fake engine handles one generate call.
#[derive(Debug, Clone)]
pub enum Script {
    /// Generates `tokens` tokens, each after `token_delay`, and finishes.
    Generate { tokens: u32, token_delay: Duration },
    /// Generates the tokens before `index`, then breaks the connection.
    BreakAt { index: u32 },
    /// Sends these lines, then ends the stream.
    ///
    /// `REQUEST` and `"ATTEMPT"` are replaced by the request ID and the attempt of the call.
    Lines(Vec<String>),
    /// Responds with this status and code, and with `x-ran: no` if `not_run` is set.
    Refuse {
        status: u16,
        code: &'static str,
        not_run: bool,
    },
    /// Closes the engine's sockets, as if its process had crashed.
    Crash,
    /// Finishes a prefill with this KV handle.
    Prefill { handle: &'static str },
}

/// A fake engine that handles each generate call by the next script.
///
/// Without a script it generates 8 tokens.
#[derive(Debug)]
pub struct FakeEngine {
    pub id: String,
    pub address: SocketAddr,
    pub scripts: Mutex<VecDeque<Script>>,
    pub calls: Mutex<Vec<GenerateRequest>>,
    pub cancel_calls: AtomicU64,
    pub boot_id: AtomicU64,
    pub role: Mutex<&'static str>,
    pub state: Mutex<&'static str>,
    pub crashed: CancellationToken,
}

/// Returns the text of the token with the index; every fake engine generates the same text.
pub fn token(index: u32) -> String {
    format!("t{index} ")
}

/// Returns the text of the tokens before `end`.
pub fn text(end: u32) -> String {
    (0..end).map(token).collect()
}

impl FakeEngine {
    pub async fn start(id: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            scripts: Mutex::default(),
            calls: Mutex::default(),
            cancel_calls: AtomicU64::new(0),
            boot_id: AtomicU64::new(1),
            role: Mutex::new("mixed"),
            state: Mutex::new("serving"),
            crashed: CancellationToken::new(),
        });
        let fake = Arc::clone(&engine);
        serve_until(engine.crashed.clone(), listener, move |request| {
            Arc::clone(&fake).handle(request)
        });
        engine
    }

    pub fn add_script(&self, script: Script) {
        self.scripts.lock().unwrap().push_back(script);
    }

    pub fn calls(&self) -> Vec<GenerateRequest> {
        self.calls.lock().unwrap().clone()
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<FakeBody> {
        match request.uri().path() {
            "/engine/v1/report" => full_response(200, self.report().to_string()),
            "/engine/v1/cancel" => {
                self.cancel_calls.fetch_add(1, Ordering::SeqCst);
                full_response(200, "{}".into())
            }
            "/engine/v1/generate" => {
                let body = request.into_body().collect().await.unwrap().to_bytes();
                let call: GenerateRequest = serde_json::from_slice(&body).unwrap();
                self.calls.lock().unwrap().push(call.clone());
                let script = self.scripts.lock().unwrap().pop_front();
                if let Some(Script::Refuse {
                    code: "draining", ..
                }) = script
                {
                    *self.state.lock().unwrap() = "draining";
                }
                if matches!(script, Some(Script::Crash)) {
                    self.crashed.cancel();
                    return std::future::pending().await;
                }
                generate_response(
                    call,
                    script.unwrap_or(Script::Generate {
                        tokens: 8,
                        token_delay: Duration::ZERO,
                    }),
                )
            }
            _ => full_response(404, "{}".into()),
        }
    }

    fn report(&self) -> Value {
        json!({"engine": self.id, "boot_id": self.boot_id.load(Ordering::SeqCst), "seq": 1,
            "role": *self.role.lock().unwrap(), "model": "fedel", "version": "2026-11",
            "adapters": ["jam"], "state": *self.state.lock().unwrap(), "running": 0,
            "queued_tokens": 0, "decode_slots": 32, "kv_used_ratio": 0.0,
            "prefill_tokens_per_s": 10_000.0, "decode_tokens_per_s": 1_000.0,
            "fencing_number": 0, "generation": 1, "order_conflicts": 0})
    }
}

/// Returns the line of a token frame.
pub fn token_line(request: &str, attempt: u32, index: u32, last: bool) -> String {
    let mut frame = json!({"request": request, "attempt": attempt, "index": index,
        "text": token(index)});
    if last {
        frame["finish"] = json!("stop");
        frame["usage"] = json!({"prompt_tokens": 3, "completion_tokens": index + 1});
    }
    format!("{frame}\n")
}

/// Responds to a generate call by a script.
fn generate_response(call: GenerateRequest, script: Script) -> Response<FakeBody> {
    let (sender, lines) = mpsc::channel::<Result<String, BodyError>>(1);
    match script {
        Script::Refuse {
            status,
            code,
            not_run,
        } => {
            let mut response = full_response(status, json!({ "code": code }).to_string());
            if not_run {
                response
                    .headers_mut()
                    .insert("x-ran", "no".parse().unwrap());
            }
            return response;
        }
        script => tokio::spawn(send_frames(call, script, sender)),
    };
    streaming_response(lines)
}

/// Sends the frames of a script to the body of a response.
async fn send_frames(
    call: GenerateRequest,
    script: Script,
    sender: mpsc::Sender<Result<String, BodyError>>,
) {
    let (request, attempt) = (call.request.as_str(), call.attempt);
    let (end, token_delay, breaks) = match script {
        Script::Generate {
            tokens,
            token_delay,
        } => (tokens, token_delay, false),
        Script::BreakAt { index } => (index, Duration::ZERO, true),
        Script::Lines(lines) => {
            for line in lines {
                let line = line
                    .replace("REQUEST", request)
                    .replace("\"ATTEMPT\"", &attempt.to_string());
                let _ = sender.send(Ok(line)).await;
            }
            return;
        }
        Script::Prefill { handle } => {
            let frame = json!({"request": request, "attempt": attempt, "kv_handle": handle});
            let _ = sender.send(Ok(format!("{frame}\n"))).await;
            return;
        }
        Script::Refuse { .. } | Script::Crash => return,
    };
    for index in call.from_index..end {
        if !token_delay.is_zero() {
            tokio::time::sleep(token_delay).await;
        }
        let last = !breaks && index + 1 == end;
        if sender
            .send(Ok(token_line(request, attempt, index, last)))
            .await
            .is_err()
        {
            return;
        }
    }
    if breaks {
        // The instance must receive the preceding frames before the connection closes.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let _ = sender.send(Err("broken on purpose".into())).await;
    }
}

/// Creates an in-memory platform that lists these instances and stores no objects.
pub fn fake_platform(items: Value) -> Arc<FakePlatform> {
    let platform = Arc::new(FakePlatform::new(7, FakeFaults::default()));
    platform.set_instances(serde_json::from_value(items).unwrap());
    platform
}

/// Returns the item of an engine in the platform's list.
pub fn listed_engine(engine: &FakeEngine) -> Value {
    json!({"id": engine.id, "kind": "engine", "group": "fedel-lm", "zone": "buda-a",
        "address": engine.address.to_string(), "state": "live"})
}

/// Returns the item of a plain service in the platform's list.
pub fn listed_service(id: &str, address: SocketAddr) -> Value {
    json!({"id": id, "kind": "service", "group": "fedel-app", "zone": "buda-a",
        "address": address.to_string(), "state": "live"})
}

/// Serves every connection with `handler` until the runtime shuts down.
pub fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<FakeBody>> + Send + 'static,
{
    serve_until(CancellationToken::new(), listener, handler);
}

/// Serves every connection with `handler`; closes all sockets when `stop` is cancelled.
fn serve_until<F, R>(stop: CancellationToken, listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<FakeBody>> + Send + 'static,
{
    tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let handler = handler.clone();
            let stop = stop.clone();
            tokio::spawn(stop.run_until_cancelled_owned(async move {
                let service = service_fn(|request| {
                    let response = handler(request);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                let builder = auto::Builder::new(TokioExecutor::new());
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            }));
        }
    }));
}

/// Returns a response with a complete body.
pub fn full_response(status: u16, body: String) -> Response<FakeBody> {
    let body = Full::new(Bytes::from(body))
        .map_err(|never| match never {})
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response
}

/// Returns a response whose body consists of the received lines.
fn streaming_response(lines: mpsc::Receiver<Result<String, BodyError>>) -> Response<FakeBody> {
    let frames = futures_util::stream::unfold(lines, |mut lines| async move {
        let line = lines.recv().await?;
        Some((line.map(|line| BodyFrame::data(Bytes::from(line))), lines))
    });
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Bearer key of the team of the test fleet.
pub const KEY: &str = "counter-key";

/// Returns a fleet file with an engine group, a plain service and a team.
pub fn fleet_file() -> String {
    let hash = blake3::hash(KEY.as_bytes()).to_hex();
    include_str!("fleet.toml").replace("KEY_HASH", &hash)
}

/// Starts an instance with additional settings and waits until it accepts all listed backend
/// servers.
pub async fn start(platform: &Arc<FakePlatform>, extra_settings: &str) -> Instance {
    start_with_fleet(platform, extra_settings, &fleet_file()).await
}

/// Like [`start`], with `fleet` as the content of the fleet file.
pub async fn start_with_fleet(
    platform: &Arc<FakePlatform>,
    extra_settings: &str,
    fleet: &str,
) -> Instance {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("fleet.toml");
    std::fs::write(&file, fleet).unwrap();
    let settings = format!(
        "instance = \"entry-1\"\nzone = \"buda-a\"\nclient_address = \"127.0.0.1:0\"\n\
         admin_address = \"127.0.0.1:0\"\nfleet_file = {file:?}\n{extra_settings}\n",
    );
    let settings = parse_settings(&settings).unwrap();
    let (control, traffic) = (platform.clone(), platform.clone());
    let instance = Instance::start_with(settings, discard_logger(), control, traffic)
        .await
        .unwrap();
    let expected = platform.instances().await.unwrap().items.len();
    eventually("acceptance of all backend servers", || {
        let views = instance.shared().backends.load();
        views.values().filter(|view| view.accepting).count() == expected
    })
    .await;
    instance
}

/// Short timeouts that keep tests fast.
pub const SHORT_TIMEOUTS: &str =
    "[timeouts]\nlist_ms = 50\nreport_ms = 50\ndrain_delay_ms = 50\nfirst_token_ms = 2000\n";

/// Creates a client with a new connection pool.
pub fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Returns a chat call with `content` as the message of the user.
pub fn chat_request(address: SocketAddr, content: &str, stream: bool) -> Request<Full<Bytes>> {
    let body = json!({"model": "fedel", "stream": stream, "max_tokens": 1000,
        "messages": [{"role": "user", "content": content}]});
    post_request(address, "/v1/chat/completions", body.to_string())
}

/// Returns a POST call with the team's key.
pub fn post_request(address: SocketAddr, path: &str, body: String) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::from(body))
        .unwrap()
}

/// Returns the status and the body of a response.
pub async fn read_response(response: Response<Incoming>) -> (StatusCode, String) {
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

/// Returns the text of a stream of chat chunks, and whether the stream ended with `[DONE]`.
pub fn stream_text(body: &str) -> (String, bool) {
    let mut text = String::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return (text, true);
        }
        let chunk: Value = serde_json::from_str(line).unwrap();
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    (text, false)
}

/// Waits until `condition` holds; panics after 10 s.
pub async fn eventually(awaited: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out while waiting for: {awaited}");
}

/// Returns a response whose connection closes before its head is sent.
pub fn broken_response() -> Response<FakeBody> {
    // hyper sends the head of a response with its first body frame or error; an error before any
    // data closes the connection without a complete response.
    let (sender, lines) = mpsc::channel(1);
    sender.try_send(Err("broken on purpose".into())).unwrap();
    streaming_response(lines)
}
