//! Configuration and list of instances from peers while the platform does not answer.

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
    chunk_fetch::{ChunkFetch, Fetched, Progress},
    configuration::Found,
    exchange::{Exchange, LIST_KEY, ListSource},
};
use crate::{
    peers::{PeerAddress, PeerIdentity, Peers},
    shared::Shared,
    snapshot::Snapshot,
};

/// Time without an answer of the platform before peers are asked.
const PLATFORM_GRACE: Duration = Duration::from_secs(1);
/// Pause between rounds until there are a configuration and a list.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Pause between rounds from then on.
const REFRESH_EVERY: Duration = Duration::from_secs(60);
/// Peers asked for their manifest in one round.
const MAX_ASKED: usize = 16;
/// Parts asked for at once, all of one peer; half of the messages that may wait for a peer.
const PARTS_AT_ONCE: usize = 32;
/// Silence after which a peer is passed over; longer than a handshake may take.
const SILENCE: Duration = Duration::from_secs(4);
/// Silence after which no further manifest is waited for, once one has arrived.
const LAST_MANIFESTS: Duration = Duration::from_secs(1);
/// Time for one set of objects.
const SET_TIME: Duration = Duration::from_secs(15);
/// Time for all parts of one peer; a trial with the 1,057 parts of full size took 2.8 s on loopback
/// in a debug build, and links and busy peers are slower.
const PEER_TIME: Duration = Duration::from_secs(60);
/// Parts of one configuration, as many as the store caches.
const MAX_PARTS: usize = 16_384;
/// Bytes of the parts that have arrived; a configuration with 29,000 teams has 4.3 MB.
const MAX_STAGED_BYTES: usize = 64 * 1024 * 1024;
/// Answers of peers that may wait: twice as many as are outstanding.
pub(super) const ANSWERS: usize = 4 * MAX_ASKED;

/// What the transport says about peers that were asked.
pub(super) enum PeerAnswer {
    /// Part of an object.
    Chunk(PeerIdentity, ConfigChunk),
    /// The peer cannot be reached.
    Gone(InstanceId),
}

/// What the task is given by the control thread.
pub(super) struct PeerConfigInputs {
    pub(super) peers: Peers,
    pub(super) answers: mpsc::Receiver<PeerAnswer>,
    /// Entry instances of the last list without this one.
    pub(super) listed: watch::Receiver<Vec<PeerAddress>>,
    /// Whether the platform answers.
    pub(super) platform: watch::Receiver<bool>,
    pub(super) found: mpsc::Sender<Found>,
}

/// Asks peers for configuration and list while the platform does not answer.
pub(super) struct PeerConfig {
    shared: Arc<Shared>,
    exchange: Arc<Exchange>,
    inputs: PeerConfigInputs,
    /// Checked parts of a configuration that is not complete, at most `MAX_PARTS` and
    /// `MAX_STAGED_BYTES`; they are kept when the next peer is asked.
    staged: HashMap<PartHash, Bytes>,
    staged_bytes: usize,
}

/// Why a configuration of a peer was not taken.
#[derive(Debug, Display)]
enum TakeError {
    /// {0}
    Part(PartError),
    /// {0}
    Config(ConfigError),
    /// the peer did not give all parts
    Missing,
    /// the configuration is too large
    TooLarge,
    /// the peer took too long
    TimedOut,
}

impl From<PartError> for TakeError {
    fn from(error: PartError) -> Self {
        Self::Part(error)
    }
}

impl PeerConfig {
    pub(super) fn new(
        shared: Arc<Shared>,
        exchange: Arc<Exchange>,
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

    /// Runs rounds until the control thread ends.
    pub(super) async fn run(mut self) {
        let exchange = Arc::clone(&self.exchange);
        loop {
            let platform = &mut self.inputs.platform;
            if platform.wait_for(|answers| !answers).await.is_err() {
                return;
            }
            sleep(PLATFORM_GRACE).await;
            if *self.inputs.platform.borrow() {
                continue;
            }
            self.round().await;
            let is_complete = exchange.generation() > 0 && exchange.list().is_some();
            let pause = if is_complete {
                REFRESH_EVERY
            } else {
                RETRY_AFTER
            };
            let platform = &mut self.inputs.platform;
            let _ = timeout(pause, async {
                tokio::select! {
                    _ = platform.wait_for(|answers| *answers) => {}
                    () = exchange.newer.notified() => {}
                }
            })
            .await;
        }
    }

    /// Asks for manifests and lists and takes the highest generation that can be had completely.
    async fn round(&mut self) {
        // What waits here is from before this round; an old failure says nothing about a peer now.
        while self.inputs.answers.try_recv().is_ok() {}
        let peers = self.candidates();
        let first_list = self.exchange.list().is_none();
        let wants_list = !matches!(self.exchange.list(), Some((ListSource::Platform, _)));
        let mut wanted = Vec::new();
        for (at, peer) in peers.iter().enumerate() {
            wanted.push((peer.clone(), SmolStr::new_static(MANIFEST_KEY)));
            // A list is large, so a known one is refreshed from a single peer.
            if wants_list && (first_list || at == 0) {
                wanted.push((peer.clone(), SmolStr::new_static(LIST_KEY)));
            }
        }
        let fetched = self.fetch(wanted, LAST_MANIFESTS).await;
        self.take_list(&fetched).await;
        for (peer, manifest) in self.manifests(&fetched) {
            if manifest.generation <= self.exchange.generation() {
                break;
            }
            let taken = timeout(PEER_TIME, self.take(&peer, &manifest)).await;
            match taken.unwrap_or(Err(TakeError::TimedOut)) {
                Ok(snapshot) => {
                    slog::info!(self.shared.log, "configuration_from_peer";
                        "peer" => peer.identity.instance.as_str(),
                        "generation" => manifest.generation);
                    let _ = self.inputs.found.send(Found::Configuration(snapshot)).await;
                }
                Err(error) => {
                    slog::warn!(self.shared.log, "peer_configuration_not_taken";
                        "peer" => peer.identity.instance.as_str(),
                        "generation" => manifest.generation, "error" => %error);
                }
            }
        }
        self.unstage();
    }

    /// Returns the peers to ask: the seeds, then listed peers, each in a random order.
    fn candidates(&self) -> Vec<PeerAddress> {
        let settings = &self.shared.settings;
        let seeds = settings.peers.iter().flat_map(|keys| &keys.seeds);
        let mut peers: Vec<_> = seeds.map(PeerAddress::from).collect();
        let mut listed = self.inputs.listed.borrow().clone();
        peers.shuffle(&mut rand::rng());
        listed.shuffle(&mut rand::rng());
        for peer in listed {
            // A listed address is newer than that of the settings.
            let seed = peers.iter_mut().find(|seed| seed.identity == peer.identity);
            match seed {
                Some(seed) => *seed = peer,
                None => peers.push(peer),
            }
        }
        peers.retain(|peer| peer.identity.instance != settings.instance);
        peers.truncate(MAX_ASKED);
        peers
    }

    /// Passes on the list with the highest revision.
    async fn take_list(&self, fetched: &[Fetched]) {
        let lists = fetched.iter().filter(|object| object.key == LIST_KEY);
        let lists = lists.filter_map(|object| self.decode::<InstanceList>(object));
        let Some(list) = lists.max_by_key(|list| list.revision) else {
            return;
        };
        let last = self.exchange.list();
        if last.is_none_or(|(_, revision)| list.revision > revision) {
            let _ = self.inputs.found.send(Found::List(list)).await;
        }
    }

    /// Returns the manifests, the highest generation first.
    fn manifests(&self, fetched: &[Fetched]) -> Vec<(PeerAddress, Manifest)> {
        let mut manifests = Vec::new();
        for object in fetched.iter().filter(|object| object.key == MANIFEST_KEY) {
            if let Some(manifest) = self.decode::<Manifest>(object) {
                manifests.push((object.peer.clone(), manifest));
            }
        }
        manifests.sort_by_key(|(_, manifest)| std::cmp::Reverse(manifest.generation));
        manifests
    }

    fn decode<T: serde::de::DeserializeOwned>(&self, object: &Fetched) -> Option<T> {
        let decoded = serde_json::from_slice(&object.bytes).ok();
        if decoded.is_none() {
            self.drop_answer(&object.peer.identity.instance, "malformed");
        }
        decoded
    }

    /// Loads the configuration of a manifest with parts from this peer.
    ///
    /// The store learns of the manifest only once all its parts were checked, so that a wrong
    /// manifest does not hide that of the platform.
    async fn take(
        &mut self,
        peer: &PeerAddress,
        manifest: &Manifest,
    ) -> Result<Snapshot, TakeError> {
        self.stage_parts(peer, &manifest.content).await?;
        let store = &self.exchange.store;
        for (hash, value) in &self.staged {
            store.cache_part(hash, value.clone())?;
        }
        let loaded = store.load(manifest).await;
        let fleet = loaded.map_err(TakeError::Config)?;
        store.observe(Some(manifest.clone()));
        self.exchange.set_loaded(manifest);
        Ok(Snapshot::new(manifest.generation, Arc::new(fleet)))
    }

    async fn stage_parts(
        &mut self,
        peer: &PeerAddress,
        content: &FleetContent,
    ) -> Result<(), TakeError> {
        loop {
            let staged = |hash: &str| self.staged.get(hash).map(Bytes::as_ref);
            let mut missing = missing_parts(content, staged)?;
            if missing.is_empty() {
                return Ok(());
            }
            if self.staged.len() + missing.len() > MAX_PARTS {
                self.unstage();
                return Err(TakeError::TooLarge);
            }
            let store = Arc::clone(&self.exchange);
            let mut cached = Vec::new();
            missing.retain(|hash| match store.store.cached_part(hash) {
                Some(value) => {
                    cached.push((hash.clone(), value));
                    false
                }
                None => true,
            });
            for (hash, value) in cached {
                self.stage(hash, value)?;
            }
            for hashes in missing.chunks(PARTS_AT_ONCE) {
                self.stage_set(peer, hashes).await?;
            }
        }
    }

    /// Fetches some parts from a peer.
    async fn stage_set(&mut self, peer: &PeerAddress, set: &[PartHash]) -> Result<(), TakeError> {
        let keys = set.iter().map(|hash| SmolStr::from(part_key(hash)));
        let wanted: Vec<_> = keys.map(|key| (peer.clone(), key)).collect();
        let fetched = self.fetch(wanted, SILENCE).await;
        let mut values: HashMap<_, _> = fetched
            .into_iter()
            .map(|object| (object.key, object.bytes))
            .collect();
        let mut is_complete = true;
        for hash in set {
            let Some(value) = values.remove(part_key(hash).as_str()) else {
                is_complete = false;
                continue;
            };
            if let Err(error) = check_part(hash, &value) {
                self.drop_answer(&peer.identity.instance, "wrong_hash");
                return Err(error.into());
            }
            self.stage(hash.clone(), value.into())?;
        }
        match is_complete {
            true => Ok(()),
            false => Err(TakeError::Missing),
        }
    }

    fn stage(&mut self, hash: PartHash, value: Bytes) -> Result<(), TakeError> {
        if self.staged_bytes + value.len() > MAX_STAGED_BYTES {
            self.unstage();
            return Err(TakeError::TooLarge);
        }
        self.staged_bytes += value.len();
        self.staged.insert(hash, value);
        Ok(())
    }

    fn unstage(&mut self) {
        self.staged = HashMap::new();
        self.staged_bytes = 0;
    }

    /// Fetches objects, each from its peer; ends with the last answer, or after a silence of
    /// `SILENCE` before and `silence` after the first complete object.
    async fn fetch(
        &mut self,
        wanted: Vec<(PeerAddress, SmolStr)>,
        silence: Duration,
    ) -> Vec<Fetched> {
        let mut open = ChunkFetch::default();
        let mut fetched = Vec::new();
        for (peer, key) in &wanted {
            let message = PeerMessage::FetchConfig(open.start(peer, key));
            if !self.inputs.peers.send(peer, message) {
                open.give_up(&peer.identity.instance);
            }
        }
        let end = Instant::now() + SET_TIME;
        while !open.is_done() {
            let silence = if fetched.is_empty() { SILENCE } else { silence };
            let until = end.min(Instant::now() + silence);
            let answer = timeout_at(until, self.inputs.answers.recv()).await;
            let Ok(Some(answer)) = answer else { break };
            let (from, chunk) = match answer {
                PeerAnswer::Chunk(from, chunk) => (from, chunk),
                PeerAnswer::Gone(instance) => {
                    open.give_up(&instance);
                    continue;
                }
            };
            match open.on_chunk(&from, chunk) {
                Progress::Next(peer, fetch) => {
                    let message = PeerMessage::FetchConfig(fetch);
                    if !self.inputs.peers.send(&peer, message) {
                        open.give_up(&from.instance);
                    }
                }
                Progress::Complete(object) => fetched.push(object),
                Progress::Absent => {}
                Progress::Dropped(cause) => self.drop_answer(&from.instance, cause),
            }
        }
        fetched
    }

    fn drop_answer(&self, peer: &InstanceId, cause: &'static str) {
        self.shared.metrics.count_dropped_config(cause);
        slog::warn!(self.shared.log, "peer_config_dropped"; "peer" => peer.as_str(),
            "cause" => cause);
    }
}
