//! Buffered request and response bodies within a memory limit.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

/// Maximum number of bytes of all buffered bodies.
///
/// A fifth of the 160 MB of memory of the smallest machines; a body briefly takes up to twice its
/// size.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// Counts the bytes of all buffered bodies of the instance.
#[derive(Debug, Default)]
pub struct BufferBudget {
    used: Cell<usize>,
}

/// A buffered body, whose bytes are counted until it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    /// Content of the body.
    pub bytes: Bytes,
    /// Counts the bytes in the budget.
    pub reservation: BufferReservation,
}

/// Bytes reserved in a [`BufferBudget`]; dropping it releases them.
#[derive(Debug)]
pub struct BufferReservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

/// Why a body could not be buffered.
#[derive(Debug, Display)]
pub enum BufferError {
    /// the body has more than {0} bytes
    TooLarge(usize),
    /// the memory limit for buffered bodies is reached
    BudgetExhausted,
    /// the connection failed: {0}
    Connection(hyper::Error),
}

impl BufferBudget {
    /// Buffers a body of at most `limit` bytes; after an error, the rest of it is unread.
    pub async fn read(
        self: &Rc<Self>,
        body: &mut Incoming,
        limit: usize,
    ) -> Result<BufferedBody, BufferError> {
        if body.size_hint().lower() > limit as u64 {
            return Err(BufferError::TooLarge(limit));
        }
        let mut reservation = BufferReservation {
            budget: Rc::clone(self),
            bytes: 0,
        };
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BufferError::Connection)?.into_data() else {
                continue;
            };
            if buffer.len() + data.len() > limit {
                return Err(BufferError::TooLarge(limit));
            }
            reservation.grow(data.len())?;
            buffer.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            bytes: buffer.freeze(),
            reservation,
        })
    }
}

impl BufferReservation {
    fn grow(&mut self, by: usize) -> Result<(), BufferError> {
        let used = self.budget.used.get() + by;
        if used > MAX_BUFFERED_BYTES {
            return Err(BufferError::BudgetExhausted);
        }
        self.budget.used.set(used);
        self.bytes += by;
        Ok(())
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let used = self.budget.used.get();
        self.budget.used.set(used.saturating_sub(self.bytes));
    }
}

/// Reads and drops the rest of a body of at most `limit_bytes`; returns whether it was read whole.
///
/// If a connection is closed before everything was read, it is reset, and the other side may lose
/// the response.
pub async fn discard_rest(body: &mut Incoming, limit_bytes: usize, limit: Duration) -> bool {
    let mut body = Limited::new(body, limit_bytes);
    let discard = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    timeout(limit, discard).await.unwrap_or(false)
}
