//! A modelled engine.

use std::time::Duration;

use wagtailarch_control::OrderReport;
use wagtailarch_types::{Assignment, BackendState, BootId, FencingNumber, Generation, Nonce, Role};
use wagtailarch_wire::engine::{Order, OrderKind};

use super::oracle::Oracle;

/// A modelled engine.
#[derive(Debug)]
pub struct Engine {
    pub index: usize,
    pub checks_fencing: bool,
    pub boot_id: BootId,
    pub state: BackendState,
    pub running: u32,
    pub assignment: Assignment,
    highest_number: FencingNumber,
    last_nonce: Option<Nonce>,
    generation: Generation,
    /// Assignment that is being loaded, the nonce of its order and when loading is complete.
    loading: Option<(Assignment, Nonce, Duration)>,
}

/// Report of an engine.
#[derive(Debug, Clone)]
pub struct Report {
    pub engine: usize,
    pub state: BackendState,
    pub running: u32,
    pub assignment: Assignment,
    pub order_report: OrderReport,
}

impl Engine {
    pub fn new(index: usize, checks_fencing: bool) -> Self {
        Self {
            index,
            checks_fencing,
            boot_id: 1,
            state: BackendState::Serving,
            running: 0,
            assignment: Assignment {
                role: Role::Mixed,
                model: "m".into(),
                version: "v0".into(),
                adapters: Vec::new(),
            },
            highest_number: 0,
            last_nonce: None,
            generation: 0,
            loading: None,
        }
    }

    pub fn begin_request(&mut self) {
        if self.state == BackendState::Serving {
            self.running += 1;
        }
    }

    pub fn finish_requests(&mut self) {
        self.running = 0;
    }

    /// Restarts the process at once. Fencing numbers and nonces are lost.
    pub fn restart(&mut self, oracle: &mut Oracle) {
        if let Some((_, nonce, _)) = self.loading.take() {
            oracle.on_resolved(self.index, nonce);
        }
        self.boot_id += 1;
        self.running = 0;
        self.highest_number = 0;
        self.last_nonce = None;
        self.state = BackendState::Serving;
    }

    pub fn advance(&mut self, now: Duration, oracle: &mut Oracle) {
        let loaded = self.loading.take_if(|(_, _, until)| now >= *until);
        if let Some((assignment, nonce, _)) = loaded {
            self.assignment = assignment;
            self.state = BackendState::Serving;
            self.last_nonce = Some(nonce);
            oracle.on_resolved(self.index, nonce);
        }
        oracle.on_generation(format!("e{}", self.index), self.boot_id, self.generation);
    }

    /// Handles an order; returns false if it is refused as stale.
    pub fn handle_order(&mut self, now: Duration, order: &Order, oracle: &mut Oracle) -> bool {
        if self.checks_fencing && order.fencing_number < self.highest_number {
            oracle.on_stale_refused();
            oracle.on_resolved(self.index, order.nonce);
            return false;
        }
        self.highest_number = self.highest_number.max(order.fencing_number);
        self.generation = self.generation.max(order.generation);
        let is_assign = matches!(order.kind, OrderKind::Assign(_));
        let conflicts = is_assign && self.loading.is_some();
        oracle.on_effect(self.index, order.fencing_number, conflicts);
        match &order.kind {
            OrderKind::Assign(assignment) => {
                oracle.on_assign(self.index, self.running);
                self.running = 0;
                self.state = BackendState::Changing;
                let until = now + Duration::from_secs(3);
                self.loading = Some((assignment.clone(), order.nonce, until));
                return true;
            }
            OrderKind::Drain if self.loading.is_none() => self.state = BackendState::Draining,
            OrderKind::Undrain if self.loading.is_none() => self.state = BackendState::Serving,
            OrderKind::Drain | OrderKind::Undrain => {}
        }
        self.last_nonce = Some(order.nonce);
        oracle.on_resolved(self.index, order.nonce);
        true
    }

    pub fn report(&self, requested_at: Duration) -> Report {
        Report {
            engine: self.index,
            state: self.state,
            running: self.running,
            assignment: self.assignment.clone(),
            order_report: OrderReport {
                boot_id: self.boot_id,
                last_order_nonce: self.last_nonce,
                changing: self.state == BackendState::Changing,
                requested_at,
            },
        }
    }
}
