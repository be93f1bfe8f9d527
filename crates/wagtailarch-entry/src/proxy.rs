//! Calls of plain services.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header, request::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use wagtailarch_fleet::Service;
use wagtailarch_types::{Ran, RefusalReason};

use crate::{
    body::{BodyError, ClientBody},
    engine_client::uri,
    refusal::Refusal,
    request::RequestContext,
    snapshot::{is_idempotent, may_call},
};

/// Headers that concern one connection only, and those that are the instance's own.
const NOT_FORWARDED: [HeaderName; 11] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::CONTENT_LENGTH,
    header::AUTHORIZATION,
    header::EXPECT,
];

/// Answers a call of a plain service.
pub async fn forward(
    context: RequestContext,
    parts: Parts,
    body: Incoming,
) -> Result<Response<ClientBody>, Refusal> {
    let service = find(&context, parts.uri.path())?;
    let shared = &context.shared;
    if !is_idempotent(service, parts.method.as_str(), parts.uri.path()) {
        let message = "calls that may not be repeated need claims";
        return Err(Refusal::not_run(RefusalReason::ClaimsUnavailable, message)
            .retry_after(Duration::from_secs(1))
            .with_jitter(context.id));
    }
    let held = shared.bodies.read(body).await?;
    let pick = shared
        .router
        .pick(&service.group, None, &[])
        .ok_or_else(|| {
            Refusal::not_run(
                RefusalReason::NoBackend,
                "no backend server can serve the request",
            )
            .retry_after(Duration::from_secs(1))
            .with_jitter(context.id)
        })?;
    let request = outgoing(&context, &parts, &pick.address, held.bytes.clone())?;
    let response = shared.engines.send(request).await.map_err(|error| {
        Refusal::not_run(RefusalReason::AttemptsExhausted, error.to_string()).ran(Ran::Unknown)
    })?;
    let (mut head, body) = response.into_parts();
    strip(&mut head.headers);
    let body = body.map_err(|error| -> BodyError { error.into() });
    let body = body.map_frame(move |frame| {
        // The pick counts as one request in flight until the body was read.
        let _ = &pick;
        frame
    });
    Ok(Response::from_parts(head, BodyExt::boxed_unsync(body)))
}

fn find<'a>(context: &'a RequestContext, path: &str) -> Result<&'a Service, Refusal> {
    let service = context.snapshot.plain_service(path).ok_or_else(|| {
        Refusal::not_run(
            RefusalReason::UnknownRoute,
            format!("no service has the path {path:?}"),
        )
    })?;
    if may_call(context.team(), &service.name) {
        return Ok(service);
    }
    let message = format!("the team may not call {:?}", service.name);
    Err(Refusal::not_run(RefusalReason::ForbiddenService, message))
}

fn outgoing(
    context: &RequestContext,
    parts: &Parts,
    address: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let bad = |_| Refusal::not_run(RefusalReason::BadRequest, "the path is not valid");
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::from(body));
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = uri(address, path).map_err(bad)?;
    *request.headers_mut() = parts.headers.clone();
    strip(request.headers_mut());
    let id = HeaderValue::from_str(&context.id_text).expect("request ids are hexadecimal");
    request.headers_mut().insert("x-request-id", id);
    Ok(request)
}

/// Removes the headers that are not forwarded, and those that `Connection` names.
fn strip(headers: &mut HeaderMap) {
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
