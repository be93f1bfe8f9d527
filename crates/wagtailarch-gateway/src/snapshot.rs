//! What the control thread tells the traffic thread.

use std::{net::SocketAddr, sync::Arc};

use wagtailarch_dispatch::{BackendServer, RoutingConfig};
use wagtailarch_types::{InstanceId, ZoneName};
use wagtailarch_wire::load_note::StoreVersions;

/// The newest state that the control thread knows; it never goes back.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Configuration in force; absent until one was read.
    pub config: Option<Arc<RoutingConfig>>,
    /// Servers that may be given requests.
    pub servers: Arc<Vec<BackendServer>>,
    /// Whether the servers were listed once.
    pub servers_known: bool,
    /// Newest news from the store, for peers.
    pub news: StoreVersions,
    /// Other entry instances.
    pub peers: Arc<Vec<Peer>>,
}

/// Another entry instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for datagrams.
    pub address: SocketAddr,
}

impl Snapshot {
    /// Tells whether requests can be served.
    pub fn complete(&self) -> bool {
        self.config.is_some() && self.servers_known
    }
}
