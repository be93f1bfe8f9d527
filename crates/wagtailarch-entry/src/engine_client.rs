//! HTTP client for engines and plain services.

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
    response_status::is_final_status,
    service::{self, ServiceReport},
};

use crate::backend_stream::BackendConnector;
use crate::proxy_response::has_connection_close;
use crate::settings::{Limits, Timeouts, ms};

/// Maximum size of a report or of an engine's refusal in bytes.
const MAX_CONTROL_BODY_BYTES: usize = 64 * 1024;

/// Timeout of a report or cancel call.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection to a backend server is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call to a backend server returned no usable response.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum CallError {
    /// the connection could not be established
    ConnectFailed,
    /// the connection was closed before the response
    ClosedBeforeResponse,
    /// no response within the timeout
    TimedOut,
    /// the backend server refused with status {status}
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Refusal code of an engine.
        code: Option<EngineRefusalCode>,
        /// Whether the request ran, as reported by the server.
        ran: Ran,
        /// Whether the server reported that it is leaving.
        leaving: bool,
    },
    /// the address of the backend server is not valid
    InvalidAddress,
    /// the response is not valid or too large
    InvalidResponse,
}

impl std::error::Error for CallError {}

/// Why a stream of frames ended before its last frame.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// the connection broke
    Broken,
    /// a frame could not be parsed
    Malformed,
}

impl std::error::Error for FrameError {}

/// Client of all backend servers, with a pool of connections.
#[derive(Debug, Clone)]
pub struct EngineClient {
    pooled: Client<BackendConnector, Full<Bytes>>,
    /// Opens a new connection for each call.
    unpooled: Client<BackendConnector, Full<Bytes>>,
    max_frame_bytes: usize,
}

impl EngineClient {
    /// Creates a client without connections.
    pub fn new(timeouts: &Timeouts, limits: &Limits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(ms(timeouts.connect_ms)));
        let connector = BackendConnector::new(connector);
        let pooled = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(limits.idle_per_backend)
            .build(connector.clone());
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            pooled,
            unpooled,
            max_frame_bytes: limits.frame_bytes,
        }
    }

    /// Sends a request over a pooled connection and waits for the head of the response.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        valid_response(self.pooled.request(request).await)
    }

    /// Sends a request over a new connection, for calls that may not be repeated.
    ///
    /// A server can close a pooled connection while the request is being written. Whether the
    /// request ran is then unknown, so it would have to be refused.
    pub async fn send_once(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        valid_response(self.unpooled.request(request).await)
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
                max_frame_bytes: self.max_frame_bytes,
            });
        }
        let status = response.status();
        let ran = parse_ran_header(response.headers());
        let closes =
            status == StatusCode::SERVICE_UNAVAILABLE && has_connection_close(response.headers());
        let body = collect_body(response.into_body()).await.ok();
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

    /// Cancels an attempt on an engine.
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
        let send = self.send(post(address, CANCEL_PATH, &call)?);
        let response = with_timeout(CONTROL_CALL_TIMEOUT, send).await?;
        collect_body(response.into_body()).await.map(|_| ())
    }

    /// Fetches the report of an engine.
    pub async fn fetch_report(&self, address: &str) -> Result<EngineReport, CallError> {
        let body = self.get(address, REPORT_PATH).await?;
        serde_json::from_slice(&body).map_err(|_| CallError::InvalidResponse)
    }

    /// Fetches the report of a backend server of a plain service.
    pub async fn fetch_service_report(&self, address: &str) -> Result<ServiceReport, CallError> {
        let body = self.get(address, service::REPORT_PATH).await?;
        serde_json::from_slice(&body).map_err(|_| CallError::InvalidResponse)
    }

    /// Fetches a response body of at most [`MAX_CONTROL_BODY_BYTES`].
    pub async fn get(&self, address: &str, path: &str) -> Result<Bytes, CallError> {
        let request = Request::get(uri(address, path)?).body(Full::default());
        let request = request.map_err(|_| CallError::InvalidAddress)?;
        with_timeout(CONTROL_CALL_TIMEOUT, async {
            let response = self.send(request).await?;
            let status = response.status();
            let ran = parse_ran_header(response.headers());
            let body = collect_body(response.into_body()).await?;
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

/// Stream of the frames of one attempt.
#[derive(Debug)]
pub struct FrameStream {
    body: Incoming,
    /// Received bytes that were not yet returned; bounded by one frame and one read.
    buffer: BytesMut,
    max_frame_bytes: usize,
}

impl FrameStream {
    /// Returns the next frame, or `None` at the end of the stream.
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

/// Returns a response with a status that HTTP defines for the end of a call.
fn valid_response(
    response: Result<Response<Incoming>, hyper_util::client::legacy::Error>,
) -> Result<Response<Incoming>, CallError> {
    let response = response.map_err(call_error)?;
    match is_final_status(response.status()) {
        true => Ok(response),
        false => Err(CallError::InvalidResponse),
    }
}

fn call_error(error: hyper_util::client::legacy::Error) -> CallError {
    if error.is_connect() {
        CallError::ConnectFailed
    } else {
        CallError::ClosedBeforeResponse
    }
}

/// Returns whether a refused request ran, as reported by the server in the headers.
pub fn parse_ran_header(headers: &http::HeaderMap) -> Ran {
    match headers.get(RAN_HEADER).map(http::HeaderValue::as_bytes) {
        Some(b"no") => Ran::No,
        Some(b"yes") => Ran::Yes,
        Some(_) | None => Ran::Unknown,
    }
}

/// Builds the URI of a path on a backend server.
pub fn uri(address: &str, path_and_query: &str) -> Result<Uri, CallError> {
    Uri::builder()
        .scheme("http")
        .authority(address)
        .path_and_query(path_and_query)
        .build()
        .map_err(|_| CallError::InvalidAddress)
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or(Err(CallError::TimedOut))
}

/// Collects a response body of at most [`MAX_CONTROL_BODY_BYTES`].
async fn collect_body(body: Incoming) -> Result<Bytes, CallError> {
    let body = Limited::new(body, MAX_CONTROL_BODY_BYTES).collect().await;
    body.map(|body| body.to_bytes())
        .map_err(|_| CallError::InvalidResponse)
}

/// Builds a POST request with a JSON body.
fn post(
    address: &str,
    path: &str,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, CallError> {
    let body = serde_json::to_vec(body).expect("protocol types can be serialized");
    Request::builder()
        .method(Method::POST)
        .uri(uri(address, path)?)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .map_err(|_| CallError::InvalidAddress)
}
