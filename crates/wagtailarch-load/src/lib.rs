//! The load and experiment tool.
//!
//! [`load`] drives real entry instances and checks every answer against the token function of the
//! stand-in engines. [`experiment`] compares policies in virtual time. [`capacity`] measures how
//! the cost of the decision code grows with the size of a fleet.

pub mod capacity;
pub mod experiment;
pub mod load;
