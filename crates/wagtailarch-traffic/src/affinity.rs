//! Prefix affinity: which prompt prefixes are likely to be cached, and on which backend servers.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use wagtailarch_wire::engine::{CacheEvent, CacheEventKind};

/// Size in bytes of a prompt block.
const BLOCK_BYTES: usize = 256;
/// Lengths in blocks of the hashed prefixes.
const PREFIX_BLOCKS: [usize; 3] = [1, 4, 16];
/// Maximum number of prefixes in the newer or the older half of a table.
const MAX_PREFIXES: usize = 32_768;
/// Maximum number of backend servers kept for one prefix.
const MAX_SERVERS_PER_PREFIX: usize = 4;

/// Computes the hashes of the first 1, 4 and 16 blocks of a prompt, omitting prefixes longer than
/// the prompt.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    PREFIX_BLOCKS
        .iter()
        .filter_map(|blocks| bytes.get(..blocks * BLOCK_BYTES))
        .map(xxhash_rust::xxh3::xxh3_64)
        .collect()
}

/// Prompt prefixes of recent requests, and the backend servers that reported having them cached.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    tables: Mutex<Tables>,
}

/// Tables with a newer and an older half each.
///
/// When the newer half is full, it replaces the older one, so that a table keeps recent prefixes
/// in bounded memory.
#[derive(Debug, Default)]
struct Tables {
    recent: HashSet<u64>,
    older_recent: HashSet<u64>,
    /// By prefix, the name hashes of at most `MAX_SERVERS_PER_PREFIX` backend servers.
    cached_by: HashMap<u64, Vec<u64>>,
    older_cached_by: HashMap<u64, Vec<u64>>,
}

/// The prefix by which a request is routed, and the backend servers likely to have it cached.
#[derive(Debug, Default)]
pub(crate) struct Preference {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Name hashes of the backend servers that reported having the prefix cached.
    pub cached_by: Vec<u64>,
}

impl Affinity {
    /// Records the prefixes of a request and returns the one by which to route it.
    ///
    /// It is the longest prefix that an earlier request had, since only such a prefix can be
    /// cached. Without one it is the longest prefix, so that later requests that share it go to
    /// the same backend server.
    pub fn preference(&self, prefixes: &[u64]) -> Option<Preference> {
        let longest = *prefixes.last()?;
        let mut tables = self.lock();
        let known = prefixes
            .iter()
            .rev()
            .find(|prefix| tables.contains(**prefix));
        let prefix = known.copied().unwrap_or(longest);
        for &prefix in prefixes {
            tables.record(prefix);
        }
        let cached_by = tables.cached_by(prefix);
        Some(Preference { prefix, cached_by })
    }

    /// Applies a cache event of the backend server whose name has the hash `server`.
    pub fn on_event(&self, server: u64, event: &CacheEvent) {
        let mut tables = self.lock();
        match event.kind {
            CacheEventKind::Stored => tables.add_server(event.prefix_hash, server),
            CacheEventKind::Evicted => tables.remove_server(event.prefix_hash, server),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tables {
    fn contains(&self, prefix: u64) -> bool {
        self.recent.contains(&prefix) || self.older_recent.contains(&prefix)
    }

    fn record(&mut self, prefix: u64) {
        if self.recent.len() >= MAX_PREFIXES {
            self.older_recent = std::mem::take(&mut self.recent);
        }
        self.recent.insert(prefix);
    }

    /// Returns the name hashes of the backend servers that have a prefix cached.
    fn cached_by(&self, prefix: u64) -> Vec<u64> {
        let newer = self.cached_by.get(&prefix);
        newer
            .or_else(|| self.older_cached_by.get(&prefix))
            .cloned()
            .unwrap_or_default()
    }

    fn add_server(&mut self, prefix: u64, server: u64) {
        let mut cached_by = self.cached_by(prefix);
        cached_by.retain(|known| *known != server);
        if cached_by.len() >= MAX_SERVERS_PER_PREFIX {
            cached_by.remove(0);
        }
        cached_by.push(server);
        if self.cached_by.len() >= MAX_PREFIXES {
            self.older_cached_by = std::mem::take(&mut self.cached_by);
        }
        self.cached_by.insert(prefix, cached_by);
    }

    fn remove_server(&mut self, prefix: u64, server: u64) {
        for table in [&mut self.cached_by, &mut self.older_cached_by] {
            let Some(cached_by) = table.get_mut(&prefix) else {
                continue;
            };
            cached_by.retain(|known| *known != server);
        }
    }
}
