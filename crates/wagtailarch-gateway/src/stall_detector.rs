//! Detects clients that send a request head or read a response too slowly.

use std::{cell::Cell, time::Duration};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::metered_stream::Meter;

/// Measures how long a client takes to send a request head or to read the response.
///
/// The timer of the HTTP server cannot be used, since it also runs while a keep-alive connection is
/// idle, for which clients have more time.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// When the first byte of an incomplete head was read.
    head_started_at: Cell<Option<Instant>>,
    /// Since when no write has made progress; `None` after a write that did.
    write_blocked_since: Cell<Option<Instant>>,
    /// Whether a request is being served; bytes read meanwhile belong to its body or to the next
    /// request.
    serving: Cell<bool>,
    changed: Notify,
}

/// The operation in which a client stalls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientStall {
    /// Sending the head of a request.
    Head,
    /// Reading a response.
    Response,
}

impl StallDetector {
    /// Records that a head is complete and its request is being served.
    pub fn start_serving(&self) {
        self.serving.set(true);
        self.head_started_at.set(None);
    }

    /// Records that the response to the request has ended.
    pub fn stop_serving(&self) {
        self.serving.set(false);
    }

    /// Waits until a head takes longer than `head_limit`, or writes of a response have been blocked
    /// for `response_limit`.
    ///
    /// Any write that makes progress ends a block, so a client that reads slowly but steadily does
    /// not stall.
    pub async fn wait_for_stall(
        &self,
        head_limit: Duration,
        response_limit: Duration,
    ) -> ClientStall {
        loop {
            let head_deadline = self.head_started_at.get().map(|start| start + head_limit);
            let response_deadline = self
                .write_blocked_since
                .get()
                .map(|start| start + response_limit);
            let Some(deadline) = head_deadline.into_iter().chain(response_deadline).min() else {
                self.changed.notified().await;
                continue;
            };
            if deadline > Instant::now() {
                tokio::select! {
                    () = sleep_until(deadline) => {}
                    () = self.changed.notified() => {}
                }
                continue;
            }
            return match head_deadline == Some(deadline) {
                true => ClientStall::Head,
                false => ClientStall::Response,
            };
        }
    }
}

impl Meter for StallDetector {
    fn on_read(&self, _count: usize) {
        if !self.serving.get() && self.head_started_at.get().is_none() {
            self.head_started_at.set(Some(Instant::now()));
            self.changed.notify_one();
        }
    }

    fn on_write(&self, blocked: bool) {
        if !blocked {
            self.write_blocked_since.set(None);
        } else if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(Instant::now()));
            self.changed.notify_one();
        }
    }
}
