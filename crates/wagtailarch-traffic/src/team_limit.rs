//! The limit of one team at one instance.

use std::time::Duration;

use wagtailarch_fleet::Team;
use wagtailarch_types::Priority;

/// Time constant of the usage rates.
const RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Lag of gossip between instances, which is also the time between adjustments of the local share.
const GOSSIP_LAG: Duration = Duration::from_secs(5);
/// Depth of a bucket, in seconds of the local share.
const DEPTH_S: f64 = 1.0;
/// Maximum ratio of the new local share to the local usage.
///
/// All instances may grow at the same time before gossip shows it to any of them. A larger factor
/// would exceed the limit for longer than one gossip lag.
const MAX_GROWTH: f64 = 2.0;

/// The limit of one team at one instance: a token bucket each for requests and tokens.
#[derive(Debug)]
pub(crate) struct TeamLimit {
    /// Weight of the team's fair share.
    pub weight: f64,
    /// Highest priority of the team's requests.
    pub priority: Priority,
    pub requests: TokenBucket,
    pub tokens: TokenBucket,
}

/// Token bucket for one limited quantity of one team at one instance.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// Limit per second over all instances.
    limit: f64,
    /// Part of the limit that this instance may use: `floor <= share <= limit`.
    share: f64,
    /// Content of the bucket; negative after a charge that exceeded it.
    level: f64,
    /// Time of the last refill.
    refilled_at: Duration,
    /// Time of the last change of `share`.
    adjusted_at: Duration,
    /// Usage per second at this instance.
    pub local_usage: DecayingRate,
    /// Usage per second at all other instances, as gossiped.
    pub remote_usage: f64,
}

/// A rate per second that decays exponentially with the time constant `RATE_TIME_CONSTANT_S`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    value: f64,
    updated_at: Duration,
}

impl TeamLimit {
    /// Creates the limit with full buckets and an equal part of the limit for each instance.
    pub fn new(now: Duration, team: &Team, instance_count: u32) -> Self {
        Self {
            weight: team.weight,
            priority: team.priority,
            requests: TokenBucket::new(now, team.requests_per_s, instance_count),
            tokens: TokenBucket::new(now, team.tokens_per_s, instance_count),
        }
    }

    /// Applies a changed configuration, keeping usage and bucket levels.
    pub fn reconfigure(&mut self, team: &Team) {
        self.weight = team.weight;
        self.priority = team.priority;
        self.requests.limit = team.requests_per_s;
        self.tokens.limit = team.tokens_per_s;
    }

    /// Returns the ratio of usage to limit, of the quantity for which it is higher.
    pub fn relative_usage(&self, now: Duration) -> f64 {
        let relative = |bucket: &TokenBucket| {
            bucket.local_usage.get(now) / bucket.limit.max(f64::MIN_POSITIVE)
        };
        relative(&self.requests).max(relative(&self.tokens))
    }
}

impl TokenBucket {
    fn new(now: Duration, limit: f64, instance_count: u32) -> Self {
        let share = limit / f64::from(instance_count.max(1));
        Self {
            limit,
            share,
            level: (share * DEPTH_S).max(1.0),
            refilled_at: now,
            adjusted_at: now,
            local_usage: DecayingRate::default(),
            remote_usage: 0.0,
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
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + elapsed_s * self.share).min(self.depth());
    }

    /// Returns the time until the bucket permits `amount`; zero if it does now.
    ///
    /// An amount above the depth is permitted once the bucket is full, and charged in full.
    pub fn delay_for(&self, amount: f64) -> Duration {
        let missing = amount.min(self.depth()) - self.level;
        if missing <= 1e-9 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((missing / self.share.max(1e-6)).min(3_600.0))
    }

    /// Takes `amount` from the bucket.
    pub fn charge(&mut self, now: Duration, amount: f64) {
        self.level -= amount;
        self.local_usage.add(now, amount);
    }

    /// Puts back an `amount` that was charged but not used.
    pub fn refund(&mut self, now: Duration, amount: f64) {
        self.level = (self.level + amount).min(self.depth());
        self.local_usage.add(now, -amount);
    }

    fn depth(&self) -> f64 {
        (self.share * DEPTH_S).max(1.0)
    }

    /// Returns the share of the limit in proportion to this instance's part of the total usage.
    ///
    /// It approaches `limit - remote_usage` and never exceeds it while the sum of all usage is
    /// within the limit. Setting the share to `limit - remote_usage` immediately would make equally
    /// busy instances overshoot in turns.
    fn next_share(&self, now: Duration, floor: f64) -> f64 {
        let local = self.local_usage.get(now);
        let total = local + self.remote_usage;
        if total <= 0.0 {
            return floor;
        }
        (self.limit * local / total)
            .min(MAX_GROWTH * local)
            .max(floor)
    }
}

impl DecayingRate {
    /// Adds `amount` at `now`.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.value = (self.get(now) + amount / RATE_TIME_CONSTANT_S).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the rate per second at `now`.
    pub fn get(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * (-elapsed_s / RATE_TIME_CONSTANT_S).exp()
    }
}
