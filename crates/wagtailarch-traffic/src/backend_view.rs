//! What an instance knows of one backend server.

use std::time::Duration;

use smol_str::SmolStr;
use wagtailarch_types::{Assignment, BackendKind, BackendState, GroupName, InstanceId, ZoneName};
use wagtailarch_wire::engine::EngineReport;

/// What an instance knows of one backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendView {
    /// Name, unique over all backend servers.
    pub id: InstanceId,
    /// Group that it belongs to.
    pub group: GroupName,
    /// Engine or plain service.
    pub kind: BackendKind,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address (`ip:port`) for requests.
    pub address: SmolStr,
    /// What an engine serves; `None` for plain services and before the first report.
    pub assignment: Option<Assignment>,
    /// State that it reports; plain services are always `Serving`.
    pub state: BackendState,
    /// Last load report; `None` for plain services and before the first report.
    pub report: Option<LoadReport>,
    /// Age of `report` at the time of the update.
    pub report_age: Duration,
    /// False once a sign of leaving or a failure was seen.
    pub accepting: bool,
    /// Time since which it serves; slow start counts from here.
    pub serving_since: Duration,
}

/// Load of an engine at the time of its report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Sequence number; a report with the number of the previous one is the same report.
    pub seq: u64,
    /// Requests running or queued, those of all instances.
    pub running: u32,
    /// Prompt tokens that wait for processing.
    pub queued_tokens: u64,
    /// Requests that the engine can decode at once.
    pub decode_slots: u32,
    /// Share of the KV cache in use, from 0 to 1.
    pub kv_used_ratio: f64,
    /// Prompt tokens processed per second, lately.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated per second, lately.
    pub decode_tokens_per_s: f64,
}

impl From<&EngineReport> for LoadReport {
    fn from(report: &EngineReport) -> Self {
        Self {
            seq: report.seq,
            running: report.running,
            queued_tokens: report.queued_tokens,
            decode_slots: report.decode_slots,
            kv_used_ratio: report.kv_used_ratio,
            prefill_tokens_per_s: report.prefill_tokens_per_s,
            decode_tokens_per_s: report.decode_tokens_per_s,
        }
    }
}
