//! The process: threads, signals and shutdown.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use displaydoc::Display;
use slog::{info, warn};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::{LocalSet, spawn_local},
    time::sleep,
};
use wagtailarch_dispatch::ShutdownPhase;
use wagtailarch_telemetry::ProcessLog;
use wagtailarch_types::BootId;

use crate::{
    control::{self, ControlContext, duties::DutyCaller},
    forward::server::serve_instances,
    gateway::{Gateway, ShutdownState},
    metrics::Metrics,
    panic_handling::{catch_panic, restart_on_panic},
    paths::probe_paths,
    peers::{NoteExchange, report_demand},
    reload::SettingsFile,
    server::serve_clients,
    settings::Settings,
    snapshot::Snapshot,
    status_server::serve_status,
    team_use::{SharedUse, send_use},
    traffic_view::TrafficView,
};

/// Interval between checks of the progress of a shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why the process could not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// cannot start the runtime: {0}
    Runtime(io::Error),
    /// cannot receive signals: {0}
    Signals(io::Error),
}

impl std::error::Error for StartError {}

/// Runs until the process receives SIGTERM and has finished the requests that it read.
///
/// Applies changes of the settings file at `path` while the process runs.
pub fn run(settings: Settings, path: PathBuf, log: &ProcessLog) -> Result<(), StartError> {
    run_until(settings, path, log, || {
        let mut term = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
        Ok(async move {
            term.recv().await;
        })
    })
}

/// Runs until the future that `stop` returns is ready and the requests that were read are finished.
///
/// `stop` is called on the runtime.
pub fn run_until<F: Future<Output = ()>>(
    settings: Settings,
    path: PathBuf,
    log: &ProcessLog,
    stop: impl FnOnce() -> Result<F, StartError>,
) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        let stop = stop()?;
        let gateway = serve(settings, SettingsFile::new(path), log).await?;
        stop.await;
        shut_down(&gateway).await;
        Ok(())
    })
}

/// Starts the control thread and all tasks of the traffic thread.
async fn serve(
    settings: Settings,
    file: SettingsFile,
    log: &ProcessLog,
) -> Result<Rc<Gateway>, StartError> {
    let epoch = Instant::now();
    let metrics = Arc::new(Metrics::new(log.dropped_lines.clone()));
    let log = log.logger.clone();
    let traffic = Arc::new(TrafficView::default());
    let clients = listen(settings.client_address).await?;
    let ready = listen(settings.ready_address).await?;
    let scrapes = listen(settings.metrics_address).await?;
    let forwarded = listen(settings.forward_address).await?;
    let socket = UdpSocket::bind(settings.peer_address).await;
    let socket = socket.map_err(|error| StartError::Listen(settings.peer_address, error))?;
    let team_use = SharedUse::default();
    let context = ControlContext {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_address,
        forward_address: settings.forward_address,
        store_address: settings.store_address,
        config_bound: settings.config_bound(),
        is_proof_required: settings.key_proof_bound().is_some(),
        leaving_bound: settings.leaving_bound(),
        recovery_bound: settings.recovery_bound(),
        epoch,
        log: log.clone(),
        metrics: Arc::clone(&metrics),
        traffic: Arc::clone(&traffic),
        duties: settings.duties.as_ref().map(DutyCaller::new),
        team_use: team_use.clone(),
    };
    let relay_listener = std::net::TcpListener::bind(settings.peer_address);
    let relay_listener =
        relay_listener.map_err(|error| StartError::Listen(settings.peer_address, error))?;
    let published = control::start(context, relay_listener).map_err(StartError::Runtime)?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    info!(log, "started"; "clients" => %settings.client_address,
        "store" => %settings.store_address, "version" => env!("CARGO_PKG_VERSION"));
    let boot = boot_id();
    let mut gateway = Gateway::new(settings, log, metrics, traffic, socket, epoch, boot);
    gateway.set_team_use(boot, team_use);
    let gateway = Rc::new(gateway);
    start_tasks(&gateway, published, boot);
    start_listening(&gateway, clients, [ready, scrapes]);
    let forwarded = Rc::new(forwarded);
    spawn_restarting(&gateway, "requests of instances", move |gateway| {
        serve_instances(gateway, Rc::clone(&forwarded))
    });
    let shared = Rc::clone(&gateway);
    spawn_local(async move {
        let watching = file.watch(Rc::clone(&shared), hangup);
        catch_panic(&shared.log, "settings file", watching).await
    });
    Ok(gateway)
}

/// Starts the background tasks of the traffic thread.
fn start_tasks(gateway: &Rc<Gateway>, published: watch::Receiver<Arc<Snapshot>>, boot: BootId) {
    spawn_restarting(gateway, "snapshots", move |gateway| {
        gateway.follow_snapshots(published.clone())
    });
    spawn_restarting(gateway, "demand", report_demand);
    spawn_restarting(gateway, "path probes", probe_paths);
    spawn_restarting(gateway, "use of teams", send_use);
    let notes = Rc::new(NoteExchange::new(Rc::clone(gateway), boot));
    let shared = Rc::clone(&notes);
    spawn_restarting(gateway, "receivers of notes", move |_| {
        Rc::clone(&shared).update_routes()
    });
    let shared = Rc::clone(&notes);
    spawn_restarting(gateway, "own notes", move |_| {
        Rc::clone(&shared).send_own_notes()
    });
    let shared = Rc::clone(&notes);
    spawn_restarting(gateway, "notes for the zone", move |_| {
        Rc::clone(&shared).forward_to_members()
    });
    let shared = Rc::clone(&notes);
    spawn_restarting(gateway, "notes for other zones", move |_| {
        Rc::clone(&shared).forward_to_other_zones()
    });
    spawn_restarting(gateway, "notes of peers", move |_| {
        Rc::clone(&notes).receive()
    });
}

/// Starts serving clients, readiness checks and metrics.
fn start_listening(gateway: &Rc<Gateway>, clients: TcpListener, status: [TcpListener; 2]) {
    let clients = Rc::new(clients);
    spawn_restarting(gateway, "clients", move |gateway| {
        serve_clients(gateway, Rc::clone(&clients))
    });
    for listener in status.map(Rc::new) {
        spawn_restarting(gateway, "status", move |gateway| {
            serve_status(gateway, Rc::clone(&listener))
        });
    }
}

/// Spawns a task that is restarted after a panic.
fn spawn_restarting<F: Future<Output = ()> + 'static>(
    gateway: &Rc<Gateway>,
    task: &'static str,
    mut start: impl FnMut(Rc<Gateway>) -> F + 'static,
) {
    let gateway = Rc::clone(gateway);
    spawn_local(async move {
        let log = gateway.log.clone();
        restart_on_panic(&log, task, || start(Rc::clone(&gateway))).await;
    });
}

/// Asks clients to close their connections and waits until open requests are finished.
async fn shut_down(gateway: &Gateway) {
    info!(gateway.log, "stopping"; "open_requests" => gateway.open_requests.count());
    gateway.begin_shutdown();
    // The others send their requests elsewhere.
    gateway.schedule_load_note();
    while let Some((plan, since)) = gateway.shutdown_plan() {
        let open = gateway.open_requests.count();
        // A connection is open until its client has received the whole response.
        let unfinished = match *gateway.shutdown.borrow() >= ShutdownState::Finishing {
            true => open.max(gateway.open_connections.get()),
            false => open,
        };
        let state = match plan.phase(since, unfinished) {
            ShutdownPhase::Announcing => ShutdownState::Announced,
            ShutdownPhase::Finishing => ShutdownState::Finishing,
            ShutdownPhase::Responding => ShutdownState::Responding,
            ShutdownPhase::Ended => {
                log_end(gateway, since, unfinished);
                return;
            }
        };
        gateway.shutdown.send_if_modified(|current| {
            // A longer grace period that comes into force does not go back to an earlier state.
            let advances = state > *current;
            *current = state.max(*current);
            advances
        });
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

fn log_end(gateway: &Gateway, since: Duration, unfinished: usize) {
    if unfinished == 0 {
        info!(gateway.log, "stopped"; "after_ms" => since.as_millis() as u64);
        return;
    }
    warn!(gateway.log, "stopped with open requests";
        "open_requests" => gateway.open_requests.count(),
        "open_connections" => gateway.open_connections.get());
    gateway
        .open_requests
        .log_cut_off(&gateway.log, gateway.now());
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| StartError::Listen(address, error))
}

/// Returns a number that distinguishes this start from others; only equality matters.
fn boot_id() -> BootId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.unwrap_or_default().as_nanos() as u64;
    nanos ^ u64::from(std::process::id()).rotate_left(32)
}
