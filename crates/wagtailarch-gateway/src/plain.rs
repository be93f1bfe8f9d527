//! Requests to plain services.

use std::{cell::Cell, rc::Rc, time::Duration};

use http::Response;
use slog::debug;
use wagtailarch_adapter::CallStep;
use wagtailarch_dispatch::ServerEndpoint;
use wagtailarch_traffic::{AttemptFailure, RequestTraits, RetryDecision, RetryPolicy};
use wagtailarch_types::{InstanceId, Ran, RefusalReason};

use crate::{
    backend_client::{Call, CallFailure, collect_body, send},
    forward::client::{Condition, serve_plain},
    permits::{self, Permit},
    refusal::{DEFAULT_RETRY_AFTER, Refusal},
    request_context::RequestContext,
    response_body::ResponseBody,
    second_call::{self, CallOutcome},
    team_use::count_use,
};

/// Maximum number of servers to which one request is sent, including those that did not run it.
pub const MAX_SERVERS: usize = 4;
/// Fraction of the objective for which a repeatable request waits for its first server.
const FIRST_SERVER_FRACTION: f64 = 0.8;

/// Serves a request by one of the servers of its service.
pub async fn serve(context: Rc<RequestContext>) -> Response<ResponseBody> {
    let gateway = &context.gateway;
    // Servers that were called or have no permit for this request.
    let mut excluded: Vec<InstanceId> = Vec::new();
    let mut calls = 0;
    let mut is_unreachable = false;
    let mut ran = Ran::No;
    // The error response of a server, passed on if no other server succeeds.
    let mut error_response = None;
    loop {
        if let Err(refusal) = context.check_shutdown(ran) {
            return error_response.unwrap_or_else(|| refusal.respond(&context));
        }
        if let Err(refusal) = context.judge(ran) {
            return error_response.unwrap_or_else(|| refusal.respond(&context));
        }
        let selected = select_server(&context, &excluded);
        let Some(selected) = selected else {
            let refusal = context.unavailable(ran, context.rank(), &excluded);
            return match error_response {
                Some(response) => response,
                None => refuse(&context, refusal, is_unreachable).await,
            };
        };
        excluded.push(selected.id.clone());
        let Some(permit) = permits::acquire(gateway, &selected.id, context.rank()).await else {
            continue;
        };
        calls += 1;
        let call = Call {
            head_limit: head_limit(&context, calls, &excluded),
            is_kept: Cell::new(false),
            server: selected,
            step: CallStep::Whole,
            priority: None,
            resume_after: context.client.resume_after,
        };
        let round = second_call::attempt(&context, &call, permit, &mut excluded, &mut calls).await;
        let mut failure_of = |outcome: CallOutcome| match outcome {
            Ok(response) => {
                error_response = Some(response);
                CallFailure::SERVER_ERROR
            }
            Err(failure) => failure,
        };
        if let Some(other) = round.other_failure {
            let failure = failure_of(other);
            if failure.ran != Ran::No {
                context.possible_runs.update(|runs| runs + 1);
            }
            ran = RetryPolicy::combine(ran, failure.ran);
        }
        let failure = match round.outcome {
            Ok(response) if !response.status().is_server_error() => return response,
            outcome => failure_of(outcome),
        };
        if failure.ran != Ran::No {
            context.possible_runs.update(|runs| runs + 1);
        }
        is_unreachable = failure.is_unreachable();
        if is_unreachable
            && let Some(response) = serve_plain(&context, Condition::PathLost, ran).await
        {
            return response;
        }
        let traits = RequestTraits {
            idempotent: context.route.kind.repeatable(),
            resumable: false,
            delivered: false,
            attempts: context.possible_runs.get(),
            attempt_limit: context.route.max_attempts,
            ran_before: ran,
        };
        ran = RetryPolicy::combine(ran, failure.ran);
        let attempt_failure = AttemptFailure {
            reason: failure.reason,
        };
        let reason = match RetryPolicy::evaluate(&attempt_failure, &traits) {
            RetryDecision::Retry(_) if context.time_left().is_zero() => {
                RefusalReason::DeadlineUnreachable
            }
            RetryDecision::Retry(_) if calls >= MAX_SERVERS => RefusalReason::AttemptsExhausted,
            RetryDecision::Retry(reason)
                if !attempt_failure.reached_server() || gateway.try_retry(&context.service) =>
            {
                gateway.metrics.outcomes.count_retry(reason);
                continue;
            }
            RetryDecision::Retry(_) => RefusalReason::RetryBudgetExhausted,
            RetryDecision::Refuse(..) if context.time_left().is_zero() => {
                RefusalReason::DeadlineUnreachable
            }
            RetryDecision::Refuse(reason, _) => reason,
        };
        let refusal = Refusal {
            reason,
            ran,
            retry_after: DEFAULT_RETRY_AFTER,
        };
        return match error_response {
            Some(response) => response,
            None => refuse(&context, refusal, is_unreachable).await,
        };
    }
}

/// Selects a server; for a trial of a blamed request, one that runs no others if there is one.
fn select_server(context: &RequestContext, excluded: &[InstanceId]) -> Option<ServerEndpoint> {
    let gateway = &context.gateway;
    let now = gateway.now();
    let load_balancer = gateway.load_balancer.borrow();
    let select = |excluded: &[InstanceId]| {
        let zone = &gateway.settings.zone;
        load_balancer.select_server(now, &context.service, zone, context.rank(), excluded)
    };
    let mut selected = None;
    if context.is_trial.get() {
        let loads = load_balancer.loads(now);
        let busy = loads
            .filter(|load| load.in_flight > 0)
            .map(|load| load.server);
        let apart: Vec<_> = excluded.iter().cloned().chain(busy).collect();
        selected = select(&apart);
    }
    selected.or_else(|| select(excluded))
}

/// Refuses a request, unless no server was reached last and another instance takes it.
async fn refuse(
    context: &Rc<RequestContext>,
    refusal: Refusal,
    is_unreachable: bool,
) -> Response<ResponseBody> {
    if (is_unreachable || context.has_unreachable_servers(&refusal))
        && let Some(response) = serve_plain(context, Condition::Unreachable, refusal.ran).await
    {
        return response;
    }
    refusal.respond(context)
}

/// Returns the time within which the head of a response must arrive.
///
/// A repeatable request leaves an unresponsive server while another one can still meet the
/// objective. Without an alternative the response is awaited up to the request's timeout.
pub fn head_limit(context: &RequestContext, calls: usize, excluded: &[InstanceId]) -> Duration {
    let left = context.time_left();
    let gateway = &context.gateway;
    let can_fail_over = context.route.kind.repeatable()
        && context.possible_runs.get() + 1 < context.route.max_attempts
        && calls < MAX_SERVERS
        && gateway.may_retry(&context.service);
    let zone = &gateway.settings.zone;
    let load_balancer = gateway.load_balancer.borrow();
    let alternative = load_balancer.select_server(
        gateway.now(),
        &context.service,
        zone,
        context.rank(),
        excluded,
    );
    if !can_fail_over || alternative.is_none() {
        return left;
    }
    left.min(context.route.objective.mul_f64(FIRST_SERVER_FRACTION))
}

/// Sends a request to one server, buffers its whole response and counts the use of the request's team.
pub async fn attempt(
    context: &RequestContext,
    call: &Call,
    permit: Permit,
) -> Result<Response<ResponseBody>, CallFailure> {
    let mut use_of_call = UseOfCall {
        context,
        started_at: context.gateway.now(),
        not_run: false,
    };
    let result = call_server(context, call, permit).await;
    use_of_call.not_run = matches!(&result, Err(failure) if failure.ran == Ran::No);
    result
}

/// Counts the use of a call when it is dropped, also because its client has left, unless it is known
/// that it did not run.
///
/// A server begins a plain request when it arrives.
struct UseOfCall<'a> {
    context: &'a RequestContext,
    started_at: Duration,
    not_run: bool,
}

impl Drop for UseOfCall<'_> {
    fn drop(&mut self) {
        // A call that was cancelled before it was sent has not begun.
        if !self.not_run && self.context.open.ran() != Ran::No {
            let now = self.context.gateway.now();
            count_use(self.context, now.saturating_sub(self.started_at));
        }
    }
}

/// Sends a request to one server and buffers its whole response.
async fn call_server(
    context: &RequestContext,
    call: &Call,
    permit: Permit,
) -> Result<Response<ResponseBody>, CallFailure> {
    let gateway = &context.gateway;
    let sent_at = gateway.now();
    let mut response = send(context, call, permit).await?;
    let head = response.take_head();
    let body = collect_body(context, call, response, context.time_left()).await?;
    let now = gateway.now();
    if head.status().is_server_error() {
        gateway
            .load_balancer
            .borrow_mut()
            .on_failure(now, &call.server.id);
    } else {
        let mut load_balancer = gateway.load_balancer.borrow_mut();
        load_balancer.on_success(now, &call.server.id);
        // A refused request takes a server little time.
        if head.status().is_success() {
            let took = now.saturating_sub(sent_at);
            load_balancer.on_plain_completed(now, &call.server.id, took);
        }
        drop(load_balancer);
        gateway.record_completion(context.request_key(), true);
    }
    gateway
        .metrics
        .observe_latency(context.route.kind, "answered", context.age());
    debug!(gateway.log, "answered"; "request" => %context.client.id, "route" => %context.route.name,
        "server" => %call.server.id, "status" => head.status().as_u16(),
        "age_ms" => context.age().as_millis() as u64);
    Ok(head.map(|()| ResponseBody::buffered(body)))
}
