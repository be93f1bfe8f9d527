//! Selection of the servers and engines of a request.

mod engine_state;
mod load_balancer;
pub(crate) mod placement;
mod prefill_queue;
mod prefill_speed;
mod prefix_cache;
mod urgent_utilization;

pub use engine_state::EngineState;
pub use load_balancer::{EngineUse, LimitChange, LoadBalancer, PermitStep, ServerLoad};
pub use placement::{GenerationPlan, GenerationRequest, Placement, PrefillPlan};
pub use prefill_queue::{PrefillNumber, PrefillQueue, QueuedPrompt};
pub use prefill_speed::{PrefillSample, PrefillSpeed};
pub use prefix_cache::PrefixCache;
pub use urgent_utilization::UrgentUtilization;
