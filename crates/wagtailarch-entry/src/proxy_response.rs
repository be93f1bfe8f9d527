//! Responses of plain services, whose beginning is buffered so that a broken response can be
//! retried.

use std::{any::Any, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use futures_util::{StreamExt, stream};
use http::{Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::timeout;
use wagtailarch_traffic::Selection;
use wagtailarch_types::Ran;
use wagtailarch_wire::{
    body_framing::BodyFraming,
    event_splitter::{EventSplitter, EventTooLong},
};

use crate::{
    body::{BodyError, ClientBody, full, with_guard},
    engine_client::{CallError, parse_ran_header},
    proxy_message::remove_unforwarded_headers,
    server_ends::WatchedResponse,
    shared::Shared,
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
    rest: Option<Box<ServiceBody>>,
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
    shared: &Arc<Shared>,
    response: Response<Incoming>,
    server: &Selection,
    buffer_bytes: usize,
    time_limit: Duration,
) -> BufferResult {
    let (mut head, body) = response.into_parts();
    let framing = BodyFraming::of_response(&head.headers, body.is_end_stream());
    let watched = match framing {
        BodyFraming::Length | BodyFraming::Chunked => None,
        BodyFraming::Connection => Some(WatchedResponse::new(shared, &server.id, &server.address)),
    };
    let mut body = ServiceBody {
        body,
        watched,
        events: is_event_stream(&head).then(EventSplitter::default),
        is_empty: true,
    };
    remove_unforwarded_headers(&mut head.headers);
    let large = body.body.size_hint().lower() > buffer_bytes as u64;
    if large || body.events.is_some() {
        let buffered = Bytes::new();
        return BufferResult::Response(ServiceResponse {
            head,
            buffered,
            rest: Some(Box::new(body)),
            guard: None,
        });
    }
    let read = timeout(time_limit, body.read_up_to(buffer_bytes)).await;
    match read {
        Ok(Ok((buffered, ended))) => BufferResult::Response(ServiceResponse {
            head,
            buffered,
            rest: (!ended).then(|| Box::new(body)),
            guard: None,
        }),
        Ok(Err(_)) | Err(_) => BufferResult::Broken,
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

/// The body of a service's response; an end that the server did not declare is an error.
struct ServiceBody {
    body: Incoming,
    /// Present if the body ends with the connection.
    watched: Option<WatchedResponse>,
    /// Splits the body if it is an event stream.
    events: Option<EventSplitter>,
    /// Whether no content has been read: no byte, or no complete event of a stream.
    is_empty: bool,
}

/// Why a body ends early.
#[derive(Debug, Display)]
enum ServiceBodyError {
    /// the connection failed: {0}
    Connection(hyper::Error),
    /// an event is too long
    EventTooLong,
    /// the server did not declare the end of the body
    UndeclaredEnd,
}

impl std::error::Error for ServiceBodyError {}

impl ServiceBody {
    /// Reads until the end or until more than `limit_bytes` were read.
    ///
    /// Returns the bytes and whether the body has ended.
    async fn read_up_to(&mut self, limit_bytes: usize) -> Result<(Bytes, bool), ServiceBodyError> {
        let mut buffered = BytesMut::new();
        while buffered.len() <= limit_bytes {
            let Some(data) = self.next().await? else {
                return Ok((buffered.freeze(), true));
            };
            buffered.extend_from_slice(&data);
        }
        Ok((buffered.freeze(), false))
    }

    /// Returns the next bytes; `None` after the declared end.
    async fn next(&mut self) -> Result<Option<Bytes>, ServiceBodyError> {
        while let Some(frame) = self.body.frame().await {
            let Ok(data) = frame.map_err(ServiceBodyError::Connection)?.into_data() else {
                continue;
            };
            self.on_data(&data)?;
            return Ok(Some(data));
        }
        match self.is_declared_end().await {
            true => Ok(None),
            false => Err(ServiceBodyError::UndeclaredEnd),
        }
    }

    fn on_data(&mut self, data: &[u8]) -> Result<(), ServiceBodyError> {
        if let Some(watched) = &self.watched {
            watched.on_heard();
        }
        let Some(events) = &mut self.events else {
            self.is_empty &= data.is_empty();
            return Ok(());
        };
        events.push(data);
        loop {
            match events.next_event() {
                Ok(Some(_)) => self.is_empty = false,
                Ok(None) => return Ok(()),
                Err(EventTooLong) => return Err(ServiceBodyError::EventTooLong),
            }
        }
    }

    /// Returns whether the end of the body is the end that the server meant.
    ///
    /// A process that crashes closes its connections in order.
    async fn is_declared_end(&mut self) -> bool {
        if self
            .events
            .as_ref()
            .is_some_and(EventSplitter::is_inside_event)
        {
            return false;
        }
        match &mut self.watched {
            None => true,
            Some(_) if self.is_empty => false,
            Some(watched) => watched.was_whole().await,
        }
    }
}

/// Creates a body that consists of `buffered` and `rest`.
fn chain_body(buffered: Bytes, rest: Box<ServiceBody>) -> ClientBody {
    let first = stream::iter([Ok(Frame::data(buffered))]);
    let rest = stream::try_unfold(rest, |mut rest| async move {
        match rest.next().await {
            Ok(data) => Ok(data.map(|data| (Frame::data(data), rest))),
            Err(error) => {
                // hyper discards pending writes when a body fails without yielding first.
                tokio::task::yield_now().await;
                Err(BodyError::from(error))
            }
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(first.chain(rest)))
}
