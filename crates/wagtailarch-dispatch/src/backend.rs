//! A backend server as the traffic thread sees it.

use crate::{BackendServer, EngineState, Evidence};

/// A usable backend server with what its answers have shown.
#[derive(Debug)]
pub(crate) struct Backend {
    pub server: BackendServer,
    pub evidence: Evidence,
    /// Requests of this instance that were sent and are not answered.
    pub in_flight: u32,
    /// Running and waiting requests per slot that the server told last.
    pub told_load: f64,
    /// Present for engines.
    pub engine: Option<EngineState>,
}
