//! Stand-ins for external systems in tests and demonstrations; not for production.
//!
//! The modules [`engine`], [`platform`], [`service`], [`balancer`] and [`link`] implement one
//! program each. [`token`] defines the output of the stand-in engines, which clients use to check
//! what they received.

pub mod balancer;
pub mod engine;
pub mod link;
pub mod log;
pub mod platform;
pub mod serve;
pub mod service;
pub mod token;
