//! Rate limits that backend servers name.

use std::fmt;

/// A rate in requests per second, with a resolution of 0.001 requests per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    milli_per_s: u32,
}

/// What a response states about the rate limit of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedLimit {
    /// The server names no limit.
    Absent,
    /// The server takes this rate from all instances together.
    Limit(RateLimit),
    /// The value is no rate; it changes nothing.
    Invalid,
    /// The response is none in which the server would have to name its limit; it changes nothing.
    Unstated,
}

impl RateLimit {
    /// Creates a limit from requests per second; returns `None` if the value is negative or not
    /// finite.
    pub fn new(per_s: f64) -> Option<Self> {
        let valid = per_s.is_finite() && per_s >= 0.0;
        // The conversion saturates at four million requests per second.
        valid.then_some(Self {
            milli_per_s: (per_s * 1_000.0) as u32,
        })
    }

    /// Creates a limit from thousandths of a request per second.
    pub const fn from_milli_per_s(milli_per_s: u32) -> Self {
        Self { milli_per_s }
    }

    /// Returns the limit in thousandths of a request per second.
    pub const fn milli_per_s(self) -> u32 {
        self.milli_per_s
    }

    /// Returns the limit in requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / 1_000.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s())
    }
}
