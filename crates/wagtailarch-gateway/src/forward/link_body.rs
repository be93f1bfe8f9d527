//! Bodies of responses to other instances.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use wagtailarch_wire::forward::StreamEnd;

use crate::{
    guards::PeerRequestGuard,
    response_body::{BodyError, ResponseBody},
};

/// The body of a response to another instance; a stream ends with a trailer that states its end.
#[derive(Debug)]
pub struct LinkBody {
    body: ResponseBody,
    has_ended: bool,
    /// Counts the request as served for another instance until the body has been sent or dropped.
    _guard: Option<PeerRequestGuard>,
}

impl LinkBody {
    /// Wraps the body of a response to a client.
    pub fn new(body: ResponseBody, guard: Option<PeerRequestGuard>) -> Self {
        Self {
            body,
            has_ended: false,
            _guard: guard,
        }
    }

    /// Returns whether the body is a stream, which has no length.
    pub fn is_stream(&self) -> bool {
        self.body.size_hint().exact().is_none()
    }
}

impl Body for LinkBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.is_stream() {
            return Pin::new(&mut self.body).poll_frame(cx);
        }
        if self.has_ended {
            return Poll::Ready(None);
        }
        let end = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => return Poll::Ready(Some(Ok(frame))),
            Some(Err(BodyError::EndedEarly)) => StreamEnd::BrokenOff,
            Some(Err(BodyError::TimedOut)) => StreamEnd::TimedOut,
            None => StreamEnd::Complete,
        };
        self.has_ended = true;
        Poll::Ready(Some(Ok(Frame::trailers(end.trailers()))))
    }

    fn is_end_stream(&self) -> bool {
        match self.is_stream() {
            true => self.has_ended,
            false => self.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
