//! The start and stop of the control thread.

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

/// Reason why the control thread could not start.
#[derive(Debug, Display)]
pub enum ControlError {
    /// cannot start a thread or its runtime: {0}
    Thread(io::Error),
    /// cannot read the fleet file: {0}
    FleetFile(String),
}

impl std::error::Error for ControlError {}

/// Inputs of the control thread from the rest of the instance.
pub struct ControlInputs {
    /// Platform client, which only the control thread uses.
    pub platform: Arc<dyn Platform>,
    /// Events of the traffic threads.
    pub events: mpsc::Receiver<ControlEvent>,
    /// Transport to other instances and its events; `None` without a peer address.
    pub peers: Option<(Peers, mpsc::Receiver<PeerEvent>)>,
}

/// Handle of the control thread; the thread ends when the handle is dropped.
#[derive(Debug)]
pub struct ControlThread {
    stop_sender: oneshot::Sender<()>,
    end_receiver: oneshot::Receiver<()>,
}

impl ControlThread {
    /// Loads the fleet file, if one is set, and starts the thread with its own runtime.
    pub fn start(shared: Arc<Shared>, inputs: ControlInputs) -> Result<Self, ControlError> {
        load_fleet_file(&shared)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ControlError::Thread)?;
        let (stop_sender, stop_receiver) = oneshot::channel();
        let (end_sender, end_receiver) = oneshot::channel();
        thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                runtime.block_on(async {
                    tokio::select! {
                        () = run(shared, inputs) => {}
                        _ = stop_receiver => {}
                    }
                });
                let _ = end_sender.send(());
            })
            .map_err(ControlError::Thread)?;
        Ok(Self {
            stop_sender,
            end_receiver,
        })
    }

    /// Stops the thread and waits until it has ended.
    pub async fn stop(self) {
        let _ = self.stop_sender.send(());
        let _ = self.end_receiver.await;
    }
}

/// Publishes the fleet file of the settings, if there is one, as generation 1.
fn load_fleet_file(shared: &Shared) -> Result<(), ControlError> {
    let Some(path) = &shared.settings.fleet_file else {
        return Ok(());
    };
    let text = std::fs::read_to_string(path).map_err(|e| ControlError::FleetFile(e.to_string()))?;
    let fleet: Fleet = toml::from_str(&text).map_err(|e| ControlError::FleetFile(e.to_string()))?;
    shared.publish_configuration(Snapshot::new(1, Arc::new(fleet)));
    Ok(())
}
