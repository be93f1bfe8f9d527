//! Open-loop load on real entry instances with a check of every answer.
//!
//! A [`Scenario`] says what is sent; [`run_load`] sends it to [`Targets`] and returns a
//! [`LoadReport`]. Times are histograms in microseconds.

mod answer;
mod client;
mod direct;
mod outcome;
mod plain;
mod plan;
mod recorder;
mod report;
mod run;
mod scenario;

pub use outcome::{Kind, Outcome, Refusal};
pub use plan::{Arrival, Plan};
pub use report::{Fault, KindReport, LoadReport, Percentiles, RefusalCount};
pub use run::{Load, LoadError, Progress, Targets, run_load};
pub use scenario::{DirectCall, MixPhase, Range, Scenario, ScenarioError, Weights};
