//! Policy experiments in virtual time.
//!
//! The decision code that runs in production ([`Router`](wagtailarch_traffic::Router),
//! [`Admission`](wagtailarch_traffic::Admission) and the role
//! [`Planner`](wagtailarch_control::Planner)) drives a small model of engines. The model is a fake
//! at the interfaces of that code, not a simulator of a cluster; `docs/policy.md` describes it.

mod engine;
mod fleet;
mod foresight;
mod job;
mod outcome;
mod plot;
mod policy;
mod report;
mod roles;
mod routing;
mod scenario;
mod suite;
mod workload;
mod world;

pub use engine::EngineModel;
pub use fleet::FleetKind;
pub use outcome::{RunOutcome, Sample};
pub use plot::{PlotError, plot};
pub use policy::PolicyKind;
pub use report::{ReportError, print_table, print_targets, write_csv};
pub use scenario::{Fault, LoadPoint, Scenario, ScenarioError};
pub use suite::{Case, CaseResult, run_case, run_suite};
pub use workload::{RequestSpec, Workload};
