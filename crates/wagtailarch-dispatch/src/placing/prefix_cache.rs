//! The local view of the prompt prefixes that an engine has cached.

use std::collections::{BTreeMap, HashMap};

use crate::PrefixLink;

/// Share of an engine's KV cache that prefixes may fill; beyond it, the least recently used ones
/// are evicted.
///
/// Running requests use the rest. Engines evict the least recently used prefixes too.
const CACHE_CAPACITY_SHARE: f64 = 0.85;

/// Prefixes that one engine has cached, in the order of their last use.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_tokens: u64,
    /// Sum of the tokens of all entries. It exceeds the capacity only during an insertion.
    used_tokens: u64,
    /// Entries by the hash of the prefix.
    entries: HashMap<u64, Entry>,
    /// Hashes by last use; contains each key of `entries` once.
    by_last_use: BTreeMap<u64, u64>,
    next_use: u64,
}

#[derive(Debug)]
struct Entry {
    /// Tokens of this prefix beyond the next shorter one.
    tokens: u32,
    last_use: u64,
}

impl PrefixCache {
    /// Creates the view of an engine whose KV cache has room for `kv_capacity_tokens` tokens.
    pub fn new(kv_capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens: (kv_capacity_tokens as f64 * CACHE_CAPACITY_SHARE) as u64,
            used_tokens: 0,
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
            next_use: 0,
        }
    }

    /// Returns the number of tokens of the longest prefix that is cached together with all shorter
    /// ones.
    pub fn cached_tokens(&self, prefixes: &[PrefixLink]) -> u32 {
        let cached = prefixes
            .iter()
            .take_while(|link| self.entries.contains_key(&link.hash));
        cached.last().map_or(0, |link| link.end_tokens)
    }

    /// Records that the engine has prefilled all of these prefixes or is about to, and evicts
    /// others beyond the capacity.
    pub fn insert(&mut self, prefixes: &[PrefixLink]) {
        let mut start_tokens = 0;
        for link in prefixes {
            let tokens = link.end_tokens.saturating_sub(start_tokens);
            start_tokens = link.end_tokens;
            self.touch(link.hash, tokens);
        }
        while self.used_tokens > self.capacity_tokens {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                break;
            };
            let Some(entry) = self.entries.remove(&hash) else {
                continue;
            };
            self.used_tokens -= u64::from(entry.tokens);
        }
    }

    fn touch(&mut self, hash: u64, tokens: u32) {
        let last_use = self.next_use;
        self.next_use += 1;
        self.by_last_use.insert(last_use, hash);
        match self.entries.get_mut(&hash) {
            Some(entry) => {
                self.by_last_use.remove(&entry.last_use);
                entry.last_use = last_use;
            }
            None => {
                self.entries.insert(hash, Entry { tokens, last_use });
                self.used_tokens += u64::from(tokens);
            }
        }
    }
}
