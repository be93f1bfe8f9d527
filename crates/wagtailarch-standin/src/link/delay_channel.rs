//! A bounded channel that delivers data after the delay of the link.

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::state::Link;

/// Maximum number of datagrams or stream chunks in transit in one direction of a flow.
const CAPACITY: usize = 256;

/// Sending end of a delay channel.
pub(super) struct DelaySender(mpsc::Sender<(Instant, Bytes)>);

/// Receiving end of a delay channel.
pub(super) struct DelayReceiver(mpsc::Receiver<(Instant, Bytes)>);

/// Creates the two ends of a delay channel.
pub(super) fn delay_channel() -> (DelaySender, DelayReceiver) {
    let (sender, receiver) = mpsc::channel(CAPACITY);
    (DelaySender(sender), DelayReceiver(receiver))
}

impl DelaySender {
    /// Sends data when the channel has capacity and returns whether the receiver still exists.
    pub(super) async fn send(&self, link: &Link, data: Bytes) -> bool {
        let due = Instant::now() + link.delay();
        self.0.send((due, data)).await.is_ok()
    }

    /// Sends data without waiting and returns whether the channel accepted it.
    pub(super) fn try_send(&self, link: &Link, data: Bytes) -> bool {
        let due = Instant::now() + link.delay();
        self.0.try_send((due, data)).is_ok()
    }
}

impl DelayReceiver {
    /// Returns the next data when it is due; `None` after the end.
    pub(super) async fn next(&mut self) -> Option<Bytes> {
        let (due, data) = self.0.recv().await?;
        tokio::time::sleep_until(due).await;
        Some(data)
    }
}
