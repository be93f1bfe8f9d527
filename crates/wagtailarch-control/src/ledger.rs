//! The order ledger of a zone.

use std::time::Duration;

use wagtailarch_types::{BootId, FencingNumber, Generation, InstanceId, Nonce, ObjectVersion};
use wagtailarch_wire::engine::{Order, OrderKind};
use wagtailarch_wire::records::OrderRecord;

use crate::{Authority, ReadOutcome, WriteOutcome};

/// An order that the zone's rollout wants to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRequest {
    /// Generation of the configuration that it follows from.
    pub generation: Generation,
    /// What the engine is told.
    pub kind: OrderKind,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// Call that the ledger needs; each gets exactly one result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Read `order/<engine>` and pass the result to [`OrderLedger::on_record`].
    ReadRecord {
        /// Engine.
        engine: InstanceId,
    },
    /// Write `order/<engine>` and pass the result to [`OrderLedger::on_write`].
    WriteRecord {
        /// Engine.
        engine: InstanceId,
        /// New value.
        record: OrderRecord,
        /// Version that the object must have; `None` if it must not exist.
        expect: Option<ObjectVersion>,
    },
    /// Send the order to the engine, once, on a fresh connection, and pass the result to
    /// [`OrderLedger::on_sent`].
    Send {
        /// Engine.
        engine: InstanceId,
        /// Order.
        order: Order,
        /// The order must not be sent after this time.
        not_after: Duration,
    },
}

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order.
    Refused,
    /// No byte of the order can have reached the engine.
    NotSent,
    /// The order may have reached the engine; the connection is closed.
    Unknown,
}

/// What a report of an engine says about orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineProof {
    /// Start of the engine's process.
    pub boot_id: BootId,
    /// Nonce of the last order that took effect.
    pub last_order_nonce: Option<Nonce>,
    /// Highest fencing number seen.
    pub fencing_number: FencingNumber,
    /// Time at which the report was asked for.
    pub asked_at: Duration,
}

/// State of the newest request to one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderProgress {
    /// Nothing was requested since this ledger was created, or the request was dropped.
    Idle,
    /// The request waits to be recorded or sent.
    Pending,
    /// An earlier order blocks the request.
    Blocked,
    /// The order was sent; its effect is not proven.
    Sent,
    /// The engine reported the order.
    Effective,
    /// The order never took effect; the request may be repeated.
    Failed,
}

/// Records and sends orders for the engines of one zone.
#[derive(Debug)]
pub struct OrderLedger {
    instance: InstanceId,
}

impl OrderLedger {
    /// Returns an empty ledger of this process; nonces derive from `seed`.
    pub fn new(instance: InstanceId, _boot_id: BootId, _seed: u64) -> Self {
        Self { instance }
    }

    /// Asks for an order; it replaces a request that was not recorded yet.
    pub fn request(&mut self, _now: Duration, _engine: &InstanceId, _request: OrderRequest) {
        todo!("{}", self.instance)
    }

    /// Drops a request that was not recorded yet.
    pub fn cancel(&mut self, _engine: &InstanceId) {
        todo!()
    }

    /// Returns the calls that are due.
    pub fn poll(&mut self, _now: Duration, _authority: Option<Authority>) -> Vec<OrderAction> {
        todo!()
    }

    /// Takes the result of [`OrderAction::ReadRecord`].
    pub fn on_record(
        &mut self,
        _now: Duration,
        _engine: &InstanceId,
        _outcome: ReadOutcome<OrderRecord>,
    ) {
        todo!()
    }

    /// Takes the result of [`OrderAction::WriteRecord`].
    pub fn on_write(&mut self, _now: Duration, _engine: &InstanceId, _outcome: WriteOutcome) {
        todo!()
    }

    /// Takes the result of [`OrderAction::Send`].
    pub fn on_sent(&mut self, _now: Duration, _engine: &InstanceId, _outcome: SendOutcome) {
        todo!()
    }

    /// Takes a report of an engine.
    pub fn on_report(&mut self, _now: Duration, _engine: &InstanceId, _proof: EngineProof) {
        todo!()
    }

    /// Notes that the process (`sender`, `boot_id`) no longer exists.
    pub fn on_sender_gone(&mut self, _now: Duration, _sender: &InstanceId, _boot_id: BootId) {
        todo!()
    }

    /// Returns the state of the newest request to `engine`.
    pub fn progress(&self, _engine: &InstanceId) -> OrderProgress {
        todo!()
    }

    /// Forgets engines that `keep` does not name.
    pub fn retain(&mut self, _keep: impl Fn(&InstanceId) -> bool) {
        todo!()
    }
}
