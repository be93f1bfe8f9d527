//! Connections whose traffic is measured.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A connection that tells its [`Meter`] what is read and written.
#[derive(Debug)]
pub struct MeteredStream<M> {
    stream: TcpStream,
    meter: Rc<M>,
}

/// Measures the traffic of a connection at the edge of the process.
pub trait Meter {
    /// Returns how many bytes may be read at present; an error ends the connection.
    fn may_read(&self) -> io::Result<usize> {
        Ok(usize::MAX)
    }

    /// Notes that bytes were read.
    fn on_read(&self, count: usize);

    /// Notes whether bytes that are to be written wait for the other side to read.
    fn on_write(&self, _waiting: bool) {}
}

impl<M> MeteredStream<M> {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, meter: Rc<M>) -> Self {
        Self { stream, meter }
    }
}

impl<M: Meter> MeteredStream<M> {
    fn written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
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
        let room = self.meter.may_read()?;
        let before = buffer.filled().len();
        let result = if room >= buffer.remaining() {
            Pin::new(&mut self.stream).poll_read(cx, buffer)
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
            let result = Pin::new(&mut self.stream).poll_read(cx, &mut part);
            let count = part.filled().len();
            buffer.advance(count);
            result
        };
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.meter.on_read(count);
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
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.written(result)
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
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.written(result)
    }
}
