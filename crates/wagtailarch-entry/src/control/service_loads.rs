//! Load reports of plain services.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_traffic::LoadReport;
use wagtailarch_types::{BootId, InstanceId};
use wagtailarch_wire::service::ServiceReport;

/// Listed services up to which every instance polls all of them. Beyond that, polls would not fit
/// into the control budget, and own requests in flight have to do.
const POLL_AT_MOST: usize = 64;
/// Pause before a service that gave no report is asked again; it may not have one.
const ASK_AGAIN: Duration = Duration::from_secs(30);

/// Load reports of the listed plain services.
#[derive(Debug, Default)]
pub(super) struct ServiceLoads {
    /// At most as many as the list has.
    services: IndexMap<InstanceId, Service>,
}

#[derive(Debug)]
struct Service {
    address: String,
    /// Last report, the process that made it and when it arrived.
    last: Option<(LoadReport, BootId, Duration)>,
    not_before: Duration,
}

impl ServiceLoads {
    /// Takes the listed services with their addresses.
    pub(super) fn set_listed(&mut self, listed: Vec<(InstanceId, String)>) {
        let mut services = IndexMap::with_capacity(listed.len());
        for (id, address) in listed {
            let known = self.services.swap_remove(&id);
            let service = known
                .filter(|known| known.address == address)
                .unwrap_or(Service {
                    address,
                    last: None,
                    not_before: Duration::ZERO,
                });
            services.insert(id, service);
        }
        self.services = services;
    }

    /// Returns the services to ask for a report, with their addresses.
    pub(super) fn due(&self, now: Duration) -> Vec<(InstanceId, String)> {
        if self.services.len() > POLL_AT_MOST {
            return Vec::new();
        }
        let due = self.services.iter();
        due.filter(|(_, service)| now >= service.not_before)
            .map(|(id, service)| (id.clone(), service.address.clone()))
            .collect()
    }

    /// Takes the answer of a service; returns true if its process has changed since the last one.
    pub(super) fn on_report(
        &mut self,
        now: Duration,
        id: &InstanceId,
        report: Option<&ServiceReport>,
    ) -> bool {
        let Some(service) = self.services.get_mut(id) else {
            return false;
        };
        let Some(report) = report.filter(|report| report.service == *id) else {
            service.not_before = now + ASK_AGAIN;
            return false;
        };
        let load = LoadReport {
            seq: report.seq,
            running: report.running,
            queued_tokens: 0,
            decode_slots: report.max_running,
            kv_used_ratio: 0.0,
            prefill_tokens_per_s: 0.0,
            decode_tokens_per_s: 0.0,
        };
        let before = service.last.replace((load, report.boot_id, now));
        before.is_some_and(|(_, boot_id, _)| boot_id != report.boot_id)
    }

    /// Returns the last report of a service and its age.
    pub(super) fn load(&self, now: Duration, id: &InstanceId) -> Option<(LoadReport, Duration)> {
        let (load, _, at) = self.services.get(id)?.last?;
        Some((load, now.saturating_sub(at)))
    }
}
