//! Bodies of responses to clients.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::{StreamExt, stream::LocalBoxStream};
use http::Version;
use hyper::body::{Body, Frame, SizeHint};

use crate::{
    body_buffer::{BufferReservation, BufferedBody},
    guards::{RequestGuard, ServingGuard},
};

/// The body of a response; an error in a stream closes the connection, so that a partial response
/// never looks complete.
pub struct ResponseBody {
    content: Content,
    /// Memory reserved for a buffered body.
    _reservation: Option<BufferReservation>,
    /// Counts the request as open until the body has been sent or dropped.
    _request_guard: Option<RequestGuard>,
    /// Marks the connection as serving until the body has been sent or dropped.
    serving_guard: Option<ServingGuard>,
}

enum Content {
    Full(Option<Bytes>),
    Stream(LocalBoxStream<'static, Result<Bytes, BodyError>>),
}

/// Why a body ends early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum BodyError {
    /// the backend server ended its response early
    EndedEarly,
    /// the time limit of the request expired
    TimedOut,
}

impl std::error::Error for BodyError {}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponseBody").finish_non_exhaustive()
    }
}

impl ResponseBody {
    /// Creates a body from bytes that are not counted in the buffer budget.
    pub fn full(bytes: Bytes) -> Self {
        Self {
            content: Content::Full(Some(bytes).filter(|bytes| !bytes.is_empty())),
            _reservation: None,
            _request_guard: None,
            serving_guard: None,
        }
    }

    /// Creates a body from a buffered one, whose memory stays reserved until it has been sent.
    pub fn buffered(body: BufferedBody) -> Self {
        Self {
            _reservation: Some(body.reservation),
            ..Self::full(body.bytes)
        }
    }

    /// Creates a body from a stream of chunks.
    pub fn stream(stream: LocalBoxStream<'static, Result<Bytes, BodyError>>) -> Self {
        Self {
            content: Content::Stream(stream),
            _reservation: None,
            _request_guard: None,
            serving_guard: None,
        }
    }

    /// Counts the request as open until the body has been sent.
    pub fn with_request_guard(mut self, guard: RequestGuard) -> Self {
        self._request_guard = Some(guard);
        self
    }

    /// Marks the connection as serving until the body has been sent, so that no next head is timed.
    ///
    /// A client of HTTP/1.0 receives no chunks, so that the end of the connection is the end of a
    /// stream.
    pub fn with_serving_guard(mut self, guard: ServingGuard, version: Version) -> Self {
        if version < Version::HTTP_11 && matches!(self.content, Content::Stream(_)) {
            guard.end_by_close();
        }
        self.serving_guard = Some(guard);
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Stream(stream) => {
                let chunk = stream.poll_next_unpin(cx);
                if let (Poll::Ready(None), Some(guard)) = (&chunk, &self.serving_guard) {
                    guard.on_complete();
                }
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}
