//! Identifiers, and the hash functions that derive keys and fingerprints.

use smol_str::SmolStr;

/// Identifier of an entry instance, or of a backend server that the platform lists.
pub type InstanceId = SmolStr;

/// Name of an availability zone.
pub type ZoneName = SmolStr;

/// Name of a service that clients can call.
pub type ServiceName = SmolStr;

/// Name of a group of interchangeable backend servers.
pub type GroupName = SmolStr;

/// Name of a model.
pub type ModelName = SmolStr;

/// Name of a model version.
pub type VersionName = SmolStr;

/// Name of an adapter of a model.
pub type AdapterName = SmolStr;

/// Version of the software of a backend server, not of the weights of a model.
pub type SoftwareVersion = SmolStr;

/// Hash of a service and a software version, which identifies both in messages and tables.
pub type VersionKey = u64;

/// Name of a team; rate limits and fair shares apply per team.
pub type TeamName = SmolStr;

/// Generation number of an applied configuration; it never decreases.
pub type Generation = u64;

/// Fencing token of a lease; it increases with each new holder.
pub type FencingNumber = u64;

/// Version of a platform object; it increases with each write to any object of the store.
pub type ObjectVersion = u64;

/// Number that distinguishes one start of a process from its other starts.
pub type BootId = u64;

/// Random number that identifies one write or order.
pub type Nonce = u64;

/// Identifier of a client request, unique over all instances.
pub type RequestId = u128;

/// Number of an attempt within a request, from 1.
pub type AttemptNo = u32;

/// Hash that identifies requests with the same team, service and body.
pub type Fingerprint = u128;

/// BLAKE3 hash of a bearer key.
pub type HashedKey = [u8; 32];

/// Formats a request id as 32 hexadecimal digits.
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Parses a request id of 32 hexadecimal digits; returns `None` if it is malformed.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != 32 {
        return None;
    }
    RequestId::from_str_radix(text, 16).ok()
}

/// Returns the hash under which a bearer key is stored and looked up.
pub fn hash_key(key: &str) -> HashedKey {
    *blake3::hash(key.as_bytes()).as_bytes()
}

/// Returns the fingerprint of a request with the given fields.
///
/// The length of each field is hashed before the field, so that different fields whose
/// concatenation is equal have different fingerprints.
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

/// Returns the weight of `member` for `key` in rendezvous hashing, which selects the member with
/// the highest weight.
pub fn rendezvous_weight(key: u64, member: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(member.as_bytes(), key)
}
