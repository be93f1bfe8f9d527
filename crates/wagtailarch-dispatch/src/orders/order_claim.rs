//! Claims that give one instance the right to send an order to a server.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wagtailarch_types::{FencingNumber, InstanceId, ObjectVersion};

/// Time within which orders of different holders to a server are not allowed.
const ORDER_LEASE: Duration = Duration::from_millis(3_000);
/// Time besides the lease for which the claim of another instance must be unchanged before this
/// instance acquires it; the holder sends its order within `SEND_WITHIN` of the claim.
const ACQUIRE_MARGIN: Duration = Duration::from_millis(1_500);
/// Time after the start of the claim's write within which the order must be sent.
const SEND_WITHIN: Duration = Duration::from_millis(1_000);

/// The right to send one order to a server, as stored in the store for each server.
///
/// Each order needs its own claim, written only if the store still has the version that was read.
/// Fencing numbers therefore rise with each order, and no two instances hold the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimContent {
    /// Instance that sends the order.
    pub holder: InstanceId,
    /// Fencing number of the order; it rises with each claim.
    pub fence: FencingNumber,
}

/// An attempt of an instance to claim a server.
#[derive(Debug)]
pub struct OrderClaim {
    instance: InstanceId,
    /// Time for which the claim of another instance must be unchanged before it is acquired.
    acquire_after: Duration,
    /// Version of another instance's claim, with the time at which it was first read.
    other_claim: Option<(ObjectVersion, Duration)>,
}

/// The next step after the claim was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the claim.
    Write {
        /// New content.
        content: ClaimContent,
        /// Version that the claim must still have; `None` if it must not exist.
        expect: Option<ObjectVersion>,
    },
    /// Read the claim again after this time, since another instance may still send orders.
    Wait(Duration),
}

impl OrderClaim {
    /// Creates an attempt of `instance`.
    pub fn new(instance: InstanceId) -> Self {
        Self::with_lease(instance, ORDER_LEASE)
    }

    /// Creates an attempt of `instance` where calls of different holders are not allowed within
    /// `lease`.
    pub fn with_lease(instance: InstanceId, lease: Duration) -> Self {
        Self {
            instance,
            acquire_after: lease + ACQUIRE_MARGIN,
            other_claim: None,
        }
    }

    /// Returns the next step for a claim as it was read; `None` if it does not exist.
    pub fn on_read(
        &mut self,
        now: Duration,
        found: Option<(ClaimContent, ObjectVersion)>,
    ) -> ClaimStep {
        let Some((content, version)) = found else {
            return self.write(1, None);
        };
        if content.holder != self.instance {
            let since = match self.other_claim {
                Some((known_version, since)) if known_version == version => since,
                _ => now,
            };
            self.other_claim = Some((version, since));
            let waited = now.saturating_sub(since);
            if waited < self.acquire_after {
                return ClaimStep::Wait(self.acquire_after - waited);
            }
        }
        self.write(content.fence + 1, Some(version))
    }

    /// Returns whether the order of a claim whose write started at `write_started` may still be
    /// sent.
    pub fn may_send(now: Duration, write_started: Duration) -> bool {
        now.saturating_sub(write_started) < SEND_WITHIN
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
