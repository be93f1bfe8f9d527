//! Cancellation of attempts that run on engines.

use std::sync::Arc;

use smol_str::SmolStr;
use wagtailarch_types::AttemptNo;

use crate::shared::Shared;

/// Cancels an attempt on its engine when dropped, unless the guard was disarmed.
#[derive(Debug)]
pub struct CancelOnDrop {
    shared: Arc<Shared>,
    address: SmolStr,
    request: SmolStr,
    attempt: AttemptNo,
    armed: bool,
}

impl CancelOnDrop {
    /// Creates the guard for an attempt.
    pub fn new(shared: &Arc<Shared>, address: &SmolStr, request: &SmolStr, no: AttemptNo) -> Self {
        Self {
            shared: Arc::clone(shared),
            address: address.clone(),
            request: request.clone(),
            attempt: no,
            armed: true,
        }
    }

    /// Disables the cancellation, since the attempt has ended.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        self.shared.metrics.cancels.inc();
        let shared = Arc::clone(&self.shared);
        let (address, request, attempt) =
            (self.address.clone(), self.request.clone(), self.attempt);
        tokio::spawn(async move {
            let _ = shared
                .engine_client
                .cancel(&address, &request, attempt)
                .await;
        });
    }
}
