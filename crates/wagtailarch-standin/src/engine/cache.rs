//! The prefix cache, a bounded set of block hashes with eviction of the least recently used.

use std::collections::{BTreeMap, HashMap, VecDeque};

use wagtailarch_wire::engine::{CacheEvent, CacheEventKind, CacheEvents};

/// Maximum number of recorded events; clients that lag further behind receive a gap.
const MAX_EVENTS: usize = 1024;
/// Maximum number of events in a response.
const MAX_EVENTS_PER_RESPONSE: usize = 256;

/// Prefix cache of an engine.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Logical time of the last use of each block.
    last_uses: HashMap<u64, u64>,
    /// Blocks by the time of their last use; the inverse of `last_uses`.
    by_last_use: BTreeMap<u64, u64>,
    /// Logical time, which advances with each use of a block.
    clock: u64,
    /// Newest events with consecutive sequence numbers; at most [`MAX_EVENTS`].
    events: VecDeque<CacheEvent>,
    next_seq: u64,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next_seq: 1,
            ..Self::default()
        }
    }

    /// Returns the number of leading blocks that are cached and marks them as used.
    pub fn match_prefix(&mut self, hashes: &[u64]) -> usize {
        let cached = hashes
            .iter()
            .take_while(|hash| self.last_uses.contains_key(hash))
            .count();
        for hash in &hashes[..cached] {
            self.touch(*hash);
        }
        cached
    }

    /// Inserts the blocks of a processed prompt.
    pub fn insert(&mut self, hashes: &[u64]) {
        for hash in hashes {
            if !self.last_uses.contains_key(hash) {
                self.push_event(CacheEventKind::Stored, *hash);
            }
            self.touch(*hash);
            if self.last_uses.len() > self.capacity {
                self.evict();
            }
        }
    }

    /// Evicts all blocks, as loading another model does.
    pub fn clear(&mut self) {
        while !self.last_uses.is_empty() {
            self.evict();
        }
    }

    /// Returns the events after sequence number `after`.
    pub fn events_after(&self, after: u64) -> CacheEvents {
        let first = self.events.front().map_or(self.next_seq, |event| event.seq);
        let later = self.events.iter().filter(|event| event.seq > after);
        CacheEvents {
            events: later.take(MAX_EVENTS_PER_RESPONSE).copied().collect(),
            gap: after + 1 < first,
        }
    }

    /// Marks a block as used now.
    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(previous) = self.last_uses.insert(hash, self.clock) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.clock, hash);
    }

    /// Evicts the least recently used block.
    fn evict(&mut self) {
        let Some((_, hash)) = self.by_last_use.pop_first() else {
            return;
        };
        self.last_uses.remove(&hash);
        self.push_event(CacheEventKind::Evicted, hash);
    }

    fn push_event(&mut self, kind: CacheEventKind, prefix_hash: u64) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            seq: self.next_seq,
            kind,
            prefix_hash,
        });
        self.next_seq += 1;
    }
}
