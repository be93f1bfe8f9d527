//! Decides which window of use the holder of the duty reports.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use wagtailarch_types::{InstanceId, TeamName};
use wagtailarch_wire::team_use::WindowId;

use crate::use_sums::UseSums;

/// Fraction of the time until a report is due for which the holder waits at least after a window's end,
/// since requests are counted when their responses arrive.
const SETTLE_FRACTION: f64 = 0.1;
/// Fraction of the time until a report is due after which the holder reports without the counts of
/// instances that have not sent all; the rest is for the store and the call.
const LAST_FRACTION: f64 = 0.6;

/// The report of one window, as recorded in the store before it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseReport {
    /// Window.
    pub window: WindowId,
    /// Requests of each team that began to run in the window.
    pub counts: IndexMap<TeamName, u64>,
}

/// Decides which window of use is reported next; all times are since the start of 1970.
///
/// A window has one report: the next one is always that after the window recorded in the store, and a
/// recorded report is only repeated as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UseReporter {
    /// Length of a window; above zero.
    window: Duration,
    /// Time after a window's end within which its report is due.
    late: Duration,
    /// First window that is reported where the store has no report.
    first: WindowId,
    /// Last window whose report the platform has accepted from this holder, or that is out of time.
    done: Option<WindowId>,
}

impl UseReporter {
    /// Creates the decision of an instance that starts at `now`.
    pub fn new(window: Duration, late: Duration, now: Duration) -> Self {
        let window = window.max(Duration::from_secs(1));
        Self {
            window,
            late,
            first: window_at(window, now),
            done: None,
        }
    }

    /// Returns the window of a time.
    pub fn window_at(&self, now: Duration) -> WindowId {
        window_at(self.window, now)
    }

    /// Returns the end of a window.
    pub fn end(&self, window: WindowId) -> Duration {
        let windows = u32::try_from(window + 1).unwrap_or(u32::MAX);
        self.window.saturating_mul(windows)
    }

    /// Returns the first window whose report is not late yet.
    pub fn oldest_useful(&self, now: Duration) -> WindowId {
        window_at(self.window, now.saturating_sub(self.late))
    }

    /// Returns whether the holder has something to report or does not know what is recorded.
    pub fn may_be_due<'a>(
        &self,
        now: Duration,
        sums: &UseSums,
        live: impl Iterator<Item = &'a InstanceId>,
    ) -> bool {
        match self.done {
            None => true,
            Some(done) => self.is_ready(now, self.next(now, Some(done)), sums, live),
        }
    }

    /// Returns the report to send for the one that is recorded in the store; `None` if none is due.
    pub fn plan<'a>(
        &self,
        now: Duration,
        recorded: Option<UseReport>,
        sums: &UseSums,
        live: impl Iterator<Item = &'a InstanceId>,
    ) -> Option<UseReport> {
        let recorded_window = recorded.as_ref().map(|report| report.window);
        if let Some(report) = recorded
            && self.done.is_none_or(|done| report.window > done)
        {
            return Some(report);
        }
        let window = self.next(now, self.done.max(recorded_window));
        self.is_ready(now, window, sums, live).then(|| UseReport {
            window,
            counts: sums.totals(window),
        })
    }

    /// Returns the last window that is done, if this holder knows one.
    pub fn done(&self) -> Option<WindowId> {
        self.done
    }

    /// Records that the report of a window was accepted, or that it is out of time.
    pub fn on_done(&mut self, window: WindowId) {
        self.done = self.done.max(Some(window));
    }

    /// Records that another instance may hold the duty, so that the record in the store is unknown.
    pub fn on_lost(&mut self) {
        self.done = None;
    }

    /// Returns the window after the last one; windows that are late already are left out.
    fn next(&self, now: Duration, last: Option<WindowId>) -> WindowId {
        let next = last.map_or(self.first, |last| last + 1);
        next.max(self.oldest_useful(now))
    }

    fn is_ready<'a>(
        &self,
        now: Duration,
        window: WindowId,
        sums: &UseSums,
        live: impl Iterator<Item = &'a InstanceId>,
    ) -> bool {
        let Some(since_end) = now.checked_sub(self.end(window)) else {
            return false;
        };
        since_end >= self.late.mul_f64(LAST_FRACTION)
            || since_end >= self.late.mul_f64(SETTLE_FRACTION) && sums.is_complete(window, live)
    }
}

fn window_at(window: Duration, now: Duration) -> WindowId {
    (now.as_nanos() / window.as_nanos().max(1)) as WindowId
}
