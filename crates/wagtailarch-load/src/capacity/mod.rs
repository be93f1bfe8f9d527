//! Capacity measurements: the cost of the decision code over several sizes, and a line through it.
//!
//! Every [`Slope`] measures one quantity at several sizes on the code that runs in production, and
//! [`Line`] extends it to the design size of section 2 of the design page.

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
