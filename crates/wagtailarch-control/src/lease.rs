//! The lease of a zone.

use std::time::Duration;

use wagtailarch_types::{BootId, FencingNumber, InstanceId, ObjectVersion};
use wagtailarch_wire::records::LeaseRecord;

use crate::{ReadOutcome, WriteOutcome};

/// Identity and times of a lease contender.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    /// This instance.
    pub instance: InstanceId,
    /// Start of this process.
    pub boot_id: BootId,
    /// Time for which a renewal holds.
    pub term: Duration,
    /// Time between renewals and between reads of another holder's lease.
    pub beat_every: Duration,
    /// Time beyond the term that others wait before they take the lease.
    pub margin: Duration,
    /// Time before the end of the term at which the holder stops giving orders.
    pub stop_before: Duration,
}

impl LeaseConfig {
    /// Returns the times of the design for `instance`.
    pub fn new(instance: InstanceId, boot_id: BootId) -> Self {
        Self {
            instance,
            boot_id,
            term: Duration::from_millis(5_000),
            beat_every: Duration::from_millis(1_000),
            margin: Duration::from_millis(1_000),
            stop_before: Duration::from_millis(500),
        }
    }
}

/// Platform call that the lease needs; each gets exactly one result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease object and pass the result to [`Lease::on_read`].
    Read,
    /// Write the lease object and pass the result to [`Lease::on_write`].
    Write {
        /// New value.
        record: LeaseRecord,
        /// Version that the object must have; `None` if it must not exist.
        expect: Option<ObjectVersion>,
    },
}

/// Permission to give orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// Fencing number of the orders.
    pub number: FencingNumber,
    /// Time left until the holder must stop giving orders.
    pub remaining: Duration,
}

/// Contender for the lease of one zone.
#[derive(Debug)]
pub struct Lease {
    config: LeaseConfig,
}

impl Lease {
    /// Returns a contender that knows nothing of the lease.
    pub fn new(config: LeaseConfig) -> Self {
        Self { config }
    }

    /// Returns the platform call that is due at `now`, if any.
    pub fn tick(&mut self, _now: Duration) -> Option<LeaseAction> {
        todo!("{:?}", self.config)
    }

    /// Takes the result of [`LeaseAction::Read`].
    pub fn on_read(&mut self, _now: Duration, _outcome: ReadOutcome<LeaseRecord>) {
        todo!()
    }

    /// Takes the result of [`LeaseAction::Write`].
    pub fn on_write(&mut self, _now: Duration, _outcome: WriteOutcome) {
        todo!()
    }

    /// Gives the lease up at the next tick and does not take it again.
    pub fn resign(&mut self) {
        todo!()
    }

    /// Returns the permission to give orders at `now`.
    pub fn authority(&self, _now: Duration) -> Option<Authority> {
        todo!()
    }
}
