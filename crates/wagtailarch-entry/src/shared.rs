//! State that the traffic threads share.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use slog::Logger;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::task::{TaskTracker, task_tracker::TaskTrackerToken};
use wagtailarch_types::{RefusalReason, RequestId};

use crate::{
    body::BodyReader,
    engine_client::EngineClient,
    metrics::Metrics,
    refusal::Refusal,
    routing::Router,
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
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Configuration; none before the first one was loaded.
    pub snapshot: ArcSwapOption<Snapshot>,
    /// Choice of backend servers.
    pub router: Router,
    /// Client of backend servers.
    pub engines: EngineClient,
    /// Reader of request bodies.
    pub bodies: BodyReader,
    /// Requests that may run.
    pub request_slots: Arc<Semaphore>,
    /// Requests that run; a shutdown waits for them.
    pub running: TaskTracker,
    /// Stage of the shutdown.
    pub stage: watch::Sender<Stage>,
    /// Start of the process; `now` counts from here.
    epoch: Instant,
}

impl Shared {
    /// Creates the state of a new instance.
    pub fn new(settings: Settings, log: Logger) -> Self {
        let limits = &settings.limits;
        Self {
            metrics: Metrics::new(),
            snapshot: ArcSwapOption::empty(),
            router: Router::default(),
            engines: EngineClient::new(&settings.timeouts, limits),
            bodies: BodyReader::new(
                limits.body_bytes,
                limits.bodies_bytes,
                ms(settings.timeouts.body_ms),
            ),
            request_slots: Arc::new(Semaphore::new(limits.requests)),
            running: TaskTracker::new(),
            stage: watch::Sender::new(Stage::Serving),
            epoch: Instant::now(),
            settings,
            log,
        }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Waits until the shutdown has reached `stage`.
    pub async fn reached(&self, stage: Stage) {
        // The guard of the value must not live on: it would block the sender.
        let _ = self
            .stage
            .subscribe()
            .wait_for(|now| *now >= stage)
            .await
            .map(drop);
    }

    /// Takes a place among the running requests.
    pub fn begin(self: &Arc<Self>, id: RequestId) -> Result<Running, Refusal> {
        let slot = Arc::clone(&self.request_slots)
            .try_acquire_owned()
            .map_err(|_| {
                Refusal::not_run(RefusalReason::Overloaded, "too many requests are running")
                    .retry_after(Duration::from_secs(1))
                    .with_jitter(id)
            })?;
        self.metrics.running.inc();
        Ok(Running {
            shared: Arc::clone(self),
            _slot: slot,
            _token: self.running.token(),
        })
    }

    /// Returns the stage of the shutdown.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Tells whether the instance wants new clients.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.snapshot.load().is_some()
    }
}

/// A place among the running requests; a shutdown waits until it is dropped.
#[derive(Debug)]
pub struct Running {
    /// State of the instance.
    pub shared: Arc<Shared>,
    _slot: OwnedSemaphorePermit,
    _token: TaskTrackerToken,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.metrics.running.dec();
    }
}
