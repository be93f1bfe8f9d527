//! Removal of claim log entries whose retention is over.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use wagtailarch_types::ObjectVersion;

use crate::{Platform, PlatformError, Precondition};

/// Key of the object that holds the marks.
const MARKS_KEY: &str = "retention/claims";
/// Time for which entries are kept; writers rely on it (`ClaimLog`).
const RETENTION_S: u64 = 24 * 3_600;
/// Time between two marks.
const MARK_EVERY_S: u64 = 3_600;
/// Greatest number of marks: one for each hour of the retention, and two more.
const MAX_MARKS: usize = 26;
/// Greatest number of entries that one step removes; each removal is a write of the platform.
const MAX_REMOVED: usize = 600;
/// Entries of one partition that are listed at once; an entry may have 1 MB.
const PAGE: usize = 20;

/// What one step did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CollectedClaims {
    /// Whether the ends of the logs were marked.
    pub marked: bool,
    /// Entries removed.
    pub removed: usize,
}

/// Why a step ended early; the next one continues.
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
/// Entries have no time. Each hour the collector notes the end of every log as a mark in the
/// platform, and a mark ages only by time that one process has measured between two looks at the
/// same version of the marks. So no clock of another process counts, a change of the lease holder
/// loses at most the time between two steps, and an entry is never younger than its mark says.
/// The newest entry that a mark names stays, since a writer that finds a log empty begins at 0.
pub struct ClaimCollector {
    platform: Arc<dyn Platform>,
    partitions: u32,
    /// Version of the marks seen last and when it was certainly stored.
    known: Option<(ObjectVersion, Duration)>,
    /// Partition at which the next removals begin, so that a busy one holds up no other.
    first_partition: u32,
    /// Ends of the mark below which everything was removed, so that it is not listed again.
    cleared: Vec<u64>,
}

/// Value of the object with the marks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimMarks {
    /// Oldest first; at most `MAX_MARKS`.
    marks: Vec<ClaimMark>,
}

/// The ends of all logs at one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimMark {
    /// Time in milliseconds for which the mark has certainly been stored.
    age_ms: u64,
    /// For each partition the number after an entry that existed.
    ends: Vec<u64>,
}

impl ClaimCollector {
    /// Creates a collector for logs with `partitions` partitions.
    pub fn new(platform: Arc<dyn Platform>, partitions: u32) -> Self {
        Self {
            platform,
            partitions,
            known: None,
            first_partition: 0,
            cleared: Vec::new(),
        }
    }

    /// Ages the marks, adds one if it is due and removes entries whose retention is over.
    ///
    /// `clock` is monotonic and read before and after calls.
    pub async fn step(
        &mut self,
        clock: impl Fn() -> Duration,
    ) -> Result<CollectedClaims, CollectError> {
        let asked_at = clock();
        let object = self.platform.get(MARKS_KEY).await?;
        let read_at = clock();
        let version = object.as_ref().map(|object| object.version);
        let mut marks = match &object {
            None => ClaimMarks::default(),
            Some(object) => serde_json::from_slice(&object.value)
                .map_err(|error| CollectError::Marks(error.to_string()))?,
        };
        match (self.known, version) {
            // The ages were written before `since`.
            (Some((known, since)), Some(version)) if known == version => {
                let elapsed = asked_at.saturating_sub(since);
                marks.grow_older(elapsed.as_millis() as u64);
            }
            (_, Some(version)) => {
                self.known = Some((version, read_at));
                return Ok(CollectedClaims::default());
            }
            (_, None) => {}
        }
        let marked = marks.is_due();
        if marked {
            let ends = self.ends(marks.marks.last()).await?;
            marks.add(ends);
        }
        self.store(&marks, version, &clock).await?;
        let expired = marks.expired().filter(|mark| mark.ends != self.cleared);
        let mut removed = 0;
        if let Some(mark) = expired {
            removed = self.remove(&mark.ends).await?;
            if removed < MAX_REMOVED {
                self.cleared.clone_from(&mark.ends);
            }
        }
        Ok(CollectedClaims { marked, removed })
    }

    /// Stores the marks if they still have the version read. A failed or doubtful write removes
    /// nothing, and the next step reads the marks anew.
    async fn store(
        &mut self,
        marks: &ClaimMarks,
        version: Option<ObjectVersion>,
        clock: &impl Fn() -> Duration,
    ) -> Result<(), CollectError> {
        let value =
            serde_json::to_vec(marks).map_err(|error| CollectError::Marks(error.to_string()))?;
        let expect = version.map_or(Precondition::Absent, Precondition::Version);
        let written = self.platform.put(MARKS_KEY, Bytes::from(value), expect);
        self.known = None;
        let written = written.await?;
        self.known = Some((written, clock()));
        Ok(())
    }

    /// Returns for each partition the number after an entry that exists, the newest one unless a
    /// read was out of date.
    async fn ends(&self, last: Option<&ClaimMark>) -> Result<Vec<u64>, CollectError> {
        let mut ends = Vec::new();
        for partition in 0..self.partitions {
            let known = last.and_then(|mark| mark.ends.get(partition as usize));
            let prefix = prefix(partition);
            let page = self.platform.list(&prefix, None, 1).await?;
            let first = page.items.first();
            let Some(first) = first.and_then(|item| number(&prefix, &item.key)) else {
                ends.push(0);
                continue;
            };
            let from = known.map_or(first, |end| first.max(end.saturating_sub(1)));
            ends.push(self.end(&prefix, from).await?);
        }
        Ok(ends)
    }

    /// Searches the end of a log from an entry that exists: first with doubling steps, then by
    /// halving the last one.
    async fn end(&self, prefix: &str, from: u64) -> Result<u64, CollectError> {
        let (mut newest, mut step) = (from, 1);
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
        let object = self.platform.get(&key(prefix, seq)).await?;
        Ok(object.is_some())
    }

    /// Removes entries below the ends of an expired mark, oldest first, without the newest one.
    async fn remove(&mut self, ends: &[u64]) -> Result<usize, CollectError> {
        let mut removed = 0;
        for turn in 0..self.partitions {
            let partition = (self.first_partition + turn) % self.partitions;
            let end = ends.get(partition as usize).copied().unwrap_or(0);
            let prefix = prefix(partition);
            loop {
                let page = self.platform.list(&prefix, None, PAGE).await?;
                let numbers = page.items.iter().map(|item| number(&prefix, &item.key));
                // An entry is immutable and its number is never used again, so a removal that
                // takes effect late removes nothing else.
                let old: Vec<u64> = numbers
                    .map_while(|number| number.filter(|number| number + 1 < end))
                    .collect();
                for &seq in &old {
                    if removed >= MAX_REMOVED {
                        self.first_partition = partition;
                        return Ok(removed);
                    }
                    match self.platform.delete(&key(&prefix, seq), None).await {
                        Ok(()) | Err(PlatformError::NotFound) => removed += 1,
                        Err(error) => return Err(error.into()),
                    }
                }
                if old.len() < PAGE {
                    break;
                }
            }
        }
        Ok(removed)
    }
}

impl ClaimMarks {
    fn grow_older(&mut self, elapsed_ms: u64) {
        for mark in &mut self.marks {
            mark.age_ms = mark.age_ms.saturating_add(elapsed_ms);
        }
    }

    fn is_due(&self) -> bool {
        let youngest = self.marks.last();
        youngest.is_none_or(|mark| mark.age_ms >= MARK_EVERY_S * 1_000)
    }

    /// Adds a mark; of several expired ones the youngest is enough.
    fn add(&mut self, ends: Vec<u64>) {
        self.marks.push(ClaimMark { age_ms: 0, ends });
        let expired = self.marks.iter().filter(|mark| mark.is_expired()).count();
        let surplus = self.marks.len().saturating_sub(MAX_MARKS);
        self.marks.drain(..expired.saturating_sub(1).max(surplus));
    }

    /// Returns the youngest mark whose retention is over.
    fn expired(&self) -> Option<&ClaimMark> {
        self.marks.iter().rev().find(|mark| mark.is_expired())
    }
}

impl ClaimMark {
    fn is_expired(&self) -> bool {
        self.age_ms >= RETENTION_S * 1_000
    }
}

fn prefix(partition: u32) -> String {
    format!("claims/{partition:02}/")
}

fn key(prefix: &str, seq: u64) -> String {
    format!("{prefix}{seq:020}")
}

fn number(prefix: &str, key: &str) -> Option<u64> {
    key.strip_prefix(prefix)?.parse().ok()
}
