//! Load generation, policy experiments and capacity measurements.
//!
//! [`load`] sends requests to real entry instances and checks every response against the token
//! function of the stand-in engines. [`experiment`] compares policies in virtual time. [`capacity`]
//! measures how the cost of the decision code grows with the size of a fleet.

pub mod capacity;
pub mod experiment;
pub mod load;
