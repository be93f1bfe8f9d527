//! Backend servers as the platform lists them and as they report themselves.

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

/// Backend servers as the platform lists them and as they report themselves.
#[derive(Debug)]
pub(super) struct Backends {
    shared: Arc<Shared>,
    membership: Membership,
    /// Last report of each listed engine; at most `limits.backends`.
    reports: IndexMap<InstanceId, Known>,
    /// Entry instances of the list.
    entries: Vec<ListedInstance>,
    /// Addresses of the listed engines.
    engines: IndexMap<InstanceId, Engine>,
    /// Whether the platform's list was read.
    listed: bool,
    /// Whether a peer's list was taken.
    peer_listed: bool,
    services: ServiceLoads,
}

/// A listed engine.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub(super) address: String,
    pub(super) zone: ZoneName,
}

/// A report with its times.
#[derive(Debug, Clone)]
pub(super) struct Known {
    pub(super) report: EngineReport,
    /// When it was asked for.
    pub(super) asked_at: Duration,
}

impl Backends {
    /// Creates an empty table.
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            membership: Membership::new(MembershipConfig::default()),
            reports: IndexMap::new(),
            entries: Vec::new(),
            engines: IndexMap::new(),
            listed: false,
            peer_listed: false,
            services: ServiceLoads::default(),
        }
    }

    /// Takes the platform's list that was asked for at a time; returns the servers that it shows
    /// as leaving for the first time.
    pub(super) fn on_list(&mut self, asked_at: Duration, list: InstanceList) -> Vec<InstanceId> {
        self.listed = true;
        self.take_list(asked_at, list)
    }

    /// Takes a peer's list; used only while the platform has given none.
    ///
    /// Its time is the start of the process, so that it outdates no sign, and its revision 0, so
    /// that any list of the platform replaces it.
    pub(super) fn on_peer_list(&mut self, mut list: InstanceList) {
        self.peer_listed = true;
        list.revision = 0;
        self.take_list(Duration::ZERO, list);
    }

    fn take_list(&mut self, asked_at: Duration, mut list: InstanceList) -> Vec<InstanceId> {
        list.items.truncate(self.shared.settings.limits.backends);
        let leaving = self.membership.on_list(asked_at, &list);
        self.engines.clear();
        self.entries.clear();
        let mut services = Vec::new();
        for item in list.items {
            match item.kind {
                InstanceKind::Entry => self.entries.push(item),
                InstanceKind::Engine => {
                    let engine = Engine {
                        address: item.address.to_string(),
                        zone: item.zone,
                    };
                    self.engines.insert(item.id, engine);
                }
                InstanceKind::Service => services.push((item.id, item.address.to_string())),
            }
        }
        self.services.set_listed(services);
        let engines = &self.engines;
        self.reports.retain(|id, _| engines.contains_key(id));
        let live = self.live_entries().count();
        self.shared.set_instances(live as u32);
        self.publish();
        leaving
    }

    /// Takes a report; returns true if it is the first sign that the engine is leaving.
    pub(super) fn on_report(&mut self, asked_at: Duration, report: EngineReport) -> bool {
        let id = report.engine.clone();
        if !self.engines.contains_key(&id) {
            return false;
        }
        let now = self.shared.now();
        let first_sign = self.membership.on_report(now, asked_at, &report);
        let last = self.reports.get(&id);
        if last.is_some_and(|last| asked_at < last.asked_at) {
            return false;
        }
        if last.is_some_and(|last| last.report.boot_id != report.boot_id) {
            self.shared.on_crash(&id);
        }
        self.reports.insert(id, Known { report, asked_at });
        first_sign
    }

    /// Returns the plain services to ask for a report, with their addresses.
    pub(super) fn services_due(&self) -> Vec<(InstanceId, String)> {
        self.services.due(self.shared.now())
    }

    /// Takes the answer of a plain service; returns true if it is the first sign that it leaves.
    pub(super) fn on_service_report(
        &mut self,
        service: &InstanceId,
        report: Option<&ServiceReport>,
    ) -> bool {
        let now = self.shared.now();
        if self.services.on_report(now, service, report) {
            self.shared.on_crash(service);
        }
        let draining = report.is_some_and(|report| report.state != BackendState::Serving);
        draining
            && self
                .membership
                .on_observation(now, service, BackendObservation::Draining)
    }

    /// Takes the gossiped load of an engine that another instance polls.
    pub(super) fn on_load(
        &mut self,
        engine: &InstanceId,
        assignment: &Assignment,
        load: EngineLoad,
    ) {
        let now = self.shared.now();
        self.membership.on_load(now, engine, assignment, load);
    }

    /// Takes what a traffic thread experienced; returns true for a first sign of leaving.
    pub(super) fn on_sign(&mut self, backend: &InstanceId, sign: BackendObservation) -> bool {
        let first = self
            .membership
            .on_observation(self.shared.now(), backend, sign);
        self.publish();
        first
    }

    /// Takes a peer's message that a server is leaving.
    pub(super) fn on_peer_sign(&mut self, backend: &InstanceId) {
        self.membership.on_peer_leaving(self.shared.now(), backend);
        self.publish();
    }

    /// Takes the message that an engine is drained for a change or takes work again.
    pub(super) fn on_planned_drain(&mut self, backend: &InstanceId, drained: bool) {
        let now = self.shared.now();
        self.membership.on_planned_drain(now, backend, drained);
        self.publish();
    }

    /// Notes that every listed engine was asked for its report.
    pub(super) fn on_all_asked(&self) {
        if self.listed || self.peer_listed {
            self.shared.set_backends_known();
        }
    }

    /// Returns what is known of every backend server.
    pub(super) fn statuses(&mut self) -> Vec<BackendStatus> {
        self.membership.statuses(self.shared.now())
    }

    /// Returns the listed engines.
    pub(super) fn engines(&self) -> &IndexMap<InstanceId, Engine> {
        &self.engines
    }

    /// Returns the last report of an engine.
    pub(super) fn report(&self, engine: &InstanceId) -> Option<&Known> {
        self.reports.get(engine)
    }

    /// Returns the listed entry instances, leaving ones included.
    pub(super) fn entries(&self) -> &[ListedInstance] {
        &self.entries
    }

    /// Returns the entry instances that are listed as live.
    pub(super) fn live_entries(&self) -> impl Iterator<Item = &ListedInstance> {
        let live = |entry: &&ListedInstance| entry.state == ListedState::Live;
        self.entries.iter().filter(live)
    }

    /// Tells whether the platform's list was read.
    pub(super) fn is_listed(&self) -> bool {
        self.listed
    }

    /// Publishes the backend servers to the traffic threads.
    pub(super) fn publish(&mut self) {
        let now = self.shared.now();
        let statuses = self.membership.statuses(now);
        let views = statuses
            .into_iter()
            .map(|status| self.view(now, status))
            .collect();
        self.shared.publish_backends(views);
    }

    fn view(&self, now: Duration, status: BackendStatus) -> BackendView {
        let age = status.load_at;
        let age = age.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let (report, report_age) = match (self.reports.get(&status.id), status.load) {
            (Some(known), _) => (Some(LoadReport::from(&known.report)), age),
            (None, Some(load)) => (Some(load_report(now, &load)), age),
            (None, None) => match self.services.load(now, &status.id) {
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

/// Returns a gossiped load as a report; its sequence number is the time, since gossip has none.
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
