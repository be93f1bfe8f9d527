//! Bodies of requests and responses.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wagtailarch_types::RefusalReason;

use crate::refusal::Refusal;

/// Error that ends a body early; hyper then closes the connection or resets the stream.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response to a client.
pub type ClientBody = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body from bytes.
pub fn full(bytes: Bytes) -> ClientBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A complete request body and its share of the memory for request bodies.
#[derive(Debug)]
pub struct BufferedBody {
    /// Bytes of the body.
    pub bytes: Bytes,
    /// Permits for the memory of the body; none if it is empty.
    pub memory: Option<OwnedSemaphorePermit>,
}

/// Reads request bodies; limits the size of each body and the total size of all buffered bodies.
#[derive(Debug)]
pub struct BodyReader {
    max_bytes: usize,
    timeout: Duration,
    /// Memory for request bodies, as permits of [`PERMIT_BYTES`] each.
    memory: Arc<Semaphore>,
}

/// Number of bytes per permit, such that the number of permits fits in 32 bits.
const PERMIT_BYTES: usize = 1_024;

impl BodyReader {
    /// Creates a reader; `buffer_bytes` is the maximum total size of all buffered bodies.
    pub fn new(max_bytes: usize, buffer_bytes: usize, timeout: Duration) -> Self {
        let permits = buffer_bytes.max(max_bytes).div_ceil(PERMIT_BYTES);
        Self {
            max_bytes,
            timeout,
            memory: Arc::new(Semaphore::new(permits)),
        }
    }

    /// Reads a complete body; after a refusal, the rest of it is unread.
    pub async fn read(&self, body: &mut Incoming) -> Result<BufferedBody, Refusal> {
        match tokio::time::timeout(self.timeout, self.collect_body(body)).await {
            Ok(result) => result,
            Err(_) => Err(Refusal::new(
                RefusalReason::HeadersTooSlow,
                "the body took too long to arrive",
            )),
        }
    }

    /// Reads the frames of a body into memory; fails if a limit is exceeded.
    async fn collect_body(&self, body: &mut Incoming) -> Result<BufferedBody, Refusal> {
        if body.size_hint().lower() > self.max_bytes as u64 {
            return Err(self.too_large());
        }
        let mut bytes = BytesMut::new();
        let mut acquired: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                Refusal::new(
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
            let permits = (bytes.len() + data.len()).div_ceil(PERMIT_BYTES)
                - bytes.len().div_ceil(PERMIT_BYTES);
            let additional = Arc::clone(&self.memory)
                .try_acquire_many_owned(permits as u32)
                .map_err(|_| {
                    Refusal::new(
                        RefusalReason::Overloaded,
                        "too many request bodies are held",
                    )
                    .retry_after(Duration::from_secs(1))
                })?;
            match &mut acquired {
                Some(acquired) => acquired.merge(additional),
                None => acquired = Some(additional),
            }
            bytes.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            bytes: bytes.freeze(),
            memory: acquired,
        })
    }

    /// Reads and drops the rest of a body within the limits of a complete one; returns whether it
    /// was read whole.
    ///
    /// If a connection is closed before everything was read, it is reset, and the client may lose
    /// the response.
    pub async fn discard_rest(&self, body: &mut Incoming) -> bool {
        let mut body = Limited::new(body, self.max_bytes);
        let discard = async {
            while let Some(frame) = body.frame().await {
                if frame.is_err() {
                    return false;
                }
            }
            true
        };
        let discarded = tokio::time::timeout(self.timeout, discard).await;
        discarded.unwrap_or(false)
    }

    fn too_large(&self) -> Refusal {
        let message = format!("the body is larger than {} bytes", self.max_bytes);
        Refusal::new(RefusalReason::BodyTooLarge, message)
    }
}

/// Calls `completed` when the whole body was produced, and not if it fails or is dropped.
pub fn on_complete(body: ClientBody, completed: impl FnOnce() + Send + 'static) -> ClientBody {
    let frames = stream::try_unfold((body, completed), |(mut body, completed)| async {
        let Some(frame) = body.frame().await else {
            completed();
            return Ok(None);
        };
        frame.map(|frame| Some((frame, (body, completed))))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Attaches a guard that is dropped once the body was sent or dropped.
pub fn with_guard(body: ClientBody, guard: impl Send + 'static) -> ClientBody {
    let body = body.map_frame(move |frame| {
        let _ = &guard;
        frame
    });
    BodyExt::boxed_unsync(body)
}
