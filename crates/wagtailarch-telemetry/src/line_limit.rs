//! How many log lines a process writes.

use std::time::Duration;

/// A limit on lines in each second, part of which is kept for failures.
#[derive(Debug)]
pub struct LineLimit {
    lines_per_s: u32,
    /// Second that is counted.
    second: u64,
    written: u32,
    /// Lines left out since the last report.
    left_out: u64,
}

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The line is written; so many lines were left out since the last one that said so.
    Write {
        /// Lines left out.
        left_out: u64,
    },
    /// The line is left out.
    LeaveOut,
}

impl LineLimit {
    /// Creates a limit; half of the lines are for failures and changes of state.
    pub fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s,
            second: 0,
            written: 0,
            left_out: 0,
        }
    }

    /// Decides on one line; `routine` lines may use half of the limit.
    pub fn on_line(&mut self, now: Duration, routine: bool) -> Verdict {
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
            self.left_out += 1;
            return Verdict::LeaveOut;
        }
        self.written += 1;
        Verdict::Write {
            left_out: std::mem::take(&mut self.left_out),
        }
    }
}
