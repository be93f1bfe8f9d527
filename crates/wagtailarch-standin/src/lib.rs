//! Stand-ins for outside systems; not for production.
//!
//! [`token`] is the function that every stand-in engine answers with; clients check answers with
//! it. [`engine`], [`platform`], [`service`], [`balancer`] and
//! [`link`] hold the programs.

pub mod balancer;
pub mod engine;
pub mod link;
pub mod log;
pub mod platform;
pub mod serve;
pub mod service;
pub mod token;
