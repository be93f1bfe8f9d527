//! The control thread: reads the configuration, the servers and the peers from the store.

mod claims;
pub mod duties;
mod instances;
mod object_list;
mod read_trail;
mod relay;
mod roles;
mod routing;
mod server_orders;
mod servers;
mod sources;
mod store_error;
mod use_report;
mod versions;
mod watcher;

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use slog::Logger;
use tokio::{net::TcpListener, sync::watch, task::LocalSet};
use wagtailarch_dispatch::ReadLimits;
use wagtailarch_types::{InstanceId, ZoneName};

use crate::{
    control::{duties::DutyCaller, sources::Sources},
    metrics::Metrics,
    panic_handling::restart_on_panic,
    snapshot::Snapshot,
    team_use::SharedUse,
    traffic_view::TrafficView,
};

/// Settings and shared state of the control thread.
#[derive(Debug, Clone)]
pub struct ControlContext {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Address at which peers reach this instance.
    pub peer_address: SocketAddr,
    /// Address for clients' requests that peers send through this instance.
    pub forward_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Time within which a new configuration must be in force.
    pub config_bound: Duration,
    /// Whether requests with a key need a proof that the configuration is current.
    pub is_proof_required: bool,
    /// Time after which a leaving server must receive no more requests.
    pub leaving_bound: Duration,
    /// Time from the return of the store, or of the path to it, until the bounds apply again.
    pub recovery_bound: Duration,
    /// Start of the process.
    pub epoch: Instant,
    /// Logger of the process.
    pub log: Logger,
    /// Metrics of the instance.
    pub metrics: Arc<Metrics>,
    /// State reported by the traffic thread.
    pub traffic: Arc<TrafficView>,
    /// Calls that are the duty of one instance at a time; `None` if there are none.
    pub duties: Option<DutyCaller>,
    /// Sums of the use of teams, joined by the traffic thread.
    pub team_use: SharedUse,
}

impl ControlContext {
    /// Returns the limits of reads for changes that must be applied within `bound`.
    fn read_limits(&self, bound: Duration) -> ReadLimits {
        ReadLimits::new(bound).with_recovery(self.recovery_bound)
    }

    /// Returns the live peers with their zones.
    fn live_peers(&self) -> Vec<(InstanceId, ZoneName)> {
        self.traffic.live_peers(self.epoch.elapsed())
    }
}

/// Starts the control thread, which runs until the process ends; returns the receiver of its
/// snapshots.
pub fn start(
    context: ControlContext,
    relay_listener: std::net::TcpListener,
) -> io::Result<watch::Receiver<Arc<Snapshot>>> {
    let (publisher, published) = watch::channel(Arc::new(Snapshot::default()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    relay_listener.set_nonblocking(true)?;
    let listener = {
        let _reactor = runtime.enter();
        TcpListener::from_std(relay_listener)?
    };
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let publisher = Arc::new(publisher);
            LocalSet::new().block_on(&runtime, async {
                let log = &context.log;
                let sources = Sources::new(context.clone());
                let shared = || (sources.clone(), Arc::clone(&publisher));
                let routing = || {
                    let (sources, publisher) = shared();
                    routing::watch_routing(sources, publisher)
                };
                let servers = || {
                    let (sources, publisher) = shared();
                    servers::watch_servers(sources, publisher)
                };
                let instances = || {
                    let (sources, publisher) = shared();
                    instances::maintain_registration(sources, publisher)
                };
                let roles = || roles::manage_roles(context.clone(), publisher.subscribe());
                let server_orders =
                    || server_orders::manage_servers(context.clone(), publisher.subscribe());
                let versions = || {
                    let (_, publisher) = shared();
                    versions::maintain_version_record(context.clone(), publisher)
                };
                let team_use = || use_report::report_use(context.clone());
                let listener = Rc::new(listener);
                let relay =
                    || relay::serve_relay(sources.relay.clone(), Rc::clone(&listener), log.clone());
                tokio::join!(
                    restart_on_panic(log, "relay", relay),
                    restart_on_panic(log, "watch of the configuration", routing),
                    restart_on_panic(log, "watch of the servers", servers),
                    restart_on_panic(log, "list of instances", instances),
                    restart_on_panic(log, "roles", roles),
                    restart_on_panic(log, "orders for servers", server_orders),
                    restart_on_panic(log, "record of software versions", versions),
                    restart_on_panic(log, "reports of use", team_use),
                );
            });
        })?;
    Ok(published)
}

/// Changes the published snapshot.
fn publish(publisher: &watch::Sender<Arc<Snapshot>>, change: impl FnOnce(&mut Snapshot)) {
    publisher.send_modify(|snapshot| change(Arc::make_mut(snapshot)));
}
