//! Limit on the bytes that a server may send.

use std::{cell::Cell, io};

use displaydoc::Display;

use crate::metered_stream::Meter;

/// Number of bytes that may still be read from a connection.
///
/// A faulty server may send endless interim heads or trailers as well as an endless head or body;
/// this limit covers all of them together.
#[derive(Debug)]
pub struct ReadAllowance {
    remaining: Cell<usize>,
}

/// the other side sent more bytes than a response may have
#[derive(Debug, Display)]
pub struct AllowanceExceeded;

impl std::error::Error for AllowanceExceeded {}

impl ReadAllowance {
    /// Creates an allowance of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            remaining: Cell::new(bytes),
        }
    }

    /// Sets the allowance to `bytes`, regardless of what was read before.
    pub fn reset(&self, bytes: usize) {
        self.remaining.set(bytes);
    }
}

impl Meter for ReadAllowance {
    fn read_limit(&self) -> io::Result<usize> {
        match self.remaining.get() {
            0 => Err(io::Error::other(AllowanceExceeded)),
            remaining => Ok(remaining),
        }
    }

    fn on_read(&self, count: usize) {
        self.remaining
            .set(self.remaining.get().saturating_sub(count));
    }
}
