//! The attempts of one request: choice of backend servers, retries and strikes.

use std::time::{Duration, Instant};

use slog::info;
use wagtailarch_control::BackendObservation;
use wagtailarch_traffic::{
    AdmitRequest, Admitted, AttemptFailure, RequestTraits, RetryDecision, RetryPolicy, Selection,
    SelectionRequest, StrikeKind, Verdict,
};
use wagtailarch_types::{
    Fingerprint, GroupName, InstanceId, Ran, RefusalReason, RetryReason, ServiceName, fingerprint,
};

use crate::{
    engine_client::CallError, in_flight::InFlightGuard, refusal::Refusal, request::RequestContext,
};

/// Greatest number of attempts of a request to a plain service.
const MAX_ATTEMPTS: u32 = 3;
/// Greatest number of attempts of a generation, whose stream can be resumed.
const MAX_STREAM_ATTEMPTS: u32 = 4;

/// Time for the connection attempt that tells a crashed server from a broken connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a probe waits for the end of a connection that was accepted.
const PROBE_READ_TIMEOUT: Duration = Duration::from_millis(30);

/// Pause before a server that has failed this request is used again, per failure.
const REUSE_PAUSE: Duration = Duration::from_millis(50);

/// Longest time that a suspect waits for a server without another suspect, and between two tries.
const SUSPECT_WAIT: Duration = Duration::from_secs(30);
/// Time after which a suspect may use a server again that has failed it.
///
/// By then a crashed server is known to be gone; before, each try would cost an attempt.
const SUSPECT_REUSE: Duration = Duration::from_secs(4);
const SUSPECT_POLL: Duration = Duration::from_millis(20);
/// Time that a request waits that arrives as a suspect.
///
/// Another instance may be running the same request. Without the pause, a client that repeats a
/// quarantined request at once crashes a server before the flooded quarantine arrives.
const SUSPECT_SETTLE: Duration = Duration::from_millis(250);

/// Which service a request calls and how it may be repeated.
#[derive(Debug, Clone)]
pub struct Target {
    /// Service.
    pub service: ServiceName,
    /// Group of its backend servers.
    pub group: GroupName,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether a broken answer can be resumed.
    pub resumable: bool,
}

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    context: RequestContext,
    target: Target,
    fingerprint: Fingerprint,
    /// Backend servers that have failed this request; at most one per attempt.
    excluded: Vec<InstanceId>,
    failures: u32,
    /// What is known of all failed attempts.
    ran: Ran,
    suspect: bool,
    /// Whether the request has waited for news of another instance, if it arrived as a suspect.
    settled: bool,
}

impl Attempts {
    /// Creates the attempts of a request; refuses one that has crashed servers before.
    ///
    /// `operation` tells calls of one service apart that have equal bodies.
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
            settled: false,
            context,
            target,
            fingerprint,
            excluded: Vec::new(),
            failures: 0,
            ran: Ran::No,
        };
        attempts.check_quarantine()?;
        let shared = &attempts.context.shared;
        if let Some(budget) = attempts.context.snapshot.budget(&attempts.target.service) {
            budget.on_request(shared.now());
        }
        Ok(attempts)
    }

    /// Returns the request.
    pub fn context(&self) -> &RequestContext {
        &self.context
    }

    /// Returns what is known of all failed attempts.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Asks for admission.
    pub fn admit(&self, prompt_tokens: u32, max_tokens: u32) -> Result<Admitted, Refusal> {
        let context = &self.context;
        if context.time_left().is_zero() {
            return Err(context.too_late(Ran::No));
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
                Refusal::not_run(refusal.reason, "the request was not admitted")
                    .retry_after(refusal.retry_after)
            })
    }

    /// Chooses a backend server, at best one that has not failed this request.
    ///
    /// A crash makes a suspect of every request that was in flight, and suspects run apart: one
    /// that finds no server without another suspect waits for its turn.
    pub async fn pick(&mut self, mut request: SelectionRequest) -> Result<Selection, Refusal> {
        self.settle().await?;
        let started = Instant::now();
        loop {
            request.suspect = self.check_quarantine()?;
            let reuse = !request.suspect || started.elapsed() > SUSPECT_REUSE;
            if let Some(pick) = self.pick_now(&mut request, reuse).await {
                return Ok(pick);
            }
            let wait = request.suspect && started.elapsed() < SUSPECT_WAIT;
            if !wait || !self.is_served(&request) {
                break;
            }
            tokio::time::sleep(SUSPECT_POLL).await;
        }
        Err(Refusal::not_run(
            RefusalReason::NoBackend,
            "no backend server can serve the request",
        )
        .ran(self.ran)
        .retry_after(Duration::from_secs(1))
        .with_jitter(self.context.id))
    }

    /// Lets a request that arrived as a suspect wait until other instances had time to say how
    /// it ended there.
    async fn settle(&mut self) -> Result<(), Refusal> {
        if std::mem::replace(&mut self.settled, true) {
            return Ok(());
        }
        let started = Instant::now();
        while self.check_quarantine()? && started.elapsed() < SUSPECT_SETTLE {
            tokio::time::sleep(SUSPECT_POLL).await;
        }
        Ok(())
    }

    /// Tells whether some backend server would take the request if it were no suspect.
    fn is_served(&self, request: &SelectionRequest) -> bool {
        let mut request = request.clone();
        request.suspect = false;
        request.excluded.clear();
        let shared = &self.context.shared;
        shared.router.select(shared.now(), &request).is_some()
    }

    /// Chooses a backend server; with `reuse` also one that has failed this request.
    async fn pick_now(&self, request: &mut SelectionRequest, reuse: bool) -> Option<Selection> {
        let shared = &self.context.shared;
        request.excluded.clone_from(&self.excluded);
        let pick = shared.router.select(shared.now(), request);
        if pick.is_some() || self.excluded.is_empty() || !reuse {
            return pick;
        }
        tokio::time::sleep(REUSE_PAUSE * self.failures).await;
        request.excluded.clear();
        shared.router.select(shared.now(), request)
    }

    /// Notes that the request is sent to a server, until the guard is dropped.
    pub fn enter(&self, pick: &Selection) -> InFlightGuard {
        self.context
            .shared
            .in_flight
            .enter(&pick.id, self.fingerprint)
    }

    /// Notes that the request is complete.
    pub fn completed(&self, pick: &Selection) {
        let shared = &self.context.shared;
        shared.events.succeeded(&shared.metrics, &pick.id);
        if self.suspect {
            shared.quarantine.on_completed(self.fingerprint);
        }
    }

    /// Tells the control thread what a failed call says about the server.
    pub fn note_signs(&self, pick: &Selection, error: &CallError) {
        let shared = &self.context.shared;
        let sign = match error {
            CallError::ConnectFailed => BackendObservation::ConnectFailed,
            CallError::Refused { leaving: true, .. } => BackendObservation::Draining,
            _ => return,
        };
        // Until the control thread has decided, other requests would fail there as well.
        shared.router.suspend(&pick.id);
        shared.events.failed(&shared.metrics, &pick.id, sign);
    }

    /// Decides what follows a failed attempt; `Ok` permits another one.
    ///
    /// `guard` is that of the attempt, if its request was sent.
    pub async fn failed(
        &mut self,
        pick: &Selection,
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
        if !self.excluded.contains(&pick.id) && reason != RetryReason::KvImportFailed {
            self.excluded.push(pick.id.clone());
        }
        let mut crashed = false;
        if matches!(
            reason,
            RetryReason::ClosedBeforeResponse | RetryReason::StreamBroken
        ) {
            guard.broken(self.context.shared.now());
            crashed = self.probe(pick).await;
            self.check_quarantine()?;
        }
        match RetryPolicy::evaluate(&failure, &traits) {
            // The budget keeps retries from amplifying an overload. A crash is none, and a
            // request that is part of the way through its answer must be completed.
            RetryDecision::Retry(reason) if crashed || delivered => {
                self.context.shared.metrics.outcomes.count_retry(reason);
                Ok(())
            }
            RetryDecision::Retry(reason) => self.spend(reason),
            RetryDecision::Refuse(reason, ran) => {
                let message = format!("the last attempt failed: {}", failure.reason);
                Err(self.give_up(reason, ran, message))
            }
        }
    }

    /// Takes a retry from the budget of the service.
    fn spend(&self, reason: RetryReason) -> Result<(), Refusal> {
        let shared = &self.context.shared;
        let budget = self.context.snapshot.budget(&self.target.service);
        if budget.is_some_and(|budget| !budget.try_retry(shared.now())) {
            let message = "the service has no retries left";
            return Err(self.give_up(RefusalReason::RetryBudgetExhausted, self.ran, message));
        }
        shared.metrics.outcomes.count_retry(reason);
        Ok(())
    }

    fn give_up(&self, reason: RefusalReason, ran: Ran, message: impl Into<String>) -> Refusal {
        Refusal::not_run(reason, message)
            .ran(ran)
            .retry_after(Duration::from_secs(1))
            .with_jitter(self.context.id)
    }

    /// Connects to a server whose connection broke; a refused connection means that it crashed.
    ///
    /// Returns whether it crashed.
    async fn probe(&self, pick: &Selection) -> bool {
        let connect = tokio::net::TcpStream::connect(pick.address.as_str());
        let crashed = match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
            Ok(Ok(stream)) => {
                // A process that is ending closes its requests before its listener, so the
                // connection may be accepted and reset at once.
                let ended = tokio::time::timeout(PROBE_READ_TIMEOUT, stream.readable()).await;
                ended.is_ok()
            }
            Ok(Err(_)) => true,
            Err(_) => false,
        };
        if crashed {
            self.context.shared.on_crash(&pick.id);
        }
        crashed
    }

    /// Tells whether the request is a suspect; refuses it if it is quarantined.
    ///
    /// Both follow from one look at the verdict, since it may change between two.
    fn check_quarantine(&mut self) -> Result<bool, Refusal> {
        let shared = &self.context.shared;
        let verdict = shared.quarantine.check(shared.now(), self.fingerprint);
        self.suspect = verdict == Verdict::Suspect;
        match verdict {
            Verdict::Clear | Verdict::Suspect => Ok(self.suspect),
            Verdict::Quarantined => {
                let message = "the request has crashed backend servers";
                Err(Refusal::not_run(RefusalReason::Quarantined, message).ran(Ran::Yes))
            }
        }
    }
}

impl crate::shared::Shared {
    /// Counts the crash of a backend server against the requests that ran on it.
    pub fn on_crash(&self, server: &InstanceId) {
        let now = self.now();
        let hit = self.in_flight.take_crashed(now, server);
        if hit.is_empty() {
            return;
        }
        self.metrics.crashes.inc();
        self.router.suspend(server);
        let strikes = self.quarantine.on_crash(now, server, &hit);
        let quarantined = strikes
            .iter()
            .filter(|s| s.kind == StrikeKind::Quarantined)
            .count();
        info!(self.log, "backend_crashed"; "backend" => server.as_str(),
            "in_flight" => hit.len(), "quarantined" => quarantined);
        self.events.strikes(&self.metrics, strikes);
    }
}
