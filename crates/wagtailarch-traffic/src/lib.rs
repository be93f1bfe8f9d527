//! Traffic decisions without I/O: routing, admission, retry, claims, quarantine, responses.
//!
//! The crate opens no sockets, reads no clock and draws no entropy: the current time and the seeds
//! are parameters. The traffic threads share every type but [`ClaimLog`] and [`Assembler`], so the
//! methods of the others take `&self`.

mod admission;
mod affinity;
mod assembler;
mod backend_load;
mod backend_view;
mod claim_log;
mod claim_record;
mod group_load;
mod key_ring;
mod quarantine;
mod request_progress;
mod retry_budget;
mod retry_policy;
mod router;
mod selection;
mod server_life;
mod team_limit;

pub use admission::{Admission, AdmitRequest, Admitted, Refusal, TeamUsage};
pub use affinity::prefix_hashes;
pub use assembler::{Assembler, DropCounts, DropReason, FrameOutcome};
pub use backend_view::{BackendView, LoadReport};
pub use claim_log::{ClaimAction, ClaimLog, ClaimResult, ClaimTicket, CreateResult, ReadResult};
pub use claim_record::{
    CLAIM_PARTITIONS, ClaimBatch, ClaimKey, ClaimOutcome, ClaimRecord, MAX_OUTCOME_BYTES,
    claim_key, claim_partition,
};
pub use group_load::GroupCapacity;
pub use key_ring::{KeyRing, SharedKey};
pub use quarantine::{Quarantine, StrikeEvent, StrikeKind, Verdict};
pub use request_progress::RequestProgress;
pub use retry_budget::RetryBudget;
pub use retry_policy::{AttemptFailure, RequestTraits, RetryDecision, RetryPolicy};
pub use router::Router;
pub use selection::{Selection, SelectionRequest};
pub use server_life::{
    ANNOUNCEMENT_LIMIT, ConnectionEnd, Departure, EndVerdict, PortState, SIMULTANEOUS, ServerLife,
};
