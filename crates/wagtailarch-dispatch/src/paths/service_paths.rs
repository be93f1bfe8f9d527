//! The paths from this instance to the backend servers of all services.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, ServiceName};
use wagtailarch_wire::path_report::LostPaths;

use crate::{
    membership::service_key,
    paths::service_path::{ConnectAttempt, PathChange, PathState, ServicePath},
};

/// Maximum number of probes per second of one instance over longer times, for all services together.
const MAX_PROBES_PER_S: f64 = 20.0;
/// Maximum number of probes at once.
///
/// To establish the loss takes about 7 probes a service, and its end 5. An
/// instance may call a dozen services.
const MAX_PROBE_BURST: f64 = 100.0;

/// The paths from this instance to the backend servers of all services.
///
/// A server that crashed, a path that is lost and a server that is unresponsive look alike at one
/// connection. A path is lost when no new connection to any server of its service succeeds; that
/// several servers fail at the same moment tells it from a crash, and that the kernel of an
/// unresponsive server still accepts connections tells it from silence. Nothing here is a fact
/// about a server.
#[derive(Debug)]
pub struct ServicePaths {
    paths: IndexMap<ServiceName, ServicePath>,
    /// Number of probes that may be sent at present; refilled at `MAX_PROBES_PER_S`.
    probe_credit: f64,
    credit_at: Duration,
}

impl Default for ServicePaths {
    fn default() -> Self {
        Self {
            paths: IndexMap::new(),
            probe_credit: MAX_PROBE_BURST,
            credit_at: Duration::ZERO,
        }
    }
}

impl ServicePaths {
    /// Returns the conclusion about the path to a service.
    pub fn state(&self, service: &ServiceName) -> &PathState {
        self.paths
            .get(service)
            .map_or(&PathState::Direct, ServicePath::state)
    }

    /// Returns whether requests for a service are not sent to its servers from here.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        self.paths.get(service).is_some_and(ServicePath::is_lost)
    }

    /// Returns whether the path to a service is lost or about to be.
    pub fn is_doubted(&self, service: &ServiceName) -> bool {
        self.paths.get(service).is_some_and(ServicePath::is_doubted)
    }

    /// Returns the number of services to which the path is lost.
    pub fn lost(&self) -> usize {
        self.paths.values().filter(|path| path.is_lost()).count()
    }

    /// Returns what is reported to other instances.
    pub fn report(&self) -> LostPaths {
        let doubted = self.paths.iter().filter(|(_, path)| path.is_doubted());
        doubted
            .map(|(service, _)| service_key(service) as u32)
            .collect()
    }

    /// Records that a server of a service accepted a connection.
    pub fn on_opened(
        &mut self,
        now: Duration,
        service: &ServiceName,
        attempt: ConnectAttempt<'_>,
    ) -> Option<PathChange> {
        self.path(service).on_opened(now, attempt)
    }

    /// Records that a server of a service did not accept a connection.
    ///
    /// Once the path is doubted, the paths to services that are called less often are probed once.
    pub fn on_failed(
        &mut self,
        now: Duration,
        service: &ServiceName,
        attempt: ConnectAttempt<'_>,
    ) -> Option<PathChange> {
        let change = self.path(service).on_failed(now, attempt);
        if change == Some(PathChange::Doubted) {
            for path in self.paths.values_mut() {
                path.request_check(now);
            }
        }
        change
    }

    /// Returns the services for which a probe is due, those without a conclusion first, as far as
    /// the rate of probes allows.
    pub fn due(&self, now: Duration) -> Vec<ServiceName> {
        let due = self.paths.iter().filter(|(_, path)| {
            let next_probe_at = path.next_probe_at();
            next_probe_at.is_some_and(|at| at <= now)
        });
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, path)| (!path.is_suspected(), path.next_probe_at()));
        due.into_iter()
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Returns when the next probe is due; `None` while all paths are direct.
    pub fn next_probe_at(&self) -> Option<Duration> {
        self.paths
            .values()
            .filter_map(ServicePath::next_probe_at)
            .min()
    }

    /// Returns the index of the server of a service to probe now, among the listed ones.
    pub fn take_probe(
        &mut self,
        now: Duration,
        service: &ServiceName,
        listed: &[&InstanceId],
        seed: u64,
    ) -> Option<usize> {
        let elapsed_s = now.saturating_sub(self.credit_at).as_secs_f64();
        self.credit_at = now;
        self.probe_credit = (self.probe_credit + elapsed_s * MAX_PROBES_PER_S).min(MAX_PROBE_BURST);
        if self.probe_credit < 1.0 {
            return None;
        }
        let index = self.path(service).take_probe(now, listed, seed)?;
        self.probe_credit -= 1.0;
        Some(index)
    }

    fn path(&mut self, service: &ServiceName) -> &mut ServicePath {
        self.paths.entry(service.clone()).or_default()
    }
}
