//! Logs and counters of the programs.

mod counters;
mod line_limit;
mod logging;
mod outcome_counters;

pub use counters::{Counters, closed_counters};
pub use line_limit::{LineLimit, Verdict};
pub use logging::{ProcessLog, discard};
pub use outcome_counters::OutcomeCounters;
