//! Harness for end-to-end tests, benchmarks and the demonstration.
//!
//! A [`TestFleet`] starts stand-ins and entry instances as processes on loopback. Processes are
//! signalled only by their process IDs.

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
pub use fleet::{BackendProcess, EntryProcess, TestFleet, lock_fleet};
pub use http_call::{HttpResponse, call};
pub use links::Links;
pub use load::{LoadHandle, scenario};
pub use options::{ConfigSource, FleetOptions};
pub use ports::Ports;
pub use process::{ServerProcess, program_path, spawn};
pub use usage::ProcessUsage;
