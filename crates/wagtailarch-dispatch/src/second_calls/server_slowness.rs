//! How many of the latest calls to a server were slow.

use std::time::Duration;

/// Time constant in seconds with which the weight of old calls decays.
const TIME_CONSTANT_S: f64 = 4.0;
/// Share of slow calls from which a server is slow; a usual server has at most the share of second
/// calls, which is no more than that.
const SLOW_SHARE: f64 = 0.25;
/// Number of calls that are assumed to have been quick, so that one slow call does not decide.
const PRIOR_CALLS: f64 = 3.0;

/// The latest first calls of this instance to a server.
#[derive(Debug, Default)]
pub(super) struct ServerSlowness {
    /// Open calls that exceeded their threshold.
    open_slow: u32,
    /// Decayed number of calls that exceeded their threshold.
    slow: f64,
    /// Decayed number of ended calls.
    calls: f64,
    updated_at: Duration,
}

impl ServerSlowness {
    /// Records that an open call exceeded its threshold.
    pub fn on_slow(&mut self, now: Duration) {
        self.decay(now);
        self.open_slow += 1;
    }

    /// Records the end of a call.
    pub fn on_ended(&mut self, now: Duration, is_slow: bool) {
        self.decay(now);
        self.calls += 1.0;
        if is_slow {
            self.open_slow = self.open_slow.saturating_sub(1);
            self.slow += 1.0;
        }
    }

    /// Returns whether the server is believed to be slow.
    pub fn is_slow(&self, now: Duration) -> bool {
        let factor = self.decay_factor(now);
        let share = self.slow * factor / (self.calls * factor + PRIOR_CALLS);
        self.open_slow > 0 || share >= SLOW_SHARE
    }

    /// Returns whether the server has slow calls or had calls within `lifetime`.
    pub fn is_needed(&self, now: Duration, lifetime: Duration) -> bool {
        self.open_slow > 0 || now.saturating_sub(self.updated_at) < lifetime
    }

    fn decay_factor(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.updated_at).as_secs_f64() / TIME_CONSTANT_S).exp()
    }

    fn decay(&mut self, now: Duration) {
        let factor = self.decay_factor(now);
        self.slow *= factor;
        self.calls *= factor;
        self.updated_at = self.updated_at.max(now);
    }
}
