//! What entry instances tell each other of the engines they use, in one datagram.
//!
//! Datagrams may be lost, so that every note stands alone: prompts being read and requests that
//! generate are told in full. Only the prefixes of a prompt are told once; if they are lost, an engine
//! is believed to hold less than it does.

use serde::{Deserialize, Serialize};
use wagtailarch_types::{
    BootId, Fingerprint, Generation, InstanceId, ObjectVersion, Urgency, ZoneName,
};

/// Version of the encoding; notes of other versions are ignored.
pub const LOAD_NOTE_VERSION: u8 = 5;

/// Prompts whose prefixes are kept when notes are passed on together; the oldest go first.
const MAX_FOLLOWED_PREFIXES: usize = 64;

/// Notes of several instances in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteBundle {
    /// `LOAD_NOTE_VERSION` of the sender.
    pub version: u8,
    /// Notes, each as its instance sent it.
    pub notes: Vec<LoadNote>,
}

/// What one entry instance tells all others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNote {
    /// Sender.
    pub sender: InstanceId,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Start of the sender.
    pub boot: BootId,
    /// Number of the note; a note that is older than the last one is ignored.
    pub sequence: u32,
    /// Generation of the configuration that the sender has in force; 0 for none.
    pub generation: Generation,
    /// Newest news from the store that the sender has.
    #[serde(rename = "news")]
    pub store_versions: StoreVersions,
    /// Prompts of the sender that engines have not read yet.
    #[serde(rename = "open_reads")]
    pub open_prefills: Vec<OpenPrefill>,
    /// Prefixes of the prompts sent since the last note.
    pub sent_prefixes: Vec<SentPrefixes>,
    /// Requests of the sender that generate, by `server_key` of the engine; others have none.
    pub running: Vec<(u32, u32)>,
    /// Requests that were in flight on a server that crashed.
    pub strikes: Vec<StrikeNote>,
}

/// Versions of the newest changes that an instance has heard from the store; 0 for none.
///
/// An instance whose own watch has not reached such a version is deaf or about to hear it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreVersions {
    /// Newest change of the configuration.
    pub routing: ObjectVersion,
    /// Newest change of a registration of a backend server.
    pub servers: ObjectVersion,
}

/// A prompt that an engine has not read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenPrefill {
    /// `server_key` of the engine.
    pub engine: u32,
    /// Number of the prompt among those of the sender.
    pub number: u32,
    /// Time that reading takes in milliseconds.
    pub work_ms: u16,
    /// Rank among the prompts of the engine.
    pub urgency: Urgency,
}

/// The prefixes of a prompt that was sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentPrefixes {
    /// `server_key` of the engine.
    pub engine: u32,
    /// Hash and end in tokens of each prefix, the shortest first.
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
    /// Adds what an older note of the same instance told once, so that it is not lost when this one is
    /// passed on in its place.
    pub fn merge_older(&mut self, older: Self) {
        self.sent_prefixes.splice(0..0, older.sent_prefixes);
        self.strikes.splice(0..0, older.strikes);
        let excess = self
            .sent_prefixes
            .len()
            .saturating_sub(MAX_FOLLOWED_PREFIXES);
        self.sent_prefixes.drain(..excess);
    }

    /// Estimates the size of the encoded note from above, for usual names.
    pub fn estimated_bytes(&self) -> usize {
        let links = self
            .sent_prefixes
            .iter()
            .map(|sent| 6 + sent.prefixes.len() * 15);
        let strikes = self.strikes.len() * 48;
        80 + links.sum::<usize>()
            + self.open_prefills.len() * 14
            + self.running.len() * 10
            + strikes
    }
}

impl NoteBundle {
    /// Creates a bundle.
    pub fn new(notes: Vec<LoadNote>) -> Self {
        Self {
            version: LOAD_NOTE_VERSION,
            notes,
        }
    }

    /// Encodes the bundle.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a bundle; `None` for anything else, also for other versions.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bundle: Self = postcard::from_bytes(bytes).ok()?;
        (bundle.version == LOAD_NOTE_VERSION).then_some(bundle)
    }
}

/// Returns the key of a backend server in notes.
pub fn server_key(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}
