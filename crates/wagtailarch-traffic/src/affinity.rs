//! Prefix affinity: which prompt prefixes are likely to be cached, and where.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use wagtailarch_wire::engine::{CacheEvent, CacheEventKind};

/// Size in bytes of a block of the prompt.
const BLOCK_BYTES: usize = 256;
/// Numbers of blocks whose hashes decide on prefix affinity.
const PREFIX_BLOCKS: [usize; 3] = [1, 4, 16];
/// Greatest number of prefixes in one generation of a table; the table keeps two.
const MAX_PREFIXES: usize = 32_768;
/// Greatest number of backend servers remembered for one prefix.
const MAX_HOLDERS: usize = 4;

/// Computes the hashes of the first 1, 4 and 16 blocks of a prompt, as far as it has them.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    PREFIX_BLOCKS
        .iter()
        .filter_map(|blocks| bytes.get(..blocks * BLOCK_BYTES))
        .map(xxhash_rust::xxh3::xxh3_64)
        .collect()
}

/// Which prompt prefixes were seen lately and which backend servers say that they hold them.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    tables: Mutex<Tables>,
}

/// Two generations of each table; the older one is dropped when the newer one is full.
#[derive(Debug, Default)]
struct Tables {
    seen: HashSet<u64>,
    seen_before: HashSet<u64>,
    /// Hashes of the names of holders; at most `MAX_HOLDERS` each.
    holders: HashMap<u64, Vec<u64>>,
    holders_before: HashMap<u64, Vec<u64>>,
}

/// The prefix that decides, and the backend servers that are said to hold it.
#[derive(Debug, Default)]
pub(crate) struct Preference {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Hashes of the names of the holders.
    pub holders: Vec<u64>,
}

impl Affinity {
    /// Notes the prefixes of a request and returns the one that decides on its place.
    ///
    /// It is the longest one seen before, since only that can be cached; a request without any
    /// goes by its longest prefix, where the next request with the same prefix will go.
    pub fn prefer(&self, prefixes: &[u64]) -> Option<Preference> {
        let longest = *prefixes.last()?;
        let mut tables = self.lock();
        let seen = prefixes
            .iter()
            .rev()
            .find(|prefix| tables.has_seen(**prefix));
        let prefix = seen.copied().unwrap_or(longest);
        for &prefix in prefixes {
            tables.note(prefix);
        }
        let holders = tables.holders(prefix);
        Some(Preference { prefix, holders })
    }

    /// Takes over a cache event of the backend server whose name has the hash `holder`.
    pub fn on_event(&self, holder: u64, event: &CacheEvent) {
        let mut tables = self.lock();
        match event.kind {
            CacheEventKind::Stored => tables.add_holder(event.prefix_hash, holder),
            CacheEventKind::Evicted => tables.remove_holder(event.prefix_hash, holder),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tables {
    fn has_seen(&self, prefix: u64) -> bool {
        self.seen.contains(&prefix) || self.seen_before.contains(&prefix)
    }

    fn note(&mut self, prefix: u64) {
        if self.seen.len() >= MAX_PREFIXES {
            self.seen_before = std::mem::take(&mut self.seen);
        }
        self.seen.insert(prefix);
    }

    fn holders(&self, prefix: u64) -> Vec<u64> {
        let newer = self.holders.get(&prefix);
        newer
            .or_else(|| self.holders_before.get(&prefix))
            .cloned()
            .unwrap_or_default()
    }

    fn add_holder(&mut self, prefix: u64, holder: u64) {
        let mut holders = self.holders(prefix);
        holders.retain(|known| *known != holder);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(holder);
        if self.holders.len() >= MAX_PREFIXES {
            self.holders_before = std::mem::take(&mut self.holders);
        }
        self.holders.insert(prefix, holders);
    }

    fn remove_holder(&mut self, prefix: u64, holder: u64) {
        for table in [&mut self.holders, &mut self.holders_before] {
            let Some(holders) = table.get_mut(&prefix) else {
                continue;
            };
            holders.retain(|known| *known != holder);
        }
    }
}
