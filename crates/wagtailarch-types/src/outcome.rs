//! Outcomes of requests: whether they ran, and why they were refused or retried.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a backend server ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of the request was sent to a backend server, or the server reported that it did not
    /// run the request.
    No,
    /// A backend server ran the request, at least in part.
    Yes,
    /// A backend server may have run the request.
    Unknown,
}

impl Ran {
    /// Returns the text form.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Defines an enum of unit variants with the text form of each and a list of all values.
macro_rules! text_enum {
    ($(#[$meta:meta])* $name:ident { $($(#[$vmeta:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$vmeta])* $variant,)* }

        impl $name {
            /// All values, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the text form.
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

text_enum! {
    /// Reason why a request was refused or abandoned.
    RefusalReason {
        /// The request could not be parsed.
        BadRequest = "bad_request",
        /// The bearer key is missing or unknown.
        Unauthorized = "unauthorized",
        /// The team has no permission to call the service.
        ForbiddenService = "forbidden_service",
        /// No model service has the requested name.
        UnknownModel = "unknown_model",
        /// No service has the requested path.
        UnknownRoute = "unknown_route",
        /// The body is larger than the limit.
        BodyTooLarge = "body_too_large",
        /// The headers or the body did not arrive within the timeout.
        HeadersTooSlow = "headers_too_slow",
        /// The team exceeds its rate limit.
        TeamRateLimited = "team_rate_limited",
        /// The team exceeds its fair share while the fleet is overloaded.
        TeamShareExceeded = "team_share_exceeded",
        /// The deadline cannot be met.
        DeadlineUnreachable = "deadline_unreachable",
        /// The instance, the service or the fleet has no capacity for the request in time.
        Overloaded = "overloaded",
        /// The rate limits that the backend servers name leave no room for the request.
        ServerRateLimited = "server_rate_limited",
        /// No backend server can serve the request.
        NoBackend = "no_backend",
        /// A stream cannot be taken up, since it is not known at which software version it began.
        OriginUnknown = "origin_unknown",
        /// A stream cannot be taken up, since the software version at which it began has left.
        VersionGone = "version_gone",
        /// The request is quarantined, since backend servers have crashed while running it.
        Quarantined = "quarantined",
        /// The idempotency key cannot be claimed, since the claim log cannot be written.
        ClaimsUnavailable = "claims_unavailable",
        /// A request with this idempotency key was accepted before, and its outcome is unknown.
        AlreadyAccepted = "already_accepted",
        /// The retry budget of the service is exhausted.
        RetryBudgetExhausted = "retry_budget_exhausted",
        /// An attempt failed and no further one is permitted, or the client's timeout elapsed
        /// during the attempts.
        AttemptsExhausted = "attempts_exhausted",
        /// The instance is shutting down.
        Draining = "draining",
        /// The backend server failed after part of the response was delivered to the client.
        BackendFailedMidway = "backend_failed_midway",
        /// The instance has not loaded a configuration yet.
        NotConfigured = "not_configured",
        /// The instance cannot prove that its configuration is recent enough to accept a key.
        ConfigurationUnproven = "configuration_unproven",
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
            | Self::ServerRateLimited
            | Self::OriginUnknown
            | Self::VersionGone
            | Self::ClaimsUnavailable
            | Self::RetryBudgetExhausted
            | Self::Draining
            | Self::NotConfigured
            | Self::ConfigurationUnproven => 503,
        }
    }
}

text_enum! {
    /// Reason why an attempt failed; counted as the reason of the retry if there is one.
    RetryReason {
        /// The connection to the backend server could not be established.
        ConnectFailed = "connect_failed",
        /// The backend server refused the request and reported that it did not run it.
        RefusedNotRun = "refused_not_run",
        /// The connection was closed before any part of the response arrived.
        ClosedBeforeResponse = "closed_before_answer",
        /// The stream ended early, after part of the response had arrived.
        StreamBroken = "stream_broken",
        /// A frame of the response did not belong to the attempt.
        WrongFrame = "wrong_frame",
        /// The first token did not arrive within the timeout.
        FirstTokenTimeout = "first_token_timeout",
        /// The backend server responded with an error.
        ServerError = "server_error",
        /// The engine could not import the KV cache.
        KvImportFailed = "kv_import_failed",
    }
}
