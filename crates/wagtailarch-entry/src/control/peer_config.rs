//! Requests the configuration and the list of instances from peers while the platform is
//! unavailable.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use rand::seq::SliceRandom as _;
use smol_str::SmolStr;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout, timeout_at},
};
use wagtailarch_fleet::{
    FleetContent, MANIFEST_KEY, Manifest, PartError, PartHash, check_part, missing_parts, part_key,
};
use wagtailarch_platform::ConfigError;
use wagtailarch_types::InstanceId;
use wagtailarch_wire::{
    peer::{ConfigChunk, PeerMessage},
    platform::InstanceList,
};

use super::{
    chunk_fetch::{ChunkFetch, ChunkOutcome, FetchedObject},
    configuration::ConfigUpdate,
    exchange::{ConfigExchange, LIST_KEY, ListSource},
};
use crate::{
    peers::{PeerAddress, PeerIdentity, Peers},
    shared::Shared,
    snapshot::Snapshot,
};

/// Time that the platform must be unavailable before peers are used.
const PLATFORM_GRACE: Duration = Duration::from_secs(1);
/// Delay between rounds until a configuration and a list are available.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay between rounds once both are available.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of peers whose manifest is requested in one round.
const MAX_PEERS_PER_ROUND: usize = 16;
/// Maximum number of parts that are requested from one peer at the same time; half of the messages
/// that can be queued for a peer.
const MAX_CONCURRENT_PARTS: usize = 32;
/// Time without a response after which a fetch ends; longer than a handshake can take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without a response after which the fetch of manifests ends, once an object is complete.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for a complete configuration of one peer.
///
/// 1,057 parts of full size took 2.8 s over loopback in a debug build; network links and busy peers
/// are slower.
const PEER_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of parts of a configuration, equal to the number that the store caches.
const MAX_PARTS: usize = 16_384;
/// Maximum total size of the parts that have arrived; a configuration with 29,000 teams has 4.3 MB.
const MAX_STAGED_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of queued responses: twice as many as can be pending, since each peer is sent two
/// requests in a round.
pub(super) const RESPONSE_QUEUE_CAPACITY: usize = 4 * MAX_PEERS_PER_ROUND;

/// Response of a peer, or a failure to reach it.
pub(super) enum PeerResponse {
    /// A chunk of an object.
    Chunk(PeerIdentity, ConfigChunk),
    /// The peer cannot be reached.
    Unreachable(InstanceId),
}

/// Queues and state that the control thread passes to the task.
pub(super) struct PeerConfigInputs {
    pub(super) peers: Peers,
    pub(super) responses: mpsc::Receiver<PeerResponse>,
    /// Entry instances in the last list, without this one.
    pub(super) listed_peers: watch::Receiver<Vec<PeerAddress>>,
    /// Whether the last read of the configuration from the platform succeeded.
    pub(super) platform_available: watch::Receiver<bool>,
    pub(super) updates: mpsc::Sender<ConfigUpdate>,
}

/// Task that requests the configuration and the list from peers while the platform is unavailable.
pub(super) struct PeerConfig {
    shared: Arc<Shared>,
    exchange: Arc<ConfigExchange>,
    inputs: PeerConfigInputs,
    /// Verified parts of an incomplete configuration, at most `MAX_PARTS` and `MAX_STAGED_BYTES`.
    /// They stay when the next peer of the round is tried.
    staged: HashMap<PartHash, Bytes>,
    staged_bytes: usize,
}

/// Reason why a configuration of a peer was not applied.
#[derive(Debug, Display)]
enum ApplyError {
    /// {0}
    Part(PartError),
    /// {0}
    Config(ConfigError),
    /// the peer did not send all parts of the configuration
    Missing,
    /// the parts of the configuration exceed the limits on their number or total size
    TooLarge,
    /// the peer did not send the configuration within the timeout
    TimedOut,
}

impl From<PartError> for ApplyError {
    fn from(error: PartError) -> Self {
        Self::Part(error)
    }
}

impl PeerConfig {
    pub(super) fn new(
        shared: Arc<Shared>,
        exchange: Arc<ConfigExchange>,
        inputs: PeerConfigInputs,
    ) -> Self {
        Self {
            shared,
            exchange,
            inputs,
            staged: HashMap::new(),
            staged_bytes: 0,
        }
    }

    /// Runs rounds while the platform is unavailable, until the control thread ends.
    pub(super) async fn run(mut self) {
        let exchange = Arc::clone(&self.exchange);
        loop {
            let platform_available = &mut self.inputs.platform_available;
            if platform_available
                .wait_for(|available| !available)
                .await
                .is_err()
            {
                return;
            }
            sleep(PLATFORM_GRACE).await;
            if *self.inputs.platform_available.borrow() {
                continue;
            }
            self.run_round().await;
            let is_complete = exchange.generation() > 0 && exchange.list_version().is_some();
            let delay = if is_complete {
                REFRESH_INTERVAL
            } else {
                RETRY_DELAY
            };
            let platform_available = &mut self.inputs.platform_available;
            let _ = timeout(delay, async {
                tokio::select! {
                    _ = platform_available.wait_for(|available| *available) => {}
                    () = exchange.newer_generation.notified() => {}
                }
            })
            .await;
        }
    }

    /// Requests manifests and lists from peers, then applies the newest list and the configuration
    /// with the highest generation of which a peer sends all parts.
    async fn run_round(&mut self) {
        // Responses of earlier rounds are discarded; an old failure says nothing about the current
        // state of a peer.
        while self.inputs.responses.try_recv().is_ok() {}
        let peers = self.candidates();
        let is_first_list = self.exchange.list_version().is_none();
        let needs_list = !matches!(
            self.exchange.list_version(),
            Some((ListSource::Platform, _))
        );
        let mut requests = Vec::new();
        for (index, peer) in peers.iter().enumerate() {
            requests.push((peer.clone(), SmolStr::new_static(MANIFEST_KEY)));
            // A list is large, so only one peer is asked to refresh a known one.
            if needs_list && (is_first_list || index == 0) {
                requests.push((peer.clone(), SmolStr::new_static(LIST_KEY)));
            }
        }
        let fetched = self.fetch(requests, MANIFEST_TIMEOUT).await;
        self.send_newest_list(&fetched).await;
        for (peer, manifest) in self.manifests(&fetched) {
            if manifest.generation <= self.exchange.generation() {
                break;
            }
            let outcome = timeout(PEER_TIMEOUT, self.apply(&peer, &manifest)).await;
            match outcome.unwrap_or(Err(ApplyError::TimedOut)) {
                Ok(snapshot) => {
                    slog::info!(self.shared.log, "configuration_from_peer";
                        "peer" => peer.identity.instance.as_str(),
                        "generation" => manifest.generation);
                    let _ = self
                        .inputs
                        .updates
                        .send(ConfigUpdate::Configuration(snapshot))
                        .await;
                }
                Err(error) => {
                    slog::warn!(self.shared.log, "peer_configuration_not_taken";
                        "peer" => peer.identity.instance.as_str(),
                        "generation" => manifest.generation, "error" => %error);
                }
            }
        }
        self.clear_staged();
    }

    /// Returns the peers for one round: the seeds, then the listed peers, each in random order.
    fn candidates(&self) -> Vec<PeerAddress> {
        let settings = &self.shared.settings;
        let seeds = settings.peers.iter().flat_map(|keys| &keys.seeds);
        let mut peers: Vec<_> = seeds.map(PeerAddress::from).collect();
        let mut listed = self.inputs.listed_peers.borrow().clone();
        peers.shuffle(&mut rand::rng());
        listed.shuffle(&mut rand::rng());
        for peer in listed {
            // The address in the list is newer than the one in the settings.
            let seed = peers.iter_mut().find(|seed| seed.identity == peer.identity);
            match seed {
                Some(seed) => *seed = peer,
                None => peers.push(peer),
            }
        }
        peers.retain(|peer| peer.identity.instance != settings.instance);
        peers.truncate(MAX_PEERS_PER_ROUND);
        peers
    }

    /// Sends the list with the highest revision to the control thread, if it is newer than the last
    /// one.
    async fn send_newest_list(&self, fetched: &[FetchedObject]) {
        let lists = fetched.iter().filter(|object| object.key == LIST_KEY);
        let lists = lists.filter_map(|object| self.decode::<InstanceList>(object));
        let Some(list) = lists.max_by_key(|list| list.revision) else {
            return;
        };
        let last = self.exchange.list_version();
        if last.is_none_or(|(_, revision)| list.revision > revision) {
            let _ = self.inputs.updates.send(ConfigUpdate::List(list)).await;
        }
    }

    /// Decodes the manifests and returns them, the highest generation first.
    fn manifests(&self, fetched: &[FetchedObject]) -> Vec<(PeerAddress, Manifest)> {
        let mut manifests = Vec::new();
        for object in fetched.iter().filter(|object| object.key == MANIFEST_KEY) {
            if let Some(manifest) = self.decode::<Manifest>(object) {
                manifests.push((object.peer.clone(), manifest));
            }
        }
        manifests.sort_by_key(|(_, manifest)| std::cmp::Reverse(manifest.generation));
        manifests
    }

    fn decode<T: serde::de::DeserializeOwned>(&self, object: &FetchedObject) -> Option<T> {
        let decoded = serde_json::from_slice(&object.bytes).ok();
        if decoded.is_none() {
            self.report_dropped(&object.peer.identity.instance, "malformed");
        }
        decoded
    }

    /// Loads the configuration of a manifest, with missing parts from this peer.
    ///
    /// The manifest is passed to the store only after all its parts were verified, so that a wrong
    /// manifest does not replace that of the platform.
    async fn apply(
        &mut self,
        peer: &PeerAddress,
        manifest: &Manifest,
    ) -> Result<Snapshot, ApplyError> {
        self.stage_parts(peer, &manifest.content).await?;
        let store = &self.exchange.store;
        for (hash, value) in &self.staged {
            store.cache_part(hash, value.clone())?;
        }
        let loaded = store.load(manifest).await;
        let fleet = loaded.map_err(ApplyError::Config)?;
        store.observe(Some(manifest.clone()));
        self.exchange.set_loaded_manifest(manifest);
        Ok(Snapshot::new(manifest.generation, Arc::new(fleet)))
    }

    async fn stage_parts(
        &mut self,
        peer: &PeerAddress,
        content: &FleetContent,
    ) -> Result<(), ApplyError> {
        loop {
            let staged = |hash: &str| self.staged.get(hash).map(Bytes::as_ref);
            let mut missing = missing_parts(content, staged)?;
            if missing.is_empty() {
                return Ok(());
            }
            if self.staged.len() + missing.len() > MAX_PARTS {
                self.clear_staged();
                return Err(ApplyError::TooLarge);
            }
            let exchange = Arc::clone(&self.exchange);
            let mut cached = Vec::new();
            missing.retain(|hash| match exchange.store.cached_part(hash) {
                Some(value) => {
                    cached.push((hash.clone(), value));
                    false
                }
                None => true,
            });
            for (hash, value) in cached {
                self.stage(hash, value)?;
            }
            for hashes in missing.chunks(MAX_CONCURRENT_PARTS) {
                self.fetch_parts(peer, hashes).await?;
            }
        }
    }

    /// Fetches and verifies some parts from a peer.
    async fn fetch_parts(
        &mut self,
        peer: &PeerAddress,
        hashes: &[PartHash],
    ) -> Result<(), ApplyError> {
        let keys = hashes.iter().map(|hash| SmolStr::from(part_key(hash)));
        let requests: Vec<_> = keys.map(|key| (peer.clone(), key)).collect();
        let fetched = self.fetch(requests, RESPONSE_TIMEOUT).await;
        let mut values: HashMap<_, _> = fetched
            .into_iter()
            .map(|object| (object.key, object.bytes))
            .collect();
        let mut is_complete = true;
        for hash in hashes {
            let Some(value) = values.remove(part_key(hash).as_str()) else {
                is_complete = false;
                continue;
            };
            if let Err(error) = check_part(hash, &value) {
                self.report_dropped(&peer.identity.instance, "wrong_hash");
                return Err(error.into());
            }
            self.stage(hash.clone(), value.into())?;
        }
        match is_complete {
            true => Ok(()),
            false => Err(ApplyError::Missing),
        }
    }

    fn stage(&mut self, hash: PartHash, value: Bytes) -> Result<(), ApplyError> {
        if self.staged_bytes + value.len() > MAX_STAGED_BYTES {
            self.clear_staged();
            return Err(ApplyError::TooLarge);
        }
        self.staged_bytes += value.len();
        self.staged.insert(hash, value);
        Ok(())
    }

    fn clear_staged(&mut self) {
        self.staged = HashMap::new();
        self.staged_bytes = 0;
    }

    /// Fetches objects, each from its peer, and returns those that arrived completely.
    ///
    /// Ends after the last response, after `FETCH_TIMEOUT`, or when no response arrives for
    /// `RESPONSE_TIMEOUT` before the first complete object or for `idle_timeout` after it.
    async fn fetch(
        &mut self,
        requests: Vec<(PeerAddress, SmolStr)>,
        idle_timeout: Duration,
    ) -> Vec<FetchedObject> {
        let mut pending = ChunkFetch::default();
        let mut fetched = Vec::new();
        for (peer, key) in &requests {
            let message = PeerMessage::FetchConfig(pending.start(peer, key));
            if !self.inputs.peers.send(peer, message) {
                pending.abandon(&peer.identity.instance);
            }
        }
        let end = Instant::now() + FETCH_TIMEOUT;
        while !pending.is_done() {
            let idle_timeout = if fetched.is_empty() {
                RESPONSE_TIMEOUT
            } else {
                idle_timeout
            };
            let deadline = end.min(Instant::now() + idle_timeout);
            let response = timeout_at(deadline, self.inputs.responses.recv()).await;
            let Ok(Some(response)) = response else { break };
            let (from, chunk) = match response {
                PeerResponse::Chunk(from, chunk) => (from, chunk),
                PeerResponse::Unreachable(instance) => {
                    pending.abandon(&instance);
                    continue;
                }
            };
            match pending.on_chunk(&from, chunk) {
                ChunkOutcome::Next(peer, fetch) => {
                    let message = PeerMessage::FetchConfig(fetch);
                    if !self.inputs.peers.send(&peer, message) {
                        pending.abandon(&from.instance);
                    }
                }
                ChunkOutcome::Complete(object) => fetched.push(object),
                ChunkOutcome::Absent => {}
                ChunkOutcome::Dropped(cause) => self.report_dropped(&from.instance, cause),
            }
        }
        fetched
    }

    fn report_dropped(&self, peer: &InstanceId, cause: &'static str) {
        self.shared.metrics.count_dropped_config(cause);
        slog::warn!(self.shared.log, "peer_config_dropped"; "peer" => peer.as_str(),
            "cause" => cause);
    }
}
