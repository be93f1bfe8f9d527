//! Objects that arrive from peers in chunks.

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

/// Greatest size of a manifest; with 100,000 teams it has about 6 KB.
const MAX_MANIFEST_BYTES: usize = 64 * 1024;

/// Objects that were asked for and have not arrived completely.
#[derive(Default)]
pub(super) struct ChunkFetch {
    /// By peer and key; one chunk of each is outstanding.
    open: IndexMap<(InstanceId, SmolStr), Partial>,
}

/// An object of which the beginning has arrived.
struct Partial {
    peer: PeerAddress,
    /// Size that the first chunk named; later chunks must name the same.
    total_bytes: Option<usize>,
    /// At most the bound of the key.
    bytes: Vec<u8>,
}

/// An object that has arrived completely.
pub(super) struct Fetched {
    pub(super) peer: PeerAddress,
    pub(super) key: SmolStr,
    pub(super) bytes: Vec<u8>,
}

/// What a chunk led to.
pub(super) enum Progress {
    /// The next chunk is to be asked for.
    Next(PeerAddress, FetchConfig),
    /// The object is complete.
    Complete(Fetched),
    /// The peer does not have the object.
    Absent,
    /// The chunk was dropped for this cause, one of `CONFIG_DROP_CAUSES`.
    Dropped(&'static str),
}

impl ChunkFetch {
    /// Adds an object and returns the message that asks for its first chunk.
    pub(super) fn start(&mut self, peer: &PeerAddress, key: &SmolStr) -> FetchConfig {
        let partial = Partial {
            peer: peer.clone(),
            total_bytes: None,
            bytes: Vec::new(),
        };
        let instance = peer.identity.instance.clone();
        self.open.insert((instance, key.clone()), partial);
        FetchConfig {
            key: key.clone(),
            offset: 0,
        }
    }

    /// Tells whether nothing is awaited.
    pub(super) fn is_done(&self) -> bool {
        self.open.is_empty()
    }

    /// Gives up everything that a peer was asked for.
    pub(super) fn give_up(&mut self, instance: &InstanceId) {
        self.open.retain(|(peer, _), _| peer != instance);
    }

    /// Takes a chunk; a wrong one ends everything that its sender was asked for.
    pub(super) fn on_chunk(&mut self, from: &PeerIdentity, chunk: ConfigChunk) -> Progress {
        let id = (from.instance.clone(), chunk.key.clone());
        let Some(partial) = self.open.get_mut(&id) else {
            return Progress::Dropped("unexpected");
        };
        let Some(total) = chunk.total_bytes else {
            self.open.swap_remove(&id);
            return Progress::Absent;
        };
        if let Err(cause) = partial.append(&chunk, total as usize) {
            self.give_up(&from.instance);
            return Progress::Dropped(cause);
        }
        if partial.bytes.len() < total as usize {
            let fetch = FetchConfig {
                key: chunk.key,
                offset: partial.bytes.len() as u32,
            };
            return Progress::Next(partial.peer.clone(), fetch);
        }
        match self.open.swap_remove(&id) {
            Some(partial) => Progress::Complete(Fetched {
                peer: partial.peer,
                key: chunk.key,
                bytes: partial.bytes,
            }),
            None => Progress::Dropped("unexpected"),
        }
    }
}

impl Partial {
    fn append(&mut self, chunk: &ConfigChunk, total: usize) -> Result<(), &'static str> {
        if total > max_bytes(&chunk.key) || chunk.bytes.len() > MAX_CHUNK_BYTES {
            return Err("oversized");
        }
        let end = self.bytes.len() + chunk.bytes.len();
        let is_empty = chunk.bytes.is_empty() && total > 0;
        let fits = chunk.offset as usize == self.bytes.len() && end <= total && !is_empty;
        if !fits || self.total_bytes.is_some_and(|first| first != total) {
            return Err("malformed");
        }
        self.total_bytes = Some(total);
        self.bytes.extend_from_slice(&chunk.bytes);
        Ok(())
    }
}

/// Returns the greatest size of the object with the key.
fn max_bytes(key: &str) -> usize {
    match key {
        MANIFEST_KEY => MAX_MANIFEST_BYTES,
        LIST_KEY => MAX_LIST_BYTES,
        _ => MAX_VALUE_BYTES,
    }
}
