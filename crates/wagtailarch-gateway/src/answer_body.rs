//! The body of an answer to a client.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::{StreamExt, stream::LocalBoxStream};
use hyper::body::{Body, Frame, SizeHint};

use crate::{
    guards::{OpenRequest, Serving},
    held_bytes::{HeldBody, HeldShare},
};

/// The body of an answer; a stream that fails ends the connection, so that it never looks complete.
pub struct AnswerBody {
    content: Content,
    /// Counts the bytes of a body that was kept whole.
    _held: Option<HeldShare>,
    /// Counts the request until the body has been sent or dropped.
    _open: Option<OpenRequest>,
    /// Tells the connection when the body has been sent or dropped.
    _serving: Option<Serving>,
}

enum Content {
    Whole(Option<Bytes>),
    Pieces(LocalBoxStream<'static, Result<Bytes, BodyError>>),
}

/// Why a body ends early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum BodyError {
    /// the backend server broke off its answer
    BrokenOff,
    /// the time for the request is over
    TimedOut,
}

impl std::error::Error for BodyError {}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerBody").finish_non_exhaustive()
    }
}

impl AnswerBody {
    /// Creates a body that is known whole.
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            content: Content::Whole(Some(bytes).filter(|bytes| !bytes.is_empty())),
            _held: None,
            _open: None,
            _serving: None,
        }
    }

    /// Creates a body that was kept whole; its bytes are counted until it has been sent.
    pub fn held(body: HeldBody) -> Self {
        Self {
            _held: Some(body.share),
            ..Self::whole(body.bytes)
        }
    }

    /// Creates a body that arrives in pieces.
    pub fn pieces(pieces: LocalBoxStream<'static, Result<Bytes, BodyError>>) -> Self {
        Self {
            content: Content::Pieces(pieces),
            _held: None,
            _open: None,
            _serving: None,
        }
    }

    /// Keeps the request counted as open until the body has been sent.
    pub fn with_open(mut self, open: OpenRequest) -> Self {
        self._open = Some(open);
        self
    }

    /// Keeps the connection from measuring another head until the body has been sent.
    pub fn with_serving(mut self, serving: Serving) -> Self {
        self._serving = Some(serving);
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Pieces(pieces) => {
                let piece = pieces.poll_next_unpin(cx);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Pieces(_) => SizeHint::default(),
        }
    }
}
