//! The permits that the coordinator of a server's rate limit grants to all instances.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_wire::permit::{PermitOutcome, PermitRank};

/// Time in seconds at the limit for which permits are kept for each more urgent rank.
const RESERVE_S: f64 = 0.125;
/// Time in seconds at the limit for which unused permits accumulate besides the reserves.
const BURST_S: f64 = 0.25;
/// Time since the last request of a rank for which permits are reserved for it.
const RESERVE_MEMORY: Duration = Duration::from_secs(2);
/// Time since its last request for which an instance competes for permits.
const COMPETING_TIME: Duration = Duration::from_secs(2);
/// Time between two requests of an instance for each instance that competes for permits.
///
/// It bounds the requests for the permits of one server to 100 a second, whatever the number of
/// instances.
const INSTANCE_REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which a permit is announced.
const MAX_ANNOUNCED_S: f64 = 30.0;

/// Grants permits for requests to one server at the rate of its limit.
///
/// In any time `t`, at most `rate * t` permits are granted, and `3 + rate / 2` more. A bucket starts
/// without permits, so that a new coordinator does not grant again what the previous one has
/// granted.
#[derive(Debug, Default)]
pub struct PermitBucket {
    permits: f64,
    refilled_at: Option<Duration>,
    /// Time of the last request of each rank.
    requested_at: [Option<Duration>; PermitRank::ALL.len()],
    /// Time at which a permit is expected for the last denied request of each rank.
    announced: [Duration; PermitRank::ALL.len()],
    /// Time of the last request of each instance that competes for permits.
    competing: IndexMap<u64, Duration>,
}

impl PermitBucket {
    /// Handles a request of the instance `sender` for a permit at a limit of `rate_per_s`, which
    /// must be positive.
    pub fn request(
        &mut self,
        now: Duration,
        rate_per_s: f64,
        rank: PermitRank,
        sender: u64,
    ) -> PermitOutcome {
        self.refill(now, rate_per_s);
        self.requested_at[rank as usize] = Some(now);
        self.competing.insert(sender, now);
        self.competing
            .retain(|_, at| now.saturating_sub(*at) < COMPETING_TIME);
        let required = 1.0 + self.reserved_ranks(now, rank) * reserve(rate_per_s);
        if self.permits >= required {
            self.permits -= 1.0;
            return PermitOutcome::Granted;
        }
        let interval = announced_time(1.0 / rate_per_s);
        let earlier = self.announced[..=rank as usize].iter().max().copied();
        let next = (now + announced_time((required - self.permits) / rate_per_s))
            .max(earlier.unwrap_or_default() + interval);
        let next = next.min(now + announced_time(f64::INFINITY));
        self.announced[rank as usize] = next;
        let competing = self.competing.len() as u32;
        let spacing = announced_time(f64::from(competing) / rate_per_s);
        PermitOutcome::Denied {
            next_ms: millis(next - now),
            spacing_ms: millis(spacing),
            ask_after_ms: millis((next - now).min(INSTANCE_REQUEST_INTERVAL * competing)),
        }
    }

    fn refill(&mut self, now: Duration, rate_per_s: f64) {
        let since = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_sub(since).as_secs_f64();
        let more_urgent = (PermitRank::ALL.len() - 1) as f64;
        let most = 1.0 + more_urgent * reserve(rate_per_s) + rate_per_s * BURST_S;
        self.permits = (self.permits + elapsed_s * rate_per_s).min(most);
    }

    /// Returns the number of more urgent ranks that have requested permits recently.
    fn reserved_ranks(&self, now: Duration, rank: PermitRank) -> f64 {
        let more_urgent = self.requested_at[..rank as usize].iter().flatten();
        let recent = more_urgent.filter(|at| now.saturating_sub(**at) < RESERVE_MEMORY);
        recent.count() as f64
    }
}

/// Returns the number of permits that are reserved for each more urgent rank, at most those of one
/// second.
fn reserve(rate_per_s: f64) -> f64 {
    (1.0 + rate_per_s * RESERVE_S).min(rate_per_s)
}

/// Converts a time in seconds, at most [`MAX_ANNOUNCED_S`].
fn announced_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(MAX_ANNOUNCED_S))
}

/// Rounds a time up to milliseconds.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).map_or(u32::MAX, |ms| ms + 1)
}
