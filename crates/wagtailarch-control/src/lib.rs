//! Control decisions without I/O: lease, orders, role planning, membership, generations.
//!
//! Every type accepts events and `now` (a monotonic time since an arbitrary epoch of the process)
//! and returns actions. A single control thread owns all of them. The crate has no clock, no
//! sockets and no source of randomness of its own.

mod engine_orders;
mod generation;
mod gossip;
mod gossip_origin;
mod lease;
mod ledger;
mod lifecycle;
mod membership;
mod outcome;
mod planner;
mod planner_capacity;
mod planner_demand;
mod rollout;
mod server_demand;
mod server_orders;
mod use_counter;
mod use_keepers;
mod use_report;
mod use_sums;
mod zone_status;

pub use generation::GenerationTracker;
pub use gossip::{EngineUpdate, Gossip, GossipConfig, GossipEvent, PeerView};
pub use lease::{Authority, Lease, LeaseAction, LeaseConfig};
pub use ledger::{OrderAction, OrderLedger, OrderProgress, OrderReport, OrderRequest, SendOutcome};
pub use lifecycle::{EngineLifecycle, LifecycleEvent, LifecyclePhase};
pub use membership::{BackendObservation, BackendStatus, Membership, MembershipConfig};
pub use outcome::{ReadOutcome, WriteOutcome};
pub use planner::{
    ChangeReason, Demand, Planner, PlannerConfig, PlannerGroup, RoleChange, ZoneEngine, ZoneView,
};
pub use rollout::{Rollout, RolloutAction, RolloutEngine, RolloutGroup, RolloutView};
pub use server_demand::ServerDemand;
pub use server_orders::{
    OrderFigures, ServerKind, ServerOrder, ServerOrderOutcome, ServerOrderReason, ServerOrders,
    ServerOrdersInput, ZoneServers,
};
pub use use_counter::UseCounter;
pub use use_keepers::use_keepers;
pub use use_report::{UseReport, UseReporter};
pub use use_sums::UseSums;
pub use zone_status::ZoneStatus;
