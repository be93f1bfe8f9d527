//! Updates for peers that have not been sent yet.

use std::{cell::RefCell, time::Duration};

use tokio::sync::Notify;
use wagtailarch_wire::load_note::SentPrefixes;

/// Maximum number of datagrams per second with an instance's own load notes.
const DATAGRAMS_PER_S: u32 = 1_000;
/// Minimum delay of a load note, so that it includes the updates that follow immediately.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(3);
/// Time after which a load note is sent although nothing has changed.
///
/// Peers expire running requests after two seconds and an instance without notes after three and a
/// half.
pub const NOTE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Age of the process from which only peers with recent load notes count as live; notes arrive
/// every second.
pub const LIVENESS_GRACE: Duration = Duration::from_secs(4);
/// Maximum number of prompts whose prefixes are in one load note; more wait for the next one, so
/// that a note fits into few packets.
const MAX_SENT_PREFIXES: usize = 24;

/// Updates for peers that have not been sent yet.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: RefCell<PendingUpdates>,
    changed: Notify,
}

/// Content of an [`Outbox`].
#[derive(Debug, Default)]
pub struct PendingUpdates {
    /// Prefixes of sent prompts.
    pub sent_prefixes: Vec<SentPrefixes>,
}

/// Returns the delay of a load note to `receivers` receivers.
///
/// It grows with their number, which bounds the datagrams that an instance sends.
pub fn batch_delay(receivers: usize) -> Duration {
    let receivers = u32::try_from(receivers).unwrap_or(u32::MAX);
    let share = Duration::from_secs(1).saturating_mul(receivers) / DATAGRAMS_PER_S;
    share.max(MIN_BATCH_DELAY)
}

impl Outbox {
    /// Wakes the task that sends load notes.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    /// Waits until there is an update to send.
    pub async fn wait(&self) {
        self.changed.notified().await;
    }

    /// Adds the prefixes of a sent prompt.
    pub fn add_prefixes(&self, sent: SentPrefixes) {
        self.pending.borrow_mut().sent_prefixes.push(sent);
        self.wake();
    }

    /// Takes the updates that fit into one load note.
    pub fn take(&self) -> PendingUpdates {
        let mut pending = self.pending.borrow_mut();
        let count = pending.sent_prefixes.len().min(MAX_SENT_PREFIXES);
        let taken = PendingUpdates {
            sent_prefixes: pending.sent_prefixes.drain(..count).collect(),
        };
        if !pending.sent_prefixes.is_empty() {
            self.wake();
        }
        taken
    }
}
