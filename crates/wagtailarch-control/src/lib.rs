//! Control decisions without I/O: lease, orders, role plan, leaving, generations.
//!
//! Every type takes events and `now` (a monotonic time since an arbitrary epoch of the process)
//! and returns actions. One control thread owns them all; nothing here has a clock, a socket or
//! randomness of its own.

mod generation;
mod gossip;
mod gossip_origin;
mod lease;
mod ledger;
mod ledger_slot;
mod lifecycle;
mod membership;
mod outcome;
mod planner;
mod planner_capacity;
mod planner_demand;
mod rollout;
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
pub use zone_status::ZoneStatus;
