//! Watches the configuration in the platform's store.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};
use wagtailarch_fleet::MANIFEST_KEY;
use wagtailarch_platform::{ConfigError, Platform, PlatformError};
use wagtailarch_types::{Generation, ObjectVersion};
use wagtailarch_wire::platform::InstanceList;

use super::exchange::ConfigExchange;
use crate::{shared::Shared, snapshot::Snapshot};

/// Time for which one watch waits for a change; it counts as one call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of updates that are queued for the control thread.
const UPDATE_QUEUE_CAPACITY: usize = 4;

/// A configuration or list of instances for the control thread.
pub(super) enum ConfigUpdate {
    /// A configuration from the platform or from a peer.
    Configuration(Snapshot),
    /// A list of instances from a peer.
    List(InstanceList),
}

/// Queue of the updates and the availability of the platform.
pub(super) struct ConfigUpdates {
    pub(super) sender: mpsc::Sender<ConfigUpdate>,
    pub(super) receiver: mpsc::Receiver<ConfigUpdate>,
    /// Whether the last read of the configuration from the platform succeeded; false before the
    /// first one.
    pub(super) platform_available: watch::Receiver<bool>,
}

/// Starts a task that watches the manifest and sends each newer configuration once.
pub(super) fn watch_configuration(
    shared: &Arc<Shared>,
    platform: Arc<dyn Platform>,
    exchange: &Arc<ConfigExchange>,
) -> ConfigUpdates {
    let (sender, receiver) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
    let (availability, available) = watch::channel(false);
    if shared.settings.fleet_file.is_none() {
        let watcher = ConfigWatcher {
            shared: Arc::clone(shared),
            platform,
            exchange: Arc::clone(exchange),
            availability,
            last_generation: 0,
        };
        tokio::spawn(watcher.run(sender.clone()));
    }
    ConfigUpdates {
        sender,
        receiver,
        platform_available: available,
    }
}

struct ConfigWatcher {
    shared: Arc<Shared>,
    platform: Arc<dyn Platform>,
    exchange: Arc<ConfigExchange>,
    /// Whether the last read of the configuration succeeded.
    availability: watch::Sender<bool>,
    /// Generation of the last configuration that was sent.
    last_generation: Generation,
}

impl ConfigWatcher {
    async fn run(mut self, sender: mpsc::Sender<ConfigUpdate>) {
        // Revision from which the next watch starts. It is read before the manifest, so that no
        // change between the two reads is missed.
        let mut next_revision: Option<ObjectVersion> = None;
        loop {
            let revision = match next_revision {
                Some(revision) => revision,
                None => match self.platform.list(MANIFEST_KEY, None, 1).await {
                    Ok(page) => page.revision,
                    Err(_) => {
                        self.availability.send_replace(false);
                        sleep(RETRY_DELAY).await;
                        continue;
                    }
                },
            };
            next_revision = Some(revision);
            match self.load().await {
                Ok(None) => {
                    self.availability.send_replace(true);
                }
                Ok(Some(snapshot)) => {
                    self.availability.send_replace(true);
                    self.last_generation = snapshot.generation;
                    let update = ConfigUpdate::Configuration(snapshot);
                    if sender.send(update).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    self.availability.send_replace(false);
                    slog::warn!(self.shared.log, "configuration_not_loaded"; "error" => %error);
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            }
            match self
                .platform
                .watch(MANIFEST_KEY, revision, WATCH_TIMEOUT)
                .await
            {
                Ok(response) => next_revision = Some(response.revision),
                Err(PlatformError::Expired) => next_revision = None,
                Err(_) => {
                    self.availability.send_replace(false);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Loads the configuration if it is newer than the last one that was sent.
    async fn load(&self) -> Result<Option<Snapshot>, ConfigError> {
        let Some(manifest) = self.exchange.store.current().await? else {
            return Ok(None);
        };
        if manifest.generation <= self.last_generation {
            return Ok(None);
        }
        let fleet = self.exchange.store.load(&manifest).await?;
        self.exchange.set_loaded_manifest(&manifest);
        Ok(Some(Snapshot::new(manifest.generation, Arc::new(fleet))))
    }
}
