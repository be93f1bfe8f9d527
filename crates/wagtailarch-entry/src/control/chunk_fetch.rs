//! Assembly of the objects that peers send in chunks.

use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_fleet::MANIFEST_KEY;
use wagtailarch_types::InstanceId;
use wagtailarch_wire::{
    peer::{ConfigChunk, FetchConfig, MAX_CHUNK_BYTES},
    platform::MAX_VALUE_BYTES,
};

use super::exchange::{LIST_KEY, MAX_LIST_BYTES};
use crate::peers::{PeerAddress, PeerIdentity};

/// Maximum size of a manifest; that of a fleet with 100,000 teams has about 6 KB.
const MAX_MANIFEST_BYTES: usize = 64 * 1024;

/// Requested objects that have not arrived completely.
#[derive(Default)]
pub(super) struct ChunkFetch {
    /// Objects by peer and key; one chunk of each is requested at a time.
    pending: IndexMap<(InstanceId, SmolStr), PartialObject>,
}

/// The part of an object that has arrived.
struct PartialObject {
    peer: PeerAddress,
    /// Size of the object according to the first chunk; later chunks must state the same size.
    total_bytes: Option<usize>,
    /// Bytes from the start of the object, at most `max_bytes` of the key.
    bytes: Vec<u8>,
}

/// An object that has arrived completely.
pub(super) struct FetchedObject {
    pub(super) peer: PeerAddress,
    pub(super) key: SmolStr,
    pub(super) bytes: Vec<u8>,
}

/// Outcome of a received chunk.
pub(super) enum ChunkOutcome {
    /// The next chunk is to be requested from the peer.
    Next(PeerAddress, FetchConfig),
    /// The object is complete.
    Complete(FetchedObject),
    /// The peer does not have the object.
    Absent,
    /// The chunk was dropped; the cause is one of `CONFIG_DROP_CAUSES`.
    Dropped(&'static str),
}

impl ChunkFetch {
    /// Adds an object and returns the request for its first chunk.
    pub(super) fn start(&mut self, peer: &PeerAddress, key: &SmolStr) -> FetchConfig {
        let partial = PartialObject {
            peer: peer.clone(),
            total_bytes: None,
            bytes: Vec::new(),
        };
        let instance = peer.identity.instance.clone();
        self.pending.insert((instance, key.clone()), partial);
        FetchConfig {
            key: key.clone(),
            offset: 0,
        }
    }

    /// Returns whether no object is pending.
    pub(super) fn is_done(&self) -> bool {
        self.pending.is_empty()
    }

    /// Abandons all pending objects of a peer.
    pub(super) fn abandon(&mut self, instance: &InstanceId) {
        self.pending.retain(|(peer, _), _| peer != instance);
    }

    /// Handles a chunk; an invalid one abandons all pending objects of its sender.
    pub(super) fn on_chunk(&mut self, from: &PeerIdentity, chunk: ConfigChunk) -> ChunkOutcome {
        let id = (from.instance.clone(), chunk.key.clone());
        let Some(partial) = self.pending.get_mut(&id) else {
            return ChunkOutcome::Dropped("unexpected");
        };
        let Some(total) = chunk.total_bytes else {
            self.pending.swap_remove(&id);
            return ChunkOutcome::Absent;
        };
        if let Err(cause) = partial.append(&chunk, total as usize) {
            self.abandon(&from.instance);
            return ChunkOutcome::Dropped(cause);
        }
        if partial.bytes.len() < total as usize {
            let fetch = FetchConfig {
                key: chunk.key,
                offset: partial.bytes.len() as u32,
            };
            return ChunkOutcome::Next(partial.peer.clone(), fetch);
        }
        match self.pending.swap_remove(&id) {
            Some(partial) => ChunkOutcome::Complete(FetchedObject {
                peer: partial.peer,
                key: chunk.key,
                bytes: partial.bytes,
            }),
            None => ChunkOutcome::Dropped("unexpected"),
        }
    }
}

impl PartialObject {
    fn append(&mut self, chunk: &ConfigChunk, total: usize) -> Result<(), &'static str> {
        if total > max_bytes(&chunk.key) || chunk.bytes.len() > MAX_CHUNK_BYTES {
            return Err("oversized");
        }
        let end = self.bytes.len() + chunk.bytes.len();
        let lacks_data = chunk.bytes.is_empty() && total > 0;
        let is_valid = chunk.offset as usize == self.bytes.len() && end <= total && !lacks_data;
        if !is_valid || self.total_bytes.is_some_and(|first| first != total) {
            return Err("malformed");
        }
        self.total_bytes = Some(total);
        self.bytes.extend_from_slice(&chunk.bytes);
        Ok(())
    }
}

/// Returns the maximum size of the object with the given key.
fn max_bytes(key: &str) -> usize {
    match key {
        MANIFEST_KEY => MAX_MANIFEST_BYTES,
        LIST_KEY => MAX_LIST_BYTES,
        _ => MAX_VALUE_BYTES,
    }
}
