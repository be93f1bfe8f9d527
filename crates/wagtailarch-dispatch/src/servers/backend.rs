//! The state of a backend server in the traffic thread.

use wagtailarch_types::{InstanceId, VersionKey};

use crate::{
    BackendServer, EngineState, LimitStatement, PermitBucket, PermitHolder, ServerHealth,
    ServerPace,
};

/// Number of connections that each instance may open to a server, regardless of the number of
/// instances.
const MIN_CONNECTIONS: u32 = 1;

/// A usable backend server with its load and health.
#[derive(Debug)]
pub(crate) struct Backend {
    pub server: BackendServer,
    /// Key of the server's software version.
    pub version_key: VersionKey,
    pub health: ServerHealth,
    /// Pace of a plain server; an engine's is in its state.
    pub pace: ServerPace,
    /// Health at the time at which the path to the service was suspected to be lost; absent while it
    /// is direct.
    pub health_before_loss: Option<ServerHealth>,
    /// Requests of this instance that were sent and have no complete response.
    pub in_flight: u32,
    /// Connections that the server accepts from all instances together; 0 if it has no limit.
    pub max_connections: u32,
    /// Running and waiting requests per slot in the last report of the server.
    pub reported_load: f64,
    /// Rate limit that the server names.
    pub limit: LimitStatement,
    /// Instance that coordinates that limit; `None` while there is no limit or no member is known.
    pub coordinator: Option<InstanceId>,
    /// Permits of this instance for requests within that limit.
    pub permits: PermitHolder,
    /// Permits that this instance grants as coordinator of the limit.
    pub bucket: PermitBucket,
    /// State of an engine; absent for plain servers.
    pub engine: Option<EngineState>,
}

impl Backend {
    /// Returns whether this instance uses its equal share of the connections, of `instances`
    /// instances.
    ///
    /// The server resets connections beyond its limit, and it is unknown whether a request on a
    /// connection that was reset has run.
    pub(crate) fn at_connection_limit(&self, instances: u32) -> bool {
        let share = (self.max_connections / instances.max(1)).max(MIN_CONNECTIONS);
        self.max_connections > 0 && self.in_flight >= share
    }
}
