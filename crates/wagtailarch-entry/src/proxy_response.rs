//! Responses of plain services, whose beginning is buffered so that a broken response can be
//! retried.

use std::{any::Any, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::timeout;
use wagtailarch_types::Ran;

use crate::{
    body::{BodyError, ClientBody, full, with_guard},
    engine_client::{CallError, parse_ran_header},
    proxy_message::remove_unforwarded_headers,
};

/// Result of buffering the beginning of a response.
pub enum BufferResult {
    /// A response that can be forwarded to the client.
    Response(ServiceResponse),
    /// The connection broke, or the time ran out, before any part could be forwarded.
    Broken,
}

/// A response that is forwarded to the client.
pub struct ServiceResponse {
    head: Parts,
    /// The whole body or its beginning.
    buffered: Bytes,
    /// Rest of a body that did not fit in the buffer.
    rest: Option<Incoming>,
    /// Value that is dropped once the response was sent.
    guard: Option<Box<dyn Any + Send>>,
}

impl ServiceResponse {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the body if all of it is buffered.
    pub fn full_body(&self) -> Option<&Bytes> {
        self.rest.is_none().then_some(&self.buffered)
    }

    /// Attaches a guard that is dropped once the response was sent.
    pub fn attach_guard(&mut self, guard: impl Any + Send) {
        self.guard = Some(Box::new(guard));
    }

    /// Builds the response to the client.
    pub fn into_response(self) -> Response<ClientBody> {
        let body = match self.rest {
            None => full(self.buffered),
            Some(rest) => chain_body(self.buffered, rest),
        };
        Response::from_parts(self.head, with_guard(body, self.guard))
    }
}

/// Buffers the beginning of a response, or all of it if it fits in `buffer_bytes`.
///
/// The call can be retried if the response breaks while it is being buffered. Event streams and
/// larger bodies are forwarded without buffering.
pub async fn buffer_response(
    response: Response<Incoming>,
    buffer_bytes: usize,
    time_limit: Duration,
) -> BufferResult {
    let (mut head, body) = response.into_parts();
    remove_unforwarded_headers(&mut head.headers);
    let large = body.size_hint().lower() > buffer_bytes as u64;
    if large || is_event_stream(&head) {
        let buffered = Bytes::new();
        return BufferResult::Response(ServiceResponse {
            head,
            buffered,
            rest: Some(body),
            guard: None,
        });
    }
    let read = timeout(time_limit, read_up_to(body, buffer_bytes)).await;
    match read {
        Ok(Some((buffered, rest))) => BufferResult::Response(ServiceResponse {
            head,
            buffered,
            rest,
            guard: None,
        }),
        Ok(None) | Err(_) => BufferResult::Broken,
    }
}

/// Returns the refusal if the server refused the call instead of responding to it.
///
/// A response with status 503 is a refusal if its headers state that the call did not run or that
/// the server is leaving. Every other response comes from the service itself.
pub fn parse_refusal(response: &Response<Incoming>) -> Option<CallError> {
    let status = response.status();
    let ran = parse_ran_header(response.headers());
    let leaving = has_connection_close(response.headers());
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

/// Returns whether the headers contain `Connection: close`.
pub fn has_connection_close(headers: &http::HeaderMap) -> bool {
    let connection = headers.get(header::CONNECTION);
    connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn is_event_stream(head: &Parts) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Reads a body until its end or until more than `limit_bytes` were read.
///
/// Returns the bytes and the rest of the body, or `None` if the connection breaks.
async fn read_up_to(mut body: Incoming, limit_bytes: usize) -> Option<(Bytes, Option<Incoming>)> {
    let mut buffered = BytesMut::new();
    while buffered.len() <= limit_bytes {
        let Some(frame) = body.frame().await else {
            return Some((buffered.freeze(), None));
        };
        if let Ok(data) = frame.ok()?.into_data() {
            buffered.extend_from_slice(&data);
        }
    }
    Some((buffered.freeze(), Some(body)))
}

/// Creates a body that consists of `buffered` and `rest`.
fn chain_body(buffered: Bytes, rest: Incoming) -> ClientBody {
    let first = futures_util::stream::iter([Ok(Frame::data(buffered))]);
    let rest = rest.map_err(|error| -> BodyError { error.into() });
    let rest = http_body_util::BodyStream::new(rest);
    BodyExt::boxed_unsync(StreamBody::new(futures_util::StreamExt::chain(first, rest)))
}
