//! The calls made for one generation, and whether another one may follow.

use std::{iter, time::Duration};

use tokio::time::sleep;
use wagtailarch_dispatch::{
    CallKind, GenerationPlan, Placement, PrefillPlan, RequestArrivals, ServerEndpoint,
};
use wagtailarch_traffic::{AttemptFailure, RequestTraits, RetryDecision, RetryPolicy};
use wagtailarch_types::{InstanceId, Ran, RefusalReason, RetryReason};
use wagtailarch_wire::permit::PermitRank;

use crate::{
    backend_client::CallFailure,
    engine_report::{ReportOutcome, fetch_report},
    forward::client::can_forward,
    refusal::{DEFAULT_RETRY_AFTER, Refusal},
    request_context::RequestContext,
};

/// Maximum number of calls for one request, including those that did not run it.
pub const MAX_CALLS: u32 = 6;
/// Delay before engines are selected again for a generation whose engine is unresponsive.
const FAIL_OVER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The calls made so far for one generation.
#[derive(Debug, Clone, Default)]
pub struct Attempts {
    /// Engines that failed or have no permit for this request, which are not selected again.
    pub excluded_engines: Vec<InstanceId>,
    /// Instances that failed or did not take the request.
    pub excluded_instances: Vec<InstanceId>,
    /// Arrivals at servers, of which all but the first are taken from the retry budget.
    pub arrivals: RequestArrivals,
    /// Whether the last call could not open a connection, or went to another instance.
    pub is_unreachable: bool,
    /// Number of all calls.
    pub calls: u32,
    /// Why the last call failed.
    last_failure: Option<RetryReason>,
    /// Whether the request may have run.
    ran: Option<Ran>,
}

impl Attempts {
    /// Returns whether the request may have run.
    pub fn ran(&self) -> Ran {
        self.ran.unwrap_or(Ran::No)
    }

    /// Records a failed call; returns the refusal if no further call may follow.
    pub fn on_failure(
        &mut self,
        context: &RequestContext,
        engine: &InstanceId,
        failure: CallFailure,
        delivered: bool,
    ) -> Result<(), Refusal> {
        self.excluded_engines.push(engine.clone());
        self.is_unreachable = failure.is_unreachable();
        if failure.ran != Ran::No {
            context.possible_runs.update(|runs| runs + 1);
        }
        let attempt_failure = AttemptFailure {
            reason: failure.reason,
        };
        if attempt_failure.reached_server() {
            self.arrivals.on_arrival();
        }
        let decision = self.evaluate(context, failure, delivered);
        let reason = match decision {
            _ if context.time_left().is_zero() => RefusalReason::DeadlineUnreachable,
            RetryDecision::Refuse(reason, _) => reason,
            RetryDecision::Retry(_) if self.calls >= MAX_CALLS => RefusalReason::AttemptsExhausted,
            RetryDecision::Retry(reason) if !attempt_failure.reached_server() => {
                context.gateway.metrics.outcomes.count_retry(reason);
                return Ok(());
            }
            RetryDecision::Retry(_) => return self.take_retry(context, CallKind::Run),
        };
        Err(self.refusal(reason))
    }

    /// Records that the connection to another instance broke after the request was sent; returns the
    /// refusal if no further call may follow.
    ///
    /// `runs` is the number of calls that may have run the request, with those of that instance.
    pub fn on_instance_lost(
        &mut self,
        context: &RequestContext,
        instance: &InstanceId,
        failure: CallFailure,
        runs: u32,
        delivered: bool,
    ) -> Result<(), Refusal> {
        self.excluded_instances.push(instance.clone());
        self.arrivals.on_arrival();
        context.possible_runs.set(runs);
        let reason = match self.evaluate(context, failure, delivered) {
            _ if context.time_left().is_zero() => RefusalReason::DeadlineUnreachable,
            RetryDecision::Refuse(reason, _) => reason,
            RetryDecision::Retry(_) => return Ok(()),
        };
        Err(self.refusal(reason))
    }

    /// Records whether a failed call may have run the request, and decides about another one.
    fn evaluate(
        &mut self,
        context: &RequestContext,
        failure: CallFailure,
        delivered: bool,
    ) -> RetryDecision {
        let traits = RequestTraits {
            idempotent: context.route.kind.repeatable(),
            resumable: context.route.kind.repeatable(),
            delivered,
            attempts: context.possible_runs.get(),
            attempt_limit: context.route.max_attempts,
            ran_before: self.ran(),
        };
        self.ran = Some(RetryPolicy::combine(self.ran(), failure.ran));
        let reason = failure.reason;
        self.last_failure = Some(reason);
        RetryPolicy::evaluate(&AttemptFailure { reason }, &traits)
    }

    /// Records that an engine responded with an HTTP error; returns whether another engine is
    /// tried instead of passing that response on.
    pub fn on_http_error(&mut self, context: &RequestContext, engine: &InstanceId) -> bool {
        context.route.kind.repeatable()
            && self
                .on_failure(context, engine, CallFailure::SERVER_ERROR, false)
                .is_ok()
    }

    /// Returns whether the generation could continue at another engine than `engine`.
    ///
    /// A slow engine alone is no reason to stop: without an alternative the response is awaited up
    /// to the request's timeout.
    pub fn can_fail_over(&self, context: &RequestContext, engine: &InstanceId) -> bool {
        self.fail_over_plan(context, engine).is_some()
    }

    /// Waits until the generation could continue at engines that respond, and returns the others
    /// that were found not to.
    ///
    /// Without them, leaving an unresponsive `engine` would end a response that it may still
    /// complete.
    pub async fn wait_for_fail_over(
        &self,
        context: &RequestContext,
        engine: &InstanceId,
    ) -> Vec<InstanceId> {
        let mut attempts = self.clone();
        let known = self.excluded_engines.len();
        loop {
            // No engine sends a report over a lost path, but another instance may have one.
            if self.may_run_again(context) && can_forward(context) {
                return Vec::new();
            }
            let Some(plan) = attempts.fail_over_plan(context, engine) else {
                sleep(FAIL_OVER_RETRY_DELAY).await;
                attempts.excluded_engines.truncate(known);
                continue;
            };
            let mut responds = true;
            for engine in plan_engines(&plan) {
                if !matches!(
                    fetch_report(&context.gateway, engine).await,
                    ReportOutcome::Received(_)
                ) {
                    attempts.excluded_engines.push(engine.id.clone());
                    responds = false;
                }
            }
            // Other streams may have taken the same engines and retries meanwhile.
            let is_current = attempts
                .fail_over_plan(context, engine)
                .is_some_and(|newer| plan_engines(&newer).eq(plan_engines(&plan)));
            if responds && is_current {
                return attempts.excluded_engines.split_off(known);
            }
            sleep(FAIL_OVER_RETRY_DELAY).await;
        }
    }

    /// Returns the engines at which the generation could continue instead of `engine`.
    fn fail_over_plan(
        &self,
        context: &RequestContext,
        engine: &InstanceId,
    ) -> Option<GenerationPlan> {
        let gateway = &context.gateway;
        if !self.may_run_again(context) {
            return None;
        }
        let rank = match context.last_event_at.get() {
            Some(_) => PermitRank::Urgent,
            None => context.rank(),
        };
        let mut excluded = self.excluded_engines.clone();
        excluded.push(engine.clone());
        let load_balancer = gateway.load_balancer.borrow();
        let now = gateway.now();
        let placement = load_balancer.place_generation(
            now,
            &context.service,
            &context.generation_request(rank),
            &excluded,
        );
        match placement {
            Placement::Use(plan) => Some(plan),
            Placement::Refuse { .. } | Placement::NoEngine => None,
        }
    }

    /// Returns whether the generation may run once more after its present run.
    pub fn may_run_again(&self, context: &RequestContext) -> bool {
        context.route.kind.repeatable()
            && context.possible_runs.get() + 1 < context.route.max_attempts
            && self.calls + 1 < MAX_CALLS
            && context.gateway.may_retry(&context.service)
    }

    /// Records a failed prefill, which may be repeated within the retry budget.
    pub fn on_prefill_failure(
        &mut self,
        context: &RequestContext,
        engine: &InstanceId,
        failure: CallFailure,
    ) {
        let reason = failure.reason;
        self.last_failure = Some(reason);
        self.is_unreachable = failure.is_unreachable();
        self.excluded_engines.push(engine.clone());
        match (AttemptFailure { reason }).reached_server() {
            true => self.arrivals.on_arrival(),
            false => context.gateway.metrics.outcomes.count_retry(reason),
        }
    }

    /// Takes the retries that the next call needs from the budget of the service.
    ///
    /// If the budget has too few, those that were taken are kept for a later call.
    pub fn take_retry(&mut self, context: &RequestContext, call: CallKind) -> Result<(), Refusal> {
        while self.arrivals.needs_retry(call) {
            if !context.gateway.try_retry(&context.service) {
                return Err(self.refusal(RefusalReason::RetryBudgetExhausted));
            }
            self.arrivals.on_retry_taken();
            if let Some(reason) = self.last_failure {
                context.gateway.metrics.outcomes.count_retry(reason);
            }
        }
        Ok(())
    }

    /// Returns the refusal for `reason` after the calls made so far.
    pub fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            ran: self.ran(),
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }
}

/// Returns the engines of a plan.
fn plan_engines(plan: &GenerationPlan) -> impl Iterator<Item = &ServerEndpoint> {
    let prefill_engine = match &plan.prefill {
        PrefillPlan::Direct => None,
        PrefillPlan::Split(engine) => Some(engine.as_ref()),
    };
    iter::once(&plan.decode).chain(prefill_engine)
}
