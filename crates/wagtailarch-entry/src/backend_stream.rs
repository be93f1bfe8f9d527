//! Connections to backend servers.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_util::{FutureExt, TryFutureExt, future::BoxFuture};
use http::Uri;
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tower_service::Service;
use wagtailarch_traffic::RequestProgress;

/// Opens connections to backend servers.
#[derive(Debug, Clone)]
pub struct BackendConnector(HttpConnector);

/// A connection whose end is an error while a request is being written.
#[derive(Debug)]
pub struct BackendStream {
    stream: TcpStream,
    progress: RequestProgress,
}

impl BackendConnector {
    /// Creates a connector that opens its connections with `connector`.
    pub fn new(connector: HttpConnector) -> Self {
        Self(connector)
    }
}

impl Service<Uri> for BackendConnector {
    type Response = TokioIo<BackendStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connected = self.0.call(uri).map_ok(|stream| {
            let stream = stream.into_inner();
            // Without the option only the end of a longer request is recognized.
            let _ = SockRef::from(&stream).set_tcp_notsent_lowat(RequestProgress::MAX_UNSENT_BYTES);
            TokioIo::new(BackendStream {
                stream,
                progress: RequestProgress::default(),
            })
        });
        connected.boxed()
    }
}

impl Connection for BackendStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl BackendStream {
    fn record_write(&mut self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.progress.on_write(result.is_pending());
        result
    }
}

impl AsyncRead for BackendStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if has_room && buffer.filled().len() == before {
            self.progress.check_end(self.stream.take_error()?)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(result)
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
        self.record_write(result)
    }
}
