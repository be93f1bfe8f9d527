//! The HTTP server for clients' requests that other instances send through this one.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use wagtailarch_dispatch::ServerProcess;
use wagtailarch_types::VersionKey;
use wagtailarch_wire::forward::{
    END_TRAILER, ForwardOutcome, LEAVING_HEADER, NOT_TAKEN_STATUS, NotTaken, OUTCOME_HEADER,
    TeamCall, encode, encode_leaving, take_call,
};

use crate::{
    body_buffer::discard_rest,
    connection::{SilenceLimit, set_options},
    forward::link_body::LinkBody,
    gateway::{Gateway, ShutdownState},
    guards::{ConnectionGuard, PeerRequestGuard},
    metrics::ForwardEvent,
    panic_handling::catch_panic,
    refusal::Refusal,
    response_body::ResponseBody,
    server::{client_limits, serve_request},
};

/// Pause after a failed accept, for instance when no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time within which the head of a call must arrive; it is sent at once.
const HEAD_LIMIT: Duration = Duration::from_secs(3);
/// Time within which the body of a call that is not taken must arrive.
const DRAIN_LIMIT: Duration = Duration::from_secs(1);
/// Bytes of a call's head besides those of the client.
const CALL_HEAD_BYTES: usize = 2 * 1024;

/// What the response to a taken call states besides the response for the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// Number of calls to servers that may have run the request, with the earlier ones.
    pub possible_runs: u32,
    /// Software version of the server that began a stream.
    pub version: Option<VersionKey>,
    /// Servers that have stated in responses to the request that they leave.
    pub leaving: Vec<ServerProcess>,
}

/// Accepts calls of other instances until the process ends.
///
/// An instance that shuts down still responds, so that the sender learns that nothing ran.
pub async fn serve_instances(gateway: Rc<Gateway>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                // The shutdown waits for it until the whole response is sent.
                let guard = ConnectionGuard::new(&gateway, usize::MAX);
                tokio::task::spawn_local(serve_instance(Rc::clone(&gateway), stream, from, guard));
            }
            Err(error) => {
                warn!(gateway.log, "accept failed"; "cause" => %error);
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves the one call of a connection.
async fn serve_instance(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    from: SocketAddr,
    _guard: Option<ConnectionGuard>,
) {
    if let Err(error) = set_options(&stream, SilenceLimit::Instance) {
        debug!(gateway.log, "socket option not set"; "cause" => %error);
    }
    let head_bytes = client_limits(&gateway).head_bytes + CALL_HEAD_BYTES;
    let shared = Rc::clone(&gateway);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Rc::clone(&shared);
        async move { Ok::<_, Infallible>(respond(&gateway, request, from).await) }
    });
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(head_bytes.max(8 * 1024) * 2)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        debug!(gateway.log, "connection of an instance ended"; "cause" => %error);
    }
}

/// Responds to a call.
async fn respond(
    gateway: &Rc<Gateway>,
    mut request: Request<Incoming>,
    from: SocketAddr,
) -> Response<LinkBody> {
    let Some((number, call)) = take_call(request.headers_mut()) else {
        gateway.metrics.count_forward(ForwardEvent::Declined);
        info!(gateway.log, "call of an instance refused"; "from" => %from,
            "reason" => %NotTaken::Malformed);
        let mut response = Response::new(LinkBody::new(ResponseBody::full(Bytes::new()), None));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let (response, guard) = match admit(gateway, number, call, from) {
        Ok((call, guard)) => {
            let sender = call.call.sender.clone();
            debug!(gateway.log, "call of an instance"; "peer" => %sender, "number" => number);
            let served = serve_request(gateway, request, Some(call));
            let served = catch_panic(&gateway.log, "request of an instance", served).await;
            let response = served.unwrap_or_else(|| {
                // After a panic it is unknown whether the request ran.
                let mut response = Response::new(ResponseBody::full(Bytes::new()));
                *response.status_mut() = StatusCode::BAD_GATEWAY;
                response
            });
            (response, Some(guard))
        }
        Err(reason) => {
            let limit_bytes = client_limits(gateway).body_bytes;
            if !discard_rest(request.body_mut(), limit_bytes, DRAIN_LIMIT).await {
                debug!(gateway.log, "body of a call not read"; "from" => %from,
                    "limit_ms" => DRAIN_LIMIT.as_millis() as u64);
            }
            (not_taken(reason), None)
        }
    };
    link_response(gateway, number, response, guard, from)
}

/// Adds what the sender has to know to the response for the client.
fn link_response(
    gateway: &Gateway,
    number: u64,
    response: Response<ResponseBody>,
    guard: Option<PeerRequestGuard>,
    from: SocketAddr,
) -> Response<LinkBody> {
    let extensions = response.extensions();
    let outcome = if let Some(reason) = extensions.get::<NotTaken>() {
        gateway.metrics.count_forward(ForwardEvent::Declined);
        info!(gateway.log, "call of an instance refused"; "from" => %from, "number" => number,
            "reason" => %reason);
        ForwardOutcome::NotTaken(*reason)
    } else if let Some(refusal) = extensions.get::<Refusal>() {
        ForwardOutcome::Refused {
            reason: refusal.reason.as_str().into(),
            ran: refusal.ran,
            retry_after_ms: u32::try_from(refusal.retry_after.as_millis()).unwrap_or(u32::MAX),
        }
    } else {
        let served = extensions.get::<Served>();
        ForwardOutcome::Response {
            possible_runs: served.map_or(0, |served| served.possible_runs),
            version: served.and_then(|served| served.version),
        }
    };
    let leaving = extensions.get::<Served>().map(|served| &served.leaving);
    let leaving = leaving.into_iter().flatten();
    let leaving: Vec<_> = leaving
        .filter_map(|process| encode_leaving(&process.id, process.started_unix_ms))
        .collect();
    let mut response = response.map(|body| LinkBody::new(body, guard));
    let is_stream = response.body().is_stream();
    let headers = response.headers_mut();
    // A response without an outcome means to the sender that the request may have run.
    if let Some(value) = encode(number, &outcome) {
        headers.insert(OUTCOME_HEADER, value);
    }
    if is_stream {
        headers.insert(header::TRAILER, HeaderValue::from(END_TRAILER));
    }
    // Only instances state what this header says; a server may send one of the same name.
    headers.remove(LEAVING_HEADER);
    if !leaving.is_empty() {
        headers.append(header::CONNECTION, HeaderValue::from(LEAVING_HEADER));
    }
    for value in leaving {
        headers.append(LEAVING_HEADER, value);
    }
    response
}

/// Decides whether a call is taken.
fn admit(
    gateway: &Rc<Gateway>,
    number: u64,
    call: Option<TeamCall>,
    from: SocketAddr,
) -> Result<(TeamCall, PeerRequestGuard), NotTaken> {
    let team_call = call.ok_or(NotTaken::Malformed)?;
    let call = &team_call.call;
    let snapshot = gateway.snapshot();
    let sender = snapshot.peers.iter().find(|peer| peer.name == call.sender);
    if sender.is_none_or(|peer| peer.address.ip() != from.ip()) {
        return Err(NotTaken::UnknownSender);
    }
    let mut received = gateway.forwarding.received.borrow_mut();
    if !received.on_call(&call.sender, call.boot, number) {
        return Err(NotTaken::Replayed);
    }
    drop(received);
    if *gateway.shutdown.borrow() != ShutdownState::Running {
        return Err(NotTaken::Leaving);
    }
    let generation = snapshot.config.as_ref().map(|config| config.generation());
    if generation.is_none_or(|generation| generation < call.generation) {
        return Err(NotTaken::OlderConfiguration);
    }
    let guard = PeerRequestGuard::new(gateway).ok_or(NotTaken::NoRoom)?;
    Ok((team_call, guard))
}

/// Returns the response to a call that is not taken.
pub fn not_taken(reason: NotTaken) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    *response.status_mut() = NOT_TAKEN_STATUS;
    response.extensions_mut().insert(reason);
    response
}
