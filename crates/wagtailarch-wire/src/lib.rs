//! Messages between processes.
//!
//! [`engine`] holds the engine protocol and [`platform`] the platform protocol, both JSON;
//! [`records`] the system's own objects in the platform, JSON too; [`peer`] the postcard messages
//! between instances.

pub mod engine;
pub mod peer;
pub mod platform;
pub mod records;
