//! Health and metrics on the admin address.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::Semaphore};

use crate::{admin_api, shared::Shared};

/// Connections to the admin address that may be open at once.
const MAX_CONNECTIONS: usize = 64;

/// Time for the headers of a request to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Content type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the admin address; it ends with the process, after the last client.
pub async fn serve_admin(shared: Arc<Shared>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = answer(&shared, &request);
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

fn answer(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed\n");
    }
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n"),
        "/readyz" if shared.is_ready() => text(StatusCode::OK, "ready\n"),
        "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => {
            let mut response = Response::new(Full::from(shared.metrics.encode()));
            let kind = HeaderValue::from_static(OPEN_METRICS);
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        path if path.starts_with(admin_api::PREFIX) => {
            admin_api::answer(shared, path, request.headers())
        }
        _ => text(StatusCode::NOT_FOUND, "not found\n"),
    }
}

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
