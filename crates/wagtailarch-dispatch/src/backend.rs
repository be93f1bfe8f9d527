//! A backend server as the traffic thread sees it.

use crate::{BackendServer, EngineState, ServerHealth};

/// Connections to a server that every instance may open, however many instances there are.
const MIN_CONNECTIONS: u32 = 2;

/// A usable backend server with what its answers have shown.
#[derive(Debug)]
pub(crate) struct Backend {
    pub server: BackendServer,
    pub evidence: ServerHealth,
    /// Requests of this instance that were sent and are not answered.
    pub in_flight: u32,
    /// Connections that the server accepts from all instances together; 0 if it states no limit.
    pub max_connections: u32,
    /// Running and waiting requests per slot that the server told last.
    pub told_load: f64,
    /// Present for engines.
    pub engine: Option<EngineState>,
}

impl Backend {
    /// Tells whether one of `instances` instances has used its equal part of the connections.
    ///
    /// The server resets connections beyond its limit, and a call that was reset may have run.
    pub(crate) fn full(&self, instances: u32) -> bool {
        let part = (self.max_connections / instances.max(1)).max(MIN_CONNECTIONS);
        self.max_connections > 0 && self.in_flight >= part
    }
}
