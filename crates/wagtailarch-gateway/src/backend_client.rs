//! One call to a backend server.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, header, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use slog::info;
use tokio::time::timeout;
use wagtailarch_adapter::{
    AnswerFacts, BackendCall, CallStep, Echo, PriorityClass, decode_answer, encode_call,
};
use wagtailarch_dispatch::ServerChoice;
use wagtailarch_types::{Ran, RetryReason};

use crate::{
    connection::{Driver, connect},
    guards::InFlight,
    job::Job,
};

/// Limit on opening a connection.
///
/// A server in another zone answers within a few milliseconds, and a lost packet is sent again after a
/// second only, so that a longer wait gains nothing.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Greatest body of an answer that is kept whole, so that a broken one can be replaced.
pub const MAX_WHOLE_BYTES: usize = 4 * 1024 * 1024;
/// Time in which a crashed server refuses a new connection.
const CRASH_PROBE_LIMIT: Duration = Duration::from_millis(300);

/// One call of a job.
#[derive(Debug)]
pub struct Call {
    /// Server.
    pub server: ServerChoice,
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
    let request = head.map(|()| Full::new(job.body.clone()));
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
    let facts = decode_answer(&job.client.id, &mut parts);
    if let Some(load) = facts.load {
        let mut board = gateway.board.borrow_mut();
        board.on_told_load(id, load.running, load.waiting, load.slots);
    }
    if let Some(failure) = refused(&parts, &facts, &call.step) {
        let cause = format!("status {} {facts:?}", parts.status.as_u16());
        let now = gateway.now();
        match (failure, &call.step) {
            // The memory of the prompt was gone, which says nothing about this engine.
            (CallFailure::NOT_RUN, CallStep::Generate(_)) => {}
            (CallFailure::NOT_RUN, _) => gateway.board.borrow_mut().on_busy(now, id),
            _ => gateway.board.borrow_mut().on_failure(now, id),
        }
        log_failure(job, call, failure, &cause);
        return Err(failure);
    }
    Ok(Answer {
        parts,
        body,
        _guard: AnswerGuard {
            _driver: connection.driver,
            _in_flight: in_flight,
        },
    })
}

/// Reads the whole body of an answer.
pub async fn read_whole(job: &Job, call: &Call, answer: Answer) -> Result<Bytes, CallFailure> {
    let gateway = &job.gateway;
    let body = Limited::new(answer.body, MAX_WHOLE_BYTES).collect();
    match timeout(job.time_left(), body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => {
            let now = gateway.now();
            gateway.board.borrow_mut().on_failure(now, &call.server.id);
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
fn refused(parts: &response::Parts, facts: &AnswerFacts, step: &CallStep) -> Option<CallFailure> {
    if facts.echo == Echo::Other {
        return Some(CallFailure::WRONG_ANSWER);
    }
    if facts.not_run && !parts.status.is_success() {
        return Some(CallFailure::NOT_RUN);
    }
    let own = facts.signed && !facts.encoded;
    if parts.status.is_success() && !own && *step != CallStep::Read {
        return Some(CallFailure::WRONG_ANSWER);
    }
    None
}

/// Strikes the request if its server refuses connections, as it does after a crash.
pub fn suspect_crash(job: &Job, server: &ServerChoice) {
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
        CallStep::Read => "read",
        CallStep::Generate(_) => "generate",
    }
}
