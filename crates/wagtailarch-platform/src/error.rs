//! Errors of platform calls.

use std::time::Duration;

use displaydoc::Display;

/// Result of a platform call.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// Error of a platform call.
///
/// All errors except `Unknown` mean that a write did not take effect.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PlatformError {
    /// the object exists or has another version than expected
    Conflict,
    /// the object does not exist
    NotFound,
    /// the platform limits the rate of calls, retry after {retry_after:?}
    RateLimited {
        /// Time to wait before the next call.
        retry_after: Duration,
    },
    /// the platform is unavailable: {0}
    Unavailable(String),
    /// the response to a write was lost and the write may have taken effect: {0}
    Unknown(String),
    /// the changes after the start of the watch have expired, list again
    Expired,
    /// the value is {size_bytes} bytes long, the limit is {limit_bytes}
    TooLarge {
        /// Size of the value.
        size_bytes: usize,
        /// Maximum size.
        limit_bytes: usize,
    },
    /// the response does not follow the platform protocol: {0}
    Protocol(String),
}

impl std::error::Error for PlatformError {}
