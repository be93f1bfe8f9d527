//! Forwards calls of plain services to their backend servers.

use std::{borrow::Cow, time::Duration};

use bytes::Bytes;
use http::{Response, request::Parts};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use tokio::time::timeout;
use wagtailarch_fleet::Service;
use wagtailarch_traffic::{
    ClaimKey, ClaimOutcome, ClaimResult, MAX_OUTCOME_BYTES, Selection, SelectionRequest, claim_key,
};
use wagtailarch_types::{BackendKind, Phase, Ran, RefusalReason, RetryReason};

use crate::{
    attempts::{Attempts, Target},
    body::ClientBody,
    engine_client::CallError,
    metrics::Metrics,
    proxy_message::{backend_request, recorded_response},
    proxy_response::{BufferResult, ServiceResponse, buffer_response, parse_refusal},
    refusal::Refusal,
    request::{RequestContext, idempotency_key},
    settings::ms,
    snapshot::{is_idempotent, may_call},
};

/// Forwards a call of a plain service and returns the response.
pub async fn forward(
    context: RequestContext,
    parts: Parts,
    body: &mut Incoming,
) -> Result<Response<ClientBody>, Refusal> {
    let path = decode_path(parts.uri.path()).into_owned();
    let service = find_service(&context, &path)?;
    let idempotent = is_idempotent(service, parts.method.as_str(), &path);
    let target = Target {
        service: service.name.clone(),
        group: service.group.clone(),
        idempotent,
        resumable: false,
    };
    let key = idempotency_key(&parts.headers)?;
    let buffered = context.shared.body_reader.read(body).await?;
    // Without the scheme and host of HTTP/2, the fingerprint is the same for HTTP/1.1 and HTTP/2.
    let target_path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let operation = format!("{} {target_path}", parts.method);
    let attempts = Attempts::new(context.clone(), target.clone(), &operation, &buffered.bytes)?;
    let admitted = attempts.admit(0, 0)?;
    let call = Call {
        attempts,
        target,
        parts,
        body: buffered.bytes.clone(),
    };
    let response = if idempotent {
        call.run().await?.into_response()
    } else {
        let route = format!("{} {path}", call.parts.method);
        let id = key.unwrap_or_else(|| context.id_text.clone());
        let key = claim_key(&context.team().name, &route, id.as_bytes());
        // The call continues and its outcome is recorded even if the client disconnects.
        let run = tokio::spawn(run_claimed(call, key));
        run.await.unwrap_or_else(|_| Err(call_lost()))?
    };
    context.shared.metrics.completed.inc();
    // The admission and the memory of the request are released once the response was sent.
    Ok(response.map(|body| crate::body::with_guard(body, (admitted, buffered, context))))
}

/// Claims a call that may run at most once, runs it and records its outcome.
async fn run_claimed(call: Call, key: ClaimKey) -> Result<Response<ClientBody>, Refusal> {
    let context = call.attempts.context().clone();
    let claims = context.shared.claims.get().ok_or_else(claims_unavailable)?;
    match claims.claim(key).await {
        ClaimResult::Granted => {}
        ClaimResult::AlreadyClaimed(Some(outcome)) => return Ok(recorded_response(outcome)),
        ClaimResult::AlreadyClaimed(None) => {
            let message = "the call was accepted before and its outcome is not known";
            return Err(Refusal::new(RefusalReason::AlreadyAccepted, message).ran(Ran::Unknown));
        }
        ClaimResult::Unavailable => {
            return Err(claims_unavailable().with_jitter(context.id));
        }
    }
    let result = call.run().await;
    match &result {
        Ok(response) => {
            if let Some(body) = response
                .full_body()
                .filter(|body| body.len() <= MAX_OUTCOME_BYTES)
            {
                let status = response.status().as_u16();
                claims
                    .record(
                        key,
                        ClaimOutcome {
                            status,
                            body: body.to_vec(),
                        },
                    )
                    .await;
            }
        }
        Err(refusal) => {
            let status = refusal.reason.status();
            let body = refusal.to_json().to_string().into_bytes();
            claims.record(key, ClaimOutcome { status, body }).await;
        }
    }
    result.map(ServiceResponse::into_response)
}

fn claims_unavailable() -> Refusal {
    Refusal::new(
        RefusalReason::ClaimsUnavailable,
        "claims cannot be recorded at present",
    )
    .retry_after(Duration::from_secs(1))
}

fn call_lost() -> Refusal {
    Refusal::new(RefusalReason::BackendFailedMidway, "the call was lost").ran(Ran::Unknown)
}

/// A call of a plain service that is forwarded to a backend server.
struct Call {
    attempts: Attempts,
    target: Target,
    parts: Parts,
    body: Bytes,
}

impl Call {
    /// Runs attempts until one returns a response or the deadline passes.
    async fn run(mut self) -> Result<ServiceResponse, Refusal> {
        let context = self.attempts.context().clone();
        let elapsed = context.received.elapsed();
        Metrics::observe(&context.shared.metrics.added_latency, elapsed);
        match timeout(context.time_left(), self.run_attempts()).await {
            Ok(result) => result,
            Err(_) => Err(context.deadline_refusal(Ran::Unknown)),
        }
    }

    /// Runs attempts until one returns a response or no further attempt may follow.
    async fn run_attempts(&mut self) -> Result<ServiceResponse, Refusal> {
        loop {
            let selection = self.attempts.select(self.selection_request()).await?;
            let guard = self.attempts.track(&selection);
            let reason = match self.run_attempt(&selection).await {
                Ok(BufferResult::Response(mut response)) => {
                    self.attempts.on_completed(&selection);
                    response.attach_guard((selection, guard));
                    return Ok(response);
                }
                Ok(BufferResult::Broken) => RetryReason::StreamBroken,
                Err(error) => {
                    self.attempts.report_failed_call(&selection, &error);
                    retry_reason(&error)
                }
            };
            self.attempts
                .on_failure(&selection, reason, guard, false)
                .await?;
        }
    }

    /// Sends the call to a server and buffers the beginning of the response.
    async fn run_attempt(&self, selection: &Selection) -> Result<BufferResult, CallError> {
        let context = self.attempts.context();
        let shared = &context.shared;
        let request = backend_request(context, &self.parts, &selection.address, self.body.clone())?;
        let response_timeout = ms(shared.settings.timeouts.service_ms);
        let idempotent = self.target.idempotent;
        let send = async {
            if idempotent {
                shared.engine_client.send(request).await
            } else {
                shared.engine_client.send_once(request).await
            }
        };
        let response = timeout(response_timeout, send)
            .await
            .map_err(|_| CallError::TimedOut)??;
        if let Some(refusal) = parse_refusal(&response) {
            // A server that is leaving may have run the call, so only idempotent calls are
            // repeated. The response to another call is passed on to the client.
            if idempotent || matches!(refusal, CallError::Refused { ran: Ran::No, .. }) {
                return Err(refusal);
            }
            self.attempts.report_failed_call(selection, &refusal);
        }
        Ok(buffer_response(
            shared,
            response,
            selection,
            shared.settings.limits.response_buffer_bytes,
            response_timeout,
        )
        .await)
    }

    /// Returns the requirements for the backend server of an attempt.
    fn selection_request(&self) -> SelectionRequest {
        SelectionRequest {
            group: self.target.group.clone(),
            kind: BackendKind::Service,
            phase: Phase::Full,
            model: None,
            version: None,
            adapter: None,
            prefix_hashes: Vec::new(),
            prompt_tokens: 0,
            preferred_zone: None,
            excluded: Vec::new(),
            suspect: false,
            backends_with_suspects: Vec::new(),
        }
    }
}

/// Returns the reason under which a failed call is retried.
const fn retry_reason(error: &CallError) -> RetryReason {
    match error {
        CallError::ConnectFailed | CallError::InvalidAddress => RetryReason::ConnectFailed,
        CallError::Refused { ran: Ran::No, .. } => RetryReason::RefusedNotRun,
        CallError::TimedOut => RetryReason::FirstTokenTimeout,
        CallError::Refused { .. }
        | CallError::ClosedBeforeResponse
        | CallError::InvalidResponse => RetryReason::ClosedBeforeResponse,
    }
}

/// Returns the path with its percent-encoding decoded, as the backend server resolves it.
fn decode_path(path: &str) -> Cow<'_, str> {
    percent_decode_str(path).decode_utf8_lossy()
}

/// Returns the plain service with the path, if the team may call it.
fn find_service<'a>(context: &'a RequestContext, path: &str) -> Result<&'a Service, Refusal> {
    let service = context.snapshot.plain_service(path).ok_or_else(|| {
        Refusal::new(
            RefusalReason::UnknownRoute,
            format!("no service has the path {path:?}"),
        )
    })?;
    if may_call(context.team(), &service.name) {
        return Ok(service);
    }
    let message = format!("the team may not call {:?}", service.name);
    Err(Refusal::new(RefusalReason::ForbiddenService, message))
}
