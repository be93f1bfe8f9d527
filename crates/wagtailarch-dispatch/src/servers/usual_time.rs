//! Time that the servers of a service usually take.

/// Largest weight of all earlier samples; some ten seconds of requests at one instance.
const MAX_WEIGHT: f64 = 40.0;

/// Time in seconds that the servers of a plain service usually take for a request, from the requests
/// of this instance.
#[derive(Debug, Clone, Default)]
pub struct UsualTime {
    /// Mean of the logarithms of the times.
    mean_log: f64,
    /// Number of samples; at most `MAX_WEIGHT`.
    weight: f64,
}

impl UsualTime {
    /// Records a completed request.
    pub fn add(&mut self, time_s: f64) {
        if time_s <= 0.0 {
            return;
        }
        self.weight = self.weight.min(MAX_WEIGHT - 1.0) + 1.0;
        self.mean_log += (time_s.ln() - self.mean_log) / self.weight;
    }

    /// Returns the geometric mean in seconds; `None` without samples.
    pub fn seconds(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.mean_log.exp())
    }
}
