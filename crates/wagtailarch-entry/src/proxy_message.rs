//! Requests to plain services, and responses that replay a recorded outcome.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, request::Parts};
use http_body_util::Full;
use wagtailarch_traffic::ClaimOutcome;
use wagtailarch_wire::connection_headers::remove_connection_headers;

use crate::{
    body::{ClientBody, full},
    engine_client::{CallError, uri},
    request::RequestContext,
};

/// Builds the request to a backend server from the request of the client.
pub fn backend_request(
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
    remove_unforwarded_headers(request.headers_mut());
    // The body was fully received and is sent with its actual length, however the client framed it.
    request.headers_mut().remove(header::CONTENT_LENGTH);
    let id = HeaderValue::from_str(&context.id_text).expect("request ids are hexadecimal");
    request.headers_mut().insert("x-request-id", id);
    Ok(request)
}

/// Removes the headers that are not forwarded, from requests and responses.
pub fn remove_unforwarded_headers(headers: &mut HeaderMap) {
    remove_connection_headers(headers, &[]);
    // These headers are meant for the instance itself.
    for name in [header::HOST, header::AUTHORIZATION, header::EXPECT] {
        headers.remove(name);
    }
}

/// Builds the response to a repeated call whose outcome was recorded.
///
/// Headers are not recorded, so the content type is derived from the body.
pub fn recorded_response(outcome: ClaimOutcome) -> Response<ClientBody> {
    let is_json = serde_json::from_slice::<serde::de::IgnoredAny>(&outcome.body).is_ok();
    let content_type = if is_json {
        "application/json"
    } else {
        "application/octet-stream"
    };
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let mut response = Response::new(full(outcome.body.into()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
    response
}
