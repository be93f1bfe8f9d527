//! Status codes of responses.

use http::StatusCode;

/// Returns whether a response with this status can end a call.
///
/// HTTP defines statuses from 100 to 599, of which those below 200 are interim responses. Any other
/// number is no response of a working server, although the HTTP library accepts those up to 999.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
