//! Measured prefill speed of the engines of a service.

use std::collections::VecDeque;

/// Number of samples that are kept. Their median ignores a few prompts that waited without being
/// reported to this instance.
const MAX_SAMPLES: usize = 15;
/// Slowdown before the first sample.
const REFERENCE_SLOWDOWN: f64 = 1.0;

/// Prefill speed of the engines of a service, learned from prompts that did not wait.
///
/// The speed is given as a slowdown: the prefill time relative to a reference engine, the model
/// that is used without any measurements. A slowdown of 0.2 means that the engines are five times
/// as fast. All placement costs that represent time on an engine are multiplied by it.
#[derive(Debug, Default)]
pub struct PrefillSpeed {
    /// Latest samples, oldest first; at most `MAX_SAMPLES`.
    samples: VecDeque<f64>,
}

impl PrefillSpeed {
    /// Records a prefill time relative to the reference engine.
    pub fn add(&mut self, sample: f64) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns the median of the samples.
    pub fn slowdown(&self) -> f64 {
        let mut sorted: Vec<_> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted
            .get(sorted.len() / 2)
            .copied()
            .unwrap_or(REFERENCE_SLOWDOWN)
    }
}
