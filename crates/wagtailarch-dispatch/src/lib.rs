//! Decision logic for requests to backend servers: routing, membership, health, placement and retry
//! budgets.
//!
//! This crate performs no I/O and uses neither a clock nor randomness; the monotonic time since the
//! start of the process is passed in as `now`. The traffic thread owns the [`LoadBalancer`]; the
//! control thread owns the [`Membership`]. The crate serves `wagtailarch-gateway`, the entry
//! instance on the users' platform; `wagtailarch-entry` uses `wagtailarch-traffic` and
//! `wagtailarch-control` instead.

mod evidence;
mod limits;
mod membership;
mod orders;
mod paths;
mod placing;
mod relays;
mod request;
mod routing;
mod second_calls;
mod servers;
mod shutdown;
mod time_left;

pub use evidence::{PartEvidence, PartVerdict};
pub use limits::{
    CallKind, HolderStep, LimitMembers, LimitStatement, NamedLimit, PermitBucket, PermitHolder,
    RateLimit, RequestArrivals, RetryWindow, SharedRetryBudget,
};
pub use membership::{
    Departures, LeavingServers, Membership, MembershipChange, RegistrationTracker, STREAM_LIFETIME,
    ServiceVersions, StreamOrigins, asked_keepers, origin_keepers, service_key,
};
pub use orders::{
    ClaimContent, ClaimStep, OrderClaim, PlannedEngine, RoleChange, RoleDemand, RolePlan,
    RolePlanInput, is_designated,
};
pub use paths::{
    CallNumbers, ConnectAttempt, CrashCheck, CrashStep, ForwardRequest, ForwardResult,
    ForwardTargets, MAX_SERVED_FOR_PEERS, PathChange, PathState, ServicePath, ServicePaths,
};
pub use placing::{
    EngineState, EngineUse, GenerationPlan, GenerationRequest, LimitChange, LoadBalancer,
    PermitStep, Placement, PrefillNumber, PrefillPlan, PrefillQueue, PrefillSample, PrefillSpeed,
    PrefixCache, QueuedPrompt, ServerLoad, UrgentUtilization,
};
pub use relays::{
    DEFAULT_RECOVERY_MARGIN, Freshness, LogSource, MAX_RELAYED_BYTES, NextPage, NoteRoutes,
    PagedList, ReadLimits, ReaderName, RelayChange, RelayLog, RelayPlan, RelayView, StoreAccess,
    StoreFailure, StoreLoss, StoreRead, UpdateSource, VersionedList,
};
pub use request::{PrefixLink, Prompt, PromptPart, RequestKind};
pub use routing::{
    Access, ClientLimits, EngineProperties, Route, RouteTarget, RoutingConfig, ServiceConfig,
};
pub use second_calls::{CallClass, EndedCall, SecondCallDenial, SecondCalls, SizeClass, SlowCall};
pub use servers::{
    BackendServer, ServerEndpoint, ServerHealth, ServerPace, ServerProcess, UsualTime, version_key,
};
pub use shutdown::{ShutdownPhase, ShutdownPlan};
pub use time_left::TimeLeft;
pub use wagtailarch_types::Urgency;
