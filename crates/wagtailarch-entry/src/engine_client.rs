//! Client of the engine protocol and of plain services.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use http::{Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::Serialize;
use wagtailarch_types::{AttemptNo, Ran};
use wagtailarch_wire::{
    engine::{
        CANCEL_PATH, CancelRequest, EngineRefusal, EngineRefusalCode, EngineReport, Frame,
        GENERATE_PATH, GenerateRequest, RAN_HEADER, REPORT_PATH,
    },
    service::{self, ServiceReport},
};

use crate::proxy_response::says_close;
use crate::settings::{Limits, Timeouts, ms};

/// Greatest size of a refusal or report in bytes.
const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;

/// Time that a report or a cancel call may take.
const SMALL_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an idle connection to a backend server is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call did not give an answer.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum CallError {
    /// the connection could not be established
    ConnectFailed,
    /// the connection closed before the answer
    ClosedBeforeAnswer,
    /// no answer in time
    TimedOut,
    /// the backend server refused with status {status}
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Code of an engine.
        code: Option<EngineRefusalCode>,
        /// What the server said about the request.
        ran: Ran,
        /// Whether the server said that it is leaving.
        leaving: bool,
    },
    /// the address is not valid
    BadAddress,
    /// the answer is not valid
    BadAnswer,
}

impl std::error::Error for CallError {}

/// Why a stream of frames ended without its last frame.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// the connection broke
    Broken,
    /// a frame could not be parsed
    Malformed,
}

impl std::error::Error for FrameError {}

/// Pooled connections to all backend servers.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: Client<HttpConnector, Full<Bytes>>,
    /// Opens a connection for each call.
    fresh: Client<HttpConnector, Full<Bytes>>,
    frame_bytes: usize,
}

impl EngineClient {
    /// Creates a client without connections.
    pub fn new(timeouts: &Timeouts, limits: &Limits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(ms(timeouts.connect_ms)));
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(limits.idle_per_backend)
            .build(connector.clone());
        let fresh = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            fresh,
            frame_bytes: limits.frame_bytes,
        }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.http.request(request).await.map_err(call_error)
    }

    /// Sends a request over a connection of its own.
    ///
    /// A pooled connection can be closed by the server while the request is being written; whether
    /// it ran is then unknown, and a call that may not be repeated would be given up.
    pub async fn send_once(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.fresh.request(request).await.map_err(call_error)
    }

    /// Starts a generation.
    pub async fn generate(
        &self,
        address: &str,
        call: &GenerateRequest,
    ) -> Result<FrameStream, CallError> {
        let response = self.send(post(address, GENERATE_PATH, call)?).await?;
        if response.status() == StatusCode::OK {
            return Ok(FrameStream {
                body: response.into_body(),
                buffer: BytesMut::new(),
                max_frame_bytes: self.frame_bytes,
            });
        }
        let status = response.status();
        let ran = said_ran(response.headers());
        let closes = status == StatusCode::SERVICE_UNAVAILABLE && says_close(response.headers());
        let body = collect(response.into_body()).await.ok();
        let refusal = body.and_then(|b| serde_json::from_slice::<EngineRefusal>(&b).ok());
        let code = refusal.map(|refusal| refusal.code);
        let leaving = closes || code == Some(EngineRefusalCode::Draining);
        Err(CallError::Refused {
            status,
            code,
            ran,
            leaving,
        })
    }

    /// Tells an engine to stop an attempt.
    pub async fn cancel(
        &self,
        address: &str,
        request: &str,
        attempt: AttemptNo,
    ) -> Result<(), CallError> {
        let call = CancelRequest {
            request: request.into(),
            attempt,
        };
        let sent = self.send(post(address, CANCEL_PATH, &call)?);
        let response = within(SMALL_CALL_TIMEOUT, sent).await?;
        collect(response.into_body()).await.map(|_| ())
    }

    /// Reads the report of an engine.
    pub async fn fetch_report(&self, address: &str) -> Result<EngineReport, CallError> {
        let body = self.get_small(address, REPORT_PATH).await?;
        serde_json::from_slice(&body).map_err(|_| CallError::BadAnswer)
    }

    /// Reads the report of a plain service.
    pub async fn fetch_service_report(&self, address: &str) -> Result<ServiceReport, CallError> {
        let body = self.get_small(address, service::REPORT_PATH).await?;
        serde_json::from_slice(&body).map_err(|_| CallError::BadAnswer)
    }

    /// Reads a small body.
    pub async fn get_small(&self, address: &str, path: &str) -> Result<Bytes, CallError> {
        let request = Request::get(uri(address, path)?).body(Full::default());
        let request = request.map_err(|_| CallError::BadAddress)?;
        within(SMALL_CALL_TIMEOUT, async {
            let response = self.send(request).await?;
            let status = response.status();
            let ran = said_ran(response.headers());
            let body = collect(response.into_body()).await?;
            if status == StatusCode::OK {
                return Ok(body);
            }
            Err(CallError::Refused {
                status,
                code: None,
                ran,
                leaving: false,
            })
        })
        .await
    }
}

/// Frames of one attempt.
#[derive(Debug)]
pub struct FrameStream {
    body: Incoming,
    /// Bytes received and not yet returned; at most one frame and one read.
    buffer: BytesMut,
    max_frame_bytes: usize,
}

impl FrameStream {
    /// Returns the next frame, or `None` when the stream ended.
    pub async fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.split_to(end);
                self.buffer.advance(1);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                return serde_json::from_slice(&line)
                    .map(Some)
                    .map_err(|_| FrameError::Malformed);
            }
            if self.buffer.len() > self.max_frame_bytes {
                return Err(FrameError::Malformed);
            }
            match self.body.frame().await {
                None if self.buffer.trim_ascii().is_empty() => return Ok(None),
                None | Some(Err(_)) => return Err(FrameError::Broken),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

fn call_error(error: hyper_util::client::legacy::Error) -> CallError {
    if error.is_connect() {
        CallError::ConnectFailed
    } else {
        CallError::ClosedBeforeAnswer
    }
}

/// Returns what the server said about whether a refused request ran.
pub fn said_ran(headers: &http::HeaderMap) -> Ran {
    match headers.get(RAN_HEADER).map(http::HeaderValue::as_bytes) {
        Some(b"no") => Ran::No,
        Some(b"yes") => Ran::Yes,
        Some(_) | None => Ran::Unknown,
    }
}

/// Builds the address of a path on a backend server.
pub fn uri(address: &str, path_and_query: &str) -> Result<Uri, CallError> {
    Uri::builder()
        .scheme("http")
        .authority(address)
        .path_and_query(path_and_query)
        .build()
        .map_err(|_| CallError::BadAddress)
}

async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or(Err(CallError::TimedOut))
}

async fn collect(body: Incoming) -> Result<Bytes, CallError> {
    let body = Limited::new(body, MAX_SMALL_BODY_BYTES).collect().await;
    body.map(|body| body.to_bytes())
        .map_err(|_| CallError::BadAnswer)
}

fn post(
    address: &str,
    path: &str,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, CallError> {
    let body = serde_json::to_vec(body).expect("the protocol types serialize");
    Request::builder()
        .method(Method::POST)
        .uri(uri(address, path)?)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .map_err(|_| CallError::BadAddress)
}
