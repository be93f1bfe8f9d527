//! Checks of teams.

use std::collections::HashMap;

use smol_str::SmolStr;
use wagtailarch_types::HashedKey;

use crate::check::{index_by_name, report_unresolved};
use crate::draft::{FleetDraft, TeamDraft};
use crate::reader::Field;
use crate::sink::{Sink, Span};

/// Prefix of the digits of a hashed key.
const KEY_HASH_PREFIX: &str = "blake3:";

/// Parses a hashed key: `blake3:` followed by 64 lower-case hexadecimal digits.
pub fn parse_key_hash(text: &str) -> Option<HashedKey> {
    let digits = text.strip_prefix(KEY_HASH_PREFIX)?;
    if digits.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return None;
    }
    blake3::Hash::from_hex(digits)
        .ok()
        .map(|hash| *hash.as_bytes())
}

/// Formats a hashed key in the form of the fleet file.
pub fn format_key_hash(hash: &HashedKey) -> String {
    format!(
        "{KEY_HASH_PREFIX}{}",
        blake3::Hash::from_bytes(*hash).to_hex()
    )
}

/// Checks that the keys of teams are valid and distinct, and that their services are defined.
pub(crate) fn check_teams(sink: &mut Sink<'_>, draft: &FleetDraft) {
    let services = index_by_name(&draft.services, |service| &service.name);
    let mut owners: HashMap<HashedKey, (&TeamDraft, &Span)> = HashMap::new();
    for team in &draft.teams {
        for service in team.services.iter().flatten() {
            if !services.contains_key(service.value.as_str()) {
                report_unresolved(sink, "service", service, &services);
            }
        }
        let further = team.further_key_hashes.iter().flatten();
        for text in team.key_hash.iter().chain(further) {
            let Some(hash) = parse_key_hash(&text.value) else {
                report_malformed_key(sink, text);
                continue;
            };
            let Some((owner, span)) = owners.get(&hash) else {
                owners.insert(hash, (team, &text.span));
                continue;
            };
            let name = owner.name.as_ref().map_or("?", |name| name.value.as_str());
            let message = format!("team {name:?} has the same key_hash");
            let hint = format!(
                "give each team a key of its own; see line {}",
                sink.line(span)
            );
            sink.report(&text.span, message, hint);
        }
    }
}

/// Reports a malformed hashed key.
fn report_malformed_key(sink: &mut Sink<'_>, text: &Field<SmolStr>) {
    let message = match text.value.strip_prefix(KEY_HASH_PREFIX) {
        None => format!("key_hash does not begin with {KEY_HASH_PREFIX}"),
        Some(digits) if digits.len() != 64 => {
            format!(
                "key_hash has {} digits instead of 64",
                digits.chars().count()
            )
        }
        Some(_) => "key_hash has characters that are not lower-case hexadecimal digits".into(),
    };
    sink.report(&text.span, message, "make one with wagtailctl hash-key");
}
