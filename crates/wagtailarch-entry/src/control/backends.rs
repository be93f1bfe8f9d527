//! Backend servers as the platform lists them and as they report themselves.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use indexmap::IndexMap;
use wagtailarch_control::LeavingSign;
use wagtailarch_platform::Platform;
use wagtailarch_traffic::{BackendView, LoadReport};
use wagtailarch_types::{Assignment, BackendKind, BackendState, InstanceId};
use wagtailarch_wire::{
    engine::EngineReport,
    platform::{InstanceKind, ListedInstance, ListedState},
};

use crate::{engine_client::EngineClient, events::ControlEvent, shared::Shared};

/// Reports that are read at the same time.
const REPORTS_AT_ONCE: usize = 32;

/// Time without a report after which an engine gets no new work.
const SILENT_AFTER: Duration = Duration::from_secs(3);

/// Consecutive connect failures after which a plain service gets no new work.
const CONNECT_FAILURES: u32 = 3;

/// Time after which a plain service that could not be reached is tried again.
const SERVICE_RETRY: Duration = Duration::from_secs(1);

/// Time for which a plain service that said that it leaves gets no new work.
///
/// It has no report that would show its return, and the platform's list lags by some seconds.
const LEAVING_FOR: Duration = Duration::from_secs(10);

/// Backend servers as the platform lists them and as they report themselves.
#[derive(Debug)]
pub struct Backends {
    shared: Arc<Shared>,
    client: EngineClient,
    /// At most `limits.backends` servers.
    known: IndexMap<InstanceId, Backend>,
    /// Whether the platform's list was read.
    listed: bool,
}

#[derive(Debug)]
struct Backend {
    listed: ListedInstance,
    report: Option<EngineReport>,
    /// When the last report arrived.
    report_at: Duration,
    /// When it began to serve.
    since: Duration,
    failures: u32,
    failed_at: Duration,
    /// When it last said that it is draining; reports asked for before are older than that.
    drained_at: Option<Duration>,
}

impl Backends {
    /// Creates an empty table.
    pub fn new(shared: Arc<Shared>) -> Self {
        let client = EngineClient::new(&shared.settings.timeouts, &shared.settings.limits);
        Self {
            shared,
            client,
            known: IndexMap::new(),
            listed: false,
        }
    }

    /// Reads the platform's list and publishes the backend servers.
    pub async fn read_list(&mut self, platform: &dyn Platform) {
        let Ok(list) = platform.instances().await else {
            return;
        };
        let now = self.shared.now();
        let mut next = IndexMap::new();
        for listed in list.items {
            let full = next.len() >= self.shared.settings.limits.backends;
            if listed.kind == InstanceKind::Entry || full {
                continue;
            }
            let known = self.known.swap_remove(&listed.id);
            let mut backend = known.unwrap_or_else(|| Backend::new(listed.clone(), now));
            backend.listed = listed;
            next.insert(backend.listed.id.clone(), backend);
        }
        self.known = next;
        self.listed = true;
        self.publish();
    }

    /// Reads the reports of all engines and publishes the backend servers.
    pub async fn read_reports(&mut self) {
        let asked_at = self.shared.now();
        let engines = self
            .known
            .values()
            .filter(|b| b.listed.kind == InstanceKind::Engine);
        let calls: Vec<_> = engines
            .map(|b| (b.listed.id.clone(), b.listed.address.clone()))
            .map(|(id, address)| {
                let client = self.client.clone();
                async move { (id, client.report(&address).await) }
            })
            .collect();
        let reports: Vec<_> = stream::iter(calls)
            .buffer_unordered(REPORTS_AT_ONCE)
            .collect()
            .await;
        let now = self.shared.now();
        for (id, report) in reports {
            let (Some(known), Ok(report)) = (self.known.get_mut(&id), report) else {
                continue;
            };
            if known.drained_at.is_some_and(|at| asked_at < at) {
                continue;
            }
            if known.take(report, now) {
                self.shared.on_crash(&id);
            }
        }
        self.publish();
        if self.listed {
            self.shared.set_backends_known();
        }
    }

    /// Takes an event of a traffic thread.
    pub fn on_event(&mut self, event: ControlEvent) {
        let ControlEvent::Sign { backend, sign } = event else {
            return;
        };
        let now = self.shared.now();
        let Some(known) = self.known.get_mut(&backend) else {
            return;
        };
        match sign {
            LeavingSign::ConnectFailed => {
                known.failures += 1;
                known.failed_at = now;
            }
            LeavingSign::Succeeded => known.failures = 0,
            LeavingSign::Draining => {
                known.drained_at = Some(now);
                if let Some(report) = &mut known.report {
                    report.state = BackendState::Draining;
                }
            }
        }
        self.publish();
    }

    fn publish(&self) {
        let now = self.shared.now();
        self.shared
            .publish_backends(self.known.values().map(|b| b.view(now)).collect());
    }
}

impl Backend {
    fn new(listed: ListedInstance, now: Duration) -> Self {
        Self {
            listed,
            report: None,
            report_at: now,
            since: now,
            failures: 0,
            failed_at: now,
            drained_at: None,
        }
    }

    /// Takes a report; returns whether the engine has restarted.
    fn take(&mut self, report: EngineReport, now: Duration) -> bool {
        let before = self.report.as_ref();
        let restarted = before.is_some_and(|before| before.boot_id != report.boot_id);
        let served = before.is_some_and(|before| before.state == BackendState::Serving);
        if restarted || !served {
            self.since = now;
        }
        self.report = Some(report);
        self.report_at = now;
        self.failures = 0;
        restarted
    }

    fn view(&self, now: Duration) -> BackendView {
        let report = self.report.as_ref();
        let age = now.saturating_sub(self.report_at);
        let serving = match self.listed.kind {
            InstanceKind::Engine => {
                let reached = self.failures == 0;
                let serves = report.is_some_and(|report| report.state == BackendState::Serving);
                reached && age < SILENT_AFTER && serves
            }
            InstanceKind::Service | InstanceKind::Entry => {
                let left = self
                    .drained_at
                    .is_some_and(|at| now.saturating_sub(at) < LEAVING_FOR);
                let retry = now.saturating_sub(self.failed_at) > SERVICE_RETRY;
                !left && (self.failures < CONNECT_FAILURES || retry)
            }
        };
        BackendView {
            id: self.listed.id.clone(),
            group: self.listed.group.clone().unwrap_or_default(),
            kind: match self.listed.kind {
                InstanceKind::Engine => BackendKind::Engine,
                InstanceKind::Service | InstanceKind::Entry => BackendKind::Service,
            },
            zone: self.listed.zone.clone(),
            address: self.listed.address.clone(),
            assignment: report.map(|report| Assignment {
                role: report.role,
                model: report.model.clone(),
                version: report.version.clone(),
                adapters: report.adapters.clone(),
            }),
            state: report.map_or(BackendState::Serving, |report| report.state),
            report: report.map(LoadReport::from),
            report_age: age,
            accepting: serving && self.listed.state == ListedState::Live,
            since: self.since,
        }
    }
}
