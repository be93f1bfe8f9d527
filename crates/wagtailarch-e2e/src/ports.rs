//! Ports for processes that need a fixed address before they start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

use crate::HarnessError;

/// Ports below the range from which the system takes those of outgoing connections.
#[derive(Debug)]
pub struct Ports {
    range: Range<u16>,
    /// Offset of the next port to try.
    next: AtomicU16,
}

impl Ports {
    /// Ports of tests.
    pub const TESTS: Range<u16> = 25_200..26_000;
    /// Ports of the demonstration.
    pub const DEMONSTRATION: Range<u16> = 26_000..27_000;

    /// Creates an allocator; processes start at different ports of the range.
    pub fn new(range: Range<u16>) -> Self {
        let length = u32::from(range.end - range.start);
        let start = std::process::id().wrapping_mul(97) % length;
        Self {
            range,
            next: AtomicU16::new(u16::try_from(start).unwrap_or(0)),
        }
    }

    /// Returns a loopback address whose port is free for TCP and UDP.
    pub fn allocate(&self) -> Result<SocketAddr, HarnessError> {
        let length = self.range.end - self.range.start;
        for _ in 0..length {
            let offset = self.next.fetch_add(1, Ordering::Relaxed) % length;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.range.start + offset));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(HarnessError::Ports)
    }
}
