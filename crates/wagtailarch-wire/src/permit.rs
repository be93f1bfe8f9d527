//! Datagrams in which entry instances ask for permits to call rate-limited servers.
//!
//! Datagrams may be lost: an instance without a response uses its equal share of the limit.

use serde::{Deserialize, Serialize};

use crate::load_note::LimitReport;

/// Version of the encoding; messages of other versions are ignored. The range is distinct from that
/// of [`LOAD_NOTE_VERSION`](crate::load_note::LOAD_NOTE_VERSION), since both arrive at one socket.
pub const PERMIT_VERSION: u8 = 128;

/// A message about a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitMessage {
    /// `PERMIT_VERSION` of the sender.
    pub version: u8,
    /// Number of the request, unique within the instance that asks.
    pub number: u32,
    /// Request or response.
    pub body: PermitBody,
}

/// Content of a [`PermitMessage`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitBody {
    /// An instance asks the coordinator of a server's limit for a permit.
    Request {
        /// What the instance knows about the limit of the server.
        limit: LimitReport,
        /// Rank of the request among others.
        rank: PermitRank,
    },
    /// The response of the coordinator.
    Response {
        /// `server_key` of the server.
        server: u32,
        /// Rank in the request.
        rank: PermitRank,
        /// Outcome of the request.
        outcome: PermitOutcome,
    },
}

/// Rank of a request for a permit; lower ranks are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PermitRank {
    /// The most urgent routes, and streams whose clients have received a part.
    Urgent,
    /// Routes of the next priority.
    Normal,
    /// All other routes.
    Low,
}

/// Outcome of a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// The server may be called once.
    Granted,
    /// The limit leaves no room.
    Denied {
        /// Time in milliseconds until a permit is expected for this request, after those that were
        /// denied before it.
        next_ms: u32,
        /// Time in milliseconds between two permits that the asking instance can expect.
        spacing_ms: u32,
        /// Time in milliseconds after which the instance may ask again.
        ask_after_ms: u32,
    },
    /// Another instance coordinates the limit.
    NotCoordinator,
}

impl PermitRank {
    /// All ranks, the most urgent one first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Low];

    /// Returns the rank of requests on a route, whose most urgent priority is 0.
    pub const fn of_priority(priority: u8) -> Self {
        match priority {
            0 => Self::Urgent,
            1 => Self::Normal,
            _ => Self::Low,
        }
    }
}

impl PermitMessage {
    /// Creates a message.
    pub const fn new(number: u32, body: PermitBody) -> Self {
        Self {
            version: PERMIT_VERSION,
            number,
            body,
        }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a message; returns `None` if the bytes are malformed or have another version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let message: Self = postcard::from_bytes(bytes).ok()?;
        (message.version == PERMIT_VERSION).then_some(message)
    }
}
