//! Requests to plain services.

use std::{rc::Rc, time::Duration};

use http::Response;
use slog::debug;
use wagtailarch_adapter::CallStep;
use wagtailarch_traffic::{AttemptFailure, RequestTraits, RetryDecision, RetryPolicy};
use wagtailarch_types::{InstanceId, Ran, RefusalReason};

use crate::{
    answer_body::AnswerBody,
    backend_client::{Call, CallFailure, read_whole, send},
    job::Job,
    refusal::{Refusal, SOON},
};

/// Servers that one request is sent to at most, those that did not run it included.
const MAX_SENDS: usize = 4;
/// Share of the objective for which a request that may be repeated waits for its first server.
const FIRST_WAIT_SHARE: f64 = 0.8;

/// Serves a request by one of the servers of its service.
pub async fn serve(job: Rc<Job>) -> Response<AnswerBody> {
    let gateway = &job.gateway;
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut runs = 0;
    let mut ran = Ran::No;
    // The failure of a server, for the case that no other one does better.
    let mut own_failure = None;
    loop {
        let choice = gateway.board.borrow().select_server(
            gateway.now(),
            &job.service,
            &gateway.settings.zone,
            &tried,
        );
        let Some(choice) = choice else {
            let board = gateway.board.borrow();
            let refusal = Refusal {
                reason: board.unavailable_reason(gateway.now(), &job.service, &tried),
                ran,
                retry_after: SOON,
            };
            return own_failure.unwrap_or_else(|| refusal.respond(&job));
        };
        tried.push(choice.id.clone());
        let call = Call {
            head_limit: head_limit(&job, runs, &tried),
            server: choice,
            step: CallStep::Whole,
            priority: None,
            resume_after: job.client.resume_after,
        };
        let failure = match attempt(&job, &call).await {
            Ok(response) if !response.status().is_server_error() => return response,
            Ok(response) => {
                own_failure = Some(response);
                CallFailure::SERVER_ERROR
            }
            Err(failure) => failure,
        };
        if failure.ran != Ran::No {
            runs += 1;
        }
        let traits = RequestTraits {
            idempotent: job.route.kind.repeatable(),
            resumable: false,
            delivered: false,
            attempts: runs,
            attempt_limit: job.route.max_attempts,
            ran_before: ran,
        };
        ran = RetryPolicy::combine(ran, failure.ran);
        let attempt_failure = AttemptFailure {
            reason: failure.reason,
        };
        let reason = match RetryPolicy::evaluate(&attempt_failure, &traits) {
            RetryDecision::Retry(_) if job.time_left().is_zero() => {
                RefusalReason::DeadlineUnreachable
            }
            RetryDecision::Retry(_) if tried.len() >= MAX_SENDS => RefusalReason::AttemptsExhausted,
            RetryDecision::Retry(reason)
                if !attempt_failure.reached_server() || gateway.try_retry(&job.service) =>
            {
                gateway.metrics.outcomes.retried(reason);
                continue;
            }
            RetryDecision::Retry(_) => RefusalReason::RetryBudgetExhausted,
            RetryDecision::Refuse(..) if job.time_left().is_zero() => {
                RefusalReason::DeadlineUnreachable
            }
            RetryDecision::Refuse(reason, _) => reason,
        };
        let refusal = Refusal {
            reason,
            ran,
            retry_after: SOON,
        };
        return own_failure.unwrap_or_else(|| refusal.respond(&job));
    }
}

/// Returns how long the head of an answer may take.
///
/// A request that may be repeated leaves a silent server while another one can still be on time.
/// Silence alone ends nothing: without another server the answer is awaited to the end.
fn head_limit(job: &Job, runs: u32, tried: &[InstanceId]) -> Duration {
    let left = job.time_left();
    let gateway = &job.gateway;
    let may_move = job.route.kind.repeatable()
        && runs + 1 < job.route.max_attempts
        && tried.len() < MAX_SENDS
        && gateway.may_retry(&job.service);
    let zone = &gateway.settings.zone;
    let board = gateway.board.borrow();
    let other = board.select_server(gateway.now(), &job.service, zone, tried);
    if !may_move || other.is_none() {
        return left;
    }
    left.min(job.route.objective.mul_f64(FIRST_WAIT_SHARE))
}

/// Sends a request to one server and reads its whole answer.
async fn attempt(job: &Job, call: &Call) -> Result<Response<AnswerBody>, CallFailure> {
    let gateway = &job.gateway;
    let mut answer = send(job, call).await?;
    let head = answer.take_head();
    let body = read_whole(job, call, answer, job.time_left()).await?;
    let now = gateway.now();
    if head.status().is_server_error() {
        gateway.board.borrow_mut().on_failure(now, &call.server.id);
    } else {
        gateway.board.borrow_mut().on_success(now, &call.server.id);
        gateway.quarantine.on_completed(job.fingerprint);
    }
    gateway
        .metrics
        .latency(job.route.kind, "answered", job.age());
    debug!(gateway.log, "answered"; "request" => %job.client.id, "route" => %job.route.name,
        "server" => %call.server.id, "status" => head.status().as_u16(),
        "age_ms" => job.age().as_millis() as u64);
    Ok(head.map(|()| AnswerBody::held(body)))
}
