//! Record of the reads that led to an update, for logs.

use std::{collections::VecDeque, fmt, time::Duration};

use smol_str::SmolStr;
use tokio::time::Instant;

/// Number of failed reads that are kept; older ones are dropped.
const MAX_FAILURES: usize = 6;

/// The source of the newest update and the reads that failed before it.
#[derive(Debug, Default)]
pub struct ReadTrail {
    source: SmolStr,
    /// When a source last responded.
    responded_at: Option<Instant>,
    /// Time between the newest response and the one before it.
    gap: Duration,
    /// Reads that failed since the last response, each with its cause.
    failures: VecDeque<String>,
    /// Reads that failed before the newest response.
    tried: String,
}

impl ReadTrail {
    /// Records a read that failed.
    pub fn on_failure(&mut self, source: &str, cause: impl fmt::Display) {
        if self.failures.len() == MAX_FAILURES {
            self.failures.pop_front();
        }
        self.failures.push_back(format!("{source}: {cause}"));
    }

    /// Records a response of a source.
    pub fn on_response(&mut self, source: SmolStr) {
        let now = Instant::now();
        let before = self.responded_at.replace(now);
        self.gap = before.map_or(Duration::ZERO, |before| {
            now.saturating_duration_since(before)
        });
        self.source = source;
        let failures: Vec<_> = self.failures.drain(..).collect();
        self.tried = failures.join("; ");
    }

    /// Returns the source of the newest response.
    pub fn source(&self) -> &str {
        &self.source
    }

    /// Returns the time in milliseconds between the newest response and the one before it.
    pub fn gap_ms(&self) -> u64 {
        u64::try_from(self.gap.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the reads that failed between the two newest responses, each with its cause.
    pub fn tried(&self) -> &str {
        &self.tried
    }
}
