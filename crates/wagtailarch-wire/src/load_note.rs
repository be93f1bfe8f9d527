//! What entry instances tell each other of the engines they use, in one datagram.
//!
//! Datagrams may be lost, so that every note stands alone: the running requests are told in full, and
//! a lost read only makes an engine look less busy for the time of one prompt.

use serde::{Deserialize, Serialize};
use wagtailarch_types::{BootId, Fingerprint, Generation, InstanceId};

/// Version of the encoding; notes of other versions are ignored.
pub const LOAD_NOTE_VERSION: u8 = 1;

/// What one entry instance tells all others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNote {
    /// `LOAD_NOTE_VERSION` of the sender.
    pub version: u8,
    /// Sender.
    pub sender: InstanceId,
    /// Start of the sender.
    pub boot: BootId,
    /// Number of the note; a note that is older than the last one is ignored.
    pub sequence: u32,
    /// Generation of the configuration that the sender has in force; 0 for none.
    pub generation: Generation,
    /// Prompts sent and read since the last note.
    pub reads: Vec<ReadNote>,
    /// Requests of the sender that generate, by `server_key` of the engine; others have none.
    pub running: Vec<(u32, u32)>,
    /// Requests that were in flight on a server that crashed.
    pub strikes: Vec<StrikeNote>,
}

/// A prompt that was sent to an engine, or a correction once it has been read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadNote {
    /// `server_key` of the engine.
    pub engine: u32,
    /// Time that reading takes in milliseconds; for a correction, the change.
    pub work_ms: i16,
    /// Whether it is read before prompts that are late anyway.
    pub urgent: bool,
    /// Hash and end in tokens of each prefix, the shortest first; empty for a correction.
    pub prefixes: Vec<(u64, u32)>,
}

/// A request that was in flight on a server that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrikeNote {
    /// Request.
    pub fingerprint: Fingerprint,
    /// Server.
    pub server: InstanceId,
}

impl LoadNote {
    /// Encodes the note.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a note; `None` for anything else, also for other versions.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let note: Self = postcard::from_bytes(bytes).ok()?;
        (note.version == LOAD_NOTE_VERSION).then_some(note)
    }
}

/// Returns the key of a backend server in notes.
pub fn server_key(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}
