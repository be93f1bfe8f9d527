//! What a run has brought.

/// Length of a sample in seconds.
pub(crate) const SAMPLE_S: f64 = 5.0;

/// What a run has brought.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunOutcome {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered completely within their deadline.
    pub good: u64,
    /// Tokens of the good requests.
    pub good_tokens: u64,
    /// Requests refused at once.
    pub refused: u64,
    /// Requests that were accepted and missed their deadline.
    pub late: u64,
    /// Requests that were accepted and lost with their engine.
    pub lost: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Role changes that were begun.
    pub role_changes: u64,
    /// Prompt tokens found in a cache.
    pub cached_tokens: u64,
    /// Prompt tokens of accepted requests.
    pub prompt_tokens: u64,
    /// Length of the run in seconds.
    pub duration_s: f64,
    /// State every `SAMPLE_S` seconds.
    pub samples: Vec<Sample>,
}

/// State at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Time in seconds at the end of the sample.
    pub at_s: f64,
    /// Tokens per second of good requests that ended in the sample.
    pub good_tokens_per_s: f64,
    /// Requests per second that arrived in the sample.
    pub offered_per_s: f64,
    /// Prompt tokens that wait on all engines.
    pub queued_tokens: u64,
    /// Requests on all engines.
    pub running: u64,
    /// Engines that serve with each role: prefill, decode, mixed.
    pub roles: [u32; 3],
}

impl RunOutcome {
    /// Returns the share of requests answered completely within their deadline.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.offered.max(1) as f64
    }

    /// Returns the tokens per second of requests answered within their deadline.
    pub fn good_tokens_per_s(&self) -> f64 {
        self.good_tokens as f64 / self.duration_s.max(1.0)
    }

    /// Returns the mean of good tokens per second between two times.
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
