//! Identifiers, closed sets and units shared by every crate of wagtailarch.
//!
//! This crate does no I/O. Identifiers are type aliases; closed sets are enums with a stable
//! textual form that is used in logs, metric labels and JSON.

mod id;
mod outcome;
mod role;
mod urgency;

pub use id::{
    AdapterName, AttemptNo, BootId, FencingNumber, Fingerprint, Generation, GroupName, HashedKey,
    InstanceId, ModelName, Nonce, ObjectVersion, RequestId, ServiceName, TeamName, VersionName,
    ZoneName, fingerprint, format_request_id, hash_key, parse_request_id, rendezvous_weight,
};
pub use outcome::{Ran, RefusalReason, RetryReason};
pub use role::{Assignment, BackendKind, BackendState, Phase, Priority, Role};
pub use urgency::Urgency;
