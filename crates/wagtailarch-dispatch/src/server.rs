//! Backend servers as they register themselves.

use std::net::SocketAddr;

use wagtailarch_types::{InstanceId, Role, ServiceName, ZoneName};

/// One backend server, as its registration describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Identifier; a restarted server may keep it.
    pub id: InstanceId,
    /// Time of its start as it states it, in milliseconds since the Unix epoch.
    ///
    /// It only tells one start from another and is never compared with a clock.
    pub started_unix_ms: u64,
    /// Number of the registration; it rises within one start.
    pub heartbeat: u64,
    /// Service.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has said that it leaves.
    pub leaving: bool,
    /// Role of an engine; absent for plain services.
    pub role: Option<Role>,
}

/// A server that was chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// Identifier.
    pub id: InstanceId,
    /// Address.
    pub address: SocketAddr,
}

impl BackendServer {
    /// Returns what a call to the server needs.
    pub fn endpoint(&self) -> ServerEndpoint {
        ServerEndpoint {
            id: self.id.clone(),
            address: self.address,
        }
    }

    /// Tells whether `other` is the same start of the same server at the same address.
    pub fn same_start(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_unix_ms == other.started_unix_ms
            && self.address == other.address
            && self.service == other.service
    }
}
