//! How many log lines a process writes.

use std::time::Duration;

/// A limit on lines in each second, part of which is kept for failures.
#[derive(Debug)]
pub struct LineRateLimit {
    lines_per_s: u32,
    /// Second that is counted.
    second: u64,
    written: u32,
    /// Lines left out since the last report.
    dropped: u64,
}

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written; so many lines were left out since the last one that said so.
    Write {
        /// Lines left out.
        dropped: u64,
    },
    /// The line is left out.
    Drop,
}

impl LineRateLimit {
    /// Creates a limit; half of the lines are for failures and changes of state.
    pub fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s,
            second: 0,
            written: 0,
            dropped: 0,
        }
    }

    /// Decides on one line; `routine` lines may use half of the limit.
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
