//! State that the control thread publishes to the traffic thread.

use std::{net::SocketAddr, sync::Arc};

use wagtailarch_dispatch::{BackendServer, RoutingConfig};
use wagtailarch_types::{InstanceId, ZoneName};
use wagtailarch_wire::load_note::StoreVersions;

/// The newest state of the control thread; it never goes back to an older one.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Configuration in force; `None` until one was read.
    pub config: Option<Arc<RoutingConfig>>,
    /// Servers that may receive requests.
    pub servers: Arc<Vec<BackendServer>>,
    /// Whether the servers have been listed.
    pub servers_listed: bool,
    /// Versions of the newest changes in the store, for peers.
    pub store_versions: StoreVersions,
    /// The other entry instances.
    pub peers: Arc<Vec<Peer>>,
}

/// Another entry instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address for datagrams and relay requests.
    pub address: SocketAddr,
}

impl Snapshot {
    /// Returns whether the state suffices to serve requests.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.servers_listed
    }
}
