//! Messages between processes.
//!
//! [`connection_headers`] tells which headers of a message are not passed on.
//! [`service`] holds the load report of plain services.
//! [`engine`] holds the engine protocol, [`platform`] the platform protocol and [`records`] the
//! system's own objects in the platform, all JSON; [`peer`] and [`load_note`] hold the postcard
//! messages between instances, and [`relay`] their questions to each other.

pub mod connection_headers;
pub mod engine;
pub mod load_note;
pub mod peer;
pub mod platform;
pub mod records;
pub mod relay;
pub mod service;
