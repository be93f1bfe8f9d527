//! Pace of one server, from completed work and from what it states of its machine.

use std::time::Duration;

/// Time after which a stated figure has lost two thirds of its weight.
///
/// Machines that are shared with others change their pace several times per second.
const STATEMENT_TIME_CONSTANT_S: f64 = 0.25;
/// Time after which a learned figure has lost two thirds of its logarithm, so that a server that gets
/// no work because it was slow once is tried again.
const LEARNED_TIME_CONSTANT_S: f64 = 10.0;
/// Bounds of a stated figure in percent; figures outside are no measurement of a machine.
const STATED_RANGE_PERCENT: (u32, u32) = (10, 2_000);
/// Weight of the assumption that a server has the pace of its service, in samples.
const PRIOR_WEIGHT: f64 = 1.0;
/// Largest weight of all earlier samples, so that a server that changes for good is seen within some
/// ten pieces of work.
const MAX_WEIGHT: f64 = 8.0;
/// Bounds of one sample relative to the service, since one delayed piece of work shows little.
const SAMPLE_RANGE: (f64, f64) = (0.25, 4.0);
/// Bounds of the learned pace, so that no server is left without work that corrects its figure.
const LEARNED_RANGE: (f64, f64) = (0.4, 3.0);

/// How long work takes on one server, relative to what its service usually takes.
///
/// A figure of 2.0 means twice the time. A server without completed work has the pace of its service.
#[derive(Debug, Clone, Default)]
pub struct ServerPace {
    /// Weighted mean of the logarithms of the samples, each in the unit of the service's usual time, so
    /// that a correction of the usual time corrects this figure too.
    learned_log: f64,
    /// Weight of the samples; at most `MAX_WEIGHT`.
    weight: f64,
    /// Time of the latest sample.
    sampled_at: Duration,
    /// Latest figure that the server stated of its machine, with the time of its receipt.
    stated: Option<(f64, Duration)>,
}

impl ServerPace {
    /// Records that the server states how long work takes on its machine at this moment, in percent
    /// of the usual time.
    pub fn on_stated(&mut self, now: Duration, percent: u32) {
        let (low, high) = STATED_RANGE_PERCENT;
        let is_newer = self.stated.is_none_or(|(_, at)| at <= now);
        if (low..=high).contains(&percent) && is_newer {
            self.stated = Some((f64::from(percent) / 100.0, now));
        }
    }

    /// Records completed work that took `time` and usually takes `usual` in the service.
    ///
    /// All times of a server have the same unit. `weight` is 1 for work that did not wait, and less for work whose time
    /// contains a predicted wait. The machine's momentary figure is no property of the server and is
    /// removed from the sample.
    pub fn on_completed(&mut self, now: Duration, time: f64, usual: f64, weight: f64) {
        let ratio = time / usual / self.momentary(now);
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let sample = (ratio.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1) * usual).ln();
        let previous = self.weight.min(MAX_WEIGHT - weight);
        self.weight = previous + weight;
        self.learned_log += (sample - self.learned_log) * weight / self.weight;
        self.sampled_at = now;
    }

    /// Returns the pace learned from completed work, without the momentary figure, where the service
    /// usually takes `usual`.
    pub fn learned(&self, usual: f64) -> f64 {
        if self.weight <= 0.0 || usual <= 0.0 {
            return 1.0;
        }
        let confidence = self.weight / (self.weight + PRIOR_WEIGHT);
        let learned = ((self.learned_log - usual.ln()) * confidence).exp();
        learned.clamp(LEARNED_RANGE.0, LEARNED_RANGE.1)
    }

    /// Returns the expected pace of work that starts at `now`.
    ///
    /// Without samples the learned figure returns to that of the service.
    pub fn at(&self, now: Duration, usual: f64) -> f64 {
        let age_s = now.saturating_sub(self.sampled_at).as_secs_f64();
        let kept = (-age_s / LEARNED_TIME_CONSTANT_S).exp();
        self.learned(usual).powf(kept) * self.momentary(now)
    }

    /// Returns the figure that the machine's last statement implies at `now`; 1 without a recent one.
    pub fn momentary(&self, now: Duration) -> f64 {
        let Some((stated, at)) = self.stated else {
            return 1.0;
        };
        let age_s = now.saturating_sub(at).as_secs_f64();
        1.0 + (stated - 1.0) * (-age_s / STATEMENT_TIME_CONSTANT_S).exp()
    }
}
