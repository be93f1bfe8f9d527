//! The verdict on a part of prompts that crashes servers.

use std::time::Duration;

/// Time after the last crash of a blamed part after which it is forgotten.
pub(crate) const BLAME_TTL: Duration = Duration::from_secs(600);
/// Time from the verdict until one request with the part is tried.
const FIRST_TRIAL: Duration = Duration::from_secs(15);
/// Factor between the time to a trial and the time to the next one.
const TRIAL_BACKOFF: u32 = 3;
/// Time for which a trial runs before the next one may begin.
const TRIAL_TIME: Duration = Duration::from_secs(5);

/// The verdict on a part.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Blame {
    /// Time of the last crash that counts.
    pub at: Duration,
    /// Number of trials that ended in a crash.
    pub trials: u8,
    /// When this instance began its last trial.
    pub trial_began_at: Option<Duration>,
    /// When any instance last reported it; `None` while this instance has to.
    pub reported_at: Option<Duration>,
}

impl Blame {
    /// Returns whether the part is no longer blamed.
    pub fn is_expired(&self, now: Duration) -> bool {
        now >= self.at + BLAME_TTL
    }

    /// Returns whether a request may test the part.
    pub fn is_trial_due(&self, now: Duration) -> bool {
        let backoff = TRIAL_BACKOFF.saturating_pow(self.trials.into());
        let due_at = self.at + FIRST_TRIAL.saturating_mul(backoff).min(BLAME_TTL);
        let is_idle = self
            .trial_began_at
            .is_none_or(|began| now >= began + TRIAL_TIME);
        now >= due_at && is_idle
    }

    /// Records a crash with the part; one that is not simultaneous with the verdict is a trial.
    pub fn on_crash(&mut self, at: Duration) {
        if at >= self.at + FIRST_TRIAL / 2 {
            self.at = at;
            self.trials = self.trials.saturating_add(1);
            self.reported_at = None;
        }
    }
}
