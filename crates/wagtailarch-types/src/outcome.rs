//! Closed sets of refusal and retry reasons.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request can have run on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of the request reached a backend server, or the server said that it did not run.
    No,
    /// The request ran.
    Yes,
    /// The request may have run.
    Unknown,
}

impl Ran {
    /// Returns the stable textual form.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Defines a fieldless enum with a stable textual form and a list of all its values.
macro_rules! closed_set {
    ($(#[$meta:meta])* $name:ident { $($(#[$vmeta:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$vmeta])* $variant,)* }

        impl $name {
            /// All values, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the stable textual form.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

closed_set! {
    /// Why a request was refused or given up on.
    RefusalReason {
        /// The request could not be parsed.
        BadRequest = "bad_request",
        /// The bearer key is missing or unknown.
        Unauthorized = "unauthorized",
        /// The team may not call the service.
        ForbiddenService = "forbidden_service",
        /// No model service has the requested name.
        UnknownModel = "unknown_model",
        /// No service has the requested path.
        UnknownRoute = "unknown_route",
        /// The body is larger than the limit.
        BodyTooLarge = "body_too_large",
        /// The headers or the body took too long to arrive.
        HeadersTooSlow = "headers_too_slow",
        /// The team is over its own limit.
        TeamRateLimited = "team_rate_limited",
        /// The team is over its fair share while the fleet is overloaded.
        TeamShareExceeded = "team_share_exceeded",
        /// The deadline cannot be met.
        DeadlineUnreachable = "deadline_unreachable",
        /// The fleet is overloaded.
        Overloaded = "overloaded",
        /// No backend server can serve the request.
        NoBackend = "no_backend",
        /// The request has crashed backend servers before.
        Quarantined = "quarantined",
        /// Claims cannot be recorded at present.
        ClaimsUnavailable = "claims_unavailable",
        /// The idempotency key was accepted before and its outcome is not known.
        AlreadyAccepted = "already_accepted",
        /// The service has no retry budget left.
        RetryBudgetExhausted = "retry_budget_exhausted",
        /// Every permitted attempt has failed.
        AttemptsExhausted = "attempts_exhausted",
        /// The instance is shutting down.
        Draining = "draining",
        /// The backend server failed after part of the answer was delivered.
        BackendFailedMidway = "backend_failed_midway",
        /// The instance has no configuration yet.
        NotConfigured = "not_configured",
    }
}

impl RefusalReason {
    /// Returns the HTTP status code of the refusal.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::ForbiddenService => 403,
            Self::UnknownModel | Self::UnknownRoute => 404,
            Self::HeadersTooSlow => 408,
            Self::AlreadyAccepted => 409,
            Self::BodyTooLarge => 413,
            Self::Quarantined => 422,
            Self::TeamRateLimited | Self::TeamShareExceeded => 429,
            Self::AttemptsExhausted | Self::BackendFailedMidway => 502,
            Self::DeadlineUnreachable
            | Self::Overloaded
            | Self::NoBackend
            | Self::ClaimsUnavailable
            | Self::RetryBudgetExhausted
            | Self::Draining
            | Self::NotConfigured => 503,
        }
    }
}

closed_set! {
    /// Why an attempt was followed by another one.
    RetryReason {
        /// The connection could not be established.
        ConnectFailed = "connect_failed",
        /// The backend server refused and said that nothing ran.
        RefusedNotRun = "refused_not_run",
        /// The connection closed before any part of the answer.
        ClosedBeforeResponse = "closed_before_answer",
        /// The stream broke after part of the answer.
        StreamBroken = "stream_broken",
        /// A frame did not belong to the attempt.
        WrongFrame = "wrong_frame",
        /// No token arrived in time.
        FirstTokenTimeout = "first_token_timeout",
        /// The backend server answered with a failure of its own.
        ServerError = "server_error",
        /// The KV cache could not be imported.
        KvImportFailed = "kv_import_failed",
    }
}
