//! Stand-in for the platform: objects, watches and the list of instances, in memory.

mod faults;
mod instances;
mod server;
mod store;

pub use faults::{LostResponses, Milliseconds, PlatformCounters};
pub use instances::InstanceRegistry;
pub use server::{PLATFORM_HELP, PlatformSettings, StateChange, run_platform};
pub use store::{Precondition, Store, StoreError};
