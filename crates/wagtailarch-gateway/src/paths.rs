//! Paths from this instance to the backend servers, and the instances that take requests while one
//! is lost.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use slog::{debug, info};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};
pub use wagtailarch_dispatch::ForwardResult;
use wagtailarch_dispatch::{
    ConnectAttempt, CrashCheck, CrashStep, ForwardRequest, ForwardTargets, MAX_SERVED_FOR_PEERS,
    PathChange, ServerEndpoint, ServicePaths,
};
use wagtailarch_traffic::ANNOUNCEMENT_LIMIT;
use wagtailarch_types::{InstanceId, ServiceName, rendezvous_weight};
use wagtailarch_wire::{load_note::LoadNote, path_report::PathReport};

use crate::{
    backend_client::CONNECT_LIMIT,
    connection::{ConnectError, open},
    gateway::{Gateway, ShutdownState},
    snapshot::Peer,
};

/// Time within which a crashed server refuses a new connection.
const CRASH_PROBE_LIMIT: Duration = Duration::from_millis(300);
/// Interval between looks at an undecided crash; a probe of another server takes a few milliseconds.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of probes in a row that are reset.
const MAX_RESET_PROBES: u32 = 3;
/// Time after which a crash is looked at less often, since the path is probably lost.
const SHORT_CRASH_CHECK: Duration = Duration::from_millis(200);
/// Interval between later looks at an undecided crash.
const LONG_CRASH_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum pause between two rounds of probes.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(5);
/// Maximum number of instances that are looked up for one request; one may no longer be listed.
const MAX_LOOKUPS: usize = 4;

/// Paths to the backend servers, and the instances that take requests while one is lost.
#[derive(Debug, Default)]
pub struct Paths {
    paths: RefCell<ServicePaths>,
    targets: RefCell<ForwardTargets>,
    /// Number of requests of other instances that this one serves.
    served_for_peers: Cell<u16>,
    /// Notified when probes are due.
    probes_due: Notify,
}

impl Gateway {
    /// Returns the instance to which a request for `service` goes because this one has lost its
    /// path.
    pub fn forward_target(&self, service: &ServiceName, excluded: &[InstanceId]) -> Option<Peer> {
        match self.paths.paths.borrow().is_lost(service) {
            true => self.select_peer(service, excluded),
            false => None,
        }
    }

    /// Returns the instance to use for a request of which no call could open a connection, although
    /// the loss of the path is not established yet.
    ///
    /// This includes a request for which no server could be selected because connections to all of
    /// them failed a moment ago.
    pub fn fallback_target(&self, service: &ServiceName, excluded: &[InstanceId]) -> Option<Peer> {
        self.select_peer(service, excluded)
    }

    /// Returns whether this instance has no path to the servers of a service, or is about to
    /// conclude that, so that it takes no requests of others for it.
    pub fn is_path_doubted(&self, service: &ServiceName) -> bool {
        self.paths.paths.borrow().is_doubted(service)
    }

    /// Records that a request is sent to another instance.
    pub fn on_forward_started(&self, peer: &InstanceId) {
        self.paths.targets.borrow_mut().on_sent(peer);
    }

    /// Records the end of a request that was sent to another instance; `None` if the client left.
    pub fn on_forward_ended(
        &self,
        service: &ServiceName,
        peer: &InstanceId,
        result: Option<ForwardResult>,
    ) {
        let mut targets = self.paths.targets.borrow_mut();
        targets.on_ended(self.now(), service, peer, result);
    }

    /// Takes a place for a request of another instance; returns whether there was one.
    pub fn start_serving_for_peer(&self) -> bool {
        let served = self.paths.served_for_peers.get();
        if served >= MAX_SERVED_FOR_PEERS {
            return false;
        }
        self.paths.served_for_peers.set(served + 1);
        true
    }

    /// Records the end of a request of another instance.
    pub fn stop_serving_for_peer(&self) {
        let served = self.paths.served_for_peers.get();
        self.paths.served_for_peers.set(served.saturating_sub(1));
    }

    /// Returns what is reported to other instances in a load note.
    pub fn path_report(&self) -> PathReport {
        PathReport {
            lost: self.paths.paths.borrow().report(),
            leaving: *self.shutdown.borrow() != ShutdownState::Running,
            served_for_peers: self.paths.served_for_peers.get(),
        }
    }

    /// Applies what another instance says about its paths.
    pub fn on_peer_paths(&self, now: Duration, note: &LoadNote) {
        self.paths.targets.borrow_mut().on_note(now, note);
    }

    /// Applies the result of a connection to a server that was begun at `started_at`.
    pub fn on_connect<T>(
        &self,
        service: &ServiceName,
        server: &InstanceId,
        started_at: Duration,
        result: &Result<T, ConnectError>,
    ) {
        let now = self.now();
        let attempt = ConnectAttempt { server, started_at };
        let mut paths = self.paths.paths.borrow_mut();
        let change = match result {
            Ok(_) => paths.on_opened(now, service, attempt),
            Err(error) if error.concerns_path(CONNECT_LIMIT) => {
                paths.on_failed(now, service, attempt)
            }
            Err(_) => None,
        };
        drop(paths);
        if let Some(change) = change {
            self.on_path_change(service, change);
        }
    }

    fn on_path_change(&self, service: &ServiceName, change: PathChange) {
        let log = &self.log;
        match change {
            PathChange::Suspected => {
                self.load_balancer.borrow_mut().keep_health(service);
                self.paths.probes_due.notify_one();
            }
            PathChange::Doubted => {
                self.schedule_load_note();
                self.paths.probes_due.notify_one();
            }
            PathChange::Cleared { was_doubted } => {
                self.load_balancer.borrow_mut().drop_kept_health(service);
                if was_doubted {
                    self.schedule_load_note();
                }
            }
            PathChange::Lost {
                servers,
                failures,
                evidence_age,
            } => {
                info!(log, "path lost"; "service" => %service, "failed_servers" => servers,
                    "failures" => failures, "evidence_age_ms" => evidence_age.as_millis() as u64);
                self.schedule_load_note();
            }
            PathChange::Returning => {
                self.load_balancer.borrow_mut().restore_health(service);
                // The next probe is due sooner than the task waits for.
                self.paths.probes_due.notify_one();
            }
            PathChange::LostAgain => debug!(log, "path still lost"; "service" => %service),
            PathChange::Returned {
                servers,
                evidence_age,
                lost_for,
            } => {
                info!(log, "path returned"; "service" => %service, "reached_servers" => servers,
                    "evidence_age_ms" => evidence_age.as_millis() as u64,
                    "lost_ms" => lost_for.as_millis() as u64);
                let mut load_balancer = self.load_balancer.borrow_mut();
                load_balancer.restore_health(service);
                load_balancer.drop_kept_health(service);
                drop(load_balancer);
                self.schedule_load_note();
            }
        }
        self.metrics
            .set_lost_paths(self.paths.paths.borrow().lost());
    }

    fn select_peer(&self, service: &ServiceName, excluded: &[InstanceId]) -> Option<Peer> {
        let snapshot = self.snapshot();
        let mut excluded = excluded.to_vec();
        for _ in 0..MAX_LOOKUPS {
            let request = ForwardRequest {
                service,
                own: &self.settings.instance,
                zone: &self.settings.zone,
                excluded: &excluded,
            };
            let mut targets = self.paths.targets.borrow_mut();
            let name = targets.select(self.now(), &request)?;
            let peer = snapshot.peers.iter().find(|peer| peer.name == name);
            if let Some(peer) = peer {
                return Some(peer.clone());
            }
            excluded.push(name);
        }
        None
    }
}

/// Connects to servers while a path is suspected or lost, until the process ends.
pub async fn probe_paths(gateway: Rc<Gateway>) {
    let paths = &gateway.paths;
    loop {
        let next_probe_at = paths.paths.borrow().next_probe_at();
        match next_probe_at {
            None => paths.probes_due.notified().await,
            Some(at) => {
                let pause = at.saturating_sub(gateway.now()).max(MIN_PROBE_PAUSE);
                // Either way the due probes are determined anew.
                let _ = timeout(pause, paths.probes_due.notified()).await;
            }
        }
        let due = paths.paths.borrow().due(gateway.now());
        for service in due {
            start_probe(&gateway, service);
        }
    }
}

/// Starts the due probe of a service, if the rate of probes allows it.
fn start_probe(gateway: &Rc<Gateway>, service: ServiceName) {
    let load_balancer = gateway.load_balancer.borrow();
    let servers = load_balancer.servers_of(&service);
    let servers: Vec<_> = servers
        .map(|server| (server.id.clone(), server.address))
        .collect();
    drop(load_balancer);
    let ids: Vec<_> = servers.iter().map(|(id, _)| id).collect();
    let seed = rendezvous_weight(0, &gateway.settings.instance);
    let now = gateway.now();
    let mut paths = gateway.paths.paths.borrow_mut();
    let index = paths.take_probe(now, &service, &ids, seed);
    gateway.metrics.set_lost_paths(paths.lost());
    drop(paths);
    let Some((id, address)) = index.and_then(|index| servers.get(index).cloned()) else {
        return;
    };
    gateway.metrics.count_path_probe();
    let gateway = Rc::clone(gateway);
    spawn_local(async move {
        let opened = open(address, CONNECT_LIMIT).await;
        gateway.on_connect(&service, &id, now, &opened);
    });
}

/// Returns when a server whose connection broke crashed; `None` unless it refuses connections without
/// having announced that it leaves, while other servers of its service accept them.
pub async fn crash_time(
    gateway: &Gateway,
    service: &ServiceName,
    server: &ServerEndpoint,
) -> Option<Duration> {
    if !is_refused(gateway, service, server).await.unwrap_or(false) {
        return None;
    }
    let refused_at = gateway.now();
    gateway
        .load_balancer
        .borrow_mut()
        .on_unreachable(refused_at, &server.id);
    let mut check = CrashCheck::new(refused_at, server.started_unix_ms);
    loop {
        let now = gateway.now();
        if gateway.is_announced(server, refused_at) {
            info!(gateway.log, "server ended as announced"; "server" => %server.id);
            return None;
        }
        let registered = gateway
            .load_balancer
            .borrow()
            .server(&server.id)
            .map(|server| server.started_unix_ms);
        let paths = &gateway.paths;
        let lost_everywhere = paths.targets.borrow().is_lost_everywhere(now, service);
        let step = check.step(
            now,
            registered,
            paths.paths.borrow().state(service),
            lost_everywhere,
        );
        match step {
            CrashStep::Crashed if now >= refused_at + ANNOUNCEMENT_LIMIT => {
                return Some(refused_at);
            }
            // The announcement of its leaving may be on its way.
            CrashStep::Crashed => {}
            CrashStep::NotCrashed => {
                info!(gateway.log, "server not crashed"; "server" => %server.id,
                    "after_ms" => now.saturating_sub(refused_at).as_millis() as u64);
                return None;
            }
            CrashStep::Wait => {}
            CrashStep::ProbeAgain => match is_refused(gateway, service, server).await {
                Some(true) => {
                    check.on_refused_again();
                    continue;
                }
                Some(false) => check.on_accepted(gateway.now()),
                None => {}
            },
        }
        let is_short = now.saturating_sub(refused_at) < SHORT_CRASH_CHECK;
        sleep(match is_short {
            true => CRASH_POLL_INTERVAL,
            false => LONG_CRASH_POLL_INTERVAL,
        })
        .await;
    }
}

/// Returns whether a server refuses a connection; `None` if it neither accepts nor refuses it.
async fn is_refused(
    gateway: &Gateway,
    service: &ServiceName,
    server: &ServerEndpoint,
) -> Option<bool> {
    for _ in 0..MAX_RESET_PROBES {
        let started_at = gateway.now();
        let opened = open(server.address, CRASH_PROBE_LIMIT).await;
        gateway.on_connect(service, &server.id, started_at, &opened);
        match opened {
            Ok(_) => return Some(false),
            Err(error) if error.is_refused() => return Some(true),
            // The process that ends had accepted the connection.
            Err(error) if error.is_reset() => sleep(CRASH_POLL_INTERVAL).await,
            Err(_) => return None,
        }
    }
    None
}
