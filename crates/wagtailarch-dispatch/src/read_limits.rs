//! Time limits of the reads by which a change in the store reaches an instance.

use std::time::Duration;

/// Time limits of the reads by which a change in the store reaches an instance.
///
/// All of them are fractions of the bound within which a change must be applied, so that the
/// failures of a chain of sources together still fit into it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadLimits {
    /// Time within which a change must be applied.
    bound: Duration,
}

impl ReadLimits {
    /// Creates the limits for changes that must be applied within `bound`.
    pub const fn new(bound: Duration) -> Self {
        Self { bound }
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

    /// Returns the interval between calls to a store that failed for this instance and is
    /// unavailable according to its relays. Each call is billed, also while the store is down.
    pub fn store_retry_interval(&self) -> Duration {
        self.bound
    }
}
