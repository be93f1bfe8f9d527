//! Which servers are registered, leaving or of another software version, and where streams began.

mod departures;
mod leaving_servers;
mod origin_keepers;
mod registration_tracker;
mod server_list;
pub(crate) mod service_versions;
pub(crate) mod stream_origins;

pub use departures::Departures;
pub use leaving_servers::LeavingServers;
pub use origin_keepers::{asked_keepers, origin_keepers};
pub use registration_tracker::RegistrationTracker;
pub use server_list::{Membership, MembershipChange};
pub use service_versions::{ServiceVersions, service_key};
pub use stream_origins::{STREAM_LIFETIME, StreamOrigins};
