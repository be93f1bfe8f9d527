//! The socket of a client, with bounds on how slow the client may be.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Length of the HTTP/2 preface; the protocol is known once so many bytes were read.
const PREFACE_BYTES: u64 = 24;

/// The socket of a client as the HTTP connection uses it.
#[derive(Debug)]
pub struct ClientIo {
    socket: Arc<ClientSocket>,
    stall: Duration,
    /// Runs while a write waits for the client to read.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl ClientIo {
    /// Wraps a socket; a client may stop reading for `stall`.
    pub fn new(stream: TcpStream, stall: Duration) -> (Self, Arc<ClientSocket>) {
        let state = State {
            stream,
            read_bytes: 0,
            unanswered: false,
            requests: 0,
            encrypted: false,
        };
        let socket = Arc::new(ClientSocket(Mutex::new(state)));
        (
            Self {
                socket: Arc::clone(&socket),
                stall,
                stalled: None,
            },
            socket,
        )
    }

    /// Fails once the client has not read for too long.
    fn check_stall<T>(&mut self, cx: &mut Context<'_>, poll: Poll<T>) -> Poll<io::Result<T>> {
        let value = match poll {
            Poll::Ready(value) => value,
            Poll::Pending => {
                let stall = self.stall;
                let timer = self.stalled.get_or_insert_with(|| Box::pin(sleep(stall)));
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        };
        self.stalled = None;
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
        state.unanswered |= read > 0;
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
        Pin::new(&mut self.socket.state().stream).poll_shutdown(cx)
    }
}

/// What the server knows of a client's socket beside the HTTP connection.
#[derive(Debug)]
pub struct ClientSocket(Mutex<State>);

impl ClientSocket {
    /// Counts a request whose headers were read.
    pub fn count_request(&self) {
        self.state().requests += 1;
    }

    /// Tells whether the headers of a request were read.
    pub fn has_requests(&self) -> bool {
        self.state().requests > 0
    }

    /// Notes that the socket carries TLS, so that what was read says nothing of HTTP.
    pub fn set_encrypted(&self) {
        self.state().encrypted = true;
    }

    /// Tells whether too little was read to know the protocol.
    pub fn is_undecided(&self) -> bool {
        let state = self.state();
        state.requests == 0 && (state.encrypted || state.read_bytes < PREFACE_BYTES)
    }

    /// Tells whether a part of a request was read that can be answered in plain text.
    pub fn is_unanswered(&self) -> bool {
        let state = self.state();
        state.unanswered && !state.encrypted
    }

    /// Writes a response after the HTTP connection has ended; what does not fit is dropped.
    pub fn write_last(&self, response: &[u8]) {
        let _ = self.state().stream.try_write(response);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder panics")
    }
}

#[derive(Debug)]
struct State {
    stream: TcpStream,
    read_bytes: u64,
    /// Whether bytes were read since the last write.
    unanswered: bool,
    requests: u64,
    encrypted: bool,
}

impl State {
    fn write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.unanswered = false;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn write_vectored(
        &mut self,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.unanswered = false;
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}
