//! Identifiers and the hashes that derive them.

use smol_str::SmolStr;

/// Name of an entry instance or a backend server, as the platform lists it.
pub type InstanceId = SmolStr;

/// Name of an availability zone.
pub type ZoneName = SmolStr;

/// Name of a service that clients can call.
pub type ServiceName = SmolStr;

/// Name of a group of backend servers with one purpose.
pub type GroupName = SmolStr;

/// Name of a model.
pub type ModelName = SmolStr;

/// Name of a model version.
pub type VersionName = SmolStr;

/// Name of an adapter of a model.
pub type AdapterName = SmolStr;

/// Name of a team, the unit of limits and fair shares.
pub type TeamName = SmolStr;

/// Number of an applied configuration; it only rises.
pub type Generation = u64;

/// Number of a lease holder; it rises with each new holder.
pub type FencingNumber = u64;

/// Version of a platform object; it rises over the whole store.
pub type ObjectVersion = u64;

/// Random number that tells one start of a process from the next.
pub type BootId = u64;

/// Random number that identifies one write or order.
pub type Nonce = u64;

/// Identifier of a client request, unique over all instances.
pub type RequestId = u128;

/// Number of an attempt within a request, from 1.
pub type AttemptNo = u32;

/// Hash that identifies requests with the same team, service and body.
pub type Fingerprint = u128;

/// Hash of a bearer key.
pub type HashedKey = [u8; 32];

/// Formats a request id as 32 hexadecimal digits.
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Parses a request id of 32 hexadecimal digits.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != 32 {
        return None;
    }
    RequestId::from_str_radix(text, 16).ok()
}

/// Hashes a bearer key for storage and look-up.
pub fn hash_key(key: &str) -> HashedKey {
    *blake3::hash(key.as_bytes()).as_bytes()
}

/// Computes the fingerprint of a request.
///
/// Every field is preceded by its length, so that no two field lists collide by concatenation.
pub fn fingerprint(fields: &[&[u8]]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint::from_le_bytes(bytes)
}

/// Computes the weight of `member` for `key` in rendezvous hashing; the highest weight wins.
pub fn rendezvous_weight(key: u64, member: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(member.as_bytes(), key)
}
