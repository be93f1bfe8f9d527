//! Hop-by-hop headers, which belong to one connection and are not forwarded.

use http::{HeaderMap, HeaderName, header};

/// Headers that are always hop-by-hop.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` lists.
///
/// Headers in `protected` stay even if `Connection` lists them; otherwise a client could remove the
/// headers that identify its request.
pub fn remove_connection_headers(headers: &mut HeaderMap, protected: &[HeaderName]) {
    let values = headers.get_all(header::CONNECTION).iter();
    let names = values.filter_map(|value| value.to_str().ok());
    let names = names.flat_map(|text| text.split(','));
    let listed: Vec<HeaderName> = names.filter_map(|name| name.trim().parse().ok()).collect();
    for name in listed {
        if !protected.contains(&name) {
            headers.remove(name);
        }
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}
