//! The policy for retries of failed attempts.

use wagtailarch_types::{Ran, RefusalReason, RetryReason};

/// The policy for retries of failed attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryPolicy;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Reason of the failure.
    pub reason: RetryReason,
}

/// Properties of a request on which its retries depend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTraits {
    /// Whether the call may run more than once; true for generations.
    pub idempotent: bool,
    /// Whether an interrupted response can be resumed; true for generations.
    pub resumable: bool,
    /// Whether part of the response has been sent to the client.
    pub delivered: bool,
    /// Number of attempts so far, including the failed one.
    pub attempts: u32,
    /// Maximum number of attempts.
    pub attempt_limit: u32,
    /// Whether an attempt before the failed one ran; `No` if there was none.
    pub ran_before: Ran,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Start another attempt, if the retry budget permits one.
    Retry(RetryReason),
    /// Refuse the request for this reason, and report to the client whether it ran.
    Refuse(RefusalReason, Ran),
}

impl AttemptFailure {
    /// Returns whether the attempt ran; `No` only if it provably did not.
    pub const fn ran(&self) -> Ran {
        match self.reason {
            RetryReason::ConnectFailed | RetryReason::RefusedNotRun => Ran::No,
            RetryReason::StreamBroken | RetryReason::WrongFrame | RetryReason::ServerError => {
                Ran::Yes
            }
            RetryReason::ClosedBeforeResponse
            | RetryReason::FirstTokenTimeout
            | RetryReason::KvImportFailed => Ran::Unknown,
        }
    }

    /// Returns whether the attempt may have reached a backend server, so that another attempt adds
    /// to the load that the retry budget bounds.
    pub const fn reached_server(&self) -> bool {
        !matches!(self.reason, RetryReason::ConnectFailed)
    }
}

impl RetryPolicy {
    /// Returns what to do after a failed attempt.
    ///
    /// A call that is not idempotent is retried only if no attempt can have run (G6).
    pub fn evaluate(failure: &AttemptFailure, traits: &RequestTraits) -> RetryDecision {
        let ran = Self::combine(traits.ran_before, failure.ran());
        if traits.delivered && !traits.resumable {
            return RetryDecision::Refuse(RefusalReason::BackendFailedMidway, Ran::Yes);
        }
        if !traits.idempotent && ran != Ran::No {
            let reason = match ran {
                Ran::Yes => RefusalReason::BackendFailedMidway,
                Ran::Unknown | Ran::No => RefusalReason::AttemptsExhausted,
            };
            return RetryDecision::Refuse(reason, ran);
        }
        if traits.attempts >= traits.attempt_limit {
            return RetryDecision::Refuse(RefusalReason::AttemptsExhausted, ran);
        }
        RetryDecision::Retry(failure.reason)
    }

    /// Returns whether any of two attempts of one request ran.
    pub const fn combine(first: Ran, second: Ran) -> Ran {
        match (first, second) {
            (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
            (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
            (Ran::No, Ran::No) => Ran::No,
        }
    }
}
