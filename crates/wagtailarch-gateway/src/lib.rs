//! The entry instance on the users' platform: sockets, clocks and the flow of requests.
//!
//! The control thread ([`control`]) watches the store and publishes a [`snapshot::Snapshot`]; the
//! traffic thread serves clients with it. What happens to a request is decided by
//! `wagtailarch-dispatch`; names and formats of the platform are in `wagtailarch-adapter`.

mod answer_body;
mod attempts;
mod backend_client;
mod client_stream;
mod connection;
mod control;
mod event_splitter;
mod gateway;
mod generation;
mod guards;
mod http_client;
mod job;
mod metrics;
mod outbox;
mod peers;
mod plain;
mod process;
mod ready;
mod refusal;
mod relay;
mod reload;
mod server;
mod settings;
mod snapshot;
mod traffic_view;

pub use event_splitter::{EventSplitter, StreamEvent};
pub use process::{StartError, run, run_until};
pub use settings::{Settings, SettingsError, parse_settings};
