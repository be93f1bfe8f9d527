//! What instances read from the store and pass on to each other.

mod freshness;
mod note_routes;
mod paged_list;
mod read_limits;
mod relay_log;
pub(crate) mod relay_plan;
mod store_access;
mod store_loss;
mod versioned_list;

pub use freshness::{Freshness, StoreRead};
pub use note_routes::NoteRoutes;
pub use paged_list::{NextPage, PagedList};
pub use read_limits::{DEFAULT_RECOVERY_MARGIN, ReadLimits};
pub use relay_log::{LogSource, MAX_RELAYED_BYTES, RelayChange, RelayLog, RelayView};
pub use relay_plan::{RelayPlan, UpdateSource};
pub use store_access::{ReaderName, StoreAccess, StoreFailure};
pub use store_loss::StoreLoss;
pub use versioned_list::VersionedList;
