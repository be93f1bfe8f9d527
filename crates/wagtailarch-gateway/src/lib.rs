//! The entry instance on the users' platform: sockets, clocks and the flow of requests.
//!
//! The control thread ([`control`]) watches the store and publishes a [`snapshot::Snapshot`]; the
//! traffic thread serves clients with it. `wagtailarch-dispatch` decides how a request is handled;
//! `wagtailarch-adapter` defines the names and formats of the platform.

mod attempts;
mod backend_client;
mod body_buffer;
mod client_meter;
mod connection;
mod control;
mod duty_settings;
mod engine_report;
mod explain;
mod forward;
mod gateway;
mod generation;
mod guards;
mod held_run;
mod http_client;
mod metered_stream;
mod metrics;
mod open_requests;
mod origins;
mod outbox;
mod panic_handling;
mod paths;
mod peers;
mod pending_notes;
mod permits;
mod plain;
mod process;
mod refusal;
mod relayed_run;
mod reload;
mod request_context;
mod response_body;
mod response_meter;
mod second_call;
mod server;
mod server_ends;
mod settings;
mod snapshot;
mod stall_detector;
mod status_server;
mod stream_relay;
mod team_use;
mod traffic_view;

pub use panic_handling::{catch_panic, log_panics, restart_on_panic};
pub use process::{StartError, run, run_until};
pub use settings::{Settings, SettingsError, parse_settings};
