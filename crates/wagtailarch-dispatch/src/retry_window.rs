//! The share of one instance in a retry budget that all instances use.

use std::{collections::VecDeque, time::Duration};

/// Number of buckets into which the window is divided.
const BUCKETS: u32 = 20;
/// Share of the ratio that is used. The rest covers restarted instances, which count from zero, and
/// requests that are counted in another window than their retries.
const RATIO_SHARE: f64 = 0.75;
/// Share of the fixed part of the budget that is used, for the same reasons.
const SLACK_SHARE: f64 = 0.4;

/// The retry budget of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedRetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Additional retries in any window, which all instances share.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Number of instances that share the fixed part.
    pub instances: usize,
}

/// Requests and retries of this instance for one service in a sliding window.
///
/// No coordination is needed: each instance uses at most the ratio of its own requests and an equal
/// share of the fixed part, so that the sum stays within the budget.
#[derive(Debug, Default)]
pub struct RetryWindow {
    /// Buckets, oldest first.
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Default)]
struct Bucket {
    number: u128,
    requests: u32,
    retries: u32,
}

impl RetryWindow {
    /// Counts a request of a client.
    pub fn on_request(&mut self, now: Duration, budget: &SharedRetryBudget) {
        self.bucket(now, budget).requests += 1;
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self, now: Duration, budget: &SharedRetryBudget) -> bool {
        if !self.may_retry(now, budget) {
            return false;
        }
        self.bucket(now, budget).retries += 1;
        true
    }

    /// Returns whether a retry is left in the budget.
    pub fn may_retry(&mut self, now: Duration, budget: &SharedRetryBudget) -> bool {
        self.bucket(now, budget);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = budget.slack * SLACK_SHARE / budget.instances.max(1) as f64;
        let allowed = f64::from(requests) * budget.ratio * RATIO_SHARE + slack;
        f64::from(retries) + 1.0 <= allowed
    }

    /// Returns the bucket of `now` after removing those outside the window.
    fn bucket(&mut self, now: Duration, budget: &SharedRetryBudget) -> &mut Bucket {
        let length = (budget.window / BUCKETS).max(Duration::from_millis(1));
        let number = now.as_millis() / length.as_millis().max(1);
        while let Some(oldest) = self.buckets.front() {
            if oldest.number + u128::from(BUCKETS) >= number {
                break;
            }
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|newest| newest.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
