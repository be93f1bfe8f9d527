//! Start and end of the control thread.

use std::{io, sync::Arc, thread};

use displaydoc::Display;
use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};
use wagtailarch_fleet::Fleet;
use wagtailarch_platform::{ConfigStore, Platform};

use super::backends::Backends;
use crate::{
    events::ControlEvent,
    peers::{PeerEvent, Peers},
    settings::ms,
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

async fn run(shared: Arc<Shared>, mut inputs: ControlInputs) {
    let mut backends = Backends::new(Arc::clone(&shared));
    let store = ConfigStore::new(Arc::clone(&inputs.platform), &shared.settings.instance);
    let mut list = tokio::time::interval(ms(shared.settings.timeouts.list_ms));
    let mut report = tokio::time::interval(ms(shared.settings.timeouts.report_ms));
    list.set_missed_tick_behavior(MissedTickBehavior::Delay);
    report.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = list.tick() => {
                backends.read_list(&*inputs.platform).await;
                load_configuration(&shared, &store).await;
            }
            _ = report.tick() => backends.read_reports().await,
            Some(event) = inputs.events.recv() => backends.on_event(event),
            Some(event) = peer_event(&mut inputs.peers) => {
                slog::trace!(shared.log, "peer_event"; "event" => ?event);
            }
        }
    }
}

/// Waits for an event of the transport; for ever without one.
async fn peer_event(peers: &mut Option<(Peers, mpsc::Receiver<PeerEvent>)>) -> Option<PeerEvent> {
    match peers {
        Some((_, events)) => events.recv().await,
        None => std::future::pending().await,
    }
}

/// Publishes the configuration of the platform if it is newer than the one in force.
async fn load_configuration(shared: &Shared, store: &ConfigStore) {
    if shared.settings.fleet_file.is_some() {
        return;
    }
    let Ok(Some(manifest)) = store.current().await else {
        return;
    };
    let in_force = shared
        .snapshot
        .load()
        .as_ref()
        .map_or(0, |snapshot| snapshot.generation);
    if manifest.generation <= in_force {
        return;
    }
    match store.load(&manifest).await {
        Ok(fleet) => {
            shared.publish_configuration(Snapshot::new(manifest.generation, Arc::new(fleet)));
        }
        Err(error) => {
            slog::warn!(shared.log, "configuration_not_loaded"; "error" => %error,
                "generation" => manifest.generation);
        }
    }
}
