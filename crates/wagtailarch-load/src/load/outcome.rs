//! How a request ended.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_standin::token::AnswerFault;

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Streamed answer of a model.
    Stream,
    /// Whole answer of a model.
    Whole,
    /// Plain call that may be repeated.
    Get,
    /// Plain call that must run at most once.
    Post,
    /// Call to an engine without an entry instance.
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

    /// Returns the stable textual form.
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

/// A final answer that says that the request was not served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Code of the refusal; `http_<status>` if the answer has none.
    pub code: SmolStr,
    /// What the refusal says about a run: `no`, `yes` or `unknown`.
    pub ran: SmolStr,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer arrived, once and in order.
    Complete,
    /// No answer, or only a part of it.
    Lost(SmolStr),
    /// A part of the answer arrived twice.
    Doubled(SmolStr),
    /// The answer holds text that is not its own.
    Mixed(SmolStr),
    /// The request was refused.
    Refused(Refusal),
    /// No connection could be made; nothing was sent.
    Unreachable(SmolStr),
}

impl RequestOutcome {
    /// Turns a fault of the text into an outcome.
    pub fn from_fault(fault: AnswerFault) -> Self {
        let text = SmolStr::from(fault.to_string());
        match fault {
            AnswerFault::Lost { .. } => Self::Lost(text),
            AnswerFault::Doubled { .. } => Self::Doubled(text),
            AnswerFault::Mixed { .. } => Self::Mixed(text),
        }
    }
}

/// What one request took and how it ended.
#[derive(Debug, Clone)]
pub(super) struct Exchange {
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Value of `x-request-id`; empty if no answer came.
    pub request_id: SmolStr,
    /// Time to the first token or, for plain calls, to the answer.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub between: Vec<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Tokens delivered.
    pub tokens: u32,
}

impl Exchange {
    /// Creates an exchange that ended before any token.
    pub(super) fn ended(outcome: RequestOutcome, request_id: SmolStr, total: Duration) -> Self {
        Self {
            outcome,
            request_id,
            first: None,
            between: Vec::new(),
            total,
            tokens: 0,
        }
    }
}
