//! Records that the system stores as JSON objects in the platform.

use displaydoc::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use wagtailarch_types::{BootId, FencingNumber, Generation, InstanceId, Nonce, ZoneName};

use crate::engine::{Order, OrderKind};

/// Key prefix of leases; the name of the zone follows.
pub const LEASE_PREFIX: &str = "lease/";
/// Key prefix of order records; the name of the engine follows.
pub const ORDER_PREFIX: &str = "order/";
/// Key prefix of zone status records; the name of the zone follows.
pub const STATUS_PREFIX: &str = "status/";

/// Returns the key of the lease of `zone`.
pub fn lease_key(zone: &str) -> String {
    format!("{LEASE_PREFIX}{zone}")
}

/// Returns the key of the order record of `engine`.
pub fn order_key(engine: &str) -> String {
    format!("{ORDER_PREFIX}{engine}")
}

/// Returns the key of the status record of `zone`.
pub fn status_key(zone: &str) -> String {
    format!("{STATUS_PREFIX}{zone}")
}

/// The lease of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Instance that holds the lease.
    pub holder: InstanceId,
    /// Identifies the start of the holder's process; a restarted process does not hold the lease
    /// that it held before.
    pub boot_id: BootId,
    /// Fencing number, incremented for each new holder.
    pub number: FencingNumber,
    /// Time in milliseconds for which the lease is valid after each renewal.
    pub term_ms: u64,
    /// Counter that the holder increments with each renewal.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
}

/// The last order that was recorded for one engine, and whether it can still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Identifies the order.
    pub nonce: Nonce,
    /// Fencing number of the sender's lease.
    pub number: FencingNumber,
    /// Generation of the configuration from which the order was planned.
    pub generation: Generation,
    /// Action that the order requests.
    pub desired: OrderKind,
    /// Instance that sends the order.
    pub sender: InstanceId,
    /// Identifies the start of the sender's process.
    pub sender_boot_id: BootId,
    /// Whether the order can still take effect.
    pub state: OrderState,
}

impl OrderRecord {
    /// Returns the order in the form that is sent to the engine.
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
    /// The order may be unsent, in transit or in progress.
    Recorded,
    /// The engine reported the order as the last one that took effect.
    Effective,
    /// The order has not taken effect and can no longer do so.
    Void,
}

/// Status of one zone, written by the holder of the zone's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatusRecord {
    /// Zone.
    pub zone: ZoneName,
    /// Lowest generation in force at an instance of the zone; 0 if an instance has none.
    pub generation: Generation,
    /// Number of instances of the zone in the platform's list.
    pub instances: u32,
    /// Instances that count as behind the newest generation, at most 64.
    pub behind: Vec<InstanceBehind>,
    /// Time at which the record was written, in milliseconds since the Unix epoch.
    pub written_at_ms: u64,
    /// Fencing number of the writer's lease.
    pub lease_number: FencingNumber,
}

/// An instance that counts as behind the newest generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceBehind {
    /// Instance.
    pub instance: InstanceId,
    /// Last generation that the instance acknowledged; `None` if it acknowledged none.
    pub generation: Option<Generation>,
    /// Reason why the instance counts as behind.
    pub reason: BehindReason,
}

/// Reason why an instance counts as behind the newest generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BehindReason {
    /// The last acknowledged generation is older.
    OlderGeneration,
    /// The writer has received no acknowledgement from the instance.
    #[serde(rename = "never_heard")]
    NeverAcknowledged,
    /// The last acknowledgement is older than the `ACK_TIMEOUT` of `wagtailarch-control`.
    #[serde(rename = "silent")]
    Unresponsive,
}

/// Error of decoding a record.
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
