//! A client's connection, on which the head of a request may take a limited time.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time::{Instant, sleep_until},
};

/// A client's connection that tells its [`HeadClock`] when bytes arrive.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    clock: Rc<HeadClock>,
}

/// Measures how long the head of a request has been arriving.
///
/// The server's own timer also runs while a kept connection is idle, for which clients have longer.
#[derive(Debug, Default)]
pub struct HeadClock {
    /// When the first byte of the head that is arriving was read.
    begun: Cell<Option<Instant>>,
    /// Whether a request is being served; bytes read meanwhile belong to its body or wait.
    serving: Cell<bool>,
    changed: Notify,
}

impl ClientStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, clock: Rc<HeadClock>) -> Self {
        Self { stream, clock }
    }
}

impl HeadClock {
    /// Notes that a head has arrived and its request is served.
    pub fn start_serving(&self) {
        self.serving.set(true);
        self.begun.set(None);
    }

    /// Notes that the request has been answered.
    pub fn stop_serving(&self) {
        self.serving.set(false);
    }

    /// Waits until a head takes longer than `limit`.
    pub async fn overdue(&self, limit: Duration) {
        loop {
            let Some(begun) = self.begun.get() else {
                self.changed.notified().await;
                continue;
            };
            sleep_until(begun + limit).await;
            if self.begun.get() == Some(begun) {
                return;
            }
        }
    }

    fn on_bytes(&self) {
        if !self.serving.get() && self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
            self.changed.notify_one();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.clock.on_bytes();
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}
