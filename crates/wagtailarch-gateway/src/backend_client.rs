//! One call to a backend server.

use std::time::Duration;

use http::{Response, StatusCode, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use slog::info;
use tokio::time::timeout;
use wagtailarch_adapter::{
    BackendCall, CallStep, PriorityClass, RequestIdMatch, ResponseFacts, decode_response,
    encode_call,
};
use wagtailarch_dispatch::ServerEndpoint;
use wagtailarch_types::{Ran, RetryReason};

use crate::{
    connection::{Driver, connect},
    guards::InFlight,
    held_bytes::{HeldBody, HoldError},
    job::Job,
};

/// Limit on opening a connection.
///
/// A server in another zone answers within a few milliseconds, and a lost packet is sent again after a
/// second only, so that a longer wait gains nothing.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Greatest body of an answer that is kept whole, so that a broken one can be replaced.
const MAX_WHOLE_BYTES: usize = 4 * 1024 * 1024;
/// Greatest body of the answer to a call that only reads a prompt; it has about a hundred bytes.
const MAX_HANDLE_BYTES: usize = 16 * 1024;
/// Bytes on the wire for each byte of a body; small chunks take as much again for their frames.
const FRAMING_FACTOR: usize = 2;
/// Bytes of a stream on the wire besides those of its tokens.
const STREAM_BYTES: usize = 1024 * 1024;
/// Bytes of a stream on the wire for each token of its output; an event with one token has a few hundred.
const STREAM_BYTES_PER_TOKEN: usize = 4 * 1024;
/// Time in which a crashed server refuses a new connection.
const CRASH_PROBE_LIMIT: Duration = Duration::from_millis(300);

/// One call of a job.
#[derive(Debug)]
pub struct Call {
    /// Server.
    pub server: ServerEndpoint,
    /// Part of the work.
    pub step: CallStep,
    /// Rank at an engine.
    pub priority: Option<PriorityClass>,
    /// Last event that the client has.
    pub resume_after: Option<u64>,
    /// Time in which the head of the answer has to arrive.
    pub head_limit: Duration,
}

/// An answer whose body has not been read.
#[derive(Debug)]
pub struct Answer {
    /// Head.
    pub parts: response::Parts,
    /// Body.
    pub body: Incoming,
    /// Keeps the connection open and the request counted.
    pub _guard: AnswerGuard,
}

/// Keeps the connection of an answer open; dropping it cancels the request at the server.
#[derive(Debug)]
pub struct AnswerGuard {
    _driver: Driver,
    _in_flight: InFlight,
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFailure {
    /// What went wrong.
    pub reason: RetryReason,
    /// Whether the request can have run.
    pub ran: Ran,
}

impl Answer {
    /// Takes the head for the client, whose body is framed anew.
    pub fn take_head(&mut self) -> Response<()> {
        let mut head = Response::new(());
        *head.status_mut() = self.parts.status;
        *head.headers_mut() = std::mem::take(&mut self.parts.headers);
        head.headers_mut().remove(header::CONTENT_LENGTH);
        head
    }
}

impl CallFailure {
    /// No connection could be opened.
    pub const UNREACHABLE: Self = Self::new(RetryReason::ConnectFailed, Ran::No);
    /// The server says that it did not run the request.
    pub const NOT_RUN: Self = Self::new(RetryReason::RefusedNotRun, Ran::No);
    /// The answer is not one that the server gave to this request.
    pub const WRONG_ANSWER: Self = Self::new(RetryReason::WrongFrame, Ran::Unknown);
    /// The server refused the request without saying that it did not run it.
    pub const UNPROVEN_REFUSAL: Self = Self::new(RetryReason::ServerError, Ran::Unknown);
    /// The server ran the request and failed it with an answer of its own.
    pub const SERVER_ERROR: Self = Self::new(RetryReason::ServerError, Ran::Yes);
    /// The connection ended before the whole answer.
    pub const CLOSED: Self = Self::new(RetryReason::ClosedBeforeAnswer, Ran::Unknown);
    /// The answer did not begin in time.
    pub const SILENT: Self = Self::new(RetryReason::FirstTokenTimeout, Ran::Unknown);

    const fn new(reason: RetryReason, ran: Ran) -> Self {
        Self { reason, ran }
    }
}

/// Sends a call on a connection of its own and returns the answer that belongs to it.
///
/// A fresh connection carries no bytes of earlier answers and cannot have been closed while idle, so
/// that a failure before it is open proves that nothing ran.
pub async fn send(job: &Job, call: &Call) -> Result<Answer, CallFailure> {
    let gateway = &job.gateway;
    let id = &call.server.id;
    let in_flight = InFlight::new(gateway, id);
    let opened = connect(call.server.address, CONNECT_LIMIT.min(call.head_limit)).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            gateway.board.borrow_mut().on_unreachable(gateway.now(), id);
            log_failure(job, call, CallFailure::UNREACHABLE, &error.to_string());
            return Err(CallFailure::UNREACHABLE);
        }
    };
    let head = encode_call(
        &job.client,
        &BackendCall {
            server: id.clone(),
            time_left: job.time_left(),
            priority: call.priority,
            resume_after: call.resume_after,
            step: call.step.clone(),
        },
    );
    let request = head.map(|()| Full::new(job.body.bytes.clone()));
    let sent = connection.sender.send_request(request);
    let response = match timeout(call.head_limit, sent).await {
        Err(_) => {
            gateway.board.borrow_mut().on_failure(gateway.now(), id);
            log_failure(job, call, CallFailure::SILENT, "no answer in time");
            return Err(CallFailure::SILENT);
        }
        Ok(Err(error)) => {
            gateway.board.borrow_mut().on_failure(gateway.now(), id);
            log_failure(job, call, CallFailure::CLOSED, &error.to_string());
            suspect_crash(job, &call.server);
            return Err(CallFailure::CLOSED);
        }
        Ok(Ok(response)) => response,
    };
    let (mut parts, body) = response.into_parts();
    let facts = decode_response(&job.client.id, &mut parts);
    if let Some(load) = facts.load {
        let mut board = gateway.board.borrow_mut();
        board.on_load_report(id, load.running, load.waiting, load.slots);
    }
    if let Some(failure) = refused(&parts, &facts, &call.step) {
        let cause = format!("status {} {facts:?}", parts.status.as_u16());
        let now = gateway.now();
        match (failure, &call.step) {
            // The memory of the prompt was gone, which says nothing about this engine.
            (CallFailure::NOT_RUN, CallStep::Decode(_)) => {}
            (CallFailure::NOT_RUN, _) => gateway.board.borrow_mut().on_busy(now, id),
            _ => gateway.board.borrow_mut().on_failure(now, id),
        }
        log_failure(job, call, failure, &cause);
        return Err(failure);
    }
    connection.allowance.renew(body_allowance(job, &call.step));
    Ok(Answer {
        parts,
        body,
        _guard: AnswerGuard {
            _driver: connection.driver,
            _in_flight: in_flight,
        },
    })
}

/// Returns the bytes that the rest of an answer may have on the wire.
fn body_allowance(job: &Job, step: &CallStep) -> usize {
    if job.route.kind.is_stream() && *step != CallStep::Prefill {
        let tokens = job.max_events().min(u64::from(u16::MAX)) as usize;
        return STREAM_BYTES + tokens * STREAM_BYTES_PER_TOKEN;
    }
    max_whole(step) * FRAMING_FACTOR
}

/// Returns the greatest body that is kept whole.
fn max_whole(step: &CallStep) -> usize {
    match step {
        CallStep::Prefill => MAX_HANDLE_BYTES,
        CallStep::Whole | CallStep::Decode(_) => MAX_WHOLE_BYTES,
    }
}

/// Reads the whole body of an answer within `limit`.
pub async fn read_whole(
    job: &Job,
    call: &Call,
    answer: Answer,
    limit: Duration,
) -> Result<HeldBody, CallFailure> {
    let gateway = &job.gateway;
    let body = gateway.held.read(answer.body, max_whole(&call.step));
    match timeout(limit, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => {
            // That this instance has no room says nothing about the server.
            if !matches!(error, HoldError::NoRoom) {
                let now = gateway.now();
                gateway.board.borrow_mut().on_failure(now, &call.server.id);
            }
            log_failure(job, call, CallFailure::CLOSED, &error.to_string());
            Err(CallFailure::CLOSED)
        }
        Err(_) => {
            log_failure(job, call, CallFailure::SILENT, "no whole answer in time");
            Err(CallFailure::SILENT)
        }
    }
}

/// Judges an answer that cannot be passed on.
fn refused(parts: &response::Parts, facts: &ResponseFacts, step: &CallStep) -> Option<CallFailure> {
    if facts.request_id_match == RequestIdMatch::Other {
        return Some(CallFailure::WRONG_ANSWER);
    }
    if facts.not_run && !parts.status.is_success() {
        return Some(CallFailure::NOT_RUN);
    }
    if promises_not_run(parts.status) {
        return Some(CallFailure::UNPROVEN_REFUSAL);
    }
    let own = facts.signed && !facts.encoded;
    if parts.status.is_success() && !own && *step != CallStep::Prefill {
        return Some(CallFailure::WRONG_ANSWER);
    }
    None
}

/// Tells whether a status promises a client that its request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Strikes the request if its server refuses connections, as it does after a crash.
pub fn suspect_crash(job: &Job, server: &ServerEndpoint) {
    let gateway = std::rc::Rc::clone(&job.gateway);
    let server = server.clone();
    let fingerprint = job.fingerprint;
    tokio::task::spawn_local(async move {
        let Err(error) = connect(server.address, CRASH_PROBE_LIMIT).await else {
            return;
        };
        if error.refused() {
            let now = gateway.now();
            gateway.board.borrow_mut().on_unreachable(now, &server.id);
            gateway.strike(&server.id, fingerprint);
        }
    });
}

fn log_failure(job: &Job, call: &Call, failure: CallFailure, cause: &str) {
    info!(job.gateway.log, "attempt failed"; "request" => %job.client.id,
        "route" => %job.route.name, "server" => %call.server.id,
        "address" => %call.server.address, "step" => step_name(&call.step),
        "reason" => %failure.reason, "ran" => failure.ran.as_str(), "cause" => cause,
        "age_ms" => job.age().as_millis() as u64);
}

/// Returns the name of a step for logs.
pub fn step_name(step: &CallStep) -> &'static str {
    match step {
        CallStep::Whole => "whole",
        CallStep::Prefill => "read",
        CallStep::Decode(_) => "generate",
    }
}
