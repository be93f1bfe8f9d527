//! The order ledger of a zone, which records and sends the orders to its engines.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use wagtailarch_types::{BootId, Generation, InstanceId, Nonce, ObjectVersion};
use wagtailarch_wire::engine::{Order, OrderKind};
use wagtailarch_wire::records::OrderRecord;

use crate::engine_orders::{EngineOrders, Identity};
use crate::{Authority, ReadOutcome, WriteOutcome};

/// Maximum number of engines of one zone; requests for more are dropped.
const MAX_ENGINES: usize = 1_024;
/// Maximum number of removed processes remembered; the oldest is evicted first.
const MAX_REMOVED: usize = 1_024;

/// Request of the zone's rollout to give an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRequest {
    /// Configuration generation from which the order follows.
    pub generation: Generation,
    /// What the engine is ordered to do.
    pub kind: OrderKind,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// Call that the ledger needs; each must get exactly one result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Read `order/<engine>` and pass the result to [`OrderLedger::on_read`].
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
    /// Send the order to the engine once, on a new connection, and pass the result to
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

/// The part of an engine's report that concerns orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderReport {
    /// Start of the engine's process.
    pub boot_id: BootId,
    /// Nonce of the last order that took effect.
    pub last_order_nonce: Option<Nonce>,
    /// Whether the engine is executing an order.
    pub changing: bool,
    /// When the report was requested.
    pub requested_at: Duration,
}

/// State of the newest request to one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderProgress {
    /// Nothing was requested since this ledger was created, or the request was cancelled.
    Idle,
    /// The request is not recorded or not sent yet.
    Pending,
    /// An earlier order blocks the request.
    Blocked,
    /// The order is being sent or was sent, and no report confirms its effect yet.
    Sent,
    /// A report of the engine confirms that the order took effect.
    Effective,
    /// The order never took effect; the request may be repeated.
    Failed,
}

/// Records and sends orders for the engines of one zone.
///
/// Every order is recorded by a conditional update before it is sent, and the record of an order
/// that may still take effect is replaced only in the three cases of section 9 of the design. The
/// sequence of versions of `order/<engine>` therefore contains every order ever sent, in order.
#[derive(Debug)]
pub struct OrderLedger {
    identity: Identity,
    rng: ChaCha8Rng,
    /// At most `MAX_ENGINES`.
    engines: IndexMap<InstanceId, EngineOrders>,
    /// Processes that no longer exist and when they were removed; at most `MAX_REMOVED`.
    removed_senders: IndexMap<(InstanceId, BootId), Duration>,
}

impl OrderLedger {
    /// Creates an empty ledger of this process. Nonces are derived from `seed`.
    pub fn new(instance: InstanceId, boot_id: BootId, seed: u64) -> Self {
        Self {
            identity: Identity { instance, boot_id },
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: IndexMap::new(),
            removed_senders: IndexMap::new(),
        }
    }

    /// Requests an order. It replaces a request that was not sent yet; a request equal to the one
    /// in progress changes nothing.
    pub fn request(&mut self, engine: &InstanceId, request: OrderRequest) {
        if self.engines.len() >= MAX_ENGINES && !self.engines.contains_key(engine) {
            return;
        }
        let orders = self.engines.entry(engine.clone()).or_default();
        orders.request(request);
    }

    /// Cancels a request. An order that was recorded or sent for it may still take effect.
    pub fn cancel(&mut self, engine: &InstanceId) {
        if let Some(orders) = self.engines.get_mut(engine) {
            orders.cancel();
        }
    }

    /// Returns the calls that are due.
    ///
    /// Without the right to send orders (`authority`) no order is recorded or sent, and all
    /// requests are cancelled. Own records are still settled, so that they do not block the next
    /// lease holder.
    pub fn poll(&mut self, now: Duration, authority: Option<Authority>) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        for (engine, orders) in &mut self.engines {
            let nonce = self.rng.next_u64();
            let removed_at = |sender: &InstanceId, boot_id| {
                let key = (sender.clone(), boot_id);
                self.removed_senders.get(&key).copied()
            };
            if let Some(action) =
                orders.poll(now, engine, &self.identity, authority, nonce, removed_at)
            {
                actions.push(action);
            }
        }
        actions
    }

    /// Handles the result of [`OrderAction::ReadRecord`].
    pub fn on_read(
        &mut self,
        now: Duration,
        engine: &InstanceId,
        outcome: ReadOutcome<OrderRecord>,
    ) {
        if let Some(orders) = self.engines.get_mut(engine) {
            orders.on_read(now, outcome);
        }
    }

    /// Handles the result of [`OrderAction::WriteRecord`].
    pub fn on_write(&mut self, now: Duration, engine: &InstanceId, outcome: WriteOutcome) {
        if let Some(orders) = self.engines.get_mut(engine) {
            orders.on_write(now, outcome);
        }
    }

    /// Handles the result of [`OrderAction::Send`].
    pub fn on_sent(&mut self, now: Duration, engine: &InstanceId, outcome: SendOutcome) {
        if let Some(orders) = self.engines.get_mut(engine) {
            orders.on_sent(now, outcome);
        }
    }

    /// Records a report of an engine.
    pub fn on_report(&mut self, engine: &InstanceId, report: OrderReport) {
        if let Some(orders) = self.engines.get_mut(engine) {
            orders.on_report(report);
        }
    }

    /// Records that the process (`sender`, `boot_id`) no longer exists.
    ///
    /// The caller must be certain of it: either the platform's list no longer contains the sender,
    /// or a message of a process with the same name and a later boot id was received.
    pub fn on_sender_removed(&mut self, now: Duration, sender: &InstanceId, boot_id: BootId) {
        if self.removed_senders.len() >= MAX_REMOVED {
            self.removed_senders.shift_remove_index(0);
        }
        self.removed_senders
            .entry((sender.clone(), boot_id))
            .or_insert(now);
    }

    /// Returns the senders of orders of other processes that may still take effect, so that the
    /// caller can check whether these processes still exist.
    pub fn blocking_senders(&self) -> Vec<(InstanceId, BootId)> {
        let mut senders: Vec<_> = self
            .engines
            .values()
            .filter_map(|orders| orders.blocking_sender(&self.identity))
            .collect();
        senders.sort();
        senders.dedup();
        senders
    }

    /// Schedules a read of the record of an engine if this process has not read it.
    pub fn schedule_read(&mut self, engine: &InstanceId) {
        if self.engines.len() < MAX_ENGINES || self.engines.contains_key(engine) {
            self.engines
                .entry(engine.clone())
                .or_default()
                .schedule_read();
        }
    }

    /// Returns whether the last recorded order has this `nonce` and is a drain.
    pub fn is_drain(&self, engine: &InstanceId, nonce: Nonce) -> bool {
        let orders = self.engines.get(engine);
        orders.is_some_and(|orders| orders.is_drain(nonce))
    }

    /// Returns the state of the newest request to `engine`.
    pub fn progress(&self, engine: &InstanceId) -> OrderProgress {
        self.engines
            .get(engine)
            .map_or(OrderProgress::Idle, EngineOrders::progress)
    }

    /// Removes the engines for which `keep` returns false and that have no order in progress.
    pub fn retain(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        self.engines
            .retain(|engine, orders| keep(engine) || !orders.is_settled());
    }
}
