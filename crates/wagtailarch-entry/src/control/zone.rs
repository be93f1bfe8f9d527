//! Duties of the zone's lease holder: orders, rollout, roles and status.

use std::{collections::HashMap, sync::Arc, time::Duration};

use indexmap::IndexMap;
use wagtailarch_control::{
    Authority, BackendStatus, Lease, LeaseConfig, OrderAction, OrderLedger, OrderReport, Planner,
    PlannerConfig, PlannerGroup, Rollout, RolloutAction, RolloutEngine, RolloutGroup, RolloutView,
    ZoneEngine, ZoneStatus, ZoneView,
};
use wagtailarch_fleet::{Fleet, Group, GroupKind};
use wagtailarch_types::{
    Assignment, BackendState, BootId, Generation, GroupName, InstanceId, Phase,
};
use wagtailarch_wire::{engine::EngineReport, records::ZoneStatusRecord};

use super::backends::{Backends, TimedReport};
use crate::{shared::Shared, snapshot::Snapshot};

/// Time without a report after which an engine is treated as unhealthy and is not changed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Duration in seconds of a zone's turn, in which the zone may be without an engine that serves
/// whole requests; a change takes about half of it.
const TURN_DURATION_S: u64 = 20;

/// Interval of the rollout step while no engine is being changed.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of planning roles.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Factor by which the highest rate of a group decays at each plan without a higher rate; its half
/// life is about 12 minutes.
const RATE_DECAY: f64 = 0.999;

/// Change that is flooded for the rollout: an engine and whether it is drained.
pub(super) type DrainChange = (InstanceId, bool);

/// Lease, orders, roles and status of this instance's zone.
pub(super) struct Zone {
    shared: Arc<Shared>,
    pub(super) lease: Lease,
    pub(super) ledger: OrderLedger,
    pub(super) status: ZoneStatus,
    rollout: Rollout,
    planner: Planner,
    planned_at: Duration,
    /// When the last rollout step ran.
    rollout_at: Duration,
    planned_changes: Vec<wagtailarch_control::RoleChange>,
    /// Highest recent rates of one engine by group: prefill and decode tokens per second.
    rates: HashMap<GroupName, (f64, f64)>,
    /// Fencing number of the lease that was last logged; `None` while this instance does not hold the lease.
    logged_fencing_number: Option<u64>,
}

impl Zone {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let settings = &shared.settings;
        let instance = settings.instance.clone();
        Self {
            lease: Lease::new(LeaseConfig::new(instance.clone(), shared.boot_id)),
            ledger: OrderLedger::new(instance, shared.boot_id, rand::random()),
            status: ZoneStatus::new(settings.zone.clone()),
            rollout: Rollout::new(),
            planner: Planner::new(PlannerConfig::default()),
            planned_at: Duration::ZERO,
            rollout_at: Duration::ZERO,
            planned_changes: Vec::new(),
            rates: HashMap::new(),
            logged_fencing_number: None,
            shared,
        }
    }

    /// Applies the list. Order senders that are no longer listed are removed, so that their orders
    /// block no others.
    pub(super) fn on_list(&mut self, backends: &Backends) {
        let now = self.shared.now();
        let listed = |instance: &InstanceId| backends.entries().iter().any(|e| e.id == *instance);
        for (sender, boot_id) in self.ledger.blocking_senders() {
            if !listed(&sender) {
                self.ledger.on_sender_removed(now, &sender, boot_id);
            }
        }
        let zone = &self.shared.settings.zone;
        let live = backends.live_entries().filter(|entry| entry.zone == *zone);
        let mut live: Vec<_> = live.map(|entry| entry.id.clone()).collect();
        if !live.contains(&self.shared.settings.instance) {
            live.push(self.shared.settings.instance.clone());
        }
        self.status.on_list(&live);
        self.ledger
            .retain(|engine| backends.engines().contains_key(engine));
    }

    /// Removes earlier processes of an instance as order senders, since the process with `boot_id`
    /// has replaced them.
    pub(super) fn on_boot(&mut self, instance: &InstanceId, boot_id: BootId) {
        let now = self.shared.now();
        for (sender, sender_boot_id) in self.ledger.blocking_senders() {
            if sender == *instance && sender_boot_id < boot_id {
                self.ledger.on_sender_removed(now, &sender, sender_boot_id);
            }
        }
    }

    /// Updates the orders of an engine from its report.
    pub(super) fn on_report(&mut self, engine: &InstanceId, timed: &TimedReport) {
        let order_report = OrderReport {
            boot_id: timed.report.boot_id,
            last_order_nonce: timed.report.last_order_nonce,
            changing: timed.report.state == BackendState::Changing,
            requested_at: timed.requested_at,
        };
        self.ledger.on_report(engine, order_report);
    }

    /// Returns the engines that are being changed, whose reports the rollout waits for.
    pub(super) fn changing_engines(&self) -> Vec<InstanceId> {
        self.rollout.changing()
    }

    /// Advances the rollout and the orders; returns the calls to start and the drain changes to
    /// flood.
    pub(super) fn step(&mut self, backends: &mut Backends) -> (Vec<OrderAction>, Vec<DrainChange>) {
        let now = self.shared.now();
        let authority = self.lease.authority(now);
        self.log_authority(authority);
        let mut drain_changes = Vec::new();
        let snapshot = self.shared.snapshot.load_full();
        match (authority, snapshot) {
            (Some(_), Some(snapshot)) if backends.has_platform_list() => {
                drain_changes = self.run_rollout(now, &snapshot, backends);
            }
            _ => self.rollout.reset(),
        }
        (self.ledger.poll(now, authority), drain_changes)
    }

    /// Returns the status of the zone if this instance holds the lease.
    pub(super) fn status(&self, newest: Generation) -> Option<ZoneStatusRecord> {
        let now = self.shared.now();
        let number = self.lease.authority(now)?.fencing_number;
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let written_at_ms = since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64);
        Some(self.status.record(now, newest, written_at_ms, number))
    }

    /// Returns whether this instance removes objects that are no longer needed.
    ///
    /// Only the lease holder of the first zone of the fleet does so, since one instance is enough.
    pub(super) fn should_collect(&self) -> bool {
        let snapshot = self.shared.snapshot.load();
        let first_zone = snapshot.as_ref().and_then(|s| s.fleet.fleet.zones.first());
        let has_lease = self.lease.authority(self.shared.now()).is_some();
        has_lease && first_zone == Some(&self.shared.settings.zone)
    }

    fn log_authority(&mut self, authority: Option<Authority>) {
        let number = authority.map(|authority| authority.fencing_number);
        if number == self.logged_fencing_number {
            return;
        }
        self.logged_fencing_number = number;
        slog::info!(self.shared.log, "lease"; "held" => number.is_some(),
            "number" => number.unwrap_or(0));
    }

    fn run_rollout(
        &mut self,
        now: Duration,
        snapshot: &Snapshot,
        backends: &mut Backends,
    ) -> Vec<DrainChange> {
        // A step copies the state of all listed engines, 3,800 at the design size.
        if now < self.rollout_at + IDLE_INTERVAL && self.rollout.changing().is_empty() {
            return Vec::new();
        }
        self.rollout_at = now;
        let statuses = backends.statuses();
        let engines = self.rollout_engines(now, &statuses, backends);
        for engine in &engines {
            if engine.state == BackendState::Draining {
                self.ledger.schedule_read(&engine.id);
            }
        }
        if now >= self.planned_at + PLAN_INTERVAL {
            self.planned_at = now;
            let view = self.zone_view(now, &snapshot.fleet, backends, &engines);
            self.planned_changes = self.planner.plan(now, &view);
        }
        let view = RolloutView {
            generation: snapshot.generation,
            groups: engine_groups(&snapshot.fleet)
                .filter_map(|group| {
                    let may_empty = self.may_empty(&snapshot.fleet, group, &statuses);
                    rollout_group(group, may_empty)
                })
                .collect(),
            engines,
        };
        let mut drain_changes = Vec::new();
        for action in self.rollout.step(now, &view, &self.planned_changes) {
            match action {
                RolloutAction::Order { engine, request } => self.ledger.request(&engine, request),
                RolloutAction::Cancel { engine } => self.ledger.cancel(&engine),
                RolloutAction::AnnounceDrain { engine, drained } => {
                    drain_changes.push((engine, drained))
                }
            }
        }
        drain_changes
    }

    /// Returns whether the zone may be without an engine of the group that serves whole requests.
    ///
    /// Another zone must have such an engine, and the zones take turns, so that they do not change
    /// their last engines at the same time. A group that has one engine in all zones has no
    /// alternative.
    fn may_empty(&self, fleet: &Fleet, group: &Group, statuses: &[BackendStatus]) -> bool {
        let zone = &self.shared.settings.zone;
        let mut engines = statuses.iter().filter(|status| status.group == group.name);
        if engines.clone().count() < 2 {
            return true;
        }
        let serves_full = |status: &BackendStatus| {
            let assignment = status.assignment.as_ref();
            assignment.is_some_and(|assignment| assignment.role.serves(Phase::Full))
        };
        let served_elsewhere =
            engines.any(|status| status.zone != *zone && status.accepting && serves_full(status));
        let zones = &fleet.fleet.zones;
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seconds = since_epoch.map_or(0, |since_epoch| since_epoch.as_secs());
        let current_turn = (seconds / TURN_DURATION_S) as usize % zones.len().max(1);
        // A change that starts late in a turn would extend into the next one.
        let is_first_half = seconds % TURN_DURATION_S < TURN_DURATION_S / 2;
        served_elsewhere
            && is_first_half
            && zones.iter().position(|name| name == zone) == Some(current_turn)
    }

    /// Returns the engines of the zone that have reported.
    fn rollout_engines(
        &self,
        now: Duration,
        statuses: &[BackendStatus],
        backends: &Backends,
    ) -> Vec<RolloutEngine> {
        let zone = &self.shared.settings.zone;
        let mut engines = Vec::new();
        for status in statuses {
            if status.zone != *zone {
                continue;
            }
            let Some(timed) = backends.report(&status.id) else {
                continue;
            };
            let unresponsive = now > timed.requested_at + REPORT_TIMEOUT;
            engines.push(RolloutEngine {
                assignment: assignment(&timed.report),
                state: timed.report.state,
                requests: timed.report.running,
                requested_at: timed.requested_at,
                healthy: !unresponsive && !status.listed_leaving,
                order: self.ledger.progress(&status.id),
                drained_by_order: timed
                    .report
                    .last_order_nonce
                    .is_some_and(|nonce| self.ledger.is_drain(&status.id, nonce)),
                id: status.id.clone(),
                group: status.group.clone(),
            });
        }
        engines
    }

    fn zone_view(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        backends: &Backends,
        engines: &[RolloutEngine],
    ) -> ZoneView {
        let changing = self.rollout.changing();
        let mut views = Vec::new();
        let mut recent_rates: IndexMap<&GroupName, (f64, f64)> = IndexMap::new();
        for engine in engines {
            let Some(timed) = backends.report(&engine.id) else {
                continue;
            };
            let report = &timed.report;
            let highest = recent_rates.entry(&engine.group).or_default();
            if report.queued_tokens > 0 {
                highest.0 = highest.0.max(report.prefill_tokens_per_s);
            }
            highest.1 = highest.1.max(report.decode_tokens_per_s);
            views.push(ZoneEngine {
                id: engine.id.clone(),
                group: engine.group.clone(),
                role: report.role,
                serving: engine.healthy
                    && engine.state == BackendState::Serving
                    && !changing.contains(&engine.id),
                report_age: Some(now.saturating_sub(timed.requested_at)),
                requests: f64::from(report.running),
                queued_tokens: report.queued_tokens as f64,
                prefill_tokens_per_s: report.prefill_tokens_per_s,
                decode_tokens_per_s: report.decode_tokens_per_s,
            });
        }
        self.rates
            .retain(|name, _| fleet.groups.iter().any(|group| group.name == *name));
        let groups = engine_groups(fleet).map(|group| {
            let recent = recent_rates.get(&group.name).copied().unwrap_or_default();
            let rate = self.rates.entry(group.name.clone()).or_default();
            rate.0 = (rate.0 * RATE_DECAY).max(recent.0);
            rate.1 = (rate.1 * RATE_DECAY).max(recent.1);
            PlannerGroup {
                name: group.name.clone(),
                roles: group.roles,
                prefill_capacity_per_s: rate.0,
                decode_capacity_per_s: rate.1,
                demand: None,
            }
        });
        ZoneView {
            policy: fleet.policy.clone(),
            groups: groups.collect(),
            engines: views,
        }
    }
}

fn engine_groups(fleet: &Fleet) -> impl Iterator<Item = &Group> {
    let engines = |group: &&Group| group.kind == GroupKind::Engine;
    fleet.groups.iter().filter(engines)
}

fn rollout_group(group: &Group, may_empty: bool) -> Option<RolloutGroup> {
    let mut adapters = group.adapters.clone();
    adapters.sort();
    adapters.dedup();
    Some(RolloutGroup {
        name: group.name.clone(),
        model: group.model.clone()?,
        version: group.version.clone()?,
        adapters,
        checks_fencing: group.checks_fencing,
        roles: group.roles,
        may_empty,
    })
}

/// Returns what an engine serves according to its report.
pub(super) fn assignment(report: &EngineReport) -> Assignment {
    let mut adapters = report.adapters.clone();
    adapters.sort();
    Assignment {
        role: report.role,
        model: report.model.clone(),
        version: report.version.clone(),
        adapters,
    }
}
