//! Open-loop load on real entry instances, with a check of every response.
//!
//! A [`Scenario`] describes the requests; [`run_load`] sends them to [`Targets`] and returns a
//! [`LoadReport`]. Times are recorded in histograms of microseconds.

mod client;
mod direct;
mod outcome;
mod plain;
mod recorder;
mod report;
mod response;
mod run;
mod scenario;
mod schedule;

pub use outcome::{Refusal, RequestKind, RequestOutcome};
pub use report::{KindReport, LoadReport, Percentiles, RefusalCount, RequestFault};
pub use run::{LoadConfig, LoadError, Progress, Targets, run_load};
pub use scenario::{DirectCall, KindWeights, MixPhase, Scenario, ScenarioError, TokenRange};
pub use schedule::{Arrival, ArrivalSchedule};
