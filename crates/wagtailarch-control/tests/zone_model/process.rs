//! A modelled instance: the control types of the crate with an inbox instead of sockets.

use std::collections::VecDeque;
use std::time::Duration;

use wagtailarch_control::{ChangeReason, RoleChange};
use wagtailarch_control::{
    GenerationTracker, Gossip, GossipConfig, GossipEvent, Lease, LeaseAction, LeaseConfig,
    OrderAction, OrderLedger, ReadOutcome, Rollout, RolloutAction, RolloutEngine, RolloutGroup,
    RolloutView, SendOutcome, WriteOutcome, ZoneStatus,
};
use wagtailarch_fleet::RoleTable;
use wagtailarch_types::{BackendState, BootId, Generation, InstanceId, Role};
use wagtailarch_wire::peer::Delta;
use wagtailarch_wire::records::{LeaseRecord, OrderRecord};

use super::engine::Report;

/// Input of a process. It stays in the inbox while the process is paused.
#[derive(Debug, Clone)]
pub enum Message {
    LeaseRead(ReadOutcome<LeaseRecord>),
    LeaseWritten(WriteOutcome),
    OrderRead(usize, ReadOutcome<OrderRecord>),
    OrderWritten(usize, WriteOutcome),
    Sent(usize, SendOutcome),
    Report(Report),
    Manifest(Generation),
    Delta(Delta),
}

/// Call that a process makes.
#[derive(Debug, Clone)]
pub enum ProcessCall {
    Lease(LeaseAction),
    Order(OrderAction),
}

/// A modelled instance.
#[derive(Debug)]
pub struct Process {
    pub index: usize,
    pub boot_id: BootId,
    pub alive: bool,
    pub paused: bool,
    pub inbox: VecDeque<Message>,
    pub lease: Lease,
    pub ledger: OrderLedger,
    pub gossip: Gossip,
    pub tracker: GenerationTracker,
    pub status: ZoneStatus,
    rollout: Rollout,
    reports: Vec<Option<Report>>,
}

pub fn instance(index: usize) -> InstanceId {
    format!("i{index}").into()
}

pub fn engine_id(index: usize) -> InstanceId {
    format!("e{index}").into()
}

/// Even engines check fencing numbers, odd ones do not.
fn group_of(engine: usize) -> &'static str {
    if engine.is_multiple_of(2) {
        "checking"
    } else {
        "plain"
    }
}

impl Process {
    pub fn new(index: usize, boot_id: BootId, processes: usize, engines: usize) -> Self {
        let name = instance(index);
        let mut status = ZoneStatus::new("z".into());
        status.on_list(&(0..processes).map(instance).collect::<Vec<_>>());
        Self {
            index,
            boot_id,
            alive: true,
            paused: false,
            inbox: VecDeque::new(),
            lease: Lease::new(LeaseConfig::new(name.clone(), boot_id)),
            ledger: OrderLedger::new(name.clone(), boot_id, boot_id),
            gossip: Gossip::new(GossipConfig {
                instance: name,
                boot_id,
                zone: "z".into(),
                peer_address: "127.0.0.1:1".into(),
            }),
            tracker: GenerationTracker::new(),
            status,
            rollout: Rollout::new(),
            reports: vec![None; engines],
        }
    }

    pub fn runs(&self) -> bool {
        self.alive && !self.paused
    }

    /// Handles all messages in the inbox and returns the calls that are due.
    pub fn step(&mut self, now: Duration, planned: &[(usize, Role)]) -> Vec<ProcessCall> {
        while let Some(message) = self.inbox.pop_front() {
            self.handle(now, message);
        }
        self.gossip.heartbeat(now);
        let in_force = self.tracker.in_force();
        self.gossip.set_self(now, in_force, false);
        self.status
            .on_ack(now, &instance(self.index), self.boot_id, in_force);
        let mut calls: Vec<_> = self
            .lease
            .tick(now)
            .into_iter()
            .map(ProcessCall::Lease)
            .collect();
        let authority = self.lease.authority(now);
        match authority {
            Some(_) => self.advance_rollout(now, planned),
            None => self.rollout.reset(),
        }
        let orders = self.ledger.poll(now, authority);
        calls.extend(orders.into_iter().map(ProcessCall::Order));
        calls
    }

    fn handle(&mut self, now: Duration, message: Message) {
        match message {
            Message::LeaseRead(outcome) => self.lease.on_read(now, outcome),
            Message::LeaseWritten(outcome) => self.lease.on_write(now, outcome),
            Message::OrderRead(engine, outcome) => {
                self.ledger.on_read(now, &engine_id(engine), outcome);
            }
            Message::OrderWritten(engine, outcome) => {
                self.ledger.on_write(now, &engine_id(engine), outcome);
            }
            Message::Sent(engine, outcome) => self.ledger.on_sent(now, &engine_id(engine), outcome),
            Message::Report(report) => self.on_report(report),
            Message::Manifest(generation) => {
                self.tracker.on_announced(generation);
                let _ = self.tracker.on_loaded(generation);
            }
            Message::Delta(delta) => {
                for event in self.gossip.merge(now, delta) {
                    let GossipEvent::Instance(peer, boot_id, info) = event else {
                        continue;
                    };
                    self.status.on_ack(now, &peer, boot_id, info.generation);
                    self.tracker.on_announced(info.generation);
                }
            }
        }
    }

    fn on_report(&mut self, report: Report) {
        let known = &mut self.reports[report.engine];
        let older = known
            .as_ref()
            .is_some_and(|last| last.order_report.requested_at > report.order_report.requested_at);
        if older {
            return;
        }
        self.ledger
            .on_report(&engine_id(report.engine), report.order_report);
        *known = Some(report);
    }

    fn advance_rollout(&mut self, now: Duration, planned: &[(usize, Role)]) {
        for report in self.reports.iter().flatten() {
            if report.state == BackendState::Draining {
                self.ledger.schedule_read(&engine_id(report.engine));
            }
        }
        let view = self.view(now);
        let planned: Vec<_> = planned
            .iter()
            .filter_map(|(engine, to)| self.planned_change(*engine, *to))
            .collect();
        for action in self.rollout.step(now, &view, &planned) {
            match action {
                RolloutAction::Order { engine, request } => self.ledger.request(&engine, request),
                RolloutAction::Cancel { engine } => self.ledger.cancel(&engine),
                RolloutAction::AnnounceDrain { .. } => {}
            }
        }
    }

    fn planned_change(&self, engine: usize, to: Role) -> Option<RoleChange> {
        let from = self.reports[engine].as_ref()?.assignment.role;
        (from != to).then(|| RoleChange {
            engine: engine_id(engine),
            group: group_of(engine).into(),
            from,
            to,
            reason: ChangeReason::Demand,
            gain: 1.0,
            cost: 0.0,
        })
    }

    fn view(&self, now: Duration) -> RolloutView {
        let generation = self.tracker.in_force();
        let groups = [("checking", true), ("plain", false)].map(|(name, checks)| RolloutGroup {
            name: name.into(),
            model: "m".into(),
            version: format!("v{}", generation % 3).into(),
            adapters: Vec::new(),
            checks_fencing: checks,
            roles: RoleTable::default(),
            may_empty: true,
        });
        let engines = self.reports.iter().flatten().map(|report| RolloutEngine {
            id: engine_id(report.engine),
            group: group_of(report.engine).into(),
            assignment: report.assignment.clone(),
            state: report.state,
            requests: report.running,
            requested_at: report.order_report.requested_at,
            healthy: now <= report.order_report.requested_at + Duration::from_secs(3),
            order: self.ledger.progress(&engine_id(report.engine)),
            drained_by_order: report
                .order_report
                .last_order_nonce
                .is_some_and(|nonce| self.ledger.is_drain(&engine_id(report.engine), nonce)),
        });
        RolloutView {
            generation,
            groups: groups.to_vec(),
            engines: engines.collect(),
        }
    }
}
