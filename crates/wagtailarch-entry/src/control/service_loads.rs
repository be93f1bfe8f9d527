//! Load reports of plain services.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_traffic::LoadReport;
use wagtailarch_types::{BootId, InstanceId};
use wagtailarch_wire::service::ServiceReport;

/// Maximum number of listed services for which their reports are polled.
///
/// Polling more would exceed the control budget; the load is then estimated only from the requests
/// of this instance that are in flight.
const MAX_POLLED_SERVICES: usize = 64;
/// Delay before a service that sent no report is polled again; it may not implement reports.
const RETRY_DELAY: Duration = Duration::from_secs(30);

/// Load reports of the listed plain services.
#[derive(Debug, Default)]
pub(super) struct ServiceLoads {
    /// The services in the platform's list.
    services: IndexMap<InstanceId, PolledService>,
}

#[derive(Debug)]
struct PolledService {
    address: String,
    /// Last report, the process that sent it and when it arrived.
    last_report: Option<(LoadReport, BootId, Duration)>,
    not_before: Duration,
}

impl ServiceLoads {
    /// Replaces the services by those in the list, with their addresses. A service whose address is
    /// unchanged keeps its last report.
    pub(super) fn set_listed(&mut self, listed: Vec<(InstanceId, String)>) {
        let mut services = IndexMap::with_capacity(listed.len());
        for (id, address) in listed {
            let previous = self.services.swap_remove(&id);
            let service = previous
                .filter(|previous| previous.address == address)
                .unwrap_or(PolledService {
                    address,
                    last_report: None,
                    not_before: Duration::ZERO,
                });
            services.insert(id, service);
        }
        self.services = services;
    }

    /// Returns the services to poll now, with their addresses.
    pub(super) fn due(&self, now: Duration) -> Vec<(InstanceId, String)> {
        if self.services.len() > MAX_POLLED_SERVICES {
            return Vec::new();
        }
        let due = self.services.iter();
        due.filter(|(_, service)| now >= service.not_before)
            .map(|(id, service)| (id.clone(), service.address.clone()))
            .collect()
    }

    /// Records a service's report, `None` if the request failed; returns whether the service was
    /// restarted since the last report.
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
            service.not_before = now + RETRY_DELAY;
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
        let previous = service.last_report.replace((load, report.boot_id, now));
        previous.is_some_and(|(_, boot_id, _)| boot_id != report.boot_id)
    }

    /// Returns the last report of a service and its age.
    pub(super) fn load(&self, now: Duration, id: &InstanceId) -> Option<(LoadReport, Duration)> {
        let (load, _, at) = self.services.get(id)?.last_report?;
        Some((load, now.saturating_sub(at)))
    }
}
