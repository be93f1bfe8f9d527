//! Harness for tests with real processes, and the demonstration.
//!
//! [`TestFleet`] starts stand-ins and entry instances on loopback and stops them by their ids.

mod config;
mod error;
mod fleet;
mod http_call;
mod load;
mod ports;
mod process;

pub use config::{ENGINE_GROUP, FleetFile, KEY, MODEL, SERVICE_GROUP, VERSIONS};
pub use error::HarnessError;
pub use fleet::{BackendProcess, EntryProcess, FleetOptions, TestFleet, one_fleet};
pub use http_call::{Reply, call};
pub use load::{LoadHandle, scenario};
pub use ports::Ports;
pub use process::ServerProcess;
