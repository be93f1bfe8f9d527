//! Identifiers and enums shared by all crates of wagtailarch.
//!
//! This crate does no I/O. Identifiers are type aliases. Roles, states and reasons are enums whose
//! text form is stable, since it is used in logs, metric labels and JSON.

mod duty;
mod id;
mod outcome;
mod role;
mod scaling;
mod urgency;

pub use duty::{DutyKind, DutySubject};
pub use id::{
    AdapterName, AttemptNo, BootId, FencingNumber, Fingerprint, Generation, GroupName, HashedKey,
    InstanceId, ModelName, Nonce, ObjectVersion, RequestId, ServiceName, SoftwareVersion, TeamName,
    VersionKey, VersionName, ZoneName, fingerprint, format_request_id, hash_key, parse_request_id,
    rendezvous_weight,
};
pub use outcome::{Ran, RefusalReason, RetryReason};
pub use role::{Assignment, BackendKind, BackendState, Phase, Priority, Role};
pub use scaling::ScalingLimits;
pub use urgency::Urgency;
