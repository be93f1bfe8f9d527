//! Backend servers, as described by their registrations.

use std::net::SocketAddr;

use wagtailarch_types::{InstanceId, Role, ServiceName, SoftwareVersion, VersionKey, ZoneName};

/// A backend server, as described by its registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Identifier; a restarted server may keep it.
    pub id: InstanceId,
    /// Start time that the server reports, in milliseconds since the Unix epoch.
    ///
    /// It distinguishes and orders the starts of a server, and is never compared with a clock.
    pub started_unix_ms: u64,
    /// Number of the heartbeat that wrote the registration; it rises until the server restarts.
    pub heartbeat: u64,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server has announced that it leaves.
    pub leaving: bool,
    /// Whether the platform may reclaim the server at short notice, together with the others of its
    /// zone.
    pub reclaimable: bool,
    /// Role of an engine; absent for plain services.
    pub role: Option<Role>,
}

/// Identifier and address of a server that was selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// Identifier.
    pub id: InstanceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Key of that version.
    pub version_key: VersionKey,
    /// Start time of the process with that version; see [`BackendServer::started_unix_ms`].
    pub started_unix_ms: u64,
}

/// One start of a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerProcess {
    /// Identifier of the server.
    pub id: InstanceId,
    /// Its start time; see [`BackendServer::started_unix_ms`].
    pub started_unix_ms: u64,
}

impl ServerEndpoint {
    /// Returns the start of the server that was selected.
    pub fn process(&self) -> ServerProcess {
        ServerProcess {
            id: self.id.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }
}

/// Returns the key of a software version of a service.
pub fn version_key(service: &str, version: &str) -> VersionKey {
    xxhash_rust::xxh3::xxh3_64_with_seed(
        version.as_bytes(),
        xxhash_rust::xxh3::xxh3_64(service.as_bytes()),
    )
}

impl BackendServer {
    /// Returns the identifier and address for a call to the server.
    pub fn endpoint(&self) -> ServerEndpoint {
        ServerEndpoint {
            id: self.id.clone(),
            address: self.address,
            version: self.version.clone(),
            version_key: self.version_key(),
            started_unix_ms: self.started_unix_ms,
        }
    }

    /// Returns what distinguishes this start of the server from others.
    pub fn process(&self) -> ServerProcess {
        ServerProcess {
            id: self.id.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }

    /// Returns the key of the software version of the server's service.
    pub fn version_key(&self) -> VersionKey {
        version_key(&self.service, &self.version)
    }

    /// Returns whether `other` describes the same server without a restart in between, at the same
    /// address.
    pub fn same_process(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_unix_ms == other.started_unix_ms
            && self.address == other.address
            && self.service == other.service
            && self.version == other.version
    }
}
