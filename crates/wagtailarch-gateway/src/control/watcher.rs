//! Following all objects of a kind in the store.

use std::time::Duration;

use slog::{Logger, info, warn};
use wagtailarch_adapter::{
    Kind, StoreFault, StoreObject, decode_list, decode_watch, list_request, watch_request,
};
use wagtailarch_types::ObjectVersion;

use crate::{
    control::{ControlContext, store_error::StoreError},
    http_client::HttpClient,
    metrics::StoreCall,
};

/// Limit on a call that does not wait.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for which a watch waits.
///
/// A store that falls silent does not end a watch. Bounds hold again 3 seconds after it has returned,
/// and a watch that began before has to be over by then.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Time after `WATCH_WAIT` in which the answer has to arrive.
const WATCH_MARGIN: Duration = Duration::from_millis(400);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls; each call is priced, also while the store is down.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows all objects of a kind: a list, then watches, and a list again after each failure.
#[derive(Debug)]
pub struct Watcher {
    kind: Kind,
    client: HttpClient,
    context: ControlContext,
    /// Version from which the next watch continues; absent before a list.
    position: Option<ObjectVersion>,
    pause: Duration,
    lost: bool,
}

/// What a [`Watcher`] has seen.
#[derive(Debug)]
pub enum Seen {
    /// All objects.
    Listed(Vec<StoreObject>),
    /// Changed objects in order, each with whether it was deleted.
    Changed(Vec<(StoreObject, bool)>),
    /// The store cannot be read.
    Lost,
}

impl Watcher {
    /// Creates a watcher that begins with a list.
    pub fn new(kind: Kind, context: ControlContext) -> Self {
        Self {
            kind,
            client: HttpClient::new(context.store_address),
            context,
            position: None,
            pause: FIRST_PAUSE,
            lost: false,
        }
    }

    /// Waits for the next news, for `limit` at most if it is given.
    ///
    /// A watch that is given up at the limit is continued at the same version.
    pub async fn next(&mut self, limit: Option<Duration>) -> Seen {
        loop {
            let step = match self.position {
                None => self.list().await,
                Some(position) => self.watch(position, limit).await,
            };
            match step {
                Ok(seen) => {
                    self.on_answer();
                    return seen;
                }
                Err(StoreError::Fault(StoreFault::HistoryGone)) => {
                    info!(self.log(), "history lost"; "kind" => self.kind.as_str(),
                        "version" => self.position);
                    self.position = None;
                }
                Err(error) => {
                    self.position = None;
                    if self.on_failure(&error) {
                        return Seen::Lost;
                    }
                    tokio::time::sleep(self.pause).await;
                    self.pause = (self.pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    fn log(&self) -> &Logger {
        &self.context.log
    }

    async fn list(&mut self) -> Result<Seen, StoreError> {
        let mut objects = Vec::new();
        let mut after = None;
        loop {
            let request = list_request(self.kind, after.as_deref(), false);
            self.context.metrics.store_call(StoreCall::List);
            let (status, body) = self.client.call(request, CALL_LIMIT).await?;
            let page = decode_list(status, &body)?;
            objects.extend(page.objects);
            // The oldest version is where no change can have been missed between two pages.
            self.position = Some(self.position.unwrap_or(page.store_version));
            after = page.next_after;
            if after.is_none() {
                return Ok(Seen::Listed(objects));
            }
        }
    }

    async fn watch(
        &mut self,
        position: ObjectVersion,
        limit: Option<Duration>,
    ) -> Result<Seen, StoreError> {
        let wait = limit.map_or(WATCH_WAIT, |limit| limit.min(WATCH_WAIT));
        let request = watch_request(self.kind, position, wait);
        self.context.metrics.store_call(StoreCall::Watch);
        let (status, body) = self.client.call(request, wait + WATCH_MARGIN).await?;
        let page = decode_watch(status, &body)?;
        self.position = Some(page.store_version);
        Ok(Seen::Changed(page.changes))
    }

    fn on_answer(&mut self) {
        self.pause = FIRST_PAUSE;
        if std::mem::take(&mut self.lost) {
            info!(self.log(), "store regained"; "kind" => self.kind.as_str());
        }
    }

    /// Notes a failure; returns whether it is the first one since the last answer.
    fn on_failure(&mut self, error: &StoreError) -> bool {
        self.context.metrics.store_failure();
        let first = !self.lost;
        self.lost = true;
        if first {
            warn!(self.log(), "store lost"; "kind" => self.kind.as_str(), "cause" => %error);
        }
        first
    }
}
