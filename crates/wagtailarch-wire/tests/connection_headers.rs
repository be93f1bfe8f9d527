//! Headers that are not passed on.

use http::{HeaderMap, HeaderName, HeaderValue};
use wagtailarch_wire::connection_headers::remove_connection_headers;

/// Guards against headers of one connection that reach the next one, and against a client that removes
/// the identity of its request by naming it in `Connection`.
#[test]
fn headers_of_the_connection_are_removed_and_kept_ones_stay() {
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
    let mut left: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
    left.sort_unstable();
    assert_eq!(left, ["accept", "request-id"]);
}
