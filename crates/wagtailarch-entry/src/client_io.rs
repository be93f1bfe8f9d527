//! The socket of a client, which fails if the client stops reading for too long.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Length of the HTTP/2 connection preface. The HTTP version is known once this many bytes were
/// read.
const PREFACE_BYTES: u64 = 24;

/// The socket of a client as used by the HTTP connection.
#[derive(Debug)]
pub struct ClientIo {
    socket: Arc<ClientSocket>,
    stall_timeout: Duration,
    /// Timer that runs while a write waits for the client to read.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl ClientIo {
    /// Wraps a socket; writes fail once the client has stopped reading for `stall_timeout`.
    pub fn new(stream: TcpStream, stall_timeout: Duration) -> (Self, Arc<ClientSocket>) {
        let state = State {
            stream,
            read_bytes: 0,
            read_since_write: false,
            request_count: 0,
            encrypted: false,
            resets_on_close: false,
        };
        let socket = Arc::new(ClientSocket(Mutex::new(state)));
        (
            Self {
                socket: Arc::clone(&socket),
                stall_timeout,
                stall_timer: None,
            },
            socket,
        )
    }

    /// Returns an error if a write has been pending for the stall timeout.
    fn check_stall<T>(&mut self, cx: &mut Context<'_>, poll: Poll<T>) -> Poll<io::Result<T>> {
        let value = match poll {
            Poll::Ready(value) => value,
            Poll::Pending => {
                let stall_timeout = self.stall_timeout;
                let timer = self
                    .stall_timer
                    .get_or_insert_with(|| Box::pin(sleep(stall_timeout)));
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        };
        self.stall_timer = None;
        Poll::Ready(Ok(value))
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.socket.state();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut state.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        state.read_bytes += read as u64;
        state.read_since_write |= read > 0;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = self.socket.state().write(cx, bytes);
        Poll::Ready(ready!(self.check_stall(cx, poll)).and_then(|written| written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = self.socket.state().write_vectored(cx, slices);
        Poll::Ready(ready!(self.check_stall(cx, poll)).and_then(|written| written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket.state().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.socket.state();
        if state.resets_on_close {
            // The socket is reset when it is dropped.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut state.stream).poll_shutdown(cx)
    }
}

/// State of a client's socket that the HTTP connection does not expose.
#[derive(Debug)]
pub struct ClientSocket(Mutex<State>);

impl ClientSocket {
    /// Counts a request whose headers were received.
    pub fn count_request(&self) {
        self.state().request_count += 1;
    }

    /// Returns whether the headers of any request were received.
    pub fn has_requests(&self) -> bool {
        self.state().request_count > 0
    }

    /// Sets whether closing the socket resets the connection, in whichever way it is closed.
    ///
    /// A client of HTTP/1.0 would take an orderly close for the end of a response that is
    /// incomplete.
    pub fn set_resets_on_close(&self, resets: bool) -> io::Result<()> {
        let mut state = self.state();
        let linger = resets.then_some(Duration::ZERO);
        SockRef::from(&state.stream).set_linger(linger)?;
        state.resets_on_close = resets;
        Ok(())
    }

    /// Marks the socket as encrypted. The number of bytes read then does not show whether the HTTP
    /// version is known.
    pub fn set_encrypted(&self) {
        self.state().encrypted = true;
    }

    /// Returns whether the HTTP version may still be unknown because too little was read.
    pub fn is_protocol_unknown(&self) -> bool {
        let state = self.state();
        state.request_count == 0 && (state.encrypted || state.read_bytes < PREFACE_BYTES)
    }

    /// Returns whether bytes were read since the last write and a response can be written without
    /// TLS.
    pub fn has_unanswered_input(&self) -> bool {
        let state = self.state();
        state.read_since_write && !state.encrypted
    }

    /// Writes a response after the end of the HTTP connection.
    ///
    /// Bytes that do not fit in the socket's send buffer are dropped.
    pub fn write_final_response(&self, response: &[u8]) {
        let _ = self.state().stream.try_write(response);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

#[derive(Debug)]
struct State {
    stream: TcpStream,
    read_bytes: u64,
    /// Whether bytes were read since the last write.
    read_since_write: bool,
    request_count: u64,
    encrypted: bool,
    /// Whether closing the socket resets the connection.
    resets_on_close: bool,
}

impl State {
    fn write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.read_since_write = false;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn write_vectored(
        &mut self,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.read_since_write = false;
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}
