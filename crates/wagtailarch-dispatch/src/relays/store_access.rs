//! Calls of an instance to a store that fails for it, shared by the readers of all kinds.

use std::time::Duration;

/// Name of a reader, one for each kind of objects.
pub type ReaderName = &'static str;

/// What a failed read shows about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// Nothing: a watch was closed while it waited, or a relay has no data. Both also happen while the
    /// store is available.
    Inconclusive,
    /// The store, or the path to it, was lost at some time during the call.
    Lost,
}

/// Calls of an instance to a store that fails for it, shared by the readers of all kinds.
///
/// A store that returns, or a path to it, is the same for all readers. They call it in turn, so that
/// one of them notices the return in half of the time that a reader alone would need with the same
/// number of calls. Each call is billed, also while the store is down.
#[derive(Debug)]
pub struct StoreAccess {
    /// Interval between the calls of each reader.
    interval: Duration,
    /// The newest call that has no response yet.
    last_call: Option<(ReaderName, Duration)>,
    /// Number of calls that failed since the last response.
    failures: u32,
    /// Start of the newest call that failed with [`StoreFailure::Lost`]; kept after a response.
    failed_at: Option<Duration>,
    /// Time of the newest response.
    responded_at: Option<Duration>,
}

impl StoreAccess {
    /// Creates the access of an instance whose readers each call a store that fails once in
    /// `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            last_call: None,
            failures: 0,
            failed_at: None,
            responded_at: None,
        }
    }

    /// Returns whether a reader that has no other source may call the store.
    pub fn is_due(&self, reader: ReaderName, now: Duration) -> bool {
        let Some((last_reader, at)) = self.last_call else {
            return true;
        };
        let is_own = last_reader == reader;
        if self.failures == 0 && !is_own {
            return true;
        }
        // The failed call may have been a watch that was only closed.
        let responded_recently = |at| now.saturating_sub(at) < self.interval;
        if self.failures == 1 && self.responded_at.is_some_and(responded_recently) {
            return true;
        }
        let spacing = match is_own {
            true => self.interval,
            false => self.interval / 2,
        };
        now.saturating_sub(at) >= spacing
    }

    /// Returns the pause of a reader before it repeats a failed call: `backoff`, or longer if another
    /// reader has called the store within `spacing`.
    pub fn retry_pause(
        &self,
        reader: ReaderName,
        now: Duration,
        backoff: Duration,
        spacing: Duration,
    ) -> Duration {
        match self.last_call {
            Some((last_reader, at)) if last_reader != reader && self.failures > 1 => {
                backoff.max((at + spacing).saturating_sub(now))
            }
            _ => backoff,
        }
    }

    /// Records that a reader calls the store.
    pub fn on_call(&mut self, reader: ReaderName, now: Duration) {
        self.last_call = Some((reader, now));
    }

    /// Records that a call that began at `sent_at` has failed.
    pub fn on_failure(&mut self, sent_at: Duration, failure: StoreFailure) {
        self.failures += 1;
        match failure {
            StoreFailure::Inconclusive => {}
            StoreFailure::Lost => self.failed_at = self.failed_at.max(Some(sent_at)),
        }
    }

    /// Records a response; returns whether calls had failed since the one before, so that other
    /// readers should call the store too.
    pub fn on_response(&mut self, now: Duration) -> bool {
        self.last_call = None;
        self.responded_at = Some(now);
        std::mem::take(&mut self.failures) > 0
    }

    /// Returns the start of the newest call that failed because the store, or the path to it, was lost.
    pub fn failed_at(&self) -> Option<Duration> {
        self.failed_at
    }
}
