//! Checks the guarantees against the events in the modelled zone.

use std::collections::HashMap;
use std::time::Duration;

use wagtailarch_control::Authority;
use wagtailarch_types::{BootId, FencingNumber, Generation, Nonce};

/// Counts of events over a whole run, which show that the checks were not vacuous.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub steps: u64,
    pub sent: u64,
    pub effects: u64,
    pub assigns: u64,
    pub stale_refused: u64,
    pub late_orders: u64,
    pub terms: u64,
}

impl Tally {
    pub fn add(&mut self, other: &Self) {
        self.steps += other.steps;
        self.sent += other.sent;
        self.effects += other.effects;
        self.assigns += other.assigns;
        self.stale_refused += other.stale_refused;
        self.late_orders += other.late_orders;
        self.terms += other.terms;
    }
}

/// Checks G1, G2 (for orders), G3, G9 (monotonicity) and the lease.
#[derive(Debug, Default)]
pub struct Oracle {
    pub tally: Tally,
    /// Highest fencing number of an order that took effect, by engine.
    effective: HashMap<usize, FencingNumber>,
    /// Orders that were sent and can still reach an engine that does not check fencing numbers, by
    /// engine.
    unresolved: HashMap<usize, Vec<Nonce>>,
    /// Nonces and fencing numbers of all orders that were sent.
    sent: HashMap<Nonce, FencingNumber>,
    /// Highest generation by observer and boot id.
    generations: HashMap<(String, BootId), Generation>,
    highest_term: FencingNumber,
}

impl Oracle {
    /// Handles the sending of an order.
    pub fn on_sent(
        &mut self,
        engine: usize,
        checks_fencing: bool,
        nonce: Nonce,
        number: FencingNumber,
    ) {
        let previous = self.sent.insert(nonce, number);
        assert!(previous.is_none(), "order {nonce:x} is sent twice");
        self.tally.sent += 1;
        if checks_fencing {
            return;
        }
        let unresolved = self.unresolved.entry(engine).or_default();
        unresolved.push(nonce);
        assert!(
            unresolved.len() == 1,
            "G1: two unresolved orders to engine {engine}, which does not check: {unresolved:x?}"
        );
    }

    /// Handles an order that took effect, was refused, or can no longer reach the engine.
    pub fn on_resolved(&mut self, engine: usize, nonce: Nonce) {
        if let Some(unresolved) = self.unresolved.get_mut(&engine) {
            unresolved.retain(|pending| *pending != nonce);
        }
    }

    /// Handles the start of the execution of an order.
    pub fn on_effect(&mut self, engine: usize, number: FencingNumber, conflicts: bool) {
        self.tally.effects += 1;
        let highest = self.effective.entry(engine).or_default();
        assert!(
            number >= *highest,
            "G3: order of number {number} took effect on engine {engine} after number {highest}"
        );
        *highest = number;
        assert!(
            !conflicts,
            "G1: engine {engine} got an assignment while it executed another one"
        );
    }

    /// Handles the arrival of an assign order that the engine executes.
    pub fn on_assign(&mut self, engine: usize, running: u32) {
        self.tally.assigns += 1;
        assert!(
            running == 0,
            "G2: assign order reached engine {engine} with {running} running requests"
        );
    }

    /// Handles the refusal of an order with an old fencing number.
    pub fn on_stale_refused(&mut self) {
        self.tally.stale_refused += 1;
    }

    /// Checks the authorities that the running instances hold in their local view.
    pub fn on_authorities(&mut self, now: Duration, held: &[(usize, Authority)]) {
        assert!(
            held.len() <= 1,
            "lease: overlapping authority at {now:?}: {held:?}"
        );
        for (_, authority) in held {
            if authority.fencing_number > self.highest_term {
                self.highest_term = authority.fencing_number;
                self.tally.terms += 1;
            }
            assert!(
                authority.fencing_number == self.highest_term,
                "lease: number decreased to {} from {}",
                authority.fencing_number,
                self.highest_term
            );
        }
    }

    /// Checks the generation that an observer has in force.
    pub fn on_generation(&mut self, observer: String, boot_id: BootId, generation: Generation) {
        let last = self.generations.entry((observer, boot_id)).or_default();
        assert!(
            generation >= *last,
            "G9: generation decreased from {last} to {generation}"
        );
        *last = generation;
    }

    /// Checks a zone status according to which all listed instances have `reported` in force.
    pub fn on_status(&self, reported: Generation, in_force: &[Generation]) {
        let lowest = in_force.iter().copied().min().unwrap_or(reported);
        assert!(
            reported <= lowest,
            "G9: status says {reported} is in force everywhere, but {lowest} is"
        );
    }
}
