//! Backend servers, their health and their state at this instance.

pub(crate) mod backend;
mod server;
mod server_health;
mod server_pace;
mod usual_time;

pub use server::{BackendServer, ServerEndpoint, ServerProcess, version_key};
pub use server_health::ServerHealth;
pub use server_pace::ServerPace;
pub use usual_time::UsualTime;
