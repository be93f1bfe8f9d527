//! The orders to one engine, as one process knows them.

use std::time::Duration;

use wagtailarch_types::{BootId, InstanceId, Nonce, ObjectVersion};
use wagtailarch_wire::engine::OrderKind;
use wagtailarch_wire::records::{OrderRecord, OrderState};

use crate::{
    Authority, OrderAction, OrderProgress, OrderReport, OrderRequest, ReadOutcome, SendOutcome,
    WriteOutcome,
};

/// Time that must pass after the sender is gone, or its connection is closed, until nothing of an
/// order is left in socket buffers; twice the TCP user timeout of 5 s.
const BUFFERS_EMPTY_AFTER: Duration = Duration::from_secs(10);
/// Authority that must remain for an order to be recorded or sent. It ends 500 ms before the
/// term, so that 1,000 ms of the term are left.
const NEEDED_AUTHORITY: Duration = Duration::from_millis(500);
/// Time after a doubtful write at which the record is read a second time. A write that takes
/// effect later still cannot do harm; it only blocks the engine until its sender is gone.
const RECHECK_AFTER: Duration = Duration::from_secs(10);
/// Wait after a failed platform call.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The process that owns a ledger.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) instance: InstanceId,
    pub(crate) boot_id: BootId,
}

impl Identity {
    fn sent(&self, record: &OrderRecord) -> bool {
        record.sender == self.instance && record.sender_boot_id == self.boot_id
    }
}

/// What is known of the record.
#[derive(Debug, Default)]
enum Known {
    #[default]
    Unread,
    Absent,
    Found(OrderRecord, ObjectVersion),
}

/// Call without a result so far.
#[derive(Debug)]
enum Busy {
    Reading,
    /// Records an order, or settles the last one if the flag is false.
    Writing(OrderRecord, bool),
    Sending(Nonce),
}

/// The last order that this process passed on for sending.
#[derive(Debug, Clone, Copy)]
struct Sent {
    nonce: Nonce,
    outcome: SendOutcome,
    /// When its connection was closed.
    closed_at: Duration,
}

/// What may happen with the last recorded order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// Nothing is recorded, or the last order is settled.
    Settled,
    /// The order took effect.
    Effective,
    /// The order never takes effect.
    Void,
    /// The engine refuses the order once it has seen a newer one.
    Fenced,
    /// This process recorded the order and has not sent it.
    MaySend,
    /// The order may take effect at any time.
    Wait,
}

/// The orders to one engine.
#[derive(Debug, Default)]
pub(crate) struct Slot {
    /// Request that is not recorded yet.
    wanted: Option<OrderRequest>,
    /// Request that was recorded last, with its nonce.
    current: Option<(Nonce, OrderRequest)>,
    known: Known,
    /// At most one call is without a result.
    busy: Option<Busy>,
    sent: Option<Sent>,
    proof: Option<OrderReport>,
    /// Whether the record must be read, for instance since a write of this process may have taken
    /// effect without its knowledge.
    in_doubt: bool,
    /// When the record is read once more, since a doubtful write may take effect after the first
    /// read.
    recheck_at: Option<Duration>,
    /// No call is made before this time.
    next_at: Duration,
    progress: Option<OrderProgress>,
    /// Lease number at the last poll.
    number: Option<u64>,
}

impl Slot {
    pub(crate) fn request(&mut self, request: OrderRequest) {
        let in_progress = matches!(
            self.progress,
            Some(OrderProgress::Pending | OrderProgress::Sent)
        );
        let same = |current: &(Nonce, OrderRequest)| current.1 == request;
        if in_progress && self.wanted.is_none() && self.current.as_ref().is_some_and(same) {
            return;
        }
        self.wanted = Some(request);
        self.progress = Some(OrderProgress::Pending);
    }

    pub(crate) fn cancel(&mut self) {
        self.wanted = None;
        self.current = None;
        self.progress = None;
    }

    pub(crate) fn progress(&self) -> OrderProgress {
        self.progress.unwrap_or(OrderProgress::Idle)
    }

    /// Reads the record once if it is not known.
    pub(crate) fn schedule_read(&mut self) {
        if matches!(self.known, Known::Unread) {
            self.in_doubt = true;
        }
    }

    pub(crate) fn is_drain(&self, nonce: Nonce) -> bool {
        matches!(&self.known, Known::Found(record, _)
            if record.nonce == nonce && record.desired == OrderKind::Drain)
    }

    /// Tells whether this process owes nothing to the record.
    pub(crate) fn is_settled(&self) -> bool {
        let recorded =
            matches!(&self.known, Known::Found(record, _) if record.state == OrderState::Recorded);
        self.busy.is_none() && !self.in_doubt && self.recheck_at.is_none() && !recorded
    }

    pub(crate) fn blocking_sender(&self, identity: &Identity) -> Option<(InstanceId, BootId)> {
        let Known::Found(record, _) = &self.known else {
            return None;
        };
        let blocks = record.state == OrderState::Recorded && !identity.sent(record);
        blocks.then(|| (record.sender.clone(), record.sender_boot_id))
    }

    pub(crate) fn poll(
        &mut self,
        now: Duration,
        engine: &InstanceId,
        identity: &Identity,
        authority: Option<Authority>,
        nonce: Nonce,
        gone: impl Fn(&InstanceId, BootId) -> Option<Duration>,
    ) -> Option<OrderAction> {
        self.note_authority(authority);
        if self.busy.is_some() || now < self.next_at {
            return None;
        }
        if self.recheck_at.take_if(|at| now >= *at).is_some() {
            self.known = Known::Unread;
            self.in_doubt = true;
        }
        let own = matches!(&self.known, Known::Found(record, _)
            if record.state == OrderState::Recorded && identity.sent(record));
        if self.wanted.is_none() && !own && !self.in_doubt {
            return None;
        }
        if matches!(self.known, Known::Unread) {
            self.busy = Some(Busy::Reading);
            return Some(OrderAction::ReadRecord {
                engine: engine.clone(),
            });
        }
        let able = authority.filter(|authority| authority.remaining >= NEEDED_AUTHORITY);
        match self.verdict(now, identity, authority, gone) {
            Verdict::Settled => self.record(engine, identity, able?, nonce),
            Verdict::Effective => self.settle(engine, identity, able, nonce, OrderState::Effective),
            Verdict::Void => self.settle(engine, identity, able, nonce, OrderState::Void),
            Verdict::Fenced => self.record(engine, identity, able?, nonce),
            Verdict::MaySend => self.send(now, engine, able?),
            Verdict::Wait => {
                if self.wanted.is_some() {
                    self.progress = Some(OrderProgress::Blocked);
                }
                None
            }
        }
    }

    pub(crate) fn on_record(&mut self, now: Duration, outcome: ReadOutcome<OrderRecord>) {
        if !matches!(self.busy, Some(Busy::Reading)) {
            return;
        }
        self.busy = None;
        match outcome {
            ReadOutcome::Found(record, version) => self.known = Known::Found(record, version),
            ReadOutcome::Absent => self.known = Known::Absent,
            ReadOutcome::Failed => {
                self.next_at = now + RETRY_AFTER;
                return;
            }
        }
        self.in_doubt = false;
    }

    pub(crate) fn on_write(&mut self, now: Duration, outcome: WriteOutcome) {
        let Some(Busy::Writing(record, is_order)) = self.busy.take() else {
            return;
        };
        match outcome {
            WriteOutcome::Written(version) => {
                if is_order {
                    self.take_current(&record);
                }
                self.known = Known::Found(record, version);
            }
            WriteOutcome::Conflict => self.known = Known::Unread,
            WriteOutcome::Unknown => {
                self.known = Known::Unread;
                self.in_doubt = true;
                self.recheck_at = Some(now + RECHECK_AFTER);
                self.next_at = now + RETRY_AFTER;
            }
            WriteOutcome::Failed => self.next_at = now + RETRY_AFTER,
        }
    }

    pub(crate) fn on_sent(&mut self, now: Duration, outcome: SendOutcome) {
        let Some(Busy::Sending(nonce)) = self.busy else {
            return;
        };
        self.busy = None;
        self.sent = Some(Sent {
            nonce,
            outcome,
            closed_at: now,
        });
    }

    pub(crate) fn on_report(&mut self, proof: OrderReport) {
        // Reports can arrive out of order; the one asked for last counts.
        if self
            .proof
            .is_none_or(|old| proof.requested_at >= old.requested_at)
        {
            self.proof = Some(proof);
        }
    }

    fn note_authority(&mut self, authority: Option<Authority>) {
        let Some(authority) = authority else {
            self.cancel();
            return;
        };
        if self.number != Some(authority.number) {
            self.number = Some(authority.number);
            // Another holder may have written the record in between.
            if self.busy.is_none() {
                self.known = Known::Unread;
            }
        }
    }

    fn verdict(
        &self,
        now: Duration,
        identity: &Identity,
        authority: Option<Authority>,
        gone: impl Fn(&InstanceId, BootId) -> Option<Duration>,
    ) -> Verdict {
        let Known::Found(record, _) = &self.known else {
            return Verdict::Settled;
        };
        if record.state != OrderState::Recorded {
            return Verdict::Settled;
        }
        if self.proof.and_then(|proof| proof.last_order_nonce) == Some(record.nonce) {
            return Verdict::Effective;
        }
        let fenced = authority.is_some_and(|authority| record.number < authority.number)
            && self
                .wanted
                .as_ref()
                .is_some_and(|wanted| wanted.checks_fencing);
        if identity.sent(record) {
            return self.own_verdict(record, authority, fenced);
        }
        if fenced {
            return Verdict::Fenced;
        }
        let Some(gone_at) = gone(&record.sender, record.sender_boot_id) else {
            return Verdict::Wait;
        };
        let empty_at = gone_at + BUFFERS_EMPTY_AFTER;
        if now >= empty_at && self.shows_no_change_since(empty_at) {
            return Verdict::Void;
        }
        Verdict::Wait
    }

    fn own_verdict(
        &self,
        record: &OrderRecord,
        authority: Option<Authority>,
        fenced: bool,
    ) -> Verdict {
        let Some(sent) = self.sent.filter(|sent| sent.nonce == record.nonce) else {
            let is_current = |(nonce, _): &(Nonce, OrderRequest)| *nonce == record.nonce;
            let in_term = authority.is_some_and(|authority| authority.number == record.number);
            let current = self.current.as_ref().is_some_and(is_current);
            return if in_term && current && self.wanted.is_none() {
                Verdict::MaySend
            } else {
                Verdict::Void
            };
        };
        match sent.outcome {
            SendOutcome::NotSent | SendOutcome::Refused => Verdict::Void,
            SendOutcome::Accepted | SendOutcome::Unknown => {
                if self.shows_no_change_since(sent.closed_at + BUFFERS_EMPTY_AFTER) {
                    Verdict::Void
                } else if fenced {
                    Verdict::Fenced
                } else {
                    Verdict::Wait
                }
            }
        }
    }

    /// Tells whether a report that was asked for after `time` shows no order in execution. With
    /// the nonce of the record missing from it, the order did not arrive.
    fn shows_no_change_since(&self, time: Duration) -> bool {
        self.proof
            .is_some_and(|proof| proof.requested_at >= time && !proof.changing)
    }

    /// Records the wanted order in place of the last one.
    fn record(
        &mut self,
        engine: &InstanceId,
        identity: &Identity,
        authority: Authority,
        nonce: Nonce,
    ) -> Option<OrderAction> {
        let wanted = self.wanted.as_ref()?;
        let expect = match &self.known {
            Known::Found(last, _) if last.number > authority.number => {
                // A later holder has recorded an order; this process has lost the lease.
                self.cancel();
                self.known = Known::Unread;
                return None;
            }
            Known::Found(_, version) => Some(*version),
            Known::Absent | Known::Unread => None,
        };
        let record = OrderRecord {
            nonce,
            number: authority.number,
            generation: wanted.generation,
            desired: wanted.kind.clone(),
            sender: identity.instance.clone(),
            sender_boot_id: identity.boot_id,
            state: OrderState::Recorded,
        };
        self.progress = Some(OrderProgress::Pending);
        self.busy = Some(Busy::Writing(record.clone(), true));
        Some(OrderAction::WriteRecord {
            engine: engine.clone(),
            record,
            expect,
        })
    }

    /// Notes how the last order ended, in the record of the next order if there is one.
    fn settle(
        &mut self,
        engine: &InstanceId,
        identity: &Identity,
        able: Option<Authority>,
        nonce: Nonce,
        state: OrderState,
    ) -> Option<OrderAction> {
        let Known::Found(record, version) = &self.known else {
            return None;
        };
        let (mut record, version) = (record.clone(), *version);
        let is_current = |(current, _): &(Nonce, OrderRequest)| *current == record.nonce;
        if self.wanted.is_none() && self.current.as_ref().is_some_and(is_current) {
            self.progress = Some(match state {
                OrderState::Effective => OrderProgress::Effective,
                OrderState::Void | OrderState::Recorded => OrderProgress::Failed,
            });
        }
        if self.wanted.is_some() {
            return self.record(engine, identity, able?, nonce);
        }
        record.state = state;
        self.busy = Some(Busy::Writing(record.clone(), false));
        Some(OrderAction::WriteRecord {
            engine: engine.clone(),
            record,
            expect: Some(version),
        })
    }

    fn send(
        &mut self,
        now: Duration,
        engine: &InstanceId,
        authority: Authority,
    ) -> Option<OrderAction> {
        let Known::Found(record, _) = &self.known else {
            return None;
        };
        let order = record.order();
        self.busy = Some(Busy::Sending(record.nonce));
        self.progress = Some(OrderProgress::Sent);
        Some(OrderAction::Send {
            engine: engine.clone(),
            order,
            not_after: now + authority.remaining - NEEDED_AUTHORITY,
        })
    }

    /// Moves the request that `record` came from to `current`; a request that replaced it while
    /// it was written stays wanted.
    fn take_current(&mut self, record: &OrderRecord) {
        let recorded = |wanted: &OrderRequest| {
            wanted.kind == record.desired && wanted.generation == record.generation
        };
        if let Some(wanted) = self.wanted.take_if(|wanted| recorded(wanted)) {
            self.current = Some((record.nonce, wanted));
        }
    }
}
