//! The call that sends an order to an engine at most once.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};
use wagtailarch_control::SendOutcome;
use wagtailarch_types::BackendState;
use wagtailarch_wire::engine::{EngineReport, ORDERS_PATH, Order, OrderKind, REPORT_PATH};

use crate::{settings::ms, shared::Shared};

/// Time after which a connection with unacknowledged bytes is closed.
///
/// Another lease holder waits twice as long after the sender was removed.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Sends an order on a new connection, unless the clock is past `not_after`.
///
/// The clock is checked after the connection is established and the engine's report is read on it.
/// A restart of the engine closes the connection, so that the order reaches either the process that
/// sent the report or none.
pub(super) async fn send_order(
    shared: &Shared,
    address: &str,
    order: &Order,
    not_after: Duration,
) -> SendOutcome {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return SendOutcome::NotSent;
    };
    let connect_timeout = ms(shared.settings.timeouts.connect_ms);
    let connected = timeout(
        connect_timeout + USER_TIMEOUT,
        connect_and_read_report(address),
    )
    .await;
    let Ok(Some((mut sender, report))) = connected else {
        return SendOutcome::NotSent;
    };
    if !can_execute(&report, order) || shared.now() > not_after {
        return SendOutcome::NotSent;
    }
    let body = serde_json::to_vec(order).expect("orders can be serialized as JSON");
    let request = request(address, Method::POST, ORDERS_PATH, Bytes::from(body));
    match timeout(USER_TIMEOUT, sender.send_request(request)).await {
        Ok(Ok(response)) if response.status().is_success() => SendOutcome::Accepted,
        // The engine refused the order: its fencing number is stale or its body is not valid.
        Ok(Ok(response)) if response.status().is_client_error() => SendOutcome::Refused,
        Ok(_) | Err(_) => SendOutcome::Unknown,
    }
}

/// Connects to an engine and reads its report.
async fn connect_and_read_report(
    address: SocketAddr,
) -> Option<(SendRequest<Full<Bytes>>, EngineReport)> {
    let stream = connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // The connection closes when the sender is dropped.
    tokio::spawn(connection);
    let report = request(address, Method::GET, REPORT_PATH, Bytes::new());
    let response = sender.send_request(report).await.ok()?;
    let report = read_report(response).await?;
    sender.ready().await.ok()?;
    Some((sender, report))
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    TcpSocket::from_std_stream(socket.into())
        .connect(address)
        .await
}

async fn read_report(response: Response<Incoming>) -> Option<EngineReport> {
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Returns whether the engine can execute the order without aborting requests and without a
/// conflict with a newer order.
fn can_execute(report: &EngineReport, order: &Order) -> bool {
    if report.fencing_number > order.fencing_number {
        return false;
    }
    match (&order.kind, report.state) {
        (_, BackendState::Changing) => false,
        (OrderKind::Assign(_), state) => state == BackendState::Draining && report.running == 0,
        (OrderKind::Drain | OrderKind::Undrain, _) => true,
    }
}

fn request(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the parts of the request are valid")
}
