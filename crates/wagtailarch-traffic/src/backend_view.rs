//! The local view of one backend server.

use std::time::Duration;

use smol_str::SmolStr;
use wagtailarch_types::{Assignment, BackendKind, BackendState, GroupName, InstanceId, ZoneName};
use wagtailarch_wire::engine::EngineReport;

/// The local view that an instance has of one backend server.
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
    /// Reported state; always `Serving` for plain services.
    pub state: BackendState,
    /// Last load report; `None` for plain services and before the first report.
    pub report: Option<LoadReport>,
    /// Age of `report` at the time of the update.
    pub report_age: Duration,
    /// Whether it takes new requests; false once it has failed or a report of its leaving arrived.
    pub accepting: bool,
    /// Time at which it began to serve, which is the start of its slow start.
    pub serving_since: Duration,
}

/// Load of an engine at the time of its report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Sequence number; two reports with the same number are the same report.
    pub seq: u64,
    /// Requests of all instances that run or wait.
    pub running: u32,
    /// Prompt tokens queued for prefill.
    pub queued_tokens: u64,
    /// Number of requests that the engine can decode concurrently.
    pub decode_slots: u32,
    /// Fraction of the KV cache in use, from 0 to 1.
    pub kv_used_ratio: f64,
    /// Recent prefill rate in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Recent decode rate in tokens per second.
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
