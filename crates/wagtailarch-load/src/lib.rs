//! The load and experiment tool.
//!
//! [`load`] drives real entry instances and checks every answer against the token function of the
//! stand-in engines.

pub mod load;
