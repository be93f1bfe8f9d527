//! Messages between instances, sent as frames of at most 64 KB.
//!
//! A frame is one [`PeerMessage`] encoded with postcard. On a stream it is preceded by its length
//! as a 32-bit little-endian number.
//!
//! The state of each instance is gossiped within its zone: in each round, an instance sends a
//! digest of the items that it has to one peer, which replies with those that the instance is
//! missing. Urgent messages are flooded in addition: they are sent to all peers of the zone
//! immediately.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{
    Assignment, BackendState, BootId, Fingerprint, Generation, InstanceId, Role, TeamName, ZoneName,
};

/// Maximum size of an encoded message in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Maximum number of bytes of a configuration object in one [`ConfigChunk`].
pub const MAX_CHUNK_BYTES: usize = 48 * 1024;

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message of a connection, in each direction.
    Hello(Hello),
    /// Versions of the sender's items; the receiver replies with a [`Delta`].
    Digest(Digest),
    /// Items that the receiver is missing.
    Delta(Delta),
    /// Summary for an instance in another zone.
    Remote(RemoteSummary),
    /// Message that is flooded.
    Urgent(UrgentMessage),
    /// Requests a part of a configuration object.
    FetchConfig(FetchConfig),
    /// Response to [`PeerMessage::FetchConfig`].
    Config(ConfigChunk),
}

/// Identifies the sender at the beginning of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Sender.
    pub instance: InstanceId,
    /// Identifies the start of the sender's process.
    pub boot_id: BootId,
    /// Zone of the sender.
    pub zone: ZoneName,
    /// Generation in force at the sender; 0 for none.
    pub generation: Generation,
}

/// For each origin, the version up to which the sender has its items.
///
/// The origin of an item is the instance that created it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// One entry for each origin.
    pub versions: Vec<OriginVersion>,
}

/// Version up to which an instance has the items of one origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginVersion {
    /// Origin.
    pub instance: InstanceId,
    /// Identifies the start of the origin's process.
    pub boot_id: BootId,
    /// Version up to which no item is missing.
    pub version: u64,
}

/// Items that the receiver is missing, by origin.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// One entry for each origin with new items.
    pub origins: Vec<OriginDelta>,
}

/// Items of one origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OriginDelta {
    /// Origin.
    pub instance: InstanceId,
    /// Identifies the start of the origin's process; a later start has a greater number.
    pub boot_id: BootId,
    /// Version that the first item follows without a gap.
    pub after: u64,
    /// Items in the order of their versions; replaced items are left out.
    pub items: Vec<DeltaItem>,
}

/// An item with its version at the origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeltaItem {
    /// Difference between the version of this item and that of the previous item, or `after` for
    /// the first one; at least 1. Versions grow by about a million a day, and the difference is
    /// encoded in one byte instead of four.
    pub step: u64,
    /// Item.
    pub item: Item,
}

/// One item of the gossiped state of an origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// Has a new version in each round, so that peers detect an unresponsive instance.
    Heartbeat,
    /// State of the origin itself.
    Instance(InstanceInfo),
    /// Name and assignment of the engine that has an index at the origin; precedes its loads.
    EngineName {
        /// Index within the origin.
        index: u16,
        /// Engine.
        engine: InstanceId,
        /// Assignment of the engine.
        assignment: Assignment,
    },
    /// Load of an engine.
    Engine {
        /// Index within the origin.
        index: u16,
        /// Quantized load, role and state.
        load: PackedLoad,
    },
    /// Name of the team that has an index at the origin; precedes its usage.
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
        /// Quantized usage.
        usage: PackedUsage,
    },
    /// Flooded message of the origin, for peers that the flooding did not reach.
    Urgent(UrgentMessage),
}

/// State of an instance, reported by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Generation in force; 0 for none.
    pub generation: Generation,
    /// Address (`ip:port`) for peers.
    pub peer_address: SmolStr,
    /// Whether the instance is shutting down.
    pub draining: bool,
}

/// Summary that an instance sends to an instance in another zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoteSummary {
    /// Sender.
    pub instance: InstanceId,
    /// Highest generation known to the sender.
    pub generation: Generation,
    /// Quarantined fingerprints, each with the remaining time in seconds.
    pub quarantined: Vec<(Fingerprint, u16)>,
}

/// A message that is flooded to all peers of a zone and to one instance of each other zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgentMessage {
    /// Instance that observed the event.
    pub origin: InstanceId,
    /// Identifies the start of the origin's process.
    pub boot_id: BootId,
    /// Sequence number, which increases with each message of the same start.
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
    /// A backend server crashed while it was running these requests.
    Strike {
        /// Backend server that crashed.
        backend: InstanceId,
        /// Fingerprints of the running requests, at most 256.
        fingerprints: Vec<Fingerprint>,
    },
    /// A second backend server crashed while it was running this request.
    Quarantined {
        /// Backend server that crashed.
        backend: InstanceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Time in seconds for which the request stays quarantined.
        ttl_s: u16,
    },
    /// A backend server is drained for a planned change, or accepts requests again.
    Drain {
        /// Backend server.
        backend: InstanceId,
        /// Whether the backend server is drained.
        drained: bool,
    },
    /// A newer configuration is in force at the origin.
    NewGeneration {
        /// Generation.
        generation: Generation,
    },
}

/// Request for a part of a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchConfig {
    /// Key of the object: `manifest` or `part/<hash>`.
    pub key: SmolStr,
    /// Position of the first requested byte.
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
    /// Content from `offset`, at most [`MAX_CHUNK_BYTES`] long.
    pub bytes: Vec<u8>,
}

/// Load of an engine, quantized to five bytes.
///
/// Byte 0 encodes `running`, byte 1 the queued tokens, and bytes 2 and 3 the prefill and decode
/// tokens per second, each on a logarithmic scale of 1 + value with steps of 9%. Byte 4 contains
/// the role in bits 0 and 1, the state in bits 2 and 3 and the KV cache ratio in the upper four
/// bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedLoad(pub [u8; 5]);

/// Load of an engine, as gossiped between instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLoad {
    /// Role.
    pub role: Role,
    /// State.
    pub state: BackendState,
    /// Number of requests, both running and queued.
    pub running: f64,
    /// Number of prompt tokens that wait for their prefill.
    pub queued_tokens: f64,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated per second.
    pub decode_tokens_per_s: f64,
    /// Share of the KV cache in use, from 0 to 1.
    pub kv_used_ratio: f64,
}

impl EngineLoad {
    /// Quantizes the load.
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
            quantize(self.running),
            quantize(self.queued_tokens),
            quantize(self.prefill_tokens_per_s),
            quantize(self.decode_tokens_per_s),
            role | state << 2 | kv << 4,
        ])
    }
}

impl PackedLoad {
    /// Returns the load. Numbers and rates of 8 or more are within 5% of those that were packed;
    /// the KV cache ratio is within 1/30.
    ///
    /// Unknown values of the role and the state are decoded as mixed and changing; an engine that
    /// is changing receives no requests.
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
            running: dequantize(running),
            queued_tokens: dequantize(queued),
            prefill_tokens_per_s: dequantize(prefill),
            decode_tokens_per_s: dequantize(decode),
            kv_used_ratio: f64::from(flags >> 4) / 15.0,
        }
    }
}

/// Usage of a team, quantized to two bytes: requests and tokens per second on a logarithmic scale
/// of 1 + value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedUsage(pub [u8; 2]);

impl PackedUsage {
    /// Quantizes a usage.
    pub fn new(requests_per_s: f64, tokens_per_s: f64) -> Self {
        // Requests are scaled by 16, since the scale is too coarse for values below 1.
        Self([quantize(requests_per_s * 16.0), quantize(tokens_per_s)])
    }

    /// Returns requests and tokens per second.
    pub fn unpack(self) -> (f64, f64) {
        (dequantize(self.0[0]) / 16.0, dequantize(self.0[1]))
    }
}

/// Number of steps of the logarithmic scale for each doubling of the value.
const STEPS_PER_DOUBLING: f64 = 8.0;

fn quantize(value: f64) -> u8 {
    // A float-to-integer cast saturates and maps NaN to 0.
    ((1.0 + value.max(0.0)).log2() * STEPS_PER_DOUBLING).round() as u8
}

fn dequantize(byte: u8) -> f64 {
    (f64::from(byte) / STEPS_PER_DOUBLING).exp2() - 1.0
}

/// Error of encoding or decoding a frame.
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
/// [`FrameError::TooLarge`] if the frame would exceed [`MAX_FRAME_BYTES`], or
/// [`FrameError::Malformed`] if the message cannot be encoded.
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
/// [`FrameError::TooLarge`] if the frame exceeds [`MAX_FRAME_BYTES`], [`FrameError::Malformed`] if
/// it does not contain a message, or [`FrameError::TrailingBytes`] if bytes follow the message.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerMessage, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(bytes.len()));
    }
    let (message, remaining) = postcard::take_from_bytes(bytes).map_err(FrameError::Malformed)?;
    if !remaining.is_empty() {
        return Err(FrameError::TrailingBytes(remaining.len()));
    }
    Ok(message)
}
