//! State shared by all requests of the traffic thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use slog::{Logger, info};
use tokio::{net::UdpSocket, sync::watch};
use wagtailarch_dispatch::{
    LimitChange, LoadBalancer, NamedLimit, PartEvidence, RateLimit, RetryWindow, SecondCalls,
    ServerEndpoint, ServerProcess, SharedRetryBudget, ShutdownPlan,
};
use wagtailarch_traffic::Departure;
use wagtailarch_types::{BootId, InstanceId, ServiceName};
use wagtailarch_wire::{
    load_note::{LimitReport, SentPrefixes, server_key},
    part_report::{PartKey, PartReports, ReportedPart},
};

use crate::{
    backend_client::{RequestCrash, RunProgress},
    body_buffer::BufferBudget,
    explain::ExplainLimit,
    forward::ForwardState,
    metrics::Metrics,
    open_requests::OpenRequests,
    origins::{self, Origins},
    outbox::Outbox,
    paths::Paths,
    permits::PendingPermits,
    server_ends::ServerEnds,
    settings::{ReloadableSettings, Settings},
    snapshot::Snapshot,
    team_use::{SharedUse, TeamUse},
    traffic_view::TrafficView,
};

/// State shared by all requests of the traffic thread.
#[derive(Debug)]
pub struct Gateway {
    /// Settings read at the start.
    pub settings: Settings,
    /// Logger of the process.
    pub log: Logger,
    /// Metrics of the instance.
    pub metrics: Arc<Metrics>,
    /// State reported to the control thread.
    pub traffic: Arc<TrafficView>,
    /// Backend servers and their load.
    pub load_balancer: RefCell<LoadBalancer>,
    /// Paths to the servers.
    pub paths: Paths,
    /// Servers with open responses that end with their connections.
    pub server_ends: ServerEnds,
    /// Evidence about requests and parts of prompts that crash servers.
    part_evidence: RefCell<PartEvidence>,
    /// Number of suspects that each engine is beginning for this instance.
    pub suspect_runs: RefCell<IndexMap<InstanceId, u32>>,
    /// Updates for peers that have not been sent yet.
    pub outbox: Outbox,
    /// Socket for datagrams of other instances.
    pub peer_socket: UdpSocket,
    /// Requests for permits that wait for a response.
    pub pending_permits: PendingPermits,
    /// Software versions at which streams began.
    pub origins: Origins,
    /// Use of teams; `None` if it is not reported.
    pub team_use: Option<TeamUse>,
    /// Calls to and from other instances.
    pub forwarding: ForwardState,
    /// Memory limit for buffered bodies.
    pub buffer_budget: Rc<BufferBudget>,
    /// Requests without a complete response.
    pub open_requests: OpenRequests,
    /// Number of open connections of clients and of other instances that pass requests on.
    pub open_connections: Cell<usize>,
    /// Bounds the questions that are answered; see [`explain`](crate::explain::explain).
    pub explain_limit: ExplainLimit,
    /// State of the shutdown.
    pub shutdown: watch::Sender<ShutdownState>,
    /// When the shutdown was requested; `None` while the process serves.
    stopping_since: Cell<Option<Duration>>,
    snapshot: RefCell<Arc<Snapshot>>,
    retry_windows: RefCell<IndexMap<ServiceName, RetryWindow>>,
    /// Decides about calls to a second server.
    pub second_calls: RefCell<SecondCalls>,
    /// Since when the retry windows have been counting; the start of the process is zero.
    retries_counted_since: Cell<Duration>,
    reloadable_settings: Cell<ReloadableSettings>,
    epoch: Instant,
}

/// State of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownState {
    /// The process serves and no shutdown was requested.
    Running,
    /// The instance reports itself as not ready and asks clients to close their connections.
    Announced,
    /// New connections are refused and idle ones are closed.
    Finishing,
    /// Requests without a response get one.
    Responding,
}

/// The response by which an instance learns that a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The response to a client's request.
    Response,
    /// The same, passed on by another instance.
    Instance,
    /// A report of the server's state.
    Report,
}

impl LeavingSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Instance => "instance",
            Self::Report => "report",
        }
    }
}

impl Gateway {
    /// Creates the state of a process that has received no snapshot yet.
    pub fn new(
        settings: Settings,
        log: Logger,
        metrics: Arc<Metrics>,
        traffic: Arc<TrafficView>,
        peer_socket: UdpSocket,
        epoch: Instant,
        boot: BootId,
    ) -> Self {
        Self {
            reloadable_settings: Cell::new(settings.reloadable()),
            settings,
            log,
            metrics,
            traffic,
            load_balancer: RefCell::default(),
            paths: Paths::default(),
            server_ends: ServerEnds::default(),
            part_evidence: RefCell::default(),
            suspect_runs: RefCell::default(),
            outbox: Outbox::default(),
            peer_socket,
            pending_permits: PendingPermits::default(),
            origins: Origins::default(),
            team_use: None,
            forwarding: ForwardState::new(boot),
            buffer_budget: Rc::default(),
            open_requests: OpenRequests::default(),
            open_connections: Cell::new(0),
            explain_limit: ExplainLimit::default(),
            shutdown: watch::Sender::new(ShutdownState::Running),
            stopping_since: Cell::default(),
            snapshot: RefCell::default(),
            retry_windows: RefCell::default(),
            second_calls: RefCell::default(),
            retries_counted_since: Cell::default(),
            epoch,
        }
    }

    /// Starts counting the use of teams if the settings include its report.
    pub fn set_team_use(&mut self, boot: BootId, sums: SharedUse) {
        let duties = self.settings.duties.as_ref();
        self.team_use = TeamUse::new(duties, &self.settings.instance, boot, sums);
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.borrow())
    }

    /// Returns whether the configuration is proven recent enough to accept or refuse keys by it.
    pub fn is_key_proof_recent(&self) -> bool {
        let Some(bound) = self.settings.key_proof_bound() else {
            return true;
        };
        let proven_at = self.snapshot.borrow().config_proven_at;
        self.now().saturating_sub(proven_at) <= bound
    }

    /// Returns whether the instance is ready for clients.
    pub fn ready(&self) -> bool {
        *self.shutdown.borrow() == ShutdownState::Running && self.snapshot.borrow().is_complete()
    }

    /// Begins the shutdown, in which clients are asked to close their connections.
    pub fn begin_shutdown(&self) {
        self.stopping_since.set(Some(self.now()));
        self.shutdown.send_replace(ShutdownState::Announced);
    }

    /// Returns the plan of the shutdown, by the grace period in force, and the time since the shutdown was
    /// requested; `None` while the process serves.
    pub fn shutdown_plan(&self) -> Option<(ShutdownPlan, Duration)> {
        let since = self.now().saturating_sub(self.stopping_since.get()?);
        let grace = self.reloadable_settings().grace;
        Some((ShutdownPlan { grace }, since))
    }

    /// Waits until a shutdown has reached `state`.
    pub async fn until_shutdown(&self, state: ShutdownState) {
        let mut shutdown = self.shutdown.subscribe();
        // Fails only if the sender is gone, which this gateway owns.
        let _ = shutdown.wait_for(|current| *current >= state).await;
    }

    /// Applies the snapshots of the control thread until that thread ends.
    pub async fn follow_snapshots(self: Rc<Self>, mut published: watch::Receiver<Arc<Snapshot>>) {
        while published.changed().await.is_ok() {
            let snapshot = Arc::clone(&published.borrow_and_update());
            let was_ready = self.ready();
            let versions_changed = snapshot.store_versions != self.snapshot.borrow().store_versions;
            let instances = u32::try_from(snapshot.peers.len() + 1).unwrap_or(u32::MAX);
            {
                let mut load_balancer = self.load_balancer.borrow_mut();
                load_balancer.set_instances(instances);
                if let Some(config) = &snapshot.config {
                    load_balancer.apply(&snapshot.servers, config);
                }
            }
            self.metrics
                .set_members(snapshot.servers.len(), snapshot.peers.len());
            let before = self.snapshot.replace(Arc::clone(&snapshot));
            origins::on_snapshot(&self, &snapshot, &before).await;
            if !was_ready && self.ready() {
                info!(self.log, "ready");
            }
            if versions_changed {
                self.schedule_load_note();
            }
        }
    }

    /// Returns the current values of the settings that can change at run time.
    pub fn reloadable_settings(&self) -> ReloadableSettings {
        self.reloadable_settings.get()
    }

    /// Replaces the reloadable settings; returns whether they differ from the previous ones.
    pub fn set_reloadable_settings(&self, settings: ReloadableSettings) -> bool {
        let previous = self.reloadable_settings.replace(settings);
        if previous.retry_window != settings.retry_window {
            // Counts of a window with another length cannot be reused.
            self.retry_windows.borrow_mut().clear();
            self.retries_counted_since.set(self.now());
        }
        previous != settings
    }

    /// Counts a client's request in the retry budget of its service.
    pub fn count_request(&self, service: &ServiceName) {
        self.traffic.on_request(self.now());
        self.with_retry_window(service, RetryWindow::on_request);
        let share = self.reloadable_settings().second_call_share;
        if share > 0.0 {
            let window_requests = self.with_retry_window(service, RetryWindow::requests);
            let mut second_calls = self.second_calls.borrow_mut();
            second_calls.on_request(service, share, window_requests);
        }
    }

    /// Returns whether the budget of a service allows a retry.
    pub fn may_retry(&self, service: &ServiceName) -> bool {
        self.with_retry_window(service, RetryWindow::may_retry)
    }

    /// Takes one retry from the budget of a service; returns whether one was left.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        let taken = self.with_retry_window(service, RetryWindow::try_retry);
        if taken {
            self.metrics.count_repeat();
        }
        taken
    }

    /// Returns whether the budget of a service has a retry besides those for failed calls.
    pub fn may_spare_retry(&self, service: &ServiceName) -> bool {
        self.with_retry_window(service, RetryWindow::may_spare)
    }

    /// Takes one retry for a second call from the budget of a service; returns whether one was left.
    pub fn try_second_call(&self, service: &ServiceName) -> bool {
        let taken = self.with_retry_window(service, RetryWindow::try_second_call);
        if taken {
            self.metrics.count_repeat();
        }
        taken
    }

    /// Records that a response of a server states that it leaves: nothing more is sent there, whatever
    /// its registration says.
    pub fn on_stated_leaving(&self, process: ServerProcess, source: LeavingSource) {
        let mut load_balancer = self.load_balancer.borrow_mut();
        if !load_balancer.on_stated_leaving(process.clone()) {
            return;
        }
        drop(load_balancer);
        info!(self.log, "server leaving"; "server" => %process.id,
            "started_unix_ms" => process.started_unix_ms, "source" => source.as_str());
        self.traffic.on_stated_leaving(process);
    }

    /// Applies what the response to a request of `sent_at` states about the rate limit of its
    /// server.
    pub fn on_named_limit(&self, server: &InstanceId, sent_at: Duration, named: NamedLimit) {
        if named == NamedLimit::Invalid {
            info!(self.log, "rate limit ignored"; "server" => %server, "cause" => "not a rate");
        }
        let mut load_balancer = self.load_balancer.borrow_mut();
        let change = load_balancer.on_named_limit(self.now(), server, sent_at, named);
        drop(load_balancer);
        if let Some(change) = change {
            self.log_limit(server, change, "response");
            self.schedule_load_note();
        }
    }

    /// Applies the rate limits that a peer reports.
    pub fn on_peer_limits(&self, now: Duration, reports: &[LimitReport]) {
        for report in reports {
            let mut load_balancer = self.load_balancer.borrow_mut();
            let change = load_balancer.on_limit_report(now, report);
            drop(load_balancer);
            if let Some((server, change)) = change {
                self.log_limit(&server, change, "peer");
            }
        }
    }

    fn log_limit(&self, server: &InstanceId, change: LimitChange, source: &'static str) {
        let LimitChange { before, after } = change;
        info!(self.log, "rate limit changed"; "server" => %server,
            "source" => source, "before_per_s" => before.map(RateLimit::per_s),
            "per_s" => after.map(RateLimit::per_s));
    }

    /// Queues the prefixes of a sent prompt for the next load note.
    pub fn queue_prefixes(&self, sent: Option<SentPrefixes>) {
        if let Some(sent) = sent {
            self.outbox.add_prefixes(sent);
        }
    }

    /// Wakes the task that sends load notes.
    pub fn schedule_load_note(&self) {
        self.outbox.wake();
    }

    /// Returns whether the end of a server that was noticed at `ended_at` had been announced.
    pub fn is_announced(&self, server: &ServerEndpoint, ended_at: Duration) -> bool {
        let departure = self.departure(server);
        departure.is_some_and(|departure| departure.explains_end(ended_at))
    }

    /// Returns what the registry says about a server that leaves or has left; `None` if it does not.
    pub fn departure(&self, server: &ServerEndpoint) -> Option<Departure> {
        let snapshot = self.snapshot.borrow();
        snapshot.departures.get(&server.process()).copied()
    }

    /// Records that a server crashed while it ran a request.
    pub fn record_crash(&self, server: &InstanceId, crash: &RequestCrash) {
        let key = server_key(server);
        self.with_part_evidence("crash", |evidence| {
            if crash.progress == RunProgress::NotBegun {
                evidence.on_crash(crash.at, key, &crash.parts);
            }
            evidence.on_request_crash(crash.at, key, crash.request_key, crash.began_at);
        });
    }

    /// Records that a request was completed; `is_first_output` states whether nothing of it has been
    /// recorded as output.
    pub fn record_completion(&self, request: PartKey, is_first_output: bool) {
        let now = self.now();
        self.with_part_evidence("completion", |evidence| {
            evidence.on_completed(now, request, is_first_output);
        });
    }

    /// Records that a server generates output for a request with the given parts.
    pub fn record_part_output(&self, parts: &[ReportedPart]) {
        let now = self.now();
        self.with_part_evidence("output", |evidence| evidence.on_output(now, parts));
    }

    /// Takes the evidence to report in a load note.
    pub fn take_part_reports(&self) -> PartReports {
        let load_balancer = self.load_balancer.borrow();
        let mut evidence = self.part_evidence.borrow_mut();
        evidence.take_reports(self.now(), load_balancer.members())
    }

    /// Returns whether a request with one of the parts is refused, without changing the evidence.
    pub fn is_part_blamed(&self, parts: &[ReportedPart]) -> bool {
        self.part_evidence.borrow().is_blamed(self.now(), parts)
    }

    /// Applies the evidence that a peer reports.
    pub fn on_peer_parts(&self, reports: &PartReports) {
        if reports.is_empty() {
            return;
        }
        let now = self.now();
        self.with_part_evidence("peer", |evidence| evidence.apply(now, reports));
    }

    /// Uses the evidence about parts, logs the verdicts that follow, and wakes the task that reports
    /// new evidence to peers.
    pub fn with_part_evidence<T>(
        &self,
        source: &'static str,
        operation: impl FnOnce(&mut PartEvidence) -> T,
    ) -> T {
        let mut evidence = self.part_evidence.borrow_mut();
        let before: IndexSet<_> = evidence.blamed().collect();
        let result = operation(&mut evidence);
        let after: IndexSet<_> = evidence.blamed().collect();
        for &part in after.difference(&before) {
            let kind = part_kind(&evidence, part);
            info!(self.log, "part blamed"; "part" => format!("{part:016x}"), "kind" => kind,
                "source" => source);
        }
        for part in before.difference(&after) {
            info!(self.log, "part cleared"; "part" => format!("{part:016x}"),
                "source" => source);
        }
        if evidence.has_unreported() {
            drop(evidence);
            self.schedule_load_note();
        }
        result
    }

    /// Applies `operation` to this instance's share of a service's retry budget.
    fn with_retry_window<T>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut RetryWindow, Duration, &SharedRetryBudget) -> T,
    ) -> T {
        let mut retry_windows = self.retry_windows.borrow_mut();
        let window = retry_windows.entry(service.clone()).or_default();
        operation(window, self.now(), &self.shared_retry_budget())
    }

    fn shared_retry_budget(&self) -> SharedRetryBudget {
        let settings = self.reloadable_settings.get();
        let snapshot = self.snapshot.borrow();
        let counted_since = self.retries_counted_since.get();
        SharedRetryBudget {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
            instances: snapshot.peers_listed.then(|| snapshot.peers.len() + 1),
            counted_for: self.now().saturating_sub(counted_since),
        }
    }
}

/// Returns what a part is, as far as its crashes are known, for logs.
fn part_kind(evidence: &PartEvidence, part: PartKey) -> &'static str {
    match evidence.is_request(part) {
        true => "request",
        false => "part",
    }
}
