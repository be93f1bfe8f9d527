//! How much of an engine's time goes to prompts that are not late.

use std::time::Duration;

/// Time constant over which prompts of the past lose their weight.
///
/// It covers several prompts of a slow engine, so that two that arrive together are no load that lasts.
const MEMORY: Duration = Duration::from_secs(2);
/// Greatest share that is believed; it keeps the predicted wait of late prompts finite.
const GREATEST_SHARE: f64 = 0.95;

/// Reading of prompts that are on time at one engine, with older prompts weighing less.
#[derive(Debug, Default)]
pub struct UrgentUtilization {
    /// Faded sum of the time that prompts take.
    work_s: f64,
    /// Time of the last change.
    at: Duration,
}

impl UrgentUtilization {
    /// Adds a prompt that takes `work` to be read.
    pub fn add(&mut self, now: Duration, work: Duration) {
        self.work_s = self.faded(now) + work.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the share of the engine's time that such prompts take at present.
    pub fn share(&self, now: Duration) -> f64 {
        (self.faded(now) / MEMORY.as_secs_f64()).min(GREATEST_SHARE)
    }

    fn faded(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.work_s * (-age / MEMORY.as_secs_f64()).exp()
    }
}
