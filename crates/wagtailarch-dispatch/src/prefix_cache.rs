//! Which prompt prefixes an engine is believed to hold.

use std::collections::{BTreeMap, HashMap};

use crate::PrefixLink;

/// Share of an engine's memory that prefixes may fill before the oldest are forgotten.
///
/// Running requests take the rest; an engine forgets the least recently used prefixes too.
const CACHE_SHARE: f64 = 0.85;

/// Prefixes that one engine has read, least recently used first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_tokens: u64,
    /// Sum of the tokens of all entries; above the capacity only while an entry is added.
    used_tokens: u64,
    /// Prefixes by hash.
    entries: HashMap<u64, Entry>,
    /// Hashes by their last use; holds each key of `entries` once.
    by_use: BTreeMap<u64, u64>,
    next_use: u64,
}

#[derive(Debug)]
struct Entry {
    /// Tokens that this prefix has beyond the next shorter one.
    tokens: u32,
    last_use: u64,
}

impl PrefixCache {
    /// Creates the cache of an engine with `memory_tokens` of memory.
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            capacity_tokens: (memory_tokens as f64 * CACHE_SHARE) as u64,
            used_tokens: 0,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
            next_use: 0,
        }
    }

    /// Returns the tokens of the longest prefix that is held with all shorter ones.
    pub fn held_tokens(&self, prefixes: &[PrefixLink]) -> u32 {
        let held = prefixes
            .iter()
            .take_while(|link| self.entries.contains_key(&link.hash));
        held.last().map_or(0, |link| link.end_tokens)
    }

    /// Notes that the engine has read, or is about to read, all of these prefixes.
    pub fn insert(&mut self, prefixes: &[PrefixLink]) {
        let mut start_tokens = 0;
        for link in prefixes {
            let tokens = link.end_tokens.saturating_sub(start_tokens);
            start_tokens = link.end_tokens;
            self.touch(link.hash, tokens);
        }
        while self.used_tokens > self.capacity_tokens {
            let Some((_, hash)) = self.by_use.pop_first() else {
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
        self.by_use.insert(last_use, hash);
        match self.entries.get_mut(&hash) {
            Some(entry) => {
                self.by_use.remove(&entry.last_use);
                entry.last_use = last_use;
            }
            None => {
                self.entries.insert(hash, Entry { tokens, last_use });
                self.used_tokens += u64::from(tokens);
            }
        }
    }
}
