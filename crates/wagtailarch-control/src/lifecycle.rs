//! The lifecycle of one engine as the zone sees it.

use std::time::Duration;

use statig::blocking::{IntoStateMachineExt as _, StateMachine};
use statig::prelude::*;
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
    /// The engine was declared failed.
    Lost,
    /// Time passed.
    Tick,
}

/// Lifecycle of one engine. It begins as crashed, until the first report.
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
    /// Returns the lifecycle of an engine that was just discovered and that eases in over
    /// `ease_in`.
    pub fn new(now: Duration, ease_in: Duration) -> Self {
        let inner = Inner {
            ease_in,
            serving_since: now,
        };
        Self {
            machine: inner.state_machine(),
        }
    }

    /// Takes an event.
    pub fn on_event(&mut self, now: Duration, event: LifecycleEvent) {
        self.machine.handle(&Timed { now, event });
    }

    /// Returns the present phase.
    pub fn phase(&self) -> LifecyclePhase {
        match self.machine.state() {
            State::Serving {} => LifecyclePhase::Serving,
            State::Draining {} => LifecyclePhase::Draining,
            State::Changing {} => LifecyclePhase::Changing,
            State::EasingIn {} => LifecyclePhase::EasingIn,
            State::Crashed {} => LifecyclePhase::Crashed,
        }
    }

    /// Returns the time at which the engine last began to serve, the start of its slow start.
    pub fn serving_since(&self) -> Duration {
        self.machine.inner().serving_since
    }
}

/// Event with its time.
#[derive(Debug)]
struct Timed {
    now: Duration,
    event: LifecycleEvent,
}

/// Shared storage of the state machine.
#[derive(Debug)]
struct Inner {
    ease_in: Duration,
    serving_since: Duration,
}

#[state_machine(
    initial = "State::crashed()",
    state(derive(Debug)),
    visibility = "pub(self)"
)]
impl Inner {
    #[state(superstate = "reporting")]
    fn serving(event: &Timed) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Report(BackendState::Serving) => Handled,
            _ => Super,
        }
    }

    /// An engine whose drain was taken back still has its caches, so it serves at once.
    #[state(superstate = "reporting")]
    fn draining(event: &Timed) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Report(BackendState::Serving) => Transition(State::serving()),
            _ => Super,
        }
    }

    #[state(superstate = "reporting")]
    fn changing(event: &Timed) -> Outcome<State> {
        let _ = event;
        Super
    }

    #[state(superstate = "reporting")]
    fn easing_in(&mut self, event: &Timed) -> Outcome<State> {
        let over = event.now >= self.serving_since + self.ease_in;
        match event.event {
            LifecycleEvent::Report(BackendState::Serving) | LifecycleEvent::Tick if over => {
                Transition(State::serving())
            }
            LifecycleEvent::Report(BackendState::Serving) => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "reporting")]
    fn crashed(event: &Timed) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Lost => Handled,
            _ => Super,
        }
    }

    #[superstate]
    fn reporting(&mut self, event: &Timed) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Report(BackendState::Serving) => {
                self.serving_since = event.now;
                Transition(State::easing_in())
            }
            LifecycleEvent::Report(BackendState::Draining) => Transition(State::draining()),
            LifecycleEvent::Report(BackendState::Changing) => Transition(State::changing()),
            LifecycleEvent::Lost => Transition(State::crashed()),
            LifecycleEvent::Tick => Handled,
        }
    }
}
