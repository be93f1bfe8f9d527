//! The phases of a graceful shutdown, and the requests that are served during it.

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
/// Time before the exit at which requests without a response get one, so that it can be sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Time after the request to stop up to which a call may begin that could outlast the process.
///
/// Clients that the load balancer still sends are served as before: most calls take far less than
/// their time limit.
const LAST_UNBOUNDED_CALL: Duration = Duration::from_millis(3_000);

/// The phase of a process that was requested to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The process reports that it is not ready, serves new requests and asks clients to close
    /// their connections.
    Announcing,
    /// The process closes idle connections and finishes the running requests.
    Finishing,
    /// The process responds to the requests that have no response.
    Responding,
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
        if since >= self.exit_at() {
            return ShutdownPhase::Ended;
        }
        if since < BALANCER_REACTION_TIME.min(self.respond_at()) {
            return ShutdownPhase::Announcing;
        }
        if unfinished == 0 && since >= BALANCER_REACTION_TIME + EXIT_MARGIN {
            return ShutdownPhase::Ended;
        }
        match since < self.respond_at() {
            true => ShutdownPhase::Finishing,
            false => ShutdownPhase::Responding,
        }
    }

    /// Returns whether a request may be sent to a server at the time `since` after the request to
    /// stop, if it may take up to `time_left`.
    ///
    /// One that could outlast the process is better refused, since another instance can serve it.
    pub fn may_begin_call(&self, since: Duration, time_left: Duration) -> bool {
        let respond_at = self.respond_at();
        since < LAST_UNBOUNDED_CALL.min(respond_at / 2) || since + time_left <= respond_at
    }

    /// Returns the time after the request to stop at which requests without a response get one.
    fn respond_at(&self) -> Duration {
        self.exit_at().saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns the time after the request to stop at which the process exits in any case.
    fn exit_at(&self) -> Duration {
        self.grace.saturating_sub(EXIT_MARGIN)
    }
}
