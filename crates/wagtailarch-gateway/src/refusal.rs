//! Error responses that the instance produces itself.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use slog::info;
use wagtailarch_adapter::{BEGIN_ANEW, encode_refusal};
use wagtailarch_traffic::RetryPolicy;
use wagtailarch_types::{Ran, RefusalReason};

use crate::{request_context::RequestContext, response_body::ResponseBody};

/// Default time after which a client may retry, for conditions that pass soon.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A refusal of a request, which becomes an error response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Time after which the client may retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns the status; 503 promises that the request has not run and never will.
    fn status(&self) -> StatusCode {
        if self.ran == Ran::No {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        match self.reason {
            RefusalReason::DeadlineUnreachable | RefusalReason::Draining => {
                StatusCode::GATEWAY_TIMEOUT
            }
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the refusal after earlier calls that may have run the request, of which it knows nothing.
    pub fn after(self, ran_before: Ran) -> Self {
        Self {
            ran: RetryPolicy::combine(ran_before, self.ran),
            ..self
        }
    }

    /// Builds the response to a request, and logs and counts the refusal.
    pub fn respond(&self, context: &RequestContext) -> Response<ResponseBody> {
        let response = self.response_without_log();
        let gateway = &context.gateway;
        gateway.metrics.outcomes.count_refusal(self.reason);
        gateway
            .metrics
            .observe_latency(context.route.kind, "refused", context.age());
        info!(gateway.log, "refused"; "request" => %context.client.id, "route" => %context.route.name,
            "reason" => %self.reason, "ran" => self.ran.as_str(),
            "status" => response.status().as_u16(), "age_ms" => context.age().as_millis() as u64,
            "retry_after_ms" => self.retry_after.as_millis() as u64,
            "generation" => context.config.generation());
        response
    }

    /// Builds the response without logging or counting.
    pub fn response_without_log(&self) -> Response<ResponseBody> {
        let status = self.status();
        let not_run_status = status == StatusCode::SERVICE_UNAVAILABLE;
        let mut response = encode_refusal(status, not_run_status.then_some(self.retry_after));
        // States the reason to the instance that sent the request.
        response.extensions_mut().insert(*self);
        let text = match self.reason {
            RefusalReason::OriginUnknown | RefusalReason::VersionGone => BEGIN_ANEW,
            _ => "",
        };
        response.map(|()| ResponseBody::full(Bytes::from_static(text.as_bytes())))
    }
}
