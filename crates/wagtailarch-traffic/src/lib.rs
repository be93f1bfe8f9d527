//! Traffic decisions without I/O: routing, admission, retry, claims, quarantine, answers.
//!
//! Nothing here has a socket, a clock or randomness of its own: `now` and the seed are inputs.
//! Every type but [`ClaimLog`] and [`Assembler`] is shared by the traffic threads and takes
//! `&self`.

mod admission;
mod affinity;
mod assembler;
mod backend_view;
mod claim_log;
mod claim_record;
mod group_load;
mod quarantine;
mod retry_budget;
mod retry_policy;
mod router;
mod selection;
mod slot;
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
pub use quarantine::{Quarantine, StrikeEvent, StrikeKind, Verdict};
pub use retry_budget::RetryBudget;
pub use retry_policy::{AttemptFailure, RequestTraits, RetryDecision, RetryPolicy};
pub use router::Router;
pub use selection::{Selection, SelectionRequest};
