//! The retry budget of a service.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Time constant in seconds with which the allowance of past requests decays.
const RECENT_TIME_CONSTANT_S: f64 = 10.0;
/// Time in seconds for which an unused floor accumulates.
const FLOOR_BURST_S: f64 = 5.0;

/// The retry budget of a service: a share of recent requests plus a floor per second.
///
/// Over any interval the number of granted retries is at most
/// `ratio * requests + floor_per_s * time + burst()` plus the allowance left from earlier requests.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    floor_per_s: f64,
    allowance: Mutex<Allowance>,
}

/// The allowance not yet used, in retries.
#[derive(Debug)]
struct Allowance {
    /// Allowance from recent requests; decays with the time constant `RECENT_TIME_CONSTANT_S`.
    from_requests: f64,
    /// Allowance from the floor; at most `burst()`.
    from_floor: f64,
    /// Time of the last change; never decreases.
    updated_at: Duration,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each request plus `floor_per_s` retries a second.
    pub fn new(ratio: f64, floor_per_s: f64) -> Self {
        let budget = Self {
            ratio: ratio.max(0.0),
            floor_per_s: floor_per_s.max(0.0),
            allowance: Mutex::new(Allowance {
                from_requests: 0.0,
                from_floor: 0.0,
                updated_at: Duration::ZERO,
            }),
        };
        let burst = budget.burst();
        budget.lock().from_floor = burst;
        budget
    }

    /// Returns the maximum allowance from the floor, in retries.
    pub fn burst(&self) -> f64 {
        self.floor_per_s * FLOOR_BURST_S
    }

    /// Counts a request; retries do not count as requests.
    pub fn on_request(&self, now: Duration) {
        let mut allowance = self.lock();
        self.advance(&mut allowance, now);
        allowance.from_requests += self.ratio;
    }

    /// Takes one retry from the budget, or returns false if none is left.
    pub fn try_retry(&self, now: Duration) -> bool {
        let mut allowance = self.lock();
        self.advance(&mut allowance, now);
        if allowance.from_requests + allowance.from_floor < 1.0 {
            return false;
        }
        // The allowance that decays is used first.
        let from_requests = allowance.from_requests.min(1.0);
        allowance.from_requests -= from_requests;
        allowance.from_floor -= 1.0 - from_requests;
        true
    }

    /// Decays the allowance from requests and accumulates the floor up to `now`.
    fn advance(&self, allowance: &mut Allowance, now: Duration) {
        let elapsed_s = now.saturating_sub(allowance.updated_at).as_secs_f64();
        allowance.updated_at = allowance.updated_at.max(now);
        allowance.from_requests *= (-elapsed_s / RECENT_TIME_CONSTANT_S).exp();
        allowance.from_floor =
            (allowance.from_floor + elapsed_s * self.floor_per_s).min(self.burst());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Allowance> {
        self.allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
