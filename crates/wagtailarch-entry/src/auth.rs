//! Bearer keys.

use http::{HeaderMap, header::AUTHORIZATION};
use wagtailarch_types::{HashedKey, hash_key};

/// Greatest length of a bearer key in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Returns the hash of the bearer key in `headers`.
pub fn bearer_hash(headers: &HeaderMap) -> Option<HashedKey> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    let fits = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    (scheme.eq_ignore_ascii_case("bearer") && fits).then(|| hash_key(key))
}

/// Parses `blake3:` and 64 hexadecimal digits.
pub fn parse_key_hash(text: &str) -> Option<HashedKey> {
    let digits = text.strip_prefix("blake3:")?;
    blake3::Hash::from_hex(digits)
        .ok()
        .map(|hash| *hash.as_bytes())
}
