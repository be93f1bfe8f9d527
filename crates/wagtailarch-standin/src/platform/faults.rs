//! Rate limits and faults of the stand-in platform.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Token bucket with a burst of one second.
#[derive(Debug)]
pub struct RateLimit {
    per_s: f64,
    /// From 0 to `per_s`.
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(per_s: f64, now: Instant) -> Self {
        Self {
            per_s,
            tokens: per_s,
            filled: now,
        }
    }

    /// Takes one call from the bucket.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.per_s);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Which answers to writes are lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostAnswers {
    /// Writes whose answer is lost although they took effect.
    pub count: u32,
    /// Only writes to keys with this prefix.
    #[serde(default)]
    pub prefix: String,
}

/// A time in milliseconds, the body of several control calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Milliseconds {
    /// The time.
    pub ms: u64,
}

/// Faults that the control API sets.
#[derive(Debug, Default)]
pub struct Faults {
    /// End of the outage.
    pub outage_until: Option<Instant>,
    /// Answers that are lost.
    pub lost: LostAnswers,
    /// Delay of every call.
    pub delay: Duration,
}

impl Faults {
    /// Tells whether the platform is down.
    pub fn is_down(&self, now: Instant) -> bool {
        self.outage_until.is_some_and(|until| now < until)
    }

    /// Tells whether the answer to a write of `key` is lost, and counts it.
    pub fn loses_answer(&mut self, key: &str) -> bool {
        if self.lost.count == 0 || !key.starts_with(&self.lost.prefix) {
            return false;
        }
        self.lost.count -= 1;
        true
    }
}

/// Counters that tests and measurements read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Reads, lists, watches and calls for the list of instances.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Writes that found another version.
    pub mismatches: u64,
    /// Calls refused by the rate limits.
    pub rate_limited: u64,
    /// Calls refused by an outage.
    pub refused_by_outage: u64,
    /// Answers lost after the write took effect.
    pub lost_answers: u64,
}
