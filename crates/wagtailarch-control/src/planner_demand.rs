//! Estimates of demand and of how long an imbalance lasts.

use std::time::Duration;

use crate::planner_capacity::RoleCounts;
use crate::{Demand, PlannerConfig, PlannerGroup};

/// Weight of the last imbalance in the mean duration of imbalances.
const LAST_EPISODE_WEIGHT: f64 = 0.5;

/// Demand in engines at the target utilisation, with standard errors.
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
    /// Takes a sample; a missing one leaves the averages as they are.
    pub(crate) fn update(&mut self, now: Duration, sample: Option<Demand>, config: &PlannerConfig) {
        let Some(sample) = sample else {
            return;
        };
        let elapsed = self
            .sampled_at
            .map(|at| now.saturating_sub(at).as_secs_f64());
        self.sampled_at = Some(now);
        let (fast, slow) = (config.fast.as_secs_f64(), config.slow.as_secs_f64());
        let prefill = sample.prefill_tokens_per_s;
        self.prefill.update(elapsed, prefill, fast, slow);
        let decode = sample.decode_tokens_per_s;
        self.decode.update(elapsed, decode, fast, slow);
    }

    /// Returns the averages, if there was a sample.
    pub(crate) fn mean(&self) -> Option<Demand> {
        self.sampled_at.map(|_| Demand {
            prefill_tokens_per_s: self.prefill.mean,
            decode_tokens_per_s: self.decode.mean,
        })
    }

    /// Returns the demand in engines; `None` if the last sample is too old to act upon or the
    /// capacity is unknown.
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
        let fast = config.fast.as_secs_f64();
        Some(Load {
            prefill: self.prefill.mean / prefill,
            prefill_error: self.prefill.error(fast) / prefill,
            decode: self.decode.mean / decode,
            decode_error: self.decode.error(fast) / decode,
        })
    }
}

/// Exponentially weighted average with variance, over samples at irregular times.
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
        let share = |constant_s: f64| 1.0 - (-elapsed_s / constant_s).exp();
        self.mean += share(fast_s) * difference;
        self.variance += share(slow_s) * (difference * difference - self.variance);
    }

    /// Returns the standard error of the mean of samples a second apart.
    fn error(&self, fast_s: f64) -> f64 {
        let share = 1.0 - (-1.0 / fast_s).exp();
        (self.variance * share / (2.0 - share)).sqrt()
    }
}

/// The present imbalance of demand and roles: a time in which the best change has one direction.
#[derive(Debug, Default)]
pub(crate) struct Episode {
    /// Weighted gain in engine-seconds that was forgone in this imbalance.
    pub(crate) regret: f64,
    /// Direction and start; `None` while no change would gain anything.
    current: Option<(i8, Duration)>,
    /// When the best change first had no gain or another direction.
    lapsed_at: Option<Duration>,
    /// Roles at the start of the present imbalance.
    counts: RoleCounts,
    /// Direction and start of the last imbalance that began.
    last: Option<(i8, Duration)>,
    /// Mean duration of past mixes in seconds.
    mean_s: Option<f64>,
    advanced_at: Option<Duration>,
}

impl Episode {
    /// Forgets the present imbalance, when its demand is not known.
    pub(crate) fn clear(&mut self) {
        self.regret = 0.0;
        self.current = None;
        self.lapsed_at = None;
        self.advanced_at = None;
    }

    /// Notes the direction of the best change at present and its weighted gain in engines. A lapse
    /// shorter than `tolerance` does not end an imbalance.
    pub(crate) fn advance(
        &mut self,
        now: Duration,
        direction: Option<i8>,
        rate: f64,
        counts: RoleCounts,
        tolerance: Duration,
    ) {
        let elapsed = now.saturating_sub(self.advanced_at.unwrap_or(now));
        self.advanced_at = Some(now);
        let current = self.current.map(|(direction, _)| direction);
        if current.is_some() && current == direction {
            self.lapsed_at = None;
            self.regret += rate * elapsed.as_secs_f64();
            return;
        }
        if let Some((_, since)) = self.current {
            let lapsed_at = *self.lapsed_at.get_or_insert(now);
            if now.saturating_sub(lapsed_at) < tolerance {
                return;
            }
            // An imbalance that a role change ended says nothing of how long the mix lasts.
            if counts == self.counts && direction.is_none() {
                self.note_duration(lapsed_at.saturating_sub(since));
            }
        }
        self.regret = 0.0;
        self.lapsed_at = None;
        self.current = direction.map(|direction| (direction, now));
        self.counts = counts;
        let Some(direction) = direction else {
            return;
        };
        if let Some((last, since)) = self.last
            && last != direction
        {
            self.note_duration(now.saturating_sub(since));
        }
        self.last = Some((direction, now));
    }

    fn note_duration(&mut self, lasted: Duration) {
        let lasted_s = lasted.as_secs_f64();
        let mean_s = self.mean_s.unwrap_or(lasted_s);
        self.mean_s = Some(mean_s + LAST_EPISODE_WEIGHT * (lasted_s - mean_s));
    }

    /// Returns how long the imbalance is likely to last, at most the horizon. One that has outlived
    /// its predecessors is expected to last as long again.
    pub(crate) fn remaining_s(&self, now: Duration, horizon_s: f64) -> f64 {
        let (Some((_, since)), Some(mean_s)) = (self.current, self.mean_s) else {
            return horizon_s;
        };
        let elapsed_s = now.saturating_sub(since).as_secs_f64();
        let likely_s = if elapsed_s < mean_s {
            mean_s - elapsed_s
        } else {
            elapsed_s
        };
        likely_s.min(horizon_s)
    }
}
