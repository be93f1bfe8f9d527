//! Code shared by all stand-ins: options, listening on loopback and HTTP servers.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{Logger, info};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;

/// Body of a response.
pub type Body = BoxBody<Bytes, io::Error>;

/// Maximum number of open connections of a stand-in; further ones wait in the listen queue.
const MAX_CONNECTIONS: usize = 4096;
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Reason why a stand-in could not run.
#[derive(Debug, Display)]
pub enum ServeError {
    /// cannot listen on port {0}: {1}
    Listen(u16, io::Error),
    /// option error: {0}
    Option(pico_args::Error),
    /// unknown arguments: {0}
    UnknownArguments(String),
}

impl std::error::Error for ServeError {}

impl From<pico_args::Error> for ServeError {
    fn from(error: pico_args::Error) -> Self {
        Self::Option(error)
    }
}

/// Handles `--help` and `--version`; returns whether one of them was given.
pub fn handle_help_and_version(args: &mut pico_args::Arguments, program: &str, help: &str) -> bool {
    if args.contains(["-h", "--help"]) {
        println!("{program}: stand-in, not for production.\n\n{help}");
        return true;
    }
    if args.contains(["-V", "--version"]) {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return true;
    }
    false
}

/// Returns an error if arguments are left that belong to no option.
pub fn reject_unknown_args(args: pico_args::Arguments) -> Result<(), ServeError> {
    let rest = args.finish();
    if rest.is_empty() {
        return Ok(());
    }
    Err(ServeError::UnknownArguments(format!("{rest:?}")))
}

/// Listens on loopback and prints `listening address=<ip:port>` on standard output.
pub async fn listen(port: u16) -> Result<TcpListener, ServeError> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let listen_error = |error| ServeError::Listen(port, error);
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    println!(
        "listening address={}",
        listener.local_addr().map_err(listen_error)?
    );
    Ok(listener)
}

/// Accepts connections until the future is dropped and passes each to `handle`.
pub async fn accept_loop<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(TcpStream) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let limit = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&limit).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Accept fails if no file descriptor is free; the pause avoids a busy loop.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let future = handle(stream);
        tokio::spawn(async move {
            future.await;
            drop(permit);
        });
    }
}

/// Serves HTTP/1.1 and HTTP/2 until the future is dropped.
///
/// If `handle` returns an error, the connection is closed without a response.
pub async fn serve_http<F, R, E>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, E>> + Send + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    accept_loop(listener, move |stream| {
        let handle = handle.clone();
        async move {
            let service = service_fn(handle);
            let mut builder = auto::Builder::new(TokioExecutor::new());
            builder.http2().max_concurrent_streams(1024);
            // An error means that the client disconnected or `handle` failed.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        }
    })
    .await;
}

/// Waits for SIGTERM or SIGINT.
pub async fn shutdown_signal(logger: &Logger) {
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(logger, "stopping");
}

/// Builds a response with the given body.
pub fn build_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|error: Infallible| match error {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = build_response(status, bytes);
            let value = http::HeaderValue::from_static("application/json");
            response
                .headers_mut()
                .insert(http::header::CONTENT_TYPE, value);
            response
        }
        Err(error) => build_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Reads the whole body of a request, or returns the response that rejects it.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, Response<Body>> {
    match Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(build_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            error.to_string(),
        )),
    }
}

/// Reads the JSON body of a request, or returns the response that rejects it.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let bytes = read_body(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|e| build_response(StatusCode::BAD_REQUEST, e.to_string()))
}

/// Returns the decoded value of the first query parameter with the given name.
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    for pair in query.unwrap_or_default().split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key != name {
            continue;
        }
        let value = value.replace('+', " ");
        let decoded = percent_encoding::percent_decode_str(&value).decode_utf8_lossy();
        return Some(decoded.into_owned());
    }
    None
}

/// Waits for the end of a drain.
///
/// It lasts at least `linger`, so that clients receive refusals from the leaving server, and then
/// until the server is idle or `grace` has passed since the start of the drain.
pub async fn wait_for_drain(linger: Duration, grace: Duration, is_idle: impl Fn() -> bool) {
    let start = tokio::time::Instant::now();
    tokio::time::sleep(linger).await;
    while !is_idle() && start.elapsed() < grace {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Leaves time to send buffered responses.
    tokio::time::sleep(Duration::from_millis(50)).await;
}
