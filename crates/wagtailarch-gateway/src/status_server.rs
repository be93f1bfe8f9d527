//! The HTTP server for readiness checks and metrics.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::debug;
use tokio::{net::TcpListener, time::sleep};
use wagtailarch_adapter::READY_PATH;

use crate::{gateway::Gateway, metrics::OpenCounts};

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
                let response = respond(&shared, &request);
                async move { Ok::<_, Infallible>(response) }
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

fn respond(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        READY_PATH if gateway.ready() => (StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        METRICS_PATH => {
            let load_balancer = gateway.load_balancer.borrow();
            let open = OpenCounts {
                requests: gateway.open_requests.count(),
                connections: gateway.open_connections.get(),
            };
            gateway.metrics.update(gateway.now(), &load_balancer, open);
            (StatusCode::OK, gateway.metrics.encode())
        }
        _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}
