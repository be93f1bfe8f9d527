//! The entry instance: HTTP server for clients, HTTP client of the backend servers, connections to
//! peers, control thread, metrics and logs.
//!
//! [`Instance::start`] binds the addresses in [`Settings`] and serves requests on the current tokio
//! runtime. A separate thread owns the control state.

mod admin;
mod admin_api;
mod attempts;
mod auth;
mod backend_stream;
mod body;
mod capacity;
mod chat;
mod claims;
mod client_io;
mod client_tls;
mod control;
mod drain;
mod engine_client;
mod events;
mod in_flight;
mod instance;
mod metrics;
mod peers;
mod proxy;
mod proxy_message;
mod proxy_response;
mod refusal;
mod request;
mod server;
mod server_ends;
mod settings;
mod settings_check;
mod shared;
mod snapshot;

pub use control::ControlError;
pub use events::ControlEvent;
pub use instance::{Instance, StartError};
pub use metrics::Metrics;
pub use peers::{
    KeyError, PeerAddress, PeerError, PeerEvent, PeerIdentity, Peers, TlsError, create_authority,
    create_instance_certificate,
};
pub use settings::{AdminKey, ClientTls, Limits, PeerKeys, PeerSeed, Settings, Timeouts};
pub use settings_check::{Finding, parse_settings};
pub use shared::{Shared, Stage};
pub use snapshot::Snapshot;
