//! Clients' requests that go through another instance, since this one has no path to the servers.
//!
//! [`client`] sends them, [`server`] receives them and serves them like those of clients.

pub mod client;
mod link_body;
pub mod server;

use std::cell::{Cell, RefCell};

use wagtailarch_dispatch::CallNumbers;
use wagtailarch_types::BootId;

/// Numbers of the calls to and from other instances.
#[derive(Debug)]
pub struct ForwardState {
    boot: BootId,
    last_number: Cell<u64>,
    received: RefCell<CallNumbers>,
}

impl ForwardState {
    /// Creates the state of a process that has sent and received no calls.
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            last_number: Cell::new(0),
            received: RefCell::default(),
        }
    }

    /// Returns the number of the next call, unique within the start of this process.
    fn next_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }
}
