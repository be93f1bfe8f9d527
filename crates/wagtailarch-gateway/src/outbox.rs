//! What peers have not been told yet.

use std::{cell::RefCell, time::Duration};

use tokio::sync::Notify;
use wagtailarch_wire::load_note::{SentPrefixes, StrikeNote};

/// Datagrams a second that an instance sends of its own notes at most.
const DATAGRAMS_PER_S: u32 = 1_000;
/// Shortest time for which a note is held back, so that it carries what follows at once.
const MIN_GATHER: Duration = Duration::from_millis(3);
/// Time after which a note is sent though nothing has changed; peers forget running requests after two
/// seconds and a silent instance after three and a half.
pub const REPEAT: Duration = Duration::from_millis(1_000);
/// Age of the process from which a peer counts only if it is heard; notes come every second.
pub const HEARD_FROM: Duration = Duration::from_secs(4);
/// Prompts whose prefixes are in one note; more are told in the next one, so that a note fits into few
/// packets.
const MAX_SENT_PREFIXES: usize = 24;

/// What peers have not been told yet.
#[derive(Debug, Default)]
pub struct Outbox {
    untold: RefCell<Untold>,
    wake: Notify,
}

/// Content of an [`Outbox`].
#[derive(Debug, Default)]
pub struct Untold {
    /// Prefixes of prompts that were sent.
    pub sent_prefixes: Vec<SentPrefixes>,
    /// Strikes of requests.
    pub strikes: Vec<StrikeNote>,
}

/// Returns the time for which a note to `receivers` receivers is held back.
///
/// It grows with their number, so that an instance sends a bounded number of datagrams.
pub fn gather(receivers: usize) -> Duration {
    let receivers = u32::try_from(receivers).unwrap_or(u32::MAX);
    let share = Duration::from_secs(1).saturating_mul(receivers) / DATAGRAMS_PER_S;
    share.max(MIN_GATHER)
}

impl Outbox {
    /// Wakes the task that tells the peers.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits until there is something to tell.
    pub async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Adds the prefixes of a prompt that was sent.
    pub fn add_prefixes(&self, sent: SentPrefixes) {
        self.untold.borrow_mut().sent_prefixes.push(sent);
        self.wake();
    }

    /// Adds a strike.
    pub fn add_strike(&self, strike: StrikeNote) {
        self.untold.borrow_mut().strikes.push(strike);
        self.wake();
    }

    /// Takes what fits into one note.
    pub fn take(&self) -> Untold {
        let mut untold = self.untold.borrow_mut();
        let count = untold.sent_prefixes.len().min(MAX_SENT_PREFIXES);
        let taken = Untold {
            sent_prefixes: untold.sent_prefixes.drain(..count).collect(),
            strikes: std::mem::take(&mut untold.strikes),
        };
        if !untold.sent_prefixes.is_empty() {
            self.wake();
        }
        taken
    }
}
