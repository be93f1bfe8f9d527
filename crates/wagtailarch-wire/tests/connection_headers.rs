//! Tests of the removal of hop-by-hop headers.

use http::{HeaderMap, HeaderName, HeaderValue};
use wagtailarch_wire::connection_headers::remove_connection_headers;

/// Guards against forwarded hop-by-hop headers, and against a client that removes the id of its
/// request by listing the header in `Connection`.
#[test]
fn hop_by_hop_headers_are_removed_and_protected_ones_stay() {
    let mut headers = HeaderMap::new();
    let given = [
        ("connection", "close, X-Own , request-id"),
        ("x-own", "1"),
        ("request-id", "7"),
        ("keep-alive", "timeout=5"),
        ("proxy-connection", "close"),
        ("transfer-encoding", "chunked"),
        ("accept", "*/*"),
    ];
    for (name, value) in given {
        let name = HeaderName::from_static(name);
        headers.insert(name, HeaderValue::from_static(value));
    }
    remove_connection_headers(&mut headers, &[HeaderName::from_static("request-id")]);
    let mut remaining: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
    remaining.sort_unstable();
    assert_eq!(remaining, ["accept", "request-id"]);
}
