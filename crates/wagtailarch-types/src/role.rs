//! Roles, phases and states of backend servers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{AdapterName, ModelName, VersionName};

/// Which phases of generation an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompt processing only; the KV cache is handed to a decode engine.
    Prefill,
    /// Token generation only.
    Decode,
    /// Both phases.
    Mixed,
}

impl Role {
    /// All roles, in the order of their declaration.
    pub const ALL: [Self; 3] = [Self::Prefill, Self::Decode, Self::Mixed];

    /// Returns the stable textual form.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Mixed => "mixed",
        }
    }

    /// Tells whether an engine with this role serves `phase`.
    pub const fn serves(self, phase: Phase) -> bool {
        match (self, phase) {
            (Self::Mixed, _) | (Self::Prefill, Phase::Prefill) | (Self::Decode, Phase::Decode) => {
                true
            }
            // A decode engine can process a prompt in small pieces, for instance when the import
            // of a KV cache has failed; a prefill engine never generates.
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

/// Part of a generation that one engine runs for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Prompt processing and token generation on one engine.
    Full,
    /// Prompt processing that ends with a KV handle.
    Prefill,
    /// Token generation from an imported KV cache.
    Decode,
}

/// What an engine serves: the content of an `assign` order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// Phases served.
    pub role: Role,
    /// Model loaded.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Adapters loaded; sorted and without duplicates.
    pub adapters: Vec<AdapterName>,
}

/// Urgency of a request among those of all teams.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served when nothing else waits.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Served first.
    High,
}

impl Priority {
    /// Parses the stable textual form.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "low" => Some(Self::Low),
            "normal" => Some(Self::Normal),
            "high" => Some(Self::High),
            _ => None,
        }
    }

    /// Returns the stable textual form.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        }
    }
}

/// Kind of a process in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// What an engine says of itself in its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Accepts new work.
    Serving,
    /// Finishes running work and refuses new work.
    Draining,
    /// Loads a model or changes its role; serves nothing.
    Changing,
}
