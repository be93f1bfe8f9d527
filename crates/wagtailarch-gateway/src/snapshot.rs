//! State that the control thread publishes to the traffic thread.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use indexmap::IndexMap;
use wagtailarch_dispatch::{BackendServer, Departures, RoutingConfig};
use wagtailarch_types::{InstanceId, ObjectVersion, ServiceName, SoftwareVersion, ZoneName};
use wagtailarch_wire::load_note::StoreVersions;

/// The newest state of the control thread; it never goes back to an older one.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Configuration in force; `None` until one was read.
    pub config: Option<Arc<RoutingConfig>>,
    /// Time since the start of the process at which the configuration was last proven to be current;
    /// only kept if the settings ask for a proof.
    pub config_proven_at: Duration,
    /// Servers that may receive requests.
    pub servers: Arc<Vec<BackendServer>>,
    /// Servers that leave or have left.
    pub departures: Arc<Departures>,
    /// Time since which all changes of the servers are known; absent while they cannot be read.
    pub servers_since: Option<Duration>,
    /// Version of the store up to which all changes of the servers are known.
    pub servers_read: Option<ObjectVersion>,
    /// Software versions read from the store for take-ups; absent until they were read.
    pub version_record: Option<Arc<VersionRecord>>,
    /// Whether the servers have been listed.
    pub servers_listed: bool,
    /// Versions of the newest changes in the store, for peers.
    pub store_versions: StoreVersions,
    /// The other entry instances.
    pub peers: Arc<Vec<Peer>>,
    /// Whether the other instances have been listed.
    pub peers_listed: bool,
}

/// Software versions of which streams may be open, as read from the store.
#[derive(Debug)]
pub struct VersionRecord {
    /// When the store was asked; the record shows all changes until then.
    pub read_at: Duration,
    /// Recorded versions of each service.
    pub services: IndexMap<ServiceName, Vec<SoftwareVersion>>,
    /// Versions of servers that changed after `Snapshot::servers_read`.
    pub changed: Vec<(ServiceName, SoftwareVersion)>,
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
    /// Address for clients' requests that go through the instance; absent if it takes none.
    pub forward_address: Option<SocketAddr>,
}

impl Snapshot {
    /// Returns the addresses of the named peers.
    pub fn peer_addresses(&self, names: &[InstanceId]) -> Vec<SocketAddr> {
        let named = self.peers.iter().filter(|peer| names.contains(&peer.name));
        named.map(|peer| peer.address).collect()
    }

    /// Returns whether the state suffices to serve requests.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.servers_listed
    }
}
