//! Datagrams in which entry instances report the use of each team to the keepers of the sums.
//!
//! Counts are absolute, so that repeated and late messages change nothing. Datagrams may be lost: what
//! was not accepted is sent again.

use serde::{Deserialize, Serialize};
use wagtailarch_types::{BootId, InstanceId, TeamName};

/// Version of the encoding; messages of other versions are ignored. The range is distinct from those
/// of [`LOAD_NOTE_VERSION`](crate::load_note::LOAD_NOTE_VERSION),
/// [`PERMIT_VERSION`](crate::permit::PERMIT_VERSION) and
/// [`ORIGIN_VERSION`](crate::origin::ORIGIN_VERSION), since all arrive at one socket.
pub const USE_VERSION: u8 = 160;

/// Number of a window of use: time since the start of 1970 divided by the length of a window.
pub type WindowId = u64;

/// A message about the use of teams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseMessage {
    /// `USE_VERSION` of the sender.
    pub version: u8,
    /// Counts or their acceptance.
    pub body: UseBody,
}

/// Content of a [`UseMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UseBody {
    /// Counts of an instance.
    Counts(UseCounts),
    /// A keeper has accepted a message.
    Accepted(UseAccepted),
}

/// Counts of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseCounts {
    /// Instance that counted.
    pub sender: InstanceId,
    /// Identifies the start of the sender.
    pub boot: BootId,
    /// Number of the message, unique within this start of the sender.
    pub number: u32,
    /// Last window that is known as reported; 0 if none is.
    pub reported_through: WindowId,
    /// Last window of which the receiver has all counts with this message; 0 if none.
    pub complete_through: WindowId,
    /// Counts by window.
    pub windows: Vec<WindowCounts>,
}

/// Requests of one instance that began to run in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Window.
    pub window: WindowId,
    /// Number of requests by team; teams without a change are left out.
    pub teams: Vec<(TeamName, u64)>,
}

/// Acceptance of one [`UseCounts`] by a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseAccepted {
    /// The keeper.
    pub keeper: InstanceId,
    /// Identifies the start of the keeper, which has no counts from before.
    pub boot: BootId,
    /// Number of the message.
    pub number: u32,
    /// Last window that the keeper knows as reported; 0 if none.
    pub reported_through: WindowId,
}

impl UseMessage {
    /// Creates a message.
    pub const fn new(body: UseBody) -> Self {
        Self {
            version: USE_VERSION,
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
        bytes.first().filter(|version| **version == USE_VERSION)?;
        postcard::from_bytes(bytes).ok()
    }
}
