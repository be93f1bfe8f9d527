//! The control thread: it owns all control state and publishes what traffic threads read.

mod backends;
mod calls;
mod chunk_fetch;
mod configuration;
mod driver;
mod exchange;
mod gossip;
mod order_call;
mod peer_config;
mod remote_usage;
mod service_loads;
mod thread;
mod zone;

pub use thread::{ControlError, ControlInputs, ControlThread};
