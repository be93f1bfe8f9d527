//! Results of a run.

/// Time between two samples, in seconds.
pub(crate) const SAMPLE_S: f64 = 5.0;

/// Results of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunOutcome {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests completed within their deadline.
    pub good: u64,
    /// Output tokens of the requests completed within their deadline.
    pub good_tokens: u64,
    /// Requests refused on arrival.
    pub refused: u64,
    /// Accepted requests that missed their deadline.
    pub late: u64,
    /// Accepted requests that failed: no engine was available, or all retries were used.
    pub lost: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Role changes started.
    pub role_changes: u64,
    /// Prompt tokens found in a prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens of accepted requests.
    pub prompt_tokens: u64,
    /// Length of the run in seconds.
    pub duration_s: f64,
    /// Samples, one every `SAMPLE_S` seconds.
    pub samples: Vec<Sample>,
}

/// State at the end of a sampling interval, and rates within it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// End of the interval in seconds.
    pub at_s: f64,
    /// Output tokens per second of requests completed in the interval within their deadline.
    pub good_tokens_per_s: f64,
    /// Requests per second that arrived in the interval.
    pub offered_per_s: f64,
    /// Prompt tokens queued for prefill on all engines.
    pub queued_tokens: u64,
    /// Requests running or queued on all engines.
    pub running: u64,
    /// Number of serving engines by role: prefill, decode, mixed.
    pub roles: [u32; 3],
}

impl RunOutcome {
    /// Returns the share of requests completed within their deadline.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.offered.max(1) as f64
    }

    /// Returns the output tokens per second of requests completed within their deadline.
    pub fn good_tokens_per_s(&self) -> f64 {
        self.good_tokens as f64 / self.duration_s.max(1.0)
    }

    /// Returns the mean of `good_tokens_per_s` over the samples between two times.
    pub fn good_tokens_between(&self, from_s: f64, to_s: f64) -> f64 {
        let within = |sample: &&Sample| sample.at_s > from_s && sample.at_s <= to_s;
        let rates: Vec<f64> = self
            .samples
            .iter()
            .filter(within)
            .map(|sample| sample.good_tokens_per_s)
            .collect();
        rates.iter().sum::<f64>() / rates.len().max(1) as f64
    }
}
