//! The engine protocol: JSON bodies and newline-delimited JSON frames over HTTP.

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
/// Path of the cache events.
pub const CACHE_EVENTS_PATH: &str = "/engine/v1/cache-events";
/// Path of orders.
pub const ORDERS_PATH: &str = "/engine/v1/orders";
/// Path prefix of exported KV caches; the handle follows.
pub const KV_PATH_PREFIX: &str = "/engine/v1/kv/";
/// Header by which a backend server says whether a refused request ran: `no`, `yes`, `unknown`.
pub const RAN_HEADER: &str = "x-ran";

/// Body of a generate call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Request id, 32 hexadecimal digits.
    pub request: SmolStr,
    /// Attempt number, from 1.
    pub attempt: AttemptNo,
    /// Group that the sender believes the engine to be in.
    pub group: GroupName,
    /// Model that must be loaded.
    pub model: ModelName,
    /// Version that must be loaded.
    pub version: VersionName,
    /// Adapter that must be loaded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Prompt text.
    pub prompt: String,
    /// Text of the tokens already delivered to the client; the engine continues after it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub emitted: String,
    /// Index of the first token to generate; the number of tokens in `emitted`.
    #[serde(default)]
    pub from_index: u32,
    /// Greatest number of tokens of the whole answer, those in `emitted` included.
    pub max_tokens: u32,
    /// Urgency.
    pub priority: Priority,
    /// Part of the generation to run.
    pub phase: Phase,
    /// KV cache to import before decoding.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv: Option<KvSource>,
    /// Time in milliseconds that is left to answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// Where a KV cache can be imported from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvSource {
    /// Address (`ip:port`) of the exporting engine.
    pub engine_address: SmolStr,
    /// Handle that the exporting engine gave.
    pub handle: SmolStr,
}

/// One line of a generate answer.
///
/// A token frame has `index` and `text`; the last one has `finish`. A prefill answer is one frame
/// with `kv_handle`. A stream that ends without `finish` or `kv_handle` is broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Request id, 32 hexadecimal digits.
    pub request: SmolStr,
    /// Attempt number.
    pub attempt: AttemptNo,
    /// Index of the token in the whole answer, from 0.
    #[serde(default)]
    pub index: u32,
    /// Text of the token.
    #[serde(default)]
    pub text: String,
    /// Why the answer ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<FinishReason>,
    /// Token counts, on the last frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Handle of the KV cache, on the frame that ends a prefill.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_handle: Option<SmolStr>,
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The greatest number of tokens was reached.
    Length,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer, those of earlier attempts included.
    pub completion_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// Body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Why the engine refused.
    pub code: EngineRefusalCode,
}

/// Why an engine refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusalCode {
    /// The engine finishes running work only.
    Draining,
    /// The engine serves another model, version, adapter or role.
    WrongAssignment,
    /// The engine's queue is full.
    Full,
    /// The KV cache could not be imported.
    KvImportFailed,
    /// The fencing number of an order is older than one already seen.
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
    /// Start of the engine's process.
    pub boot_id: BootId,
    /// Sequence number; it rises within one boot.
    pub seq: u64,
    /// Role at present.
    pub role: Role,
    /// Model loaded.
    pub model: ModelName,
    /// Version loaded.
    pub version: VersionName,
    /// Adapters loaded.
    pub adapters: Vec<AdapterName>,
    /// State.
    pub state: BackendState,
    /// Requests running or queued.
    pub running: u32,
    /// Prompt tokens that wait for processing.
    pub queued_tokens: u64,
    /// Requests that the engine can decode at once.
    pub decode_slots: u32,
    /// Share of the KV cache in use, from 0 to 1.
    pub kv_used_ratio: f64,
    /// Prompt tokens processed per second, lately.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated per second, lately.
    pub decode_tokens_per_s: f64,
    /// Highest fencing number seen.
    pub fencing_number: FencingNumber,
    /// Nonce of the last order that took effect.
    #[serde(default)]
    pub last_order_nonce: Option<Nonce>,
    /// Highest configuration generation seen in an order.
    pub generation: Generation,
    /// Orders that contradicted one in progress; always 0 unless a guarantee was broken.
    pub order_conflicts: u64,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies the order.
    pub nonce: Nonce,
    /// Number of the sender's lease.
    pub fencing_number: FencingNumber,
    /// Generation of the configuration that the order follows from.
    pub generation: Generation,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// What an order tells the engine to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderKind {
    /// Refuse new work and finish running work.
    Drain,
    /// Accept new work again.
    Undrain,
    /// Load and serve an assignment; cuts what runs, so it follows a drain.
    Assign(wagtailarch_types::Assignment),
}

/// A change in an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; it rises within one boot.
    pub seq: u64,
    /// Stored or evicted.
    pub kind: CacheEventKind,
    /// Hash of the prompt prefix.
    pub prefix_hash: u64,
}

/// Kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix is now in the cache.
    Stored,
    /// The prefix has left the cache.
    Evicted,
}

/// Answer to a call for cache events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events after the requested sequence number.
    pub events: Vec<CacheEvent>,
    /// Whether events between the requested number and the first one are missing.
    pub gap: bool,
}
