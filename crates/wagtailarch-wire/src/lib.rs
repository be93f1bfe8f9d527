//! Messages between processes.
//!
//! [`engine`] holds the engine protocol, [`platform`] the platform protocol and [`status`] the
//! status records of the availability zones, all JSON.

pub mod engine;
pub mod platform;
pub mod status;
