//! Content-addressed parts of a configuration.

use displaydoc::Display;
use indexmap::IndexMap;
use smol_str::SmolStr;

/// First 16 bytes of the blake3 hash of a part, in lower-case hexadecimal.
pub type PartHash = SmolStr;

/// Values of parts by their hashes.
pub type Parts = IndexMap<PartHash, Vec<u8>>;

/// Key prefix of parts; the hash follows.
pub const PART_KEY_PREFIX: &str = "part/";
/// Number of bytes of the hash that identify a part.
const PART_HASH_BYTES: usize = 16;

/// Error of a part that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PartError {
    /// part {0} is absent
    Absent(PartHash),
    /// content of part {hash} has the hash {actual}
    Mismatch {
        /// Hash by which the part was requested.
        hash: PartHash,
        /// Hash of its content.
        actual: PartHash,
    },
    /// part {hash} cannot be decoded: {reason}
    Malformed {
        /// Hash of the part.
        hash: PartHash,
        /// Error message of the decoder.
        reason: String,
    },
}

impl std::error::Error for PartError {}

/// Returns the hash that identifies a part with this value.
pub fn part_hash(value: &[u8]) -> PartHash {
    let hex = blake3::hash(value).to_hex();
    SmolStr::new(&hex[..2 * PART_HASH_BYTES])
}

/// Returns the key of the object that contains a part.
pub fn part_key(hash: &str) -> String {
    format!("{PART_KEY_PREFIX}{hash}")
}

/// Checks that `value` is the content of the part with this hash.
pub fn check_part(hash: &PartHash, value: &[u8]) -> Result<(), PartError> {
    let actual = part_hash(value);
    if actual == *hash {
        return Ok(());
    }
    Err(PartError::Mismatch {
        hash: hash.clone(),
        actual,
    })
}
