//! Bearer keys of clients and administrators.

use http::{HeaderMap, header::AUTHORIZATION};
use wagtailarch_types::{HashedKey, hash_key};

/// Maximum length of a bearer key in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Returns the hash of the bearer key in the `Authorization` header, if there is a valid one.
pub fn bearer_hash(headers: &HeaderMap) -> Option<HashedKey> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    let valid_length = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    (scheme.eq_ignore_ascii_case("bearer") && valid_length).then(|| hash_key(key))
}

/// Parses a key hash in the form `blake3:` followed by 64 hexadecimal digits.
pub fn parse_key_hash(text: &str) -> Option<HashedKey> {
    let digits = text.strip_prefix("blake3:")?;
    blake3::Hash::from_hex(digits)
        .ok()
        .map(|hash| *hash.as_bytes())
}
