//! The attempts to serve one request: selection of backend servers, retries and strikes.
//!
//! A suspect is a request that was in flight on a backend server when it crashed, so that the
//! request may have caused the crash.

use std::time::{Duration, Instant};

use slog::info;
use wagtailarch_control::BackendObservation;
use wagtailarch_traffic::{
    AdmitRequest, Admitted, AttemptFailure, PortState, RequestTraits, RetryDecision, RetryPolicy,
    Selection, SelectionRequest, StrikeKind, Verdict,
};
use wagtailarch_types::{
    Fingerprint, GroupName, InstanceId, Ran, RefusalReason, RetryReason, ServiceName, fingerprint,
};

use crate::{
    engine_client::CallError,
    in_flight::{InFlightGuard, Run},
    refusal::Refusal,
    request::RequestContext,
    server_ends::probe,
};

/// Maximum number of attempts for a request to a plain service.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of attempts for a generation, whose stream can be resumed.
const MAX_STREAM_ATTEMPTS: u32 = 4;

/// Delay before a server on which this request failed is used again, multiplied by the number of
/// failed attempts.
const REUSE_DELAY: Duration = Duration::from_millis(50);

/// Maximum time for which a suspect waits for a server without another suspect.
const MAX_SUSPECT_WAIT: Duration = Duration::from_secs(30);
/// Time after which a suspect may be sent again to a server on which it failed.
///
/// By then a crashed server has been detected and is no longer selected. Before that, each try
/// would use up an attempt.
const SUSPECT_REUSE_AFTER: Duration = Duration::from_secs(4);
/// Interval at which a waiting suspect checks its verdict and the available servers.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before the first attempt of a request that is a suspect when it arrives.
///
/// Another instance may be running the same request. Without the delay, a client that immediately
/// repeats a quarantined request crashes a server here before the quarantine is received from the
/// other instance.
const SUSPECT_DELAY: Duration = Duration::from_millis(250);

/// The service that a request calls and whether the call may be repeated.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Group of the service's backend servers.
    pub group: GroupName,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether another attempt can resume an interrupted response.
    pub resumable: bool,
}

/// The attempts to serve one request.
#[derive(Debug)]
pub struct Attempts {
    context: RequestContext,
    target: Target,
    fingerprint: Fingerprint,
    /// Backend servers on which an attempt failed, except by a failed import of a KV cache; at most
    /// one per attempt.
    failed_servers: Vec<InstanceId>,
    /// Number of failed attempts.
    failures: u32,
    /// Whether the failed attempts ran the request, as far as known.
    ran: Ran,
    /// Whether the last quarantine check found the request to be a suspect.
    suspect: bool,
    /// Whether the delay for requests that arrive as suspects was applied.
    suspect_delayed: bool,
}

impl Attempts {
    /// Creates the attempts for a request; refuses a quarantined request.
    ///
    /// `operation` distinguishes calls of one service that have equal bodies.
    pub fn new(
        context: RequestContext,
        target: Target,
        operation: &str,
        body: &[u8],
    ) -> Result<Self, Refusal> {
        let team = context.team().name.as_bytes();
        let fingerprint =
            fingerprint(&[team, target.service.as_bytes(), operation.as_bytes(), body]);
        let mut attempts = Self {
            suspect: false,
            suspect_delayed: false,
            context,
            target,
            fingerprint,
            failed_servers: Vec::new(),
            failures: 0,
            ran: Ran::No,
        };
        attempts.check_quarantine()?;
        let shared = &attempts.context.shared;
        if let Some(budget) = attempts
            .context
            .snapshot
            .retry_budget(&attempts.target.service)
        {
            budget.on_request(shared.now());
        }
        Ok(attempts)
    }

    /// Returns the context of the request.
    pub fn context(&self) -> &RequestContext {
        &self.context
    }

    /// Returns whether the failed attempts ran the request, as far as known.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Requests admission; refuses the request if its deadline has passed or it is not admitted.
    pub fn admit(&self, prompt_tokens: u32, max_tokens: u32) -> Result<Admitted, Refusal> {
        let context = &self.context;
        if context.time_left().is_zero() {
            return Err(context.deadline_refusal(Ran::No));
        }
        let request = AdmitRequest {
            team: context.team().name.clone(),
            group: self.target.group.clone(),
            request_id: context.id,
            priority: context.priority,
            deadline: context.has_deadline.then(|| context.time_left()),
            prompt_tokens,
            max_tokens,
        };
        context
            .shared
            .admission
            .admit(context.shared.now(), &request)
            .map_err(|refusal| {
                Refusal::new(refusal.reason, "the request was not admitted")
                    .retry_after(refusal.retry_after)
            })
    }

    /// Selects a backend server, preferably one on which this request has not failed.
    ///
    /// A crash makes every request that was in flight on the server a suspect. Suspects run on
    /// separate servers, so a suspect waits until there is a server without another one.
    pub async fn select(&mut self, mut request: SelectionRequest) -> Result<Selection, Refusal> {
        self.delay_suspect().await?;
        let started = Instant::now();
        loop {
            request.suspect = self.check_quarantine()?;
            let reuse = !request.suspect || started.elapsed() > SUSPECT_REUSE_AFTER;
            if let Some(selection) = self.try_select(&mut request, reuse).await {
                return Ok(selection);
            }
            let may_wait = request.suspect && started.elapsed() < MAX_SUSPECT_WAIT;
            if !may_wait || !self.can_be_served(&request) {
                break;
            }
            tokio::time::sleep(SUSPECT_POLL_INTERVAL).await;
        }
        Err(Refusal::new(
            RefusalReason::NoBackend,
            "no backend server can serve the request",
        )
        .ran(self.ran)
        .retry_after(Duration::from_secs(1))
        .with_jitter(self.context.id))
    }

    /// Delays a request that arrived as a suspect, once, so that the outcome of the same request at
    /// other instances can be received.
    async fn delay_suspect(&mut self) -> Result<(), Refusal> {
        if std::mem::replace(&mut self.suspect_delayed, true) {
            return Ok(());
        }
        let started = Instant::now();
        while self.check_quarantine()? && started.elapsed() < SUSPECT_DELAY {
            tokio::time::sleep(SUSPECT_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether a backend server could serve the request if it were not a suspect.
    fn can_be_served(&self, request: &SelectionRequest) -> bool {
        let mut request = request.clone();
        request.suspect = false;
        request.excluded.clear();
        let shared = &self.context.shared;
        shared.router.select(shared.now(), &request).is_some()
    }

    /// Selects an available backend server; with `reuse`, also one on which this request failed,
    /// after a delay.
    async fn try_select(&self, request: &mut SelectionRequest, reuse: bool) -> Option<Selection> {
        let shared = &self.context.shared;
        request.excluded.clone_from(&self.failed_servers);
        let selection = shared.router.select(shared.now(), request);
        if selection.is_some() || self.failed_servers.is_empty() || !reuse {
            return selection;
        }
        tokio::time::sleep(REUSE_DELAY * self.failures).await;
        request.excluded.clear();
        shared.router.select(shared.now(), request)
    }

    /// Counts the request as in flight on a server until the guard is dropped.
    pub fn track(&self, selection: &Selection) -> InFlightGuard {
        let shared = &self.context.shared;
        let run = Run {
            fingerprint: self.fingerprint,
            began_at: shared.now(),
        };
        shared.in_flight.track(&selection.id, run)
    }

    /// Records that a server has completed the request.
    pub fn on_completed(&self, selection: &Selection) {
        let shared = &self.context.shared;
        shared.events.report_success(&shared.metrics, &selection.id);
        if self.suspect {
            shared.quarantine.on_completed(self.fingerprint);
        }
    }

    /// Reports a failed call to the control thread if the server is unreachable or leaving.
    pub fn report_failed_call(&self, selection: &Selection, error: &CallError) {
        let shared = &self.context.shared;
        let observation = match error {
            CallError::ConnectFailed => BackendObservation::ConnectFailed,
            CallError::Refused { leaving: true, .. } => BackendObservation::Leaving,
            _ => return,
        };
        // Other requests to the server would fail as well until the control thread has processed
        // the report.
        shared.router.suspend(&selection.id);
        shared
            .events
            .report_failure(&shared.metrics, &selection.id, observation);
    }

    /// Records a failed attempt; returns `Ok` if another attempt may follow.
    ///
    /// `guard` is the in-flight entry of the attempt. `delivered` states whether the client has
    /// received a part of the response.
    pub async fn on_failure(
        &mut self,
        selection: &Selection,
        reason: RetryReason,
        guard: InFlightGuard,
        delivered: bool,
    ) -> Result<(), Refusal> {
        let failure = AttemptFailure { reason };
        self.failures += 1;
        let traits = RequestTraits {
            idempotent: self.target.idempotent,
            resumable: self.target.resumable,
            delivered,
            attempts: self.failures,
            attempt_limit: if self.target.resumable {
                MAX_STREAM_ATTEMPTS
            } else {
                MAX_ATTEMPTS
            },
            ran_before: self.ran,
        };
        self.ran = RetryPolicy::combine(self.ran, failure.ran());
        if !self.failed_servers.contains(&selection.id) && reason != RetryReason::KvImportFailed {
            self.failed_servers.push(selection.id.clone());
        }
        let mut crashed = false;
        if matches!(
            reason,
            RetryReason::ClosedBeforeResponse | RetryReason::StreamBroken
        ) {
            guard.on_connection_lost(self.context.shared.now());
            crashed = self.probe_for_crash(selection).await;
            self.check_quarantine()?;
        }
        match RetryPolicy::evaluate(&failure, &traits) {
            // The retry budget prevents retries from amplifying an overload. It does not apply
            // after a crash, which is not caused by overload, or to a partly delivered response,
            // which must be completed.
            RetryDecision::Retry(reason) if crashed || delivered => {
                self.context.shared.metrics.outcomes.count_retry(reason);
                Ok(())
            }
            RetryDecision::Retry(reason) => self.take_retry(reason),
            RetryDecision::Refuse(reason, ran) => {
                let message = format!("the last attempt failed: {}", failure.reason);
                Err(self.refusal(reason, ran, message))
            }
        }
    }

    /// Takes a retry from the budget of the service.
    fn take_retry(&self, reason: RetryReason) -> Result<(), Refusal> {
        let shared = &self.context.shared;
        let budget = self.context.snapshot.retry_budget(&self.target.service);
        if budget.is_some_and(|budget| !budget.try_retry(shared.now())) {
            let message = "the service has no retries left";
            return Err(self.refusal(RefusalReason::RetryBudgetExhausted, self.ran, message));
        }
        shared.metrics.outcomes.count_retry(reason);
        Ok(())
    }

    /// Creates the refusal of a request that gets no further attempt.
    fn refusal(&self, reason: RefusalReason, ran: Ran, message: impl Into<String>) -> Refusal {
        Refusal::new(reason, message)
            .ran(ran)
            .retry_after(Duration::from_secs(1))
            .with_jitter(self.context.id)
    }

    /// Checks a server after a connection to it broke; returns whether its process seems to have
    /// ended, and records a crash unless its end was announced.
    async fn probe_for_crash(&self, selection: &Selection) -> bool {
        let shared = &self.context.shared;
        let ended_at = shared.now();
        if probe(&selection.address).await != PortState::Closed {
            return false;
        }
        if !shared.server_ends.is_announced(&selection.id, ended_at) {
            shared.on_crash(&selection.id);
        }
        true
    }

    /// Returns whether the request is a suspect; refuses it if it is quarantined.
    ///
    /// Both results come from one check, since the verdict may change between two checks.
    fn check_quarantine(&mut self) -> Result<bool, Refusal> {
        let shared = &self.context.shared;
        let verdict = shared.quarantine.check(shared.now(), self.fingerprint);
        self.suspect = verdict == Verdict::Suspect;
        match verdict {
            Verdict::Clear | Verdict::Suspect => Ok(self.suspect),
            Verdict::Quarantined => {
                let message = "the request has crashed backend servers";
                Err(Refusal::new(RefusalReason::Quarantined, message).ran(Ran::Yes))
            }
        }
    }
}

impl crate::shared::Shared {
    /// Records the crash of a backend server as a strike against each request in flight on it.
    pub fn on_crash(&self, server: &InstanceId) {
        let now = self.now();
        let affected = self.in_flight.take_affected(now, server);
        if affected.is_empty() {
            return;
        }
        self.metrics.crashes.inc();
        self.router.suspend(server);
        // A run that began before the last crash may have been ended by the same cause.
        let is_new = |run: &&Run| {
            let last_strike = self.quarantine.last_strike(now, run.fingerprint);
            last_strike.is_none_or(|at| run.began_at >= at)
        };
        let struck: Vec<_> = affected
            .iter()
            .filter(is_new)
            .map(|run| run.fingerprint)
            .collect();
        let strikes = self.quarantine.on_crash(now, server, &struck);
        let quarantined = strikes
            .iter()
            .filter(|s| s.kind == StrikeKind::Quarantined)
            .count();
        info!(self.log, "backend_crashed"; "backend" => server.as_str(),
            "in_flight" => affected.len(), "quarantined" => quarantined);
        self.events.report_strikes(&self.metrics, strikes);
    }
}
