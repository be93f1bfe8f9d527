//! The run of a stream at an unresponsive engine, held while the stream tries to go on elsewhere.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::{task::spawn_local, time::sleep};
use wagtailarch_wire::body_framing::BodyFraming;

use crate::generation::StartedGeneration;

/// Time for which a run is held.
///
/// An engine must not work on a request for long that goes on at another one. An unresponsive engine
/// hardly does, and the platform allows 400 ms.
const HOLD_TIME: Duration = Duration::from_millis(250);

/// The run of a stream at an unresponsive engine, held while the stream tries to go on elsewhere.
///
/// The engine may lack only the end of its response. The next one then has no further event, which does
/// not prove that the stream is complete, so that the stream goes back. The run is cancelled after
/// `HOLD_TIME`, or when this value is dropped.
#[derive(Debug)]
pub struct HeldRun(Rc<RefCell<Option<UnfinishedRun>>>);

/// A run and how far its response has been read.
#[derive(Debug)]
pub struct UnfinishedRun {
    /// The run with the rest of its response.
    pub started: StartedGeneration,
    /// Framing of the response.
    pub framing: BodyFraming,
    /// Bytes of the response that form no complete event yet.
    pub rest: Bytes,
    /// Whether the run goes on after events of another one.
    pub is_resumed: bool,
    /// Whether the run has sent a complete event.
    pub has_event: bool,
    /// Whether an event of the run has been recorded as output of the prompt's parts.
    pub output_recorded: bool,
}

impl HeldRun {
    /// Holds a run for `HOLD_TIME`.
    pub fn new(run: UnfinishedRun) -> Self {
        let run = Rc::new(RefCell::new(Some(run)));
        let held = Rc::downgrade(&run);
        spawn_local(async move {
            sleep(HOLD_TIME).await;
            if let Some(run) = held.upgrade() {
                run.take();
            }
        });
        Self(run)
    }

    /// Returns the run unless it has been cancelled.
    pub fn take(self) -> Option<UnfinishedRun> {
        self.0.take()
    }
}
