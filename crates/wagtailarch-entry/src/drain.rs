//! The stages of an instance's shutdown (G8).

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

/// Time for the tasks of cut connections to end.
const CUT_TIME: Duration = Duration::from_millis(200);

/// The shutdown of one instance.
///
/// The balancer learns from `/readyz` that the instance leaves, and sends clients until then, so
/// the instance serves for `drain_delay_ms` before it stops accepting.
pub struct Drain {
    shared: Arc<Shared>,
    machine: StateMachine<Stages>,
}

impl Drain {
    /// Creates the shutdown of an instance that serves.
    pub fn new(shared: Arc<Shared>) -> Self {
        let stages = Stages {
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
        self.machine.handle(&Event::DelayOver);
        let finished = timeout(ms(timeouts.drain_ms), self.shared.finish_running())
            .await
            .is_ok();
        self.machine.handle(&Event::End);
        if !finished {
            sleep(CUT_TIME).await;
        }
        finished
    }
}

/// What moves a shutdown on.
enum Event {
    /// The process was told to end.
    Terminate,
    /// The balancer has had its time to notice.
    DelayOver,
    /// Nothing runs any more, or the time to finish is over.
    End,
}

/// Owner of the stages; entering one publishes it.
struct Stages {
    shared: Arc<Shared>,
}

impl Stages {
    fn publish(&self, stage: Stage) {
        self.shared.stage.send_replace(stage);
        info!(self.shared.log, "stage"; "stage" => ?stage, "running" => self.shared.active_count());
    }
}

#[state_machine(initial = "State::serving()", visibility = "pub(self)")]
impl Stages {
    #[state]
    fn serving(event: &Event) -> Outcome<State> {
        match event {
            Event::Terminate => Transition(State::leaving()),
            Event::DelayOver | Event::End => Handled,
        }
    }

    #[state(entry_action = "enter_leaving")]
    fn leaving(event: &Event) -> Outcome<State> {
        match event {
            Event::DelayOver => Transition(State::finishing()),
            Event::Terminate | Event::End => Handled,
        }
    }

    #[state(entry_action = "enter_finishing")]
    fn finishing(event: &Event) -> Outcome<State> {
        match event {
            Event::End => Transition(State::stopped()),
            Event::Terminate | Event::DelayOver => Handled,
        }
    }

    #[state(entry_action = "enter_stopped")]
    fn stopped(event: &Event) -> Outcome<State> {
        match event {
            Event::Terminate | Event::DelayOver | Event::End => Handled,
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
    fn enter_stopped(&mut self) {
        self.publish(Stage::Stopped);
    }
}
