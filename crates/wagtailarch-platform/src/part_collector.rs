//! Garbage collection of configuration parts.

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

/// Number of parts that one step lists, and thus the maximum number that it removes.
///
/// A part adds about 5 KB to the response of a list call, so a collector that is called once a
/// minute transfers 1.3 KB/s.
const PAGE_SIZE: usize = 16;
/// Time for which a part must be unreferenced before it is removed, so that slow readers of the
/// previous manifest can still read it.
const GRACE_PERIOD: Duration = Duration::from_secs(600);
/// Maximum number of tracked unreferenced parts; further ones are tracked after others were
/// removed.
const MAX_UNREFERENCED: usize = 16_384;

/// Result of one step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CollectedParts {
    /// Number of listed parts.
    pub listed: usize,
    /// Number of removed parts.
    pub removed: usize,
}

/// Removes configuration parts that the manifest does not refer to, a few with each step.
///
/// A part is never removed while a change of the configuration relies on it. Before a step removes
/// anything, it replaces the manifest by an equal one, on condition that the manifest still has the
/// version that the step read. A change that read the manifest before the replacement therefore
/// fails and is retried; a change that reads it afterwards writes its parts again, which gives them
/// new versions. Each removal is conditional on the version listed before the replacement, so it
/// fails for such a part, however late it takes effect.
pub struct PartCollector {
    platform: Arc<dyn Platform>,
    /// Key after which the next page starts; `None` for the first page.
    after: Option<String>,
    /// Unreferenced parts by key, each with its version and the time at which it was first listed
    /// as unreferenced; at most `MAX_UNREFERENCED`.
    unreferenced: HashMap<String, (ObjectVersion, Duration)>,
    /// Index parts of the last manifest that was read.
    index_parts: HashMap<PartHash, Bytes>,
}

impl PartCollector {
    /// Creates a collector that starts at the first page of parts.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self {
            platform,
            after: None,
            unreferenced: HashMap::new(),
            index_parts: HashMap::new(),
        }
    }

    /// Lists one page of parts and removes those that have been unreferenced for the grace period.
    ///
    /// After an error, the next step continues; parts that were not removed are listed again.
    pub async fn step(&mut self, now: Duration) -> Result<CollectedParts, ConfigError> {
        let Some(object) = self.platform.get(MANIFEST_KEY).await? else {
            return Ok(CollectedParts::default());
        };
        let manifest: Manifest = serde_json::from_slice(&object.value)
            .map_err(|error| ConfigError::Manifest(error.to_string()))?;
        let referenced = self.referenced_keys(&manifest).await?;
        let after = self.after.take();
        let list = self
            .platform
            .list(PART_KEY_PREFIX, after.as_deref(), PAGE_SIZE);
        let page = list.await?;
        let removable = self.update_unreferenced(now, &page, &referenced);
        let mut collected = CollectedParts {
            listed: page.items.len(),
            removed: 0,
        };
        self.after = page.next;
        if removable.is_empty() {
            return Ok(collected);
        }
        let precondition = Precondition::Version(object.version);
        match self
            .platform
            .put(MANIFEST_KEY, object.value, precondition)
            .await
        {
            Ok(_) => {}
            // An apply replaced the manifest in the meantime, or the read was stale.
            Err(PlatformError::Conflict) => return Ok(collected),
            Err(error) => return Err(error.into()),
        }
        for (key, version) in removable {
            match self.platform.delete(&key, Some(version)).await {
                Ok(()) => collected.removed += 1,
                Err(PlatformError::NotFound | PlatformError::Conflict) => {}
                Err(error) => return Err(error.into()),
            }
            self.unreferenced.remove(&key);
        }
        Ok(collected)
    }

    /// Returns the sorted keys of all parts that a manifest refers to.
    async fn referenced_keys(&mut self, manifest: &Manifest) -> Result<Vec<String>, ConfigError> {
        let mut index_parts = HashMap::new();
        if let TeamIndex::IndexParts(hashes) = &manifest.content.teams {
            for hash in hashes {
                let value = match self.index_parts.remove(hash) {
                    Some(value) => value,
                    None => self.read_part(hash).await?,
                };
                index_parts.insert(hash.clone(), value);
            }
        }
        self.index_parts = index_parts;
        let find = |hash: &str| self.index_parts.get(hash).map(Bytes::as_ref);
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

    /// Updates the tracked unreferenced parts from a page; returns the parts to remove.
    fn update_unreferenced(
        &mut self,
        now: Duration,
        page: &ListPage,
        referenced: &[String],
    ) -> Vec<(String, ObjectVersion)> {
        let mut removable = Vec::new();
        for item in &page.items {
            if referenced.binary_search(&item.key).is_ok() {
                self.unreferenced.remove(&item.key);
                continue;
            }
            match self.unreferenced.get(&item.key) {
                Some((version, first_listed)) if *version == item.version => {
                    if now.saturating_sub(*first_listed) >= GRACE_PERIOD {
                        removable.push((item.key.clone(), item.version));
                    }
                }
                None if self.unreferenced.len() >= MAX_UNREFERENCED => {}
                // Listed as unreferenced for the first time, or written again by an apply.
                _ => {
                    self.unreferenced
                        .insert(item.key.clone(), (item.version, now));
                }
            }
        }
        removable
    }
}
