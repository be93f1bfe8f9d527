//! Single HTTP calls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::HarnessError;

/// Timeout for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Response to a call.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HarnessError> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let text = String::from_utf8_lossy(&self.body);
            HarnessError::Call(format!("status {}, {error}: {text}", self.status))
        })
    }
}

/// Makes a call on a new connection.
pub async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<HttpResponse, HarnessError> {
    let call_error = |error: &dyn std::fmt::Display| {
        HarnessError::Call(format!("http://{address}{path}: {error}"))
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::from(body))
        .map_err(|error| call_error(&error))?;
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let exchange = async {
        let response = client
            .request(request)
            .await
            .map_err(|error| call_error(&error))?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| call_error(&error))?
            .to_bytes();
        Ok(HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    };
    let result = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
    result.unwrap_or_else(|_| Err(call_error(&"no response within the timeout")))
}
