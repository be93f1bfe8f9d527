//! Which backend servers exist and which take new work.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_types::{Assignment, BackendState, BootId, GroupName, InstanceId, ZoneName};
use wagtailarch_wire::engine::EngineReport;
use wagtailarch_wire::peer::EngineLoad;
use wagtailarch_wire::platform::{InstanceKind, InstanceList, ListedInstance, ListedState};

use crate::{EngineLifecycle, LifecycleEvent, LifecyclePhase};

/// Greatest number of backend servers; more are ignored. Design size is 3,800 engines.
const MAX_BACKENDS: usize = 8_192;

/// Times of failure detection and slow start.
#[derive(Debug, Clone, Copy)]
pub struct MembershipConfig {
    /// Time without a report after which an engine counts as failed.
    pub silent_after: Duration,
    /// Time without a load after which an engine that another instance polls counts as failed;
    /// gossip takes several rounds of 1 s.
    pub gossip_silent_after: Duration,
    /// Time by which the platform's list may lag behind.
    pub list_lag: Duration,
    /// Consecutive connect failures after which a backend server counts as failed.
    pub connect_failures: u32,
    /// Time after which a plain service that could not be reached is tried again.
    pub service_retry: Duration,
    /// Time over which a returning engine takes a rising share of work.
    pub ease_in: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(3),
            gossip_silent_after: Duration::from_secs(15),
            list_lag: Duration::from_secs(10),
            connect_failures: 3,
            service_retry: Duration::from_secs(1),
            ease_in: Duration::from_secs(10),
        }
    }
}

/// What a traffic thread or the engine itself says about a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendObservation {
    /// The server said that it is draining or leaving.
    Draining,
    /// A connection could not be established.
    ConnectFailed,
    /// A request succeeded.
    Succeeded,
}

/// What is known of one backend server; the source of the routing views.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendStatus {
    /// Name.
    pub id: InstanceId,
    /// Engine or plain service.
    pub kind: InstanceKind,
    /// Group.
    pub group: GroupName,
    /// Zone.
    pub zone: ZoneName,
    /// Address (`ip:port`).
    pub address: SmolStr,
    /// What an engine serves, from its last full report; `None` for a plain service or unknown.
    pub assignment: Option<Assignment>,
    /// State that the engine last reported.
    pub state: Option<BackendState>,
    /// Last load.
    pub load: Option<EngineLoad>,
    /// Time of the last load.
    pub load_at: Option<Duration>,
    /// Whether new work may be sent.
    pub accepting: bool,
    /// Whether the platform's list shows it as leaving.
    pub leaving: bool,
    /// Lifecycle phase.
    pub phase: LifecyclePhase,
    /// Start of slow start.
    pub serving_since: Duration,
}

/// Combines the platform's list, reports, own experience and peers' messages.
///
/// The first sign of leaving takes effect at once. A server returns when the list shows it live at
/// a time when the list must be newer than the sign, and a report newer than the sign shows it
/// serving.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    /// At most `MAX_BACKENDS`.
    backends: IndexMap<InstanceId, Backend>,
    /// Highest revision of the list taken.
    revision: u64,
}

/// Where a sign of leaving came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SignKind {
    /// The engine or a peer says that it drains, which a planned change causes too.
    OwnWord,
    /// The list says that the server leaves.
    Leaving,
}

/// A sign of leaving that is in effect.
#[derive(Debug, Clone, Copy)]
struct Sign {
    kind: SignKind,
    at: Duration,
}

#[derive(Debug)]
struct Backend {
    listed: ListedInstance,
    /// When the last list that showed the server as live was asked for.
    live_at: Option<Duration>,
    sign: Option<Sign>,
    /// When a planned drain began.
    planned_drain: Option<Duration>,
    lifecycle: EngineLifecycle,
    assignment: Option<Assignment>,
    state: Option<BackendState>,
    load: Option<EngineLoad>,
    load_at: Option<Duration>,
    /// When the last report was asked for; `None` if only gossip told of the engine.
    requested_at: Option<Duration>,
    boot_id: Option<BootId>,
    /// Consecutive connect failures.
    failures: u32,
    /// When the last connect failed.
    failed_at: Duration,
}

impl Membership {
    /// Returns an empty membership.
    pub fn new(config: MembershipConfig) -> Self {
        Self {
            config,
            backends: IndexMap::new(),
            revision: 0,
        }
    }

    /// Takes the platform's list that was asked for at `requested_at`; returns the servers that it
    /// shows as leaving for the first time. A list of a lower revision is ignored.
    pub fn on_list(&mut self, requested_at: Duration, list: &InstanceList) -> Vec<InstanceId> {
        if list.revision < self.revision {
            return Vec::new();
        }
        self.revision = list.revision;
        let mut unlisted: IndexMap<InstanceId, Backend> = std::mem::take(&mut self.backends);
        let mut leaving = Vec::new();
        for item in &list.items {
            if item.kind == InstanceKind::Entry || self.backends.len() >= MAX_BACKENDS {
                continue;
            }
            let mut backend = unlisted
                .swap_remove(&item.id)
                .unwrap_or_else(|| Backend::new(requested_at, item, self.config.ease_in));
            backend.listed = item.clone();
            match item.state {
                ListedState::Live => backend.live_at = Some(requested_at),
                ListedState::Leaving => {
                    if backend.sign(requested_at, SignKind::Leaving) {
                        leaving.push(item.id.clone());
                    }
                }
            }
            backend.end_sign(self.config.list_lag);
            self.backends.insert(item.id.clone(), backend);
        }
        leaving
    }

    /// Takes a report that was asked for at `requested_at`; returns true if it is the first sign that
    /// the engine is leaving, which the caller floods.
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
            // The process that the caches and connections belonged to is gone.
            backend.lifecycle.on_event(now, LifecycleEvent::Lost);
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
        backend.take_load(now, load_of(report));
        if report.state == BackendState::Serving {
            backend.end_planned_drain(requested_at, self.config.silent_after);
        }
        backend.end_sign(self.config.list_lag);
        let drains = report.state == BackendState::Draining && backend.planned_drain.is_none();
        drains && backend.sign(now, SignKind::OwnWord)
    }

    /// Takes the gossiped load of an engine that another instance polls.
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
        let reported = backend
            .requested_at
            .is_some_and(|at| now < at + self.config.silent_after);
        if reported {
            return;
        }
        backend.requested_at = None;
        backend.assignment = Some(Assignment {
            role: load.role,
            ..assignment.clone()
        });
        backend.take_load(now, load);
        backend.end_sign(self.config.list_lag);
    }

    /// Takes what a traffic thread experienced; returns true for a first sign of leaving, which
    /// the caller floods.
    pub fn on_observation(
        &mut self,
        now: Duration,
        backend: &InstanceId,
        sign: BackendObservation,
    ) -> bool {
        let Some(backend) = self.backends.get_mut(backend) else {
            return false;
        };
        match sign {
            BackendObservation::Draining => {
                backend.planned_drain.is_none() && backend.sign(now, SignKind::OwnWord)
            }
            BackendObservation::ConnectFailed => {
                backend.failures = backend.failures.saturating_add(1);
                backend.failed_at = now;
                if backend.failures == self.config.connect_failures {
                    backend.lifecycle.on_event(now, LifecycleEvent::Lost);
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

    /// Takes a peer's message that a server is leaving. The peer may have it from the engine's own
    /// word, so a planned drain that is heard of later takes it back.
    pub fn on_peer_leaving(&mut self, now: Duration, backend: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.sign(now, SignKind::OwnWord);
        }
    }

    /// Takes the message that an engine is drained for a planned change or takes work again.
    pub fn on_planned_drain(&mut self, now: Duration, backend: &InstanceId, drained: bool) {
        let Some(backend) = self.backends.get_mut(backend) else {
            return;
        };
        // The engine's own word was about this drain.
        backend.sign = backend.sign.filter(|sign| sign.kind == SignKind::Leaving);
        backend.planned_drain = drained.then_some(now);
    }

    /// Returns what is known of every backend server.
    pub fn statuses(&mut self, now: Duration) -> Vec<BackendStatus> {
        let config = self.config;
        self.backends
            .values_mut()
            .map(|backend| backend.view(now, &config))
            .collect()
    }
}

impl Backend {
    fn new(now: Duration, listed: &ListedInstance, ease_in: Duration) -> Self {
        let mut lifecycle = EngineLifecycle::new(now, ease_in);
        if listed.kind == InstanceKind::Service {
            // Plain services give no reports to wait for.
            lifecycle.on_event(now, LifecycleEvent::Report(BackendState::Serving));
        }
        Self {
            listed: listed.clone(),
            live_at: None,
            sign: None,
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

    /// Notes a sign of leaving; returns true if none was in effect.
    fn sign(&mut self, now: Duration, kind: SignKind) -> bool {
        let first = self.sign.is_none();
        let kind = match self.sign {
            Some(Sign {
                kind: SignKind::Leaving,
                ..
            }) => SignKind::Leaving,
            _ => kind,
        };
        self.sign = Some(Sign { kind, at: now });
        first
    }

    /// Ends the sign when the list and a report show that the server is back.
    fn end_sign(&mut self, list_lag: Duration) {
        let Some(sign) = self.sign else {
            return;
        };
        let live = self.live_at.is_some_and(|at| at >= sign.at + list_lag)
            && self.listed.state == ListedState::Live;
        let fresh = match self.listed.kind {
            InstanceKind::Engine => {
                let report_at = self.requested_at.or(self.load_at);
                report_at.is_some_and(|at| at > sign.at)
                    && self.state == Some(BackendState::Serving)
            }
            InstanceKind::Service | InstanceKind::Entry => true,
        };
        if live && fresh {
            self.sign = None;
        }
    }

    /// Ends a planned drain whose end was not heard of, for instance since its sender died.
    fn end_planned_drain(&mut self, requested_at: Duration, patience: Duration) {
        self.planned_drain
            .take_if(|began| requested_at >= *began + patience);
    }

    fn take_load(&mut self, now: Duration, load: EngineLoad) {
        self.state = Some(load.state);
        self.load = Some(load);
        self.load_at = Some(now);
        self.lifecycle
            .on_event(now, LifecycleEvent::Report(load.state));
    }

    fn view(&mut self, now: Duration, config: &MembershipConfig) -> BackendStatus {
        if self.listed.kind == InstanceKind::Engine {
            let patience = match self.requested_at {
                Some(_) => config.silent_after,
                None => config.gossip_silent_after,
            };
            if self.load_at.is_none_or(|at| now > at + patience) {
                self.lifecycle.on_event(now, LifecycleEvent::Lost);
            }
        }
        self.lifecycle.on_event(now, LifecycleEvent::Tick);
        let phase = self.lifecycle.phase();
        // A request to a plain service that could not be reached is its probe.
        let probe = self.listed.kind == InstanceKind::Service
            && now > self.failed_at + config.service_retry;
        let takes_work =
            probe || matches!(phase, LifecyclePhase::Serving | LifecyclePhase::EasingIn);
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
            accepting: takes_work && self.sign.is_none() && self.planned_drain.is_none(),
            leaving: self.listed.state == ListedState::Leaving,
            phase,
            serving_since: self.lifecycle.serving_since(),
        }
    }
}

fn load_of(report: &EngineReport) -> EngineLoad {
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
