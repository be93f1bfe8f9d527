//! The decisions of the zone's lease holder.

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

use super::backends::{Backends, Known};
use crate::{shared::Shared, snapshot::Snapshot};

/// Time without a report after which an engine is not changed.
const SILENT_AFTER: Duration = Duration::from_secs(3);

/// Length in seconds of a zone's turn to be without engines that serve whole requests; a change
/// takes about half of it.
const TURN_S: u64 = 20;

/// Interval of looking at the engines while none is under change.
const IDLE_EVERY: Duration = Duration::from_secs(1);

/// Interval of planning roles.
const PLAN_EVERY: Duration = Duration::from_secs(1);

/// Part of the highest rate of a group that is kept at each plan without a higher one; the memory
/// of a rate halves in about 12 minutes.
const RATE_KEPT: f64 = 0.999;

/// Flood that the rollout asks for: an engine and whether it is drained.
pub(super) type DrainFlood = (InstanceId, bool);

/// Lease, orders, roles and status of the zone.
pub(super) struct Zone {
    shared: Arc<Shared>,
    pub(super) lease: Lease,
    pub(super) ledger: OrderLedger,
    pub(super) status: ZoneStatus,
    rollout: Rollout,
    planner: Planner,
    planned_at: Duration,
    /// When the rollout last looked at the engines.
    rolled_at: Duration,
    planned: Vec<wagtailarch_control::RoleChange>,
    /// Highest rates of one engine lately, by group: prefill and decode tokens per second.
    rates: HashMap<GroupName, (f64, f64)>,
    /// Lease number at the last step, for the log.
    number: Option<u64>,
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
            rolled_at: Duration::ZERO,
            planned: Vec::new(),
            rates: HashMap::new(),
            number: None,
            shared,
        }
    }

    /// Takes the list: senders that it no longer names are gone.
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

    /// Notes that a later process of the instance runs, so that earlier ones are gone.
    pub(super) fn on_boot(&mut self, instance: &InstanceId, boot_id: BootId) {
        let now = self.shared.now();
        for (sender, sent_by) in self.ledger.blocking_senders() {
            if sender == *instance && sent_by < boot_id {
                self.ledger.on_sender_removed(now, &sender, sent_by);
            }
        }
    }

    /// Takes a report of an engine.
    pub(super) fn on_report(&mut self, engine: &InstanceId, known: &Known) {
        let proof = OrderReport {
            boot_id: known.report.boot_id,
            last_order_nonce: known.report.last_order_nonce,
            changing: known.report.state == BackendState::Changing,
            requested_at: known.asked_at,
        };
        self.ledger.on_report(engine, proof);
    }

    /// Returns the engines whose reports the rollout waits for.
    pub(super) fn watched(&self) -> Vec<InstanceId> {
        self.rollout.changing()
    }

    /// Decides what is due: calls for orders and floods of drains.
    pub(super) fn step(&mut self, backends: &mut Backends) -> (Vec<OrderAction>, Vec<DrainFlood>) {
        let now = self.shared.now();
        let authority = self.lease.authority(now);
        self.note_authority(authority);
        let mut floods = Vec::new();
        let snapshot = self.shared.snapshot.load_full();
        match (authority, snapshot) {
            (Some(_), Some(snapshot)) if backends.is_listed() => {
                floods = self.roll_out(now, &snapshot, backends);
            }
            _ => self.rollout.reset(),
        }
        (self.ledger.poll(now, authority), floods)
    }

    /// Returns the status of the zone if this instance holds the lease.
    pub(super) fn status(&self, newest: Generation) -> Option<ZoneStatusRecord> {
        let now = self.shared.now();
        let number = self.lease.authority(now)?.number;
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let written_at_ms = since.map_or(0, |since| since.as_millis() as u64);
        Some(self.status.record(now, newest, written_at_ms, number))
    }

    /// Tells whether this instance removes objects that are no longer needed: it holds the lease
    /// of the first zone of the file, since one instance of all zones is enough.
    pub(super) fn collects(&self) -> bool {
        let snapshot = self.shared.snapshot.load();
        let first = snapshot.as_ref().and_then(|s| s.fleet.fleet.zones.first());
        let holds = self.lease.authority(self.shared.now()).is_some();
        holds && first == Some(&self.shared.settings.zone)
    }

    fn note_authority(&mut self, authority: Option<Authority>) {
        let number = authority.map(|authority| authority.number);
        if number == self.number {
            return;
        }
        self.number = number;
        slog::info!(self.shared.log, "lease"; "held" => number.is_some(),
            "number" => number.unwrap_or(0));
    }

    fn roll_out(
        &mut self,
        now: Duration,
        snapshot: &Snapshot,
        backends: &mut Backends,
    ) -> Vec<DrainFlood> {
        // A look copies the state of all listed engines, 3,800 at the design size.
        if now < self.rolled_at + IDLE_EVERY && self.rollout.changing().is_empty() {
            return Vec::new();
        }
        self.rolled_at = now;
        let statuses = backends.statuses();
        let engines = self.engines(now, &statuses, backends);
        for engine in &engines {
            if engine.state == BackendState::Draining {
                self.ledger.schedule_read(&engine.id);
            }
        }
        if now >= self.planned_at + PLAN_EVERY {
            self.planned_at = now;
            let view = self.zone_view(now, &snapshot.fleet, backends, &engines);
            self.planned = self.planner.plan(now, &view);
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
        let mut floods = Vec::new();
        for action in self.rollout.step(now, &view, &self.planned) {
            match action {
                RolloutAction::Order { engine, request } => self.ledger.request(&engine, request),
                RolloutAction::Cancel { engine } => self.ledger.cancel(&engine),
                RolloutAction::AnnounceDrain { engine, drained } => floods.push((engine, drained)),
            }
        }
        floods
    }

    /// Tells whether the zone may be without an engine of the group that serves whole requests.
    ///
    /// Another zone must have such an engine, and zones take turns, so that they do not give up
    /// their last ones at once. A group with one engine in all zones has no choice.
    fn may_empty(&self, fleet: &Fleet, group: &Group, statuses: &[BackendStatus]) -> bool {
        let zone = &self.shared.settings.zone;
        let mut engines = statuses.iter().filter(|status| status.group == group.name);
        if engines.clone().count() < 2 {
            return true;
        }
        let whole = |status: &BackendStatus| {
            let assignment = status.assignment.as_ref();
            assignment.is_some_and(|assignment| assignment.role.serves(Phase::Full))
        };
        let elsewhere =
            engines.any(|status| status.zone != *zone && status.accepting && whole(status));
        let zones = &fleet.fleet.zones;
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let since_s = since.map_or(0, |since| since.as_secs());
        let turn = (since_s / TURN_S) as usize % zones.len().max(1);
        // A change started late in a turn would reach into the next one.
        let early = since_s % TURN_S < TURN_S / 2;
        elsewhere && early && zones.iter().position(|name| name == zone) == Some(turn)
    }

    /// Returns the engines of the zone that have reported.
    fn engines(
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
            let Some(known) = backends.report(&status.id) else {
                continue;
            };
            let silent = now > known.asked_at + SILENT_AFTER;
            engines.push(RolloutEngine {
                assignment: assignment(&known.report),
                state: known.report.state,
                running: known.report.running,
                requested_at: known.asked_at,
                healthy: !silent && !status.leaving,
                order: self.ledger.progress(&status.id),
                drained_by_order: known
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
        let mut rates: IndexMap<&GroupName, (f64, f64)> = IndexMap::new();
        for engine in engines {
            let Some(known) = backends.report(&engine.id) else {
                continue;
            };
            let report = &known.report;
            let highest = rates.entry(&engine.group).or_default();
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
                report_age: Some(now.saturating_sub(known.asked_at)),
                running: f64::from(report.running),
                queued_tokens: report.queued_tokens as f64,
                prefill_tokens_per_s: report.prefill_tokens_per_s,
                decode_tokens_per_s: report.decode_tokens_per_s,
            });
        }
        self.rates
            .retain(|name, _| fleet.groups.iter().any(|group| group.name == *name));
        let groups = engine_groups(fleet).map(|group| {
            let lately = rates.get(&group.name).copied().unwrap_or_default();
            let rate = self.rates.entry(group.name.clone()).or_default();
            rate.0 = (rate.0 * RATE_KEPT).max(lately.0);
            rate.1 = (rate.1 * RATE_KEPT).max(lately.1);
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

/// Returns what an engine serves by its report.
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
