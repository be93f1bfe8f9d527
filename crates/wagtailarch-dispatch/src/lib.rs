//! Decision logic for requests to backend servers: routing, membership, health, placement and retry
//! budgets.
//!
//! This crate performs no I/O and uses neither a clock nor randomness; the monotonic time since the
//! start of the process is passed in as `now`. The traffic thread owns the [`LoadBalancer`]; the
//! control thread owns the [`Membership`]. The crate serves `wagtailarch-gateway`, the entry
//! instance on the users' platform; `wagtailarch-entry` uses `wagtailarch-traffic` and
//! `wagtailarch-control` instead.

mod backend;
mod call_numbers;
mod crash_check;
mod designation;
mod engine_state;
mod forward_targets;
mod freshness;
mod leaving_servers;
mod limit_members;
mod limit_statement;
mod load_balancer;
mod membership;
mod note_routes;
mod order_claim;
mod origin_keepers;
mod part_blame;
mod part_evidence;
mod part_outputs;
mod permit_bucket;
mod permit_holder;
mod placement;
mod prefill_queue;
mod prefill_speed;
mod prefix_cache;
mod rate_limit;
mod read_limits;
mod registration_tracker;
mod relay_log;
mod relay_plan;
mod request;
mod request_arrivals;
mod retry_window;
mod role_plan;
mod routing;
mod server;
mod server_health;
mod service_path;
mod service_paths;
mod service_versions;
mod shutdown;
mod stream_origins;
mod time_left;
mod urgent_utilization;
mod versioned_list;

pub use call_numbers::CallNumbers;
pub use crash_check::{CrashCheck, CrashStep};
pub use designation::is_designated;
pub use engine_state::EngineState;
pub use forward_targets::{ForwardRequest, ForwardResult, ForwardTargets, MAX_SERVED_FOR_PEERS};
pub use freshness::{Freshness, StoreRead};
pub use leaving_servers::LeavingServers;
pub use limit_members::LimitMembers;
pub use limit_statement::LimitStatement;
pub use load_balancer::{LimitChange, LoadBalancer, PermitStep, ServerLoad};
pub use membership::{Membership, MembershipChange};
pub use note_routes::NoteRoutes;
pub use order_claim::{ClaimContent, ClaimStep, OrderClaim};
pub use origin_keepers::{asked_keepers, origin_keepers};
pub use part_evidence::{PartEvidence, PartVerdict};
pub use permit_bucket::PermitBucket;
pub use permit_holder::{HolderStep, PermitHolder};
pub use placement::{GenerationPlan, GenerationRequest, Placement, PrefillPlan};
pub use prefill_queue::{PrefillNumber, PrefillQueue, QueuedPrompt};
pub use prefill_speed::{PrefillSample, PrefillSpeed};
pub use prefix_cache::PrefixCache;
pub use rate_limit::{NamedLimit, RateLimit};
pub use read_limits::ReadLimits;
pub use registration_tracker::RegistrationTracker;
pub use relay_log::{LogSource, MAX_RELAYED_BYTES, RelayChange, RelayLog, RelayView};
pub use relay_plan::{RelayPlan, UpdateSource};
pub use request::{PrefixLink, Prompt, PromptPart, RequestKind};
pub use request_arrivals::{CallKind, RequestArrivals};
pub use retry_window::{RetryWindow, SharedRetryBudget};
pub use role_plan::{PlannedEngine, RoleChange, RoleDemand, RolePlan, RolePlanInput};
pub use routing::{
    ClientLimits, EngineProperties, Route, RouteTarget, RoutingConfig, ServiceConfig,
};
pub use server::{BackendServer, ServerEndpoint, ServerProcess, version_key};
pub use server_health::ServerHealth;
pub use service_path::{ConnectAttempt, PathChange, PathState, ServicePath};
pub use service_paths::ServicePaths;
pub use service_versions::{ServiceVersions, service_key};
pub use shutdown::{ShutdownPhase, ShutdownPlan};
pub use stream_origins::{STREAM_LIFETIME, StreamOrigins};
pub use time_left::TimeLeft;
pub use urgent_utilization::UrgentUtilization;
pub use versioned_list::VersionedList;
pub use wagtailarch_types::Urgency;
