//! Start and end of the control thread.

use std::{io, sync::Arc, thread};

use displaydoc::Display;
use tokio::sync::{mpsc, oneshot};
use wagtailarch_fleet::Fleet;
use wagtailarch_platform::Platform;

use super::driver::run;
use crate::{
    events::ControlEvent,
    peers::{PeerEvent, Peers},
    shared::Shared,
    snapshot::Snapshot,
};

/// Why the control thread could not start.
#[derive(Debug, Display)]
pub enum ControlError {
    /// cannot start a thread or its runtime: {0}
    Thread(io::Error),
    /// cannot read the fleet file: {0}
    FleetFile(String),
}

impl std::error::Error for ControlError {}

/// What the control thread is given by the rest of the instance.
pub struct ControlInputs {
    /// Platform; its client is used by the control thread only.
    pub platform: Arc<dyn Platform>,
    /// Events of the traffic threads.
    pub events: mpsc::Receiver<ControlEvent>,
    /// Transport to other instances and what arrives from them; none without a peer address.
    pub peers: Option<(Peers, mpsc::Receiver<PeerEvent>)>,
}

/// Handle of the control thread; the thread ends when the handle is dropped.
#[derive(Debug)]
pub struct ControlThread {
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl ControlThread {
    /// Starts the thread with a runtime of its own.
    pub fn start(shared: Arc<Shared>, inputs: ControlInputs) -> Result<Self, ControlError> {
        load_fleet_file(&shared)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ControlError::Thread)?;
        let (stop, stopped) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                runtime.block_on(async {
                    tokio::select! {
                        () = run(shared, inputs) => {}
                        _ = stopped => {}
                    }
                });
                let _ = end.send(());
            })
            .map_err(ControlError::Thread)?;
        Ok(Self { stop, ended })
    }

    /// Ends the thread and waits for it.
    pub async fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.ended.await;
    }
}

/// Publishes the fleet file of the settings as generation 1.
fn load_fleet_file(shared: &Shared) -> Result<(), ControlError> {
    let Some(path) = &shared.settings.fleet_file else {
        return Ok(());
    };
    let text = std::fs::read_to_string(path).map_err(|e| ControlError::FleetFile(e.to_string()))?;
    let fleet: Fleet = toml::from_str(&text).map_err(|e| ControlError::FleetFile(e.to_string()))?;
    shared.publish_configuration(Snapshot::new(1, Arc::new(fleet)));
    Ok(())
}
