//! The entry instance on the users' platform: sockets, clocks and the flow of requests.
//!
//! The control thread ([`control`]) watches the store and publishes a [`snapshot::Snapshot`]; the
//! traffic thread serves clients with it. What happens to a request is decided by
//! `wagtailarch-dispatch`; names and formats of the platform are in `wagtailarch-adapter`.

mod answer_body;
mod attempts;
mod backend_client;
mod client_clock;
mod connection;
mod control;
mod event_splitter;
mod gateway;
mod generation;
mod guards;
mod held_bytes;
mod http_client;
mod job;
mod metered_stream;
mod metrics;
mod outbox;
mod panic_handling;
mod peers;
mod pending_notes;
mod plain;
mod process;
mod read_allowance;
mod ready;
mod refusal;
mod relay;
mod reload;
mod server;
mod settings;
mod snapshot;
mod traffic_view;

pub use event_splitter::{EventSplitter, EventTooLong, StreamEvent};
pub use panic_handling::{catch_panic, log_panics, restart_on_panic};
pub use process::{StartError, run, run_until};
pub use settings::{Settings, SettingsError, parse_settings};
