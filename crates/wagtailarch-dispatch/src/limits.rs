//! Rate limits of servers, their permits, and the retry budget.

mod limit_members;
mod limit_statement;
mod permit_bucket;
mod permit_holder;
mod rate_limit;
mod request_arrivals;
mod retry_window;

pub use limit_members::LimitMembers;
pub use limit_statement::LimitStatement;
pub use permit_bucket::PermitBucket;
pub use permit_holder::{HolderStep, PermitHolder};
pub use rate_limit::{NamedLimit, RateLimit};
pub use request_arrivals::{CallKind, RequestArrivals};
pub use retry_window::{RetryWindow, SharedRetryBudget};
