//! The contents of claim log entries.

use serde::{Deserialize, Serialize};
use wagtailarch_types::{InstanceId, Nonce, fingerprint};

/// Number of claim logs over which the keys are distributed.
pub const CLAIM_PARTITIONS: u32 = 64;
/// Maximum size in bytes of a recorded response body.
pub const MAX_OUTCOME_BYTES: usize = 16 * 1024;

/// Identifies a call that may run at most once.
pub type ClaimKey = u128;

/// One entry of a claim log: `claims/<partition>/<seq>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Identifies the write, so that a writer that lost the response recognizes its own entry.
    pub nonce: Nonce,
    /// Claims and outcomes, in order.
    pub records: Vec<ClaimRecord>,
}

/// One record of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// A claim of a key; only the first one of each key is valid.
    Claim {
        /// Claimed key.
        key: ClaimKey,
        /// Identifies this claim.
        nonce: Nonce,
        /// Instance that makes the claim.
        instance: InstanceId,
    },
    /// The outcome of a claimed call.
    Outcome {
        /// Claimed key.
        key: ClaimKey,
        /// Response of the backend server.
        outcome: ClaimOutcome,
    },
}

/// The response of a backend server to a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// HTTP status code.
    pub status: u16,
    /// Response body; at most `MAX_OUTCOME_BYTES`.
    pub body: Vec<u8>,
}

/// Computes the key of a call: the blake3 hash of team, route and idempotency key.
///
/// A call without an idempotency key uses its request id.
pub fn claim_key(team: &str, route: &str, idempotency_key: &[u8]) -> ClaimKey {
    fingerprint(&[team.as_bytes(), route.as_bytes(), idempotency_key])
}

/// Returns the number of the claim log that contains `key`.
pub fn claim_partition(key: ClaimKey) -> u32 {
    (key % u128::from(CLAIM_PARTITIONS)) as u32
}
