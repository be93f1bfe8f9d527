//! The fleet file: what an operator applies as a whole.
//!
//! [`Fleet`] is the typed form of the TOML file. This crate does no I/O.

mod model;

pub use model::{
    Fleet, FleetSection, Group, GroupKind, Model, Policy, RoleBounds, RoleTable, Route, Service,
    Team,
};
