//! Calls that send a client's request through another instance.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderValue, Response, StatusCode, header, response};
use http_body_util::Full;
use hyper::body::Body;
use slog::info;
use tokio::time::timeout;
use wagtailarch_adapter::{CallStep, encode_client_request};
use wagtailarch_dispatch::{CallKind, ServerProcess};
use wagtailarch_traffic::{AttemptFailure, RequestTraits, RetryDecision, RetryPolicy};
use wagtailarch_types::{InstanceId, Ran, RefusalReason, VersionKey};
use wagtailarch_wire::{
    body_framing::BodyFraming,
    connection_headers::remove_connection_headers,
    forward::{
        self, ForwardCall, ForwardOutcome, ForwardResume, NOT_TAKEN_STATUS, NotTaken,
        OUTCOME_HEADER, TeamCall, decode, decode_leaving,
    },
};

use crate::{
    attempts::Attempts,
    backend_client::{BackendResponse, CallFailure, MAX_BODY_BYTES, ResponseGuard, body_allowance},
    connection::{SilenceLimit, connect},
    gateway::LeavingSource,
    generation::{GenerationError, GenerationPlace, StartedGeneration},
    guards::ForwardGuard,
    metrics::ForwardEvent,
    paths::ForwardResult,
    refusal::{DEFAULT_RETRY_AFTER, Refusal},
    request_context::RequestContext,
    response_body::ResponseBody,
    snapshot::Peer,
    stream_relay,
};

/// Timeout for opening a connection to an instance, which may be in another zone and wait for its
/// share of a processor.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time taken off what is left for the way to the other instance and back, so that its response to
/// an expired request arrives in time.
const WAY: Duration = Duration::from_millis(10);
/// Maximum number of instances to which one request is sent, including those that did not take it.
const MAX_INSTANCES: usize = 4;

/// Why a request goes through another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// This instance has lost its path to the servers of the service.
    PathLost,
    /// No server could be reached for this request.
    Unreachable,
}

/// One call to another instance.
#[derive(Debug)]
struct InstanceCall {
    peer: Peer,
    address: SocketAddr,
    /// Number of earlier calls that may have run the request.
    possible_runs: u32,
    /// Whether the other instance takes a retry from its budget.
    takes_retry: bool,
    resume: Option<ForwardResume>,
}

/// A response of another instance.
#[derive(Debug)]
struct InstanceResponse {
    response: BackendResponse,
    /// Number of calls to servers that may have run the request.
    possible_runs: u32,
    /// Software version of the server that began a stream.
    version: Option<VersionKey>,
}

/// Why a call to an instance has no response for the client.
#[derive(Debug)]
enum InstanceFailure {
    /// The instance was not reached, or states that it did not take the call.
    NotTaken,
    /// The instance took the call and refused the request.
    Refused(Refusal),
    /// It is unknown whether the request ran.
    Lost(CallFailure),
}

/// Serves a request through another instance if this one has lost its path.
///
/// Returns the attempts made so far if the request is to be served here.
pub async fn serve(context: &Rc<RequestContext>) -> Result<Response<ResponseBody>, Attempts> {
    let mut attempts = Attempts::default();
    if !context.route.kind.is_stream() {
        let response = serve_plain(context, Condition::PathLost, Ran::No).await;
        return response.ok_or(attempts);
    }
    let resume_after = context.client.resume_after;
    let started = start_stream(context, &mut attempts, Condition::PathLost, resume_after).await;
    let response = match started {
        Some(Ok(started)) => stream_relay::respond(Rc::clone(context), attempts, started).await,
        Some(Err(failure)) => Err(failure),
        None => return Err(attempts),
    };
    Ok(response.unwrap_or_else(|failure| failure.respond(context)))
}

/// Serves a plain request through other instances; returns `None` if no instance takes it.
///
/// `ran` states whether the calls of this instance may have run the request.
pub async fn serve_plain(
    context: &Rc<RequestContext>,
    condition: Condition,
    mut ran: Ran,
) -> Option<Response<ResponseBody>> {
    let mut excluded = Vec::new();
    let mut takes_retry = false;
    while let Some((peer, address)) = target(context, condition, &excluded) {
        excluded.push(peer.name.clone());
        let possible_runs = context.possible_runs.get();
        let call = InstanceCall {
            peer,
            address,
            possible_runs,
            takes_retry,
            resume: None,
        };
        let result = match send(context, &call).await {
            Ok(response) => collect(context, &call, response.response).await,
            Err(failure) => Err(failure),
        };
        let failure = match result {
            Ok(response) => return Some(response),
            Err(InstanceFailure::NotTaken) => continue,
            Err(InstanceFailure::Refused(refusal)) => {
                return Some(refusal.after(ran).respond(context));
            }
            Err(InstanceFailure::Lost(failure)) => failure,
        };
        let possible_runs = possible_runs + 1;
        context.possible_runs.set(possible_runs);
        context.is_counted.set(true);
        let traits = RequestTraits {
            idempotent: context.route.kind.repeatable(),
            resumable: false,
            delivered: false,
            attempts: possible_runs,
            attempt_limit: context.route.max_attempts,
            ran_before: ran,
        };
        ran = RetryPolicy::combine(ran, failure.ran);
        let reason = failure.reason;
        match RetryPolicy::evaluate(&AttemptFailure { reason }, &traits) {
            RetryDecision::Retry(_) if !context.time_left().is_zero() => takes_retry = true,
            RetryDecision::Retry(_) => {
                return Some(refusal(RefusalReason::DeadlineUnreachable, ran).respond(context));
            }
            RetryDecision::Refuse(reason, _) => {
                let reason = match context.time_left().is_zero() {
                    true => RefusalReason::DeadlineUnreachable,
                    false => reason,
                };
                return Some(refusal(reason, ran).respond(context));
            }
        }
    }
    // Another run here would need a retry that no instance has taken from its budget.
    let refusal = refusal(RefusalReason::AttemptsExhausted, ran);
    takes_retry.then(|| refusal.respond(context))
}

/// Starts a stream at another instance, or resumes it there after the event `resume_after`; returns
/// `None` if no instance takes it.
pub async fn start_stream(
    context: &Rc<RequestContext>,
    attempts: &mut Attempts,
    condition: Condition,
    resume_after: Option<u64>,
) -> Option<Result<StartedGeneration, GenerationError>> {
    let is_interrupted = resume_after != context.client.resume_after;
    let resume = match (resume_after, context.version.get()) {
        (Some(after), Some(version)) if is_interrupted => Some(ForwardResume { after, version }),
        // Without the version another instance cannot continue the stream.
        _ if is_interrupted => return None,
        _ => None,
    };
    if attempts.ran() != Ran::No && !context.route.kind.repeatable() {
        return None;
    }
    while let Some((peer, address)) = target(context, condition, &attempts.excluded_instances) {
        attempts.is_unreachable = true;
        let call = InstanceCall {
            peer,
            address,
            possible_runs: context.possible_runs.get(),
            takes_retry: attempts.arrivals.needs_retry(CallKind::Run),
            resume,
        };
        let name = call.peer.name.clone();
        let result = match send(context, &call).await {
            Ok(started) if !is_event_stream(&started.response) => {
                collect(context, &call, started.response).await.map(Err)
            }
            Ok(started) => Ok(Ok(started)),
            Err(failure) => Err(failure),
        };
        let failure = match result {
            Ok(Ok(started)) => {
                if call.takes_retry {
                    attempts.arrivals.on_retry_taken();
                }
                context.is_counted.set(true);
                return Some(Ok(StartedGeneration {
                    response: started.response,
                    place: GenerationPlace::Instance {
                        name,
                        possible_runs: started.possible_runs,
                        version: started.version,
                    },
                }));
            }
            Ok(Err(response)) => {
                return Some(Err(GenerationError::ErrorResponse(Box::new(response))));
            }
            Err(InstanceFailure::NotTaken) => {
                attempts.excluded_instances.push(name);
                continue;
            }
            Err(InstanceFailure::Refused(refusal)) => {
                return Some(Err(refusal.after(attempts.ran()).into()));
            }
            Err(InstanceFailure::Lost(failure)) => failure,
        };
        if call.takes_retry {
            attempts.arrivals.on_retry_taken();
        }
        context.is_counted.set(true);
        let runs = context.possible_runs.get() + 1;
        if let Err(refusal) =
            attempts.on_instance_lost(context, &name, failure, runs, is_interrupted)
        {
            return Some(Err(refusal.into()));
        }
    }
    None
}

/// Returns whether a response is a stream of events, whose end the other instance states.
fn is_event_stream(response: &BackendResponse) -> bool {
    response.parts.status == StatusCode::OK && response.framing == BodyFraming::Chunked
}

/// Returns whether the path of a request is lost and another instance can serve it.
pub fn can_forward(context: &RequestContext) -> bool {
    target(context, Condition::PathLost, &[]).is_some()
}

/// Returns the next instance for a request.
fn target(
    context: &RequestContext,
    condition: Condition,
    excluded: &[InstanceId],
) -> Option<(Peer, SocketAddr)> {
    // A request goes through one further instance at most.
    let may_send = context.check_shutdown(Ran::No).is_ok() && context.time_left() > WAY;
    if context.forwarded.is_some() || excluded.len() >= MAX_INSTANCES || !may_send {
        return None;
    }
    let gateway = &context.gateway;
    let peer = match condition {
        Condition::PathLost => gateway.forward_target(&context.service, excluded),
        Condition::Unreachable => gateway.fallback_target(&context.service, excluded),
    }?;
    let address = peer.forward_address?;
    Some((peer, address))
}

/// Sends a request to an instance and returns the head of its response.
async fn send(
    context: &RequestContext,
    call: &InstanceCall,
) -> Result<InstanceResponse, InstanceFailure> {
    let gateway = &context.gateway;
    gateway.metrics.count_forward(ForwardEvent::Sent);
    let mut guard = ForwardGuard::new(gateway, &context.service, &call.peer.name);
    let limit = CONNECT_LIMIT.min(context.time_left());
    let mut connection = match connect(call.address, limit, SilenceLimit::Instance).await {
        Ok(connection) => connection,
        Err(error) => {
            guard.set_result(ForwardResult::Unavailable);
            return Err(on_not_taken(context, call, &error.to_string()));
        }
    };
    let number = gateway.forwarding.next_number();
    let Some(head) = encode_call(context, call, number) else {
        return Err(on_not_taken(context, call, "call not encoded"));
    };
    context.open.on_sent(gateway.now(), &call.peer.name);
    let request = head.map(|()| Full::new(context.body.bytes.clone()));
    let sent = connection.sender.send_request(request);
    // The other instance leaves slow servers itself, and one that pauses is not dead.
    let response = match timeout(context.time_left(), sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            guard.set_result(ForwardResult::Unavailable);
            return Err(on_lost(
                context,
                call,
                CallFailure::CLOSED,
                &error.to_string(),
            ));
        }
        Err(_) => {
            guard.set_result(ForwardResult::Unavailable);
            return Err(on_lost(
                context,
                call,
                CallFailure::TIMED_OUT,
                "no response in time",
            ));
        }
    };
    let (mut parts, body) = response.into_parts();
    for (id, started_unix_ms) in decode_leaving(&parts.headers) {
        let process = ServerProcess {
            id,
            started_unix_ms,
        };
        gateway.on_stated_leaving(process, LeavingSource::Instance);
    }
    let outcome = take_outcome(number, &mut parts);
    match &outcome {
        Some(ForwardOutcome::NotTaken(NotTaken::NoPath)) => {
            guard.set_result(ForwardResult::NoPath);
        }
        // The newer configuration reaches the instance at any moment.
        Some(ForwardOutcome::NotTaken(NotTaken::OlderConfiguration)) => {}
        Some(ForwardOutcome::NotTaken(_)) | None => guard.set_result(ForwardResult::Unavailable),
        Some(ForwardOutcome::Refused { .. } | ForwardOutcome::Response { .. }) => {
            guard.set_result(ForwardResult::Served);
        }
    }
    info!(gateway.log, "sent through an instance"; "request" => %context.client.id,
        "route" => %context.route.name, "peer" => %call.peer.name, "address" => %call.address,
        "number" => number, "status" => parts.status.as_u16(),
        "age_ms" => context.age().as_millis() as u64);
    let (possible_runs, version) = match outcome {
        Some(ForwardOutcome::Response {
            possible_runs,
            version,
        }) => (possible_runs, version),
        Some(ForwardOutcome::Refused {
            reason,
            ran,
            retry_after_ms,
        }) => {
            let mut known = RefusalReason::ALL.iter().copied();
            return Err(InstanceFailure::Refused(Refusal {
                reason: known
                    .find(|known| known.as_str() == reason)
                    .unwrap_or(RefusalReason::NoBackend),
                ran,
                retry_after: Duration::from_millis(retry_after_ms.into()),
            }));
        }
        Some(ForwardOutcome::NotTaken(reason)) => {
            return Err(on_not_taken(context, call, &reason.to_string()));
        }
        None => {
            let cause = "no outcome for this call";
            return Err(on_lost(context, call, CallFailure::WRONG_RESPONSE, cause));
        }
    };
    let framing = BodyFraming::of_response(&parts.headers, body.is_end_stream());
    remove_connection_headers(&mut parts.headers, &[]);
    connection
        .meter
        .allow(body_allowance(context, &CallStep::Whole));
    Ok(InstanceResponse {
        response: BackendResponse {
            parts,
            body,
            framing,
            guard: ResponseGuard::of_instance(connection.driver, guard, gateway.now()),
        },
        possible_runs,
        version,
    })
}

/// Encodes the head of a call; returns `None` if its values are no valid headers.
fn encode_call(
    context: &RequestContext,
    call: &InstanceCall,
    number: u64,
) -> Option<http::Request<()>> {
    let gateway = &context.gateway;
    let age = context.age() + WAY;
    let content = ForwardCall {
        sender: gateway.settings.instance.clone(),
        boot: gateway.forwarding.boot,
        generation: context.config.generation(),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        possible_runs: call.possible_runs,
        is_counted: context.is_counted.get(),
        takes_retry: call.takes_retry,
        resume: call.resume,
    };
    let mut head = encode_client_request(&context.client);
    let headers = head.headers_mut();
    let call = TeamCall {
        call: content,
        team: context.team.clone(),
    };
    forward::encode_call(headers, number, &call)?;
    // The end of a stream is stated in a trailer.
    headers.insert(header::TE, HeaderValue::from_static("trailers"));
    Some(head)
}

/// Takes what the other instance states about call `number`; `None` if it states nothing.
fn take_outcome(number: u64, parts: &mut response::Parts) -> Option<ForwardOutcome> {
    let value = parts.headers.remove(OUTCOME_HEADER)?;
    match decode(&value)? {
        (named, outcome) if named == number => match outcome {
            // An instance with another version of the encoding refuses by the status.
            None if parts.status == NOT_TAKEN_STATUS => {
                Some(ForwardOutcome::NotTaken(NotTaken::Malformed))
            }
            outcome => outcome,
        },
        _ => None,
    }
}

/// Buffers the whole body of a response that has a length.
async fn collect(
    context: &RequestContext,
    call: &InstanceCall,
    mut response: BackendResponse,
) -> Result<Response<ResponseBody>, InstanceFailure> {
    let head = response.take_head();
    if response.framing != BodyFraming::Length {
        let cause = "response without length";
        return Err(on_lost(context, call, CallFailure::CLOSED, cause));
    }
    let gateway = &context.gateway;
    let body = gateway
        .buffer_budget
        .read(&mut response.body, MAX_BODY_BYTES);
    match timeout(context.time_left(), body).await {
        Ok(Ok(body)) => {
            gateway
                .metrics
                .observe_latency(context.route.kind, "answered", context.age());
            Ok(head.map(|()| ResponseBody::buffered(body)))
        }
        Ok(Err(error)) => {
            let cause = error.to_string();
            Err(on_lost(context, call, CallFailure::CLOSED, &cause))
        }
        Err(_) => {
            let cause = "no whole response in time";
            Err(on_lost(context, call, CallFailure::TIMED_OUT, cause))
        }
    }
}

fn refusal(reason: RefusalReason, ran: Ran) -> Refusal {
    Refusal {
        reason,
        ran,
        retry_after: DEFAULT_RETRY_AFTER,
    }
}

fn on_not_taken(context: &RequestContext, call: &InstanceCall, cause: &str) -> InstanceFailure {
    context.open.on_call_failed();
    let gateway = &context.gateway;
    gateway.metrics.count_forward(ForwardEvent::NotTaken);
    info!(gateway.log, "not taken by an instance"; "request" => %context.client.id,
        "peer" => %call.peer.name, "address" => %call.address, "cause" => cause,
        "age_ms" => context.age().as_millis() as u64);
    InstanceFailure::NotTaken
}

fn on_lost(
    context: &RequestContext,
    call: &InstanceCall,
    failure: CallFailure,
    cause: &str,
) -> InstanceFailure {
    context.open.on_call_failed();
    let gateway = &context.gateway;
    gateway.metrics.count_forward(ForwardEvent::Lost);
    info!(gateway.log, "lost at an instance"; "request" => %context.client.id,
        "peer" => %call.peer.name, "address" => %call.address, "cause" => cause,
        "age_ms" => context.age().as_millis() as u64);
    InstanceFailure::Lost(failure)
}
