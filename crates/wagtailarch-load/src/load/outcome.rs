//! Outcome and times of a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_standin::token::OutputError;

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Model request with a streamed response.
    Stream,
    /// Model request with a response that is not streamed.
    Whole,
    /// Idempotent call of a plain service.
    Get,
    /// Non-idempotent call of a plain service, which must run at most once.
    Post,
    /// Call sent directly to an engine.
    Direct,
}

impl RequestKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 5] = [
        Self::Stream,
        Self::Whole,
        Self::Get,
        Self::Post,
        Self::Direct,
    ];

    /// Returns the text form, which is stable.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stream => "stream",
            Self::Whole => "whole",
            Self::Get => "get",
            Self::Post => "post",
            Self::Direct => "direct",
        }
    }
}

/// The content of a response that refuses a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Code of the refusal; `http_<status>` if the response has none.
    pub code: SmolStr,
    /// Whether the request ran according to the response: `no`, `yes` or `unknown`.
    pub ran: SmolStr,
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response arrived, once and in order.
    Complete,
    /// No response arrived, or only a part of it.
    Lost(SmolStr),
    /// A part of the response arrived twice.
    Doubled(SmolStr),
    /// The response contains text that does not belong to it.
    Mixed(SmolStr),
    /// The request was refused.
    Refused(Refusal),
    /// No connection could be established, so nothing was sent.
    Unreachable(SmolStr),
}

impl RequestOutcome {
    /// Converts an error in the output of a model to an outcome.
    pub fn from_output_error(error: OutputError) -> Self {
        let text = SmolStr::from(error.to_string());
        match error {
            OutputError::MissingToken { .. } => Self::Lost(text),
            OutputError::RepeatedToken { .. } => Self::Doubled(text),
            OutputError::ForeignText { .. } => Self::Mixed(text),
        }
    }
}

/// Outcome and times of one request.
#[derive(Debug, Clone)]
pub(super) struct Exchange {
    /// Outcome.
    pub outcome: RequestOutcome,
    /// Value of `x-request-id`; empty without a response.
    pub request_id: SmolStr,
    /// Time to the first token or, for plain calls, to the response.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub token_intervals: Vec<Duration>,
    /// Time to the end of the response.
    pub total: Duration,
    /// Number of tokens received.
    pub tokens: u32,
}

impl Exchange {
    /// Creates an exchange that ended before the first token.
    pub(super) fn without_tokens(
        outcome: RequestOutcome,
        request_id: SmolStr,
        total: Duration,
    ) -> Self {
        Self {
            outcome,
            request_id,
            first_token: None,
            token_intervals: Vec::new(),
            total,
            tokens: 0,
        }
    }
}
