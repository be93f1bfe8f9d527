//! Utilization of an engine by prompts that are on time.

use std::time::Duration;

/// Time constant with which the weight of earlier prompts decays.
///
/// It spans several prompts of a slow engine, so that two prompts that arrive together do not count
/// as sustained load.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Upper bound of the utilization, which keeps the predicted wait of late prompts finite.
const MAX_UTILIZATION: f64 = 0.95;

/// Exponentially decaying average of the prefill time of prompts that are on time at one engine.
#[derive(Debug, Default)]
pub struct UrgentUtilization {
    /// Decayed sum of the prefill times in seconds.
    work_s: f64,
    /// Time of the last update.
    updated_at: Duration,
}

impl UrgentUtilization {
    /// Adds a prompt with a prefill time of `work`.
    pub fn add(&mut self, now: Duration, work: Duration) {
        self.work_s = self.decayed_work_s(now) + work.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the share of the engine's time that these prompts take at present.
    pub fn current(&self, now: Duration) -> f64 {
        (self.decayed_work_s(now) / TIME_CONSTANT.as_secs_f64()).min(MAX_UTILIZATION)
    }

    fn decayed_work_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.work_s * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
