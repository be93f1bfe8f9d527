//! The control thread: it owns all control state and publishes what traffic threads read.

mod backends;
mod thread;

pub use thread::{ControlError, ControlInputs, ControlThread};
