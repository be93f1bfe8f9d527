//! Time for which an instance did not read the store.

use std::time::Duration;

use crate::ReadLimits;

/// Time for which removals are known before they take effect: they have to reach the traffic thread.
const REMOVAL_MARGIN: Duration = Duration::from_millis(200);

/// Shortest time without the store in which a registration can expire: two of three heartbeats of its
/// server, since the first one may be due when the store is lost.
const MIN_EXPIRY: Duration = Duration::from_millis(2_400);

/// Time for which an instance did not read the store, between two reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLoss {
    /// Time of the newest proof before it that the objects were current.
    pub proven_at: Duration,
    /// Start of the newest call that failed because the store, or the path to it, was lost.
    pub failed_at: Option<Duration>,
}

impl StoreLoss {
    /// Returns whether registrations may have expired because the store, or the path of this instance
    /// to it, was lost.
    ///
    /// While both are available, no call fails so, and the next proof comes within the bound, whatever
    /// happens to relays and watches.
    pub fn is_outage(&self, now: Duration, limits: &ReadLimits) -> bool {
        let has_failed = self.failed_at.is_some_and(|at| at >= self.proven_at);
        has_failed && now.saturating_sub(self.proven_at) >= limits.bound().min(MIN_EXPIRY)
    }

    /// Returns the time until which servers that are missing from the read at `now` may receive
    /// requests.
    ///
    /// After an outage, the bounds apply again a fixed time after the return, which was later than
    /// the start of the newest call that failed. Without one, a removal may be as old as the newest
    /// proof.
    pub fn removal_limit(&self, now: Duration, limits: &ReadLimits) -> Duration {
        let outage_call = self.failed_at.filter(|_| self.is_outage(now, limits));
        let limit = match outage_call {
            Some(failed_at) => failed_at + limits.recovery(),
            None => self.proven_at + limits.bound(),
        };
        limit.saturating_sub(REMOVAL_MARGIN)
    }
}
