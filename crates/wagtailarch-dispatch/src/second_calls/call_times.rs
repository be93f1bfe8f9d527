//! The times of the latest calls of a class.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Number of calls below which no quantile is known: one call in eleven exceeds the longest of ten, and
/// the share bounds how many of them are sent a second time.
const MIN_CALLS: u64 = 10;
/// Time after which calls move to the older half, if there are enough newer ones.
const PERIOD: Duration = Duration::from_secs(60);
/// Unit of the recorded times in microseconds.
const UNIT_US: u64 = 100;
/// Longest recorded time, in [`UNIT_US`]: a minute.
const MAX_UNITS: u64 = 600_000;
/// Significant digits of the recorded times; a threshold needs no more than one in a hundred.
const DIGITS: u8 = 2;

/// The times of the calls of the present and the preceding period.
#[derive(Debug)]
pub(super) struct CallTimes {
    /// Calls of the present period.
    present: Histogram<u32>,
    /// Calls of both periods.
    both: Histogram<u32>,
    /// Start of the present period.
    since: Duration,
}

impl Default for CallTimes {
    fn default() -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_UNITS, DIGITS).expect("valid bounds");
        Self {
            present: empty(),
            both: empty(),
            since: Duration::ZERO,
        }
    }
}

impl CallTimes {
    /// Records the time of a call.
    pub fn record(&mut self, now: Duration, time: Duration) {
        if now.saturating_sub(self.since) >= PERIOD && self.present.len() >= MIN_CALLS {
            std::mem::swap(&mut self.both, &mut self.present);
            self.present.reset();
            self.since = now;
        }
        let units = u64::try_from(time.as_micros()).unwrap_or(u64::MAX) / UNIT_US;
        let units = units.clamp(1, MAX_UNITS);
        self.present.saturating_record(units);
        self.both.saturating_record(units);
    }

    /// Returns the time that a share of the calls does not exceed; `None` while too few are known.
    ///
    /// With fewer calls than the quantile needs, it is the longest time.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        if self.both.len() < MIN_CALLS {
            return None;
        }
        let units = self.both.value_at_quantile(share);
        Some(Duration::from_micros(units.saturating_mul(UNIT_US)))
    }
}
