//! Final answers that the instance gives itself.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use slog::info;
use wagtailarch_adapter::encode_refusal;
use wagtailarch_types::{Ran, RefusalReason};

use crate::{answer_body::AnswerBody, job::Job};

/// Time after which a client may return when the instance lacks something that comes soon.
pub const SOON: Duration = Duration::from_millis(500);

/// A final answer without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Cause.
    pub reason: RefusalReason,
    /// Whether the request can have run.
    pub ran: Ran,
    /// Time after which the client may return.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates the refusal of a request that has not run.
    pub const fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry_after,
        }
    }

    /// Returns the status; 503 promises that nothing ran and nothing will.
    fn status(&self) -> StatusCode {
        if self.ran == Ran::No {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        match self.reason {
            RefusalReason::DeadlineUnreachable => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// Builds the answer of a job, and logs and counts it.
    pub fn respond(&self, job: &Job) -> Response<AnswerBody> {
        let response = self.bare();
        let gateway = &job.gateway;
        gateway.metrics.outcomes.refused(self.reason);
        gateway
            .metrics
            .latency(job.route.kind, "refused", job.age());
        info!(gateway.log, "refused"; "request" => %job.client.id, "route" => %job.route.name,
            "reason" => %self.reason, "ran" => self.ran.as_str(),
            "status" => response.status().as_u16(), "age_ms" => job.age().as_millis() as u64,
            "retry_after_ms" => self.retry_after.as_millis() as u64,
            "generation" => job.config.generation());
        response
    }

    /// Builds the answer without logging it.
    pub fn bare(&self) -> Response<AnswerBody> {
        let status = self.status();
        let promise = status == StatusCode::SERVICE_UNAVAILABLE;
        let response = encode_refusal(status, promise.then_some(self.retry_after));
        response.map(|()| AnswerBody::whole(Bytes::new()))
    }
}
