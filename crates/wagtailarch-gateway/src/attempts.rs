//! Calls made so far for one generation, and whether another one follows.

use wagtailarch_dispatch::Placement;
use wagtailarch_traffic::{AttemptFailure, RequestTraits, RetryDecision, RetryPolicy};
use wagtailarch_types::{InstanceId, Ran, RefusalReason, RetryReason};

use crate::{
    backend_client::CallFailure,
    job::Job,
    refusal::{Refusal, SOON},
};

/// Calls that one request makes at most, those that did not run included.
pub const MAX_CALLS: u32 = 6;

/// Calls made so far for one generation.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Engines that failed.
    pub failed: Vec<InstanceId>,
    /// Calls after which the request can have run.
    runs: u32,
    /// All calls.
    pub calls: u32,
    /// Calls that only read the prompt and reached an engine.
    pub reads: u32,
    /// Whether the request can have run.
    ran: Option<Ran>,
}

impl Attempts {
    /// Tells whether the request can have run.
    pub fn ran(&self) -> Ran {
        self.ran.unwrap_or(Ran::No)
    }

    /// Notes a failed call and decides whether another one follows.
    pub fn on_failure(
        &mut self,
        job: &Job,
        engine: &InstanceId,
        failure: CallFailure,
        delivered: bool,
    ) -> Result<(), Refusal> {
        self.failed.push(engine.clone());
        if failure.ran != Ran::No {
            self.runs += 1;
        }
        let traits = RequestTraits {
            idempotent: job.route.kind.repeatable(),
            resumable: job.route.kind.repeatable(),
            delivered,
            attempts: self.runs,
            attempt_limit: job.route.max_attempts,
            ran_before: self.ran(),
        };
        self.ran = Some(RetryPolicy::combine(self.ran(), failure.ran));
        let attempt_failure = AttemptFailure {
            reason: failure.reason,
        };
        let decision = RetryPolicy::evaluate(&attempt_failure, &traits);
        let reason = match decision {
            _ if job.time_left().is_zero() => RefusalReason::DeadlineUnreachable,
            RetryDecision::Refuse(reason, _) => reason,
            RetryDecision::Retry(_) if self.calls >= MAX_CALLS => RefusalReason::AttemptsExhausted,
            RetryDecision::Retry(reason) if !attempt_failure.reached_server() => {
                job.gateway.metrics.outcomes.retried(reason);
                return Ok(());
            }
            RetryDecision::Retry(reason) => return self.take_retry(job, reason),
        };
        Err(self.refusal(reason))
    }

    /// Notes that an engine failed the generation with an answer of its own; returns whether another
    /// engine is tried instead of passing that answer on.
    pub fn on_own_failure(&mut self, job: &Job, engine: &InstanceId) -> bool {
        job.route.kind.repeatable()
            && self
                .on_failure(job, engine, CallFailure::SERVER_ERROR, false)
                .is_ok()
    }

    /// Tells whether the generation could go on at another engine than `engine`.
    ///
    /// Silence alone ends nothing: without another engine the answer is awaited to the end.
    pub fn may_move(&self, job: &Job, engine: &InstanceId) -> bool {
        let gateway = &job.gateway;
        if !job.route.kind.repeatable()
            || self.runs + 1 >= job.route.max_attempts
            || self.calls + 1 >= MAX_CALLS
            || !gateway.may_retry(&job.service)
        {
            return false;
        }
        let mut left_out = self.failed.clone();
        left_out.push(engine.clone());
        let board = gateway.board.borrow();
        let now = gateway.now();
        let placement =
            board.place_generation(now, &job.service, &job.generation_request(), &left_out);
        matches!(placement, Placement::Use(_))
    }

    /// Notes that an engine has not read the prompt, which may be repeated in any case.
    pub fn on_read_failure(&mut self, job: &Job, engine: &InstanceId, failure: CallFailure) {
        let reason = failure.reason;
        if (AttemptFailure { reason }).reached_server() {
            self.reads += 1;
        }
        self.failed.push(engine.clone());
        job.gateway.metrics.outcomes.retried(reason);
    }

    /// Takes a retry from the budget of the service.
    pub fn take_retry(&self, job: &Job, reason: RetryReason) -> Result<(), Refusal> {
        if !job.gateway.try_retry(&job.service) {
            return Err(self.refusal(RefusalReason::RetryBudgetExhausted));
        }
        job.gateway.metrics.outcomes.retried(reason);
        Ok(())
    }

    /// Returns the final answer for `reason`.
    pub fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            ran: self.ran(),
            retry_after: SOON,
        }
    }
}
