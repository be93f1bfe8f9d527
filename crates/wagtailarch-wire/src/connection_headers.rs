//! Headers that belong to one connection and are never passed on.

use http::{HeaderMap, HeaderName, header};

/// Headers that concern one connection only.
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

/// Removes the headers that belong to one connection, also those that `Connection` names.
///
/// Headers in `kept` stay even if `Connection` names them, since a client could otherwise remove
/// what identifies its request.
pub fn remove_connection_headers(headers: &mut HeaderMap, kept: &[HeaderName]) {
    let values = headers.get_all(header::CONNECTION).iter();
    let names = values.filter_map(|value| value.to_str().ok());
    let names = names.flat_map(|text| text.split(','));
    let named: Vec<HeaderName> = names.filter_map(|name| name.trim().parse().ok()).collect();
    for name in named {
        if !kept.contains(&name) {
            headers.remove(name);
        }
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}
