//! Messages between instances: postcard frames of at most 64 KB.
//!
//! A frame is the postcard form of one [`PeerMessage`]. On a stream it follows its length as a
//! 32-bit little-endian number.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{
    Assignment, BackendState, BootId, Fingerprint, Generation, InstanceId, Role, TeamName, ZoneName,
};

/// Greatest size of an encoded message in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Greatest number of bytes of a configuration object in one [`ConfigChunk`].
pub const MAX_CHUNK_BYTES: usize = 48 * 1024;

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message in each direction.
    Hello(Hello),
    /// What the sender knows; the receiver replies with a [`Delta`].
    Digest(Digest),
    /// What the receiver lacks.
    Delta(Delta),
    /// Summary for an instance of another zone.
    Remote(RemoteSummary),
    /// A message that is flooded.
    Urgent(UrgentMessage),
    /// Asks for a part of a configuration object.
    FetchConfig(FetchConfig),
    /// Reply to [`PeerMessage::FetchConfig`].
    Config(ConfigChunk),
}

/// Introduces the sender of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Sender.
    pub instance: InstanceId,
    /// Start of the sender's process.
    pub boot_id: BootId,
    /// Zone of the sender.
    pub zone: ZoneName,
    /// Generation that the sender has in force; 0 for none.
    pub generation: Generation,
}

/// Versions that the sender has of each origin.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// One entry per origin.
    pub versions: Vec<OriginVersion>,
}

/// Version that an instance has of one origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginVersion {
    /// Origin.
    pub instance: InstanceId,
    /// Start of the origin's process.
    pub boot_id: BootId,
    /// All items of the origin up to this version are known.
    pub version: u64,
}

/// Items that the receiver lacks, by origin.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// One entry per origin with new items.
    pub origins: Vec<OriginDelta>,
}

/// Items of one origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OriginDelta {
    /// Origin.
    pub instance: InstanceId,
    /// Start of the origin's process; a process that starts later has a greater one.
    pub boot_id: BootId,
    /// The items follow this version without a gap.
    pub after: u64,
    /// Items in the order of their versions; an item that was replaced since is missing.
    pub items: Vec<DeltaItem>,
}

/// An item with its version at the origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeltaItem {
    /// Version of the item above that of the item before it, or above `after`; at least 1. Versions
    /// rise by a million a day, so that this takes one byte instead of four.
    pub step: u64,
    /// Item.
    pub item: Item,
}

/// One gossiped fact of an origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// Rises each round, so that a silent instance is noticed.
    Heartbeat,
    /// About the origin itself.
    Instance(InstanceInfo),
    /// Name and assignment of the engine with an index of the origin; precedes its loads.
    EngineName {
        /// Index within the origin.
        index: u16,
        /// Engine.
        engine: InstanceId,
        /// What it serves.
        assignment: Assignment,
    },
    /// Load of an engine.
    Engine {
        /// Index within the origin.
        index: u16,
        /// Quantised load, role and state.
        load: PackedLoad,
    },
    /// Name of the team with an index of the origin; precedes its usage.
    TeamName {
        /// Index within the origin.
        index: u16,
        /// Team.
        team: TeamName,
    },
    /// Usage of a team at the origin.
    Team {
        /// Index within the origin.
        index: u16,
        /// Quantised usage.
        usage: PackedUsage,
    },
    /// A flooded message of the origin, for peers that the flood missed.
    Urgent(UrgentMessage),
}

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Generation in force; 0 for none.
    pub generation: Generation,
    /// Address (`ip:port`) for peers.
    pub peer_address: SmolStr,
    /// Whether the instance is shutting down.
    pub draining: bool,
}

/// What an instance tells an instance of another zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoteSummary {
    /// Sender.
    pub instance: InstanceId,
    /// Highest generation known to the sender.
    pub generation: Generation,
    /// Quarantined fingerprints with the time in seconds that is left.
    pub quarantined: Vec<(Fingerprint, u16)>,
}

/// A message that is flooded to all peers of a zone and to one instance of each other zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgentMessage {
    /// Instance that saw the event.
    pub origin: InstanceId,
    /// Start of the origin's process.
    pub boot_id: BootId,
    /// Sequence number; it rises within one boot.
    pub seq: u64,
    /// Zone of the origin.
    pub zone: ZoneName,
    /// Event.
    pub body: UrgentBody,
}

/// Event of an urgent message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UrgentBody {
    /// A backend server is leaving.
    Leaving {
        /// Backend server.
        backend: InstanceId,
    },
    /// A backend server crashed while it ran these requests.
    Strike {
        /// Backend server that crashed.
        backend: InstanceId,
        /// Requests that ran on it, at most 256.
        fingerprints: Vec<Fingerprint>,
    },
    /// A request crashed a second backend server.
    Quarantined {
        /// Backend server that crashed.
        backend: InstanceId,
        /// Request.
        fingerprint: Fingerprint,
        /// Time in seconds for which it stays quarantined.
        ttl_s: u16,
    },
    /// A backend server is drained for a planned change or takes work again.
    Drain {
        /// Backend server.
        backend: InstanceId,
        /// True while drained.
        drained: bool,
    },
    /// A newer configuration is in force at the origin.
    NewGeneration {
        /// Generation.
        generation: Generation,
    },
}

/// Asks for a part of a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchConfig {
    /// Key of the object: `manifest` or `part/<hash>`.
    pub key: SmolStr,
    /// First byte wanted.
    pub offset: u32,
}

/// Part of a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChunk {
    /// Key of the object.
    pub key: SmolStr,
    /// Size of the whole object in bytes; `None` if the sender does not have it.
    pub total_bytes: Option<u32>,
    /// Position of `bytes` in the object.
    pub offset: u32,
    /// At most [`MAX_CHUNK_BYTES`].
    pub bytes: Vec<u8>,
}

/// Load of an engine in five bytes.
///
/// Byte 0 is `running`, 1 queued tokens, 2 and 3 prefill and decode tokens per second, each on a
/// logarithmic scale with steps of 9%; byte 4 holds role, state and the KV ratio in sixteenths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedLoad(pub [u8; 5]);

/// Load of an engine as gossiped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLoad {
    /// Role.
    pub role: Role,
    /// State.
    pub state: BackendState,
    /// Requests running or queued.
    pub running: f64,
    /// Prompt tokens that wait.
    pub queued_tokens: f64,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated per second.
    pub decode_tokens_per_s: f64,
    /// Share of the KV cache in use, from 0 to 1.
    pub kv_used_ratio: f64,
}

impl EngineLoad {
    /// Quantises the load.
    pub fn pack(&self) -> PackedLoad {
        let role = match self.role {
            Role::Prefill => 0,
            Role::Decode => 1,
            Role::Mixed => 2,
        };
        let state = match self.state {
            BackendState::Serving => 0,
            BackendState::Draining => 1,
            BackendState::Changing => 2,
        };
        let kv = (self.kv_used_ratio.clamp(0.0, 1.0) * 15.0).round() as u8;
        PackedLoad([
            quantise(self.running),
            quantise(self.queued_tokens),
            quantise(self.prefill_tokens_per_s),
            quantise(self.decode_tokens_per_s),
            role | state << 2 | kv << 4,
        ])
    }
}

impl PackedLoad {
    /// Restores the load; the values lie within 5% of those packed.
    ///
    /// Unknown bits of role and state read as mixed and changing, which attract no work.
    pub fn unpack(self) -> EngineLoad {
        let [running, queued, prefill, decode, flags] = self.0;
        EngineLoad {
            role: match flags & 3 {
                0 => Role::Prefill,
                1 => Role::Decode,
                _ => Role::Mixed,
            },
            state: match flags >> 2 & 3 {
                0 => BackendState::Serving,
                1 => BackendState::Draining,
                _ => BackendState::Changing,
            },
            running: restore(running),
            queued_tokens: restore(queued),
            prefill_tokens_per_s: restore(prefill),
            decode_tokens_per_s: restore(decode),
            kv_used_ratio: f64::from(flags >> 4) / 15.0,
        }
    }
}

/// Usage of a team in two bytes: requests and tokens per second on a logarithmic scale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedUsage(pub [u8; 2]);

impl PackedUsage {
    /// Quantises a usage.
    pub fn new(requests_per_s: f64, tokens_per_s: f64) -> Self {
        // Requests are scaled by 16, since the linear start of the scale is coarse below 1.
        Self([quantise(requests_per_s * 16.0), quantise(tokens_per_s)])
    }

    /// Returns requests and tokens per second.
    pub fn unpack(self) -> (f64, f64) {
        (restore(self.0[0]) / 16.0, restore(self.0[1]))
    }
}

/// Steps of the logarithmic scale per doubling.
const STEPS_PER_DOUBLING: f64 = 8.0;

fn quantise(value: f64) -> u8 {
    // A float-to-integer cast saturates and maps NaN to 0.
    ((1.0 + value.max(0.0)).log2() * STEPS_PER_DOUBLING).round() as u8
}

fn restore(byte: u8) -> f64 {
    (f64::from(byte) / STEPS_PER_DOUBLING).exp2() - 1.0
}

/// Error of a frame that cannot be written or read.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum FrameError {
    /// frame of {0} bytes exceeds the limit of 65536 bytes
    TooLarge(usize),
    /// malformed frame: {0}
    Malformed(postcard::Error),
    /// {0} bytes follow the message in its frame
    TrailingBytes(usize),
}

impl std::error::Error for FrameError {}

/// Encodes a message as one frame.
///
/// # Errors
///
/// [`FrameError::TooLarge`] if the frame would exceed [`MAX_FRAME_BYTES`].
pub fn encode_frame(message: &PeerMessage) -> Result<Vec<u8>, FrameError> {
    let bytes = postcard::to_stdvec(message).map_err(FrameError::Malformed)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes one frame.
///
/// # Errors
///
/// [`FrameError::TooLarge`], [`FrameError::Malformed`] or [`FrameError::TrailingBytes`].
pub fn decode_frame(bytes: &[u8]) -> Result<PeerMessage, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(bytes.len()));
    }
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(FrameError::Malformed)?;
    if !rest.is_empty() {
        return Err(FrameError::TrailingBytes(rest.len()));
    }
    Ok(message)
}
