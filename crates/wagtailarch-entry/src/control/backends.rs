//! Backend servers as the platform lists them and as they report themselves.

use std::sync::Arc;

use futures_util::{StreamExt, stream};
use indexmap::IndexMap;
use wagtailarch_types::{Assignment, BackendState, InstanceId};
use wagtailarch_wire::{
    engine::EngineReport,
    platform::{INSTANCES_PATH, InstanceKind, InstanceList, ListedInstance, ListedState},
};

use crate::{routing::BackendView, shared::Shared};

/// Reports that are read at the same time.
const REPORTS_AT_ONCE: usize = 32;

/// Backend servers as the platform lists them and as they report themselves.
#[derive(Debug)]
pub struct Backends {
    shared: Arc<Shared>,
    /// At most `limits.backends` servers.
    known: IndexMap<InstanceId, Backend>,
}

#[derive(Debug)]
struct Backend {
    listed: ListedInstance,
    report: Option<EngineReport>,
}

impl Backends {
    /// Creates an empty table.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            known: IndexMap::new(),
        }
    }

    /// Reads the platform's list and publishes the backend servers.
    pub async fn read_list(&mut self) {
        let Some(address) = self.shared.settings.platform_address else {
            return;
        };
        let body = self
            .shared
            .engines
            .get_small(&address.to_string(), INSTANCES_PATH)
            .await;
        let Ok(list) = body.map(|body| serde_json::from_slice::<InstanceList>(&body)) else {
            return;
        };
        let Ok(list) = list else { return };
        let mut next = IndexMap::new();
        for listed in list.items {
            if listed.kind == InstanceKind::Entry
                || next.len() >= self.shared.settings.limits.backends
            {
                continue;
            }
            let report = self
                .known
                .swap_remove(&listed.id)
                .and_then(|known| known.report);
            next.insert(listed.id.clone(), Backend { listed, report });
        }
        self.known = next;
        self.publish();
    }

    /// Reads the reports of all engines and publishes the backend servers.
    pub async fn read_reports(&mut self) {
        let engines = self
            .known
            .values()
            .filter(|b| b.listed.kind == InstanceKind::Engine);
        let calls: Vec<_> = engines
            .map(|b| (b.listed.id.clone(), b.listed.address.clone()))
            .map(|(id, address)| {
                let client = self.shared.engines.clone();
                async move { (id, client.report(&address).await) }
            })
            .collect();
        let reports: Vec<_> = stream::iter(calls)
            .buffer_unordered(REPORTS_AT_ONCE)
            .collect()
            .await;
        for (id, report) in reports {
            if let Some(known) = self.known.get_mut(&id) {
                known.report = report.ok();
            }
        }
        self.publish();
    }

    fn publish(&self) {
        self.shared
            .router
            .update(self.known.values().map(view).collect());
    }
}

fn view(backend: &Backend) -> BackendView {
    let report = backend.report.as_ref();
    let live = backend.listed.state == ListedState::Live;
    let serving = match backend.listed.kind {
        InstanceKind::Engine => report.is_some_and(|r| r.state == BackendState::Serving),
        InstanceKind::Service | InstanceKind::Entry => true,
    };
    BackendView {
        id: backend.listed.id.clone(),
        group: backend.listed.group.clone().unwrap_or_default(),
        address: backend.listed.address.clone(),
        assignment: report.map(|report| Assignment {
            role: report.role,
            model: report.model.clone(),
            version: report.version.clone(),
            adapters: report.adapters.clone(),
        }),
        accepting: live && serving,
    }
}
