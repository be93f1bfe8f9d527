//! The answer of an instance to the question where a request would go now.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{Generation, InstanceId, ServiceName, TeamName, Urgency, ZoneName};

/// Path of the question at the address of the metrics; the body is the request as a client sends it.
pub const EXPLAIN_PATH: &str = "/explain";
/// Maximum size of that body in bytes.
pub const MAX_EXPLAINED_BYTES: usize = 256 * 1024;

/// Where an instance would send a request now, and why. Nothing is sent, and no state changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Instance that answers.
    pub instance: InstanceId,
    /// Generation of the configuration in force; `None` if the instance has none.
    pub generation: Option<Generation>,
    /// Name of the route that the request matches.
    pub route: Option<SmolStr>,
    /// Team to which the key of the request belongs.
    pub team: Option<TeamName>,
    /// Service that the route selects.
    pub service: Option<ServiceName>,
    /// What the instance would do.
    pub decision: Decision,
    /// The servers or engines that were compared, the best first.
    pub weighed: Vec<WeighedChoice>,
}

/// What an instance would do with a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Decision {
    /// The request is sent to a server.
    Send {
        /// The server; for a generation, the engine that generates the output.
        server: InstanceId,
        /// Engine that reads the prompt, if it is another one.
        prefill_engine: Option<InstanceId>,
        /// Whether the first event of a generation is expected in time.
        urgency: Option<Urgency>,
    },
    /// The request goes through another instance, since this one has lost its path to the servers.
    ThroughInstance,
    /// The request is refused.
    Refuse {
        /// Name of the reason, as in logs and metrics.
        reason: SmolStr,
        /// Time after which the client may retry, in milliseconds, if it is known.
        retry_after_ms: Option<u64>,
    },
}

/// A server, or a pair of engines, that was compared for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeighedChoice {
    /// The server; for a generation, the engine that generates the output.
    pub server: InstanceId,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Requests of this instance that the server has not answered completely.
    pub in_flight: u32,
    /// Share of the requests that the server is expected to fail, from 0 to 1.
    pub failure_rate: f64,
    /// Why the server cannot be selected; `None` if it can.
    pub excluded_by: Option<Exclusion>,
    /// The figures that decide.
    pub figures: Figures,
}

/// Why a server cannot be selected at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// It could not be reached or was full a moment ago.
    Backoff,
    /// This instance uses its share of the server's connections.
    ConnectionLimit,
    /// The server's rate limit leaves no room.
    RateLimit,
}

/// The figures by which servers are compared.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Figures {
    /// Figures of a plain server.
    Plain {
        /// Load that the server reported last, in requests per slot.
        reported_load: f64,
        /// Cost of the server in requests per slot; the lowest one is selected.
        cost: f64,
    },
    /// Figures of the engines of a generation.
    Engines {
        /// Engine that reads the prompt, if it is another one.
        prefill_engine: Option<InstanceId>,
        /// Predicted wait of the prompt, in milliseconds.
        prefill_wait_ms: f64,
        /// Predicted time to read the prompt, in milliseconds.
        prefill_ms: f64,
        /// Tokens of the prompt that the engine has not cached.
        new_tokens: u32,
        /// Predicted time to the first event, in milliseconds.
        first_event_ms: f64,
        /// Requests that the generating engine runs.
        running: u32,
        /// Whether reading the prompt delays running streams beyond their objective.
        stalls_streams: bool,
        /// Cost in milliseconds; the lowest one that is in time is selected.
        cost_ms: f64,
    },
}
