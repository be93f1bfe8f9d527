//! TCP connections with metered reads and writes.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A TCP connection that reports its reads and writes to a [`Meter`].
#[derive(Debug)]
pub struct MeteredStream<M> {
    stream: TcpStream,
    meter: Rc<M>,
    /// Whether closing the socket resets the connection, whichever way the process drops it.
    resets_on_close: bool,
}

/// Observes, and may limit, the traffic of a connection.
pub trait Meter {
    /// Returns how many bytes may be read now; an error ends the connection.
    fn read_limit(&self) -> io::Result<usize> {
        Ok(usize::MAX)
    }

    /// Records that bytes were read.
    fn on_read(&self, count: usize);

    /// Records whether the last write is blocked because the other side does not read.
    fn on_write(&self, _blocked: bool) {}

    /// Checks the end that the other side has just declared; an error takes its place.
    fn check_end(&self, _stream: &TcpStream) -> io::Result<()> {
        Ok(())
    }

    /// Returns whether closing the connection must reset it.
    fn resets_on_close(&self) -> bool {
        false
    }
}

impl<M> MeteredStream<M> {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, meter: Rc<M>) -> Self {
        Self {
            stream,
            meter,
            resets_on_close: false,
        }
    }
}

impl<M: Meter> MeteredStream<M> {
    /// Applies to the socket whether closing it resets the connection.
    fn apply_close_mode(&mut self) -> io::Result<()> {
        let resets = self.meter.resets_on_close();
        if resets == self.resets_on_close {
            return Ok(());
        }
        SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO))?;
        self.resets_on_close = resets;
        Ok(())
    }

    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.meter.on_write(result.is_pending());
        result
    }
}

impl<M: Meter> AsyncRead for MeteredStream<M> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = self.meter.read_limit()?;
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let result = if limit >= buffer.remaining() {
            Pin::new(&mut self.stream).poll_read(cx, buffer)
        } else {
            let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(limit));
            let result = Pin::new(&mut self.stream).poll_read(cx, &mut limited);
            let count = limited.filled().len();
            buffer.advance(count);
            result
        };
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.meter.on_read(count);
        } else if has_room && matches!(result, Poll::Ready(Ok(()))) {
            self.meter.check_end(&self.stream)?;
        }
        result
    }
}

impl<M: Meter> AsyncWrite for MeteredStream<M> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_close_mode()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply_close_mode()?;
        if self.resets_on_close {
            // The socket is reset when it is dropped.
            return Poll::Ready(Ok(()));
        }
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
        self.apply_close_mode()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(result)
    }
}
