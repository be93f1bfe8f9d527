//! How long the engines of a service take to read prompts.

use std::collections::VecDeque;

/// Measurements that are kept; the median of so many ignores several prompts that waited unseen.
const SAMPLES: usize = 15;
/// Pace until the first measurement.
const ASSUMED: f64 = 1.0;

/// Pace at which the engines of a service read, learned from prompts that did not wait.
///
/// It is the time that reading takes in relation to the one assumed for engines of which nothing is
/// known, so that 0.2 stands for engines five times as fast. All costs of placing that stand for time
/// of an engine are multiplied by it.
#[derive(Debug, Default)]
pub struct PrefillSpeed {
    /// Newest measurements, oldest first; at most `SAMPLES`.
    samples: VecDeque<f64>,
}

impl PrefillSpeed {
    /// Notes the time that an engine took in relation to the assumed one.
    pub fn add(&mut self, ratio: f64) {
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(ratio);
    }

    /// Returns the median of the newest measurements.
    pub fn factor(&self) -> f64 {
        let mut sorted: Vec<_> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or(ASSUMED)
    }
}
