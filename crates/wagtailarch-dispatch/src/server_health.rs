//! What answers show of the health of a backend server.

use std::time::Duration;

/// Time constant over which old failures and successes lose their weight.
const MEMORY_S: f64 = 4.0;
/// First pause after a server could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause after a server could not be reached repeatedly.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Pause after a server said that it does not run requests at present.
///
/// An engine that changes its role refuses all for three seconds or more.
const BUSY_PAUSE: Duration = Duration::from_millis(400);
/// Share of failures that a server with few answers is assumed to have, weighted as one answer.
const PRIOR_FAILURE: f64 = 0.05;

/// Results of the latest requests to one backend server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    /// Weight of failures; fades with `MEMORY_S`.
    failures: f64,
    /// Weight of all results; fades with `MEMORY_S`.
    results: f64,
    /// Time of the last change.
    at: Duration,
    /// No request is sent before this time.
    paused_until: Duration,
    /// Times in a row that the server could not be reached.
    unreachable: u32,
}

impl ServerHealth {
    /// Notes an answer that shows that the server works.
    pub fn on_success(&mut self, now: Duration) {
        self.fade(now);
        self.results += 1.0;
        self.unreachable = 0;
        self.paused_until = Duration::ZERO;
    }

    /// Notes a request that the server failed although it was reached.
    pub fn on_failure(&mut self, now: Duration) {
        self.fade(now);
        self.results += 1.0;
        self.failures += 1.0;
    }

    /// Notes that the server could not be reached, and pauses it for longer each time.
    pub fn on_unreachable(&mut self, now: Duration) {
        self.on_failure(now);
        if self.paused_until > now {
            return;
        }
        let pause = FIRST_PAUSE * 2u32.saturating_pow(self.unreachable.min(8));
        self.unreachable += 1;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Notes that the server refused a request without running it; it is paused for a moment.
    pub fn on_busy(&mut self, now: Duration) {
        self.paused_until = self.paused_until.max(now + BUSY_PAUSE);
    }

    /// Tells whether requests may be sent to the server.
    pub fn usable(&self, now: Duration) -> bool {
        self.paused_until <= now
    }

    /// Estimates the share of requests that the server fails, from 0 to 1.
    pub fn failure_share(&self, now: Duration) -> f64 {
        let kept = self.kept(now);
        (self.failures * kept + PRIOR_FAILURE) / (self.results * kept + 1.0)
    }

    fn kept(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / MEMORY_S).exp()
    }

    fn fade(&mut self, now: Duration) {
        let kept = self.kept(now);
        self.failures *= kept;
        self.results *= kept;
        self.at = self.at.max(now);
    }
}
