//! Events of the traffic threads for the control thread.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;
use wagtailarch_control::BackendObservation;
use wagtailarch_traffic::StrikeEvent;
use wagtailarch_types::InstanceId;

use crate::metrics::Metrics;

/// Events that may wait for the control thread; further ones are dropped and counted.
pub const EVENT_QUEUE: usize = 4_096;

/// Greatest number of backend servers that are remembered as failing.
const MAX_FAILING: usize = 8_192;

/// Event of a traffic thread for the control thread; each is a hint that may be dropped.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlEvent {
    /// What a traffic thread experienced with a backend server.
    Sign {
        /// Backend server.
        backend: InstanceId,
        /// What happened.
        sign: BackendObservation,
    },
    /// New strikes of this instance, to be flooded.
    Strikes(Vec<StrikeEvent>),
}

/// Sending side of the events.
#[derive(Debug)]
pub struct Events {
    sender: mpsc::Sender<ControlEvent>,
    /// Backend servers whose last sign was a connect failure; at most `MAX_FAILING`.
    ///
    /// Only the first success after a failure is an event, not that of every request.
    failing: Mutex<HashSet<InstanceId>>,
}

impl Events {
    /// Creates the queue.
    pub fn new() -> (Self, mpsc::Receiver<ControlEvent>) {
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE);
        (
            Self {
                sender,
                failing: Mutex::default(),
            },
            receiver,
        )
    }

    /// Tells that a backend server is leaving or could not be reached.
    pub fn failed(&self, metrics: &Metrics, backend: &InstanceId, sign: BackendObservation) {
        if sign == BackendObservation::ConnectFailed {
            let mut failing = self.failing();
            if failing.len() < MAX_FAILING {
                failing.insert(backend.clone());
            }
        }
        self.send(
            metrics,
            ControlEvent::Sign {
                backend: backend.clone(),
                sign,
            },
        );
    }

    /// Tells that a backend server has answered.
    pub fn succeeded(&self, metrics: &Metrics, backend: &InstanceId) {
        if !self.failing().remove(backend) {
            return;
        }
        let sign = BackendObservation::Succeeded;
        self.send(
            metrics,
            ControlEvent::Sign {
                backend: backend.clone(),
                sign,
            },
        );
    }

    /// Tells of strikes.
    pub fn strikes(&self, metrics: &Metrics, strikes: Vec<StrikeEvent>) {
        if !strikes.is_empty() {
            self.send(metrics, ControlEvent::Strikes(strikes));
        }
    }

    fn send(&self, metrics: &Metrics, event: ControlEvent) {
        let kind = match event {
            ControlEvent::Sign { .. } => "sign",
            ControlEvent::Strikes(_) => "strikes",
        };
        if self.sender.try_send(event).is_err() {
            metrics.count_dropped_hint(kind);
        }
    }

    fn failing(&self) -> MutexGuard<'_, HashSet<InstanceId>> {
        self.failing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
