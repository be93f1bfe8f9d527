//! Membership of the backend servers: which of them exist and accept new work. Entry instances are
//! not part of it.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_types::{Assignment, BackendState, BootId, GroupName, InstanceId, ZoneName};
use wagtailarch_wire::engine::EngineReport;
use wagtailarch_wire::peer::EngineLoad;
use wagtailarch_wire::platform::{InstanceKind, InstanceList, ListedInstance, ListedState};

use crate::{EngineLifecycle, LifecycleEvent, LifecyclePhase};

/// Maximum number of backend servers; further ones are ignored. The largest supported fleet has
/// 3,800 engines.
const MAX_BACKENDS: usize = 8_192;

/// Timeouts and limits of failure detection, and the duration of slow start.
#[derive(Debug, Clone, Copy)]
pub struct MembershipConfig {
    /// Time without a report after which an engine counts as failed.
    pub report_timeout: Duration,
    /// Time without a gossiped load after which an engine that another instance polls counts as
    /// failed. It is longer than `report_timeout`, since gossip takes several rounds of 1 s.
    pub gossip_timeout: Duration,
    /// Maximum lag of the platform's list.
    pub list_lag: Duration,
    /// Consecutive connect failures after which a backend server counts as failed.
    pub connect_failure_limit: u32,
    /// Time after which a server of a plain service that could not be reached is tried again.
    pub service_retry_after: Duration,
    /// Duration of slow start, in which an engine that begins to serve gets a rising share of work.
    pub slow_start_time: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            report_timeout: Duration::from_secs(3),
            gossip_timeout: Duration::from_secs(15),
            list_lag: Duration::from_secs(10),
            connect_failure_limit: 3,
            service_retry_after: Duration::from_secs(1),
            slow_start_time: Duration::from_secs(10),
        }
    }
}

/// Event at a backend server that a traffic thread observed, or that the server's own report
/// shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendObservation {
    /// The server reported that it is leaving, or drained for a planned change.
    Leaving,
    /// A connection could not be established.
    ConnectFailed,
    /// A request succeeded.
    Succeeded,
}

/// Status of one backend server, from which the routing views are built.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendStatus {
    /// Identifier.
    pub id: InstanceId,
    /// Engine or plain service.
    pub kind: InstanceKind,
    /// Group.
    pub group: GroupName,
    /// Zone.
    pub zone: ZoneName,
    /// Address (`ip:port`).
    pub address: SmolStr,
    /// What an engine serves, from its last report or a load that a peer gossiped; `None` if
    /// unknown or for a plain service.
    pub assignment: Option<Assignment>,
    /// State that the engine last reported.
    pub state: Option<BackendState>,
    /// Last known load.
    pub load: Option<EngineLoad>,
    /// When the last load arrived.
    pub load_at: Option<Duration>,
    /// Whether the server accepts new work.
    pub accepting: bool,
    /// Whether it is known to leave, from any source.
    pub leaving: bool,
    /// Whether the platform's list shows it as leaving.
    pub listed_leaving: bool,
    /// Lifecycle phase.
    pub phase: LifecyclePhase,
    /// When the server last began to serve, the start of its slow start.
    pub serving_since: Duration,
}

/// Combines the platform's list, engine reports, the outcomes of calls and messages of peers.
///
/// The first report that a server is leaving takes effect immediately, whatever its source. The
/// server accepts work again when a list that was requested at least `list_lag` after the last
/// report of leaving shows it as live and, for an engine, when a newer report shows it as serving.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    /// At most `MAX_BACKENDS`.
    backends: IndexMap<InstanceId, Backend>,
    /// Highest revision of the list that was applied.
    revision: u64,
}

/// Source of a report that a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeavingSource {
    /// The server itself or a peer. A planned change drains an engine as well, so this report may
    /// be withdrawn.
    Reported,
    /// The platform's list.
    Listed,
}

/// A report that a server is leaving, while it is in effect.
#[derive(Debug, Clone, Copy)]
struct LeavingReport {
    source: LeavingSource,
    at: Duration,
}

#[derive(Debug)]
struct Backend {
    listed: ListedInstance,
    /// When the last list that showed the server as live was requested.
    listed_live_at: Option<Duration>,
    leaving_report: Option<LeavingReport>,
    /// When a planned drain began.
    planned_drain: Option<Duration>,
    lifecycle: EngineLifecycle,
    assignment: Option<Assignment>,
    state: Option<BackendState>,
    load: Option<EngineLoad>,
    load_at: Option<Duration>,
    /// When the last report was requested; `None` if the load comes from gossip only.
    requested_at: Option<Duration>,
    boot_id: Option<BootId>,
    /// Consecutive connect failures.
    failures: u32,
    /// When a connect last failed.
    failed_at: Duration,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new(config: MembershipConfig) -> Self {
        Self {
            config,
            backends: IndexMap::new(),
            revision: 0,
        }
    }

    /// Applies the platform's list that was requested at `requested_at`. Returns the servers for
    /// which it is the first report of leaving. A list with a lower revision is ignored.
    pub fn on_list(&mut self, requested_at: Duration, list: &InstanceList) -> Vec<InstanceId> {
        if list.revision < self.revision {
            return Vec::new();
        }
        self.revision = list.revision;
        let mut previous: IndexMap<InstanceId, Backend> = std::mem::take(&mut self.backends);
        let mut leaving = Vec::new();
        for item in &list.items {
            if item.kind == InstanceKind::Entry || self.backends.len() >= MAX_BACKENDS {
                continue;
            }
            let mut backend = previous
                .swap_remove(&item.id)
                .unwrap_or_else(|| Backend::new(requested_at, item, self.config.slow_start_time));
            backend.listed = item.clone();
            match item.state {
                ListedState::Live => backend.listed_live_at = Some(requested_at),
                ListedState::Leaving => {
                    if backend.report_leaving(requested_at, LeavingSource::Listed) {
                        leaving.push(item.id.clone());
                    }
                }
            }
            backend.clear_leaving_report(self.config.list_lag);
            self.backends.insert(item.id.clone(), backend);
        }
        leaving
    }

    /// Applies a report that was requested at `requested_at`. Returns whether it is the first
    /// report that the engine is leaving, which the caller sends to all peers.
    pub fn on_report(
        &mut self,
        now: Duration,
        requested_at: Duration,
        report: &EngineReport,
    ) -> bool {
        let Some(backend) = self.backends.get_mut(&report.engine) else {
            return false;
        };
        if backend.requested_at.is_some_and(|last| requested_at < last) {
            return false;
        }
        if backend.boot_id.is_some_and(|boot| boot != report.boot_id) {
            // The engine restarted, so its caches and connections are lost.
            backend.lifecycle.on_event(now, LifecycleEvent::Failed);
        }
        backend.boot_id = Some(report.boot_id);
        backend.requested_at = Some(requested_at);
        backend.failures = 0;
        let mut adapters = report.adapters.clone();
        adapters.sort();
        backend.assignment = Some(Assignment {
            role: report.role,
            model: report.model.clone(),
            version: report.version.clone(),
            adapters,
        });
        backend.apply_load(now, engine_load(report));
        if report.state == BackendState::Serving {
            backend.end_planned_drain(requested_at, self.config.report_timeout);
        }
        backend.clear_leaving_report(self.config.list_lag);
        let unplanned_drain =
            report.state == BackendState::Draining && backend.planned_drain.is_none();
        unplanned_drain && backend.report_leaving(now, LeavingSource::Reported)
    }

    /// Applies the gossiped load of an engine that another instance polls. It is ignored while a
    /// recent report to this instance is available.
    pub fn on_load(
        &mut self,
        now: Duration,
        engine: &InstanceId,
        assignment: &Assignment,
        load: EngineLoad,
    ) {
        let Some(backend) = self.backends.get_mut(engine) else {
            return;
        };
        let has_recent_report = backend
            .requested_at
            .is_some_and(|at| now < at + self.config.report_timeout);
        if has_recent_report {
            return;
        }
        backend.requested_at = None;
        backend.assignment = Some(Assignment {
            role: load.role,
            ..assignment.clone()
        });
        backend.apply_load(now, load);
        backend.clear_leaving_report(self.config.list_lag);
    }

    /// Records an event at a backend server. Returns whether it is the first report that the
    /// server is leaving, which the caller sends to all peers.
    pub fn on_observation(
        &mut self,
        now: Duration,
        backend: &InstanceId,
        observation: BackendObservation,
    ) -> bool {
        let Some(backend) = self.backends.get_mut(backend) else {
            return false;
        };
        match observation {
            BackendObservation::Leaving => {
                backend.planned_drain.is_none()
                    && backend.report_leaving(now, LeavingSource::Reported)
            }
            BackendObservation::ConnectFailed => {
                backend.failures = backend.failures.saturating_add(1);
                backend.failed_at = now;
                if backend.failures == self.config.connect_failure_limit {
                    backend.lifecycle.on_event(now, LifecycleEvent::Failed);
                }
                false
            }
            BackendObservation::Succeeded => {
                backend.failures = 0;
                if backend.listed.kind == InstanceKind::Service {
                    let serving = LifecycleEvent::Report(BackendState::Serving);
                    backend.lifecycle.on_event(now, serving);
                }
                false
            }
        }
    }

    /// Records a peer's message that a server is leaving. The peer may have it from the engine's
    /// own report of a planned drain, so a later [`Membership::on_planned_drain`] withdraws it.
    pub fn on_peer_leaving(&mut self, now: Duration, backend: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.report_leaving(now, LeavingSource::Reported);
        }
    }

    /// Records the start of a planned drain of an engine, or its end if `drained` is false.
    pub fn on_planned_drain(&mut self, now: Duration, backend: &InstanceId, drained: bool) {
        let Some(backend) = self.backends.get_mut(backend) else {
            return;
        };
        // The engine's report of leaving referred to this drain; a listing as leaving stays.
        backend.leaving_report = backend
            .leaving_report
            .filter(|report| report.source == LeavingSource::Listed);
        backend.planned_drain = drained.then_some(now);
    }

    /// Returns the status of every backend server.
    pub fn statuses(&mut self, now: Duration) -> Vec<BackendStatus> {
        let config = self.config;
        self.backends
            .values_mut()
            .map(|backend| backend.status(now, &config))
            .collect()
    }
}

impl Backend {
    fn new(now: Duration, listed: &ListedInstance, slow_start_time: Duration) -> Self {
        let mut lifecycle = EngineLifecycle::new(now, slow_start_time);
        if listed.kind == InstanceKind::Service {
            // A server of a plain service needs no report before it gets work.
            lifecycle.on_event(now, LifecycleEvent::Report(BackendState::Serving));
        }
        Self {
            listed: listed.clone(),
            listed_live_at: None,
            leaving_report: None,
            planned_drain: None,
            lifecycle,
            assignment: None,
            state: None,
            load: None,
            load_at: None,
            requested_at: None,
            boot_id: None,
            failures: 0,
            failed_at: Duration::ZERO,
        }
    }

    /// Records a report that the server is leaving. Returns whether none was in effect. A later
    /// report by the server or a peer does not replace the source `Listed`.
    fn report_leaving(&mut self, now: Duration, source: LeavingSource) -> bool {
        let first = self.leaving_report.is_none();
        let source = match self.leaving_report {
            Some(LeavingReport {
                source: LeavingSource::Listed,
                ..
            }) => LeavingSource::Listed,
            _ => source,
        };
        self.leaving_report = Some(LeavingReport { source, at: now });
        first
    }

    /// Clears the report of leaving when the list and the last engine report show that the server
    /// is back.
    fn clear_leaving_report(&mut self, list_lag: Duration) {
        let Some(leaving) = self.leaving_report else {
            return;
        };
        let listed_live = self
            .listed_live_at
            .is_some_and(|at| at >= leaving.at + list_lag)
            && self.listed.state == ListedState::Live;
        let reported_serving = match self.listed.kind {
            InstanceKind::Engine => {
                let report_at = self.requested_at.or(self.load_at);
                report_at.is_some_and(|at| at > leaving.at)
                    && self.state == Some(BackendState::Serving)
            }
            InstanceKind::Service | InstanceKind::Entry => true,
        };
        if listed_live && reported_serving {
            self.leaving_report = None;
        }
    }

    /// Ends a planned drain that began at least `timeout` before a report of serving. The end was
    /// not announced, for instance because the instance that ordered the drain crashed.
    fn end_planned_drain(&mut self, requested_at: Duration, timeout: Duration) {
        self.planned_drain
            .take_if(|began| requested_at >= *began + timeout);
    }

    fn apply_load(&mut self, now: Duration, load: EngineLoad) {
        self.state = Some(load.state);
        self.load = Some(load);
        self.load_at = Some(now);
        self.lifecycle
            .on_event(now, LifecycleEvent::Report(load.state));
    }

    fn status(&mut self, now: Duration, config: &MembershipConfig) -> BackendStatus {
        if self.listed.kind == InstanceKind::Engine {
            let timeout = match self.requested_at {
                Some(_) => config.report_timeout,
                None => config.gossip_timeout,
            };
            if self.load_at.is_none_or(|at| now > at + timeout) {
                self.lifecycle.on_event(now, LifecycleEvent::Failed);
            }
        }
        self.lifecycle.on_event(now, LifecycleEvent::Tick);
        let phase = self.lifecycle.phase();
        // A server of a plain service that could not be reached is probed by the next request.
        let probe_due = self.listed.kind == InstanceKind::Service
            && now > self.failed_at + config.service_retry_after;
        let available =
            probe_due || matches!(phase, LifecyclePhase::Serving | LifecyclePhase::SlowStart);
        BackendStatus {
            id: self.listed.id.clone(),
            kind: self.listed.kind,
            group: self.listed.group.clone().unwrap_or_default(),
            zone: self.listed.zone.clone(),
            address: self.listed.address.clone(),
            assignment: self.assignment.clone(),
            state: self.state,
            load: self.load,
            load_at: self.load_at,
            accepting: available && self.leaving_report.is_none() && self.planned_drain.is_none(),
            leaving: self.leaving_report.is_some(),
            listed_leaving: self.listed.state == ListedState::Leaving,
            phase,
            serving_since: self.lifecycle.serving_since(),
        }
    }
}

fn engine_load(report: &EngineReport) -> EngineLoad {
    EngineLoad {
        role: report.role,
        state: report.state,
        running: f64::from(report.running),
        queued_tokens: report.queued_tokens as f64,
        prefill_tokens_per_s: report.prefill_tokens_per_s,
        decode_tokens_per_s: report.decode_tokens_per_s,
        kv_used_ratio: report.kv_used_ratio,
    }
}
