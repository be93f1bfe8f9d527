//! The retry budget of a service.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Time constant in seconds over which the allowance of past requests fades.
const RECENT_S: f64 = 10.0;
/// Time in seconds for which the floor accumulates while it is unused.
const FLOOR_BURST_S: f64 = 5.0;

/// The retry budget of a service: a share of recent requests plus a floor per second.
///
/// Over any interval the granted retries are at most
/// `ratio * requests + floor_per_s * time + burst()`.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    floor_per_s: f64,
    state: Mutex<Tokens>,
}

/// Unused retries, in retries.
#[derive(Debug)]
struct Tokens {
    /// Allowance of recent requests; it fades with `RECENT_S`.
    from_requests: f64,
    /// Allowance of the floor; at most `burst()`.
    from_floor: f64,
    /// Time of the last change; it never falls.
    at: Duration,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each request plus `floor_per_s` retries a second.
    pub fn new(ratio: f64, floor_per_s: f64) -> Self {
        let budget = Self {
            ratio: ratio.max(0.0),
            floor_per_s: floor_per_s.max(0.0),
            state: Mutex::new(Tokens {
                from_requests: 0.0,
                from_floor: 0.0,
                at: Duration::ZERO,
            }),
        };
        let burst = budget.burst();
        budget.lock().from_floor = burst;
        budget
    }

    /// Returns the greatest allowance of the floor, in retries.
    pub fn burst(&self) -> f64 {
        self.floor_per_s * FLOOR_BURST_S
    }

    /// Counts a request; retries do not count as requests.
    pub fn on_request(&self, now: Duration) {
        let mut tokens = self.lock();
        self.advance(&mut tokens, now);
        tokens.from_requests += self.ratio;
    }

    /// Takes one retry from the budget, or returns false when none is left.
    pub fn try_retry(&self, now: Duration) -> bool {
        let mut tokens = self.lock();
        self.advance(&mut tokens, now);
        if tokens.from_requests + tokens.from_floor < 1.0 {
            return false;
        }
        // The allowance that fades is used first.
        let from_requests = tokens.from_requests.min(1.0);
        tokens.from_requests -= from_requests;
        tokens.from_floor -= 1.0 - from_requests;
        true
    }

    fn advance(&self, tokens: &mut Tokens, now: Duration) {
        let elapsed_s = now.saturating_sub(tokens.at).as_secs_f64();
        tokens.at = tokens.at.max(now);
        tokens.from_requests *= (-elapsed_s / RECENT_S).exp();
        tokens.from_floor = (tokens.from_floor + elapsed_s * self.floor_per_s).min(self.burst());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Tokens> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
