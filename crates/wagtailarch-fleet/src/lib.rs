//! The fleet file: the configuration of a whole fleet in TOML.
//!
//! [`Fleet::parse`] parses and validates a file and returns every error in it as a [`Finding`].
//! [`split`] serializes a [`Fleet`] into content-addressed parts, which a [`Manifest`] references,
//! and [`assemble`] restores the fleet from them. This crate does no I/O.

mod check;
mod check_services;
mod check_teams;
mod diff;
mod draft;
mod finding;
mod manifest;
mod model;
mod parse;
mod part;
mod reader;
mod render;
mod schema;
mod sink;
mod split;

pub use check_teams::{format_key_hash, parse_key_hash};
pub use diff::{ChangeKind, FieldChange, FleetDiff, TableChange, diff};
pub use finding::Finding;
pub use manifest::{
    FleetContent, MANIFEST_KEY, MAX_APPLIED_BY_CHARS, MAX_RECENT_APPLIES, Manifest, RecentApply,
    TeamIndex,
};
pub use model::{
    Fleet, FleetSection, Group, GroupKind, Model, Policy, RoleBounds, RoleTable, Route, Service,
    Team,
};
pub use parse::MAX_FILE_BYTES;
pub use part::{PART_KEY_PREFIX, PartError, PartHash, Parts, check_part, part_hash, part_key};
pub use split::{assemble, missing_parts, referenced_parts, split};
