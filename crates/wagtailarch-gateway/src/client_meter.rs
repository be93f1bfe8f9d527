//! Traffic of a client connection.

use std::cell::Cell;

use crate::{metered_stream::Meter, stall_detector::StallDetector};

/// Observes the traffic of a client connection and decides how it is closed.
#[derive(Debug, Default)]
pub struct ClientMeter {
    /// Detects a client that sends or reads too slowly.
    pub stall_detector: StallDetector,
    /// Whether a response is incomplete whose end is the end of the connection.
    ends_by_close: Cell<bool>,
}

impl ClientMeter {
    /// Sets whether a response is incomplete whose end is the end of the connection.
    ///
    /// Until it is complete, closing the connection for any reason resets it, since the client
    /// would take an orderly close for the end of the response.
    pub fn set_ends_by_close(&self, ends_by_close: bool) {
        self.ends_by_close.set(ends_by_close);
    }
}

impl Meter for ClientMeter {
    fn on_read(&self, count: usize) {
        self.stall_detector.on_read(count);
    }

    fn on_write(&self, blocked: bool) {
        self.stall_detector.on_write(blocked);
    }

    fn resets_on_close(&self) -> bool {
        self.ends_by_close.get()
    }
}
