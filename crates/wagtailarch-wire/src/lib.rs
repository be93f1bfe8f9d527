//! Messages between processes.
//!
//! [`engine`] holds the engine protocol and [`platform`] the platform protocol, both JSON.

pub mod engine;
pub mod platform;
