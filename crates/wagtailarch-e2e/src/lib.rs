//! Harness for tests with real processes, and the demonstration.
//!
//! [`TestFleet`] starts stand-ins and entry instances on loopback and stops them by their ids.

mod calls;
mod config;
mod ctl;
mod error;
mod fleet;
mod http_call;
mod links;
mod load;
mod options;
mod ports;
mod process;
mod usage;
pub mod weights;

pub use config::{ENGINE_GROUP, FleetFile, KEY, MODEL, SERVICE_GROUP, VERSIONS};
pub use ctl::CtlOutput;
pub use error::HarnessError;
pub use fleet::{BackendProcess, EntryProcess, TestFleet, one_fleet};
pub use http_call::{Reply, call};
pub use links::Links;
pub use load::{LoadHandle, scenario};
pub use options::{ConfigSource, FleetOptions};
pub use ports::Ports;
pub use process::{ServerProcess, program_path};
pub use usage::Usage;
