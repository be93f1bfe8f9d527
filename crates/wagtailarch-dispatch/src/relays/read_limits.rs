//! Time limits of the reads by which a change in the store reaches an instance.

use std::time::Duration;

/// Time by which the default recovery exceeds the bound.
pub const DEFAULT_RECOVERY_MARGIN: Duration = Duration::from_secs(1);

/// Time limits of the reads by which a change in the store reaches an instance.
///
/// All of them are fractions of the bound within which a change must be applied, so that the
/// failures of a chain of sources together still fit into it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadLimits {
    /// Time within which a change must be applied.
    bound: Duration,
    /// Time from the return of the store, or of the path to it, until the bound applies again.
    recovery: Duration,
}

impl ReadLimits {
    /// Creates the limits for changes that must be applied within `bound`, which applies again
    /// `bound` and [`DEFAULT_RECOVERY_MARGIN`] after a return of the store.
    pub const fn new(bound: Duration) -> Self {
        Self {
            bound,
            recovery: bound.saturating_add(DEFAULT_RECOVERY_MARGIN),
        }
    }

    /// Replaces the time from the return of the store until the bound applies again.
    #[must_use]
    pub const fn with_recovery(self, recovery: Duration) -> Self {
        Self { recovery, ..self }
    }

    /// Returns the time within which a change must be applied.
    pub const fn bound(&self) -> Duration {
        self.bound
    }

    /// Returns the time from the return of the store, or of the path to it, until the bound applies
    /// again.
    pub const fn recovery(&self) -> Duration {
        self.recovery
    }

    /// Returns the time for which a watch of the store waits for a change.
    ///
    /// A watch does not end when the store becomes unresponsive, so that each response is a proof
    /// that the objects are current.
    pub fn watch_wait(&self) -> Duration {
        self.bound / 3
    }

    /// Returns the pause after a change, after which one call reads all changes in quick
    /// succession.
    pub fn change_pause(&self) -> Duration {
        self.bound / 4
    }

    /// Returns the time for which a request to a relay waits for a change; a relay that does not
    /// respond after it counts as failed.
    pub fn relay_wait(&self) -> Duration {
        self.bound / 4
    }

    /// Returns the time beyond the wait of a call within which its response must arrive.
    pub fn response_margin(&self) -> Duration {
        self.bound / 5
    }

    /// Returns the timeout for opening a connection to the store or to a relay.
    ///
    /// Both respond within milliseconds, and a lost packet is retransmitted only after a second.
    pub fn connect_limit(&self) -> Duration {
        self.bound / 5
    }

    /// Returns the time for which peers may report newer versions than those of this instance,
    /// before another source is asked.
    pub fn stale_after(&self) -> Duration {
        self.bound / 4
    }

    /// Returns the age of the newest proof from which another source is asked.
    pub fn max_age(&self) -> Duration {
        self.bound * 3 / 4
    }

    /// Returns the timeout of a call to the store that does not wait for a change.
    pub fn call_limit(&self) -> Duration {
        self.bound / 2
    }

    /// Returns the longest delay of a relay after a failed call to the store.
    ///
    /// With a call that fails at its timeout right after the store has returned, a relay so reads
    /// again within three quarters of the bound.
    pub fn max_backoff(&self) -> Duration {
        self.bound / 4
    }

    /// Returns the interval between the calls of a reader to a store that failed for this instance
    /// and is unavailable according to its relays; two readers call it in turn.
    pub fn store_retry_interval(&self) -> Duration {
        self.bound
    }
}
