//! State that the traffic threads share.

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
    settings::{Settings, ms},
    snapshot::Snapshot,
};

/// Stage of an instance's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serves.
    Serving,
    /// Serves, but says that it is not ready, so that the balancer sends no new clients.
    Leaving,
    /// Accepts no connections and finishes running requests.
    Finishing,
    /// The time to finish is over.
    Stopped,
}

/// State that the traffic threads share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Start of this process; a later start of the same instance has a higher one.
    pub boot_id: BootId,
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Configuration; none before the first one was loaded.
    pub snapshot: ArcSwapOption<Snapshot>,
    /// Backend servers as last published.
    pub backends: ArcSwap<IndexMap<InstanceId, BackendView>>,
    /// Choice of backend servers.
    pub router: Router,
    /// Acceptance of requests.
    pub admission: Admission,
    /// Requests that crashed backend servers.
    pub quarantine: Quarantine,
    /// Requests in flight by backend server.
    pub in_flight: Arc<InFlight>,
    /// Events for the control thread.
    pub events: Events,
    /// Client of backend servers; only for the traffic threads, whose runtime drives it.
    pub engine_client: EngineClient,
    /// Claims of calls that may run at most once; set once the platform is known.
    pub claims: OnceLock<Claims>,
    /// Reader of request bodies.
    pub body_reader: BodyReader,
    /// Stage of the shutdown.
    pub stage: watch::Sender<Stage>,
    capacity: CapacityEstimate,
    /// Live instances of the fleet, this one included.
    instances: AtomicU32,
    /// Whether the listed engines were asked for their reports; until then every model request
    /// would be refused.
    backends_known: AtomicBool,
    request_slots: Arc<Semaphore>,
    /// Requests that run; a shutdown waits for them.
    running: TaskTracker,
    /// Start of the process; `now` counts from here.
    epoch: Instant,
}

impl Shared {
    /// Creates the state of a new instance and the receiving side of its events.
    pub fn new(settings: Settings, log: Logger) -> (Self, mpsc::Receiver<ControlEvent>) {
        let limits = &settings.limits;
        let body_time = ms(settings.timeouts.body_ms);
        let (events, receiver) = Events::new();
        let shared = Self {
            boot_id: boot_id(),
            metrics: Metrics::new(),
            snapshot: ArcSwapOption::empty(),
            backends: ArcSwap::default(),
            router: Router::new(settings.zone.clone(), rand::random()),
            admission: Admission::new(rand::random()),
            quarantine: Quarantine::new(),
            in_flight: Arc::default(),
            events,
            engine_client: EngineClient::new(&settings.timeouts, limits),
            claims: OnceLock::new(),
            body_reader: BodyReader::new(limits.body_bytes, limits.bodies_bytes, body_time),
            stage: watch::Sender::new(Stage::Serving),
            capacity: CapacityEstimate::default(),
            instances: AtomicU32::new(1),
            backends_known: AtomicBool::new(false),
            request_slots: Arc::new(Semaphore::new(limits.requests)),
            running: TaskTracker::new(),
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
        // The guard of the value must not live on: it would block the sender.
        let _ = self
            .stage
            .subscribe()
            .wait_for(|now| *now >= stage)
            .await
            .map(drop);
    }

    /// Returns the stage of the shutdown.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Tells whether the instance wants new clients.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving
            && self.snapshot.load().is_some()
            && self.backends_known.load(Ordering::Acquire)
    }

    /// Notes that the listed engines were asked for their reports.
    pub fn set_backends_known(&self) {
        self.backends_known.store(true, Ordering::Release);
    }

    /// Takes a place among the running requests.
    pub fn start_request(self: &Arc<Self>, id: RequestId) -> Result<RunningRequest, Refusal> {
        let slot = Arc::clone(&self.request_slots)
            .try_acquire_owned()
            .map_err(|_| {
                Refusal::not_run(RefusalReason::Overloaded, "too many requests are running")
                    .retry_after(Duration::from_secs(1))
                    .with_jitter(id)
            })?;
        self.metrics.running.inc();
        Ok(RunningRequest {
            shared: Arc::clone(self),
            _slot: slot,
            _token: self.running.token(),
        })
    }

    /// Returns the number of running requests.
    pub fn active_count(&self) -> usize {
        self.running.len()
    }

    /// Returns a token of an open connection; a shutdown waits until it is dropped.
    ///
    /// The last bytes of a response may still have to be written when its request has ended.
    pub fn track_connection(&self) -> TaskTrackerToken {
        self.running.token()
    }

    /// Waits until no request runs and no connection is open.
    pub async fn finish_running(&self) {
        self.running.close();
        self.running.wait().await;
    }

    /// Publishes the backend servers to the traffic threads.
    pub fn publish_backends(&self, views: Vec<BackendView>) {
        let now = self.now();
        if let Some(snapshot) = self.snapshot.load().as_ref() {
            let capacity = self.capacity.update(&snapshot.fleet, &views);
            self.admission
                .set_capacity(now, self.instances.load(Ordering::Relaxed), &capacity);
        }
        let table = views
            .iter()
            .map(|view| (view.id.clone(), view.clone()))
            .collect();
        self.router.update(now, views);
        self.backends.store(Arc::new(table));
    }

    /// Publishes a configuration to the traffic threads; one that is not newer is ignored.
    ///
    /// Returns whether the configuration is now in force.
    pub fn publish_configuration(&self, mut snapshot: Snapshot) -> bool {
        let current = self.snapshot.load_full();
        if let Some(current) = &current {
            if snapshot.generation <= current.generation {
                return false;
            }
            snapshot.keep_budgets(current);
        }
        let views: Vec<_> = self.backends.load().values().cloned().collect();
        let capacity = self.capacity.update(&snapshot.fleet, &views);
        let instances = self.instances.load(Ordering::Relaxed);
        self.admission
            .update(self.now(), &snapshot.fleet.teams, instances, &capacity);
        self.metrics.generation.set(snapshot.generation as i64);
        slog::info!(self.log, "generation_in_force"; "generation" => snapshot.generation);
        self.snapshot.store(Some(Arc::new(snapshot)));
        true
    }

    /// Sets the number of live instances of the fleet, this one included.
    pub fn set_instances(&self, count: u32) {
        self.instances.store(count.max(1), Ordering::Relaxed);
    }

    /// Returns the version that an engine serves, or that of its group if it is not known.
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

/// Returns a number that rises with each start: nanoseconds since the Unix epoch.
fn boot_id() -> BootId {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| since.as_nanos() as BootId)
}

/// A place among the running requests; a shutdown waits until it is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    /// State of the instance.
    pub shared: Arc<Shared>,
    _slot: OwnedSemaphorePermit,
    _token: TaskTrackerToken,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.metrics.running.dec();
    }
}
