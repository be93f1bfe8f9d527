//! The shutdown of an instance and its stages (G8).

use std::{sync::Arc, time::Duration};

use slog::info;
use statig::{
    blocking::{IntoStateMachineExt as _, StateMachine},
    prelude::*,
};
use tokio::time::{sleep, timeout};

use crate::{
    settings::ms,
    shared::{Shared, Stage},
};

/// Longest time before the end of the drain time at which requests without a response get one, so
/// that it can be sent.
const RESPONSE_TIME: Duration = Duration::from_millis(400);
/// Time for the tasks of aborted connections to end.
const ABORT_TIME: Duration = Duration::from_millis(200);

/// The shutdown of one instance.
///
/// The load balancer sends clients until it has read from `/readyz` that the instance is leaving.
/// The instance therefore accepts connections for another `drain_delay_ms`.
pub struct Drain {
    shared: Arc<Shared>,
    machine: StateMachine<ShutdownStages>,
}

impl Drain {
    /// Creates the shutdown of a serving instance.
    pub fn new(shared: Arc<Shared>) -> Self {
        let stages = ShutdownStages {
            shared: Arc::clone(&shared),
        };
        Self {
            shared,
            machine: stages.state_machine(),
        }
    }

    /// Runs the shutdown; returns whether every request finished in time.
    pub async fn run(mut self) -> bool {
        let timeouts = self.shared.settings.timeouts;
        self.machine.handle(&Event::Terminate);
        sleep(ms(timeouts.drain_delay_ms)).await;
        self.machine.handle(&Event::DelayElapsed);
        let drain_time = ms(timeouts.drain_ms);
        let response_time = RESPONSE_TIME.min(drain_time / 2);
        let mut finished = self.is_idle_within(drain_time - response_time).await;
        if !finished {
            self.machine.handle(&Event::ResponsesDue);
            finished = self.is_idle_within(response_time).await;
        }
        self.machine.handle(&Event::Finished);
        if !finished {
            sleep(ABORT_TIME).await;
        }
        finished
    }

    /// Returns whether every request and connection has ended before `limit`.
    async fn is_idle_within(&self, limit: Duration) -> bool {
        timeout(limit, self.shared.wait_until_idle()).await.is_ok()
    }
}

/// Event that advances the shutdown.
enum Event {
    /// The shutdown was requested.
    Terminate,
    /// The drain delay, in which the load balancer notices the shutdown, has elapsed.
    DelayElapsed,
    /// The drain time is nearly over.
    ResponsesDue,
    /// All requests and connections have ended, or the drain time is over.
    Finished,
}

/// State machine of the stages, which publishes each stage on entry.
struct ShutdownStages {
    shared: Arc<Shared>,
}

impl ShutdownStages {
    fn publish(&self, stage: Stage) {
        self.shared.stage.send_replace(stage);
        info!(self.shared.log, "stage"; "stage" => ?stage, "running" => self.shared.active_count());
    }
}

#[state_machine(initial = "State::serving()", visibility = "pub(self)")]
impl ShutdownStages {
    #[state]
    fn serving(event: &Event) -> Outcome<State> {
        match event {
            Event::Terminate => Transition(State::leaving()),
            Event::DelayElapsed | Event::ResponsesDue | Event::Finished => Handled,
        }
    }

    #[state(entry_action = "enter_leaving")]
    fn leaving(event: &Event) -> Outcome<State> {
        match event {
            Event::DelayElapsed => Transition(State::finishing()),
            Event::Terminate | Event::ResponsesDue | Event::Finished => Handled,
        }
    }

    #[state(entry_action = "enter_finishing")]
    fn finishing(event: &Event) -> Outcome<State> {
        match event {
            Event::ResponsesDue => Transition(State::responding()),
            Event::Finished => Transition(State::stopped()),
            Event::Terminate | Event::DelayElapsed => Handled,
        }
    }

    #[state(entry_action = "enter_responding")]
    fn responding(event: &Event) -> Outcome<State> {
        match event {
            Event::Finished => Transition(State::stopped()),
            Event::Terminate | Event::DelayElapsed | Event::ResponsesDue => Handled,
        }
    }

    #[state(entry_action = "enter_stopped")]
    fn stopped(event: &Event) -> Outcome<State> {
        match event {
            Event::Terminate | Event::DelayElapsed | Event::ResponsesDue | Event::Finished => {
                Handled
            }
        }
    }

    #[action]
    fn enter_leaving(&mut self) {
        self.publish(Stage::Leaving);
    }

    #[action]
    fn enter_finishing(&mut self) {
        self.publish(Stage::Finishing);
    }

    #[action]
    fn enter_responding(&mut self) {
        self.publish(Stage::Responding);
    }

    #[action]
    fn enter_stopped(&mut self) {
        self.publish(Stage::Stopped);
    }
}
