//! Backend servers: the list of the platform, the reports of the servers and what peers report.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use wagtailarch_control::{BackendObservation, BackendStatus, Membership, MembershipConfig};
use wagtailarch_traffic::{BackendView, LoadReport};
use wagtailarch_types::{Assignment, BackendKind, BackendState, InstanceId, ZoneName};
use wagtailarch_wire::{
    engine::EngineReport,
    peer::EngineLoad,
    platform::{InstanceKind, InstanceList, ListedInstance, ListedState},
    service::ServiceReport,
};

use super::service_loads::ServiceLoads;

use crate::shared::Shared;

/// State of the backend servers, from which their routing views are built.
#[derive(Debug)]
pub(super) struct Backends {
    shared: Arc<Shared>,
    membership: Membership,
    /// Last report of each listed engine; at most `limits.backends`.
    reports: IndexMap<InstanceId, TimedReport>,
    /// Entry instances in the list.
    entries: Vec<ListedInstance>,
    /// Engines in the list.
    engines: IndexMap<InstanceId, ListedEngine>,
    /// Whether a list of the platform was applied.
    has_platform_list: bool,
    /// Whether a list of a peer was applied.
    has_peer_list: bool,
    service_loads: ServiceLoads,
}

/// Address and zone of a listed engine.
#[derive(Debug, Clone)]
pub(super) struct ListedEngine {
    pub(super) address: String,
    pub(super) zone: ZoneName,
}

/// An engine's report and when it was requested.
#[derive(Debug, Clone)]
pub(super) struct TimedReport {
    pub(super) report: EngineReport,
    /// When the report was requested.
    pub(super) requested_at: Duration,
}

impl Backends {
    /// Creates the state without any backend server.
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            membership: Membership::new(MembershipConfig::default()),
            reports: IndexMap::new(),
            entries: Vec::new(),
            engines: IndexMap::new(),
            has_platform_list: false,
            has_peer_list: false,
            service_loads: ServiceLoads::default(),
        }
    }

    /// Applies the platform's list that was requested at `requested_at`; returns the servers for
    /// which it is the first report of leaving.
    pub(super) fn on_list(
        &mut self,
        requested_at: Duration,
        list: InstanceList,
    ) -> Vec<InstanceId> {
        self.has_platform_list = true;
        self.apply_list(requested_at, list)
    }

    /// Applies a peer's list. The caller uses one only before the first list of the platform.
    ///
    /// The list counts as requested at the start of the process, so that it overrides no
    /// observation, and as revision 0, so that any list of the platform replaces it.
    pub(super) fn on_peer_list(&mut self, mut list: InstanceList) {
        self.has_peer_list = true;
        list.revision = 0;
        self.apply_list(Duration::ZERO, list);
    }

    fn apply_list(&mut self, requested_at: Duration, mut list: InstanceList) -> Vec<InstanceId> {
        list.items.truncate(self.shared.settings.limits.backends);
        let leaving = self.membership.on_list(requested_at, &list);
        self.engines.clear();
        self.entries.clear();
        let mut services = Vec::new();
        for item in list.items {
            match item.kind {
                InstanceKind::Entry => self.entries.push(item),
                InstanceKind::Engine => {
                    let engine = ListedEngine {
                        address: item.address.to_string(),
                        zone: item.zone,
                    };
                    self.engines.insert(item.id, engine);
                }
                InstanceKind::Service => services.push((item.id, item.address.to_string())),
            }
        }
        self.service_loads.set_listed(services);
        let engines = &self.engines;
        self.reports.retain(|id, _| engines.contains_key(id));
        let live = self.live_entries().count();
        self.shared.set_live_instances(live as u32);
        self.publish();
        leaving
    }

    /// Applies an engine's report; returns whether it is the first report that the engine is
    /// leaving.
    pub(super) fn on_report(&mut self, requested_at: Duration, report: EngineReport) -> bool {
        let id = report.engine.clone();
        if !self.engines.contains_key(&id) {
            return false;
        }
        let now = self.shared.now();
        let is_first = self.membership.on_report(now, requested_at, &report);
        let previous = self.reports.get(&id);
        if previous.is_some_and(|previous| requested_at < previous.requested_at) {
            return false;
        }
        if previous.is_some_and(|previous| previous.report.boot_id != report.boot_id) {
            self.shared.on_crash(&id);
        }
        self.reports.insert(
            id,
            TimedReport {
                report,
                requested_at,
            },
        );
        is_first
    }

    /// Returns the plain services whose report is to be requested now, with their addresses.
    pub(super) fn services_to_poll(&self) -> Vec<(InstanceId, String)> {
        self.service_loads.due(self.shared.now())
    }

    /// Applies the report of a plain service, `None` if the request failed; returns whether it is
    /// the first report that the service is leaving.
    pub(super) fn on_service_report(
        &mut self,
        service: &InstanceId,
        report: Option<&ServiceReport>,
    ) -> bool {
        let now = self.shared.now();
        if self.service_loads.on_report(now, service, report) {
            self.shared.on_crash(service);
        }
        let draining = report.is_some_and(|report| report.state != BackendState::Serving);
        draining
            && self
                .membership
                .on_observation(now, service, BackendObservation::Leaving)
    }

    /// Applies the gossiped load of an engine that another instance polls.
    pub(super) fn on_load(
        &mut self,
        engine: &InstanceId,
        assignment: &Assignment,
        load: EngineLoad,
    ) {
        let now = self.shared.now();
        self.membership.on_load(now, engine, assignment, load);
    }

    /// Applies an observation of a traffic thread; returns whether it is the first report that the
    /// server is leaving.
    pub(super) fn on_observation(
        &mut self,
        backend: &InstanceId,
        observation: BackendObservation,
    ) -> bool {
        let is_first = self
            .membership
            .on_observation(self.shared.now(), backend, observation);
        self.publish();
        is_first
    }

    /// Applies a peer's message that a server is leaving.
    pub(super) fn on_peer_leaving(&mut self, backend: &InstanceId) {
        self.membership.on_peer_leaving(self.shared.now(), backend);
        self.publish();
    }

    /// Applies the announcement that an engine is drained for a planned change, or accepts work
    /// again if `drained` is false.
    pub(super) fn on_planned_drain(&mut self, backend: &InstanceId, drained: bool) {
        let now = self.shared.now();
        self.membership.on_planned_drain(now, backend, drained);
        self.publish();
    }

    /// Marks the backend servers as polled if there is a list; called when no report is pending.
    pub(super) fn on_all_polled(&self) {
        if self.has_platform_list || self.has_peer_list {
            self.shared.set_backends_polled();
        }
    }

    /// Returns the status of every backend server.
    pub(super) fn statuses(&mut self) -> Vec<BackendStatus> {
        self.membership.statuses(self.shared.now())
    }

    /// Returns the listed engines.
    pub(super) fn engines(&self) -> &IndexMap<InstanceId, ListedEngine> {
        &self.engines
    }

    /// Returns the last report of an engine.
    pub(super) fn report(&self, engine: &InstanceId) -> Option<&TimedReport> {
        self.reports.get(engine)
    }

    /// Returns the listed entry instances, including leaving ones.
    pub(super) fn entries(&self) -> &[ListedInstance] {
        &self.entries
    }

    /// Returns the entry instances that are listed as live.
    pub(super) fn live_entries(&self) -> impl Iterator<Item = &ListedInstance> {
        let live = |entry: &&ListedInstance| entry.state == ListedState::Live;
        self.entries.iter().filter(live)
    }

    /// Returns whether a list of the platform was applied.
    pub(super) fn has_platform_list(&self) -> bool {
        self.has_platform_list
    }

    /// Publishes the backend servers to the traffic threads.
    pub(super) fn publish(&mut self) {
        let now = self.shared.now();
        let statuses = self.membership.statuses(now);
        let before = self.shared.backends.load();
        self.shared.server_ends.on_statuses(now, &statuses, &before);
        let views = statuses
            .into_iter()
            .map(|status| self.backend_view(now, status))
            .collect();
        self.shared.publish_backends(views);
    }

    fn backend_view(&self, now: Duration, status: BackendStatus) -> BackendView {
        let age = status.load_at;
        let age = age.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let (report, report_age) = match (self.reports.get(&status.id), status.load) {
            (Some(timed), _) => (Some(LoadReport::from(&timed.report)), age),
            (None, Some(load)) => (Some(load_report(now, &load)), age),
            (None, None) => match self.service_loads.load(now, &status.id) {
                Some((load, age)) => (Some(load), age),
                None => (None, age),
            },
        };
        BackendView {
            id: status.id,
            group: status.group,
            kind: match status.kind {
                InstanceKind::Engine => BackendKind::Engine,
                InstanceKind::Service | InstanceKind::Entry => BackendKind::Service,
            },
            zone: status.zone,
            address: status.address,
            assignment: status.assignment,
            state: status.state.unwrap_or(BackendState::Serving),
            report,
            report_age,
            accepting: status.accepting,
            serving_since: status.serving_since,
        }
    }
}

/// Converts a gossiped load to a report. The current time is the sequence number, since gossiped
/// loads have none.
fn load_report(now: Duration, load: &EngineLoad) -> LoadReport {
    LoadReport {
        seq: now.as_millis() as u64,
        running: load.running as u32,
        queued_tokens: load.queued_tokens as u64,
        decode_slots: 0,
        kv_used_ratio: load.kv_used_ratio,
        prefill_tokens_per_s: load.prefill_tokens_per_s,
        decode_tokens_per_s: load.decode_tokens_per_s,
    }
}
