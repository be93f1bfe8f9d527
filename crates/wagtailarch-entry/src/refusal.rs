//! Error responses to clients.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::json;
use wagtailarch_types::{Ran, RefusalReason, RequestId};

use crate::body::{ClientBody, full};

/// Final response to a request that is not served, or whose response cannot be completed.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Reason for the refusal, which determines the status code.
    pub reason: RefusalReason,
    /// Explanation for the developers of the client.
    pub message: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Time after which the client may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal. The request counts as not run unless [`ran`](Self::ran) states otherwise.
    pub fn new(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Sets whether the request may have run.
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the time after which the client may retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Adds up to one second, derived from the request id, to the retry time.
    ///
    /// Clients that were refused at the same time would otherwise retry at the same time.
    pub fn with_jitter(mut self, request: RequestId) -> Self {
        if let Some(after) = self.retry_after {
            self.retry_after = Some(after + Duration::from_millis((request % 1_000) as u64));
        }
        self
    }

    /// Returns the JSON body of the response.
    pub fn to_json(&self) -> serde_json::Value {
        let error_type = match self.reason.status() {
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        let mut error = json!({
            "code": self.reason.as_str(),
            "message": self.message,
            "type": error_type,
            "ran": self.ran.as_str(),
        });
        if let Some(after) = self.retry_after {
            error["retry_after_s"] = json!((after.as_secs_f64() * 1_000.0).round() / 1_000.0);
        }
        json!({ "error": error })
    }

    /// Builds the response.
    pub fn to_response(&self) -> Response<ClientBody> {
        let body = Bytes::from(self.to_json().to_string());
        let mut response = Response::new(full(body));
        *response.status_mut() =
            StatusCode::from_u16(self.reason.status()).expect("reasons have valid status codes");
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert("x-ran", HeaderValue::from_static(self.ran.as_str()));
        if let Some(after) = self.retry_after {
            headers.insert(
                header::RETRY_AFTER,
                HeaderValue::from(after.as_secs_f64().ceil() as u64),
            );
        }
        response
    }
}
