//! The claim log of one partition, by which a call with an idempotency key is sent at most once.
//!
//! These claims are unrelated to the objects with which an instance claims the right to send orders
//! to engines.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailarch_types::{InstanceId, Nonce};

use crate::{ClaimBatch, ClaimKey, ClaimOutcome, ClaimRecord, MAX_OUTCOME_BYTES};

/// Minimum time between writes, and time that the first claim of a batch waits for further claims
/// while the log is idle.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time between writes, reached under contention. With it, one writer makes 300 writes per
/// second to 64 partitions.
const MAX_INTERVAL: Duration = Duration::from_millis(213);
/// Time after which a claim without a result is resolved as `Unavailable`.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time for which the platform keeps entries.
const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Age of the local view of the log's end beyond which no claim is granted.
///
/// It is half of `RETENTION`, so that no entry can have been removed that the writer has not read.
const MAX_VIEW_AGE: Duration = Duration::from_secs(12 * 3600);
/// Age of the local view beyond which the log is read even if nothing is to be written.
const REFRESH_AGE: Duration = Duration::from_secs(3600);
/// Maximum number of pending claims.
const MAX_PENDING: usize = 4_096;
/// Maximum number of pending outcomes; beyond it the oldest are dropped and stay unknown.
const MAX_OUTCOMES: usize = 1_024;
/// Maximum number of claims in a batch.
const MAX_BATCH_CLAIMS: usize = 1_024;
/// Maximum number of outcomes in a batch.
const MAX_BATCH_OUTCOMES: usize = 32;
/// Maximum size in bytes of all bodies in a batch.
///
/// JSON encodes a byte of a body in up to four characters, and an object is limited to 1 MB. A
/// larger batch could never be written and would block its partition.
const MAX_BATCH_BODY_BYTES: usize = 192 * 1024;
/// Maximum number of keys in memory; beyond it claims of other keys are `Unavailable`.
const MAX_KEYS: usize = 1 << 18;
/// Maximum size in bytes of all outcome bodies in memory; beyond it outcomes stay unknown.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Identifies a submitted claim; set by the caller and unique within the log.
pub type ClaimTicket = u64;

/// One writer's local view of the claim log of one partition.
///
/// A claim is granted only after the writer's own batch is known to be at a number below which the
/// writer has read every entry. If the result of a write is unknown, the same batch is written
/// again at the same number until that number is known to contain this batch or another one.
#[derive(Debug)]
pub struct ClaimLog {
    instance: InstanceId,
    rng: ChaCha8Rng,
    /// Every entry below this number has been read or has been removed.
    next_seq: u64,
    /// End of the listing; an absent entry below this number has been removed since.
    listed_end: u64,
    /// Time of the local view: every entry at or above `next_seq` was written after it.
    view_at: Duration,
    /// False while entries at or above `next_seq` are known or likely to exist.
    caught_up: bool,
    /// Whether the local view has become too old; it stays so.
    stale: bool,
    /// The first claim of each key; at most `MAX_KEYS`.
    claimed: HashMap<ClaimKey, Claim>,
    /// Keys of `claimed` in the order in which they were read, with the time.
    read_order: VecDeque<(Duration, ClaimKey)>,
    /// Total size of the bodies in `claimed`; at most `MAX_BODY_BYTES`.
    body_bytes: usize,
    /// Claims without a result, oldest first; at most `MAX_PENDING`.
    pending: VecDeque<PendingClaim>,
    /// Outcomes not yet written; at most `MAX_OUTCOMES`, or one batch more after a batch could not
    /// be written.
    outcomes: VecDeque<(ClaimKey, ClaimOutcome)>,
    /// Batch whose write at `next_seq` has no known result yet.
    batch: Option<ClaimBatch>,
    io: Io,
    /// Time before which no operation starts.
    not_before: Duration,
    /// Time between writes; halved after a success, doubled after a conflict or a failure.
    interval: Duration,
}

/// The first claim of a key.
#[derive(Debug)]
struct Claim {
    /// Whether it is a claim of this writer that has not been granted to a ticket yet.
    ungranted: bool,
    /// `None` while unknown.
    outcome: Option<ClaimOutcome>,
}

/// A submitted claim without a result.
#[derive(Debug)]
struct PendingClaim {
    ticket: ClaimTicket,
    key: ClaimKey,
    submitted_at: Duration,
}

/// The operation in progress; there is at most one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Io {
    Idle,
    Reading { seq: u64, issued: Duration },
    Creating { seq: u64, issued: Duration },
}

/// An action for the caller to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the entry, and call `on_read`.
    Read {
        /// Number of the entry.
        seq: u64,
    },
    /// Create the entry if it is absent, and call `on_created`.
    Create {
        /// Number of the entry.
        seq: u64,
        /// Contents of the entry.
        batch: ClaimBatch,
    },
    /// Report the result of a submitted claim.
    Resolve {
        /// Ticket of the claim.
        ticket: ClaimTicket,
        /// Result of the claim.
        result: ClaimResult,
    },
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request with this idempotency key may be sent to a backend server, one time.
    Granted,
    /// The key has already been claimed; contains the outcome if it is known.
    AlreadyClaimed(Option<ClaimOutcome>),
    /// The claim was not granted and will not be; the request must not be sent.
    Unavailable,
}

/// Result of reading an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The entry.
    Entry(ClaimBatch),
    /// There is no such entry.
    Absent,
    /// The platform did not respond.
    Failed,
}

/// Result of creating an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateResult {
    /// The entry was created.
    Created,
    /// An entry with this number already exists.
    Exists,
    /// The write may have taken effect, or may still take effect.
    Unknown,
    /// The write has not taken effect.
    Failed,
}

impl ClaimLog {
    /// Creates the local view of a log that was listed at `listed_at`.
    ///
    /// `first_seq` is the first listed number and `end_seq` the last one plus 1; both are 0 for
    /// an empty log. `seed` must differ between writers and between starts of a process.
    pub fn new(
        instance: InstanceId,
        seed: u64,
        listed_at: Duration,
        first_seq: u64,
        end_seq: u64,
    ) -> Self {
        Self {
            instance,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_seq: first_seq,
            listed_end: end_seq,
            view_at: listed_at,
            caught_up: first_seq >= end_seq,
            stale: false,
            claimed: HashMap::new(),
            read_order: VecDeque::new(),
            body_bytes: 0,
            pending: VecDeque::new(),
            outcomes: VecDeque::new(),
            batch: None,
            io: Io::Idle,
            not_before: Duration::ZERO,
            interval: MIN_INTERVAL,
        }
    }

    /// Submits a claim of `key`. Its result follows in a `Resolve` action with `ticket`.
    pub fn submit(
        &mut self,
        now: Duration,
        ticket: ClaimTicket,
        key: ClaimKey,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let full = self.pending.len() >= MAX_PENDING || self.claimed.len() >= MAX_KEYS;
        if (self.stale || full) && !self.claimed.contains_key(&key) {
            actions.push(resolve(ticket, ClaimResult::Unavailable));
            return actions;
        }
        self.pending.push_back(PendingClaim {
            ticket,
            key,
            submitted_at: now,
        });
        self.advance(now, &mut actions);
        actions
    }

    /// Records the outcome of the request whose claim was granted.
    ///
    /// A body above the size limit is not recorded; the outcome then stays unknown.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        key: ClaimKey,
        outcome: ClaimOutcome,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        if outcome.body.len() > MAX_OUTCOME_BYTES {
            return actions;
        }
        self.store_outcome(key, outcome.clone());
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((key, outcome));
        self.advance(now, &mut actions);
        actions
    }

    /// Handles the result of a `Read` action.
    pub fn on_read(&mut self, now: Duration, seq: u64, result: ReadResult) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let Io::Reading {
            seq: expected_seq,
            issued,
        } = self.io
        else {
            return actions;
        };
        if expected_seq != seq {
            return actions;
        }
        self.io = Io::Idle;
        match result {
            // `on_page` has applied this entry while the read was in progress.
            ReadResult::Entry(_) | ReadResult::Absent if seq != self.next_seq => {}
            ReadResult::Entry(batch) => self.apply(now, batch),
            ReadResult::Absent if seq < self.listed_end => self.next_seq += 1,
            ReadResult::Absent => {
                self.renew_view(now, issued);
                self.caught_up = true;
            }
            ReadResult::Failed => self.back_off(now),
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Applies listed entries, in the order of their numbers, which saves reading each of them.
    ///
    /// A gap below the end of the listing is skipped, since its entries have been removed. Other
    /// entries that are not next are ignored.
    pub fn on_page(&mut self, now: Duration, entries: Vec<(u64, ClaimBatch)>) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        for (seq, batch) in entries {
            if seq > self.next_seq && seq < self.listed_end && self.batch.is_none() {
                self.next_seq = seq;
            }
            if seq == self.next_seq {
                self.apply(now, batch);
            }
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Handles the result of a `Create` action.
    pub fn on_created(
        &mut self,
        now: Duration,
        seq: u64,
        result: CreateResult,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let Io::Creating {
            seq: expected_seq,
            issued,
        } = self.io
        else {
            return actions;
        };
        if expected_seq != seq {
            return actions;
        }
        self.io = Io::Idle;
        match result {
            CreateResult::Created => {
                self.interval = (self.interval / 2).max(MIN_INTERVAL);
                self.not_before = now + self.interval;
                self.renew_view(now, issued);
                if let Some(batch) = self.batch.clone().filter(|_| seq == self.next_seq) {
                    self.apply(now, batch);
                }
            }
            CreateResult::Exists => {
                self.caught_up = false;
                self.interval = (self.interval * 2).min(MAX_INTERVAL);
            }
            CreateResult::Unknown => {
                self.caught_up = false;
                self.back_off(now);
            }
            CreateResult::Failed => self.back_off(now),
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Starts due operations, resolves claims that have waited too long and removes expired keys.
    pub fn tick(&mut self, now: Duration) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        self.remove_expired(now);
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the time at which `tick` must be called for pending work, or `None` if nothing is
    /// pending.
    ///
    /// The refresh of an old view and the expiry of keys are not included, so `tick` must also be
    /// called about once an hour.
    pub fn next_tick(&self) -> Option<Duration> {
        let expiry = self
            .pending
            .front()
            .map(|pending| pending.submitted_at + MAX_WAIT);
        if self.io != Io::Idle {
            return expiry;
        }
        let due = self.has_work().then(|| self.due());
        match (expiry, due) {
            (Some(expiry), Some(due)) => Some(expiry.min(due)),
            (expiry, due) => expiry.or(due),
        }
    }

    /// Returns whether the local view is too old to grant claims. The log must then be listed again
    /// and a new `ClaimLog` created.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Returns the number of the next entry that this writer has not read.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Resolves the claims whose result is known and starts the next operation if it is due.
    fn advance(&mut self, now: Duration, actions: &mut Vec<ClaimAction>) {
        let view_age = now.saturating_sub(self.view_at);
        self.stale |= view_age >= MAX_VIEW_AGE;
        self.resolve_pending(now, actions);
        if self.io != Io::Idle || self.stale || now < self.due() {
            return;
        }
        let refresh = view_age >= REFRESH_AGE;
        if !self.has_work() && !refresh {
            return;
        }
        let seq = self.next_seq;
        if !self.caught_up || (refresh && self.batch.is_none()) {
            self.io = Io::Reading { seq, issued: now };
            actions.push(ClaimAction::Read { seq });
            return;
        }
        let batch = match &self.batch {
            Some(batch) => batch.clone(),
            None => self.new_batch(),
        };
        self.batch = Some(batch.clone());
        self.io = Io::Creating { seq, issued: now };
        actions.push(ClaimAction::Create { seq, batch });
    }

    /// Returns whether anything is to be written.
    fn has_work(&self) -> bool {
        !self.pending.is_empty() || !self.outcomes.is_empty() || self.batch.is_some()
    }

    /// Returns the time from which the next operation may start.
    fn due(&self) -> Duration {
        if !self.caught_up || self.batch.is_some() {
            return self.not_before;
        }
        let oldest = self
            .pending
            .front()
            .map_or(self.not_before, |pending| pending.submitted_at);
        self.not_before.max(oldest + MIN_INTERVAL)
    }

    /// Resolves the claims whose key has been claimed, and those that have waited too long, or all
    /// of them if the view is stale.
    fn resolve_pending(&mut self, now: Duration, actions: &mut Vec<ClaimAction>) {
        let stale = self.stale;
        let claimed = &mut self.claimed;
        self.pending.retain(|pending| {
            let result = match claimed.get_mut(&pending.key) {
                Some(claim) if claim.ungranted && !stale => {
                    claim.ungranted = false;
                    ClaimResult::Granted
                }
                Some(claim) if !claim.ungranted => {
                    ClaimResult::AlreadyClaimed(claim.outcome.clone())
                }
                _ if stale || now.saturating_sub(pending.submitted_at) >= MAX_WAIT => {
                    ClaimResult::Unavailable
                }
                _ => return true,
            };
            actions.push(resolve(pending.ticket, result));
            false
        });
    }

    /// Creates a batch of the pending claims and outcomes that fit.
    fn new_batch(&mut self) -> ClaimBatch {
        let mut records = Vec::new();
        let mut keys = std::collections::HashSet::new();
        for pending in &self.pending {
            if records.len() >= MAX_BATCH_CLAIMS {
                break;
            }
            if !keys.insert(pending.key) {
                continue;
            }
            records.push(ClaimRecord::Claim {
                key: pending.key,
                nonce: self.rng.random::<Nonce>(),
                instance: self.instance.clone(),
            });
        }
        let mut body_bytes = 0;
        for _ in 0..MAX_BATCH_OUTCOMES {
            let fits = |(_, outcome): &mut (ClaimKey, ClaimOutcome)| {
                body_bytes += outcome.body.len();
                body_bytes <= MAX_BATCH_BODY_BYTES
            };
            let Some((key, outcome)) = self.outcomes.pop_front_if(fits) else {
                break;
            };
            records.push(ClaimRecord::Outcome { key, outcome });
        }
        ClaimBatch {
            nonce: self.rng.random(),
            records,
        }
    }

    /// Applies the entry at `next_seq`.
    ///
    /// This does not renew the local view, since reading an entry does not show when the next one
    /// was written.
    fn apply(&mut self, now: Duration, batch: ClaimBatch) {
        let is_own = self
            .batch
            .as_ref()
            .is_some_and(|written| written.nonce == batch.nonce);
        self.stale |= now.saturating_sub(self.view_at) >= MAX_VIEW_AGE;
        for record in batch.records {
            match record {
                ClaimRecord::Claim { key, .. } => self.insert_claim(now, key, is_own),
                ClaimRecord::Outcome { key, outcome } => self.store_outcome(key, outcome),
            }
        }
        self.next_seq += 1;
        // Past the listing the writer may create the next entry without reading first: the create
        // fails if the entry exists.
        self.caught_up = self.next_seq >= self.listed_end;
        // A number never changes its batch, so if it has another one, that of this writer will not
        // be written there. Its outcomes become pending again; its claims never left `pending`.
        let unwritten = self.batch.take().filter(|_| !is_own);
        for record in unwritten.into_iter().flat_map(|batch| batch.records) {
            if let ClaimRecord::Outcome { key, outcome } = record {
                self.outcomes.push_back((key, outcome));
            }
        }
    }

    /// Records a claim unless the key has been claimed before.
    fn insert_claim(&mut self, now: Duration, key: ClaimKey, is_own: bool) {
        if self.claimed.contains_key(&key) {
            return;
        }
        let claim = Claim {
            ungranted: is_own,
            outcome: None,
        };
        self.claimed.insert(key, claim);
        self.read_order.push_back((now, key));
    }

    /// Keeps the first outcome of a claimed key, if the bodies fit into memory.
    fn store_outcome(&mut self, key: ClaimKey, outcome: ClaimOutcome) {
        let Some(claim) = self.claimed.get_mut(&key) else {
            return;
        };
        let size = outcome.body.len();
        if claim.outcome.is_some() || self.body_bytes + size > MAX_BODY_BYTES {
            return;
        }
        self.body_bytes += size;
        claim.outcome = Some(outcome);
    }

    /// Renews the local view: every entry not read yet was written after `issued`.
    ///
    /// A view that is already too old becomes stale instead.
    fn renew_view(&mut self, now: Duration, issued: Duration) {
        if now.saturating_sub(self.view_at) >= MAX_VIEW_AGE {
            self.stale = true;
            return;
        }
        self.view_at = self.view_at.max(issued);
    }

    /// Doubles the interval after a failure and postpones the next operation by it.
    fn back_off(&mut self, now: Duration) {
        self.interval = (self.interval * 2).min(MAX_INTERVAL);
        self.not_before = now + self.interval;
    }

    /// Removes the keys that were read, and hence written, at least a retention time ago.
    fn remove_expired(&mut self, now: Duration) {
        while let Some(&(at, key)) = self.read_order.front() {
            if now.saturating_sub(at) < RETENTION {
                break;
            }
            self.read_order.pop_front();
            let outcome = self.claimed.remove(&key).and_then(|claim| claim.outcome);
            self.body_bytes -= outcome.map_or(0, |outcome| outcome.body.len());
        }
    }
}

fn resolve(ticket: ClaimTicket, result: ClaimResult) -> ClaimAction {
    ClaimAction::Resolve { ticket, result }
}
