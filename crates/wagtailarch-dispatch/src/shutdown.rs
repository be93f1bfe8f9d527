//! The phases of a graceful shutdown.

use std::time::Duration;

/// Time for which new connections are still expected after the instance reports that it is not
/// ready.
///
/// The load balancer checks readiness once per second and removes an instance after two failed
/// checks.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace period at which the process exits in any case; also the minimum
/// time in [`ShutdownPhase::Finishing`].
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// The phase of a process that was requested to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The process reports that it is not ready, serves new requests and asks clients to close
    /// their connections.
    Announcing,
    /// The process closes idle connections and finishes the running requests.
    Finishing,
    /// The process exits.
    Ended,
}

impl ShutdownPhase {
    /// Returns whether new connections are accepted.
    pub fn accepts_connections(self) -> bool {
        self < Self::Finishing
    }
}

/// Start times of the phases of a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownPlan {
    /// Time between the request to stop and the forced exit.
    pub grace: Duration,
}

impl ShutdownPlan {
    /// Returns the phase at the time `since` after the request to stop, with `unfinished` requests
    /// whose responses are not complete or not sent.
    pub fn phase(&self, since: Duration, unfinished: usize) -> ShutdownPhase {
        let forced_exit = self.grace.saturating_sub(EXIT_MARGIN);
        if since >= forced_exit {
            return ShutdownPhase::Ended;
        }
        if since < BALANCER_REACTION_TIME.min(forced_exit) {
            return ShutdownPhase::Announcing;
        }
        if unfinished == 0 && since >= BALANCER_REACTION_TIME + EXIT_MARGIN {
            return ShutdownPhase::Ended;
        }
        ShutdownPhase::Finishing
    }
}
