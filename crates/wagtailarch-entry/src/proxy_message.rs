//! Requests to plain services, and responses that were recorded.

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header, request::Parts,
};
use http_body_util::Full;
use wagtailarch_traffic::ClaimOutcome;

use crate::{
    body::{ClientBody, full},
    engine_client::{CallError, uri},
    request::RequestContext,
};

/// Headers that concern one connection only, and those that are the instance's own.
const NOT_FORWARDED: [HeaderName; 10] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::AUTHORIZATION,
    header::EXPECT,
];

/// Builds the request to a backend server.
pub fn outgoing(
    context: &RequestContext,
    parts: &Parts,
    address: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::from(body));
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = uri(address, path)?;
    *request.headers_mut() = parts.headers.clone();
    strip(request.headers_mut());
    // The body is sent whole, whatever the framing of the client was.
    request.headers_mut().remove(header::CONTENT_LENGTH);
    let id = HeaderValue::from_str(&context.id_text).expect("request ids are hexadecimal");
    request.headers_mut().insert("x-request-id", id);
    Ok(request)
}

/// Removes the headers that are not forwarded, in both directions, and those that `Connection` names.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&NOT_FORWARDED) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Builds the response to a call whose outcome was recorded; headers are not recorded.
pub fn recorded_response(outcome: ClaimOutcome) -> Response<ClientBody> {
    let json = serde_json::from_slice::<serde::de::IgnoredAny>(&outcome.body).is_ok();
    let kind = if json {
        "application/json"
    } else {
        "application/octet-stream"
    };
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let mut response = Response::new(full(outcome.body.into()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
    response
}
