//! The orders to one engine, in the local view of one process.

use std::time::Duration;

use wagtailarch_types::{BootId, InstanceId, Nonce, ObjectVersion};
use wagtailarch_wire::engine::OrderKind;
use wagtailarch_wire::records::{OrderRecord, OrderState};

use crate::{
    Authority, OrderAction, OrderProgress, OrderReport, OrderRequest, ReadOutcome, SendOutcome,
    WriteOutcome,
};

/// Time after the removal of the sender, or after its connection was closed, until no part of an
/// order is left in socket buffers. It is twice the TCP user timeout of 5 s.
const BUFFERS_EMPTY_AFTER: Duration = Duration::from_secs(10);
/// Minimum time for which this process must still have the right to send orders ([`Authority`])
/// when it records or sends one. The right ends 500 ms before the lease, so at least 1,000 ms of
/// the lease are left.
const MIN_AUTHORITY: Duration = Duration::from_millis(500);
/// Time after a write of unknown outcome at which the record is read a second time. A write that
/// takes effect even later cannot do harm: at worst, orders to the engine wait until the instance
/// that wrote the record is removed.
const RECHECK_AFTER: Duration = Duration::from_secs(10);
/// Delay after a failed platform call.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The process that keeps these orders.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) instance: InstanceId,
    pub(crate) boot_id: BootId,
}

impl Identity {
    /// Returns whether this process recorded the order.
    fn is_sender_of(&self, record: &OrderRecord) -> bool {
        record.sender == self.instance && record.sender_boot_id == self.boot_id
    }
}

/// Last known content of the order record.
#[derive(Debug, Default)]
enum CachedRecord {
    #[default]
    Unread,
    Absent,
    Found(OrderRecord, ObjectVersion),
}

/// Call whose result is pending.
#[derive(Debug)]
enum PendingCall {
    Reading,
    /// Writes a new order if the flag is true, otherwise the outcome of the last order.
    Writing(OrderRecord, bool),
    Sending(Nonce),
}

/// The last order that this process asked its caller to send.
#[derive(Debug, Clone, Copy)]
struct SentOrder {
    nonce: Nonce,
    outcome: SendOutcome,
    /// When its connection was closed.
    closed_at: Duration,
}

/// What is known about the effect of the last recorded order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resolution {
    /// Nothing is recorded, or the record states the outcome of the last order.
    Settled,
    /// The order took effect.
    Effective,
    /// The order never takes effect.
    Void,
    /// The engine will refuse the order after it has received a newer one.
    Fenced,
    /// This process recorded the order and has not sent it.
    MaySend,
    /// The order may take effect at any time.
    Wait,
}

/// The orders to one engine.
#[derive(Debug, Default)]
pub(crate) struct EngineOrders {
    /// Request that is not recorded yet.
    queued_request: Option<OrderRequest>,
    /// Request that was recorded last, with its nonce.
    recorded_request: Option<(Nonce, OrderRequest)>,
    cached: CachedRecord,
    /// At most one call is pending.
    pending: Option<PendingCall>,
    sent: Option<SentOrder>,
    report: Option<OrderReport>,
    /// Whether the record must be read, for instance because it is unknown whether a write of this
    /// process took effect.
    read_required: bool,
    /// When the record is read again, since a write of unknown outcome may take effect after the
    /// first read.
    recheck_at: Option<Duration>,
    /// No call is made before this time.
    next_at: Duration,
    progress: Option<OrderProgress>,
    /// Fencing number of the lease at the last poll.
    fencing_number: Option<u64>,
}

impl EngineOrders {
    pub(crate) fn request(&mut self, request: OrderRequest) {
        let in_progress = matches!(
            self.progress,
            Some(OrderProgress::Pending | OrderProgress::Sent)
        );
        let is_same = |recorded: &(Nonce, OrderRequest)| recorded.1 == request;
        if in_progress
            && self.queued_request.is_none()
            && self.recorded_request.as_ref().is_some_and(is_same)
        {
            return;
        }
        self.queued_request = Some(request);
        self.progress = Some(OrderProgress::Pending);
    }

    /// Removes the request. An order that was recorded or sent may still take effect.
    pub(crate) fn cancel(&mut self) {
        self.queued_request = None;
        self.recorded_request = None;
        self.progress = None;
    }

    pub(crate) fn progress(&self) -> OrderProgress {
        self.progress.unwrap_or(OrderProgress::Idle)
    }

    /// Schedules a read of the record if it has not been read.
    pub(crate) fn schedule_read(&mut self) {
        if matches!(self.cached, CachedRecord::Unread) {
            self.read_required = true;
        }
    }

    pub(crate) fn is_drain(&self, nonce: Nonce) -> bool {
        matches!(&self.cached, CachedRecord::Found(record, _)
            if record.nonce == nonce && record.desired == OrderKind::Drain)
    }

    /// Returns whether no call is pending, no read is due and the last recorded order is settled. A
    /// queued request is not considered.
    pub(crate) fn is_settled(&self) -> bool {
        let recorded = matches!(&self.cached, CachedRecord::Found(record, _)
            if record.state == OrderState::Recorded);
        self.pending.is_none() && !self.read_required && self.recheck_at.is_none() && !recorded
    }

    /// Returns the process whose order may still take effect, if it is another one.
    pub(crate) fn blocking_sender(&self, identity: &Identity) -> Option<(InstanceId, BootId)> {
        let CachedRecord::Found(record, _) = &self.cached else {
            return None;
        };
        let is_blocking = record.state == OrderState::Recorded && !identity.is_sender_of(record);
        is_blocking.then(|| (record.sender.clone(), record.sender_boot_id))
    }

    /// Starts the call that is due, if any, and returns it. `sender_removed_at` returns when a
    /// process was removed, or `None` while it may still exist.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        engine: &InstanceId,
        identity: &Identity,
        authority: Option<Authority>,
        nonce: Nonce,
        sender_removed_at: impl Fn(&InstanceId, BootId) -> Option<Duration>,
    ) -> Option<OrderAction> {
        self.update_authority(authority);
        if self.pending.is_some() || now < self.next_at {
            return None;
        }
        if self.recheck_at.take_if(|at| now >= *at).is_some() {
            self.cached = CachedRecord::Unread;
            self.read_required = true;
        }
        let own_unsettled = matches!(&self.cached, CachedRecord::Found(record, _)
            if record.state == OrderState::Recorded && identity.is_sender_of(record));
        if self.queued_request.is_none() && !own_unsettled && !self.read_required {
            return None;
        }
        if matches!(self.cached, CachedRecord::Unread) {
            self.pending = Some(PendingCall::Reading);
            return Some(OrderAction::ReadRecord {
                engine: engine.clone(),
            });
        }
        let sufficient = authority.filter(|authority| authority.remaining >= MIN_AUTHORITY);
        match self.resolve(now, identity, authority, sender_removed_at) {
            Resolution::Settled => self.record(engine, identity, sufficient?, nonce),
            Resolution::Effective => {
                self.settle(engine, identity, sufficient, nonce, OrderState::Effective)
            }
            Resolution::Void => self.settle(engine, identity, sufficient, nonce, OrderState::Void),
            Resolution::Fenced => self.record(engine, identity, sufficient?, nonce),
            Resolution::MaySend => self.send(now, engine, sufficient?),
            Resolution::Wait => {
                if self.queued_request.is_some() {
                    self.progress = Some(OrderProgress::Blocked);
                }
                None
            }
        }
    }

    pub(crate) fn on_read(&mut self, now: Duration, outcome: ReadOutcome<OrderRecord>) {
        if !matches!(self.pending, Some(PendingCall::Reading)) {
            return;
        }
        self.pending = None;
        match outcome {
            ReadOutcome::Found(record, version) => {
                self.cached = CachedRecord::Found(record, version)
            }
            ReadOutcome::Absent => self.cached = CachedRecord::Absent,
            ReadOutcome::Failed => {
                self.next_at = now + RETRY_AFTER;
                return;
            }
        }
        self.read_required = false;
    }

    pub(crate) fn on_write(&mut self, now: Duration, outcome: WriteOutcome) {
        let Some(PendingCall::Writing(record, is_order)) = self.pending.take() else {
            return;
        };
        match outcome {
            WriteOutcome::Written(version) => {
                if is_order {
                    self.mark_recorded(&record);
                }
                self.cached = CachedRecord::Found(record, version);
            }
            WriteOutcome::Conflict => self.cached = CachedRecord::Unread,
            WriteOutcome::Unknown => {
                self.cached = CachedRecord::Unread;
                self.read_required = true;
                self.recheck_at = Some(now + RECHECK_AFTER);
                self.next_at = now + RETRY_AFTER;
            }
            WriteOutcome::Failed => self.next_at = now + RETRY_AFTER,
        }
    }

    pub(crate) fn on_sent(&mut self, now: Duration, outcome: SendOutcome) {
        let Some(PendingCall::Sending(nonce)) = self.pending else {
            return;
        };
        self.pending = None;
        self.sent = Some(SentOrder {
            nonce,
            outcome,
            closed_at: now,
        });
    }

    pub(crate) fn on_report(&mut self, report: OrderReport) {
        // Reports can arrive out of order; the one requested last is kept.
        if self
            .report
            .is_none_or(|old| report.requested_at >= old.requested_at)
        {
            self.report = Some(report);
        }
    }

    /// Cancels the request if the right to send orders is lost, and discards the cached record if
    /// the fencing number changed.
    fn update_authority(&mut self, authority: Option<Authority>) {
        let Some(authority) = authority else {
            self.cancel();
            return;
        };
        if self.fencing_number != Some(authority.fencing_number) {
            self.fencing_number = Some(authority.fencing_number);
            // Another lease holder may have written the record in the meantime.
            if self.pending.is_none() {
                self.cached = CachedRecord::Unread;
            }
        }
    }

    /// Determines from the record, the last report and the removed senders whether the last
    /// recorded order took effect or may still do so.
    fn resolve(
        &self,
        now: Duration,
        identity: &Identity,
        authority: Option<Authority>,
        sender_removed_at: impl Fn(&InstanceId, BootId) -> Option<Duration>,
    ) -> Resolution {
        let CachedRecord::Found(record, _) = &self.cached else {
            return Resolution::Settled;
        };
        if record.state != OrderState::Recorded {
            return Resolution::Settled;
        }
        if self.report.and_then(|report| report.last_order_nonce) == Some(record.nonce) {
            return Resolution::Effective;
        }
        let fenced = authority.is_some_and(|authority| record.number < authority.fencing_number)
            && self
                .queued_request
                .as_ref()
                .is_some_and(|request| request.checks_fencing);
        if identity.is_sender_of(record) {
            return self.resolve_own(record, authority, fenced);
        }
        if fenced {
            return Resolution::Fenced;
        }
        let Some(removed_at) = sender_removed_at(&record.sender, record.sender_boot_id) else {
            return Resolution::Wait;
        };
        let buffers_empty_at = removed_at + BUFFERS_EMPTY_AFTER;
        if now >= buffers_empty_at && self.shows_no_change_after(buffers_empty_at) {
            return Resolution::Void;
        }
        Resolution::Wait
    }

    /// Resolves an order that this process recorded.
    fn resolve_own(
        &self,
        record: &OrderRecord,
        authority: Option<Authority>,
        fenced: bool,
    ) -> Resolution {
        let Some(sent) = self.sent.filter(|sent| sent.nonce == record.nonce) else {
            let matches_record = |(nonce, _): &(Nonce, OrderRequest)| *nonce == record.nonce;
            let has_same_lease =
                authority.is_some_and(|authority| authority.fencing_number == record.number);
            let requested_here = self.recorded_request.as_ref().is_some_and(matches_record);
            return if has_same_lease && requested_here && self.queued_request.is_none() {
                Resolution::MaySend
            } else {
                Resolution::Void
            };
        };
        match sent.outcome {
            SendOutcome::NotSent | SendOutcome::Refused => Resolution::Void,
            SendOutcome::Accepted | SendOutcome::Unknown => {
                if self.shows_no_change_after(sent.closed_at + BUFFERS_EMPTY_AFTER) {
                    Resolution::Void
                } else if fenced {
                    Resolution::Fenced
                } else {
                    Resolution::Wait
                }
            }
        }
    }

    /// Returns whether the last report was requested at `time` or later and shows no order in
    /// execution. If its last nonce is not that of the record either, the order did not arrive.
    fn shows_no_change_after(&self, time: Duration) -> bool {
        self.report
            .is_some_and(|report| report.requested_at >= time && !report.changing)
    }

    /// Replaces the record of the last order by that of the queued request.
    fn record(
        &mut self,
        engine: &InstanceId,
        identity: &Identity,
        authority: Authority,
        nonce: Nonce,
    ) -> Option<OrderAction> {
        let request = self.queued_request.as_ref()?;
        let expect = match &self.cached {
            CachedRecord::Found(last, _) if last.number > authority.fencing_number => {
                // A later lease holder recorded an order, so this process has lost the lease.
                self.cancel();
                self.cached = CachedRecord::Unread;
                return None;
            }
            CachedRecord::Found(_, version) => Some(*version),
            CachedRecord::Absent | CachedRecord::Unread => None,
        };
        let record = OrderRecord {
            nonce,
            number: authority.fencing_number,
            generation: request.generation,
            desired: request.kind.clone(),
            sender: identity.instance.clone(),
            sender_boot_id: identity.boot_id,
            state: OrderState::Recorded,
        };
        self.progress = Some(OrderProgress::Pending);
        self.pending = Some(PendingCall::Writing(record.clone(), true));
        Some(OrderAction::WriteRecord {
            engine: engine.clone(),
            record,
            expect,
        })
    }

    /// Records the outcome of the last order, or the queued request in its place if there is one.
    fn settle(
        &mut self,
        engine: &InstanceId,
        identity: &Identity,
        authority: Option<Authority>,
        nonce: Nonce,
        state: OrderState,
    ) -> Option<OrderAction> {
        let CachedRecord::Found(record, version) = &self.cached else {
            return None;
        };
        let (mut record, version) = (record.clone(), *version);
        let matches_record = |(recorded, _): &(Nonce, OrderRequest)| *recorded == record.nonce;
        if self.queued_request.is_none()
            && self.recorded_request.as_ref().is_some_and(matches_record)
        {
            self.progress = Some(match state {
                OrderState::Effective => OrderProgress::Effective,
                OrderState::Void | OrderState::Recorded => OrderProgress::Failed,
            });
        }
        if self.queued_request.is_some() {
            return self.record(engine, identity, authority?, nonce);
        }
        record.state = state;
        self.pending = Some(PendingCall::Writing(record.clone(), false));
        Some(OrderAction::WriteRecord {
            engine: engine.clone(),
            record,
            expect: Some(version),
        })
    }

    /// Starts the call that sends the recorded order and returns it.
    fn send(
        &mut self,
        now: Duration,
        engine: &InstanceId,
        authority: Authority,
    ) -> Option<OrderAction> {
        let CachedRecord::Found(record, _) = &self.cached else {
            return None;
        };
        let order = record.order();
        self.pending = Some(PendingCall::Sending(record.nonce));
        self.progress = Some(OrderProgress::Sent);
        Some(OrderAction::Send {
            engine: engine.clone(),
            order,
            not_after: now + authority.remaining - MIN_AUTHORITY,
        })
    }

    /// Moves the queued request from which `record` was written to `recorded_request`. A request
    /// that replaced it during the write stays queued.
    fn mark_recorded(&mut self, record: &OrderRecord) {
        let is_recorded = |request: &OrderRequest| {
            request.kind == record.desired && request.generation == record.generation
        };
        if let Some(request) = self.queued_request.take_if(|request| is_recorded(request)) {
            self.recorded_request = Some((record.nonce, request));
        }
    }
}
