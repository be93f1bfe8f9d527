//! Tests of identifiers: formatting, parsing and fingerprints.

use rstest::rstest;
use wagtailarch_types::{RefusalReason, fingerprint, format_request_id, parse_request_id};

#[rstest]
#[case(0)]
#[case(1)]
#[case(u128::MAX)]
fn a_formatted_request_id_is_parsed_back(#[case] id: u128) {
    assert_eq!(parse_request_id(&format_request_id(id)), Some(id));
}

#[rstest]
#[case("")]
#[case("0")]
#[case("g0000000000000000000000000000000")]
fn malformed_request_ids_are_rejected(#[case] text: &str) {
    assert_eq!(parse_request_id(text), None);
}

/// Guards against equal fingerprints of requests whose fields have the same concatenation.
#[test]
fn the_fingerprint_depends_on_field_boundaries() {
    assert_ne!(fingerprint(&[b"ab", b"c"]), fingerprint(&[b"a", b"bc"]));
}

/// Guards against refusals with a success status, which clients would take for a response.
#[test]
fn refusals_have_error_statuses() {
    for reason in RefusalReason::ALL {
        assert!((400..600).contains(&reason.status()), "{reason}");
    }
}
