//! The second calls that the share of a service still allows.

use std::time::Duration;

/// Weight of the latest call in the mean server time of a call.
const MEAN_WEIGHT: f64 = 0.05;

/// The second calls of a service that its share still allows, and the server time for them.
///
/// Every request adds the share of a call and every call the share of its time, so the sum since the
/// start never exceeds the share. An instance that has restarted begins without credit.
#[derive(Debug, Default)]
pub(super) struct SecondCredit {
    /// Allowed calls.
    calls: f64,
    /// Most calls that are kept: the share of the requests of the retry window, and at least one.
    max_calls: f64,
    /// Allowed server time in seconds; negative after second calls that took longer than reserved.
    time_s: f64,
    /// Mean server time of a first call in seconds.
    mean_s: f64,
}

impl SecondCredit {
    /// Counts a request.
    pub fn on_request(&mut self, share: f64, window_requests: u32) {
        self.max_calls = (f64::from(window_requests) * share).max(1.0);
        self.calls = (self.calls + share).min(self.max_calls);
    }

    /// Counts the server time of a first call.
    pub fn on_server_time(&mut self, share: f64, time: Duration) {
        let time_s = time.as_secs_f64();
        self.mean_s += (time_s - self.mean_s) * MEAN_WEIGHT;
        // The time that is kept is that of twice the calls that are kept.
        let max_s = 2.0 * self.max_calls * self.mean_s.max(time_s);
        self.time_s = (self.time_s + time_s * share).min(max_s);
    }

    /// Returns whether a call is left.
    pub fn has_call(&self) -> bool {
        // The sum of shares is not exact.
        self.calls >= 1.0 - 1e-9
    }

    /// Returns whether server time for a call is left.
    pub fn has_time(&self, time: Duration) -> bool {
        self.time_s >= time.as_secs_f64()
    }

    /// Takes a call and reserves server time for it.
    pub fn take(&mut self, reserved: Duration) {
        self.calls -= 1.0;
        self.time_s -= reserved.as_secs_f64();
    }

    /// Replaces the reserved time by the one that the call took.
    pub fn settle(&mut self, reserved: Duration, time: Duration) {
        self.time_s += reserved.as_secs_f64() - time.as_secs_f64();
    }
}
