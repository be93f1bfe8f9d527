//! Messages between processes.
//!
//! [`engine`] holds the engine protocol, [`platform`] the platform protocol, [`records`] the
//! system's own objects in the platform and [`status`] the status records of the availability
//! zones, all JSON; [`peer`] holds the postcard messages between instances.

pub mod engine;
pub mod peer;
pub mod platform;
pub mod records;
pub mod status;
