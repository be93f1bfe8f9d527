//! Demand for the servers of a service, smoothed, and its recent peak.

use std::{collections::VecDeque, time::Duration};

/// Time over which the demand is averaged.
///
/// A few readings differ by chance; a peak that is shorter waits in the queues of the servers.
pub(crate) const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Time within which prompts that wait have to be read, so that they still meet common objectives of
/// 0.4 to 1.5 s.
const BACKLOG_TIME: Duration = Duration::from_secs(1);
/// Number of requests that one server decodes at the same time without slowing them down noticeably.
const RUNNING_PER_SERVER: f64 = 40.0;
/// Time after the first request in which the caches of the servers fill.
///
/// Each shared part of the prompts is read for the first time, which does not recur, so that the
/// demand is more than twice the later one.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Bounds of the share of the servers that read prompts, so that a service whose roles are changing
/// does not yield an extreme demand.
const READING_SHARE_RANGE: (f64, f64) = (0.3, 0.8);

/// One reading of the demand on all servers of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerDemand {
    /// Servers that reading the prompts that arrive keeps busy.
    pub reading: f64,
    /// Predicted time that one server would need for all prompts that wait or are being read.
    pub backlog: Duration,
    /// Requests that are being decoded.
    pub running: u32,
    /// Share of the servers that read prompts, from 0 to 1; the others decode.
    pub reading_share: f64,
}

impl ServerDemand {
    /// Returns the number of servers that would be fully occupied, with roles in their present
    /// proportion.
    pub fn occupied_servers(&self) -> f64 {
        let (low, high) = READING_SHARE_RANGE;
        let reading_share = self.reading_share.clamp(low, high);
        let backlog = self.backlog.as_secs_f64() / BACKLOG_TIME.as_secs_f64();
        let reading = self.reading.max(backlog);
        let decoding = f64::from(self.running) / RUNNING_PER_SERVER;
        (reading / reading_share).max(decoding / (1.0 - reading_share))
    }
}

/// The recent peak of the demand for the servers of a service.
#[derive(Debug, Default)]
pub(crate) struct DemandPeak {
    /// Time of the first reading.
    first_at: Option<Duration>,
    /// Whether the caches count as filled; readings before do not count afterwards.
    is_warm: bool,
    /// Readings within `AVERAGING_TIME`, as occupied servers.
    recent: VecDeque<(Duration, f64)>,
    /// Averages that no later one exceeds, so that the first is the peak.
    peaks: VecDeque<(Duration, f64)>,
}

impl DemandPeak {
    /// Adds a reading; averages older than `keep` no longer count.
    pub(crate) fn add(&mut self, now: Duration, demand: &ServerDemand, keep: Duration) {
        let first_at = *self.first_at.get_or_insert(now);
        self.recent.push_back((now, demand.occupied_servers()));
        drop_older(&mut self.recent, now.saturating_sub(AVERAGING_TIME));
        let sum: f64 = self.recent.iter().map(|(_, occupied)| occupied).sum();
        let average = sum / self.recent.len() as f64;
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= average) {
            self.peaks.pop_back();
        }
        if !self.is_warm && now >= first_at + WARM_UP_TIME {
            self.is_warm = true;
            self.peaks.clear();
        }
        self.peaks.push_back((now, average));
        drop_older(&mut self.peaks, now.saturating_sub(keep));
    }

    /// Returns the highest average, in occupied servers.
    pub(crate) fn peak(&self) -> Option<f64> {
        self.peaks.front().map(|(_, peak)| *peak)
    }

    /// Returns whether the caches of the servers count as filled.
    pub(crate) fn is_warm(&self) -> bool {
        self.is_warm
    }
}

fn drop_older(readings: &mut VecDeque<(Duration, f64)>, limit: Duration) {
    while readings.front().is_some_and(|(at, _)| *at < limit) {
        readings.pop_front();
    }
}
