//! The server for clients.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use wagtailarch_adapter::{ClientRequest, decode_client_request, encode_refusal};
use wagtailarch_dispatch::ClientLimits;
use wagtailarch_traffic::Verdict;
use wagtailarch_types::{Ran, RefusalReason};

use crate::{
    answer_body::AnswerBody,
    client_clock::{ClientClock, Overdue},
    gateway::{Gateway, Stopping},
    generation,
    guards::{OpenConnection, OpenRequest, Serving},
    held_bytes::{HeldBody, HoldError},
    job::Job,
    metered_stream::MeteredStream,
    panic_handling::catch_panic,
    plain,
    refusal::{Refusal, SOON},
};

/// Pause after a failed accept, for instance when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Factor between the configured idle time and the time after which a connection is closed.
///
/// Clients may reuse a connection shortly before the idle time is over, and a longer idle time may be
/// configured while the connection is open.
const IDLE_FACTOR: u32 = 4;
/// Connections of clients that are open at once; further ones are closed before anything is read.
///
/// Half of the 4,100 descriptors of the smallest machines are left for calls to servers.
const MAX_CLIENT_CONNECTIONS: usize = 2_000;
/// Time after which a client may return whose request has crashed servers.
const AFTER_CRASHES: Duration = Duration::from_secs(10);

/// Accepts clients until the process finishes.
///
/// A request that is taken late in a shutdown would be cut at its end, while the client of a refused
/// connection knows that nothing was read.
pub async fn serve_clients(gateway: Rc<Gateway>, listener: Rc<TcpListener>) {
    let mut stopping = gateway.stopping.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping == Stopping::Finishing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(open) = OpenConnection::new(&gateway, MAX_CLIENT_CONNECTIONS) else {
                    warn!(gateway.log, "connection refused"; "cause" => "too many connections",
                        "limit" => MAX_CLIENT_CONNECTIONS);
                    continue;
                };
                tokio::task::spawn_local(serve_client(Rc::clone(&gateway), stream, open));
            }
            Err(error) => {
                warn!(gateway.log, "accept failed"; "cause" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_client(gateway: Rc<Gateway>, stream: TcpStream, _open: OpenConnection) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(gateway.log, "socket option not set"; "cause" => %error);
    }
    let limits = limits(&gateway);
    let mut stopping = gateway.stopping.subscribe();
    let clock = Rc::new(ClientClock::default());
    let stream = MeteredStream::new(stream, Rc::clone(&clock));
    let shared = Rc::clone(&gateway);
    let served = Rc::clone(&clock);
    let service = service_fn(move |request| {
        let gateway = Rc::clone(&shared);
        let serving = Serving::new(&served);
        async move {
            let response = answer(gateway, request).await;
            Ok::<_, Infallible>(response.map(|body| body.with_serving(serving)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timer also runs between two requests.
        .header_read_timeout(limits.idle_timeout * IDLE_FACTOR)
        .max_buf_size(limits.head_bytes.max(8 * 1024) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        overdue = clock.overdue(limits.head_timeout, limits.idle_timeout) => {
            match overdue {
                Overdue::Head => {
                    gateway.metrics.outcomes.refused(RefusalReason::HeadersTooSlow);
                    info!(gateway.log, "connection closed"; "reason" => %RefusalReason::HeadersTooSlow,
                        "limit_ms" => limits.head_timeout.as_millis() as u64);
                }
                Overdue::Answer => {
                    info!(gateway.log, "connection closed"; "reason" => "client reads nothing",
                        "limit_ms" => limits.idle_timeout.as_millis() as u64);
                }
            }
            return;
        }
        _ = stopping.wait_for(|stopping| *stopping == Stopping::Finishing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(gateway.log, "client connection ended"; "cause" => %error);
    }
}

/// Answers one request.
async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let routed = catch_panic(&gateway.log, "request", route(&gateway, request)).await;
    // Nobody knows how far a request came whose task panicked.
    let mut response = routed.unwrap_or_else(|| status(StatusCode::BAD_GATEWAY));
    if *gateway.stopping.borrow() != Stopping::No {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads a request, finds its route and serves it.
async fn route(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = gateway.now();
    let (parts, body) = request.into_parts();
    let client = match decode_client_request(parts) {
        Ok(client) => client,
        Err(fault) => {
            info!(gateway.log, "refused"; "reason" => %RefusalReason::BadRequest,
                "cause" => %fault);
            gateway.metrics.outcomes.refused(RefusalReason::BadRequest);
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let Some(config) = gateway.snapshot().config.clone() else {
        return refuse(gateway, &client, RefusalReason::NotConfigured);
    };
    let Some(route) = config.find(&client.host, client.path()).cloned() else {
        info!(gateway.log, "refused"; "request" => %client.id, "host" => %client.host,
            "reason" => %RefusalReason::UnknownRoute, "generation" => config.generation());
        gateway
            .metrics
            .outcomes
            .refused(RefusalReason::UnknownRoute);
        return status(StatusCode::NOT_FOUND);
    };
    gateway.metrics.request(route.kind);
    let open = OpenRequest::new(gateway);
    let body = match read_body(gateway, &client, body, route.timeout).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let job = Job::new(gateway, client, body, route, config, arrived);
    gateway.count_request(&job.service);
    let job = Rc::new(job);
    let response = if crashed_servers(&job) {
        Refusal::not_run(RefusalReason::Quarantined, AFTER_CRASHES).respond(&job)
    } else if job.route.kind.is_stream() {
        generation::serve(job).await
    } else {
        plain::serve(job).await
    };
    response.map(|body| body.with_open(open))
}

/// Tells whether the request has crashed servers before and is not to be run again.
fn crashed_servers(job: &Job) -> bool {
    let gateway = &job.gateway;
    gateway.quarantine.check(gateway.now(), job.fingerprint) == Verdict::Quarantined
}

/// Reads the whole body of a request.
async fn read_body(
    gateway: &Gateway,
    client: &ClientRequest,
    body: Incoming,
    limit: Duration,
) -> Result<HeldBody, Response<AnswerBody>> {
    let body = gateway.held.read(body, limits(gateway).body_bytes);
    match tokio::time::timeout(limit, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(HoldError::NoRoom)) => Err(refuse(gateway, client, RefusalReason::Overloaded)),
        Ok(Err(HoldError::TooLarge(_))) => {
            gateway
                .metrics
                .outcomes
                .refused(RefusalReason::BodyTooLarge);
            Err(status(StatusCode::PAYLOAD_TOO_LARGE))
        }
        Ok(Err(HoldError::Broken(error))) => {
            info!(gateway.log, "body not read"; "request" => %client.id, "cause" => %error);
            Err(status(StatusCode::BAD_REQUEST))
        }
        Err(_) => {
            gateway
                .metrics
                .outcomes
                .refused(RefusalReason::HeadersTooSlow);
            Err(status(StatusCode::REQUEST_TIMEOUT))
        }
    }
}

fn refuse(
    gateway: &Gateway,
    client: &ClientRequest,
    reason: RefusalReason,
) -> Response<AnswerBody> {
    info!(gateway.log, "refused"; "request" => %client.id, "reason" => %reason);
    gateway.metrics.outcomes.refused(reason);
    let refusal = Refusal {
        reason,
        ran: Ran::No,
        retry_after: SOON,
    };
    refusal.bare()
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    encode_refusal(status, None).map(|()| AnswerBody::whole(Bytes::new()))
}

fn limits(gateway: &Gateway) -> ClientLimits {
    let snapshot = gateway.snapshot();
    snapshot
        .config
        .as_ref()
        .map_or_else(ClientLimits::default, |config| config.limits())
}
