//! The server for clients.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use http::{HeaderValue, Method, Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use wagtailarch_types::{RequestId, format_request_id};

use crate::{
    body::ClientBody,
    chat::{self, Api},
    proxy,
    refusal::Refusal,
    request::RequestContext,
    settings::ms,
    shared::{Shared, Stage},
};

/// Pause after a failed accept, for instance when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts clients until the instance finishes.
pub async fn serve_clients(shared: Arc<Shared>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(shared.settings.limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.reached(Stage::Finishing) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                accept_failed(&shared, &error).await;
                continue;
            }
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            // Closing at once is the only answer that costs nothing.
            shared.metrics.connection("refused");
            continue;
        };
        shared.metrics.connection("accepted");
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            shared.metrics.open_connections.inc();
            serve_connection(&shared, stream).await;
            shared.metrics.open_connections.dec();
            drop(slot);
        });
    }
}

async fn accept_failed(shared: &Shared, error: &io::Error) {
    shared.metrics.connection("failed");
    slog::warn!(shared.log, "accept_failed"; "error" => %error);
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

async fn serve_connection(shared: &Arc<Shared>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let shared = Arc::clone(shared);
        async move { Ok::<_, Infallible>(handle(&shared, request).await) }
    });
    let builder = builder(shared);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = shared.reached(Stage::Finishing) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection.as_mut() => result,
                () = shared.reached(Stage::Stopped) => Ok(()),
            }
        }
    };
    if let Err(error) = result {
        shared.metrics.connection("reset");
        slog::debug!(shared.log, "connection_ended"; "error" => %error);
    }
}

fn builder(shared: &Shared) -> auto::Builder<TokioExecutor> {
    let limits = &shared.settings.limits;
    let header_time = ms(shared.settings.timeouts.header_ms);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_time)
        .max_buf_size(limits.header_bytes)
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams_per_connection)
        .max_header_list_size(limits.header_bytes as u32)
        .keep_alive_interval(Duration::from_secs(20))
        .keep_alive_timeout(header_time);
    builder
}

/// Answers one request.
async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<ClientBody> {
    let id: RequestId = rand::random();
    shared.metrics.requests.inc();
    let mut response = match answer(shared, id, request).await {
        Ok(response) => response,
        Err(refusal) => {
            shared.metrics.refused(refusal.reason);
            slog::debug!(shared.log, "refused"; "request" => format_request_id(id),
                "reason" => refusal.reason.as_str(), "ran" => refusal.ran.as_str());
            refusal.to_response()
        }
    };
    let text = format_request_id(id);
    let text = HeaderValue::from_str(&text).expect("request ids are hexadecimal");
    response.headers_mut().insert("x-request-id", text);
    response
}

async fn answer(
    shared: &Arc<Shared>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<ClientBody>, Refusal> {
    let running = shared.begin(id)?;
    let (parts, body) = request.into_parts();
    let context = RequestContext::new(running, id, &parts.headers)?;
    match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => chat::complete(context, Api::Chat, body).await,
        (&Method::POST, "/v1/completions") => chat::complete(context, Api::Text, body).await,
        (&Method::GET, "/v1/models") => Ok(chat::models(&context)),
        _ => proxy::forward(context, parts, body).await,
    }
}
