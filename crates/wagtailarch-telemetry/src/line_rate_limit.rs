//! Rate limit of log lines.

use std::time::Duration;

/// Limits the log lines of each second; routine lines may use only half of the limit.
#[derive(Debug)]
pub struct LineRateLimit {
    lines_per_s: u32,
    /// Current second.
    second: u64,
    /// Lines written in the current second.
    written: u32,
    /// Lines dropped since the last written line.
    dropped: u64,
}

/// Result of [`LineRateLimit::check_line`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Write {
        /// Number of lines dropped since the last written line.
        dropped: u64,
    },
    /// The line is dropped.
    Drop,
}

impl LineRateLimit {
    /// Creates a limit of `lines_per_s` lines, half of which are reserved for failures and changes
    /// of state.
    pub fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s,
            second: 0,
            written: 0,
            dropped: 0,
        }
    }

    /// Returns whether a line is written, and counts it; `routine` lines may use half of the limit.
    pub fn check_line(&mut self, now: Duration, routine: bool) -> LineDecision {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.written = 0;
        }
        let limit = if routine {
            self.lines_per_s / 2
        } else {
            self.lines_per_s
        };
        if self.written >= limit {
            self.dropped += 1;
            return LineDecision::Drop;
        }
        self.written += 1;
        LineDecision::Write {
            dropped: std::mem::take(&mut self.dropped),
        }
    }
}
