//! Allocation of ports for processes whose address is configured before they start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::HarnessError;

/// Locked while a port is probed, and while a process starts.
///
/// A process that starts inherits the sockets of a probe until it executes its program, which would
/// keep the port in use after the probe.
static PROBE: Mutex<()> = Mutex::new(());

/// Allocator of ports below the ephemeral range.
///
/// The operating system may use a port of the ephemeral range for an outgoing connection before the
/// process binds it.
#[derive(Debug)]
pub struct Ports {
    range: Range<u16>,
    /// Offset of the next port to try.
    next: AtomicU16,
}

impl Ports {
    /// Port range for tests.
    pub const TESTS: Range<u16> = 25_200..26_000;
    /// Port range for the demonstration.
    pub const DEMONSTRATION: Range<u16> = 26_000..27_000;

    /// Creates an allocator for a range.
    ///
    /// The first port depends on the process ID, so that test programs that run at the same time
    /// rarely try the same ports.
    pub fn new(range: Range<u16>) -> Self {
        let length = u32::from(range.end - range.start);
        let first_offset = std::process::id().wrapping_mul(97) % length;
        Self {
            range,
            next: AtomicU16::new(u16::try_from(first_offset).unwrap_or(0)),
        }
    }

    /// Returns a loopback address with the next port that is free for TCP and UDP.
    pub fn allocate(&self) -> Result<SocketAddr, HarnessError> {
        let length = self.range.end - self.range.start;
        for _ in 0..length {
            let offset = self.next.fetch_add(1, Ordering::Relaxed) % length;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.range.start + offset));
            let _guard = lock_probes();
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(HarnessError::NoFreePort)
    }
}

/// Delays probes of ports until the returned guard is dropped.
pub(crate) fn lock_probes() -> MutexGuard<'static, ()> {
    PROBE.lock().unwrap_or_else(PoisonError::into_inner)
}
