//! The lease of a zone: the instance that holds it gives the orders to the zone's engines.

use std::time::Duration;

use statig::blocking::{IntoStateMachineExt as _, StateMachine};
use statig::prelude::*;
use wagtailarch_types::{BootId, FencingNumber, InstanceId, ObjectVersion};
use wagtailarch_wire::records::LeaseRecord;

use crate::{ReadOutcome, WriteOutcome};

/// Delay after a platform call that failed or whose outcome is unknown. It prevents a busy loop
/// during an outage.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Identity and timing of a lease contender.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    /// This instance.
    pub instance: InstanceId,
    /// Start of this process.
    pub boot_id: BootId,
    /// Time for which a renewal is valid.
    pub term: Duration,
    /// Interval between renewals, and between reads of another holder's lease.
    pub heartbeat_interval: Duration,
    /// Time beyond the term that other instances wait before they acquire the lease.
    pub takeover_margin: Duration,
    /// Time before the end of the term at which the holder stops giving orders.
    pub stop_margin: Duration,
}

impl LeaseConfig {
    /// Creates the configuration of `instance` with the timing of the design.
    pub fn new(instance: InstanceId, boot_id: BootId) -> Self {
        Self {
            instance,
            boot_id,
            term: Duration::from_millis(5_000),
            heartbeat_interval: Duration::from_millis(1_000),
            takeover_margin: Duration::from_millis(1_000),
            stop_margin: Duration::from_millis(500),
        }
    }
}

/// Platform call that the lease needs; each must get exactly one result.
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

/// The right of the lease holder to send orders to engines, which ends before the lease does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// Fencing number of the orders.
    pub fencing_number: FencingNumber,
    /// Time left until the holder must stop sending orders.
    pub remaining: Duration,
}

/// Contender for the lease of one zone.
///
/// The holder counts the term from before it sent the renewal. The others count it from when they
/// read the changed record, and wait `takeover_margin` longer. So two instances can have authority
/// at the same time only if one of them does not check its clock, that is, while it is paused.
pub struct Lease {
    machine: StateMachine<Contender>,
}

impl std::fmt::Debug for Lease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Lease")
            .field("contender", self.machine.inner())
            .field("state", self.machine.state())
            .finish()
    }
}

impl Lease {
    /// Creates a contender that has not read the lease yet.
    pub fn new(config: LeaseConfig) -> Self {
        let contender = Contender {
            config,
            pending: None,
            last_write: None,
            heartbeat: 0,
            next_at: Duration::ZERO,
            resigning: false,
        };
        Self {
            machine: contender.state_machine(),
        }
    }

    /// Returns the platform call that is due at `now`, if any.
    pub fn tick(&mut self, now: Duration) -> Option<LeaseAction> {
        self.dispatch(Event::Tick(now))
    }

    /// Handles the result of [`LeaseAction::Read`].
    pub fn on_read(&mut self, now: Duration, outcome: ReadOutcome<LeaseRecord>) {
        self.dispatch(Event::Read(now, outcome));
    }

    /// Handles the result of [`LeaseAction::Write`].
    pub fn on_write(&mut self, now: Duration, outcome: WriteOutcome) {
        self.dispatch(Event::Write(now, outcome));
    }

    /// Releases the lease at the next tick and never acquires it again.
    pub fn resign(&mut self) {
        self.dispatch(Event::Resign);
    }

    /// Returns the right to send orders at `now`, if this instance has it.
    pub fn authority(&self, now: Duration) -> Option<Authority> {
        let State::Holding { held } = self.machine.state() else {
            return None;
        };
        let config = &self.machine.inner().config;
        let until = held.valid_from? + config.term.checked_sub(config.stop_margin)?;
        let remaining = until.checked_sub(now).filter(|left| !left.is_zero())?;
        Some(Authority {
            fencing_number: held.record.number,
            remaining,
        })
    }

    fn dispatch(&mut self, event: Event) -> Option<LeaseAction> {
        let mut action = None;
        self.machine.handle_with_context(&event, &mut action);
        action
    }
}

/// Input of the state machine.
#[derive(Debug)]
enum Event {
    Tick(Duration),
    Read(Duration, ReadOutcome<LeaseRecord>),
    Write(Duration, WriteOutcome),
    Resign,
}

/// Platform call whose result is pending.
#[derive(Debug, Clone)]
enum Pending {
    Read,
    Write(SentWrite),
}

/// A write and a time just before it was sent.
#[derive(Debug, Clone)]
struct SentWrite {
    record: LeaseRecord,
    sent_at: Duration,
}

/// Result of a contender's last read of the lease object.
#[derive(Debug, Clone)]
struct Observed {
    /// Record with the version of its object; `None` if there was no object.
    found: Option<(LeaseRecord, ObjectVersion)>,
    /// When the record was first read with this content.
    changed_at: Duration,
}

/// The lease as its holder last read or wrote it.
#[derive(Debug, Clone)]
struct Held {
    record: LeaseRecord,
    version: ObjectVersion,
    /// Start of the term; `None` if this process does not know when the record was written, and
    /// after resigning.
    valid_from: Option<Duration>,
    /// Whether the object must be read before the next renewal.
    read_first: bool,
}

/// Shared storage of the state machine.
#[derive(Debug)]
struct Contender {
    config: LeaseConfig,
    /// At most one call is pending.
    pending: Option<Pending>,
    /// Last write whose success was not reported, to recognise its record when it is read.
    last_write: Option<SentWrite>,
    /// Heartbeat of the last write. Each write has a different one, so that a record that is read
    /// can be matched to its write.
    heartbeat: u64,
    /// No call is made before this time.
    next_at: Duration,
    resigning: bool,
}

#[state_machine(
    initial = "State::following(None)",
    state(derive(Debug)),
    visibility = "pub(self)"
)]
impl Contender {
    /// Another instance holds the lease, or none does.
    #[state]
    fn following(
        &mut self,
        observed: &mut Option<Observed>,
        event: &Event,
        context: &mut Option<LeaseAction>,
    ) -> Outcome<State> {
        match event {
            Event::Tick(now) => {
                *context = self.contend(*now, observed.as_ref());
                Handled
            }
            Event::Read(now, outcome) => self.on_read_following(*now, observed, outcome),
            Event::Write(now, outcome) => {
                let Some(Pending::Write(write)) = self.pending.take() else {
                    return Handled;
                };
                if let WriteOutcome::Written(version) = outcome {
                    self.next_at = write.sent_at + self.config.heartbeat_interval;
                    return Transition(State::holding(Held {
                        valid_from: Some(write.sent_at),
                        record: write.record,
                        version: *version,
                        read_first: false,
                    }));
                }
                self.last_write = Some(write);
                self.next_at = *now + RETRY_AFTER;
                // The object is read before the next attempt, since its version may have changed.
                // If the write took effect but its response was lost, the read finds an own record.
                if *outcome != WriteOutcome::Failed {
                    *observed = None;
                }
                Handled
            }
            Event::Resign => {
                self.resigning = true;
                Handled
            }
        }
    }

    /// The last known record was written by this instance.
    #[state]
    fn holding(
        &mut self,
        held: &mut Held,
        event: &Event,
        context: &mut Option<LeaseAction>,
    ) -> Outcome<State> {
        match event {
            Event::Tick(now) => {
                *context = self.renew(*now, held);
                Handled
            }
            Event::Read(now, outcome) => self.on_read_holding(*now, held, outcome),
            Event::Write(now, outcome) => self.on_write_holding(*now, held, *outcome),
            Event::Resign => {
                self.resigning = true;
                self.next_at = Duration::ZERO;
                held.valid_from = None;
                Handled
            }
        }
    }
}

impl Contender {
    /// Returns the call that is due while this instance does not hold the lease: a read, or a write
    /// that acquires the lease once its term and the margin have passed.
    fn contend(&mut self, now: Duration, observed: Option<&Observed>) -> Option<LeaseAction> {
        if self.pending.is_some() || self.resigning {
            return None;
        }
        let Some(observed) = observed else {
            return self.read(now);
        };
        let Some((record, version)) = &observed.found else {
            return (now >= self.next_at).then(|| self.write(now, 1, self.config.term, None))?;
        };
        let timeout = Duration::from_millis(record.term_ms) + self.config.takeover_margin;
        if now < observed.changed_at + timeout {
            return self.read(now);
        }
        if now < self.next_at {
            return None;
        }
        self.write(now, record.number + 1, self.config.term, Some(*version))
    }

    fn on_read_following(
        &mut self,
        now: Duration,
        observed: &mut Option<Observed>,
        outcome: &ReadOutcome<LeaseRecord>,
    ) -> Outcome<State> {
        self.pending = None;
        let found = match outcome {
            ReadOutcome::Failed => return Handled,
            ReadOutcome::Absent => None,
            ReadOutcome::Found(record, version) => Some((record.clone(), *version)),
        };
        if let Some((record, version)) = &found
            && self.is_own(record)
            && !self.resigning
        {
            self.next_at = now;
            return Transition(State::holding(Held {
                valid_from: self.term_start(record),
                record: record.clone(),
                version: *version,
                read_first: false,
            }));
        }
        let unchanged = observed
            .as_ref()
            .is_some_and(|observed| observed.found == found);
        if !unchanged {
            *observed = Some(Observed {
                found,
                changed_at: now,
            });
        }
        Handled
    }

    /// Returns the call that is due while this instance holds the lease: a renewal, or the release
    /// after resigning.
    fn renew(&mut self, now: Duration, held: &mut Held) -> Option<LeaseAction> {
        if self.pending.is_some() || now < self.next_at {
            return None;
        }
        if held.read_first {
            return self.read(now);
        }
        if self.resigning {
            if held.record.term_ms == 0 {
                return None;
            }
            return self.write(now, held.record.number, Duration::ZERO, Some(held.version));
        }
        let number = held.record.number;
        self.write(now, number, self.config.term, Some(held.version))
    }

    fn on_read_holding(
        &mut self,
        now: Duration,
        held: &mut Held,
        outcome: &ReadOutcome<LeaseRecord>,
    ) -> Outcome<State> {
        self.pending = None;
        let found = match outcome {
            ReadOutcome::Failed => {
                self.next_at = now + RETRY_AFTER;
                return Handled;
            }
            ReadOutcome::Absent => None,
            ReadOutcome::Found(record, version) => Some((record.clone(), *version)),
        };
        match found {
            Some((record, version)) if self.is_own(&record) => {
                if let Some(start) = self.term_start(&record) {
                    held.valid_from = held.valid_from.max(Some(start));
                }
                if self.resigning {
                    held.valid_from = None;
                }
                held.record = record;
                held.version = version;
                held.read_first = false;
                Handled
            }
            found => Transition(State::following(Some(Observed {
                found,
                changed_at: now,
            }))),
        }
    }

    fn on_write_holding(
        &mut self,
        now: Duration,
        held: &mut Held,
        outcome: WriteOutcome,
    ) -> Outcome<State> {
        let Some(Pending::Write(write)) = self.pending.take() else {
            return Handled;
        };
        match outcome {
            WriteOutcome::Written(version) => {
                if !self.resigning {
                    held.valid_from = Some(write.sent_at);
                }
                held.record = write.record;
                held.version = version;
                self.next_at = write.sent_at + self.config.heartbeat_interval;
            }
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                self.last_write = Some(write);
                held.read_first = true;
                self.next_at = now;
            }
            WriteOutcome::Failed => self.next_at = now + RETRY_AFTER,
        }
        Handled
    }

    fn read(&mut self, now: Duration) -> Option<LeaseAction> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + self.config.heartbeat_interval;
        self.pending = Some(Pending::Read);
        Some(LeaseAction::Read)
    }

    fn write(
        &mut self,
        now: Duration,
        number: u64,
        term: Duration,
        expect: Option<ObjectVersion>,
    ) -> Option<LeaseAction> {
        self.heartbeat += 1;
        let record = LeaseRecord {
            holder: self.config.instance.clone(),
            boot_id: self.config.boot_id,
            number,
            term_ms: term.as_millis() as u64,
            heartbeat: self.heartbeat,
        };
        self.pending = Some(Pending::Write(SentWrite {
            record: record.clone(),
            sent_at: now,
        }));
        Some(LeaseAction::Write { record, expect })
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.config.instance && record.boot_id == self.config.boot_id
    }

    /// Returns the start of the term of an own record that was read back. It is known only for
    /// `last_write`; an earlier write that took effect late gives no authority.
    fn term_start(&self, record: &LeaseRecord) -> Option<Duration> {
        let write = self.last_write.as_ref()?;
        (write.record == *record && record.term_ms > 0).then_some(write.sent_at)
    }
}
