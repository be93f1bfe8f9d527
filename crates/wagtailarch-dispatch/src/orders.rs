//! Which instance gives an order, and the claims by which it may.

mod designation;
mod order_claim;
mod role_plan;

pub use designation::is_designated;
pub use order_claim::{ClaimContent, ClaimStep, OrderClaim};
pub use role_plan::{PlannedEngine, RoleChange, RoleDemand, RolePlan, RolePlanInput};
