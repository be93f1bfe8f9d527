//! The entry instance: client side HTTP, engine client, control thread, metrics and logs.
//!
//! [`Instance::start`] binds the addresses of [`Settings`] and serves on the current tokio runtime;
//! control state lives in a thread of its own.

mod admin;
mod auth;
mod body;
mod chat;
mod control;
mod engine_client;
mod instance;
mod logging;
mod metrics;
mod proxy;
mod refusal;
mod request;
mod routing;
mod server;
mod settings;
mod settings_check;
mod shared;
mod snapshot;

pub use control::ControlError;
pub use instance::{Instance, StartError};
pub use logging::{discard, logger};
pub use metrics::Metrics;
pub use settings::{AdminKey, Limits, PeerKeys, Settings, Timeouts};
pub use settings_check::{Finding, parse_settings};
pub use shared::{Shared, Stage};
pub use snapshot::Snapshot;
