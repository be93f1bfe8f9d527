//! Follows the configuration of the platform.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};
use wagtailarch_fleet::MANIFEST_KEY;
use wagtailarch_platform::{ConfigError, Platform, PlatformError};
use wagtailarch_types::{Generation, ObjectVersion};
use wagtailarch_wire::platform::InstanceList;

use super::exchange::Exchange;
use crate::{shared::Shared, snapshot::Snapshot};

/// Time of one watch, which counts as one call.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed call.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Loaded configurations that wait for the control thread.
const QUEUE: usize = 4;

/// What was found for the control thread.
pub(super) enum Found {
    /// A configuration of the platform or a peer.
    Configuration(Snapshot),
    /// A list of instances of a peer.
    List(InstanceList),
}

/// Where findings arrive.
pub(super) struct Findings {
    pub(super) sender: mpsc::Sender<Found>,
    pub(super) receiver: mpsc::Receiver<Found>,
    /// Whether the platform answers; false until its first answer.
    pub(super) platform: watch::Receiver<bool>,
}

/// Starts to follow the manifest; each newer configuration comes once.
pub(super) fn follow_configuration(
    shared: &Arc<Shared>,
    platform: Arc<dyn Platform>,
    exchange: &Arc<Exchange>,
) -> Findings {
    let (sender, receiver) = mpsc::channel(QUEUE);
    let (answers, is_answering) = watch::channel(false);
    if shared.settings.fleet_file.is_none() {
        let follower = Follower {
            shared: Arc::clone(shared),
            platform,
            exchange: Arc::clone(exchange),
            answers,
            loaded: 0,
        };
        tokio::spawn(follower.run(sender.clone()));
    }
    Findings {
        sender,
        receiver,
        platform: is_answering,
    }
}

struct Follower {
    shared: Arc<Shared>,
    platform: Arc<dyn Platform>,
    exchange: Arc<Exchange>,
    /// Whether the platform answers.
    answers: watch::Sender<bool>,
    /// Generation that was passed on last.
    loaded: Generation,
}

impl Follower {
    async fn run(mut self, sender: mpsc::Sender<Found>) {
        // Revision from which to watch; it is read before the manifest, so that no change between
        // them is missed.
        let mut since: Option<ObjectVersion> = None;
        loop {
            let from = match since {
                Some(from) => from,
                None => match self.platform.list(MANIFEST_KEY, None, 1).await {
                    Ok(page) => page.revision,
                    Err(_) => {
                        self.answers.send_replace(false);
                        sleep(RETRY_AFTER).await;
                        continue;
                    }
                },
            };
            since = Some(from);
            match self.load().await {
                Ok(None) => {
                    self.answers.send_replace(true);
                }
                Ok(Some(snapshot)) => {
                    self.answers.send_replace(true);
                    self.loaded = snapshot.generation;
                    let found = Found::Configuration(snapshot);
                    if sender.send(found).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    self.answers.send_replace(false);
                    slog::warn!(self.shared.log, "configuration_not_loaded"; "error" => %error);
                    sleep(RETRY_AFTER).await;
                    continue;
                }
            }
            match self.platform.watch(MANIFEST_KEY, from, WATCH_WAIT).await {
                Ok(answer) => since = Some(answer.revision),
                Err(PlatformError::Expired) => since = None,
                Err(_) => {
                    self.answers.send_replace(false);
                    sleep(RETRY_AFTER).await;
                }
            }
        }
    }

    /// Loads the configuration if it is newer than the last one.
    async fn load(&self) -> Result<Option<Snapshot>, ConfigError> {
        let Some(manifest) = self.exchange.store.current().await? else {
            return Ok(None);
        };
        if manifest.generation <= self.loaded {
            return Ok(None);
        }
        let fleet = self.exchange.store.load(&manifest).await?;
        self.exchange.set_loaded(&manifest);
        Ok(Some(Snapshot::new(manifest.generation, Arc::new(fleet))))
    }
}
