//! The load report of plain services: a JSON body over HTTP.

use serde::{Deserialize, Serialize};
use wagtailarch_types::{BackendState, BootId, InstanceId};

/// Path of the load report; a service may not have it.
pub const REPORT_PATH: &str = "/service/v1/report";

/// Load report of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: InstanceId,
    /// Start of the process.
    pub boot_id: BootId,
    /// Sequence number; it rises within one boot.
    pub seq: u64,
    /// Calls that run now, those of all instances.
    pub running: u32,
    /// Calls that the service can run at once.
    pub max_running: u32,
    /// Serving or draining.
    pub state: BackendState,
}
