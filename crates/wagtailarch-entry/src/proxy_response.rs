//! Responses of plain services, whose beginning is held until it is certain to be passed on.

use std::{any::Any, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::timeout;
use wagtailarch_types::Ran;

use crate::{
    body::{BodyError, ClientBody, full, with_guard},
    engine_client::{CallError, said_ran},
    proxy_message::strip,
};

/// What was received of a response.
pub enum Held {
    /// A response that is passed on.
    Answer(ServiceAnswer),
    /// The response broke before it was passed on.
    Broken,
}

/// A response that is passed on.
pub struct ServiceAnswer {
    head: Parts,
    /// Body, or its beginning.
    held: Bytes,
    /// Rest of a body that did not fit in the buffer.
    rest: Option<Incoming>,
    /// Values that live until the response was sent.
    kept: Option<Box<dyn Any + Send>>,
}

impl ServiceAnswer {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the body if it was received whole.
    pub fn whole(&self) -> Option<&Bytes> {
        self.rest.is_none().then_some(&self.held)
    }

    /// Keeps a value until the response was sent.
    pub fn keep(&mut self, value: impl Any + Send) {
        self.kept = Some(Box::new(value));
    }

    /// Builds the response to the client.
    pub fn into_response(self) -> Response<ClientBody> {
        let body = match self.rest {
            None => full(self.held),
            Some(rest) => chained(self.held, rest),
        };
        Response::from_parts(self.head, with_guard(body, self.kept))
    }
}

/// Receives the beginning of a response: all of it if it fits in `buffer_bytes`.
///
/// Until then a broken response can still be repeated. Event streams are passed on at once.
pub async fn hold(response: Response<Incoming>, buffer_bytes: usize, limit: Duration) -> Held {
    let (mut head, body) = response.into_parts();
    strip(&mut head.headers);
    let large = body.size_hint().lower() > buffer_bytes as u64;
    if large || is_event_stream(&head) {
        let held = Bytes::new();
        return Held::Answer(ServiceAnswer {
            head,
            held,
            rest: Some(body),
            kept: None,
        });
    }
    let read = timeout(limit, read_up_to(body, buffer_bytes)).await;
    match read {
        Ok(Some((held, rest))) => Held::Answer(ServiceAnswer {
            head,
            held,
            rest,
            kept: None,
        }),
        Ok(None) | Err(_) => Held::Broken,
    }
}

/// Recognises a refusal: one that did not run, or that of a server that leaves.
///
/// Other responses are the service's own answer.
pub fn refusal(response: &Response<Incoming>) -> Option<CallError> {
    let status = response.status();
    let ran = said_ran(response.headers());
    let leaving = says_close(response.headers());
    if status != StatusCode::SERVICE_UNAVAILABLE || (ran != Ran::No && !leaving) {
        return None;
    }
    Some(CallError::Refused {
        status,
        code: None,
        ran,
        leaving,
    })
}

/// Tells whether a response ends its connection.
pub fn says_close(headers: &http::HeaderMap) -> bool {
    let connection = headers.get(header::CONNECTION);
    connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn is_event_stream(head: &Parts) -> bool {
    let kind = head.headers.get(header::CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// Reads a body until its end or until `limit_bytes` are read; `None` if it breaks.
async fn read_up_to(mut body: Incoming, limit_bytes: usize) -> Option<(Bytes, Option<Incoming>)> {
    let mut held = BytesMut::new();
    while held.len() <= limit_bytes {
        let Some(frame) = body.frame().await else {
            return Some((held.freeze(), None));
        };
        if let Ok(data) = frame.ok()?.into_data() {
            held.extend_from_slice(&data);
        }
    }
    Some((held.freeze(), Some(body)))
}

fn chained(held: Bytes, rest: Incoming) -> ClientBody {
    let first = futures_util::stream::iter([Ok(Frame::data(held))]);
    let rest = rest.map_err(|error| -> BodyError { error.into() });
    let rest = http_body_util::BodyStream::new(rest);
    BodyExt::boxed_unsync(StreamBody::new(futures_util::StreamExt::chain(first, rest)))
}
