//! Bodies that are kept whole.

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Bytes of all bodies that are kept at once.
///
/// A fifth of the memory of the smallest machines, 160 MB; a body takes it twice for a moment.
const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;

/// Counts the bytes of all bodies that the instance keeps.
#[derive(Debug, Default)]
pub struct HeldBytes {
    held: Cell<usize>,
}

/// A body that is kept whole; its bytes are counted until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// Counts the bytes.
    pub share: HeldShare,
}

/// A part of the bytes that are kept.
#[derive(Debug)]
pub struct HeldShare {
    total: Rc<HeldBytes>,
    bytes: usize,
}

/// Why a body cannot be kept whole.
#[derive(Debug, Display)]
pub enum HoldError {
    /// the body has more than {0} bytes
    TooLarge(usize),
    /// bodies take all the memory that is set aside for them
    NoRoom,
    /// the connection failed: {0}
    Broken(hyper::Error),
}

impl HeldBytes {
    /// Reads a body of at most `limit` bytes.
    pub async fn read(
        self: &Rc<Self>,
        mut body: Incoming,
        limit: usize,
    ) -> Result<HeldBody, HoldError> {
        if body.size_hint().lower() > limit as u64 {
            return Err(HoldError::TooLarge(limit));
        }
        let mut share = HeldShare {
            total: Rc::clone(self),
            bytes: 0,
        };
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(HoldError::Broken)?.into_data() else {
                continue;
            };
            if whole.len() + data.len() > limit {
                return Err(HoldError::TooLarge(limit));
            }
            share.grow(data.len())?;
            whole.extend_from_slice(&data);
        }
        Ok(HeldBody {
            bytes: whole.freeze(),
            share,
        })
    }
}

impl HeldShare {
    fn grow(&mut self, by: usize) -> Result<(), HoldError> {
        let held = self.total.held.get() + by;
        if held > MAX_HELD_BYTES {
            return Err(HoldError::NoRoom);
        }
        self.total.held.set(held);
        self.bytes += by;
        Ok(())
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        let held = self.total.held.get();
        self.total.held.set(held.saturating_sub(self.bytes));
    }
}
