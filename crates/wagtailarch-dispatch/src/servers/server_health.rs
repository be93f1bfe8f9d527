//! Health of a backend server, estimated from its responses.

use std::time::Duration;

/// Time constant in seconds with which the weight of old results decays.
const TIME_CONSTANT_S: f64 = 4.0;
/// Backoff after the first failure to reach a server.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Longest backoff after repeated failures to reach a server.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Backoff after a server refused a request without running it.
///
/// An engine that changes its role refuses all requests for three seconds or more.
const BUSY_BACKOFF: Duration = Duration::from_millis(400);
/// Failure rate that is assumed without any results; it has the weight of one result.
const PRIOR_FAILURE_RATE: f64 = 0.05;

/// Estimates the health of one backend server from the results of its latest requests.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    /// Decayed number of failures.
    failures: f64,
    /// Decayed number of all results.
    results: f64,
    /// Time of the last update.
    updated_at: Duration,
    /// End of the backoff, before which no request is sent.
    backoff_until: Duration,
    /// Number of consecutive failures to reach the server.
    consecutive_unreachable: u32,
}

impl ServerHealth {
    /// Records a response that shows that the server works, which ends any backoff.
    pub fn on_success(&mut self, now: Duration) {
        self.decay(now);
        self.results += 1.0;
        self.consecutive_unreachable = 0;
        self.backoff_until = Duration::ZERO;
    }

    /// Records a request that the server received and failed.
    pub fn on_failure(&mut self, now: Duration) {
        self.decay(now);
        self.results += 1.0;
        self.failures += 1.0;
    }

    /// Records that the server could not be reached; the backoff doubles with each consecutive
    /// failure.
    pub fn on_unreachable(&mut self, now: Duration) {
        self.on_failure(now);
        if self.backoff_until > now {
            return;
        }
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(self.consecutive_unreachable.min(8));
        self.consecutive_unreachable += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records that the server refused a request without running it, and starts a short backoff.
    pub fn on_busy(&mut self, now: Duration) {
        self.backoff_until = self.backoff_until.max(now + BUSY_BACKOFF);
    }

    /// Returns whether the server is not in backoff.
    pub fn is_available(&self, now: Duration) -> bool {
        self.backoff_until <= now
    }

    /// Estimates the share of requests that the server fails, from 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let decay_factor = self.decay_factor(now);
        (self.failures * decay_factor + PRIOR_FAILURE_RATE) / (self.results * decay_factor + 1.0)
    }

    fn decay_factor(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.updated_at).as_secs_f64() / TIME_CONSTANT_S).exp()
    }

    fn decay(&mut self, now: Duration) {
        let decay_factor = self.decay_factor(now);
        self.failures *= decay_factor;
        self.results *= decay_factor;
        self.updated_at = self.updated_at.max(now);
    }
}
