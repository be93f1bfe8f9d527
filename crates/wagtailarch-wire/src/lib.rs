//! Messages between processes.
//!
//! The JSON messages are in [`engine`] (the engine protocol), [`service`] (the load report of plain
//! services), [`platform`] (the platform protocol) and [`records`] (the objects that the system
//! stores in the platform) and [`explanation`] (where a request would go). The messages between
//! instances are encoded with postcard: [`peer`], [`load_note`] with [`part_report`] and
//! [`path_report`], [`permit`], [`origin`], [`team_use`], [`relay`] for requests to relays, and
//! [`forward`] for clients' requests that go through another instance. [`connection_headers`] removes
//! the headers that must not be forwarded. [`response_status`], [`body_framing`] and [`event_splitter`]
//! show whether a response is valid and whole.

pub mod body_framing;
pub mod connection_headers;
pub mod engine;
pub mod event_splitter;
pub mod explanation;
pub mod forward;
pub mod load_note;
pub mod origin;
pub mod part_report;
pub mod path_report;
pub mod peer;
pub mod permit;
pub mod platform;
pub mod records;
pub mod relay;
pub mod response_status;
pub mod service;
pub mod team_use;
