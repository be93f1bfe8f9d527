//! State that all requests of the traffic thread share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use slog::{Logger, info};
use tokio::sync::watch;
use wagtailarch_dispatch::{LoadBalancer, RetryWindow, SharedRetryBudget};
use wagtailarch_traffic::{Quarantine, StrikeEvent, StrikeKind};
use wagtailarch_types::{InstanceId, ServiceName};
use wagtailarch_wire::load_note::{SentPrefixes, StrikeNote};

use crate::{
    held_bytes::HeldBytes,
    metrics::Metrics,
    outbox::Outbox,
    settings::{RunningSettings, Settings},
    snapshot::Snapshot,
    traffic_view::TrafficView,
};

/// State of the traffic thread.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: Settings,
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// What the control thread is told.
    pub traffic: Arc<TrafficView>,
    /// Backend servers and their load.
    pub board: RefCell<LoadBalancer>,
    /// Requests that were in flight on crashing servers.
    pub quarantine: Quarantine,
    /// What peers have not been told yet.
    pub outbox: Outbox,
    /// Bodies that are kept whole.
    pub held: Rc<HeldBytes>,
    /// Requests without a complete answer.
    pub open_requests: Cell<usize>,
    /// Connections of clients.
    pub open_connections: Cell<usize>,
    /// Whether the process was told to stop.
    pub stopping: watch::Sender<Stopping>,
    snapshot: RefCell<Arc<Snapshot>>,
    retries: RefCell<IndexMap<ServiceName, RetryWindow>>,
    running_settings: Cell<RunningSettings>,
    epoch: Instant,
}

/// How far a shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stopping {
    /// The process serves.
    No,
    /// The balancer is told; clients are asked to close their connections.
    Announced,
    /// Idle connections are closed.
    Finishing,
}

impl Gateway {
    /// Creates the state of a process that knows nothing yet.
    pub fn new(
        settings: Settings,
        log: Logger,
        metrics: Arc<Metrics>,
        traffic: Arc<TrafficView>,
        epoch: Instant,
    ) -> Self {
        Self {
            running_settings: Cell::new(settings.running()),
            settings,
            log,
            metrics,
            traffic,
            board: RefCell::default(),
            quarantine: Quarantine::new(),
            outbox: Outbox::default(),
            held: Rc::default(),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            stopping: watch::Sender::new(Stopping::No),
            snapshot: RefCell::default(),
            retries: RefCell::default(),
            epoch,
        }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.borrow())
    }

    /// Tells whether clients may be sent here.
    pub fn ready(&self) -> bool {
        *self.stopping.borrow() == Stopping::No && self.snapshot.borrow().complete()
    }

    /// Takes over snapshots of the control thread until it ends.
    pub async fn follow(self: Rc<Self>, mut published: watch::Receiver<Arc<Snapshot>>) {
        while published.changed().await.is_ok() {
            let snapshot = Arc::clone(&published.borrow_and_update());
            let was_ready = self.ready();
            let news = snapshot.news != self.snapshot.borrow().news;
            let instances = u32::try_from(snapshot.peers.len() + 1).unwrap_or(u32::MAX);
            let mut board = self.board.borrow_mut();
            board.set_instances(instances);
            if let Some(config) = &snapshot.config {
                board.apply(&snapshot.servers, config);
            }
            drop(board);
            self.metrics
                .set_members(snapshot.servers.len(), snapshot.peers.len());
            *self.snapshot.borrow_mut() = snapshot;
            if !was_ready && self.ready() {
                info!(self.log, "ready");
            }
            if news {
                self.tell_peers();
            }
        }
    }

    /// Returns the settings that can change while the process runs.
    pub fn running_settings(&self) -> RunningSettings {
        self.running_settings.get()
    }

    /// Takes over settings; returns whether they differ from the present ones.
    pub fn set_running_settings(&self, settings: RunningSettings) -> bool {
        let before = self.running_settings.replace(settings);
        if before.retry_window != settings.retry_window {
            // Counts of another window cannot be carried over.
            self.retries.borrow_mut().clear();
        }
        before != settings
    }

    /// Counts a request of a client in the retry budget of its service.
    pub fn count_request(&self, service: &ServiceName) {
        self.traffic.on_request(self.now());
        self.with_retries(service, RetryWindow::on_request);
    }

    /// Tells whether a retry is left in the budget of a service.
    pub fn may_retry(&self, service: &ServiceName) -> bool {
        self.with_retries(service, RetryWindow::may_retry)
    }

    /// Takes one retry from the budget of a service.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        self.with_retries(service, RetryWindow::try_retry)
    }

    /// Queues the prefixes of a prompt that was sent, for peers.
    pub fn tell_prefixes(&self, sent: Option<SentPrefixes>) {
        if let Some(sent) = sent {
            self.outbox.add_prefixes(sent);
        }
    }

    /// Wakes the task that tells peers of prompts and running requests.
    pub fn tell_peers(&self) {
        self.outbox.wake();
    }

    /// Notes that a server crashed while it ran the given request, and queues this for peers.
    pub fn strike(&self, server: &InstanceId, fingerprint: u128) {
        let events = self.quarantine.on_crash(self.now(), server, &[fingerprint]);
        for event in events {
            info!(self.log, "request suspected"; "fingerprint" => format!("{fingerprint:032x}"),
                "server" => %server, "verdict" => ?event.kind);
            let StrikeEvent {
                fingerprint,
                server,
                ..
            } = event;
            let note = StrikeNote {
                fingerprint,
                server,
            };
            self.outbox.add_strike(note);
        }
    }

    /// Takes over a strike that a peer has told.
    pub fn on_peer_strike(&self, strike: StrikeNote) {
        let event = StrikeEvent {
            fingerprint: strike.fingerprint,
            server: strike.server,
            kind: StrikeKind::Suspected,
        };
        self.quarantine.apply_remote(self.now(), event);
    }

    /// Uses the part of a service's retry budget that this instance has.
    fn with_retries<T>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut RetryWindow, Duration, &SharedRetryBudget) -> T,
    ) -> T {
        let mut retries = self.retries.borrow_mut();
        let window = retries.entry(service.clone()).or_default();
        operation(window, self.now(), &self.retry_share())
    }

    fn retry_share(&self) -> SharedRetryBudget {
        let settings = self.running_settings.get();
        SharedRetryBudget {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
            instances: self.snapshot.borrow().peers.len() + 1,
        }
    }
}
