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
mod probe;
mod slope;
mod table;
mod teams;
mod zone;

pub use error::CapacityError;
pub use line::{Line, Point};
pub use slope::{DESIGN, DesignSize, Measured, Slope, slopes};
pub use table::{Format, write_table};
