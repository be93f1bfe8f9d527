//! Decisions on requests that are passed to backend servers: routes, membership, health, placing and
//! retry budgets.
//!
//! Nothing here has a socket, a clock or randomness of its own: `now` is a monotonic time since the
//! start of the process and an input like every other. The traffic thread owns the [`Board`]; the
//! control thread owns the [`Membership`].

mod backend;
mod board;
mod engine_state;
mod evidence;
mod listing;
mod membership;
mod note_routes;
mod order_claim;
mod placement;
mod prefix_cache;
mod read_pace;
mod read_queue;
mod relay_log;
mod relay_plan;
mod request;
mod retry_window;
mod role_plan;
mod routing;
mod server;
mod shutdown;
mod urgent_load;
mod watch_plan;

pub use board::{Board, ServerLoad};
pub use engine_state::EngineState;
pub use evidence::Evidence;
pub use listing::Listing;
pub use membership::{Change, Membership};
pub use note_routes::NoteRoutes;
pub use order_claim::{ClaimContent, ClaimStep, OrderClaim};
pub use placement::{GenerationRequest, Placement, Plan, ReadPlan};
pub use prefix_cache::PrefixCache;
pub use read_pace::ReadPace;
pub use read_queue::{QueuedPrompt, ReadNumber, ReadQueue};
pub use relay_log::{RelayChange, RelayLog, RelayView};
pub use relay_plan::{RelayPlan, Source};
pub use request::{PrefixLink, Prompt, PromptPart, RequestKind};
pub use retry_window::{RetryShare, RetryWindow};
pub use role_plan::{PlannedEngine, RoleChange, RoleDemand, RolePlan, RoleSituation};
pub use routing::{ClientLimits, EngineTraits, Route, RouteTarget, RoutingConfig, ServiceConfig};
pub use server::{BackendServer, ServerChoice};
pub use shutdown::{ShutdownPhase, ShutdownPlan};
pub use urgent_load::UrgentLoad;
pub use wagtailarch_types::Urgency;
pub use watch_plan::{is_designated, watch_wait};
