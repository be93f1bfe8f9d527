//! The content of claim log entries.

use serde::{Deserialize, Serialize};
use wagtailarch_types::{InstanceId, Nonce, fingerprint};

/// Number of claim logs over which keys are spread.
pub const CLAIM_PARTITIONS: u32 = 64;
/// Greatest size in bytes of a recorded body.
pub const MAX_OUTCOME_BYTES: usize = 16 * 1024;

/// Identifies a call that may run at most once.
pub type ClaimKey = u128;

/// One entry of a claim log: `claims/<partition>/<seq>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Identifies the write, for reading back after a lost answer.
    pub nonce: Nonce,
    /// Claims and outcomes in order.
    pub records: Vec<ClaimRecord>,
}

/// One record of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// The first claim of a key holds.
    Claim {
        /// Claimed key.
        key: ClaimKey,
        /// Identifies the claim.
        nonce: Nonce,
        /// Instance that claims.
        instance: InstanceId,
    },
    /// The outcome of a claimed call.
    Outcome {
        /// Claimed key.
        key: ClaimKey,
        /// What the backend server answered.
        outcome: ClaimOutcome,
    },
}

/// What a backend server answered to a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// HTTP status code.
    pub status: u16,
    /// Body; at most `MAX_OUTCOME_BYTES`.
    pub body: Vec<u8>,
}

/// Computes the key of a call: blake3 of team, route and idempotency key or else request id.
pub fn claim_key(team: &str, route: &str, idempotency_key: &[u8]) -> ClaimKey {
    fingerprint(&[team.as_bytes(), route.as_bytes(), idempotency_key])
}

/// Returns the claim log that holds `key`.
pub fn claim_partition(key: ClaimKey) -> u32 {
    (key % u128::from(CLAIM_PARTITIONS)) as u32
}
