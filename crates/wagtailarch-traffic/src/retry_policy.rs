//! Which failed attempts are followed by another one.

use wagtailarch_types::{Ran, RefusalReason, RetryReason};

/// Decides which failed attempts are followed by another one.
#[derive(Debug, Clone, Copy)]
pub struct RetryPolicy;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What went wrong.
    pub reason: RetryReason,
}

/// Properties of a request that decide on its retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTraits {
    /// Whether the call may run more than once; true for generations.
    pub idempotent: bool,
    /// Whether a broken answer can be resumed; true for generations.
    pub resumable: bool,
    /// Whether part of the answer has been sent to the client.
    pub delivered: bool,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// Greatest number of attempts.
    pub attempt_limit: u32,
    /// Whether attempts before the failed one ran; `No` for the first.
    pub ran_before: Ran,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt, if the retry budget has one left.
    Retry(RetryReason),
    /// The final response, with what is known of the request.
    Refuse(RefusalReason, Ran),
}

impl AttemptFailure {
    /// Tells whether the attempt ran. `No` is only returned when it provably did not.
    pub const fn ran(&self) -> Ran {
        match self.reason {
            RetryReason::ConnectFailed | RetryReason::RefusedNotRun => Ran::No,
            RetryReason::StreamBroken | RetryReason::WrongFrame | RetryReason::ServerError => {
                Ran::Yes
            }
            RetryReason::ClosedBeforeAnswer
            | RetryReason::FirstTokenTimeout
            | RetryReason::KvImportFailed => Ran::Unknown,
        }
    }

    /// Tells whether the attempt can have reached a server, so that another one adds to the load that
    /// a retry budget bounds.
    pub const fn reached_server(&self) -> bool {
        !matches!(self.reason, RetryReason::ConnectFailed)
    }
}

impl RetryPolicy {
    /// Decides what follows a failed attempt.
    ///
    /// A call that is not idempotent is retried only when no attempt can have run (G6).
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

    /// Combines what is known of two attempts of one request.
    pub const fn combine(first: Ran, second: Ran) -> Ran {
        match (first, second) {
            (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
            (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
            (Ran::No, Ran::No) => Ran::No,
        }
    }
}
