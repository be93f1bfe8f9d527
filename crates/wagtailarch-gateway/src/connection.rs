//! Connections to servers and to the store.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::{metered_stream::MeteredStream, read_allowance::ReadAllowance};

/// Idle time after which a connection is probed; connections may go silent without a reset.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time without an acknowledgement after which a connection is broken.
///
/// Together with `PROBE_AFTER` a silent connection is noticed within 3 seconds.
const SILENCE: Duration = Duration::from_millis(2_000);

/// Bytes that may be read before the head of an answer is whole, heads of interim answers included.
///
/// Heads have a few hundred bytes; the rest is what is read beyond the head at once.
pub const HEAD_BYTES: usize = 128 * 1024;
/// Greatest size of the buffer into which a connection is read; a larger head is no answer.
const BUFFER_BYTES: usize = 64 * 1024;

/// An HTTP/1.1 connection whose driving task ends with it.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests, one at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Drives the connection.
    pub driver: Driver,
    /// Bytes that may still be read; `HEAD_BYTES` at first.
    pub allowance: Rc<ReadAllowance>,
}

/// The task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
pub struct Driver(JoinHandle<()>);

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
    /// Tells whether the address refused the connection, as it does when no process listens.
    pub fn refused(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection within `limit`; it must be called on a local task set.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, ConnectError> {
    let opened = timeout(limit, TcpStream::connect(address)).await;
    let stream = opened
        .map_err(|_| ConnectError::TimedOut(limit))?
        .map_err(ConnectError::Io)?;
    set_options(&stream).map_err(ConnectError::Io)?;
    let allowance = Rc::new(ReadAllowance::new(HEAD_BYTES));
    let stream = MeteredStream::new(stream, Rc::clone(&allowance));
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(ConnectError::Http)?;
    let driver = tokio::task::spawn_local(async move {
        // Errors reach whoever waits for an answer.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver: Driver(driver),
        allowance,
    })
}

/// Sets the options of a socket on which silence has to be noticed.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENCE))
}
