//! The permits that the coordinator of a server's rate limit grants to all instances.

use std::time::Duration;

use wagtailarch_wire::permit::{PermitOutcome, PermitRank};

/// Time in seconds at the limit for which permits are kept for each more urgent rank.
const RESERVE_S: f64 = 0.125;
/// Time in seconds at the limit for which unused permits accumulate besides the reserves.
const BURST_S: f64 = 0.25;
/// Time since the last request of a rank for which permits are reserved for it.
const RESERVE_MEMORY: Duration = Duration::from_secs(2);
/// Time constant in seconds with which denied requests are forgotten.
const BACKLOG_TIME_CONSTANT_S: f64 = 1.0;
/// Longest time after which a refused client may retry.
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// Grants permits for requests to one server at the rate of its limit.
///
/// In any time `t`, at most `rate * t` permits are granted, and `3 + rate / 2` more. A bucket starts without permits, so that a new coordinator does not grant again what the
/// previous one has granted.
#[derive(Debug, Default)]
pub struct PermitBucket {
    permits: f64,
    refilled_at: Option<Duration>,
    /// Time of the last request of each rank.
    requested_at: [Option<Duration>; PermitRank::ALL.len()],
    /// Decayed number of denied requests of each rank, which are expected again.
    backlog: [f64; PermitRank::ALL.len()],
    /// Time to which `backlog` has decayed.
    decayed_at: Duration,
}

impl PermitBucket {
    /// Handles a request for a permit at a limit of `rate_per_s`, which must be positive.
    pub fn request(&mut self, now: Duration, rate_per_s: f64, rank: PermitRank) -> PermitOutcome {
        self.refill(now, rate_per_s);
        self.requested_at[rank as usize] = Some(now);
        let required = 1.0 + self.reserved_ranks(now, rank) * reserve(rate_per_s);
        if self.permits >= required {
            self.permits -= 1.0;
            return PermitOutcome::Granted;
        }
        self.decay_backlog(now);
        let ahead: f64 = self.backlog[..=rank as usize].iter().sum();
        self.backlog[rank as usize] += 1.0;
        // Each denied instance asks again at a time of its own, so that the number of requests does
        // not grow with the number of instances.
        let next_s = (required - self.permits + ahead) / rate_per_s;
        PermitOutcome::Denied {
            next_ms: (next_s.min(MAX_RETRY_AFTER_S) * 1_000.0) as u32,
        }
    }

    fn decay_backlog(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        for backlog in &mut self.backlog {
            *backlog *= (-elapsed_s / BACKLOG_TIME_CONSTANT_S).exp();
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
