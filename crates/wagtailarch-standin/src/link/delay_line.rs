//! A bounded queue that gives each piece of data out after the delay of the link.

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::state::Link;

/// Pieces under way in one direction of a flow.
const CAPACITY: usize = 256;

pub(super) struct DelaySender(mpsc::Sender<(Instant, Bytes)>);

pub(super) struct DelayReceiver(mpsc::Receiver<(Instant, Bytes)>);

/// Creates the two ends of a queue.
pub(super) fn delay_line() -> (DelaySender, DelayReceiver) {
    let (sender, receiver) = mpsc::channel(CAPACITY);
    (DelaySender(sender), DelayReceiver(receiver))
}

impl DelaySender {
    /// Waits for room; returns whether the other end still reads.
    pub(super) async fn send(&self, link: &Link, piece: Bytes) -> bool {
        let due = Instant::now() + link.delay();
        self.0.send((due, piece)).await.is_ok()
    }

    /// Returns whether there was room.
    pub(super) fn try_send(&self, link: &Link, piece: Bytes) -> bool {
        let due = Instant::now() + link.delay();
        self.0.try_send((due, piece)).is_ok()
    }
}

impl DelayReceiver {
    /// Returns the next piece when it is due; `None` after the last.
    pub(super) async fn next(&mut self) -> Option<Bytes> {
        let (due, piece) = self.0.recv().await?;
        tokio::time::sleep_until(due).await;
        Some(piece)
    }
}
