//! Events from the traffic threads to the control thread.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;
use wagtailarch_control::BackendObservation;
use wagtailarch_traffic::StrikeEvent;
use wagtailarch_types::InstanceId;

use crate::metrics::Metrics;

/// Maximum number of queued events; further ones are dropped and counted.
pub const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of backend servers that are stored as failing.
const MAX_FAILING_BACKENDS: usize = 8_192;

/// Event from a traffic thread to the control thread; each is a hint that may be dropped.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlEvent {
    /// Observation of a traffic thread at a backend server.
    Observation {
        /// Backend server.
        backend: InstanceId,
        /// Observed event.
        observation: BackendObservation,
    },
    /// New strikes of this instance, which the control thread floods.
    Strikes(Vec<StrikeEvent>),
}

/// Sending side of the events.
#[derive(Debug)]
pub struct Events {
    sender: mpsc::Sender<ControlEvent>,
    /// Backend servers whose last observation was a connect failure; at most
    /// `MAX_FAILING_BACKENDS`.
    ///
    /// Only the first success after a failure is sent as an event, not that of every request.
    failing_backends: Mutex<HashSet<InstanceId>>,
}

impl Events {
    /// Creates the queue and returns its sending and its receiving side.
    pub fn new() -> (Self, mpsc::Receiver<ControlEvent>) {
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        (
            Self {
                sender,
                failing_backends: Mutex::default(),
            },
            receiver,
        )
    }

    /// Reports that a backend server is leaving or could not be reached.
    pub fn report_failure(
        &self,
        metrics: &Metrics,
        backend: &InstanceId,
        observation: BackendObservation,
    ) {
        if observation == BackendObservation::ConnectFailed {
            let mut failing_backends = self.failing_backends();
            if failing_backends.len() < MAX_FAILING_BACKENDS {
                failing_backends.insert(backend.clone());
            }
        }
        self.send(
            metrics,
            ControlEvent::Observation {
                backend: backend.clone(),
                observation,
            },
        );
    }

    /// Reports a completed request of a backend server, if a connection to it failed before.
    pub fn report_success(&self, metrics: &Metrics, backend: &InstanceId) {
        if !self.failing_backends().remove(backend) {
            return;
        }
        let observation = BackendObservation::Succeeded;
        self.send(
            metrics,
            ControlEvent::Observation {
                backend: backend.clone(),
                observation,
            },
        );
    }

    /// Reports new strikes.
    pub fn report_strikes(&self, metrics: &Metrics, strikes: Vec<StrikeEvent>) {
        if !strikes.is_empty() {
            self.send(metrics, ControlEvent::Strikes(strikes));
        }
    }

    fn send(&self, metrics: &Metrics, event: ControlEvent) {
        let kind = match event {
            ControlEvent::Observation { .. } => "sign",
            ControlEvent::Strikes(_) => "strikes",
        };
        if self.sender.try_send(event).is_err() {
            metrics.count_dropped_hint(kind);
        }
    }

    fn failing_backends(&self) -> MutexGuard<'_, HashSet<InstanceId>> {
        self.failing_backends
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
