//! Logging and counters of the processes.

mod counters;
mod line_rate_limit;
mod logging;
mod outcome_counters;

pub use counters::{LabeledCounters, register_counters};
pub use line_rate_limit::{LineDecision, LineRateLimit};
pub use logging::{ProcessLog, discard_logger};
pub use outcome_counters::OutcomeCounters;
