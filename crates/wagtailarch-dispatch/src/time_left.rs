//! The time that a stream's request has left.

use std::time::Duration;

/// The time that a stream's request has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeLeft {
    /// Time until the client usually leaves if it receives no further event.
    pub client_timeout: Duration,
    /// Time until the request's own limit.
    pub request: Duration,
    /// Whether the client has received an event.
    pub has_begun: bool,
}

impl TimeLeft {
    /// Returns whether no further call can serve the request.
    ///
    /// A stream that has not begun is refused before its client leaves. One that has begun would be
    /// broken off, so that its client decides when to leave.
    pub fn is_over(&self) -> bool {
        match self.has_begun {
            true => self.request.is_zero(),
            false => self.client_timeout.is_zero(),
        }
    }

    /// Returns the longest time for one call, after which another engine is tried.
    ///
    /// Once the client of a begun stream has waited longer than usual, leaving one more engine
    /// cannot bring the next event in time.
    pub fn for_call(&self) -> Duration {
        match self.has_begun && self.client_timeout.is_zero() {
            true => self.request,
            false => self.client_timeout,
        }
    }
}
