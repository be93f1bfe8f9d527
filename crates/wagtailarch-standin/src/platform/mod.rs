//! The stand-in of the platform: objects, watches and the list of instances, in memory.

mod faults;
mod instances;
mod server;
mod store;

pub use faults::{LostAnswers, Milliseconds, PlatformCounters};
pub use instances::Instances;
pub use server::{PLATFORM_HELP, PlatformSettings, StateChange, run_platform};
pub use store::{Condition, Store, StoreError};
