//! The engine protocol: JSON bodies and streams of newline-delimited JSON frames over HTTP.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{
    AdapterName, AttemptNo, BackendState, BootId, FencingNumber, Generation, GroupName, InstanceId,
    ModelName, Nonce, Phase, Priority, Role, VersionName,
};

/// Path of the generate call.
pub const GENERATE_PATH: &str = "/engine/v1/generate";
/// Path of the cancel call.
pub const CANCEL_PATH: &str = "/engine/v1/cancel";
/// Path of the load report.
pub const REPORT_PATH: &str = "/engine/v1/report";
/// Path of the call for cache events.
pub const CACHE_EVENTS_PATH: &str = "/engine/v1/cache-events";
/// Path of the order call.
pub const ORDERS_PATH: &str = "/engine/v1/orders";
/// Path prefix of exported KV caches; the handle follows.
pub const KV_PATH_PREFIX: &str = "/engine/v1/kv/";
/// Header in which a backend server reports whether a refused request ran: `no`, `yes` or
/// `unknown`.
pub const RAN_HEADER: &str = "x-ran";

/// Body of a generate call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Request id, 32 hexadecimal digits.
    pub request: SmolStr,
    /// Attempt number, from 1.
    pub attempt: AttemptNo,
    /// Group of the engine in the view of the sender.
    pub group: GroupName,
    /// Model that the engine must have loaded.
    pub model: ModelName,
    /// Model version that the engine must have loaded.
    pub version: VersionName,
    /// Adapter that the engine must have loaded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Prompt text.
    pub prompt: String,
    /// Text of the tokens already delivered to the client, after which the engine continues.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub emitted: String,
    /// Index of the first token to generate, which is the number of tokens in `emitted`.
    #[serde(default)]
    pub from_index: u32,
    /// Maximum number of tokens of the whole output, including those in `emitted`.
    pub max_tokens: u32,
    /// Priority.
    pub priority: Priority,
    /// Part of the generation to run.
    pub phase: Phase,
    /// KV cache to import before decoding.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv: Option<KvSource>,
    /// Time in milliseconds that is left until the deadline of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// Source from which an engine can import a KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvSource {
    /// Address (`ip:port`) of the exporting engine.
    pub engine_address: SmolStr,
    /// Handle that the exporting engine returned.
    pub handle: SmolStr,
}

/// One line of the response to a generate call.
///
/// A token frame has `index` and `text`; the last one also has `finish`. The response to a prefill
/// is one frame with `kv_handle`. A stream without `finish` or `kv_handle` at its end is
/// incomplete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Request id, 32 hexadecimal digits.
    pub request: SmolStr,
    /// Attempt number.
    pub attempt: AttemptNo,
    /// Index of the token in the whole output, from 0.
    #[serde(default)]
    pub index: u32,
    /// Text of the token.
    #[serde(default)]
    pub text: String,
    /// Reason why the output ended, on the last frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<FinishReason>,
    /// Token counts, on the last frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Handle of the KV cache, on the frame that ends a prefill.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_handle: Option<SmolStr>,
}

/// Reason why the output ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the output.
    Stop,
    /// The maximum number of tokens was reached.
    Length,
}

/// Token counts of a generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens of the output, including those of earlier attempts.
    pub completion_tokens: u32,
    /// Number of prompt tokens that were found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// Body of the response to a refused call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Reason for the refusal.
    pub code: EngineRefusalCode,
}

/// Reason why an engine refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusalCode {
    /// The engine is draining: it finishes running requests and refuses new ones.
    Draining,
    /// The engine serves another model, version, adapter or role.
    WrongAssignment,
    /// The engine's queue is full.
    Full,
    /// The KV cache could not be imported.
    KvImportFailed,
    /// The fencing number of an order is lower than the highest one that the engine has received.
    StaleFencingNumber,
    /// The body could not be parsed.
    BadRequest,
}

/// Body of a cancel call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Request id.
    pub request: SmolStr,
    /// Attempt number.
    pub attempt: AttemptNo,
}

/// Load report of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Name of the engine.
    pub engine: InstanceId,
    /// Identifies the start of the engine's process.
    pub boot_id: BootId,
    /// Sequence number, which increases with each report of the same start.
    pub seq: u64,
    /// Current role.
    pub role: Role,
    /// Model that is loaded.
    pub model: ModelName,
    /// Version of the loaded model.
    pub version: VersionName,
    /// Adapters that are loaded.
    pub adapters: Vec<AdapterName>,
    /// Current state.
    pub state: BackendState,
    /// Number of requests that run or are queued.
    pub running: u32,
    /// Number of prompt tokens that wait for their prefill.
    pub queued_tokens: u64,
    /// Maximum number of requests that the engine decodes at the same time.
    pub decode_slots: u32,
    /// Share of the KV cache in use, from 0 to 1.
    pub kv_used_ratio: f64,
    /// Recent rate of prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Recent rate of tokens generated per second.
    pub decode_tokens_per_s: f64,
    /// Highest fencing number received in an order.
    pub fencing_number: FencingNumber,
    /// Nonce of the last order that took effect.
    #[serde(default)]
    pub last_order_nonce: Option<Nonce>,
    /// Highest configuration generation received in an order.
    pub generation: Generation,
    /// Number of orders that conflicted with an order in progress; above 0 only if the guarantee
    /// of one order at a time was violated.
    pub order_conflicts: u64,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies the order.
    pub nonce: Nonce,
    /// Fencing number of the sender's lease.
    pub fencing_number: FencingNumber,
    /// Generation of the configuration from which the order was planned.
    pub generation: Generation,
    /// Action that the engine takes.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// Action that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderKind {
    /// Refuse new requests and finish running ones.
    Drain,
    /// Accept new requests again.
    Undrain,
    /// Load and serve an assignment. Running requests are aborted, so the engine is drained first.
    Assign(wagtailarch_types::Assignment),
}

/// A change in an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which increases with each event of the same start.
    pub seq: u64,
    /// Kind of the change.
    pub kind: CacheEventKind,
    /// Hash of the prompt prefix.
    pub prefix_hash: u64,
}

/// Kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Evicted,
}

/// Response to a call for cache events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events after the requested sequence number.
    pub events: Vec<CacheEvent>,
    /// Whether events between the requested sequence number and the first event are missing.
    pub gap: bool,
}
