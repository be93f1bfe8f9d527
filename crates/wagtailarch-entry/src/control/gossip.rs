//! Exchange with the other instances: gossip rounds and floods.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{mpsc, watch};
use wagtailarch_control::{EngineUpdate, Gossip, GossipConfig, GossipEvent};
use wagtailarch_traffic::{StrikeEvent, StrikeKind, Verdict};
use wagtailarch_types::{Generation, InstanceId, rendezvous_weight};
use wagtailarch_wire::{
    peer::{EngineLoad, PeerMessage, UrgentBody, UrgentMessage},
    platform::ListedInstance,
};

use super::{
    backends::{Backends, Known},
    configuration::Findings,
    exchange::Exchange,
    peer_config::{ANSWERS, PeerAnswer, PeerConfig, PeerConfigInputs},
    remote_usage::RemoteUsage,
    zone::Zone,
};
use crate::{
    peers::{PeerAddress, PeerEvent, PeerIdentity, Peers},
    shared::{Shared, Stage},
};

/// Interval of gossip rounds.
const ROUND_EVERY: Duration = Duration::from_secs(1);
/// Interval of summaries for other zones.
const REMOTE_EVERY: Duration = Duration::from_secs(5);
/// Interval of gossiping the load of one engine.
const LOAD_EVERY: Duration = Duration::from_secs(4);
/// Teams whose usage is gossiped.
const TEAMS: usize = 60;
/// Listed engines up to which every instance polls all of them, which keeps loads fresher.
const POLL_ALL: usize = 64;
/// Quarantined requests in a summary for another zone; the oldest come first.
const SUMMARY_QUARANTINED: usize = 1_024;
/// Time in seconds for which a request stays quarantined.
const QUARANTINE_S: u16 = 600;
/// Time without a word after which the usage of a peer no longer counts.
const SILENT_AFTER: Duration = Duration::from_secs(15);
/// Time without a word after which a peer that is not listed is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Gossip state with its transport.
pub(super) struct PeerPort {
    shared: Arc<Shared>,
    peers: Peers,
    gossip: Gossip,
    usage: RemoteUsage,
    exchange: Arc<Exchange>,
    /// Answers for the task that asks peers for the configuration.
    answers: mpsc::Sender<PeerAnswer>,
    /// Entry instances of the last list without this one.
    listed: watch::Sender<Vec<PeerAddress>>,
    round_at: Duration,
    remote_at: Duration,
    /// Peers of the zone that a connection was opened to, so that a flood waits for no handshake.
    contacted: IndexSet<InstanceId>,
    /// When the load of an engine was last gossiped; engines that this instance polls.
    loads_at: IndexMap<InstanceId, Duration>,
    /// Highest generation that was flooded by this instance or by a peer.
    announced: Generation,
}

impl PeerPort {
    /// Creates the state and starts to ask peers whenever the platform does not answer.
    pub(super) fn new(
        shared: Arc<Shared>,
        peers: Peers,
        exchange: Arc<Exchange>,
        findings: &Findings,
    ) -> Self {
        let (answers, receiver) = mpsc::channel(ANSWERS);
        let (listed, listed_receiver) = watch::channel(Vec::new());
        if shared.settings.fleet_file.is_none() {
            let inputs = PeerConfigInputs {
                peers: peers.clone(),
                answers: receiver,
                listed: listed_receiver,
                platform: findings.platform.clone(),
                found: findings.sender.clone(),
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
            answers,
            listed,
            round_at: Duration::ZERO,
            remote_at: Duration::ZERO,
            contacted: IndexSet::new(),
            loads_at: IndexMap::new(),
            announced: 0,
        }
    }

    /// Makes the rounds that are due.
    pub(super) fn tick(&mut self, backends: &Backends) {
        let now = self.shared.now();
        if now < self.round_at + ROUND_EVERY {
            return;
        }
        self.round_at = now;
        let snapshot = self.shared.snapshot.load();
        let generation = snapshot.as_ref().map_or(0, |snapshot| snapshot.generation);
        let draining = self.shared.stage() > Stage::Serving;
        self.gossip.set_self(now, generation, draining);
        self.peers.set_hello(self.gossip.hello());
        let teams = self.shared.admission.top_teams(TEAMS);
        let teams: Vec<_> = teams
            .into_iter()
            .map(|usage| (usage.team, usage.requests_per_s, usage.tokens_per_s))
            .collect();
        self.gossip.set_teams(now, &teams);
        let silent = now.saturating_sub(SILENT_AFTER);
        let peers = self.gossip.peers().into_iter();
        let heard = peers.filter(|peer| peer.received_at >= silent);
        let heard: HashSet<_> = heard.map(|peer| peer.instance).collect();
        self.usage
            .publish(&self.shared.admission, |instance| heard.contains(instance));
        self.gossip.heartbeat(now);
        let listed = |id: &InstanceId| backends.entries().iter().any(|entry| entry.id == *id);
        self.gossip
            .remove_expired(now.saturating_sub(FORGET_AFTER), listed);
        if let Some(peer) = pick(&self.own_zone(backends)) {
            let digest = PeerMessage::Digest(self.gossip.digest());
            self.peers.send(peer, digest);
        }
        if now >= self.remote_at + REMOTE_EVERY {
            self.remote_at = now;
            if let Some(peer) = pick(&self.other_zones(backends)) {
                let mut summary = self.gossip.remote_summary();
                summary.quarantined = self.quarantined(now);
                self.peers.send(peer, PeerMessage::Remote(summary));
            }
        }
    }

    /// Opens connections to peers of the zone that are new in the list.
    pub(super) fn contact(&mut self, backends: &Backends) {
        let peers = self.own_zone(backends);
        let mut all = self.other_zones(backends);
        all.extend_from_slice(&peers);
        self.listed.send_if_modified(|last| {
            let is_new = *last != all;
            *last = all;
            is_new
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

    /// Tells whether this instance polls an engine: with many engines, each engine of the zone is
    /// polled by one instance only, and those of other zones by none.
    pub(super) fn polls(&self, backends: &Backends, engine: &InstanceId) -> bool {
        if backends.engines().len() <= POLL_ALL {
            return true;
        }
        let own = &self.shared.settings;
        let in_zone = |zone: &str| zone == own.zone.as_str();
        let listed = backends.engines().get(engine);
        if !listed.is_some_and(|listed| in_zone(&listed.zone)) {
            return false;
        }
        let key = rendezvous_weight(0, engine);
        let weight = |instance: &InstanceId| rendezvous_weight(key, instance);
        let others = backends.live_entries().filter(|entry| in_zone(&entry.zone));
        let best = others.map(|entry| weight(&entry.id)).max();
        best.is_none_or(|best| weight(&own.instance) >= best)
    }

    /// Gossips the load of an engine that this instance polls.
    pub(super) fn on_report(&mut self, engine: &InstanceId, known: &Known) {
        let now = self.shared.now();
        let due = self
            .loads_at
            .get(engine)
            .is_none_or(|at| now >= *at + LOAD_EVERY);
        if !due {
            return;
        }
        self.loads_at.insert(engine.clone(), now);
        if self.loads_at.len() > self.shared.settings.limits.backends {
            self.loads_at.clear();
        }
        let report = &known.report;
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

    /// Acknowledges a generation, and floods it unless a peer has done so: if every instance
    /// did, changes would take 829 bytes/s of each instance at the design size.
    pub(super) fn flood_generation(&mut self, backends: &Backends, generation: Generation) {
        self.gossip.set_self(self.shared.now(), generation, false);
        if generation <= self.announced {
            return;
        }
        self.announced = generation;
        self.flood(backends, UrgentBody::NewGeneration { generation });
    }

    /// Floods strikes: the suspects of one server in one message, quarantined requests singly.
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
            for part in fingerprints.chunks(256) {
                let body = UrgentBody::Strike {
                    backend: backend.clone(),
                    fingerprints: part.to_vec(),
                };
                self.flood(backends, body);
            }
        }
    }

    /// Takes an event of the transport.
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
                // With a full queue the peer's silence has the same effect later.
                let _ = self.answers.try_send(PeerAnswer::Gone(peer.instance));
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
                    self.on_news(backends, zone, event);
                }
            }
            PeerMessage::Urgent(urgent) => {
                if self.gossip.on_urgent(&urgent) {
                    slog::debug!(self.shared.log, "flooded"; "kind" => kind_of(&urgent.body),
                        "origin" => urgent.origin.as_str(), "seq" => urgent.seq);
                    self.on_urgent(backends, &urgent);
                    if urgent.zone != self.shared.settings.zone {
                        self.send_all(&self.own_zone(backends), &urgent);
                    }
                }
            }
            PeerMessage::FetchConfig(fetch) => {
                let chunk = self.exchange.answer(fetch);
                self.peers.reply(from, PeerMessage::Config(chunk));
            }
            PeerMessage::Config(chunk) => {
                let answer = PeerAnswer::Chunk(from.clone(), chunk);
                if self.answers.try_send(answer).is_err() {
                    self.shared.metrics.count_dropped_config("unexpected");
                }
            }
            PeerMessage::Remote(summary) => {
                for (fingerprint, left_s) in summary.quarantined {
                    self.take_quarantined(fingerprint, left_s);
                }
            }
            PeerMessage::Hello(_) | PeerMessage::Digest(_) | PeerMessage::Delta(_) => {}
        }
    }

    /// Returns quarantined requests with the time in seconds that is left.
    fn quarantined(&self, now: Duration) -> Vec<(u128, u16)> {
        let known = self.shared.quarantine.list(now, SUMMARY_QUARANTINED);
        let known = known.into_iter();
        let quarantined = known.filter(|(_, verdict, _)| *verdict == Verdict::Quarantined);
        quarantined
            .map(|(fingerprint, _, left)| (fingerprint, left.as_secs() as u16))
            .collect()
    }

    /// Takes over a quarantine of another zone for the time that is left, so that zones do not
    /// prolong it for each other.
    fn take_quarantined(&self, fingerprint: u128, left_s: u16) {
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

    fn on_news(&mut self, backends: &mut Backends, zone: &mut Zone, event: GossipEvent) {
        let now = self.shared.now();
        match event {
            GossipEvent::Instance(peer, boot_id, info) => {
                zone.status.on_ack(now, &peer, boot_id, info.generation);
                zone.on_boot(&peer, boot_id);
            }
            GossipEvent::Heartbeat(peer) => self.acknowledge_again(zone, &peer),
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

    /// A heartbeat shows that the last acknowledgement still stands.
    fn acknowledge_again(&self, zone: &mut Zone, peer: &InstanceId) {
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
            UrgentBody::Leaving { backend } => backends.on_peer_sign(backend),
            UrgentBody::Drain { backend, drained } => backends.on_planned_drain(backend, *drained),
            UrgentBody::Strike {
                backend,
                fingerprints,
            } => {
                for fingerprint in fingerprints {
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
            // The watch of the manifest brings the configuration; peers do without the platform.
            UrgentBody::NewGeneration { generation } => {
                self.announced = self.announced.max(*generation);
                if *generation > self.exchange.generation() {
                    self.exchange.newer.notify_one();
                }
            }
        }
    }

    fn flood(&mut self, backends: &Backends, body: UrgentBody) {
        let urgent = self.gossip.urgent(self.shared.now(), body);
        slog::debug!(self.shared.log, "flood"; "kind" => kind_of(&urgent.body), "seq" => urgent.seq);
        self.send_all(&self.own_zone(backends), &urgent);
        let mut zones: IndexMap<_, Vec<PeerAddress>> = IndexMap::new();
        for peer in self.other_zones(backends) {
            let zone = peer.identity.zone.clone();
            zones.entry(zone).or_default().push(peer);
        }
        for peers in zones.values() {
            if let Some(peer) = pick(peers) {
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

    fn own_zone(&self, backends: &Backends) -> Vec<PeerAddress> {
        let own = &self.shared.settings;
        let entries = backends.entries().iter();
        let peers = entries.filter(|entry| entry.zone == own.zone && entry.id != own.instance);
        peers.filter_map(peer_address).collect()
    }

    fn other_zones(&self, backends: &Backends) -> Vec<PeerAddress> {
        let own = &self.shared.settings;
        let entries = backends.live_entries();
        let peers = entries.filter(|entry| entry.zone != own.zone);
        peers.filter_map(peer_address).collect()
    }
}

fn kind_of(body: &UrgentBody) -> &'static str {
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

fn pick(peers: &[PeerAddress]) -> Option<&PeerAddress> {
    use rand::seq::IndexedRandom as _;
    peers.choose(&mut rand::rng())
}
