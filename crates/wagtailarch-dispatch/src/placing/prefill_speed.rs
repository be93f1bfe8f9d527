//! Measured prefill speed of the engines of a service.

use std::{collections::VecDeque, time::Duration};

/// Number of samples that are kept. Their median ignores a few prompts that waited without being
/// reported to this instance.
const MAX_SAMPLES: usize = 15;
/// Slowdown before the first sample.
const REFERENCE_SLOWDOWN: f64 = 1.0;
/// Number of samples that show that engines are slower than the reference engine. One slow prefill may
/// be due to a moment in which its engine was unresponsive.
const MIN_SLOW_SAMPLES: usize = 3;
/// Share of the predicted prefill time below which a prompt contradicts the prediction.
const CONTRADICTION_SHARE: f64 = 0.5;
/// Number of prompts in succession that have to contradict the prediction to replace all samples.
const MIN_CONTRADICTIONS: usize = 3;
/// Time after which a slowdown that no prompt has confirmed is outdated.
///
/// Refused clients return within this time, so that some of their prompts would have confirmed it.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);

/// Prefill speed of the engines of a service, learned from completed prompts.
///
/// The speed is given as a slowdown: the prefill time relative to a reference engine, the model
/// that is used without any measurements. A slowdown of 0.2 means that the engines are five times
/// as fast. All placement costs that represent time on an engine are multiplied by it.
#[derive(Debug, Default)]
pub struct PrefillSpeed {
    /// Latest samples, oldest first; at most `MAX_SAMPLES`.
    samples: VecDeque<f64>,
    /// Relative times of the latest prompts, if they contradict the prediction; fewer than
    /// `MIN_CONTRADICTIONS`.
    contradictions: Vec<f64>,
    /// Time of the last prompt that did not contradict the prediction.
    confirmed_at: Duration,
}

/// Time that a prompt took, relative to its prefill time on the reference engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PrefillSample {
    /// The prompt did not wait.
    Exact(f64),
    /// The prompt may have waited, so that its prefill took at most this time.
    AtMost(f64),
}

impl PrefillSpeed {
    /// Records a completed prompt.
    ///
    /// A prompt that may have waited only counts if the prediction is far too long. Otherwise
    /// predictions that make every prompt late would never be corrected.
    pub fn add(&mut self, now: Duration, sample: PrefillSample) {
        let (PrefillSample::Exact(time) | PrefillSample::AtMost(time)) = sample;
        if time < self.slowdown() * CONTRADICTION_SHARE {
            self.contradictions.push(time);
        } else {
            self.contradictions.clear();
            self.confirmed_at = now;
        }
        if self.contradictions.len() >= MIN_CONTRADICTIONS {
            self.samples = self.contradictions.drain(..).collect();
            self.confirmed_at = now;
            return;
        }
        if let PrefillSample::Exact(time) = sample {
            if self.samples.len() >= MAX_SAMPLES {
                self.samples.pop_front();
            }
            self.samples.push_back(time);
        }
    }

    /// Returns the median of the samples.
    pub fn slowdown(&self) -> f64 {
        let mut sorted: Vec<_> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted
            .get(sorted.len() / 2)
            .copied()
            .unwrap_or(REFERENCE_SLOWDOWN);
        match sorted.len() < MIN_SLOW_SAMPLES {
            true => median.min(REFERENCE_SLOWDOWN),
            false => median,
        }
    }

    /// Returns the slowdown if it is above that of the reference engine and no prompt has confirmed it
    /// lately.
    pub fn outdated_slowdown(&self, now: Duration) -> Option<f64> {
        let slowdown = self.slowdown();
        let is_outdated = now.saturating_sub(self.confirmed_at) >= CONFIRMATION_TIME;
        (slowdown > REFERENCE_SLOWDOWN && is_outdated).then_some(slowdown)
    }
}
