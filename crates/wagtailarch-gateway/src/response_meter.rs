//! Limits on what a server may send: the number of bytes, and when the connection may end.

use std::{
    cell::{Cell, OnceCell},
    io,
    rc::Rc,
};

use displaydoc::Display;
use tokio::net::TcpStream;
use wagtailarch_traffic::RequestProgress;

use crate::{metered_stream::Meter, server_ends::WatchedResponse};

/// Observes a connection to a server.
#[derive(Debug)]
pub struct ResponseMeter {
    /// Number of bytes that may still be read.
    ///
    /// A faulty server may send endless interim heads or trailers as well as an endless head or body;
    /// this limit covers all of them together.
    remaining: Cell<usize>,
    /// Progress of the request, without which the connection may not end.
    progress: Cell<RequestProgress>,
    /// Response that ends with the connection, once its head has arrived.
    watched: OnceCell<Rc<WatchedResponse>>,
}

/// the other side sent more bytes than a response may have
#[derive(Debug, Display)]
pub struct AllowanceExceeded;

impl std::error::Error for AllowanceExceeded {}

impl ResponseMeter {
    /// Creates a meter that allows to read `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            remaining: Cell::new(bytes),
            progress: Cell::default(),
            watched: OnceCell::new(),
        }
    }

    /// Allows to read `bytes`, regardless of what was read before.
    pub fn allow(&self, bytes: usize) {
        self.remaining.set(bytes);
    }

    /// Reports data that arrives from now on to a response that ends with the connection.
    pub fn watch(&self, response: Rc<WatchedResponse>) {
        // The first response on a connection that ends with it is the only one.
        let _ = self.watched.set(response);
    }
}

impl Meter for ResponseMeter {
    fn read_limit(&self) -> io::Result<usize> {
        match self.remaining.get() {
            0 => Err(io::Error::other(AllowanceExceeded)),
            remaining => Ok(remaining),
        }
    }

    fn on_read(&self, count: usize) {
        self.remaining
            .set(self.remaining.get().saturating_sub(count));
        if let Some(watched) = self.watched.get() {
            watched.on_heard();
        }
    }

    fn on_write(&self, blocked: bool) {
        let mut progress = self.progress.get();
        progress.on_write(blocked);
        self.progress.set(progress);
    }

    fn check_end(&self, stream: &TcpStream) -> io::Result<()> {
        self.progress.get().check_end(stream.take_error()?)
    }
}
