//! Reasons against a second call.

/// Why a slow call is not sent to a second server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecondCallDenial {
    /// The request may not run on two more servers.
    Attempts,
    /// The time left is shorter than a usual call.
    TimeLeft,
    /// The servers of the service have little room.
    ServiceLoaded,
    /// Many servers of the service are slow.
    ServiceSlow,
    /// The share of second calls is used.
    Share,
    /// The share of the servers' time is used.
    ServerTime,
    /// What is left of the retry budget is kept for failed calls.
    RetryBudget,
    /// No other server is quick and has room.
    NoServer,
    /// The instance stops.
    Shutdown,
    /// The configuration has changed since the request arrived.
    ConfigChanged,
}

impl SecondCallDenial {
    /// All reasons.
    pub const ALL: [Self; 10] = [
        Self::Attempts,
        Self::TimeLeft,
        Self::ServiceLoaded,
        Self::ServiceSlow,
        Self::Share,
        Self::ServerTime,
        Self::RetryBudget,
        Self::NoServer,
        Self::Shutdown,
        Self::ConfigChanged,
    ];

    /// Returns the name used in metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::TimeLeft => "time_left",
            Self::ServiceLoaded => "service_loaded",
            Self::ServiceSlow => "service_slow",
            Self::Share => "share",
            Self::ServerTime => "server_time",
            Self::RetryBudget => "retry_budget",
            Self::NoServer => "no_server",
            Self::Shutdown => "shutdown",
            Self::ConfigChanged => "config_changed",
        }
    }
}
