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

pub use outcome::{Refusal, RequestKind, RequestOutcome};
pub use plan::{Arrival, ArrivalSchedule};
pub use report::{KindReport, LoadReport, Percentiles, RefusalCount, RequestFault};
pub use run::{LoadConfig, LoadError, Progress, Targets, run_load};
pub use scenario::{DirectCall, KindWeights, MixPhase, Scenario, ScenarioError, TokenRange};
