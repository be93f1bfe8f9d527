//! Follows the configuration of the platform.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::sleep};
use wagtailarch_fleet::MANIFEST_KEY;
use wagtailarch_platform::{ConfigError, ConfigStore, Platform, PlatformError};
use wagtailarch_types::{Generation, ObjectVersion};

use crate::{shared::Shared, snapshot::Snapshot};

/// Time of one watch, which counts as one call.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed call.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Loaded configurations that wait for the control thread.
const QUEUE: usize = 4;

/// Starts to follow the manifest; each newer configuration comes once.
pub(super) fn follow_configuration(
    shared: &Arc<Shared>,
    platform: Arc<dyn Platform>,
) -> mpsc::Receiver<Snapshot> {
    let (sender, receiver) = mpsc::channel(QUEUE);
    if shared.settings.fleet_file.is_none() {
        let store = ConfigStore::new(Arc::clone(&platform), &shared.settings.instance);
        let follower = Follower {
            shared: Arc::clone(shared),
            platform,
            store,
            loaded: 0,
        };
        tokio::spawn(follower.run(sender));
    }
    receiver
}

struct Follower {
    shared: Arc<Shared>,
    platform: Arc<dyn Platform>,
    store: ConfigStore,
    /// Generation that was passed on last.
    loaded: Generation,
}

impl Follower {
    async fn run(mut self, sender: mpsc::Sender<Snapshot>) {
        // Revision from which to watch; it is read before the manifest, so that no change between
        // them is missed.
        let mut since: Option<ObjectVersion> = None;
        loop {
            let from = match since {
                Some(from) => from,
                None => match self.platform.list(MANIFEST_KEY, None, 1).await {
                    Ok(page) => page.revision,
                    Err(_) => {
                        sleep(RETRY_AFTER).await;
                        continue;
                    }
                },
            };
            since = Some(from);
            match self.load().await {
                Ok(None) => {}
                Ok(Some(snapshot)) => {
                    self.loaded = snapshot.generation;
                    if sender.send(snapshot).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    slog::warn!(self.shared.log, "configuration_not_loaded"; "error" => %error);
                    sleep(RETRY_AFTER).await;
                    continue;
                }
            }
            match self.platform.watch(MANIFEST_KEY, from, WATCH_WAIT).await {
                Ok(answer) => since = Some(answer.revision),
                Err(PlatformError::Expired) => since = None,
                Err(_) => sleep(RETRY_AFTER).await,
            }
        }
    }

    /// Loads the configuration if it is newer than the last one.
    async fn load(&self) -> Result<Option<Snapshot>, ConfigError> {
        let Some(manifest) = self.store.current().await? else {
            return Ok(None);
        };
        if manifest.generation <= self.loaded {
            return Ok(None);
        }
        let fleet = self.store.load(&manifest).await?;
        Ok(Some(Snapshot::new(manifest.generation, Arc::new(fleet))))
    }
}
