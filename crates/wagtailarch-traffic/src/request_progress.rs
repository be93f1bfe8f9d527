//! Whether a connection may end, in view of the request that is written to it.

use std::io;

use displaydoc::Display;

/// Progress of the request on a connection to a server.
///
/// A server that closes a connection with unread data resets it. The end of the connection may still
/// seem orderly: the server may have closed its direction before, and the reset may have been
/// reported to a write.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestProgress {
    /// Whether the last write is blocked, so that a part of the request has not been written.
    is_blocked: bool,
}

/// the server ended the connection before the request was written
#[derive(Debug, Display)]
struct EndedBeforeRequest;

impl std::error::Error for EndedBeforeRequest {}

impl RequestProgress {
    /// Maximum number of bytes of a request that the system should keep before it sends them.
    ///
    /// With the usual buffer of megabytes, a request would count as written although the server has
    /// received little of it.
    pub const MAX_UNSENT_BYTES: u32 = 16 * 1024;

    /// Records whether the last write is blocked.
    pub fn on_write(&mut self, is_blocked: bool) {
        self.is_blocked = is_blocked;
    }

    /// Checks whether the connection may end now; `pending` is the error of the socket that no call has
    /// reported.
    ///
    /// An end while the request is being written does not complete a response, whatever follows.
    pub fn check_end(self, pending: Option<io::Error>) -> io::Result<()> {
        if let Some(error) = pending {
            return Err(error);
        }
        match self.is_blocked {
            true => Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                EndedBeforeRequest,
            )),
            false => Ok(()),
        }
    }
}
