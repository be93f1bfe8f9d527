//! Backend servers, their health and their state at this instance.

pub(crate) mod backend;
mod server;
mod server_health;

pub use server::{BackendServer, ServerEndpoint, ServerProcess, version_key};
pub use server_health::ServerHealth;
