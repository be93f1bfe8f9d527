//! The run of a stream at an unresponsive engine, held while the stream tries to go on elsewhere.

use std::{cell::RefCell, rc::Rc, time::Duration};

use tokio::{task::spawn_local, time::sleep};

use crate::relayed_run::RelayedRun;

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
pub struct HeldRun(Rc<RefCell<Option<RelayedRun>>>);

impl HeldRun {
    /// Holds a run for `HOLD_TIME`.
    pub fn new(run: RelayedRun) -> Self {
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
    pub fn take(self) -> Option<RelayedRun> {
        self.0.take()
    }
}
