//! Model requests through entry instances.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use smol_str::SmolStr;

use super::outcome::{Exchange, RequestKind, RequestOutcome};
use super::response::{ResponseReader, parse_refusal};
use super::scenario::Scenario;
use super::schedule::Arrival;

/// HTTP client with a connection pool.
pub(super) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Maximum size of a buffered body. The list of runs of a service is the largest one.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Header with the ID of the request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Creates a client, which uses HTTP/2 with prior knowledge if `http2` is set.
pub(super) fn http_client(http2: bool) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(5)));
    Client::builder(TokioExecutor::new())
        .http2_only(http2)
        .build(connector)
}

/// Sends a model request and checks its response.
pub(super) async fn call_model(
    client: &HttpClient,
    address: &str,
    scenario: &Scenario,
    arrival: &Arrival,
) -> Exchange {
    let start = Instant::now();
    let is_streamed = arrival.kind == RequestKind::Stream;
    let path = if arrival.chat {
        "/v1/chat/completions"
    } else {
        "/v1/completions"
    };
    let mut body = json!({
        "model": scenario.model,
        "max_tokens": arrival.max_tokens,
        "stream": is_streamed,
    });
    if arrival.chat {
        body["messages"] = json!([{"role": "user", "content": arrival.prompt}]);
    } else {
        body["prompt"] = json!(arrival.prompt);
    }
    let request = Request::post(format!("http://{address}{path}"))
        .header(
            AUTHORIZATION,
            format!("Bearer {}", scenario.keys[arrival.key_index]),
        )
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(body.to_string()));
    let response = match send(client, request).await {
        Ok(response) => response,
        Err(outcome) => {
            return Exchange::without_tokens(outcome, SmolStr::default(), start.elapsed());
        }
    };
    let request_id = request_id(&response);
    if response.status() != StatusCode::OK {
        let outcome = read_refusal(response).await;
        return Exchange::without_tokens(outcome, request_id, start.elapsed());
    }
    let mut reader = ResponseReader::new(start);
    if is_streamed {
        read_stream(response, &mut reader, ResponseReader::push_events).await;
    } else {
        match read_body(response).await {
            Ok(bytes) => reader.push_body(&bytes),
            Err(outcome) => reader.fail(outcome),
        }
    }
    reader.into_exchange(arrival, request_id)
}

/// Sends a request and returns its response, or the outcome of a failure before the response.
pub(super) async fn send(
    client: &HttpClient,
    request: http::Result<Request<Full<Bytes>>>,
) -> Result<Response<Incoming>, RequestOutcome> {
    let request = request.map_err(|error| RequestOutcome::Unreachable(error.to_string().into()))?;
    client.request(request).await.map_err(|error| {
        let text = error_text(&error);
        if error.is_connect() {
            RequestOutcome::Unreachable(text)
        } else {
            RequestOutcome::Lost(text)
        }
    })
}

/// Returns the request ID of a response; empty if it has none.
pub(super) fn request_id(response: &Response<Incoming>) -> SmolStr {
    let value = response.headers().get(REQUEST_ID_HEADER);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .into()
}

/// Reads a complete body.
pub(super) async fn read_body(response: Response<Incoming>) -> Result<Bytes, RequestOutcome> {
    match Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(RequestOutcome::Lost(
            format!("response ended early: {error}").into(),
        )),
    }
}

/// Reads the body of an error response and returns the outcome.
pub(super) async fn read_refusal(response: Response<Incoming>) -> RequestOutcome {
    let status = response.status().as_u16();
    match read_body(response).await {
        Ok(bytes) => RequestOutcome::Refused(parse_refusal(status, &bytes)),
        Err(outcome) => outcome,
    }
}

/// Passes the chunks of a streamed body to the reader.
pub(super) async fn read_stream(
    response: Response<Incoming>,
    reader: &mut ResponseReader,
    push: impl Fn(&mut ResponseReader, &[u8]),
) {
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                if let Some(bytes) = frame.data_ref() {
                    push(reader, bytes);
                }
            }
            Err(error) => {
                return reader.fail(RequestOutcome::Lost(
                    format!("stream ended early: {error}").into(),
                ));
            }
        }
    }
}

/// Returns the message of an error with those of its causes.
fn error_text(error: &Error) -> SmolStr {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text.into()
}
