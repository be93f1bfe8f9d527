//! The HTTP server for clients.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use wagtailarch_adapter::{ClientRequest, decode_client_request, encode_refusal};
use wagtailarch_dispatch::{Access, ClientLimits, Route, RoutingConfig};
use wagtailarch_types::{Ran, RefusalReason, TeamName};
use wagtailarch_wire::forward::{ForwardCall, NotTaken, TeamCall};

use crate::{
    attempts::Attempts,
    body_buffer::{BufferError, BufferedBody, discard_rest},
    client_meter::ClientMeter,
    forward::{
        client as forward_client,
        server::{Served, not_taken},
    },
    gateway::{Gateway, ShutdownState},
    generation,
    guards::{ConnectionGuard, RequestGuard, ServingGuard},
    metered_stream::MeteredStream,
    metrics::ForwardEvent,
    panic_handling::catch_panic,
    plain,
    refusal::{DEFAULT_RETRY_AFTER, Refusal},
    request_context::{ReceivedRequest, RequestContext, RequestTeam},
    response_body::ResponseBody,
    stall_detector::ClientStall,
};

/// Pause after a failed accept, for instance when no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Factor between the configured idle timeout and the time after which a connection is closed.
///
/// Clients may reuse a connection shortly before the idle timeout expires, and a longer timeout may
/// be configured while the connection is open.
const IDLE_FACTOR: u32 = 4;
/// Limit on open client connections; further ones are closed before anything is read.
///
/// Half of the 4,100 file descriptors of the smallest machines are left for calls to servers.
const MAX_CLIENT_CONNECTIONS: usize = 2_000;

/// Accepts client connections until the shutdown reaches [`ShutdownState::Finishing`].
///
/// A request accepted later would be cut off when the process ends, while the client of a refused
/// connection knows that nothing was read.
pub async fn serve_clients(gateway: Rc<Gateway>, listener: Rc<TcpListener>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.until_shutdown(ShutdownState::Finishing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(guard) = ConnectionGuard::new(&gateway, MAX_CLIENT_CONNECTIONS) else {
                    warn!(gateway.log, "connection refused"; "cause" => "too many connections",
                        "limit" => MAX_CLIENT_CONNECTIONS);
                    continue;
                };
                tokio::task::spawn_local(serve_client(Rc::clone(&gateway), stream, guard));
            }
            Err(error) => {
                warn!(gateway.log, "accept failed"; "cause" => %error);
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_client(gateway: Rc<Gateway>, stream: TcpStream, _guard: ConnectionGuard) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(gateway.log, "socket option not set"; "cause" => %error);
    }
    let limits = client_limits(&gateway);
    let meter = Rc::new(ClientMeter::default());
    let stream = MeteredStream::new(stream, Rc::clone(&meter));
    let shared = Rc::clone(&gateway);
    let request_meter = Rc::clone(&meter);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Rc::clone(&shared);
        let guard = ServingGuard::new(&request_meter);
        let version = request.version();
        async move {
            let response = respond(gateway, request).await;
            Ok::<_, Infallible>(response.map(|body| body.with_serving_guard(guard, version)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also covers the idle time between two requests.
        .header_read_timeout(limits.idle_timeout * IDLE_FACTOR)
        .max_buf_size(limits.head_bytes.max(8 * 1024) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        stall = meter.stall_detector.wait_for_stall(limits.head_timeout, limits.idle_timeout) => {
            match stall {
                ClientStall::Head => {
                    gateway.metrics.outcomes.count_refusal(RefusalReason::HeadersTooSlow);
                    info!(gateway.log, "connection closed"; "reason" => %RefusalReason::HeadersTooSlow,
                        "limit_ms" => limits.head_timeout.as_millis() as u64);
                }
                ClientStall::Response => {
                    info!(gateway.log, "connection closed"; "reason" => "client reads nothing",
                        "limit_ms" => limits.idle_timeout.as_millis() as u64);
                }
            }
            return;
        }
        () = gateway.until_shutdown(ShutdownState::Finishing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(gateway.log, "client connection ended"; "cause" => %error);
    }
}

/// Responds to one request; a panic of its task becomes a 502.
async fn respond(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let served = catch_panic(
        &gateway.log,
        "request",
        serve_request(&gateway, request, None),
    )
    .await;
    // After a panic it is unknown whether the request ran.
    let mut response = served.unwrap_or_else(|| empty_response(StatusCode::BAD_GATEWAY));
    if *gateway.shutdown.borrow() != ShutdownState::Running {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Serves a request; `forwarded` accompanies the request of another instance.
///
/// A response is sent after the whole request has been read, also if the request is refused.
pub async fn serve_request(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    forwarded: Option<TeamCall>,
) -> Response<ResponseBody> {
    let (parts, mut body) = request.into_parts();
    let mut response = serve_parts(gateway, parts, &mut body, forwarded).await;
    let limits = client_limits(gateway);
    let is_read = tokio::select! {
        biased;
        is_read = discard_rest(&mut body, limits.body_bytes, limits.head_timeout) => is_read,
        () = gateway.until_shutdown(ShutdownState::Responding) => false,
    };
    if !is_read {
        // The connection is closed, and a request that followed on it would have no response.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Decodes the head of a request, finds its route, reads its body and serves it.
async fn serve_parts(
    gateway: &Rc<Gateway>,
    parts: request::Parts,
    body: &mut Incoming,
    forwarded: Option<TeamCall>,
) -> Response<ResponseBody> {
    let arrived = gateway.now();
    let mut client = match decode_client_request(parts) {
        Ok(client) => client,
        Err(error) => {
            info!(gateway.log, "refused"; "reason" => %RefusalReason::BadRequest,
                "cause" => %error);
            gateway
                .metrics
                .outcomes
                .count_refusal(RefusalReason::BadRequest);
            return empty_response(StatusCode::BAD_REQUEST);
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
            .count_refusal(RefusalReason::UnknownRoute);
        return empty_response(StatusCode::NOT_FOUND);
    };
    let team = match &forwarded {
        None => identify(gateway, &config, &route, &mut client),
        Some(call) => Ok(call.team.as_ref().map(|name| forwarded_team(&config, name))),
    };
    let team = match team {
        Ok(team) => team,
        Err(response) => return response,
    };
    match forwarded {
        // The sender has counted the request.
        Some(_) => gateway.metrics.count_forward(ForwardEvent::Received),
        None => gateway.metrics.count_request(route.kind),
    }
    let request_guard = RequestGuard::new(gateway, client.id.clone());
    let open_request = Rc::clone(&request_guard.request);
    let body = tokio::select! {
        biased;
        body = read_body(gateway, &client, body, route.timeout) => body,
        () = gateway.until_shutdown(ShutdownState::Responding) => {
            Err(refuse(gateway, &client, RefusalReason::Draining))
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(response) => return response,
    };
    open_request.on_read(gateway.now());
    let received = ReceivedRequest {
        client,
        body,
        route,
        team,
        config,
        arrived,
        forwarded: forwarded.map(|call| call.call),
        open: Rc::clone(&open_request),
    };
    let context = Rc::new(RequestContext::new(gateway, received));
    let response = tokio::select! {
        biased;
        response = serve(&context) => response,
        () = gateway.until_shutdown(ShutdownState::Responding) => {
            context.draining(open_request.ran()).respond(&context)
        }
    };
    open_request.on_response();
    response.map(|body| body.with_request_guard(request_guard))
}

/// Determines the team of a client's request by its key, which is dropped.
fn identify(
    gateway: &Gateway,
    config: &RoutingConfig,
    route: &Route,
    client: &mut ClientRequest,
) -> Result<Option<RequestTeam>, Response<ResponseBody>> {
    let key = client.key.take();
    let access = config.access(route, key.as_ref());
    // A configuration that may be outdated neither proves that a key is valid nor that it is not.
    if access != Access::Open && !gateway.is_key_proof_recent() {
        return Err(refuse(
            gateway,
            client,
            RefusalReason::ConfigurationUnproven,
        ));
    }
    match access {
        Access::Open => Ok(None),
        Access::Team(team) => Ok(Some(RequestTeam {
            name: team.name.clone(),
            priority: team.route_priority,
        })),
        Access::Denied => {
            let reason = RefusalReason::Unauthorized;
            let cause = match key {
                Some(_) => "unknown key",
                None => "no usable key",
            };
            info!(gateway.log, "refused"; "request" => %client.id, "route" => %route.name,
                "reason" => %reason, "cause" => cause, "generation" => config.generation());
            gateway.metrics.outcomes.count_refusal(reason);
            Err(empty_response(StatusCode::UNAUTHORIZED))
        }
    }
}

/// Returns the team that another instance has determined.
fn forwarded_team(config: &RoutingConfig, name: &TeamName) -> RequestTeam {
    let mut teams = config.teams().iter();
    let team = teams.find(|team| team.name == *name);
    RequestTeam {
        name: name.clone(),
        priority: team.and_then(|team| team.route_priority),
    }
}

/// Serves a request that was read whole.
async fn serve(context: &Rc<RequestContext>) -> Response<ResponseBody> {
    match &context.forwarded {
        Some(_) if context.gateway.is_path_doubted(&context.service) => not_taken(NotTaken::NoPath),
        Some(call) => serve_forwarded(context, call).await,
        None => match forward_client::serve(context).await {
            Ok(response) => response,
            Err(attempts) => serve_here(context, attempts).await,
        },
    }
}

/// Serves a request by the servers that this instance reaches, after the given attempts elsewhere.
async fn serve_here(context: &Rc<RequestContext>, attempts: Attempts) -> Response<ResponseBody> {
    context.count();
    if let Err(refusal) = context.admit() {
        return refusal.after(attempts.ran()).respond(context);
    }
    let context = Rc::clone(context);
    match context.route.kind.is_stream() {
        true => generation::serve(context, attempts).await,
        false => plain::serve(context).await,
    }
}

/// Serves a request of another instance like that of a client.
async fn serve_forwarded(
    context: &Rc<RequestContext>,
    call: &ForwardCall,
) -> Response<ResponseBody> {
    let gateway = &context.gateway;
    if call.takes_retry && !gateway.try_retry(&context.service) {
        let refusal = Refusal {
            reason: RefusalReason::RetryBudgetExhausted,
            ran: Ran::No,
            retry_after: DEFAULT_RETRY_AFTER,
        };
        return refusal.respond(context);
    }
    let mut response = serve_here(context, Attempts::default()).await;
    let refusal = response.extensions().get::<Refusal>();
    if refusal.is_some_and(|refusal| refusal.ran == Ran::No)
        && gateway.is_path_doubted(&context.service)
    {
        return not_taken(NotTaken::NoPath);
    }
    info!(gateway.log, "served for an instance"; "request" => %context.client.id,
        "peer" => %call.sender, "status" => response.status().as_u16(),
        "age_ms" => context.age().as_millis() as u64);
    response.extensions_mut().insert(Served {
        possible_runs: context.possible_runs.get() + 1,
        version: context.version.get(),
        leaving: context.leaving_servers.take(),
    });
    response
}

/// Buffers the whole body of a request.
async fn read_body(
    gateway: &Gateway,
    client: &ClientRequest,
    body: &mut Incoming,
    limit: Duration,
) -> Result<BufferedBody, Response<ResponseBody>> {
    let body = gateway
        .buffer_budget
        .read(body, client_limits(gateway).body_bytes);
    match tokio::time::timeout(limit, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BufferError::BudgetExhausted)) => {
            Err(refuse(gateway, client, RefusalReason::Overloaded))
        }
        Ok(Err(BufferError::TooLarge(_))) => {
            gateway
                .metrics
                .outcomes
                .count_refusal(RefusalReason::BodyTooLarge);
            Err(empty_response(StatusCode::PAYLOAD_TOO_LARGE))
        }
        Ok(Err(BufferError::Connection(error))) => {
            info!(gateway.log, "body not read"; "request" => %client.id, "cause" => %error);
            Err(empty_response(StatusCode::BAD_REQUEST))
        }
        Err(_) => {
            gateway
                .metrics
                .outcomes
                .count_refusal(RefusalReason::HeadersTooSlow);
            Err(empty_response(StatusCode::REQUEST_TIMEOUT))
        }
    }
}

fn refuse(
    gateway: &Gateway,
    client: &ClientRequest,
    reason: RefusalReason,
) -> Response<ResponseBody> {
    info!(gateway.log, "refused"; "request" => %client.id, "reason" => %reason);
    gateway.metrics.outcomes.count_refusal(reason);
    let refusal = Refusal {
        reason,
        ran: Ran::No,
        retry_after: DEFAULT_RETRY_AFTER,
    };
    refusal.response_without_log()
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    encode_refusal(status, None).map(|()| ResponseBody::full(Bytes::new()))
}

/// Returns the limits on what clients may send.
pub fn client_limits(gateway: &Gateway) -> ClientLimits {
    let snapshot = gateway.snapshot();
    snapshot
        .config
        .as_ref()
        .map_or_else(ClientLimits::default, |config| config.limits())
}
