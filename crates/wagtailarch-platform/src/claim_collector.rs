//! Garbage collection of claim log entries after their retention.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use wagtailarch_types::ObjectVersion;

use crate::{Platform, PlatformError, Precondition};

/// Key of the object that contains the marks.
const MARKS_KEY: &str = "retention/claims";
/// Time for which entries are kept; `ClaimLog`, which writes them, relies on it.
const RETENTION_S: u64 = 24 * 3_600;
/// Interval between two marks.
const MARK_INTERVAL_S: u64 = 3_600;
/// Maximum number of marks: one for each hour of the retention, and two more.
const MAX_MARKS: usize = 26;
/// Maximum number of entries that one step removes; each removal is a write to the platform.
const MAX_REMOVALS: usize = 600;
/// Number of entries that are listed in one call; an entry may be 1 MB large.
const PAGE_SIZE: usize = 20;

/// Result of one step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CollectedClaims {
    /// Whether a mark was added.
    pub marked: bool,
    /// Number of removed entries.
    pub removed: usize,
}

/// Error of a step; the next step continues.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CollectError {
    /// {0}
    Platform(PlatformError),
    /// the marks of the claim logs cannot be decoded: {0}
    Marks(String),
}

impl std::error::Error for CollectError {}

impl From<PlatformError> for CollectError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// Removes claim log entries that are older than the retention, a few with each step.
///
/// Entries contain no time. Once an hour the collector stores a mark in the platform, which
/// contains the end of each log. The age of a mark increases only by the time that one process has
/// measured between two reads of the same version of the marks. Clocks of different processes are
/// therefore never compared, a change of the lease holder loses at most the time between two steps,
/// and the entries before a mark are at least as old as the mark. The newest entry before a mark is
/// kept, since a writer that finds a log empty starts at number 0.
pub struct ClaimCollector {
    platform: Arc<dyn Platform>,
    partitions: u32,
    /// Last known version of the marks, and a time at which it was already stored.
    last_version: Option<(ObjectVersion, Duration)>,
    /// Partition at which the next removals start, so that a busy partition does not delay the
    /// others.
    start_partition: u32,
    /// Ends of the expired mark whose entries were all removed, so that they are not listed again.
    cleared_ends: Vec<u64>,
}

/// Value of the object that contains the marks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimMarks {
    /// Marks, oldest first; at most `MAX_MARKS`.
    marks: Vec<ClaimMark>,
}

/// The ends of all logs at a point in time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimMark {
    /// Minimum time in milliseconds since the mark was stored.
    age_ms: u64,
    /// For each partition, the number after an entry that existed; 0 for an empty log.
    ends: Vec<u64>,
}

impl ClaimCollector {
    /// Creates a collector for the claim logs of `partitions` partitions.
    pub fn new(platform: Arc<dyn Platform>, partitions: u32) -> Self {
        Self {
            platform,
            partitions,
            last_version: None,
            start_partition: 0,
            cleared_ends: Vec::new(),
        }
    }

    /// Updates the ages of the marks, adds a mark if it is due and removes entries whose retention
    /// has expired.
    ///
    /// `clock` is monotonic and is read before and after calls to the platform.
    pub async fn step(
        &mut self,
        clock: impl Fn() -> Duration,
    ) -> Result<CollectedClaims, CollectError> {
        let requested_at = clock();
        let object = self.platform.get(MARKS_KEY).await?;
        let received_at = clock();
        let version = object.as_ref().map(|object| object.version);
        let mut marks = match &object {
            None => ClaimMarks::default(),
            Some(object) => serde_json::from_slice(&object.value)
                .map_err(|error| CollectError::Marks(error.to_string()))?,
        };
        match (self.last_version, version) {
            // The marks were stored with these ages before `stored_by`.
            (Some((last_version, stored_by)), Some(version)) if last_version == version => {
                let elapsed = requested_at.saturating_sub(stored_by);
                marks.advance_ages(elapsed.as_millis() as u64);
            }
            (_, Some(version)) => {
                self.last_version = Some((version, received_at));
                return Ok(CollectedClaims::default());
            }
            (_, None) => {}
        }
        let marked = marks.is_due();
        if marked {
            let ends = self.find_ends(marks.marks.last()).await?;
            marks.add(ends);
        }
        self.store(&marks, version, &clock).await?;
        let expired = marks
            .expired()
            .filter(|mark| mark.ends != self.cleared_ends);
        let mut removed = 0;
        if let Some(mark) = expired {
            removed = self.remove(&mark.ends).await?;
            if removed < MAX_REMOVALS {
                self.cleared_ends.clone_from(&mark.ends);
            }
        }
        Ok(CollectedClaims { marked, removed })
    }

    /// Stores the marks if the object still has `version`. If the write fails or its outcome is
    /// unknown, nothing is removed and the next step reads the marks again.
    async fn store(
        &mut self,
        marks: &ClaimMarks,
        version: Option<ObjectVersion>,
        clock: &impl Fn() -> Duration,
    ) -> Result<(), CollectError> {
        let value =
            serde_json::to_vec(marks).map_err(|error| CollectError::Marks(error.to_string()))?;
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let put = self
            .platform
            .put(MARKS_KEY, Bytes::from(value), precondition);
        self.last_version = None;
        let new_version = put.await?;
        self.last_version = Some((new_version, clock()));
        Ok(())
    }

    /// Returns for each partition the number after an entry that exists: the newest one, or an
    /// older one if a read was stale.
    async fn find_ends(&self, last_mark: Option<&ClaimMark>) -> Result<Vec<u64>, CollectError> {
        let mut ends = Vec::new();
        for partition in 0..self.partitions {
            let last_end = last_mark.and_then(|mark| mark.ends.get(partition as usize));
            let prefix = entry_prefix(partition);
            let page = self.platform.list(&prefix, None, 1).await?;
            let first = page.items.first();
            let Some(first) = first.and_then(|item| entry_number(&prefix, &item.key)) else {
                ends.push(0);
                continue;
            };
            let start = last_end.map_or(first, |end| first.max(end.saturating_sub(1)));
            ends.push(self.find_end(&prefix, start).await?);
        }
        Ok(ends)
    }

    /// Finds the end of a log by an exponential search from an entry that exists, followed by a
    /// binary search.
    async fn find_end(&self, prefix: &str, start: u64) -> Result<u64, CollectError> {
        let (mut newest, mut step) = (start, 1);
        while self.exists(prefix, newest + step).await? {
            newest += step;
            step *= 2;
        }
        while step > 1 {
            step /= 2;
            if self.exists(prefix, newest + step).await? {
                newest += step;
            }
        }
        Ok(newest + 1)
    }

    async fn exists(&self, prefix: &str, seq: u64) -> Result<bool, CollectError> {
        let object = self.platform.get(&entry_key(prefix, seq)).await?;
        Ok(object.is_some())
    }

    /// Removes the entries before the ends of an expired mark, oldest first; keeps the newest one
    /// of each partition.
    async fn remove(&mut self, ends: &[u64]) -> Result<usize, CollectError> {
        let mut removed = 0;
        for offset in 0..self.partitions {
            let partition = (self.start_partition + offset) % self.partitions;
            let end = ends.get(partition as usize).copied().unwrap_or(0);
            let prefix = entry_prefix(partition);
            loop {
                let page = self.platform.list(&prefix, None, PAGE_SIZE).await?;
                let numbers = page
                    .items
                    .iter()
                    .map(|item| entry_number(&prefix, &item.key));
                // Entries are immutable and their numbers are never reused, so a removal that takes
                // effect late cannot remove another entry.
                let expired: Vec<u64> = numbers
                    .map_while(|number| number.filter(|number| number + 1 < end))
                    .collect();
                for &seq in &expired {
                    if removed >= MAX_REMOVALS {
                        self.start_partition = partition;
                        return Ok(removed);
                    }
                    match self.platform.delete(&entry_key(&prefix, seq), None).await {
                        Ok(()) | Err(PlatformError::NotFound) => removed += 1,
                        Err(error) => return Err(error.into()),
                    }
                }
                if expired.len() < PAGE_SIZE {
                    break;
                }
            }
        }
        Ok(removed)
    }
}

impl ClaimMarks {
    fn advance_ages(&mut self, elapsed_ms: u64) {
        for mark in &mut self.marks {
            mark.age_ms = mark.age_ms.saturating_add(elapsed_ms);
        }
    }

    fn is_due(&self) -> bool {
        let newest = self.marks.last();
        newest.is_none_or(|mark| mark.age_ms >= MARK_INTERVAL_S * 1_000)
    }

    /// Adds a mark; of several expired marks, only the newest is kept.
    fn add(&mut self, ends: Vec<u64>) {
        self.marks.push(ClaimMark { age_ms: 0, ends });
        let expired = self.marks.iter().filter(|mark| mark.is_expired()).count();
        let surplus = self.marks.len().saturating_sub(MAX_MARKS);
        self.marks.drain(..expired.saturating_sub(1).max(surplus));
    }

    /// Returns the newest mark whose retention has expired.
    fn expired(&self) -> Option<&ClaimMark> {
        self.marks.iter().rev().find(|mark| mark.is_expired())
    }
}

impl ClaimMark {
    fn is_expired(&self) -> bool {
        self.age_ms >= RETENTION_S * 1_000
    }
}

fn entry_prefix(partition: u32) -> String {
    format!("claims/{partition:02}/")
}

fn entry_key(prefix: &str, seq: u64) -> String {
    format!("{prefix}{seq:020}")
}

fn entry_number(prefix: &str, key: &str) -> Option<u64> {
    key.strip_prefix(prefix)?.parse().ok()
}
