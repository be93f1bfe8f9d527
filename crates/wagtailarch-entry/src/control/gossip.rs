//! Gossip with the other instances: rounds, summaries for other zones and flooded messages.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{mpsc, watch};
use wagtailarch_control::{EngineUpdate, Gossip, GossipConfig, GossipEvent};
use wagtailarch_traffic::{SIMULTANEOUS, StrikeEvent, StrikeKind, Verdict};
use wagtailarch_types::{Generation, InstanceId, rendezvous_weight};
use wagtailarch_wire::{
    peer::{EngineLoad, PeerMessage, UrgentBody, UrgentMessage},
    platform::ListedInstance,
};

use super::{
    backends::{Backends, TimedReport},
    configuration::ConfigUpdates,
    exchange::ConfigExchange,
    peer_config::{PeerConfig, PeerConfigInputs, PeerResponse, RESPONSE_QUEUE_CAPACITY},
    remote_usage::RemoteUsage,
    zone::Zone,
};
use crate::{
    peers::{PeerAddress, PeerEvent, PeerIdentity, Peers},
    shared::{Shared, Stage},
};

/// Interval of gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of sending a summary to an instance of another zone.
const REMOTE_SUMMARY_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum interval between two gossiped loads of the same engine.
const LOAD_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum number of teams whose usage is gossiped; those with the greatest usage are selected.
const MAX_GOSSIPED_TEAMS: usize = 60;
/// Maximum number of listed engines for which every instance polls all engines.
///
/// Polled loads are more recent than gossiped ones.
const MAX_ENGINES_POLLED_BY_ALL: usize = 64;
/// Maximum number of suspects and quarantined requests, the oldest first, that are read for a
/// summary for another zone. The summary contains only the quarantined ones.
const MAX_SUMMARY_ENTRIES: usize = 1_024;
/// Time in seconds for which a request stays quarantined.
const QUARANTINE_S: u16 = 600;
/// Time without an update from a peer after which its usage of teams no longer counts.
const USAGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without an update after which a peer that is not listed is removed.
const PEER_EXPIRY: Duration = Duration::from_secs(60);

/// Gossip state of this instance and the transport for it.
pub(super) struct PeerGossip {
    shared: Arc<Shared>,
    peers: Peers,
    gossip: Gossip,
    usage: RemoteUsage,
    exchange: Arc<ConfigExchange>,
    /// Responses for the task that requests the configuration from peers.
    responses: mpsc::Sender<PeerResponse>,
    /// Entry instances in the last list, without this one.
    listed_peers: watch::Sender<Vec<PeerAddress>>,
    round_at: Duration,
    summary_sent_at: Duration,
    /// Peers of the zone to which a connection was opened in advance, so that flooded messages do
    /// not wait for a handshake.
    contacted: IndexSet<InstanceId>,
    /// When the load of each engine that this instance polls was last gossiped.
    loads_sent_at: IndexMap<InstanceId, Duration>,
    /// Highest generation that this instance or a peer has flooded.
    announced_generation: Generation,
}

impl PeerGossip {
    /// Creates the state and starts the task that requests the configuration from peers while the
    /// platform is unavailable.
    pub(super) fn new(
        shared: Arc<Shared>,
        peers: Peers,
        exchange: Arc<ConfigExchange>,
        config_updates: &ConfigUpdates,
    ) -> Self {
        let (responses, receiver) = mpsc::channel(RESPONSE_QUEUE_CAPACITY);
        let (listed_peers, listed_peers_receiver) = watch::channel(Vec::new());
        if shared.settings.fleet_file.is_none() {
            let inputs = PeerConfigInputs {
                peers: peers.clone(),
                responses: receiver,
                listed_peers: listed_peers_receiver,
                platform_available: config_updates.platform_available.clone(),
                updates: config_updates.sender.clone(),
            };
            let task = PeerConfig::new(Arc::clone(&shared), Arc::clone(&exchange), inputs);
            tokio::spawn(task.run());
        }
        let settings = &shared.settings;
        let gossip = Gossip::new(GossipConfig {
            instance: settings.instance.clone(),
            boot_id: shared.boot_id,
            zone: settings.zone.clone(),
            peer_address: settings
                .peer_address
                .map(|address| address.to_string().into())
                .unwrap_or_default(),
        });
        Self {
            shared,
            peers,
            gossip,
            usage: RemoteUsage::default(),
            exchange,
            responses,
            listed_peers,
            round_at: Duration::ZERO,
            summary_sent_at: Duration::ZERO,
            contacted: IndexSet::new(),
            loads_sent_at: IndexMap::new(),
            announced_generation: 0,
        }
    }

    /// Runs a gossip round and sends a summary to another zone, each if its interval has passed.
    pub(super) fn tick(&mut self, backends: &Backends) {
        let now = self.shared.now();
        if now < self.round_at + ROUND_INTERVAL {
            return;
        }
        self.round_at = now;
        let snapshot = self.shared.snapshot.load();
        let generation = snapshot.as_ref().map_or(0, |snapshot| snapshot.generation);
        let draining = self.shared.stage() > Stage::Serving;
        self.gossip.set_self(now, generation, draining);
        self.peers.set_hello(self.gossip.hello());
        let teams = self.shared.admission.top_teams(MAX_GOSSIPED_TEAMS);
        let teams: Vec<_> = teams
            .into_iter()
            .map(|usage| (usage.team, usage.requests_per_s, usage.tokens_per_s))
            .collect();
        self.gossip.set_teams(now, &teams);
        let oldest = now.saturating_sub(USAGE_TIMEOUT);
        let peers = self.gossip.peers().into_iter();
        let live = peers.filter(|peer| peer.received_at >= oldest);
        let live: HashSet<_> = live.map(|peer| peer.instance).collect();
        self.usage
            .publish(&self.shared.admission, |instance| live.contains(instance));
        self.gossip.heartbeat(now);
        let listed = |id: &InstanceId| backends.entries().iter().any(|entry| entry.id == *id);
        self.gossip
            .remove_expired(now.saturating_sub(PEER_EXPIRY), listed);
        if let Some(peer) = select_random(&self.own_zone_peers(backends)) {
            let digest = PeerMessage::Digest(self.gossip.digest());
            self.peers.send(peer, digest);
        }
        if now >= self.summary_sent_at + REMOTE_SUMMARY_INTERVAL {
            self.summary_sent_at = now;
            if let Some(peer) = select_random(&self.other_zone_peers(backends)) {
                let mut summary = self.gossip.remote_summary();
                summary.quarantined = self.quarantined(now);
                self.peers.send(peer, PeerMessage::Remote(summary));
            }
        }
    }

    /// Applies a new list: publishes its peers to the configuration task and opens connections to
    /// the peers of the zone that are new.
    pub(super) fn on_list(&mut self, backends: &Backends) {
        let peers = self.own_zone_peers(backends);
        let mut all = self.other_zone_peers(backends);
        all.extend_from_slice(&peers);
        self.listed_peers.send_if_modified(|current| {
            let has_changed = *current != all;
            *current = all;
            has_changed
        });
        let listed = |id: &InstanceId| peers.iter().any(|peer| peer.identity.instance == *id);
        self.contacted.retain(listed);
        for peer in &peers {
            if self.contacted.insert(peer.identity.instance.clone()) {
                let digest = PeerMessage::Digest(self.gossip.digest());
                self.peers.send(peer, digest);
            }
        }
    }

    /// Returns whether this instance polls an engine.
    ///
    /// With more than `MAX_ENGINES_POLLED_BY_ALL` engines, each engine is polled by only one
    /// instance, which is in the engine's zone.
    pub(super) fn should_poll(&self, backends: &Backends, engine: &InstanceId) -> bool {
        if backends.engines().len() <= MAX_ENGINES_POLLED_BY_ALL {
            return true;
        }
        let settings = &self.shared.settings;
        let is_own_zone = |zone: &str| zone == settings.zone.as_str();
        let listed = backends.engines().get(engine);
        if !listed.is_some_and(|listed| is_own_zone(&listed.zone)) {
            return false;
        }
        let key = rendezvous_weight(0, engine);
        let weight = |instance: &InstanceId| rendezvous_weight(key, instance);
        let zone_entries = backends
            .live_entries()
            .filter(|entry| is_own_zone(&entry.zone));
        let best_weight = zone_entries.map(|entry| weight(&entry.id)).max();
        best_weight.is_none_or(|best_weight| weight(&settings.instance) >= best_weight)
    }

    /// Gossips the load of an engine that this instance polls, at most once per `LOAD_INTERVAL`.
    pub(super) fn on_report(&mut self, engine: &InstanceId, timed: &TimedReport) {
        let now = self.shared.now();
        let is_due = self
            .loads_sent_at
            .get(engine)
            .is_none_or(|at| now >= *at + LOAD_INTERVAL);
        if !is_due {
            return;
        }
        self.loads_sent_at.insert(engine.clone(), now);
        if self.loads_sent_at.len() > self.shared.settings.limits.backends {
            self.loads_sent_at.clear();
        }
        let report = &timed.report;
        self.gossip.set_engine(
            now,
            &EngineUpdate {
                engine: engine.clone(),
                assignment: super::zone::assignment(report),
                load: EngineLoad {
                    role: report.role,
                    state: report.state,
                    running: f64::from(report.running),
                    queued_tokens: report.queued_tokens as f64,
                    prefill_tokens_per_s: report.prefill_tokens_per_s,
                    decode_tokens_per_s: report.decode_tokens_per_s,
                    kv_used_ratio: report.kv_used_ratio,
                },
            },
        );
    }

    pub(super) fn flood_leaving(&mut self, backends: &Backends, backend: &InstanceId) {
        let backend = backend.clone();
        self.flood(backends, UrgentBody::Leaving { backend });
    }

    pub(super) fn flood_drain(&mut self, backends: &Backends, engine: &InstanceId, drained: bool) {
        let backend = engine.clone();
        self.flood(backends, UrgentBody::Drain { backend, drained });
    }

    /// Acknowledges a generation, and floods it unless a peer has already done so.
    ///
    /// If every instance flooded it, changes would cost each instance 829 bytes/s at the design
    /// size.
    pub(super) fn flood_generation(&mut self, backends: &Backends, generation: Generation) {
        self.gossip.set_self(self.shared.now(), generation, false);
        if generation <= self.announced_generation {
            return;
        }
        self.announced_generation = generation;
        self.flood(backends, UrgentBody::NewGeneration { generation });
    }

    /// Floods strikes: up to 256 suspects of a server per message, and each quarantined request in
    /// its own message.
    pub(super) fn flood_strikes(&mut self, backends: &Backends, strikes: Vec<StrikeEvent>) {
        let mut suspects: IndexMap<InstanceId, Vec<u128>> = IndexMap::new();
        for strike in strikes {
            match strike.kind {
                StrikeKind::Suspected => suspects
                    .entry(strike.server)
                    .or_default()
                    .push(strike.fingerprint),
                StrikeKind::Quarantined => self.flood(
                    backends,
                    UrgentBody::Quarantined {
                        backend: strike.server,
                        fingerprint: strike.fingerprint,
                        ttl_s: QUARANTINE_S,
                    },
                ),
            }
        }
        for (backend, fingerprints) in suspects {
            for chunk in fingerprints.chunks(256) {
                let body = UrgentBody::Strike {
                    backend: backend.clone(),
                    fingerprints: chunk.to_vec(),
                };
                self.flood(backends, body);
            }
        }
    }

    /// Handles an event of the transport.
    pub(super) fn on_event(&mut self, backends: &mut Backends, zone: &mut Zone, event: PeerEvent) {
        match event {
            PeerEvent::Connected(hello) => {
                let now = self.shared.now();
                zone.on_boot(&hello.instance, hello.boot_id);
                if hello.zone == self.shared.settings.zone {
                    let (instance, boot_id) = (&hello.instance, hello.boot_id);
                    zone.status.on_ack(now, instance, boot_id, hello.generation);
                }
            }
            PeerEvent::Message(from, message) => self.on_message(backends, zone, &from, message),
            PeerEvent::Unreachable(peer) => {
                self.contacted.swap_remove(&peer.instance);
                // If the queue is full, the response timeout has the same effect later.
                let _ = self
                    .responses
                    .try_send(PeerResponse::Unreachable(peer.instance));
            }
        }
    }

    fn on_message(
        &mut self,
        backends: &mut Backends,
        zone: &mut Zone,
        from: &PeerIdentity,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Digest(digest) if from.zone == self.shared.settings.zone => {
                let delta = self.gossip.delta_for(&digest);
                self.peers.reply(from, PeerMessage::Delta(delta));
            }
            PeerMessage::Delta(delta) if from.zone == self.shared.settings.zone => {
                let now = self.shared.now();
                for event in self.gossip.merge(now, delta) {
                    self.on_gossip_event(backends, zone, event);
                }
            }
            PeerMessage::Urgent(urgent) => {
                if self.gossip.on_urgent(&urgent) {
                    slog::debug!(self.shared.log, "flooded"; "kind" => body_kind(&urgent.body),
                        "origin" => urgent.origin.as_str(), "seq" => urgent.seq);
                    self.on_urgent(backends, &urgent);
                    if urgent.zone != self.shared.settings.zone {
                        self.send_all(&self.own_zone_peers(backends), &urgent);
                    }
                }
            }
            PeerMessage::FetchConfig(fetch) => {
                let chunk = self.exchange.chunk(fetch);
                self.peers.reply(from, PeerMessage::Config(chunk));
            }
            PeerMessage::Config(chunk) => {
                let response = PeerResponse::Chunk(from.clone(), chunk);
                if self.responses.try_send(response).is_err() {
                    self.shared.metrics.count_dropped_config("unexpected");
                }
            }
            PeerMessage::Remote(summary) => {
                for (fingerprint, left_s) in summary.quarantined {
                    self.apply_remote_quarantine(fingerprint, left_s);
                }
            }
            PeerMessage::Hello(_) | PeerMessage::Digest(_) | PeerMessage::Delta(_) => {}
        }
    }

    /// Returns quarantined requests with the remaining time of their quarantine in seconds.
    fn quarantined(&self, now: Duration) -> Vec<(u128, u16)> {
        let entries = self.shared.quarantine.list(now, MAX_SUMMARY_ENTRIES);
        let entries = entries.into_iter();
        let quarantined = entries.filter(|(_, verdict, _)| *verdict == Verdict::Quarantined);
        quarantined
            .map(|(fingerprint, _, left)| (fingerprint, left.as_secs() as u16))
            .collect()
    }

    /// Applies a quarantine of another zone for its remaining time, so that zones do not prolong it
    /// for each other.
    fn apply_remote_quarantine(&self, fingerprint: u128, left_s: u16) {
        let now = self.shared.now();
        let quarantine = &self.shared.quarantine;
        if quarantine.check(now, fingerprint) == Verdict::Quarantined {
            return;
        }
        let age = Duration::from_secs(u64::from(QUARANTINE_S.saturating_sub(left_s)));
        let event = StrikeEvent {
            fingerprint,
            server: InstanceId::default(),
            kind: StrikeKind::Quarantined,
        };
        quarantine.apply_remote(now.saturating_sub(age), event);
    }

    fn on_gossip_event(&mut self, backends: &mut Backends, zone: &mut Zone, event: GossipEvent) {
        let now = self.shared.now();
        match event {
            GossipEvent::Instance(peer, boot_id, info) => {
                zone.status.on_ack(now, &peer, boot_id, info.generation);
                zone.on_boot(&peer, boot_id);
            }
            GossipEvent::Heartbeat(peer) => self.renew_acknowledgement(zone, &peer),
            GossipEvent::Engine(engine, assignment, load) => {
                backends.on_load(&engine, &assignment, load);
            }
            GossipEvent::Team(peer, team, requests_per_s, tokens_per_s) => {
                let usage = (requests_per_s, tokens_per_s);
                self.usage.set(peer, team, usage);
            }
            GossipEvent::Urgent(urgent) => self.on_urgent(backends, &urgent),
            GossipEvent::Restarted(peer, boot_id) => zone.on_boot(&peer, boot_id + 1),
        }
    }

    /// Renews the last acknowledgement of a peer, which a heartbeat confirms.
    fn renew_acknowledgement(&self, zone: &mut Zone, peer: &InstanceId) {
        let now = self.shared.now();
        for view in self.gossip.peers() {
            if view.instance == *peer {
                let generation = view.info.generation;
                zone.status.on_ack(now, peer, view.boot_id, generation);
            }
        }
    }

    fn on_urgent(&mut self, backends: &mut Backends, urgent: &UrgentMessage) {
        let now = self.shared.now();
        let quarantine = &self.shared.quarantine;
        match &urgent.body {
            UrgentBody::Leaving { backend } => backends.on_peer_leaving(backend),
            UrgentBody::Drain { backend, drained } => backends.on_planned_drain(backend, *drained),
            UrgentBody::Strike {
                backend,
                fingerprints,
            } => {
                for fingerprint in fingerprints {
                    let last_strike = quarantine.last_strike(now, *fingerprint);
                    if last_strike.is_some_and(|at| now < at + SIMULTANEOUS) {
                        continue;
                    }
                    let event = StrikeEvent {
                        fingerprint: *fingerprint,
                        server: backend.clone(),
                        kind: StrikeKind::Suspected,
                    };
                    quarantine.apply_remote(now, event);
                }
            }
            UrgentBody::Quarantined {
                backend,
                fingerprint,
                ..
            } => {
                let event = StrikeEvent {
                    fingerprint: *fingerprint,
                    server: backend.clone(),
                    kind: StrikeKind::Quarantined,
                };
                quarantine.apply_remote(now, event);
            }
            // Normally the watch of the manifest reads the new configuration. It is requested from
            // peers only while the platform is unavailable.
            UrgentBody::NewGeneration { generation } => {
                self.announced_generation = self.announced_generation.max(*generation);
                if *generation > self.exchange.generation() {
                    self.exchange.newer_generation.notify_one();
                }
            }
        }
    }

    fn flood(&mut self, backends: &Backends, body: UrgentBody) {
        let urgent = self.gossip.urgent(self.shared.now(), body);
        slog::debug!(self.shared.log, "flood"; "kind" => body_kind(&urgent.body),
            "seq" => urgent.seq);
        self.send_all(&self.own_zone_peers(backends), &urgent);
        let mut zones: IndexMap<_, Vec<PeerAddress>> = IndexMap::new();
        for peer in self.other_zone_peers(backends) {
            let zone = peer.identity.zone.clone();
            zones.entry(zone).or_default().push(peer);
        }
        for peers in zones.values() {
            if let Some(peer) = select_random(peers) {
                self.send_all(std::slice::from_ref(peer), &urgent);
            }
        }
    }

    fn send_all(&self, peers: &[PeerAddress], urgent: &UrgentMessage) {
        for peer in peers {
            let sent = self.peers.send(peer, PeerMessage::Urgent(urgent.clone()));
            if !sent {
                slog::debug!(self.shared.log, "flood_dropped";
                    "peer" => peer.identity.instance.as_str());
            }
        }
    }

    fn own_zone_peers(&self, backends: &Backends) -> Vec<PeerAddress> {
        let settings = &self.shared.settings;
        let entries = backends.entries().iter();
        let peers =
            entries.filter(|entry| entry.zone == settings.zone && entry.id != settings.instance);
        peers.filter_map(peer_address).collect()
    }

    fn other_zone_peers(&self, backends: &Backends) -> Vec<PeerAddress> {
        let settings = &self.shared.settings;
        let entries = backends.live_entries();
        let peers = entries.filter(|entry| entry.zone != settings.zone);
        peers.filter_map(peer_address).collect()
    }
}

fn body_kind(body: &UrgentBody) -> &'static str {
    match body {
        UrgentBody::Leaving { .. } => "leaving",
        UrgentBody::Strike { .. } => "strike",
        UrgentBody::Quarantined { .. } => "quarantined",
        UrgentBody::Drain { .. } => "drain",
        UrgentBody::NewGeneration { .. } => "new_generation",
    }
}

fn peer_address(entry: &ListedInstance) -> Option<PeerAddress> {
    let address: SocketAddr = entry.peer_address.as_ref()?.parse().ok()?;
    Some(PeerAddress {
        identity: PeerIdentity {
            instance: entry.id.clone(),
            zone: entry.zone.clone(),
        },
        address,
    })
}

fn select_random(peers: &[PeerAddress]) -> Option<&PeerAddress> {
    use rand::seq::IndexedRandom as _;
    peers.choose(&mut rand::rng())
}
