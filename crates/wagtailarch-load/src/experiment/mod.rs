//! Comparison of routing, admission and role policies in virtual time.
//!
//! The production code for these decisions ([`Router`](wagtailarch_traffic::Router),
//! [`Admission`](wagtailarch_traffic::Admission) and the role
//! [`Planner`](wagtailarch_control::Planner)) runs against a small model of engines. The model
//! covers only the inputs and outputs of that code and does not simulate a whole cluster;
//! `docs/policy.md` describes it.

mod active_request;
mod engine;
mod entry_instance;
mod fleet;
mod foresight;
mod outcome;
mod plot;
mod policy;
mod report;
mod roles;
mod scenario;
mod simulation;
mod suite;
mod workload;

pub use engine::EngineModel;
pub use fleet::FleetKind;
pub use outcome::{RunOutcome, Sample};
pub use plot::{PlotError, plot};
pub use policy::PolicyKind;
pub use report::{ReportError, print_table, print_targets, write_csv};
pub use scenario::{Fault, LoadPoint, Scenario, ScenarioError};
pub use suite::{Case, CaseResult, run_case, run_suite};
pub use workload::{RequestSpec, Workload};
