//! Rate limits, injected faults and counters of the stand-in platform.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Token bucket with a burst of one second.
#[derive(Debug)]
pub struct RateLimit {
    per_s: f64,
    /// Available tokens, from 0 to `per_s`.
    tokens: f64,
    last_refill: Instant,
}

impl RateLimit {
    /// Creates a full bucket of `per_s` tokens, refilled at `per_s` tokens per second.
    pub fn new(per_s: f64, now: Instant) -> Self {
        Self {
            per_s,
            tokens: per_s,
            last_refill: now,
        }
    }

    /// Takes a token for a call and returns whether one was available.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.last_refill)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.per_s);
        self.last_refill = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Selects the writes whose responses are lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostResponses {
    /// Number of further writes that take effect but whose responses are lost.
    pub count: u32,
    /// Prefix of the keys of these writes.
    #[serde(default)]
    pub prefix: String,
}

/// Body of the control calls that set a time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Milliseconds {
    /// Time in milliseconds.
    pub ms: u64,
}

/// Faults injected by the control API.
#[derive(Debug, Default)]
pub struct Faults {
    /// End of the outage.
    pub outage_until: Option<Instant>,
    /// Writes whose responses are lost.
    pub lost_responses: LostResponses,
    /// Delay of every call.
    pub delay: Duration,
}

impl Faults {
    /// Returns whether an outage is in effect.
    pub fn is_down(&self, now: Instant) -> bool {
        self.outage_until.is_some_and(|until| now < until)
    }

    /// Returns whether the response to a write of `key` is lost and, if so, counts it down.
    pub fn take_lost_response(&mut self, key: &str) -> bool {
        if self.lost_responses.count == 0 || !key.starts_with(&self.lost_responses.prefix) {
            return false;
        }
        self.lost_responses.count -= 1;
        true
    }
}

/// Counters for tests and measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Number of gets, lists, watches and calls for the list of instances.
    pub reads: u64,
    /// Number of puts and deletes.
    pub writes: u64,
    /// Number of writes whose precondition failed.
    pub mismatches: u64,
    /// Number of calls refused because of a rate limit.
    pub rate_limited: u64,
    /// Number of calls refused because of an outage.
    pub refused_by_outage: u64,
    /// Number of writes that took effect but whose responses were lost.
    #[serde(rename = "lost_answers")]
    pub lost_responses: u64,
}
