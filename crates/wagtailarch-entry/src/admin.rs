//! HTTP server on the admin address: health checks, metrics and the administration API.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::Semaphore};

use crate::{admin_api, shared::Shared};

/// Maximum number of open connections to the admin address.
const MAX_CONNECTIONS: usize = 64;

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Content type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the admin address until the process exits, thus also while the instance drains.
pub async fn serve_admin(shared: Arc<Shared>, listener: TcpListener) {
    let connection_slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&connection_slots).try_acquire_owned() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = respond(&shared, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(slot);
        });
    }
}

fn respond(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed\n");
    }
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n"),
        "/readyz" if shared.is_ready() => text(StatusCode::OK, "ready\n"),
        "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => {
            let mut response = Response::new(Full::from(shared.metrics.encode()));
            let content_type = HeaderValue::from_static(OPEN_METRICS);
            response
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            response
        }
        path if path.starts_with(admin_api::PREFIX) => {
            admin_api::respond(shared, path, request.headers())
        }
        _ => text(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// Builds a plain-text response.
fn text(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}

/// Builds a JSON response.
pub fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
