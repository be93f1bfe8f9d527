//! The order ledger of a zone.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use wagtailarch_types::{BootId, Generation, InstanceId, Nonce, ObjectVersion};
use wagtailarch_wire::engine::{Order, OrderKind};
use wagtailarch_wire::records::OrderRecord;

use crate::ledger_slot::{Identity, Slot};
use crate::{Authority, ReadOutcome, WriteOutcome};

/// Greatest number of engines of one zone; requests for more are dropped.
const MAX_ENGINES: usize = 1_024;
/// Greatest number of gone processes remembered; the oldest is forgotten first.
const MAX_GONE: usize = 1_024;

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
pub struct OrderReport {
    /// Start of the engine's process.
    pub boot_id: BootId,
    /// Nonce of the last order that took effect.
    pub last_order_nonce: Option<Nonce>,
    /// Whether the engine is carrying out an order.
    pub changing: bool,
    /// Time at which the report was asked for.
    pub requested_at: Duration,
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
///
/// Every order is recorded by a conditional update before it is sent, and the record of an order
/// that may still take effect is replaced only in the three cases of section 9 of the design. So
/// the chain of versions of `order/<engine>` contains every order ever sent, in order.
#[derive(Debug)]
pub struct OrderLedger {
    identity: Identity,
    rng: ChaCha8Rng,
    /// At most `MAX_ENGINES`.
    slots: IndexMap<InstanceId, Slot>,
    /// Processes that no longer exist and when that was seen; at most `MAX_GONE`.
    gone: IndexMap<(InstanceId, BootId), Duration>,
}

impl OrderLedger {
    /// Returns an empty ledger of this process; nonces derive from `seed`.
    pub fn new(instance: InstanceId, boot_id: BootId, seed: u64) -> Self {
        Self {
            identity: Identity { instance, boot_id },
            rng: ChaCha8Rng::seed_from_u64(seed),
            slots: IndexMap::new(),
            gone: IndexMap::new(),
        }
    }

    /// Asks for an order; it replaces a request that was not sent yet. A request equal to the
    /// one in progress changes nothing.
    pub fn request(&mut self, engine: &InstanceId, request: OrderRequest) {
        if self.slots.len() >= MAX_ENGINES && !self.slots.contains_key(engine) {
            return;
        }
        let slot = self.slots.entry(engine.clone()).or_default();
        slot.request(request);
    }

    /// Drops a request that was not sent yet.
    pub fn cancel(&mut self, engine: &InstanceId) {
        if let Some(slot) = self.slots.get_mut(engine) {
            slot.cancel();
        }
    }

    /// Returns the calls that are due.
    ///
    /// Without authority no order is recorded or sent, and requests that were not recorded are
    /// dropped. Own records are still settled, so that they do not block the next holder.
    pub fn poll(&mut self, now: Duration, authority: Option<Authority>) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        for (engine, slot) in &mut self.slots {
            let nonce = self.rng.next_u64();
            let gone = |sender: &InstanceId, boot_id| {
                let key = (sender.clone(), boot_id);
                self.gone.get(&key).copied()
            };
            if let Some(action) = slot.poll(now, engine, &self.identity, authority, nonce, gone) {
                actions.push(action);
            }
        }
        actions
    }

    /// Takes the result of [`OrderAction::ReadRecord`].
    pub fn on_record(
        &mut self,
        now: Duration,
        engine: &InstanceId,
        outcome: ReadOutcome<OrderRecord>,
    ) {
        if let Some(slot) = self.slots.get_mut(engine) {
            slot.on_record(now, outcome);
        }
    }

    /// Takes the result of [`OrderAction::WriteRecord`].
    pub fn on_write(&mut self, now: Duration, engine: &InstanceId, outcome: WriteOutcome) {
        if let Some(slot) = self.slots.get_mut(engine) {
            slot.on_write(now, outcome);
        }
    }

    /// Takes the result of [`OrderAction::Send`].
    pub fn on_sent(&mut self, now: Duration, engine: &InstanceId, outcome: SendOutcome) {
        if let Some(slot) = self.slots.get_mut(engine) {
            slot.on_sent(now, outcome);
        }
    }

    /// Takes a report of an engine.
    pub fn on_report(&mut self, engine: &InstanceId, proof: OrderReport) {
        if let Some(slot) = self.slots.get_mut(engine) {
            slot.on_report(proof);
        }
    }

    /// Notes that the process (`sender`, `boot_id`) no longer exists.
    ///
    /// The caller must be sure: the platform's list no longer names the sender, or a process of
    /// the same name with a later boot id was heard.
    pub fn on_sender_removed(&mut self, now: Duration, sender: &InstanceId, boot_id: BootId) {
        if self.gone.len() >= MAX_GONE {
            self.gone.shift_remove_index(0);
        }
        self.gone.entry((sender.clone(), boot_id)).or_insert(now);
    }

    /// Returns the senders of foreign orders that may still take effect, so that the caller can
    /// look whether they are gone.
    pub fn blocking_senders(&self) -> Vec<(InstanceId, BootId)> {
        let mut senders: Vec<_> = self
            .slots
            .values()
            .filter_map(|slot| slot.blocking_sender(&self.identity))
            .collect();
        senders.sort();
        senders.dedup();
        senders
    }

    /// Asks for the record of an engine whose orders this process does not know.
    pub fn schedule_read(&mut self, engine: &InstanceId) {
        if self.slots.len() < MAX_ENGINES || self.slots.contains_key(engine) {
            self.slots
                .entry(engine.clone())
                .or_default()
                .schedule_read();
        }
    }

    /// Tells whether the order with `nonce` is the last recorded one and a drain.
    pub fn is_drain(&self, engine: &InstanceId, nonce: Nonce) -> bool {
        let slot = self.slots.get(engine);
        slot.is_some_and(|slot| slot.is_drain(nonce))
    }

    /// Returns the state of the newest request to `engine`.
    pub fn progress(&self, engine: &InstanceId) -> OrderProgress {
        self.slots
            .get(engine)
            .map_or(OrderProgress::Idle, Slot::progress)
    }

    /// Forgets engines that `keep` does not name and that have no order in progress.
    pub fn retain(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        self.slots
            .retain(|engine, slot| keep(engine) || !slot.is_settled());
    }
}
