//! The phases of a graceful shutdown.

use std::time::Duration;

/// Time for which new connections are still expected after the balancer is told.
///
/// The balancer asks once a second and leaves an instance out after two misses.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace period at which the process ends in any case.
const MARGIN: Duration = Duration::from_millis(400);

/// What a process that was told to stop does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// It says that it is not ready, serves what comes and asks clients to leave.
    Announcing,
    /// It closes connections without a request and finishes the requests that run.
    Finishing,
    /// It ends.
    Ended,
}

impl ShutdownPhase {
    /// Tells whether new connections are accepted.
    pub fn accepts_connections(self) -> bool {
        self < Self::Finishing
    }
}

/// When each phase of a shutdown begins.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownPlan {
    /// Time between the request to stop and the forced end.
    pub grace: Duration,
}

impl ShutdownPlan {
    /// Returns the phase at `since` the request to stop, with `open` unanswered requests.
    pub fn phase(&self, since: Duration, open: usize) -> ShutdownPhase {
        let last = self.grace.saturating_sub(MARGIN);
        if since >= last {
            return ShutdownPhase::Ended;
        }
        if since < BALANCER_NOTICE.min(last) {
            return ShutdownPhase::Announcing;
        }
        if open == 0 && since >= BALANCER_NOTICE + MARGIN {
            return ShutdownPhase::Ended;
        }
        ShutdownPhase::Finishing
    }
}
