//! Guards against identifiers that collide or do not survive formatting.

use rstest::rstest;
use wagtailarch_types::{RefusalReason, fingerprint, format_request_id, parse_request_id};

#[rstest]
#[case(0)]
#[case(1)]
#[case(u128::MAX)]
fn request_id_survives_formatting(#[case] id: u128) {
    assert_eq!(parse_request_id(&format_request_id(id)), Some(id));
}

#[rstest]
#[case("")]
#[case("0")]
#[case("g0000000000000000000000000000000")]
fn malformed_request_ids_are_rejected(#[case] text: &str) {
    assert_eq!(parse_request_id(text), None);
}

/// Moving bytes from one field to the next must change the fingerprint.
#[test]
fn fingerprint_separates_fields() {
    assert_ne!(fingerprint(&[b"ab", b"c"]), fingerprint(&[b"a", b"bc"]));
}

/// A success status on a refusal would be taken for an answer by clients.
#[test]
fn refusals_have_error_statuses() {
    for reason in RefusalReason::ALL {
        assert!((400..600).contains(&reason.status()), "{reason}");
    }
}
