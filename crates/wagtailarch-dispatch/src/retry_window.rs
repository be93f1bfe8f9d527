//! The share of one instance in a retry budget that all instances draw on.

use std::{collections::VecDeque, time::Duration};

/// Parts into which the window is divided.
const SLICES: u32 = 20;
/// Share of the budget that is used; the rest covers restarted instances, which count from zero,
/// and requests that are counted in another window than their retries.
const RATIO_SHARE: f64 = 0.75;
/// Share of the fixed part of the budget that is used, for the same reason.
const SLACK_SHARE: f64 = 0.4;

/// The budget of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedRetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in any window besides.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Instances that share the fixed part.
    pub instances: usize,
}

/// Requests and retries of this instance for one service in a sliding window.
///
/// The instances do not have to agree: each one uses at most its own requests times the ratio and an
/// equal part of the fixed slack, so that the sum stays within the budget.
#[derive(Debug, Default)]
pub struct RetryWindow {
    /// Slices, oldest first.
    slices: VecDeque<Slice>,
}

#[derive(Debug, Default)]
struct Slice {
    number: u128,
    requests: u32,
    retries: u32,
}

impl RetryWindow {
    /// Counts a request of a client.
    pub fn on_request(&mut self, now: Duration, share: &SharedRetryBudget) {
        self.slice(now, share).requests += 1;
    }

    /// Takes one retry from the budget, or returns false when none is left.
    pub fn try_retry(&mut self, now: Duration, share: &SharedRetryBudget) -> bool {
        if !self.may_retry(now, share) {
            return false;
        }
        self.slice(now, share).retries += 1;
        true
    }

    /// Tells whether a retry is left in the budget.
    pub fn may_retry(&mut self, now: Duration, share: &SharedRetryBudget) -> bool {
        self.slice(now, share);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let slack = share.slack * SLACK_SHARE / share.instances.max(1) as f64;
        let allowed = f64::from(requests) * share.ratio * RATIO_SHARE + slack;
        f64::from(retries) + 1.0 <= allowed
    }

    /// Returns the slice of `now` after removing those that have left the window.
    fn slice(&mut self, now: Duration, share: &SharedRetryBudget) -> &mut Slice {
        let length = (share.window / SLICES).max(Duration::from_millis(1));
        let number = now.as_millis() / length.as_millis().max(1);
        while let Some(first) = self.slices.front() {
            if first.number + u128::from(SLICES) >= number {
                break;
            }
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.number < number) {
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
