//! The permits of one instance for requests to a rate-limited server.

use std::{collections::VecDeque, time::Duration};

use wagtailarch_types::InstanceId;
use wagtailarch_wire::permit::{PermitOutcome, PermitRank};

/// Time for which a permit that no request waits for may be used.
///
/// Permits that are used later than they are granted add to those of the following window.
const UNUSED_PERMIT_TTL: Duration = Duration::from_millis(400);
/// Time for which a coordinator that has not responded is not asked again.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(500);
/// Longest time after a denial for which the coordinator is not asked for the same or a less urgent
/// rank.
const MAX_DENIAL_TIME: Duration = Duration::from_secs(5);
/// Shortest time after which a refused client may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest time after which a refused client may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The permits of this instance for one server.
///
/// While the coordinator of the limit does not respond, the instance uses its equal share of the
/// limit. A coordinator grants only the shares of the instances whose notes arrive, so that the sum
/// stays within the limit.
#[derive(Debug, Default)]
pub struct PermitHolder {
    /// Times at which unused permits expire, the earliest first.
    unused: VecDeque<Duration>,
    /// Last denial of each rank.
    denials: [Option<Denial>; PermitRank::ALL.len()],
    unresponsive: Option<Unresponsive>,
}

/// Next step of a request that needs a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderStep {
    /// The instance has a permit.
    Use,
    /// The coordinator has to be asked.
    Ask,
    /// There is no permit at present.
    Wait {
        /// Time after which a refused client may retry.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct Denial {
    /// Time from which the coordinator is asked again.
    until: Duration,
    /// Time at which the next refused client may retry.
    retry_at: Duration,
    /// Time between two permits that this instance can expect.
    spacing: Duration,
}

/// A coordinator that does not respond, and the equal share that is used meanwhile.
#[derive(Debug)]
struct Unresponsive {
    coordinator: InstanceId,
    /// Time from which the coordinator is asked again.
    until: Duration,
    /// Permits of the equal share at `counted_at`; at most one.
    permits: f64,
    counted_at: Duration,
}

impl PermitHolder {
    /// Returns the next step for a request; `share_per_s` is the equal share of the limit.
    pub fn step(
        &self,
        now: Duration,
        rank: PermitRank,
        coordinator: &InstanceId,
        share_per_s: f64,
    ) -> HolderStep {
        if self.unused.iter().any(|expires_at| *expires_at > now) {
            return HolderStep::Use;
        }
        let unresponsive = self.unresponsive.as_ref();
        let unresponsive = unresponsive.filter(|found| found.coordinator == *coordinator);
        if let Some(unresponsive) = unresponsive.filter(|found| found.until > now) {
            let permits = unresponsive.permits_at(now, share_per_s);
            if permits >= 1.0 {
                return HolderStep::Use;
            }
            let missing_s = (1.0 - permits) / share_per_s;
            let retry_after = Duration::try_from_secs_f64(missing_s).unwrap_or(MAX_RETRY_AFTER);
            return HolderStep::Wait {
                retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            };
        }
        // A denial of a more urgent rank also holds for this one.
        let denials = self.denials[..=rank as usize].iter().flatten();
        let denied = denials.filter(|denial| denial.until > now);
        match denied.map(|denial| denial.retry_at).max() {
            Some(retry_at) => HolderStep::Wait {
                retry_after: retry_at.saturating_sub(now).max(MIN_RETRY_AFTER),
            },
            None => HolderStep::Ask,
        }
    }

    /// Takes the permit of a step [`HolderStep::Use`].
    pub fn take(&mut self, now: Duration, share_per_s: f64) {
        self.unused.retain(|expires_at| *expires_at > now);
        if self.unused.pop_front().is_some() {
            return;
        }
        if let Some(unresponsive) = &mut self.unresponsive {
            unresponsive.permits = unresponsive.permits_at(now, share_per_s) - 1.0;
            unresponsive.counted_at = now;
        }
    }

    /// Records that a client was refused, so that the next one is asked to retry later.
    pub fn on_refused(&mut self, now: Duration, rank: PermitRank) {
        let denials = self.denials[..=rank as usize].iter_mut().flatten();
        if let Some(denial) = denials.max_by_key(|denial| denial.retry_at) {
            let next = denial.retry_at.max(now) + denial.spacing;
            denial.retry_at = next.min(now + MAX_RETRY_AFTER);
        }
    }

    /// Forgets all denials, since the limit has changed.
    pub fn on_limit_changed(&mut self) {
        self.denials = Default::default();
    }

    /// Takes back a permit that was not used.
    pub fn give_back(&mut self, now: Duration) {
        self.unused.push_back(now + UNUSED_PERMIT_TTL);
    }

    /// Applies the response of the coordinator; `is_awaited` states whether a request still waits
    /// for it.
    pub fn on_response(
        &mut self,
        now: Duration,
        rank: PermitRank,
        coordinator: &InstanceId,
        outcome: PermitOutcome,
        is_awaited: bool,
    ) {
        match outcome {
            PermitOutcome::NotCoordinator => return self.on_unresponsive(now, coordinator),
            PermitOutcome::Granted if is_awaited => {}
            PermitOutcome::Granted => self.give_back(now),
            PermitOutcome::Denied {
                next_ms,
                spacing_ms,
                ask_after_ms,
            } => {
                let next = Duration::from_millis(next_ms.into());
                let ask_after = Duration::from_millis(ask_after_ms.into());
                let denial = &mut self.denials[rank as usize];
                // Clients that were refused before retry first.
                let retry_at = denial.map_or(Duration::ZERO, |denial| denial.retry_at);
                *denial = Some(Denial {
                    until: now + ask_after.min(MAX_DENIAL_TIME),
                    retry_at: retry_at.max(now + next),
                    spacing: Duration::from_millis(spacing_ms.into()),
                });
            }
        }
        self.unresponsive = None;
    }

    /// Records that the coordinator has not responded, or does not regard itself as coordinator.
    pub fn on_unresponsive(&mut self, now: Duration, coordinator: &InstanceId) {
        let until = now + UNRESPONSIVE_TIME;
        match &mut self.unresponsive {
            Some(unresponsive) if unresponsive.coordinator == *coordinator => {
                unresponsive.until = until;
            }
            unresponsive => {
                *unresponsive = Some(Unresponsive {
                    coordinator: coordinator.clone(),
                    until,
                    permits: 0.0,
                    counted_at: now,
                });
            }
        }
    }
}

impl Unresponsive {
    fn permits_at(&self, now: Duration, share_per_s: f64) -> f64 {
        let elapsed_s = now.saturating_sub(self.counted_at).as_secs_f64();
        (self.permits + elapsed_s * share_per_s).min(1.0)
    }
}
