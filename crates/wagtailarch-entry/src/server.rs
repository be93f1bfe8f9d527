//! HTTP server for clients.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use futures_util::FutureExt;
use http::{HeaderValue, Method, Request, Response, Version, header, request::Parts};
use hyper::{
    body::{Body, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};
use wagtailarch_types::{Ran, RefusalReason, RequestId, format_request_id};

use crate::{
    body::{ClientBody, on_complete},
    chat::{self, Api},
    client_io::{ClientIo, ClientSocket},
    client_tls::ClientAcceptor,
    proxy,
    refusal::Refusal,
    request::RequestContext,
    settings::ms,
    shared::{Shared, Stage},
};

/// Delay after a failed accept, for instance when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time in which a connection that was accepted just before the listener closes may send its first
/// request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts client connections until the instance closes its listener during the shutdown.
pub async fn serve_clients(
    shared: Arc<Shared>,
    listener: TcpListener,
    tls: Option<ClientAcceptor>,
) {
    let connection_slots = Arc::new(Semaphore::new(shared.settings.limits.connections));
    let finishing = shared.wait_for_stage(Stage::Finishing);
    let mut finishing = std::pin::pin!(finishing);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = finishing.as_mut() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&shared, &connection_slots, &tls, stream),
            Err(error) => on_accept_error(&shared, &error).await,
        }
    }
    // Closing the listener would reset the connections that are still waiting to be accepted.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn_connection(&shared, &connection_slots, &tls, stream);
    }
}

/// Serves a connection in its own task, or closes it if the connection limit is reached.
fn spawn_connection(
    shared: &Arc<Shared>,
    connection_slots: &Arc<Semaphore>,
    tls: &Option<ClientAcceptor>,
    stream: TcpStream,
) {
    let Ok(slot) = Arc::clone(connection_slots).try_acquire_owned() else {
        // Any response would take more resources than closing the connection.
        shared.metrics.count_connection_event("refused");
        return;
    };
    shared.metrics.count_connection_event("accepted");
    let shared = Arc::clone(shared);
    let running_token = shared.track_connection();
    let tls = tls.clone();
    tokio::spawn(async move {
        shared.metrics.open_connections.inc();
        open_connection(&shared, stream, tls).await;
        shared.metrics.open_connections.dec();
        drop((slot, running_token));
    });
}

/// Counts and logs a failed accept, then waits before the next one.
async fn on_accept_error(shared: &Shared, error: &io::Error) {
    shared.metrics.count_connection_event("failed");
    slog::warn!(shared.log, "accept_failed"; "error" => %error);
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

/// Performs the TLS handshake, if TLS is configured, and serves the connection.
async fn open_connection(shared: &Arc<Shared>, stream: TcpStream, tls: Option<ClientAcceptor>) {
    let _ = stream.set_nodelay(true);
    let timeouts = &shared.settings.timeouts;
    let (io, socket) = ClientIo::new(stream, ms(timeouts.client_stall_ms));
    let Some(tls) = tls else {
        return serve_connection(shared, io, &socket).await;
    };
    let handshake = tls.accept(io, ms(timeouts.header_ms));
    let stream = tokio::select! {
        stream = handshake => stream,
        () = shared.wait_for_stage(Stage::Stopped) => None,
    };
    match stream {
        Some(stream) => {
            socket.set_encrypted();
            serve_connection(shared, stream, &socket).await;
        }
        None => shared.metrics.count_connection_event("reset"),
    }
}

/// Serves the HTTP requests of a connection until it ends or the instance stops.
async fn serve_connection(
    shared: &Arc<Shared>,
    io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    socket: &Arc<ClientSocket>,
) {
    let timeouts = &shared.settings.timeouts;
    let service = service_fn(|request| {
        let shared = Arc::clone(shared);
        let socket = Arc::clone(socket);
        socket.count_request();
        async move {
            let version = request.version();
            let response = handle_request(&shared, request).await;
            Ok::<_, Infallible>(match version < Version::HTTP_11 {
                true => end_by_close(&shared, socket, response),
                false => response,
            })
        }
    });
    let builder = connection_builder(shared);
    let connection = builder.serve_connection(TokioIo::new(io), service);
    let mut connection = std::pin::pin!(connection);
    let mut header_timer = std::pin::pin!(sleep(ms(timeouts.header_ms)));
    let mut draining = false;
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break result.map_err(ConnectionError::from_hyper),
            // The header timeout of hyper starts only once the HTTP version is known.
            () = header_timer.as_mut(), if !header_timer.is_elapsed() => {
                if socket.is_protocol_unknown() {
                    break Err(ConnectionError::HeadersTooSlow);
                }
            }
            () = wait_for_shutdown(shared, socket), if !draining => {
                draining = true;
                connection.as_mut().graceful_shutdown();
            }
            () = shared.wait_for_stage(Stage::Stopped) => break Ok(()),
        }
    };
    if let Err(error) = result {
        error.finish(shared, socket);
    }
}

/// Resets the connection of an HTTP/1.0 client unless the whole response was produced: without
/// chunks, the end of the connection is the end of a body of unknown length.
fn end_by_close(
    shared: &Shared,
    socket: Arc<ClientSocket>,
    response: Response<ClientBody>,
) -> Response<ClientBody> {
    if response.body().size_hint().exact().is_some() {
        return response;
    }
    set_resets_on_close(&shared.log, &socket, true);
    let log = shared.log.clone();
    response.map(|body| on_complete(body, move || set_resets_on_close(&log, &socket, false)))
}

fn set_resets_on_close(log: &slog::Logger, socket: &ClientSocket, resets: bool) {
    if let Err(error) = socket.set_resets_on_close(resets) {
        slog::warn!(log, "socket_option_not_set"; "error" => %error);
    }
}

/// Waits until a connection should accept no further requests.
///
/// A graceful shutdown in hyper immediately closes a connection that has received no request. A
/// connection that was accepted just before the listener closed therefore gets time to send its
/// first one.
async fn wait_for_shutdown(shared: &Shared, socket: &ClientSocket) {
    shared.wait_for_stage(Stage::Finishing).await;
    if !socket.has_requests() {
        sleep(FIRST_REQUEST_TIMEOUT).await;
    }
}

/// Why a connection failed; the names of the variants appear in the log.
#[derive(Debug)]
enum ConnectionError {
    /// The headers of a request did not arrive in time.
    HeadersTooSlow,
    /// The headers could not be parsed; hyper has sent the response.
    Malformed,
    /// The client closed or reset the connection, or stopped reading.
    Reset,
}

impl ConnectionError {
    fn from_hyper(error: Box<dyn std::error::Error + Send + Sync>) -> Self {
        match error.downcast_ref::<hyper::Error>() {
            Some(error) if error.is_timeout() => Self::HeadersTooSlow,
            Some(error) if error.is_parse() => Self::Malformed,
            Some(_) | None => Self::Reset,
        }
    }

    /// Counts and logs the failure; responds to a request whose headers arrived only in part.
    fn finish(&self, shared: &Shared, socket: &ClientSocket) {
        match self {
            Self::HeadersTooSlow if socket.has_unanswered_input() => {
                shared
                    .metrics
                    .outcomes
                    .count_refusal(RefusalReason::HeadersTooSlow);
                socket.write_final_response(&header_timeout_response());
            }
            Self::Malformed => shared
                .metrics
                .outcomes
                .count_refusal(RefusalReason::BadRequest),
            Self::HeadersTooSlow | Self::Reset => shared.metrics.count_connection_event("reset"),
        }
        slog::debug!(shared.log, "connection_ended"; "cause" => ?self);
    }
}

/// Returns the bytes of the HTTP/1.1 response that is sent after the header timeout.
fn header_timeout_response() -> Vec<u8> {
    let message = "the headers took too long to arrive";
    let refusal = Refusal::new(RefusalReason::HeadersTooSlow, message);
    let body = refusal.to_json().to_string();
    format!(
        "HTTP/1.1 408 Request Timeout\r\ncontent-type: application/json\r\nx-ran: no\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Creates the HTTP server of a connection with the configured limits and timeouts.
fn connection_builder(shared: &Shared) -> auto::Builder<TokioExecutor> {
    let limits = &shared.settings.limits;
    let header_timeout = ms(shared.settings.timeouts.header_ms);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(limits.header_bytes)
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams_per_connection)
        .max_header_list_size(limits.header_bytes as u32)
        .keep_alive_interval(Duration::from_secs(20))
        .keep_alive_timeout(header_timeout);
    builder
}

/// Responds to one request.
async fn handle_request(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<ClientBody> {
    let id: RequestId = rand::random();
    shared.metrics.requests.inc();
    let version = request.version();
    let (parts, mut body) = request.into_parts();
    let routed = tokio::select! {
        biased;
        routed = route_request(shared, id, parts, &mut body) => routed,
        () = shared.wait_for_stage(Stage::Responding) => {
            let message = "the instance stopped before the response";
            Err(Refusal::new(RefusalReason::Draining, message).ran(Ran::Unknown))
        }
    };
    let mut response = match routed {
        Ok(response) => response,
        Err(refusal) => {
            shared.metrics.outcomes.count_refusal(refusal.reason);
            slog::debug!(shared.log, "refused"; "request" => format_request_id(id),
                "reason" => refusal.reason.as_str(), "ran" => refusal.ran.as_str());
            let mut response = refusal.to_response();
            if version < Version::HTTP_2 && !read_rest(shared, &mut body).await {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
    };
    let id_text = format_request_id(id);
    let id_text = HeaderValue::from_str(&id_text).expect("request ids are hexadecimal");
    response.headers_mut().insert("x-request-id", id_text);
    if version < Version::HTTP_2 && shared.stage() >= Stage::Leaving {
        // The client then opens a new connection, which the load balancer sends to another
        // instance.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads the rest of a refused request until the instance has to respond; returns whether it was
/// read whole.
async fn read_rest(shared: &Shared, body: &mut Incoming) -> bool {
    tokio::select! {
        biased;
        is_read = shared.body_reader.discard_rest(body) => is_read,
        () = shared.wait_for_stage(Stage::Responding) => false,
    }
}

/// Authorizes a request and passes it to the handler for its path.
async fn route_request(
    shared: &Arc<Shared>,
    id: RequestId,
    parts: Parts,
    body: &mut Incoming,
) -> Result<Response<ClientBody>, Refusal> {
    let running = shared.start_request(id)?;
    check_path(parts.uri.path())?;
    let context = RequestContext::new(running, id, &parts.headers)?;
    match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => chat::complete(context, Api::Chat, body).await,
        (&Method::POST, "/v1/completions") => chat::complete(context, Api::Text, body).await,
        (&Method::GET, "/v1/models") => Ok(chat::models(&context)),
        _ => proxy::forward(context, parts, body).await,
    }
}

/// Refuses paths that a backend server could resolve to a different path.
///
/// The route is selected by the path as sent, so `/a/../b` would use the settings of `/a/`.
fn check_path(path: &str) -> Result<(), Refusal> {
    let lower = path.to_ascii_lowercase();
    let has_dot_segment = lower.split('/').any(|part| matches!(part, "." | ".."));
    if has_dot_segment || lower.contains("%2e") || lower.contains("%2f") || lower.contains("//") {
        let message = "the path must be in its normal form";
        return Err(Refusal::new(RefusalReason::BadRequest, message));
    }
    Ok(())
}
