//! Which backend servers exist and which take new work.

use std::time::Duration;

use smol_str::SmolStr;
use wagtailarch_types::{Assignment, BackendState, GroupName, InstanceId, ZoneName};
use wagtailarch_wire::engine::EngineReport;
use wagtailarch_wire::peer::EngineLoad;
use wagtailarch_wire::platform::{InstanceKind, InstanceList};

use crate::LifecyclePhase;

/// Times of failure detection and slow start.
#[derive(Debug, Clone, Copy)]
pub struct MembershipConfig {
    /// Time without a report after which an engine counts as failed.
    pub silent_after: Duration,
    /// Consecutive connect failures after which a backend server counts as failed.
    pub connect_failures: u32,
    /// Time over which a returning engine takes a rising share of work.
    pub ease_in: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(3),
            connect_failures: 3,
            ease_in: Duration::from_secs(10),
        }
    }
}

/// What a traffic thread or the engine itself says about a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSign {
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
    /// Lifecycle phase.
    pub phase: LifecyclePhase,
    /// Start of slow start.
    pub since: Duration,
}

/// Combines the platform's list, reports, own experience and peers' messages.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
}

impl Membership {
    /// Returns an empty membership.
    pub fn new(config: MembershipConfig) -> Self {
        Self { config }
    }

    /// Takes the platform's list; returns servers that are leaving by it and were not before.
    pub fn on_list(&mut self, _now: Duration, _list: &InstanceList) -> Vec<InstanceId> {
        todo!("{:?}", self.config)
    }

    /// Takes a report that was asked for at `asked_at`; returns true if it is the first sign that
    /// the engine is leaving.
    pub fn on_report(
        &mut self,
        _now: Duration,
        _asked_at: Duration,
        _report: &EngineReport,
    ) -> bool {
        todo!()
    }

    /// Takes a gossiped load of an engine that another instance polls.
    pub fn on_load(&mut self, _now: Duration, _engine: &InstanceId, _load: EngineLoad) {
        todo!()
    }

    /// Takes what a traffic thread experienced; returns true for a first sign of leaving, which
    /// the caller floods.
    pub fn on_word(&mut self, _now: Duration, _backend: &InstanceId, _sign: LeavingSign) -> bool {
        todo!()
    }

    /// Takes a peer's message that a server is leaving.
    pub fn on_peer_sign(&mut self, _now: Duration, _backend: &InstanceId) {
        todo!()
    }

    /// Takes a peer's message that an engine is drained for a planned change or takes work again.
    pub fn on_planned_drain(&mut self, _now: Duration, _backend: &InstanceId, _drained: bool) {
        todo!()
    }

    /// Returns what is known of every backend server.
    pub fn views(&mut self, _now: Duration) -> Vec<BackendStatus> {
        todo!()
    }
}
