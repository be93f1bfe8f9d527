//! The lifecycle of one engine as the zone sees it.

use std::time::Duration;

use wagtailarch_types::BackendState;

/// Phase of an engine's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecyclePhase {
    /// Takes its full share of work.
    Serving,
    /// Finishes running work.
    Draining,
    /// Loads an assignment.
    Changing,
    /// Takes a rising share of work.
    EasingIn,
    /// Does not report.
    Crashed,
}

/// Event of an engine's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// A report arrived.
    Report(BackendState),
    /// A drain order was given.
    DrainOrdered,
    /// The engine was declared failed.
    Lost,
    /// Time passed.
    Tick,
}

/// Lifecycle of one engine.
#[derive(Debug)]
pub struct EngineLifecycle {
    phase: LifecyclePhase,
}

impl EngineLifecycle {
    /// Returns the lifecycle of an engine that was just discovered and that eases in over
    /// `ease_in`.
    pub fn new(_now: Duration, _ease_in: Duration) -> Self {
        Self {
            phase: LifecyclePhase::Crashed,
        }
    }

    /// Takes an event.
    pub fn on_event(&mut self, _now: Duration, _event: LifecycleEvent) {
        todo!()
    }

    /// Returns the present phase.
    pub fn phase(&self) -> LifecyclePhase {
        self.phase
    }

    /// Returns the time at which the engine last began to serve, the start of its slow start.
    pub fn since(&self) -> Duration {
        todo!()
    }
}
