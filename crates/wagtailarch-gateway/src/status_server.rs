//! The HTTP server for readiness checks, metrics and explanations.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, warn};
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};
use wagtailarch_adapter::READY_PATH;
use wagtailarch_wire::explanation::{EXPLAIN_PATH, MAX_EXPLAINED_BYTES};

use crate::{explain::explain, gateway::Gateway, metrics::OpenCounts};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Time for which a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves readiness and metrics at one address until the process ends.
pub async fn serve_status(gateway: Rc<Gateway>, listener: Rc<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            let shared = Rc::clone(&gateway);
            let service = service_fn(move |request| {
                let gateway = Rc::clone(&shared);
                async move { Ok::<_, Infallible>(respond(&gateway, request).await) }
            });
            let result = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                debug!(gateway.log, "status connection ended"; "cause" => %error);
            }
        });
    }
}

async fn respond(gateway: &Gateway, request: Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        READY_PATH if gateway.ready() => text(StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        METRICS_PATH => {
            let load_balancer = gateway.load_balancer.borrow();
            let open = OpenCounts {
                requests: gateway.open_requests.count(),
                connections: gateway.open_connections.get(),
            };
            gateway.metrics.update(gateway.now(), &load_balancer, open);
            text(StatusCode::OK, gateway.metrics.encode())
        }
        EXPLAIN_PATH if request.method() == Method::POST => {
            respond_to_question(gateway, request.into_body()).await
        }
        _ => text(StatusCode::NOT_FOUND, "not found\n".to_owned()),
    }
}

/// Explains where the request in `body` would go; neither the request nor its key is logged.
async fn respond_to_question(gateway: &Gateway, body: Incoming) -> Response<Full<Bytes>> {
    let body = Limited::new(body, MAX_EXPLAINED_BYTES).collect();
    let message = match timeout(IDLE_TIMEOUT, body).await {
        Ok(Ok(message)) => message.to_bytes(),
        Ok(Err(error)) => {
            debug!(gateway.log, "question not read"; "cause" => %error);
            return text(StatusCode::PAYLOAD_TOO_LARGE, format!("body: {error}\n"));
        }
        Err(_) => {
            return text(
                StatusCode::REQUEST_TIMEOUT,
                "body: not received in time\n".into(),
            );
        }
    };
    let explanation = match explain(gateway, &message) {
        Ok(explanation) => explanation,
        Err(error) => return text(error.status(), format!("{error}\n")),
    };
    match serde_json::to_string(&explanation) {
        Ok(json) => {
            let mut response = text(StatusCode::OK, json);
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            warn!(gateway.log, "explanation not encoded"; "cause" => %error);
            text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n"))
        }
    }
}

fn text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}
