//! Records of the system's own kinds in the platform's object API, as JSON.

use displaydoc::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use wagtailarch_types::{BootId, FencingNumber, Generation, InstanceId, Nonce, ZoneName};

use crate::engine::{Order, OrderKind};

/// Key prefix of leases; the zone follows.
pub const LEASE_PREFIX: &str = "lease/";
/// Key prefix of order records; the engine follows.
pub const ORDER_PREFIX: &str = "order/";
/// Key prefix of zone status objects; the zone follows.
pub const STATUS_PREFIX: &str = "status/";

/// Returns the key of the lease of `zone`.
pub fn lease_key(zone: &str) -> String {
    format!("{LEASE_PREFIX}{zone}")
}

/// Returns the key of the order record of `engine`.
pub fn order_key(engine: &str) -> String {
    format!("{ORDER_PREFIX}{engine}")
}

/// Returns the key of the status of `zone`.
pub fn status_key(zone: &str) -> String {
    format!("{STATUS_PREFIX}{zone}")
}

/// The lease of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Instance that holds the lease.
    pub holder: InstanceId,
    /// Start of the holder's process; a restarted process does not hold the lease of its
    /// predecessor.
    pub boot_id: BootId,
    /// Fencing number; it rises by one with each holder.
    pub number: FencingNumber,
    /// Time in milliseconds for which one renewal holds.
    pub term_ms: u64,
    /// Rises by one with each renewal of a holder.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
}

/// The last order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Identifies the order.
    pub nonce: Nonce,
    /// Lease number of the sender.
    pub number: FencingNumber,
    /// Generation of the configuration that the order follows from.
    pub generation: Generation,
    /// What the order tells the engine to do.
    pub desired: OrderKind,
    /// Instance that sends the order.
    pub sender: InstanceId,
    /// Start of the sender's process.
    pub sender_boot_id: BootId,
    /// Whether the order can still take effect.
    pub state: OrderState,
}

impl OrderRecord {
    /// Returns the order as it is sent to the engine.
    pub fn order(&self) -> Order {
        Order {
            nonce: self.nonce,
            fencing_number: self.number,
            generation: self.generation,
            kind: self.desired.clone(),
        }
    }
}

/// Whether a recorded order can still take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The order may be sent, be on its way or be running.
    Recorded,
    /// The engine reported the order as its last one.
    Effective,
    /// The order never took effect and never will.
    Void,
}

/// Status of one zone, written by its lease holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatusRecord {
    /// Zone.
    pub zone: ZoneName,
    /// Lowest generation that every known instance has in force; 0 if one has none.
    pub generation: Generation,
    /// Number of instances that the platform lists in the zone.
    pub instances: u32,
    /// Instances that are behind the newest generation, at most 64.
    pub behind: Vec<InstanceBehind>,
    /// Wall-clock time of writing in milliseconds since the Unix epoch.
    pub written_at_ms: u64,
    /// Lease number of the writer.
    pub lease_number: FencingNumber,
}

/// An instance that is behind or unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceBehind {
    /// Instance.
    pub instance: InstanceId,
    /// Generation that it last acknowledged.
    pub generation: Option<Generation>,
    /// Why it counts as behind.
    pub reason: BehindReason,
}

/// Why an instance counts as behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BehindReason {
    /// It acknowledged an older generation.
    OlderGeneration,
    /// It has never acknowledged a generation to the writer.
    #[serde(rename = "never_heard")]
    NeverAcknowledged,
    /// Its last acknowledgement is older than the limit.
    #[serde(rename = "silent")]
    Unresponsive,
}

/// Error of a record that cannot be read.
#[derive(Debug, Display)]
pub enum RecordError {
    /// malformed record: {0}
    Malformed(serde_json::Error),
}

impl std::error::Error for RecordError {}

/// Encodes a record as JSON.
pub fn encode_record<T: Serialize>(record: &T) -> Vec<u8> {
    // Records have string keys only, so serialization cannot fail.
    serde_json::to_vec(record).expect("records serialize to JSON")
}

/// Decodes a record from JSON.
///
/// # Errors
///
/// [`RecordError::Malformed`] if `bytes` is not the JSON form of `T`.
pub fn decode_record<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    serde_json::from_slice(bytes).map_err(RecordError::Malformed)
}
