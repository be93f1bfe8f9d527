//! Datagrams in which entry instances keep for each other at which software version streams began.
//!
//! Datagrams may be lost: a stream without a record has an unknown origin.

use serde::{Deserialize, Serialize};
use wagtailarch_types::VersionKey;

/// Version of the encoding; messages of other versions are ignored. The range is distinct from those
/// of [`LOAD_NOTE_VERSION`](crate::load_note::LOAD_NOTE_VERSION) and
/// [`PERMIT_VERSION`](crate::permit::PERMIT_VERSION), since all arrive at one socket.
pub const ORIGIN_VERSION: u8 = 192;

/// Maximum number of records in a message, about 1 KB.
pub const MAX_RECORDS: usize = 32;

/// Part of the cryptographic hash of the identifier of a client attempt.
///
/// Clients cannot choose an identifier whose key is that of another client's stream.
pub type OriginKey = u64;

/// A message about the origins of streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginMessage {
    /// `ORIGIN_VERSION` of the sender.
    pub version: u8,
    /// Records, question or answer.
    pub body: OriginBody,
}

/// Content of an [`OriginMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginBody {
    /// Origins that the receiver is to keep.
    Records(Vec<OriginRecord>),
    /// An instance asks for the origin of a stream.
    Question {
        /// Number of the question, unique within the instance that asks.
        number: u32,
        /// Hash of the identifier that the client names.
        key: OriginKey,
    },
    /// The answer to a question.
    Answer {
        /// Number of the question.
        number: u32,
        /// Record of the instance.
        origin: Origin,
    },
}

/// What an instance knows about the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// It has no record.
    Unknown,
    /// The stream began at this version.
    Version(VersionKey),
    /// The stream began at one of several versions.
    Ambiguous,
}

/// The origin of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Hash of the identifier of the client attempt that received the first event.
    pub key: OriginKey,
    /// Version at which the stream began; absent if it is no longer known.
    pub version: Option<VersionKey>,
}

impl OriginMessage {
    /// Creates a message.
    pub const fn new(body: OriginBody) -> Self {
        Self {
            version: ORIGIN_VERSION,
            body,
        }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a message; returns `None` if the bytes are malformed or have another version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        // Notes are decoded otherwise, and far more frequent.
        bytes
            .first()
            .filter(|version| **version == ORIGIN_VERSION)?;
        postcard::from_bytes(bytes).ok()
    }
}
