//! Calls of plain services.

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
    proxy_message::{outgoing, recorded_response},
    proxy_response::{Held, ServiceAnswer, hold, refusal},
    refusal::Refusal,
    request::{RequestContext, idempotency_key},
    settings::ms,
    snapshot::{is_idempotent, may_call},
};

/// Answers a call of a plain service.
pub async fn forward(
    context: RequestContext,
    parts: Parts,
    body: Incoming,
) -> Result<Response<ClientBody>, Refusal> {
    let path = decoded(parts.uri.path()).into_owned();
    let service = find(&context, &path)?;
    let idempotent = is_idempotent(service, parts.method.as_str(), &path);
    let target = Target {
        service: service.name.clone(),
        group: service.group.clone(),
        idempotent,
        resumable: false,
    };
    let key = idempotency_key(&parts.headers)?;
    let held = context.shared.bodies.read(body).await?;
    // The scheme and host of HTTP/2 are left out, so that both protocols give one fingerprint.
    let target_path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let operation = format!("{} {target_path}", parts.method);
    let attempts = Attempts::new(context.clone(), target.clone(), &operation, &held.bytes)?;
    let admitted = attempts.admit(0, 0)?;
    let call = Call {
        attempts,
        target,
        parts,
        body: held.bytes.clone(),
    };
    let answer = if idempotent {
        call.run().await?.into_response()
    } else {
        let route = format!("{} {path}", call.parts.method);
        let id = key.unwrap_or_else(|| context.id_text.clone());
        let key = claim_key(&context.team().name, &route, id.as_bytes());
        // The call and the record of its outcome go on when the client goes away.
        let run = tokio::spawn(claimed(call, key));
        run.await.unwrap_or_else(|_| Err(lost()))?
    };
    context.shared.metrics.completed.inc();
    // The share is free again once the response was sent.
    Ok(answer.map(|body| crate::body::with_guard(body, (admitted, held, context))))
}

/// Claims the call, runs it and records its outcome.
async fn claimed(call: Call, key: ClaimKey) -> Result<Response<ClientBody>, Refusal> {
    let context = call.attempts.context().clone();
    let claims = context.shared.claims.get().ok_or_else(claims_unavailable)?;
    match claims.claim(key).await {
        ClaimResult::Granted => {}
        ClaimResult::AlreadyClaimed(Some(outcome)) => return Ok(recorded_response(outcome)),
        ClaimResult::AlreadyClaimed(None) => {
            let message = "the call was accepted before and its outcome is not known";
            return Err(Refusal::not_run(RefusalReason::AlreadyAccepted, message).ran(Ran::Unknown));
        }
        ClaimResult::Unavailable => {
            return Err(claims_unavailable().with_jitter(context.id));
        }
    }
    let result = call.run().await;
    match &result {
        Ok(answer) => {
            if let Some(body) = answer
                .whole()
                .filter(|body| body.len() <= MAX_OUTCOME_BYTES)
            {
                let status = answer.status().as_u16();
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
    result.map(ServiceAnswer::into_response)
}

fn claims_unavailable() -> Refusal {
    Refusal::not_run(
        RefusalReason::ClaimsUnavailable,
        "claims cannot be recorded at present",
    )
    .retry_after(Duration::from_secs(1))
}

fn lost() -> Refusal {
    Refusal::not_run(RefusalReason::BackendFailedMidway, "the call was lost").ran(Ran::Unknown)
}

/// A call of a plain service.
struct Call {
    attempts: Attempts,
    target: Target,
    parts: Parts,
    body: Bytes,
}

impl Call {
    /// Runs attempts until one has an answer.
    async fn run(mut self) -> Result<ServiceAnswer, Refusal> {
        let context = self.attempts.context().clone();
        let received = context.received.elapsed();
        Metrics::observe(&context.shared.metrics.added_latency, received);
        match timeout(context.time_left(), self.attempts()).await {
            Ok(result) => result,
            Err(_) => Err(context.too_late(Ran::Unknown)),
        }
    }

    async fn attempts(&mut self) -> Result<ServiceAnswer, Refusal> {
        loop {
            let pick = self.attempts.pick(self.pick_request()).await?;
            let guard = self.attempts.enter(&pick);
            let reason = match self.attempt(&pick).await {
                Ok(Held::Answer(mut answer)) => {
                    self.attempts.completed(&pick);
                    answer.keep((pick, guard));
                    return Ok(answer);
                }
                Ok(Held::Broken) => RetryReason::StreamBroken,
                Err(error) => {
                    self.attempts.note_signs(&pick, &error);
                    retry_reason(&error)
                }
            };
            self.attempts.failed(&pick, reason, guard, false).await?;
        }
    }

    async fn attempt(&self, pick: &Selection) -> Result<Held, CallError> {
        let context = self.attempts.context();
        let shared = &context.shared;
        let request = outgoing(context, &self.parts, &pick.address, self.body.clone())?;
        let limit = ms(shared.settings.timeouts.service_ms);
        let idempotent = self.target.idempotent;
        let sent = async {
            if idempotent {
                shared.engines.send(request).await
            } else {
                shared.engines.send_once(request).await
            }
        };
        let response = timeout(limit, sent)
            .await
            .map_err(|_| CallError::TimedOut)??;
        if let Some(refusal) = refusal(&response) {
            // A service that leaves may have run the call; only one that may be repeated is.
            if idempotent || matches!(refusal, CallError::Refused { ran: Ran::No, .. }) {
                return Err(refusal);
            }
            self.attempts.note_signs(pick, &refusal);
        }
        Ok(hold(
            response,
            shared.settings.limits.response_buffer_bytes,
            limit,
        )
        .await)
    }

    fn pick_request(&self) -> SelectionRequest {
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

const fn retry_reason(error: &CallError) -> RetryReason {
    match error {
        CallError::ConnectFailed | CallError::BadAddress => RetryReason::ConnectFailed,
        CallError::Refused { ran: Ran::No, .. } => RetryReason::RefusedNotRun,
        CallError::TimedOut => RetryReason::FirstTokenTimeout,
        CallError::Refused { .. } | CallError::ClosedBeforeAnswer | CallError::BadAnswer => {
            RetryReason::ClosedBeforeResponse
        }
    }
}

/// Returns the path as the backend server resolves it.
fn decoded(path: &str) -> Cow<'_, str> {
    percent_decode_str(path).decode_utf8_lossy()
}

fn find<'a>(context: &'a RequestContext, path: &str) -> Result<&'a Service, Refusal> {
    let service = context.snapshot.plain_service(path).ok_or_else(|| {
        Refusal::not_run(
            RefusalReason::UnknownRoute,
            format!("no service has the path {path:?}"),
        )
    })?;
    if may_call(context.team(), &service.name) {
        return Ok(service);
    }
    let message = format!("the team may not call {:?}", service.name);
    Err(Refusal::not_run(RefusalReason::ForbiddenService, message))
}
