//! The lifecycle of one engine, as derived from its reports.

use std::time::Duration;

use statig::blocking::{IntoStateMachineExt as _, StateMachine};
use statig::prelude::*;
use wagtailarch_types::BackendState;

/// Phase of an engine's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecyclePhase {
    /// Gets its full share of work.
    Serving,
    /// Finishes running work and gets no new work.
    Draining,
    /// Loads a new assignment.
    Changing,
    /// Gets a rising share of work.
    SlowStart,
    /// Sends no reports.
    Crashed,
}

/// Event in an engine's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// A report with this state arrived.
    Report(BackendState),
    /// The engine was declared failed.
    Failed,
    /// Time passed.
    Tick,
}

/// Lifecycle of one engine. It starts as crashed until the first report arrives.
pub struct EngineLifecycle {
    machine: StateMachine<Inner>,
}

impl std::fmt::Debug for EngineLifecycle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineLifecycle")
            .field("phase", &self.phase())
            .field("serving_since", &self.serving_since())
            .finish()
    }
}

impl EngineLifecycle {
    /// Creates the lifecycle of an engine that was just discovered. Its slow start lasts
    /// `slow_start_time`.
    pub fn new(now: Duration, slow_start_time: Duration) -> Self {
        let inner = Inner {
            slow_start_time,
            serving_since: now,
        };
        Self {
            machine: inner.state_machine(),
        }
    }

    /// Handles an event.
    pub fn on_event(&mut self, now: Duration, event: LifecycleEvent) {
        self.machine.handle(&TimedEvent { now, event });
    }

    /// Returns the current phase.
    pub fn phase(&self) -> LifecyclePhase {
        match self.machine.state() {
            State::Serving {} => LifecyclePhase::Serving,
            State::Draining {} => LifecyclePhase::Draining,
            State::Changing {} => LifecyclePhase::Changing,
            State::SlowStart {} => LifecyclePhase::SlowStart,
            State::Crashed {} => LifecyclePhase::Crashed,
        }
    }

    /// Returns when the engine last began to serve, which is the start of its slow start.
    pub fn serving_since(&self) -> Duration {
        self.machine.inner().serving_since
    }
}

/// An event and the time at which it is handled.
#[derive(Debug)]
struct TimedEvent {
    now: Duration,
    event: LifecycleEvent,
}

/// Shared storage of the state machine.
#[derive(Debug)]
struct Inner {
    slow_start_time: Duration,
    serving_since: Duration,
}

#[state_machine(
    initial = "State::crashed()",
    state(derive(Debug)),
    visibility = "pub(self)"
)]
impl Inner {
    #[state(superstate = "reporting")]
    fn serving(event: &TimedEvent) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Report(BackendState::Serving) => Handled,
            _ => Super,
        }
    }

    /// An engine whose drain was undone still has its caches, so it needs no slow start.
    #[state(superstate = "reporting")]
    fn draining(event: &TimedEvent) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Report(BackendState::Serving) => Transition(State::serving()),
            _ => Super,
        }
    }

    #[state(superstate = "reporting")]
    fn changing(event: &TimedEvent) -> Outcome<State> {
        let _ = event;
        Super
    }

    #[state(superstate = "reporting")]
    fn slow_start(&mut self, event: &TimedEvent) -> Outcome<State> {
        let finished = event.now >= self.serving_since + self.slow_start_time;
        match event.event {
            LifecycleEvent::Report(BackendState::Serving) | LifecycleEvent::Tick if finished => {
                Transition(State::serving())
            }
            LifecycleEvent::Report(BackendState::Serving) => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "reporting")]
    fn crashed(event: &TimedEvent) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Failed => Handled,
            _ => Super,
        }
    }

    #[superstate]
    fn reporting(&mut self, event: &TimedEvent) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Report(BackendState::Serving) => {
                self.serving_since = event.now;
                Transition(State::slow_start())
            }
            LifecycleEvent::Report(BackendState::Draining) => Transition(State::draining()),
            LifecycleEvent::Report(BackendState::Changing) => Transition(State::changing()),
            LifecycleEvent::Failed => Transition(State::crashed()),
            LifecycleEvent::Tick => Handled,
        }
    }
}
