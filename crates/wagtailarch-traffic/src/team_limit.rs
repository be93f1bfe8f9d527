//! The limit of one team at one instance.

use std::time::Duration;

use wagtailarch_fleet::Team;
use wagtailarch_types::Priority;

/// Time constant of the usage rates.
const RATE_TIME_S: f64 = 2.0;
/// Time between adjustments of the local share: the lag of gossip between instances.
const GOSSIP_LAG: Duration = Duration::from_secs(5);
/// Time of the local share that a bucket holds.
const BURST_S: f64 = 1.0;
/// Factor by which the local share may exceed the usage of the last lag.
///
/// Every instance may grow at once before any of them learns of it, so a larger factor would
/// exceed the limit for longer than one lag.
const GROWTH: f64 = 2.0;

/// The limit of one team at one instance: a token bucket each for requests and tokens.
#[derive(Debug)]
pub(crate) struct TeamLimit {
    /// Weight of its fair share.
    pub weight: f64,
    /// Highest priority of its requests.
    pub priority: Priority,
    pub requests: Meter,
    pub tokens: Meter,
}

/// One limited quantity of one team at one instance.
#[derive(Debug, Clone)]
pub(crate) struct Meter {
    /// Limit per second over all instances.
    limit: f64,
    /// Part of the limit that this instance may use: `floor <= share <= limit`.
    share: f64,
    /// What the bucket holds; below 0 after a charge above its content.
    level: f64,
    /// Time of the last change of `level`.
    at: Duration,
    /// Time of the last change of `share`.
    adjusted_at: Duration,
    /// Usage per second at this instance.
    pub usage: Rate,
    /// Usage per second at all others, as gossiped.
    pub remote: f64,
}

/// A rate per second that fades with `RATE_TIME_S`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    value: f64,
    at: Duration,
}

impl TeamLimit {
    /// Creates the limit with full buckets and an equal part of the limit for each instance.
    pub fn new(now: Duration, team: &Team, instance_count: u32) -> Self {
        Self {
            weight: team.weight,
            priority: team.priority,
            requests: Meter::new(now, team.requests_per_s, instance_count),
            tokens: Meter::new(now, team.tokens_per_s, instance_count),
        }
    }

    /// Takes over a changed configuration and keeps usage and levels.
    pub fn reconfigure(&mut self, team: &Team) {
        self.weight = team.weight;
        self.priority = team.priority;
        self.requests.limit = team.requests_per_s;
        self.tokens.limit = team.tokens_per_s;
    }

    /// Returns the usage in relation to the limit, by the quantity that is nearer to it.
    pub fn relative_usage(&self, now: Duration) -> f64 {
        let relative = |meter: &Meter| meter.usage.get(now) / meter.limit.max(f64::MIN_POSITIVE);
        relative(&self.requests).max(relative(&self.tokens))
    }
}

impl Meter {
    fn new(now: Duration, limit: f64, instance_count: u32) -> Self {
        let share = limit / f64::from(instance_count.max(1));
        Self {
            limit,
            share,
            level: (share * BURST_S).max(1.0),
            at: now,
            adjusted_at: now,
            usage: Rate::default(),
            remote: 0.0,
        }
    }

    /// Refills the bucket and, once per gossip lag, adjusts the share.
    pub fn advance(&mut self, now: Duration, instance_count: u32) {
        let floor = self.limit / f64::from(instance_count.max(1));
        if now.saturating_sub(self.adjusted_at) >= GOSSIP_LAG {
            self.share = self.next_share(now, floor);
            self.adjusted_at = now;
        }
        self.share = self.share.clamp(floor, self.limit.max(floor));
        let elapsed_s = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + elapsed_s * self.share).min(self.depth());
    }

    /// Returns how long `amount` must wait; zero if the bucket permits it now.
    ///
    /// An amount above the depth is permitted when the bucket is full, and charged whole.
    pub fn wait(&self, amount: f64) -> Duration {
        let missing = amount.min(self.depth()) - self.level;
        if missing <= 1e-9 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((missing / self.share.max(1e-6)).min(3_600.0))
    }

    /// Takes `amount` from the bucket.
    pub fn charge(&mut self, now: Duration, amount: f64) {
        self.level -= amount;
        self.usage.add(now, amount);
    }

    /// Returns `amount` that was charged but not used.
    pub fn refund(&mut self, now: Duration, amount: f64) {
        self.level = (self.level + amount).min(self.depth());
        self.usage.add(now, -amount);
    }

    fn depth(&self) -> f64 {
        (self.share * BURST_S).max(1.0)
    }

    /// Divides the limit among the instances by their usage.
    ///
    /// This approaches `limit - remote` and never exceeds it while the sum is within the limit.
    /// Taking `limit - remote` at once would make equally busy instances overshoot in turns.
    fn next_share(&self, now: Duration, floor: f64) -> f64 {
        let own = self.usage.get(now);
        let total = own + self.remote;
        if total <= 0.0 {
            return floor;
        }
        (self.limit * own / total).min(GROWTH * own).max(floor)
    }
}

impl Rate {
    /// Counts `amount` at `now`.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.value = (self.get(now) + amount / RATE_TIME_S).max(0.0);
        self.at = self.at.max(now);
    }

    /// Returns the rate per second.
    pub fn get(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-elapsed_s / RATE_TIME_S).exp()
    }
}
