//! Rate limits of backend servers, which all instances keep together.

use std::{collections::HashSet, time::Duration};

use wagtailarch_types::{InstanceId, ServiceName};
use wagtailarch_wire::{
    load_note::{LimitReport, server_key},
    permit::{PermitOutcome, PermitRank},
};

use super::LoadBalancer;
use crate::{HolderStep, LimitMembers, NamedLimit, RateLimit, servers::backend::Backend};

/// Rate at which a server is called at least, whatever limit it names.
///
/// Only the response to a request can change a limit, also one of zero.
const MIN_RATE_PER_S: f64 = 0.1;
/// Sender of the requests of the coordinator itself.
const OWN_REQUESTS: u64 = 0;
/// Maximum number of limits in one load note.
const MAX_REPORTS: usize = 16;

/// A change of the rate limit that a server names; `None` stands for no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// Limit before the change.
    pub before: Option<RateLimit>,
    /// Limit after the change.
    pub after: Option<RateLimit>,
}

/// Next step of a request that is about to be sent to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitStep {
    /// The server names no limit.
    Unlimited,
    /// The request has a permit.
    Permitted,
    /// The coordinator has to be asked for a permit.
    Ask {
        /// The coordinator of the server's limit.
        coordinator: InstanceId,
        /// What this instance knows about the limit.
        limit: LimitReport,
    },
    /// The limit leaves no room at present.
    Denied,
}

impl Backend {
    /// Applies a change of the limit.
    fn on_limit_changed(&mut self, members: &LimitMembers) {
        self.permits.on_limit_changed();
        self.update_coordinator(members);
    }

    /// Updates the coordinator after a change of the limit or of the members.
    fn update_coordinator(&mut self, members: &LimitMembers) {
        let limit = self.limit.limit();
        let coordinator = limit.and_then(|_| members.coordinator(server_key(&self.server.id)));
        self.coordinator = coordinator.cloned();
    }

    /// Returns the next step for a request; `None` if the server names no limit.
    fn holder_step(
        &self,
        now: Duration,
        rank: PermitRank,
        members: &LimitMembers,
    ) -> Option<HolderStep> {
        let rate_per_s = effective_rate_per_s(self.limit.limit()?);
        let Some(coordinator) = &self.coordinator else {
            return Some(HolderStep::Wait {
                retry_after: Duration::from_secs_f64(1.0 / rate_per_s),
            });
        };
        let share_per_s = rate_per_s * members.equal_share();
        Some(self.permits.step(now, rank, coordinator, share_per_s))
    }

    /// Returns whether the rate limit leaves room for a request, as far as this instance knows.
    pub(super) fn may_have_permit(
        &self,
        now: Duration,
        rank: PermitRank,
        members: &LimitMembers,
    ) -> bool {
        let step = self.holder_step(now, rank, members);
        !matches!(step, Some(HolderStep::Wait { .. }))
    }
}

impl LoadBalancer {
    /// Sets the instances that share the limits.
    pub fn set_limit_members(&mut self, members: LimitMembers) {
        if members == self.limit_members {
            return;
        }
        self.limit_members = members;
        for backend in self.backends.values_mut() {
            backend.update_coordinator(&self.limit_members);
        }
    }

    /// Applies what the response to a request of `sent_at` states about the rate limit of its
    /// server; returns the change, if any.
    pub fn on_named_limit(
        &mut self,
        now: Duration,
        id: &InstanceId,
        sent_at: Duration,
        named: NamedLimit,
    ) -> Option<LimitChange> {
        let backend = self.backends.get_mut(id)?;
        let before = backend.limit.limit();
        if !backend.limit.on_response(now, sent_at, named) {
            return None;
        }
        backend.on_limit_changed(&self.limit_members);
        let after = backend.limit.limit();
        Some(LimitChange { before, after })
    }

    /// Applies the limit of a server that a peer reports; returns the server and the change, if
    /// any.
    pub fn on_limit_report(
        &mut self,
        now: Duration,
        report: &LimitReport,
    ) -> Option<(InstanceId, LimitChange)> {
        let backend = self.backends.get_mut(self.by_key.get(&report.server)?)?;
        let before = backend.limit.limit();
        let limit = report.milli_per_s.map(RateLimit::from_milli_per_s);
        let age = Duration::from_millis(report.age_ms.into());
        if !backend.limit.on_report(now, limit, age) {
            return None;
        }
        backend.on_limit_changed(&self.limit_members);
        let after = backend.limit.limit();
        Some((backend.server.id.clone(), LimitChange { before, after }))
    }

    /// Takes the limits that have to be reported to the peers.
    pub fn take_limit_reports(&mut self, now: Duration) -> Vec<LimitReport> {
        let due = self.backends.values_mut();
        let due = due.filter(|backend| backend.limit.is_report_due(now));
        let reports = due.take(MAX_REPORTS).map(|backend| {
            backend.limit.on_reported(now);
            limit_report(now, backend)
        });
        reports.collect()
    }

    /// Returns the servers that name a rate limit.
    pub fn limited_servers(&self) -> HashSet<InstanceId> {
        let limited = self.backends.values();
        let limited = limited.filter(|backend| backend.limit.limit().is_some());
        limited.map(|backend| backend.server.id.clone()).collect()
    }

    /// Takes a permit for a request to a server, or returns where to ask for one.
    pub fn take_permit(&mut self, now: Duration, id: &InstanceId, rank: PermitRank) -> PermitStep {
        let Some(backend) = self.backends.get_mut(id) else {
            return PermitStep::Unlimited;
        };
        let Some(limit) = backend.limit.limit() else {
            return PermitStep::Unlimited;
        };
        let members = &self.limit_members;
        match backend.holder_step(now, rank, members) {
            None => return PermitStep::Unlimited,
            Some(HolderStep::Use) => {
                let share_per_s = effective_rate_per_s(limit) * members.equal_share();
                backend.permits.take(now, share_per_s);
                return PermitStep::Permitted;
            }
            Some(HolderStep::Wait { .. }) => return PermitStep::Denied,
            Some(HolderStep::Ask) => {}
        }
        let Some(coordinator) = backend.coordinator.clone() else {
            return PermitStep::Denied;
        };
        if members.own.as_ref() != Some(&coordinator) {
            let limit = limit_report(now, backend);
            return PermitStep::Ask { coordinator, limit };
        }
        let rate_per_s = effective_rate_per_s(limit) * members.reachable_share();
        let outcome = backend.bucket.request(now, rate_per_s, rank, OWN_REQUESTS);
        backend
            .permits
            .on_response(now, rank, &coordinator, outcome, true);
        match outcome {
            PermitOutcome::Granted => PermitStep::Permitted,
            PermitOutcome::Denied { .. } | PermitOutcome::NotCoordinator => PermitStep::Denied,
        }
    }

    /// Takes back a permit that was not used.
    pub fn give_back_permit(&mut self, now: Duration, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.permits.give_back(now);
        }
    }

    /// Responds to the peer `sender` that asks for a permit.
    ///
    /// A server whose limit was taken back may be called. For a server that is not listed yet, the
    /// peer uses its equal share.
    pub fn on_permit_request(
        &mut self,
        now: Duration,
        report: &LimitReport,
        rank: PermitRank,
        sender: u64,
    ) -> PermitOutcome {
        let members = &self.limit_members;
        if !members.is_coordinator(report.server) {
            return PermitOutcome::NotCoordinator;
        }
        self.on_limit_report(now, report);
        let reachable_share = self.limit_members.reachable_share();
        let Some(backend) = self.backend_by_key(report.server) else {
            return PermitOutcome::NotCoordinator;
        };
        let Some(limit) = backend.limit.limit() else {
            return PermitOutcome::Granted;
        };
        let rate_per_s = effective_rate_per_s(limit) * reachable_share;
        backend.bucket.request(now, rate_per_s, rank, sender)
    }

    /// Applies the response of a coordinator; `is_awaited` states whether a request still waits for
    /// it.
    pub fn on_permit_response(
        &mut self,
        now: Duration,
        server: u32,
        rank: PermitRank,
        outcome: PermitOutcome,
        is_awaited: bool,
    ) {
        let Some(backend) = self.backend_by_key(server) else {
            return;
        };
        if let Some(coordinator) = &backend.coordinator {
            let permits = &mut backend.permits;
            permits.on_response(now, rank, coordinator, outcome, is_awaited);
        }
    }

    /// Records that a coordinator has not responded to a request for a permit.
    pub fn on_permit_timeout(&mut self, now: Duration, id: &InstanceId, coordinator: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.permits.on_unresponsive(now, coordinator);
        }
    }

    /// Returns whether the limits of a service leave no room for a request at a server that could
    /// otherwise be called.
    pub(super) fn is_rate_limited(
        &self,
        now: Duration,
        service: &ServiceName,
        rank: PermitRank,
    ) -> bool {
        let mut available = self.available(now, service, &[]);
        available.any(|backend| !backend.may_have_permit(now, rank, &self.limit_members))
    }

    /// Refuses a client because of the limits of a service; returns the time after which it may
    /// retry, behind the clients that were refused before, or `None` if the limits leave room.
    pub fn refuse_by_limits(
        &mut self,
        now: Duration,
        service: &ServiceName,
        rank: PermitRank,
    ) -> Option<Duration> {
        let available = self.available(now, service, &[]);
        let waits = available.filter_map(|backend| {
            match backend.holder_step(now, rank, &self.limit_members)? {
                HolderStep::Wait { retry_after } => Some((retry_after, backend.server.id.clone())),
                HolderStep::Use | HolderStep::Ask => None,
            }
        });
        let (retry_after, id) = waits.min()?;
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.permits.on_refused(now, rank);
        }
        Some(retry_after)
    }

    pub(super) fn backend_by_key(&mut self, key: u32) -> Option<&mut Backend> {
        let id = self.by_key.get(&key)?;
        self.backends.get_mut(id)
    }
}

/// Returns what this instance knows about the limit of a server.
fn limit_report(now: Duration, backend: &Backend) -> LimitReport {
    let (limit, age) = backend.limit.newest(now);
    LimitReport {
        server: server_key(&backend.server.id),
        milli_per_s: limit.map(RateLimit::milli_per_s),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Returns the rate at which all instances together call a server.
fn effective_rate_per_s(limit: RateLimit) -> f64 {
    limit.per_s().max(MIN_RATE_PER_S)
}
