//! What peers have not been told yet.

use std::{cell::RefCell, time::Duration};

use tokio::sync::Notify;
use wagtailarch_types::ZoneName;
use wagtailarch_wire::load_note::{SentPrefixes, StrikeNote};

use crate::snapshot::Peer;

/// Datagrams a second to peers of the own zone, which mostly use the same engines.
const ZONE_DATAGRAMS_PER_S: u32 = 1_000;
/// Datagrams a second to peers of other zones, whose bytes are priced.
const OTHER_DATAGRAMS_PER_S: u32 = 900;
/// Time after which a note is sent though nothing has changed; peers forget running requests after two
/// seconds and a silent instance after three and a half.
const REPEAT: Duration = Duration::from_millis(1_000);
/// Notes a second to other zones while nothing changes, so that an idle instance sends a bounded number.
const IDLE_DATAGRAMS_PER_S: u32 = 100;
/// Prompts whose prefixes are in one note; more are told in the next one, so that a note fits into few
/// packets.
const MAX_SENT_PREFIXES: usize = 24;

/// Which peers are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Those of the own availability zone.
    Zone,
    /// Those of other availability zones.
    Others,
}

/// What the peers of one [`Reach`] have not been told yet.
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

impl Reach {
    /// Tells whether a peer belongs to the reach of an instance in `zone`.
    pub fn covers(self, zone: &ZoneName, peer: &Peer) -> bool {
        (peer.zone == *zone) == (self == Self::Zone)
    }

    /// Returns the time after which a note is sent though nothing has changed.
    pub fn repeat(self, peers: usize) -> Duration {
        match self {
            Self::Zone => REPEAT,
            Self::Others => REPEAT.max(share_of_second(peers, IDLE_DATAGRAMS_PER_S)),
        }
    }

    /// Returns the time for which a note is held back so that it carries what follows at once.
    ///
    /// It grows with the number of peers, so that an instance sends a bounded number of datagrams.
    pub fn gather(self, peers: usize) -> Duration {
        let rate = match self {
            Self::Zone => ZONE_DATAGRAMS_PER_S,
            Self::Others => OTHER_DATAGRAMS_PER_S,
        };
        share_of_second(peers, rate)
    }
}

/// Returns the interval at which notes to `peers` peers are `rate` datagrams a second.
fn share_of_second(peers: usize, rate: u32) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    Duration::from_secs(1).saturating_mul(peers) / rate
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
