//! How many bytes a server may send.

use std::{cell::Cell, io};

use displaydoc::Display;

use crate::metered_stream::Meter;

/// Bytes that may still be read from a connection.
///
/// A server in trouble may send bytes without end, in interim heads or trailers as well as in a head
/// or a body; this bounds all of them together.
#[derive(Debug)]
pub struct ReadAllowance {
    left: Cell<usize>,
}

/// the other side has sent more than an answer may have
#[derive(Debug, Display)]
pub struct AllowanceExceeded;

impl std::error::Error for AllowanceExceeded {}

impl ReadAllowance {
    /// Creates an allowance of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Cell::new(bytes),
        }
    }

    /// Allows `bytes` from now on, whatever was read before.
    pub fn renew(&self, bytes: usize) {
        self.left.set(bytes);
    }
}

impl Meter for ReadAllowance {
    fn may_read(&self) -> io::Result<usize> {
        match self.left.get() {
            0 => Err(io::Error::other(AllowanceExceeded)),
            left => Ok(left),
        }
    }

    fn on_read(&self, count: usize) {
        self.left.set(self.left.get().saturating_sub(count));
    }
}
