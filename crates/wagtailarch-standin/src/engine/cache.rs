//! The prefix cache: a bounded set of block hashes, oldest use evicted first.

use std::collections::{BTreeMap, HashMap, VecDeque};

use wagtailarch_wire::engine::{CacheEvent, CacheEventKind, CacheEvents};

/// Events kept for readers; a reader that lags more sees a gap.
const MAX_EVENTS: usize = 1024;
/// Events in one answer.
const MAX_EVENTS_PER_ANSWER: usize = 256;

/// Prefix cache of one engine.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// Greatest number of blocks.
    capacity: usize,
    /// Time of last use by block.
    uses: HashMap<u64, u64>,
    /// Blocks by time of last use; holds the same pairs as `uses`.
    order: BTreeMap<u64, u64>,
    clock: u64,
    /// Latest events, at most [`MAX_EVENTS`], with consecutive sequence numbers.
    events: VecDeque<CacheEvent>,
    next_seq: u64,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next_seq: 1,
            ..Self::default()
        }
    }

    /// Returns how many leading blocks are cached and marks them as used.
    pub fn hit(&mut self, hashes: &[u64]) -> usize {
        let hits = hashes
            .iter()
            .take_while(|hash| self.uses.contains_key(hash))
            .count();
        for hash in &hashes[..hits] {
            self.touch(*hash);
        }
        hits
    }

    /// Stores the blocks of a processed prompt.
    pub fn store(&mut self, hashes: &[u64]) {
        for hash in hashes {
            if !self.uses.contains_key(hash) {
                self.push_event(CacheEventKind::Stored, *hash);
            }
            self.touch(*hash);
            if self.uses.len() > self.capacity {
                self.evict();
            }
        }
    }

    /// Forgets all blocks, as loading another model does.
    pub fn clear(&mut self) {
        while !self.uses.is_empty() {
            self.evict();
        }
    }

    /// Returns the events after sequence number `after`.
    pub fn events_after(&self, after: u64) -> CacheEvents {
        let first = self.events.front().map_or(self.next_seq, |event| event.seq);
        let later = self.events.iter().filter(|event| event.seq > after);
        CacheEvents {
            events: later.take(MAX_EVENTS_PER_ANSWER).copied().collect(),
            gap: after + 1 < first,
        }
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(previous) = self.uses.insert(hash, self.clock) {
            self.order.remove(&previous);
        }
        self.order.insert(self.clock, hash);
    }

    fn evict(&mut self) {
        let Some((_, hash)) = self.order.pop_first() else {
            return;
        };
        self.uses.remove(&hash);
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
