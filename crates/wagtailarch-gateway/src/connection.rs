//! Connections to backend servers, relays and the store.

use std::{error::Error, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};
use wagtailarch_traffic::RequestProgress;

use crate::{metered_stream::MeteredStream, response_meter::ResponseMeter};

/// Idle time before the first keepalive probe, since a connection may break without a reset.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an acknowledgement after which a connection of the process itself is broken.
///
/// A silence of `ACK_TIMEOUT - KEEPALIVE_INTERVAL` suffices if it begins just before a probe.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum number of keepalive probes on Linux.
const MAX_PROBES: u32 = 127;

/// Like `ACK_TIMEOUT`, for connections between instances.
///
/// An instance that pauses for one or two seconds still works on its requests.
const INSTANCE_ACK_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Bytes that may be read before the head of a response is complete, including interim responses.
///
/// Heads have a few hundred bytes; the rest is for data that is read along with the head.
pub const MAX_HEAD_BYTES: usize = 128 * 1024;
/// Maximum size of the read buffer; a larger head is an error.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// An HTTP/1.1 connection that closes when it is dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests, one at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Drives the connection.
    pub driver: Driver,
    /// Limits what is read; allows `MAX_HEAD_BYTES` at first.
    pub meter: Rc<ResponseMeter>,
}

/// The task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
pub struct Driver(JoinHandle<()>);

/// How long the other side of a connection may be unresponsive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceLimit {
    /// Until a probe has no response, for calls of the process that can be repeated elsewhere.
    Probe,
    /// Longer than a pause of the instance that serves a request in place of this one.
    Instance,
    /// At least this long, since a client waits for the response and an unresponsive server may go
    /// on.
    ///
    /// Probes are still sent: a server that has started again resets the connection.
    AtLeast(Duration),
}

/// Why a connection could not be opened; nothing was sent.
#[derive(Debug, Display)]
pub enum ConnectError {
    /// no connection within {0:?}
    TimedOut(Duration),
    /// {0}
    Io(io::Error),
    /// {0}
    Http(hyper::Error),
}

impl ConnectError {
    /// Returns whether the address refused the connection, as it does when no process listens.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether the connection was reset while it was being opened, as by a process that ends.
    pub fn is_reset(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::ConnectionReset)
    }

    /// Returns whether the failure says something about the path to the address, or the process
    /// there, rather than about this process; a timeout does if it was `limit` or longer.
    pub fn concerns_path(&self, limit: Duration) -> bool {
        match self {
            Self::TimedOut(waited) => *waited >= limit,
            Self::Io(error) => matches!(
                error.kind(),
                io::ErrorKind::ConnectionRefused
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::NetworkUnreachable
                    | io::ErrorKind::TimedOut
            ),
            Self::Http(_) => false,
        }
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection within `limit`; must be called on a local task set.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    silence: SilenceLimit,
) -> Result<Connection, ConnectError> {
    let stream = open(address, limit).await?;
    set_options(&stream, silence).map_err(ConnectError::Io)?;
    // Without the option only the end of a longer request is recognized.
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(RequestProgress::MAX_UNSENT_BYTES);
    let meter = Rc::new(ResponseMeter::new(MAX_HEAD_BYTES));
    let stream = MeteredStream::new(stream, Rc::clone(&meter));
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(ConnectError::Http)?;
    let driver = tokio::task::spawn_local(async move {
        // Errors surface at the caller that waits for the response.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver: Driver(driver),
        meter,
    })
}

/// Returns an error with its sources, which tell a connection that TCP has given up from one that
/// the other side has reset.
pub fn describe(error: &dyn Error) -> String {
    let sources = std::iter::successors(error.source(), |error| (*error).source());
    sources.fold(error.to_string(), |text, source| {
        format!("{text}: {source}")
    })
}

/// Returns why a connection failed, for logs.
pub fn failure_cause(error: &hyper::Error) -> &'static str {
    let source = error.source().and_then(|source| source.downcast_ref());
    match source.map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut) => "connection given up by TCP",
        _ => "connection failed",
    }
}

/// Opens a TCP connection within `limit`.
pub async fn open(address: SocketAddr, limit: Duration) -> Result<TcpStream, ConnectError> {
    let opened = timeout(limit, TcpStream::connect(address)).await;
    opened
        .map_err(|_| ConnectError::TimedOut(limit))?
        .map_err(ConnectError::Io)
}

/// Sets the socket options by which a broken connection is detected.
pub fn set_options(stream: &TcpStream, silence: SilenceLimit) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL);
    let ack_timeout = match silence {
        SilenceLimit::Probe => ACK_TIMEOUT,
        SilenceLimit::Instance => INSTANCE_ACK_TIMEOUT,
        SilenceLimit::AtLeast(limit) => {
            let interval_s = limit.as_secs() / u64::from(MAX_PROBES) + 1;
            let interval = Duration::from_secs(interval_s);
            let probes = probes.with_interval(interval).with_retries(MAX_PROBES);
            return socket.set_tcp_keepalive(&probes);
        }
    };
    let probes = probes.with_interval(KEEPALIVE_INTERVAL).with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ack_timeout))
}
