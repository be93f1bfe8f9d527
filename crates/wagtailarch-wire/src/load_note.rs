//! Load notes: datagrams in which entry instances report to each other the load that they put on
//! engines.
//!
//! Datagrams may be lost, so that each note contains all open prefills and all running requests.
//! Only the prefixes of a prompt are sent once; if they are lost, the prefix cache of an engine is
//! underestimated.

use serde::{Deserialize, Serialize};
use wagtailarch_types::{
    BootId, Fingerprint, Generation, InstanceId, ObjectVersion, Urgency, VersionKey, ZoneName,
};

use crate::{part_report::PartReports, path_report::PathReport};

/// Version of the encoding; notes of other versions are ignored.
pub const LOAD_NOTE_VERSION: u8 = 9;

/// Maximum number of prompts whose prefixes are kept when notes are merged; the oldest ones are
/// dropped.
const MAX_MERGED_PREFIXES: usize = 64;

/// Maximum number of rate limits in a merged note; the others are reported again.
const MAX_MERGED_LIMITS: usize = 64;

/// Notes of several instances in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteBundle {
    /// `LOAD_NOTE_VERSION` of the sender.
    pub version: u8,
    /// The notes as their senders created them.
    pub notes: Vec<LoadNote>,
}

/// The report of one entry instance to all others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNote {
    /// Instance that created the note.
    pub sender: InstanceId,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Identifies the start of the sender.
    pub boot: BootId,
    /// Number of the note; a note that is older than the last received one is ignored.
    pub sequence: u32,
    /// Generation of the configuration that the sender uses; 0 for none.
    pub generation: Generation,
    /// Versions of the newest store changes that the sender has received.
    #[serde(rename = "news")]
    pub store_versions: StoreVersions,
    /// Prompts of the sender that wait for their prefill or are being prefilled.
    #[serde(rename = "open_reads")]
    pub open_prefills: Vec<OpenPrefill>,
    /// Prefixes of the prompts sent to engines since the last note.
    pub sent_prefixes: Vec<SentPrefixes>,
    /// Number of requests of the sender that an engine decodes, by `server_key`; engines without
    /// any are left out.
    pub running: Vec<(u32, u32)>,
    /// Always empty: crashes of requests are in `parts`. Earlier revisions read the field.
    pub strikes: Vec<StrikeNote>,
    /// Rate limits that servers have named to the sender.
    pub limits: Vec<LimitReport>,
    /// Evidence about parts of prompts that crash servers.
    pub parts: PartReports,
    /// Software versions of which streams may be open, of the services with more than one, each
    /// with a hash of the service.
    pub versions: Vec<(u64, VersionKey)>,
    /// Paths of the sender to the backend servers.
    pub paths: PathReport,
}

/// The rate limit that a server named in a response to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// `server_key` of the server.
    pub server: u32,
    /// Limit in thousandths of a request per second, for all instances together; `None` if the
    /// server has taken it back.
    pub milli_per_s: Option<u32>,
    /// Age of the response in milliseconds.
    pub age_ms: u32,
}

/// Versions of the newest changes that an instance has received from the store; 0 for none.
///
/// An instance whose own watch has not reached these versions is stale, or about to receive the
/// changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreVersions {
    /// Newest change of the configuration.
    pub routing: ObjectVersion,
    /// Newest change of a backend server's registration.
    pub servers: ObjectVersion,
}

/// A prompt that was sent to an engine and whose prefill has not finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenPrefill {
    /// `server_key` of the engine.
    pub engine: u32,
    /// Number of the prompt, unique within the sender.
    pub number: u32,
    /// Predicted prefill time in milliseconds.
    pub work_ms: u16,
    /// Urgency, which determines the rank among the prompts of the engine.
    pub urgency: Urgency,
}

/// The prefixes of a prompt that was sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentPrefixes {
    /// `server_key` of the engine.
    pub engine: u32,
    /// Hash and length in tokens of each prefix, the shortest first.
    pub prefixes: Vec<(u64, u32)>,
}

/// A request that was in flight on a server when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrikeNote {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Server that crashed.
    pub server: InstanceId,
}

impl LoadNote {
    /// Adds the parts of an older note of the same instance that are sent only once, so that they
    /// are not lost when this note is forwarded in its place.
    pub fn merge_older(&mut self, older: Self) {
        self.sent_prefixes.splice(0..0, older.sent_prefixes);
        self.strikes.splice(0..0, older.strikes);
        self.parts.merge_older(older.parts);
        let excess = self.sent_prefixes.len().saturating_sub(MAX_MERGED_PREFIXES);
        self.sent_prefixes.drain(..excess);
        for report in older.limits {
            let is_newer = |newer: &LimitReport| newer.server == report.server;
            if self.limits.len() < MAX_MERGED_LIMITS && !self.limits.iter().any(is_newer) {
                self.limits.push(report);
            }
        }
    }

    /// Returns an upper estimate of the encoded size, for names of usual length.
    pub fn estimated_bytes(&self) -> usize {
        let links = self
            .sent_prefixes
            .iter()
            .map(|sent| 6 + sent.prefixes.len() * 15);
        let strikes = self.strikes.len() * 48;
        80 + links.sum::<usize>()
            + self.open_prefills.len() * 14
            + self.running.len() * 10
            + self.limits.len() * 14
            + strikes
            + self.versions.len() * 20
            + self.parts.estimated_bytes()
            + self.paths.estimated_bytes()
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

    /// Decodes a bundle; returns `None` if the bytes are malformed or have another version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bundle: Self = postcard::from_bytes(bytes).ok()?;
        (bundle.version == LOAD_NOTE_VERSION).then_some(bundle)
    }
}

/// Returns the key that identifies a backend server in notes.
pub fn server_key(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}
