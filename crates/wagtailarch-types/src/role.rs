//! Roles, phases and states of backend servers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{AdapterName, ModelName, VersionName};

/// Role of an engine: the phases of a generation that it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill only; a decode engine imports the KV cache.
    Prefill,
    /// Decode only.
    Decode,
    /// Both phases.
    Mixed,
}

impl Role {
    /// All roles, in the order of their declaration.
    pub const ALL: [Self; 3] = [Self::Prefill, Self::Decode, Self::Mixed];

    /// Returns the text form, which is stable.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Mixed => "mixed",
        }
    }

    /// Returns whether an engine with this role serves `phase`.
    pub const fn serves(self, phase: Phase) -> bool {
        match (self, phase) {
            (Self::Mixed, _) | (Self::Prefill, Phase::Prefill) | (Self::Decode, Phase::Decode) => {
                true
            }
            // A decode engine can also prefill a prompt in small chunks, for example after the
            // import of a KV cache failed. A prefill engine never decodes.
            (Self::Decode, Phase::Full) => true,
            (Self::Prefill, Phase::Decode | Phase::Full) | (Self::Decode, Phase::Prefill) => false,
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Part of a generation that one engine runs in one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Prefill and decode on the same engine.
    Full,
    /// Prefill, which returns a handle of the KV cache.
    Prefill,
    /// Decode from an imported KV cache.
    Decode,
}

/// Role, model and adapters that an `assign` order gives to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// Phases that the engine serves.
    pub role: Role,
    /// Model that the engine loads.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Adapters that the engine loads, sorted and without duplicates.
    pub adapters: Vec<AdapterName>,
}

/// Priority of a request among the requests of all teams.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served only when no request of higher priority waits.
    Low,
    /// Default priority.
    #[default]
    Normal,
    /// Served before all others.
    High,
}

impl Priority {
    /// Parses the text form.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "low" => Some(Self::Low),
            "normal" => Some(Self::Normal),
            "high" => Some(Self::High),
            _ => None,
        }
    }

    /// Returns the text form, which is stable.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        }
    }
}

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// Engine that serves a model.
    Engine,
    /// Plain service.
    Service,
}

/// State of a backend server, from its load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Accepts new requests.
    Serving,
    /// Finishes running requests and refuses new ones.
    Draining,
    /// Loads a model or changes its role, and serves no requests.
    Changing,
}
