//! State that the control thread and the traffic threads share.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use indexmap::IndexMap;
use slog::Logger;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio_util::task::{TaskTracker, task_tracker::TaskTrackerToken};
use wagtailarch_fleet::Group;
use wagtailarch_traffic::{Admission, BackendView, Quarantine, Router};
use wagtailarch_types::{BootId, InstanceId, RefusalReason, RequestId, VersionName};

use crate::{
    body::BodyReader,
    capacity::CapacityEstimate,
    claims::Claims,
    engine_client::EngineClient,
    events::{ControlEvent, Events},
    in_flight::InFlight,
    metrics::Metrics,
    refusal::Refusal,
    server_ends::ServerEnds,
    settings::{Settings, ms},
    snapshot::Snapshot,
};

/// Stage in the life of an instance, from serving to the end of its shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serves clients.
    Serving,
    /// Serves clients but reports that it is not ready, so that the load balancer sends no new
    /// clients.
    Leaving,
    /// Accepts no connections and finishes the running requests.
    Finishing,
    /// Responds to the requests that have no response, since the drain time is nearly over.
    Responding,
    /// All requests have finished or the drain time is over; open connections are closed.
    Stopped,
}

/// State that the control thread and the traffic threads share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Identifies the start of this process; a later start of the instance has a higher number.
    pub boot_id: BootId,
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Configuration in force; `None` before the first one is loaded.
    pub snapshot: ArcSwapOption<Snapshot>,
    /// Backend servers by identifier, as last published.
    pub backends: ArcSwap<IndexMap<InstanceId, BackendView>>,
    /// Selects backend servers.
    pub router: Router,
    /// Admits or refuses requests.
    pub admission: Admission,
    /// How backend servers end that leave.
    pub server_ends: ServerEnds,
    /// Requests that have crashed backend servers.
    pub quarantine: Quarantine,
    /// Requests in flight by backend server.
    pub in_flight: Arc<InFlight>,
    /// Events for the control thread.
    pub events: Events,
    /// Client for backend servers. Only the traffic threads use it, since their runtime drives its
    /// connections.
    pub engine_client: EngineClient,
    /// Claims of calls that may run at most once; set at the start of the instance, when the
    /// platform client exists.
    pub claims: OnceLock<Claims>,
    /// Reader of request bodies.
    pub body_reader: BodyReader,
    /// Stage of the shutdown.
    pub stage: watch::Sender<Stage>,
    capacity: CapacityEstimate,
    /// Live instances of the fleet, this one included.
    live_instances: AtomicU32,
    /// Whether the listed backend servers were polled once; before that, every request to a model
    /// would be refused.
    backends_polled: AtomicBool,
    request_permits: Arc<Semaphore>,
    /// Running requests and open connections, for which a shutdown waits.
    active: TaskTracker,
    /// Start of the process, from which `now` counts.
    epoch: Instant,
}

impl Shared {
    /// Creates the state of a new instance and the receiving side of its events.
    pub fn new(settings: Settings, log: Logger) -> (Self, mpsc::Receiver<ControlEvent>) {
        let limits = &settings.limits;
        let body_timeout = ms(settings.timeouts.body_ms);
        let (events, receiver) = Events::new();
        let shared = Self {
            boot_id: new_boot_id(),
            metrics: Metrics::new(),
            snapshot: ArcSwapOption::empty(),
            backends: ArcSwap::default(),
            router: Router::new(settings.zone.clone(), rand::random()),
            admission: Admission::new(rand::random()),
            server_ends: ServerEnds::default(),
            quarantine: Quarantine::new(),
            in_flight: Arc::default(),
            events,
            engine_client: EngineClient::new(&settings.timeouts, limits),
            claims: OnceLock::new(),
            body_reader: BodyReader::new(limits.body_bytes, limits.bodies_bytes, body_timeout),
            stage: watch::Sender::new(Stage::Serving),
            capacity: CapacityEstimate::default(),
            live_instances: AtomicU32::new(1),
            backends_polled: AtomicBool::new(false),
            request_permits: Arc::new(Semaphore::new(limits.requests)),
            active: TaskTracker::new(),
            epoch: Instant::now(),
            settings,
            log,
        };
        (shared, receiver)
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Waits until the shutdown has reached `stage`.
    pub async fn wait_for_stage(&self, stage: Stage) {
        // The guard of the value is dropped immediately, since it would block the sender.
        let _ = self
            .stage
            .subscribe()
            .wait_for(|current| *current >= stage)
            .await
            .map(drop);
    }

    /// Returns the stage of the shutdown.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns whether the instance is ready for new clients.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving
            && self.snapshot.load().is_some()
            && self.backends_polled.load(Ordering::Acquire)
    }

    /// Records that the listed backend servers were polled once.
    pub fn set_backends_polled(&self) {
        self.backends_polled.store(true, Ordering::Release);
    }

    /// Starts a request; refuses it if too many requests are running.
    pub fn start_request(self: &Arc<Self>, id: RequestId) -> Result<RunningRequest, Refusal> {
        let permit = Arc::clone(&self.request_permits)
            .try_acquire_owned()
            .map_err(|_| {
                Refusal::new(RefusalReason::Overloaded, "too many requests are running")
                    .retry_after(Duration::from_secs(1))
                    .with_jitter(id)
            })?;
        self.metrics.running.inc();
        Ok(RunningRequest {
            shared: Arc::clone(self),
            _permit: permit,
            _token: self.active.token(),
        })
    }

    /// Returns the number of running requests and open connections.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Returns a token for an open connection; a shutdown waits until the token is dropped.
    ///
    /// Connections are tracked in addition to requests, since the last bytes of a response may be
    /// written after its request has ended.
    pub fn track_connection(&self) -> TaskTrackerToken {
        self.active.token()
    }

    /// Waits until no request is running and no connection is open.
    pub async fn wait_until_idle(&self) {
        self.active.close();
        self.active.wait().await;
    }

    /// Publishes the backend servers to the traffic threads.
    pub fn publish_backends(&self, views: Vec<BackendView>) {
        let now = self.now();
        if let Some(snapshot) = self.snapshot.load().as_ref() {
            let capacity = self.capacity.update(&snapshot.fleet, &views);
            self.admission.set_capacity(
                now,
                self.live_instances.load(Ordering::Relaxed),
                &capacity,
            );
        }
        let table = views
            .iter()
            .map(|view| (view.id.clone(), view.clone()))
            .collect();
        self.router.update(now, views);
        self.backends.store(Arc::new(table));
    }

    /// Publishes a configuration to the traffic threads; returns whether it is now in force.
    ///
    /// A configuration that is not newer than the current one is ignored.
    pub fn publish_configuration(&self, mut snapshot: Snapshot) -> bool {
        let current = self.snapshot.load_full();
        if let Some(current) = &current {
            if snapshot.generation <= current.generation {
                return false;
            }
            snapshot.inherit_budgets(current);
        }
        let views: Vec<_> = self.backends.load().values().cloned().collect();
        let capacity = self.capacity.update(&snapshot.fleet, &views);
        let live_instances = self.live_instances.load(Ordering::Relaxed);
        self.admission
            .update(self.now(), &snapshot.fleet.teams, live_instances, &capacity);
        self.metrics.generation.set(snapshot.generation as i64);
        slog::info!(self.log, "generation_in_force"; "generation" => snapshot.generation);
        self.snapshot.store(Some(Arc::new(snapshot)));
        true
    }

    /// Sets the number of live instances of the fleet, this one included.
    pub fn set_live_instances(&self, count: u32) {
        self.live_instances.store(count.max(1), Ordering::Relaxed);
    }

    /// Returns the version that an engine serves, or the version of its group if the former is
    /// unknown.
    pub fn engine_version(&self, engine: &InstanceId, group: &Group) -> VersionName {
        let backends = self.backends.load();
        let assignment = backends
            .get(engine)
            .and_then(|view| view.assignment.as_ref());
        let version = assignment.map(|assignment| assignment.version.clone());
        version
            .or_else(|| group.version.clone())
            .unwrap_or_default()
    }
}

/// Returns a number that increases with each start: the nanoseconds since the Unix epoch.
fn new_boot_id() -> BootId {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(1, |since_epoch| since_epoch.as_nanos() as BootId)
}

/// A running request; a shutdown waits until it is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    /// State of the instance.
    pub shared: Arc<Shared>,
    _permit: OwnedSemaphorePermit,
    _token: TaskTrackerToken,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.metrics.running.dec();
    }
}
