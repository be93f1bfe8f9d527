//! Single HTTP calls of tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::HarnessError;

/// Time for a call.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// Answer to a call.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HarnessError> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let text = String::from_utf8_lossy(&self.body);
            HarnessError::Call(format!("status {}, {error}: {text}", self.status))
        })
    }
}

/// Makes one call on a connection of its own.
pub async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<Reply, HarnessError> {
    let failed = |error: &dyn std::fmt::Display| {
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
        .map_err(|error| failed(&error))?;
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let exchange = async {
        let response = client
            .request(request)
            .await
            .map_err(|error| failed(&error))?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| failed(&error))?
            .to_bytes();
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    };
    let ended = tokio::time::timeout(CALL_LIMIT, exchange).await;
    ended.unwrap_or_else(|_| Err(failed(&"no answer in time")))
}
