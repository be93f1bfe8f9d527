//! The newest proof that the objects of an instance are current.

use std::time::Duration;

use wagtailarch_types::ObjectVersion;

use crate::{ReadLimits, StoreFailure, StoreLoss};

/// A read of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreRead {
    /// Version up to which the read shows all changes.
    pub version: ObjectVersion,
    /// Time at which the store had no further changes; the read may have ended later.
    pub at: Duration,
}

/// The newest proof that the objects of an instance are current.
///
/// A response without changes is a proof only with the store version and the time that it refers
/// to: a relay that no longer receives responses from the store, or that reads more slowly than the
/// asking instance, has no changes to report either.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    /// Version up to which the instance has all changes; absent without objects.
    version: Option<ObjectVersion>,
    /// Time at which the objects were current; never decreases.
    proven_at: Duration,
    /// Value of `proven_at` when the store was lost; absent while it is read.
    lost_since: Option<Duration>,
}

impl Freshness {
    /// Returns the version up to which the instance has all changes.
    pub fn version(&self) -> Option<ObjectVersion> {
        self.version
    }

    /// Returns the time of the newest proof.
    pub fn proven_at(&self) -> Duration {
        self.proven_at
    }

    /// Drops the version of the objects, of which all have to be read anew.
    pub fn reset(&mut self) {
        self.version = None;
    }

    /// Records a read from the store itself.
    pub fn on_store_read(&mut self, read: StoreRead) {
        self.version = Some(read.version);
        self.proven_at = self.proven_at.max(read.at);
    }

    /// Records a read that a relay passed on; returns whether its content is to be applied.
    ///
    /// A relay that is behind the instance proves nothing. The first objects of an instance must be
    /// current, since requests to routes that an old configuration lacks would be refused.
    pub fn on_relayed_read(&mut self, now: Duration, read: StoreRead, limits: &ReadLimits) -> bool {
        let is_behind = self.version.is_some_and(|version| read.version < version);
        let is_outdated = now.saturating_sub(read.at) > limits.max_age();
        if is_behind || self.version.is_none() && is_outdated {
            return false;
        }
        self.on_store_read(read);
        true
    }

    /// Returns whether the store is lost.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records that the store cannot be read; returns the time from which this counts as an outage,
    /// unless the store was lost before.
    pub fn on_lost(
        &mut self,
        now: Duration,
        failure: StoreFailure,
        limits: &ReadLimits,
    ) -> Option<Duration> {
        if self.is_lost() {
            return None;
        }
        self.lost_since = Some(self.proven_at);
        Some(match failure {
            StoreFailure::Inconclusive => self.proven_at + limits.bound(),
            StoreFailure::Lost => now,
        })
    }

    /// Records that the store is read again; returns the loss that this ends. `failed_at` is the start
    /// of the newest call that failed with [`StoreFailure::Lost`].
    pub fn end_loss(&mut self, failed_at: Option<Duration>) -> Option<StoreLoss> {
        let proven_at = self.lost_since.take()?;
        Some(StoreLoss {
            proven_at,
            failed_at,
        })
    }

    /// Returns whether another source has to be asked, since the newest proof is too old.
    pub fn is_overdue(&self, now: Duration, limits: &ReadLimits) -> bool {
        self.version.is_none() || self.age(now) > limits.max_age()
    }

    /// Returns the time until another source has to be asked.
    pub fn time_left(&self, now: Duration, limits: &ReadLimits) -> Duration {
        limits.max_age().saturating_sub(self.age(now))
    }

    /// Returns the time since the newest proof.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.proven_at)
    }
}
