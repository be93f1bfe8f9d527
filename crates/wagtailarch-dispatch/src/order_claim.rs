//! Which instance may give orders to a server.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wagtailarch_types::{FencingNumber, InstanceId, ObjectVersion};

/// Time for which another instance's claim must not have changed before it is taken over.
///
/// Its holder sends within `SEND_WITHIN` of its claim; what remains is longer than the 3 seconds
/// within which holders must not take turns.
const TAKE_OVER_AFTER: Duration = Duration::from_millis(4_500);
/// Time after the start of the write in which an order must be sent.
const SEND_WITHIN: Duration = Duration::from_millis(1_000);

/// The right to give one order, as the store keeps it for each server.
///
/// Each order needs a claim of its own, written at the version that was read, so that fencing numbers
/// rise with each order and two instances never hold the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimContent {
    /// Instance that gives the order.
    pub holder: InstanceId,
    /// Fencing number of the order; it rises with each claim.
    pub fence: FencingNumber,
}

/// One attempt of an instance to claim a server.
#[derive(Debug)]
pub struct OrderClaim {
    instance: InstanceId,
    /// Foreign claim that was read, and when it was first read at this version.
    foreign: Option<(ObjectVersion, Duration)>,
}

/// What follows a read of the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// The claim is written; `None` means that it must not exist.
    Write {
        /// New content.
        content: ClaimContent,
        /// Version at which it is written.
        expect: Option<ObjectVersion>,
    },
    /// Another instance may still give orders; the claim is read again after this time.
    Wait(Duration),
}

impl OrderClaim {
    /// Creates an attempt of `instance`.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            foreign: None,
        }
    }

    /// Decides on a claim as it was read; `None` if there is none.
    pub fn on_read(
        &mut self,
        now: Duration,
        found: Option<(ClaimContent, ObjectVersion)>,
    ) -> ClaimStep {
        let Some((content, version)) = found else {
            return self.write(1, None);
        };
        if content.holder != self.instance {
            let since = match self.foreign {
                Some((known, since)) if known == version => since,
                _ => now,
            };
            self.foreign = Some((version, since));
            let waited = now.saturating_sub(since);
            if waited < TAKE_OVER_AFTER {
                return ClaimStep::Wait(TAKE_OVER_AFTER - waited);
            }
        }
        self.write(content.fence + 1, Some(version))
    }

    /// Tells whether an order may still be sent whose claim began to be written at `written`.
    pub fn may_send(now: Duration, written: Duration) -> bool {
        now.saturating_sub(written) < SEND_WITHIN
    }

    fn write(&self, fence: FencingNumber, expect: Option<ObjectVersion>) -> ClaimStep {
        ClaimStep::Write {
            content: ClaimContent {
                holder: self.instance.clone(),
                fence,
            },
            expect,
        }
    }
}
