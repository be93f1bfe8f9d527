//! Following all objects of a kind in the store.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};
use wagtailarch_adapter::{
    ObjectKind, StoreObject, StoreResponseError, decode_list, decode_watch, list_request,
    watch_request,
};
use wagtailarch_dispatch::{UpdateSource, watch_timeout};
use wagtailarch_types::{InstanceId, ObjectVersion};
use wagtailarch_wire::{load_note::StoreVersions, relay::RelayKind};

use crate::{
    control::{
        ControlContext,
        sources::{RelayError, RelayReader, Relayed, Sources},
        store_error::StoreError,
    },
    http_client::HttpClient,
    metrics::StoreCall,
};

/// Limit on a call that does not wait.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Time after the end of a watch's wait in which the answer has to arrive.
const WATCH_MARGIN: Duration = Duration::from_millis(400);
/// Pause after news as a part of the bound on taking them over, so that changes in quick succession are
/// read in one call; the rest is for slow answers.
const NEWS_PAUSE_PART: u32 = 2;
/// Time for which peers may have news that this watch has not, before it counts as deaf.
const DEAF_AFTER: Duration = Duration::from_millis(1_000);
/// Wait of a watch that only has to reach the news of peers; its answer tells the store's version.
const CATCH_UP_WAIT: Duration = Duration::from_millis(50);
/// Time for which a question to a relay waits for news.
const RELAY_WAIT: Duration = Duration::from_secs(15);
/// Pause before a relay that knows nothing is asked again, and while nobody can be asked.
const RELAY_PAUSE: Duration = Duration::from_millis(100);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls; each call is priced, also while the store is down.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows all objects of a kind: a list, then watches, and a list again after each failure.
#[derive(Debug)]
pub struct Watcher {
    kind: ObjectKind,
    client: HttpClient,
    context: ControlContext,
    /// Relays, and what this instance passes on itself.
    relays: RelayReader,
    /// Time in which changes have to be taken over.
    bound: Duration,
    /// Version from which the next watch continues; absent before a list.
    position: Option<ObjectVersion>,
    pause: Duration,
    lost: bool,
    /// The next watch does not begin before this time.
    not_before: Option<Instant>,
    /// Version up to which this instance has news that peers may lack.
    news: ObjectVersion,
    /// Whether the store has to be listed next: after a failure a watch would tell of registrations that
    /// expired as if their servers had left.
    list_next: bool,
    /// Whether all objects were listed once.
    listed: bool,
    /// Whether the next watch only has to reach the news of peers.
    catching_up: bool,
    /// What peers have seen.
    peer_news: watch::Receiver<StoreVersions>,
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
    /// Creates a watcher that begins with a list of the objects of `kind`, which relays pass on as
    /// `relayed`.
    ///
    /// `bound` is the time in which changes have to be taken over.
    pub fn new(kind: ObjectKind, relayed: RelayKind, bound: Duration, sources: Sources) -> Self {
        let context = sources.context.clone();
        let peer_news = context.traffic.news();
        Self {
            kind,
            client: HttpClient::new(context.store_address),
            context,
            relays: RelayReader::new(relayed, sources),
            bound,
            position: None,
            pause: FIRST_PAUSE,
            lost: false,
            not_before: None,
            news: 0,
            list_next: false,
            listed: false,
            catching_up: false,
            peer_news,
        }
    }

    /// Returns the version up to which this instance has news that peers may lack.
    pub fn news(&self) -> ObjectVersion {
        self.news
    }

    /// Waits for the next news; the list of changes may be empty.
    pub async fn next(&mut self) -> Seen {
        loop {
            let step = match self.relays.source() {
                UpdateSource::Wait => {
                    sleep(RELAY_PAUSE).await;
                    continue;
                }
                UpdateSource::Relay(relay) => match self.ask(&relay).await {
                    Some(seen) => return seen,
                    None => continue,
                },
                UpdateSource::Store => match self.position.filter(|_| !self.list_next) {
                    None => self.list().await,
                    Some(position) => self.watch(position).await,
                },
            };
            match step {
                Ok(seen) => {
                    self.on_answer();
                    return seen;
                }
                Err(StoreError::Fault(StoreResponseError::HistoryExpired)) => {
                    info!(self.log(), "history lost"; "kind" => self.kind.as_str(),
                        "version" => self.position);
                    self.position = None;
                }
                Err(error) => {
                    self.list_next = true;
                    self.relays.on_store_unheard();
                    if self.on_failure(&error) {
                        return Seen::Lost;
                    }
                    sleep(self.pause).await;
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
        let mut position = None;
        loop {
            let request = list_request(self.kind, after.as_deref(), false);
            self.context.metrics.store_call(StoreCall::List);
            let (status, body) = self.client.call(request, CALL_LIMIT).await?;
            let page = decode_list(status, &body)?;
            objects.extend(page.objects);
            // The oldest version is where no change can have been missed between two pages.
            let oldest = *position.get_or_insert(page.store_version);
            after = page.next_after;
            if after.is_none() {
                self.position = Some(oldest);
                self.list_next = false;
                self.on_list(&objects);
                self.relays.on_store_list(oldest, &objects);
                return Ok(Seen::Listed(objects));
            }
        }
    }

    /// Notes what a list shows of changes that no watch has told.
    ///
    /// After a failure the list may lack objects that were removed meanwhile, so that all changes up to
    /// its version count as news. Peers whose watches stayed deaf would otherwise wait for their end.
    fn on_list(&mut self, objects: &[StoreObject]) {
        let newest = objects.iter().map(|object| object.version).max();
        let seen = match self.listed {
            true => self.position,
            false => newest,
        };
        self.news = self.news.max(seen.unwrap_or(0));
        self.listed = true;
    }

    async fn watch(&mut self, position: ObjectVersion) -> Result<Seen, StoreError> {
        if let Some(time) = self.not_before.take() {
            sleep_until(time).await;
        }
        let wait = self.wait();
        let request = watch_request(self.kind, position, wait);
        self.context.metrics.store_call(StoreCall::Watch);
        let kind = self.kind;
        let answer = tokio::select! {
            answer = self.client.call(request, wait + WATCH_MARGIN) => answer,
            () = outdated(&mut self.peer_news, kind, position) => {
                // A call that is given up closes its connection.
                self.catching_up = true;
                info!(self.log(), "watch renewed"; "kind" => kind.as_str(), "version" => position,
                    "cause" => "peers have news");
                return Ok(Seen::Changed(Vec::new()));
            }
        };
        let (status, body) = answer?;
        let page = decode_watch(status, &body)?;
        self.position = Some(page.store_version);
        self.relays
            .on_store_changes(page.store_version, &page.changes);
        if !page.changes.is_empty() {
            self.not_before = Some(Instant::now() + self.bound / NEWS_PAUSE_PART);
        }
        self.on_changes(&page.changes);
        Ok(Seen::Changed(page.changes))
    }

    /// Notes the versions of changed objects.
    fn on_changes(&mut self, changes: &[(StoreObject, bool)]) {
        let versions = changes.iter().map(|(object, _)| object.version);
        self.news = versions.fold(self.news, ObjectVersion::max);
    }

    /// Asks a relay for news; `None` if another source has to be asked.
    async fn ask(&mut self, relay: &InstanceId) -> Option<Seen> {
        self.relays.on_store_unheard();
        let wait = match self.position {
            Some(_) => RELAY_WAIT,
            None => Duration::ZERO,
        };
        let position = self.position.unwrap_or(ObjectVersion::MAX);
        let answer = tokio::select! {
            answer = self.relays.ask(relay, self.position, wait) => answer,
            () = outdated(&mut self.peer_news, self.kind, position) => {
                info!(self.log(), "relay deaf"; "kind" => self.kind.as_str(), "peer" => %relay,
                    "version" => position);
                self.relays.on_deaf(relay);
                self.catching_up = true;
                return None;
            }
        };
        match answer {
            Ok(relayed) => {
                self.list_next = false;
                self.on_answer();
                Some(self.take_over(relayed))
            }
            Err(RelayError::TooLarge) => {
                self.catching_up = self.position.is_some();
                None
            }
            Err(RelayError::Unknown) => {
                sleep(RELAY_PAUSE).await;
                // Servers may be missing when the store returns, as after a failed call to it.
                let first = !std::mem::replace(&mut self.lost, true);
                if first {
                    info!(self.log(), "relay knows nothing"; "kind" => self.kind.as_str(),
                        "peer" => %relay);
                }
                first.then_some(Seen::Lost)
            }
            Err(error) => {
                info!(self.log(), "relay not asked"; "kind" => self.kind.as_str(),
                    "peer" => %relay, "cause" => %error);
                None
            }
        }
    }

    /// Takes over what a relay has passed on; its versions are those of the store.
    fn take_over(&mut self, relayed: Relayed) -> Seen {
        match relayed {
            Relayed::Unchanged => Seen::Changed(Vec::new()),
            Relayed::All(position, objects) => {
                self.position = Some(position);
                self.on_list(&objects);
                Seen::Listed(objects)
            }
            Relayed::Changes(position, changes) => {
                self.position = Some(position);
                self.on_changes(&changes);
                Seen::Changed(changes)
            }
        }
    }

    /// Returns the time for which the next watch waits.
    fn wait(&mut self) -> Duration {
        if std::mem::take(&mut self.catching_up) {
            return CATCH_UP_WAIT;
        }
        // Another member may be designated by other duties, and read nothing itself.
        watch_timeout(self.relays.leads(), !self.context.live_peers().is_empty())
    }

    fn on_answer(&mut self) {
        self.context.metrics.store_answered(self.kind.as_str());
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

/// Waits until peers have had news beyond `position` for some time.
async fn outdated(
    peer_news: &mut watch::Receiver<StoreVersions>,
    kind: ObjectKind,
    position: ObjectVersion,
) {
    let version = |news: &StoreVersions| match kind {
        ObjectKind::Config => news.routing,
        ObjectKind::Servers => news.servers,
        ObjectKind::Instances | ObjectKind::OrderClaims => 0,
    };
    if peer_news
        .wait_for(|news| version(news) > position)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
    sleep(DEAF_AFTER).await;
}
