//! The load and experiment tool.
//!
//! [`load`] drives real entry instances and checks every answer against the token function of the
//! stand-in engines. [`experiment`] compares policies in virtual time.

pub mod experiment;
pub mod load;
