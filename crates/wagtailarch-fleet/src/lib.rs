//! The fleet file: what an operator applies as a whole.
//!
//! [`Fleet`] is the typed form of the TOML file; [`Fleet::parse`] collects every fault of a file
//! as a [`Finding`]. This crate does no I/O.

mod check;
mod check_services;
mod check_teams;
mod draft;
mod finding;
mod model;
mod parse;
mod reader;
mod schema;
mod sink;

pub use check_teams::{format_key_hash, parse_key_hash};
pub use finding::Finding;
pub use model::{
    Fleet, FleetSection, Group, GroupKind, Model, Policy, RoleBounds, RoleTable, Route, Service,
    Team,
};
pub use parse::MAX_FILE_BYTES;
