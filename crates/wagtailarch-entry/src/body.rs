//! Bodies of requests and responses.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wagtailarch_types::RefusalReason;

use crate::refusal::Refusal;

/// Error of a body that ends early; hyper closes the connection or resets the stream.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response to a client.
pub type ClientBody = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body from bytes.
pub fn full(bytes: Bytes) -> ClientBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A whole request body and the memory it holds.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// Permits of the memory that the body takes.
    pub memory: Option<OwnedSemaphorePermit>,
}

/// Reads request bodies within a bound for each and for all together.
#[derive(Debug)]
pub struct BodyReader {
    max_bytes: usize,
    timeout: Duration,
    /// Permits of [`UNIT_BYTES`] each.
    memory: Arc<Semaphore>,
}

/// Bytes for one permit, so that the count of permits fits in 32 bits.
const UNIT_BYTES: usize = 1_024;

impl BodyReader {
    /// Creates a reader; `held_bytes` bounds the bodies held at once.
    pub fn new(max_bytes: usize, held_bytes: usize, timeout: Duration) -> Self {
        let units = held_bytes.max(max_bytes).div_ceil(UNIT_BYTES);
        Self {
            max_bytes,
            timeout,
            memory: Arc::new(Semaphore::new(units)),
        }
    }

    /// Reads a whole body.
    pub async fn read(&self, body: Incoming) -> Result<HeldBody, Refusal> {
        match tokio::time::timeout(self.timeout, self.collect(body)).await {
            Ok(result) => result,
            Err(_) => Err(Refusal::not_run(
                RefusalReason::HeadersTooSlow,
                "the body took too long to arrive",
            )),
        }
    }

    async fn collect(&self, mut body: Incoming) -> Result<HeldBody, Refusal> {
        if body.size_hint().lower() > self.max_bytes as u64 {
            return Err(self.too_large());
        }
        let mut bytes = BytesMut::new();
        let mut permit: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                Refusal::not_run(
                    RefusalReason::BadRequest,
                    format!("the body is cut: {error}"),
                )
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > self.max_bytes {
                return Err(self.too_large());
            }
            let units =
                (bytes.len() + data.len()).div_ceil(UNIT_BYTES) - bytes.len().div_ceil(UNIT_BYTES);
            let more = Arc::clone(&self.memory)
                .try_acquire_many_owned(units as u32)
                .map_err(|_| {
                    Refusal::not_run(
                        RefusalReason::Overloaded,
                        "too many request bodies are held",
                    )
                    .retry_after(Duration::from_secs(1))
                })?;
            match &mut permit {
                Some(permit) => permit.merge(more),
                None => permit = Some(more),
            }
            bytes.extend_from_slice(&data);
        }
        Ok(HeldBody {
            bytes: bytes.freeze(),
            memory: permit,
        })
    }

    fn too_large(&self) -> Refusal {
        let message = format!("the body is larger than {} bytes", self.max_bytes);
        Refusal::not_run(RefusalReason::BodyTooLarge, message)
    }
}

/// Keeps `guard` until the body was sent or dropped.
pub fn with_guard(body: ClientBody, guard: impl Send + 'static) -> ClientBody {
    let body = body.map_frame(move |frame| {
        let _ = &guard;
        frame
    });
    BodyExt::boxed_unsync(body)
}
