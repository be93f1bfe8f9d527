//! Paths to the servers of a service, and requests that go through another instance.

mod call_numbers;
mod crash_check;
mod forward_targets;
pub(crate) mod service_path;
mod service_paths;

pub use call_numbers::CallNumbers;
pub use crash_check::{CrashCheck, CrashStep};
pub use forward_targets::{ForwardRequest, ForwardResult, ForwardTargets, MAX_SERVED_FOR_PEERS};
pub use service_path::{ConnectAttempt, PathChange, PathState, ServicePath};
pub use service_paths::ServicePaths;
