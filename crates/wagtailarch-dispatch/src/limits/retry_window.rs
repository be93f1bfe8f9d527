//! The share of one instance in a retry budget that all instances use.

use std::{collections::VecDeque, time::Duration};

/// Number of buckets into which the window is divided.
const BUCKETS: u32 = 20;
/// Share of the ratio that is used by an instance that knows its retries of a whole window.
///
/// The rest is left to instances that have restarted, and covers requests that are counted in
/// another window than their retries.
const RATIO_SHARE: f64 = 0.75;
/// Share of the ratio that is used before that: with the retries of the process before, which used
/// up to [`RATIO_SHARE`], the sum stays within the ratio.
const FIRST_RATIO_SHARE: f64 = 1.0 - RATIO_SHARE;
/// Share of the fixed part of the budget that is used, so that the process before a restart and
/// the one after it together stay below the whole.
const SLACK_SHARE: f64 = 0.4;

/// Share of an instance's retries that second calls leave to the retries of failed calls.
const FAILED_CALLS_SHARE: f64 = 0.5;

/// The retry budget of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedRetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Additional retries in any window, which all instances share.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Number of instances that share the fixed part; `None` while they are not known.
    pub instances: Option<usize>,
    /// Time for which this instance has counted: it knows nothing of its retries before.
    pub counted_for: Duration,
}

impl SharedRetryBudget {
    /// Returns the part of the slack that this instance may use.
    ///
    /// It grows during the first window, so that instances that restart again and again use no more
    /// than one that runs on.
    fn own_slack(&self) -> f64 {
        let Some(instances) = self.instances else {
            return 0.0;
        };
        let window_s = self.window.as_secs_f64().max(f64::MIN_POSITIVE);
        let grown = (self.counted_for.as_secs_f64() / window_s).min(1.0);
        self.slack * SLACK_SHARE * grown / instances.max(1) as f64
    }
}

/// Requests and retries of this instance for one service in a sliding window.
///
/// No coordination is needed: each instance uses at most the ratio of its own requests and an equal
/// share of the fixed part, so that the sum stays within the budget. After a start it uses less of both,
/// since its retries before are not known any more.
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
        let (retries, allowed) = self.used_and_allowed(now, budget);
        retries + 1.0 <= allowed
    }

    /// Takes one retry for a second call, whose first call has not failed; returns false if what is
    /// left is kept for failed calls.
    pub fn try_second_call(&mut self, now: Duration, budget: &SharedRetryBudget) -> bool {
        if !self.may_spare(now, budget) {
            return false;
        }
        self.bucket(now, budget).retries += 1;
        true
    }

    /// Returns whether a retry is left besides those that are kept for failed calls.
    pub fn may_spare(&mut self, now: Duration, budget: &SharedRetryBudget) -> bool {
        let (retries, allowed) = self.used_and_allowed(now, budget);
        retries + 1.0 <= allowed * (1.0 - FAILED_CALLS_SHARE)
    }

    /// Returns the number of requests in the window.
    pub fn requests(&mut self, now: Duration, budget: &SharedRetryBudget) -> u32 {
        self.bucket(now, budget);
        self.buckets.iter().map(|bucket| bucket.requests).sum()
    }

    /// Returns the retries of the window and those that this instance may make in it.
    fn used_and_allowed(&mut self, now: Duration, budget: &SharedRetryBudget) -> (f64, f64) {
        let requests = self.requests(now, budget);
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let ratio_share = match budget.counted_for < budget.window {
            true => FIRST_RATIO_SHARE,
            false => RATIO_SHARE,
        };
        let allowed = f64::from(requests) * budget.ratio * ratio_share + budget.own_slack();
        (f64::from(retries), allowed)
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
