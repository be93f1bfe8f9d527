//! Platform client that uses HTTP/1.1.

use std::collections::HashSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use slog::{Discard, Logger, warn};
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::platform::{
    INSTANCES_PATH, InstanceList, LIST_PATH, ListResponse, ListedInstance, MAX_VALUE_BYTES,
    OBJECTS_PATH_PREFIX, WATCH_PATH, WatchResponse,
};

use crate::{
    ListPage, ListedObject, Platform, PlatformError, PlatformFuture, PlatformResult, Precondition,
    Versioned,
};

/// Maximum size of the response to a list or watch call, well above that of a page of base64
/// values.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Retry delay after a 429 response without a valid `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum retry delay that is accepted from `Retry-After`.
const MAX_RETRY_AFTER_S: f64 = 60.0;
/// Maximum number of characters of an invalid entry that are logged.
const MAX_LOGGED_CHARS: usize = 200;
/// Maximum number of invalid entries that are kept, so that each is logged once.
const MAX_IGNORED: usize = 256;
/// Characters that are escaped in keys; the slash is not, since it separates path segments.
const KEY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~')
    .remove(b'/');

/// Platform client that uses HTTP/1.1 with pooled connections and a timeout for each call.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    config: HttpPlatformConfig,
    /// Invalid entries of the list of instances.
    ignored: Arc<Mutex<HashSet<String>>>,
}

/// Configuration of an [`HttpPlatform`].
#[derive(Debug, Clone)]
pub struct HttpPlatformConfig {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Timeout for establishing a connection; if it expires, the request was not sent.
    pub connect_timeout: Duration,
    /// Timeout for a whole call, in addition to the wait of a watch.
    pub call_timeout: Duration,
    /// Maximum number of idle connections that are kept open.
    pub max_idle_connections: usize,
    /// Logger of entries that cannot be decoded.
    pub log: Logger,
}

impl HttpPlatformConfig {
    /// Creates a configuration with default timeouts for the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
            max_idle_connections: 16,
            log: Logger::root(Discard, slog::o!()),
        }
    }

    /// Creates a configuration with default timeouts for a URL of the form `http://ip:port`;
    /// returns `None` if it is malformed.
    pub fn parse(url: &str) -> Option<Self> {
        let rest = url.strip_prefix("http://")?;
        let address = rest.strip_suffix('/').unwrap_or(rest).parse().ok()?;
        Some(Self::new(address))
    }
}

/// Whether a call reads or writes, which determines the error after a lost response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
}

/// A response with its whole body.
struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl HttpPlatform {
    /// Creates a client, which connects at the first call.
    pub fn new(config: HttpPlatformConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(config.connect_timeout));
        connector.set_nodelay(true);
        // The client must not retry: each call sends a write at most once, and only the caller
        // decides whether it is retried.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(config.max_idle_connections)
            .pool_idle_timeout(Duration::from_secs(30))
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            config,
            ignored: Arc::default(),
        }
    }

    async fn call(
        &self,
        kind: CallKind,
        request: Request<Full<Bytes>>,
        extra_time: Duration,
        limit_bytes: usize,
    ) -> PlatformResult<Response> {
        let exchange = self.send(kind, request, limit_bytes);
        let timeout = self.config.call_timeout + extra_time;
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(lost_response(
                kind,
                format!("no response within {timeout:?}"),
            )),
        }
    }

    async fn send(
        &self,
        kind: CallKind,
        request: Request<Full<Bytes>>,
        limit_bytes: usize,
    ) -> PlatformResult<Response> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                return PlatformError::Unavailable(message_with_causes(&error));
            }
            lost_response(kind, message_with_causes(&error))
        })?;
        let (parts, body) = response.into_parts();
        let body = match Limited::new(body, limit_bytes).collect().await {
            Ok(body) => body.to_bytes(),
            // The status of the response is sufficient to determine the outcome of a write.
            Err(_) if kind == CallKind::Write => Bytes::new(),
            Err(error) if error.is::<LengthLimitError>() => {
                return Err(PlatformError::Protocol(format!(
                    "response larger than {limit_bytes} bytes"
                )));
            }
            Err(error) => return Err(PlatformError::Unavailable(error.to_string())),
        };
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        path_and_query: &str,
        extra_time: Duration,
    ) -> PlatformResult<T> {
        let request = self.request(Method::GET, path_and_query, Bytes::new())?;
        let response = self
            .call(CallKind::Read, request, extra_time, MAX_RESPONSE_BYTES)
            .await?;
        if response.status != StatusCode::OK {
            return Err(status_error(CallKind::Read, &response));
        }
        // Entries of other writers may contain invalid UTF-8.
        serde_json::from_str(&String::from_utf8_lossy(&response.body))
            .map_err(|error| PlatformError::Protocol(error.to_string()))
    }

    fn request(
        &self,
        method: Method,
        path_and_query: &str,
        body: Bytes,
    ) -> PlatformResult<Request<Full<Bytes>>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path_and_query}", self.config.address))
            .body(Full::new(body))
            .map_err(|error| PlatformError::Protocol(error.to_string()))
    }

    /// Decodes an entry of the list of instances; an invalid one is ignored and logged once.
    fn listed_instance(&self, item: &RawValue) -> Option<ListedInstance> {
        let error = match serde_json::from_str(item.get()) {
            Ok(instance) => return Some(instance),
            Err(error) => error,
        };
        let entry: String = item.get().chars().take(MAX_LOGGED_CHARS).collect();
        let mut ignored = self.ignored.lock().unwrap_or_else(PoisonError::into_inner);
        if ignored.len() >= MAX_IGNORED {
            ignored.clear();
        }
        if ignored.insert(entry.clone()) {
            warn!(self.config.log, "instance_ignored"; "entry" => entry, "error" => %error);
        }
        None
    }

    async fn get_object(&self, key: &str) -> PlatformResult<Option<Versioned>> {
        let request = self.request(Method::GET, &object_path(key), Bytes::new())?;
        let response = self
            .call(CallKind::Read, request, Duration::ZERO, MAX_VALUE_BYTES)
            .await?;
        match response.status {
            StatusCode::OK => {
                let version = etag(&response.headers)
                    .ok_or_else(|| PlatformError::Protocol("missing or malformed ETag".into()))?;
                Ok(Some(Versioned {
                    version,
                    value: response.body,
                }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(CallKind::Read, &response)),
        }
    }

    async fn put_object(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> PlatformResult<ObjectVersion> {
        check_size(&value)?;
        let mut request = self.request(Method::PUT, &object_path(key), value)?;
        match precondition {
            Precondition::Absent => insert_header(&mut request, IF_NONE_MATCH, "*".into()),
            Precondition::Version(version) => {
                insert_header(&mut request, IF_MATCH, format!("\"{version}\""));
            }
            Precondition::Any => {}
        }
        let response = self
            .call(CallKind::Write, request, Duration::ZERO, MAX_VALUE_BYTES)
            .await?;
        if response.status != StatusCode::OK {
            return Err(status_error(CallKind::Write, &response));
        }
        // The write took effect, but the caller must read the object back to obtain its version.
        etag(&response.headers)
            .ok_or_else(|| PlatformError::Unknown("missing or malformed ETag".into()))
    }

    async fn delete_object(&self, key: &str, version: Option<ObjectVersion>) -> PlatformResult<()> {
        let mut request = self.request(Method::DELETE, &object_path(key), Bytes::new())?;
        if let Some(version) = version {
            insert_header(&mut request, IF_MATCH, format!("\"{version}\""));
        }
        let response = self
            .call(CallKind::Write, request, Duration::ZERO, MAX_VALUE_BYTES)
            .await?;
        match response.status {
            StatusCode::NO_CONTENT | StatusCode::OK => Ok(()),
            _ => Err(status_error(CallKind::Write, &response)),
        }
    }

    async fn list_objects(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> PlatformResult<ListPage> {
        let mut path = format!("{LIST_PATH}?prefix={}&limit={limit}", escape(prefix));
        if let Some(after) = after {
            // Writing to a String cannot fail.
            let _ = write!(path, "&after={}", escape(after));
        }
        let response: ListResponse = self.read_json(&path, Duration::ZERO).await?;
        let mut items = Vec::with_capacity(response.items.len());
        for item in response.items {
            let value = STANDARD
                .decode(item.value_base64)
                .map_err(|error| PlatformError::Protocol(format!("{}: {error}", item.key)))?;
            items.push(ListedObject {
                key: item.key,
                version: item.version,
                value: value.into(),
            });
        }
        Ok(ListPage {
            revision: response.revision,
            items,
            next: response.next,
        })
    }
}

impl Platform for HttpPlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Versioned>> {
        Box::pin(self.get_object(key))
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        precondition: Precondition,
    ) -> PlatformFuture<'a, ObjectVersion> {
        Box::pin(self.put_object(key, value, precondition))
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        version: Option<ObjectVersion>,
    ) -> PlatformFuture<'a, ()> {
        Box::pin(self.delete_object(key, version))
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> PlatformFuture<'a, ListPage> {
        Box::pin(self.list_objects(prefix, after, limit))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: ObjectVersion,
        wait: Duration,
    ) -> PlatformFuture<'a, WatchResponse> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let prefix = escape(prefix);
            let path = format!("{WATCH_PATH}?prefix={prefix}&since={since}&wait_ms={wait_ms}");
            self.read_json(&path, wait).await
        })
    }

    fn instances(&self) -> PlatformFuture<'_, InstanceList> {
        Box::pin(async move {
            let list: RawInstanceList = self.read_json(INSTANCES_PATH, Duration::ZERO).await?;
            let items = list
                .items
                .iter()
                .filter_map(|item| self.listed_instance(item));
            Ok(InstanceList {
                revision: list.revision,
                items: items.collect(),
            })
        })
    }
}

/// A list whose entries are decoded one by one, since they may come from other writers.
#[derive(Deserialize)]
struct RawInstanceList {
    revision: u64,
    items: Vec<Box<RawValue>>,
}

/// Returns an error if a value exceeds the maximum size, so that it is not sent.
pub(crate) fn check_size(value: &Bytes) -> PlatformResult<()> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(PlatformError::TooLarge {
            size_bytes: value.len(),
            limit_bytes: MAX_VALUE_BYTES,
        });
    }
    Ok(())
}

/// Returns the error of a call whose response was lost.
fn lost_response(kind: CallKind, reason: String) -> PlatformError {
    match kind {
        CallKind::Read => PlatformError::Unavailable(reason),
        CallKind::Write => PlatformError::Unknown(reason),
    }
}

/// Returns the error of a response whose status is not a success.
fn status_error(kind: CallKind, response: &Response) -> PlatformError {
    let status = response.status;
    match status {
        StatusCode::PRECONDITION_FAILED => PlatformError::Conflict,
        StatusCode::NOT_FOUND => PlatformError::NotFound,
        StatusCode::GONE => PlatformError::Expired,
        StatusCode::TOO_MANY_REQUESTS => PlatformError::RateLimited {
            retry_after: retry_after(&response.headers),
        },
        StatusCode::PAYLOAD_TOO_LARGE => PlatformError::TooLarge {
            size_bytes: MAX_VALUE_BYTES,
            limit_bytes: MAX_VALUE_BYTES,
        },
        // The protocol defines that nothing is written if the status is 503.
        StatusCode::SERVICE_UNAVAILABLE => PlatformError::Unavailable(status.to_string()),
        _ if status.is_server_error() => lost_response(kind, status.to_string()),
        _ => PlatformError::Protocol(format!("unexpected status {status}")),
    }
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse::<f64>().ok())
        .filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    seconds.map_or(DEFAULT_RETRY_AFTER, |s| {
        Duration::from_secs_f64(s.min(MAX_RETRY_AFTER_S))
    })
}

fn etag(headers: &HeaderMap) -> Option<ObjectVersion> {
    let text = headers.get(ETAG)?.to_str().ok()?;
    text.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

fn insert_header(request: &mut Request<Full<Bytes>>, name: http::HeaderName, value: String) {
    // The values consist of digits, quotes and asterisks, which are valid in header values.
    if let Ok(value) = http::HeaderValue::try_from(value) {
        request.headers_mut().insert(name, value);
    }
}

fn object_path(key: &str) -> String {
    format!("{OBJECTS_PATH_PREFIX}{}", escape(key))
}

fn escape(text: &str) -> impl std::fmt::Display + '_ {
    utf8_percent_encode(text, KEY_ESCAPES)
}

/// Returns the message of an error, followed by those of its causes.
fn message_with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        let _ = write!(text, ": {inner}");
        cause = inner.source();
    }
    text
}
