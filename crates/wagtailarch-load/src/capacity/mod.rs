//! Capacity measurements: how the cost of the decision code grows with the size of a fleet.
//!
//! Each [`Measurement`] runs production code at several sizes. A [`Line`] is fitted to the results
//! and evaluated at the design size, which section 2 of `docs/design.md` defines.

mod claims;
mod config;
mod dispatch;
mod engines;
mod error;
mod gossip;
mod line;
mod measurement;
mod probe;
mod table;
mod teams;
mod zone;

pub use error::CapacityError;
pub use line::{Line, Point};
pub use measurement::{DESIGN_SIZE, DesignSize, Measurement, MeasurementResult, measurements};
pub use table::{TableFormat, write_table};
