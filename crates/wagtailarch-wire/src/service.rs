//! The load report of plain services: a JSON body over HTTP.

use serde::{Deserialize, Serialize};
use wagtailarch_types::{BackendState, BootId, InstanceId};

/// Path of the load report, which services need not provide.
pub const REPORT_PATH: &str = "/service/v1/report";

/// Load report of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: InstanceId,
    /// Identifies the start of the process.
    pub boot_id: BootId,
    /// Sequence number, which increases with each report of the same start.
    pub seq: u64,
    /// Number of running calls, from all instances.
    pub running: u32,
    /// Maximum number of calls that the service runs at the same time.
    pub max_running: u32,
    /// State: serving or draining.
    pub state: BackendState,
}
