//! Removal of configuration parts that no manifest refers to any more.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use wagtailarch_fleet::{
    MANIFEST_KEY, Manifest, PART_KEY_PREFIX, PartError, PartHash, TeamIndex, check_part, part_key,
    referenced_parts,
};
use wagtailarch_types::ObjectVersion;

use crate::{ConfigError, ListPage, Platform, PlatformError, Precondition};

/// Parts that one step lists, and so the greatest number that it removes.
///
/// A part takes up about 5 KB of a list answer, so that a step each minute moves 1.3 KB/s.
const PAGE: usize = 16;
/// Time for which a part must be unreferenced, so that a slow reader of the previous manifest
/// still finds it.
const GRACE: Duration = Duration::from_secs(600);
/// Greatest number of remembered parts; more are taken up once others are removed.
const MAX_MARKS: usize = 16_384;

/// What one step did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CollectedParts {
    /// Parts listed.
    pub listed: usize,
    /// Parts removed.
    pub removed: usize,
}

/// Removes configuration parts that no manifest refers to, a few with each step.
///
/// A part is never removed under an apply that relies on it. Before a step removes anything, it
/// replaces the manifest by an equal one under the condition that it is still the one that the
/// step read. So an apply that read the manifest earlier fails and starts anew, and an apply that
/// reads it later writes its parts again, which gives them new versions. A removal is conditional
/// on the version listed before the replacement, so that it fails for such a part, however late
/// it takes effect.
pub struct PartCollector {
    platform: Arc<dyn Platform>,
    /// Key after which the next page begins; `None` for the first page.
    after: Option<String>,
    /// Unreferenced parts by key, with version and time of the first sight; at most `MAX_MARKS`.
    marks: HashMap<String, (ObjectVersion, Duration)>,
    /// Index parts of the last manifest.
    index: HashMap<PartHash, Bytes>,
}

impl PartCollector {
    /// Creates a collector that has seen no part.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self {
            platform,
            after: None,
            marks: HashMap::new(),
            index: HashMap::new(),
        }
    }

    /// Lists one page of parts and removes those of it that were unreferenced long enough.
    ///
    /// After an error the next step continues; what was not removed is seen again.
    pub async fn step(&mut self, now: Duration) -> Result<CollectedParts, ConfigError> {
        let Some(object) = self.platform.get(MANIFEST_KEY).await? else {
            return Ok(CollectedParts::default());
        };
        let manifest: Manifest = serde_json::from_slice(&object.value)
            .map_err(|error| ConfigError::Manifest(error.to_string()))?;
        let referenced = self.referenced(&manifest).await?;
        let after = self.after.take();
        let list = self.platform.list(PART_KEY_PREFIX, after.as_deref(), PAGE);
        let page = list.await?;
        let due = self.mark(now, &page, &referenced);
        let mut collected = CollectedParts {
            listed: page.items.len(),
            removed: 0,
        };
        self.after = page.next;
        if due.is_empty() {
            return Ok(collected);
        }
        let expect = Precondition::Version(object.version);
        match self.platform.put(MANIFEST_KEY, object.value, expect).await {
            Ok(_) => {}
            // An apply has won meanwhile, or the manifest that was read was out of date.
            Err(PlatformError::Conflict) => return Ok(collected),
            Err(error) => return Err(error.into()),
        }
        for (key, version) in due {
            match self.platform.delete(&key, Some(version)).await {
                Ok(()) => collected.removed += 1,
                Err(PlatformError::NotFound | PlatformError::Conflict) => {}
                Err(error) => return Err(error.into()),
            }
            self.marks.remove(&key);
        }
        Ok(collected)
    }

    /// Returns the keys of all parts that a manifest refers to.
    async fn referenced(&mut self, manifest: &Manifest) -> Result<Vec<String>, ConfigError> {
        let mut index = HashMap::new();
        if let TeamIndex::IndexParts(hashes) = &manifest.content.teams {
            for hash in hashes {
                let value = match self.index.remove(hash) {
                    Some(value) => value,
                    None => self.read_part(hash).await?,
                };
                index.insert(hash.clone(), value);
            }
        }
        self.index = index;
        let find = |hash: &str| self.index.get(hash).map(Bytes::as_ref);
        let mut keys: Vec<String> = referenced_parts(&manifest.content, find)?
            .iter()
            .map(|hash| part_key(hash))
            .collect();
        keys.sort_unstable();
        Ok(keys)
    }

    async fn read_part(&self, hash: &PartHash) -> Result<Bytes, ConfigError> {
        let Some(object) = self.platform.get(&part_key(hash)).await? else {
            return Err(PartError::Absent(hash.clone()).into());
        };
        check_part(hash, &object.value)?;
        Ok(object.value)
    }

    /// Takes note of the unreferenced parts of a page; returns those to be removed.
    fn mark(
        &mut self,
        now: Duration,
        page: &ListPage,
        referenced: &[String],
    ) -> Vec<(String, ObjectVersion)> {
        let mut due = Vec::new();
        for item in &page.items {
            if referenced.binary_search(&item.key).is_ok() {
                self.marks.remove(&item.key);
                continue;
            }
            match self.marks.get(&item.key) {
                Some((version, since)) if *version == item.version => {
                    if now.saturating_sub(*since) >= GRACE {
                        due.push((item.key.clone(), item.version));
                    }
                }
                None if self.marks.len() >= MAX_MARKS => {}
                // Not seen before, or written again by an apply.
                _ => {
                    self.marks.insert(item.key.clone(), (item.version, now));
                }
            }
        }
        due
    }
}
