//! Estimates the demand of a group and the duration of an imbalance between demand and roles.

use std::time::Duration;

use crate::planner_capacity::RoleCounts;
use crate::{Demand, PlannerConfig, PlannerGroup};

/// Weight of the last imbalance in the mean duration of imbalances.
const LAST_DURATION_WEIGHT: f64 = 0.5;

/// Demand as a number of engines at the target utilisation, with standard errors.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) prefill: f64,
    pub(crate) prefill_error: f64,
    pub(crate) decode: f64,
    pub(crate) decode_error: f64,
}

/// Averages of a group's demand.
#[derive(Debug, Default)]
pub(crate) struct DemandEstimate {
    prefill: Average,
    decode: Average,
    sampled_at: Option<Duration>,
}

impl DemandEstimate {
    /// Updates the averages with a sample; without one they stay unchanged.
    pub(crate) fn update(&mut self, now: Duration, sample: Option<Demand>, config: &PlannerConfig) {
        let Some(sample) = sample else {
            return;
        };
        let elapsed = self
            .sampled_at
            .map(|at| now.saturating_sub(at).as_secs_f64());
        self.sampled_at = Some(now);
        let (fast, slow) = (
            config.fast_time_constant.as_secs_f64(),
            config.slow_time_constant.as_secs_f64(),
        );
        let prefill = sample.prefill_tokens_per_s;
        self.prefill.update(elapsed, prefill, fast, slow);
        let decode = sample.decode_tokens_per_s;
        self.decode.update(elapsed, decode, fast, slow);
    }

    /// Returns the averages; `None` before the first sample.
    pub(crate) fn mean(&self) -> Option<Demand> {
        self.sampled_at.map(|_| Demand {
            prefill_tokens_per_s: self.prefill.mean,
            decode_tokens_per_s: self.decode.mean,
        })
    }

    /// Returns the demand in engines; `None` if the last sample is stale or the capacity is
    /// unknown.
    pub(crate) fn load(
        &self,
        now: Duration,
        group: &PlannerGroup,
        config: &PlannerConfig,
    ) -> Option<Load> {
        let sampled_at = self.sampled_at?;
        if now.saturating_sub(sampled_at) > config.stale_after {
            return None;
        }
        let prefill = group.prefill_capacity_per_s * config.target_utilisation;
        let decode = group.decode_capacity_per_s * config.target_utilisation;
        if prefill <= 0.0 || decode <= 0.0 {
            return None;
        }
        let fast = config.fast_time_constant.as_secs_f64();
        Some(Load {
            prefill: self.prefill.mean / prefill,
            prefill_error: self.prefill.error(fast) / prefill,
            decode: self.decode.mean / decode,
            decode_error: self.decode.error(fast) / decode,
        })
    }
}

/// Exponentially weighted mean and variance of samples at irregular intervals.
#[derive(Debug, Default)]
struct Average {
    mean: f64,
    variance: f64,
}

impl Average {
    fn update(&mut self, elapsed_s: Option<f64>, sample: f64, fast_s: f64, slow_s: f64) {
        let Some(elapsed_s) = elapsed_s else {
            self.mean = sample;
            return;
        };
        let difference = sample - self.mean;
        let weight = |constant_s: f64| 1.0 - (-elapsed_s / constant_s).exp();
        self.mean += weight(fast_s) * difference;
        self.variance += weight(slow_s) * (difference * difference - self.variance);
    }

    /// Returns the standard error of the mean for samples at intervals of one second.
    fn error(&self, fast_s: f64) -> f64 {
        let weight = 1.0 - (-1.0 / fast_s).exp();
        (self.variance * weight / (2.0 - weight)).sqrt()
    }
}

/// The current imbalance between demand and roles: a period in which the best change keeps its
/// direction.
#[derive(Debug, Default)]
pub(crate) struct Imbalance {
    /// Weighted gain in engine-seconds that was forgone in this imbalance so far.
    pub(crate) forgone_gain: f64,
    /// Direction and start of the imbalance; `None` while no change has a gain.
    current: Option<(i8, Duration)>,
    /// When the best change began to have no gain or another direction.
    interrupted_at: Option<Duration>,
    /// Roles at the start of the current imbalance.
    counts: RoleCounts,
    /// Direction and start of the last imbalance that began.
    last_started: Option<(i8, Duration)>,
    /// Mean duration of past demand mixes in seconds.
    mean_s: Option<f64>,
    advanced_at: Option<Duration>,
}

impl Imbalance {
    /// Discards the current imbalance, since the demand is unknown.
    pub(crate) fn clear(&mut self) {
        self.forgone_gain = 0.0;
        self.current = None;
        self.interrupted_at = None;
        self.advanced_at = None;
    }

    /// Updates the imbalance with the direction of the currently best change and its weighted gain
    /// in engines. An interruption shorter than `tolerance` does not end an imbalance.
    pub(crate) fn advance(
        &mut self,
        now: Duration,
        direction: Option<i8>,
        gain_rate: f64,
        counts: RoleCounts,
        tolerance: Duration,
    ) {
        let elapsed = now.saturating_sub(self.advanced_at.unwrap_or(now));
        self.advanced_at = Some(now);
        let current = self.current.map(|(direction, _)| direction);
        if current.is_some() && current == direction {
            self.interrupted_at = None;
            self.forgone_gain += gain_rate * elapsed.as_secs_f64();
            return;
        }
        if let Some((_, since)) = self.current {
            let interrupted_at = *self.interrupted_at.get_or_insert(now);
            if now.saturating_sub(interrupted_at) < tolerance {
                return;
            }
            // If a role change ended the imbalance, its length says nothing about the demand mix.
            if counts == self.counts && direction.is_none() {
                self.record_duration(interrupted_at.saturating_sub(since));
            }
        }
        self.forgone_gain = 0.0;
        self.interrupted_at = None;
        self.current = direction.map(|direction| (direction, now));
        self.counts = counts;
        let Some(direction) = direction else {
            return;
        };
        if let Some((last_direction, since)) = self.last_started
            && last_direction != direction
        {
            self.record_duration(now.saturating_sub(since));
        }
        self.last_started = Some((direction, now));
    }

    /// Updates the mean duration.
    fn record_duration(&mut self, duration: Duration) {
        let duration_s = duration.as_secs_f64();
        let mean_s = self.mean_s.unwrap_or(duration_s);
        self.mean_s = Some(mean_s + LAST_DURATION_WEIGHT * (duration_s - mean_s));
    }

    /// Returns how long the imbalance is expected to continue, at most `horizon_s`. One that has
    /// lasted longer than the mean is expected to last as long again.
    pub(crate) fn remaining_s(&self, now: Duration, horizon_s: f64) -> f64 {
        let (Some((_, since)), Some(mean_s)) = (self.current, self.mean_s) else {
            return horizon_s;
        };
        let elapsed_s = now.saturating_sub(since).as_secs_f64();
        let expected_s = if elapsed_s < mean_s {
            mean_s - elapsed_s
        } else {
            elapsed_s
        };
        expected_s.min(horizon_s)
    }
}
