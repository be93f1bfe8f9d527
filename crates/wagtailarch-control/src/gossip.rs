//! Gossip state: delta gossip based on version vectors, and flooding of urgent messages.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;
use wagtailarch_types::{Assignment, BootId, Generation, InstanceId, TeamName, ZoneName};
use wagtailarch_wire::peer::{
    Delta, DeltaItem, Digest, EngineLoad, Hello, InstanceInfo, Item, OriginDelta, OriginVersion,
    PackedUsage, RemoteSummary, UrgentBody, UrgentMessage,
};

use crate::gossip_origin::{Origin, OwnIndexes, VersionedItem, item_bytes};

/// Maximum number of origins; the design size has 370 instances in total.
const MAX_ORIGINS: usize = 512;
/// Maximum number of engines whose load one instance gossips.
const MAX_ENGINES: usize = 512;
/// Maximum number of teams whose usage one instance gossips.
const MAX_TEAMS: usize = 60;
/// Maximum number of urgent messages remembered for deduplication; the oldest is evicted first.
const MAX_RECEIVED_URGENT: usize = 4_096;
/// Number of own urgent messages that are kept for peers that the flood did not reach.
const URGENT_SLOTS: u64 = 64;
/// Time for which an urgent message is gossiped. It exceeds the 10 rounds within which gossip
/// almost surely reaches every instance of a zone.
const URGENT_TTL: Duration = Duration::from_secs(30);
/// Upper bound on the encoded size of the header of an origin, without its name.
const ORIGIN_BYTES: usize = 32;
/// Maximum size of the items of one delta. It is below the frame bound of 64 KB, since the sizes
/// are estimates.
const MAX_DELTA_BYTES: usize = 48 * 1024;

/// Identity of the gossiping instance.
#[derive(Debug, Clone)]
pub struct GossipConfig {
    /// This instance.
    pub instance: InstanceId,
    /// Start of this process; greater than that of any earlier process of the same name.
    pub boot_id: BootId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address (`ip:port`) at which peers reach this instance.
    pub peer_address: SmolStr,
}

/// Update that gossip received.
#[derive(Debug, Clone, PartialEq)]
pub enum GossipEvent {
    /// New information of an instance about itself.
    Instance(InstanceId, BootId, InstanceInfo),
    /// A heartbeat of an instance.
    Heartbeat(InstanceId),
    /// Load of an engine and the assignment that it serves.
    Engine(InstanceId, Assignment, EngineLoad),
    /// Usage of a team at an instance: requests and tokens per second.
    Team(InstanceId, TeamName, f64, f64),
    /// A new urgent message; each is reported once.
    Urgent(UrgentMessage),
    /// The process of this instance with this older boot id no longer exists.
    Restarted(InstanceId, BootId),
}

/// New load of an engine that this instance polls.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineUpdate {
    /// Engine.
    pub engine: InstanceId,
    /// What it serves.
    pub assignment: Assignment,
    /// Load.
    pub load: EngineLoad,
}

/// Last known information about a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerView {
    /// Peer.
    pub instance: InstanceId,
    /// Start of its process.
    pub boot_id: BootId,
    /// What it reports about itself.
    pub info: InstanceInfo,
    /// When its last new fact arrived.
    pub received_at: Duration,
}

/// Gossip state of one instance.
///
/// Every fact belongs to one origin, which assigns it a version. A delta contains the facts of an
/// origin after the version that the receiver has, in the order of their versions, so that any
/// prefix of it can be merged.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
    info: InstanceInfo,
    /// Facts by origin, this instance first; at most `MAX_ORIGINS`.
    origins: IndexMap<InstanceId, Origin>,
    engines: OwnIndexes,
    teams: OwnIndexes,
    /// Sequence number of the last own urgent message.
    urgent_seq: u64,
    /// Urgent messages that already arrived; at most `MAX_RECEIVED_URGENT`.
    received_urgent: IndexSet<(InstanceId, BootId, u64)>,
}

impl Gossip {
    /// Creates the state of an instance that knows only itself.
    pub fn new(config: GossipConfig) -> Self {
        let info = InstanceInfo {
            generation: 0,
            peer_address: config.peer_address.clone(),
            draining: false,
        };
        let mut origins = IndexMap::new();
        let mut own = Origin::new(config.boot_id, Duration::ZERO);
        own.push(Duration::ZERO, Item::Instance(info.clone()));
        origins.insert(config.instance.clone(), own);
        Self {
            config,
            info,
            origins,
            engines: OwnIndexes::new(MAX_ENGINES),
            teams: OwnIndexes::new(MAX_TEAMS),
            urgent_seq: 0,
            received_urgent: IndexSet::new(),
        }
    }

    /// Returns the message by which this instance introduces itself to a peer.
    pub fn hello(&self) -> Hello {
        Hello {
            instance: self.config.instance.clone(),
            boot_id: self.config.boot_id,
            zone: self.config.zone.clone(),
            generation: self.info.generation,
        }
    }

    /// Begins a round: adds a heartbeat and removes urgent messages older than `URGENT_TTL`.
    pub fn heartbeat(&mut self, now: Duration) {
        for origin in self.origins.values_mut() {
            origin.expire_urgent(now, URGENT_TTL);
        }
        self.own().push(now, Item::Heartbeat);
    }

    /// Sets the generation in force and whether this instance drains.
    pub fn set_self(&mut self, now: Duration, generation: Generation, draining: bool) {
        let info = InstanceInfo {
            generation: generation.max(self.info.generation),
            draining,
            ..self.info.clone()
        };
        if info == self.info {
            return;
        }
        self.info = info.clone();
        self.own().push(now, Item::Instance(info));
    }

    /// Sets the load of an engine that this instance polls. Each call sends about 10 bytes to every
    /// peer of the zone, so the caller limits their rate (every 4 s at the design size).
    pub fn set_engine(&mut self, now: Duration, update: &EngineUpdate) {
        let Some(index) = self.engines.index(&update.engine) else {
            return;
        };
        let name = Item::EngineName {
            index,
            engine: update.engine.clone(),
            assignment: update.assignment.clone(),
        };
        let load = Item::Engine {
            index,
            load: update.load.pack(),
        };
        self.own().push_if_changed(now, name);
        self.own().push(now, load);
    }

    /// Stops gossiping the engines for which `keep` returns false.
    pub fn retain_engines(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        for index in self.engines.retain(keep) {
            self.own().remove_engine(index);
        }
    }

    /// Sets the teams with the greatest usage at this instance, at most 60, with their requests and
    /// tokens per second.
    pub fn set_teams(&mut self, now: Duration, teams: &[(TeamName, f64, f64)]) {
        let listed: IndexSet<&TeamName> = teams.iter().map(|(team, ..)| team).collect();
        for index in self.teams.retain(|team| listed.contains(team)) {
            // Peers use the last usage until it changes, so its end is gossiped as well.
            let usage = PackedUsage::new(0.0, 0.0);
            self.own().push(now, Item::Team { index, usage });
        }
        for (team, requests_per_s, tokens_per_s) in teams.iter().take(MAX_TEAMS) {
            let Some(index) = self.teams.index(team) else {
                continue;
            };
            let name = Item::TeamName {
                index,
                team: team.clone(),
            };
            let usage = Item::Team {
                index,
                usage: PackedUsage::new(*requests_per_s, *tokens_per_s),
            };
            self.own().push_if_changed(now, name);
            self.own().push_usage(now, usage);
        }
    }

    /// Returns the version up to which this instance has the facts of each origin.
    pub fn digest(&self) -> Digest {
        let versions = self
            .origins
            .iter()
            .map(|(instance, origin)| OriginVersion {
                instance: instance.clone(),
                boot_id: origin.boot_id,
                version: origin.version,
            })
            .collect();
        Digest { versions }
    }

    /// Returns the facts that the sender of `digest` is missing, within the frame bound.
    pub fn delta_for(&self, digest: &Digest) -> Delta {
        let known: IndexMap<&InstanceId, &OriginVersion> = digest
            .versions
            .iter()
            .map(|version| (&version.instance, version))
            .collect();
        let mut delta = Delta::default();
        let mut bytes = 0;
        for (instance, origin) in &self.origins {
            let after = match known.get(instance) {
                Some(known) if known.boot_id > origin.boot_id => continue,
                Some(known) if known.boot_id == origin.boot_id => known.version,
                _ => 0,
            };
            bytes += ORIGIN_BYTES + instance.len();
            let mut items = Vec::new();
            let mut last = after;
            for item in origin.items_after(after) {
                bytes += item_bytes(&item.item);
                if bytes > MAX_DELTA_BYTES {
                    break;
                }
                items.push(DeltaItem {
                    step: item.version - last,
                    item: item.item.clone(),
                });
                last = item.version;
            }
            if items.is_empty() {
                continue;
            }
            delta.origins.push(OriginDelta {
                instance: instance.clone(),
                boot_id: origin.boot_id,
                after,
                items,
            });
            if bytes > MAX_DELTA_BYTES {
                break;
            }
        }
        delta
    }

    /// Merges a delta and returns the updates in it that are new.
    pub fn merge(&mut self, now: Duration, delta: Delta) -> Vec<GossipEvent> {
        let mut events = Vec::new();
        for origin in delta.origins {
            if origin.instance == self.config.instance {
                continue;
            }
            self.merge_origin(now, origin, &mut events);
        }
        events
    }

    /// Creates an urgent message of this instance, which the caller floods.
    pub fn urgent(&mut self, now: Duration, body: UrgentBody) -> UrgentMessage {
        self.urgent_seq += 1;
        let urgent = UrgentMessage {
            origin: self.config.instance.clone(),
            boot_id: self.config.boot_id,
            seq: self.urgent_seq,
            zone: self.config.zone.clone(),
            body,
        };
        self.own().push(now, Item::Urgent(urgent.clone()));
        urgent
    }

    /// Records a flooded message. Returns whether it is new; the caller then applies it and, if it
    /// comes from another zone, floods it in its own zone.
    pub fn on_urgent(&mut self, urgent: &UrgentMessage) -> bool {
        if urgent.origin == self.config.instance {
            return false;
        }
        let key = (urgent.origin.clone(), urgent.boot_id, urgent.seq);
        if !self.received_urgent.insert(key) {
            return false;
        }
        if self.received_urgent.len() > MAX_RECEIVED_URGENT {
            self.received_urgent.shift_remove_index(0);
        }
        true
    }

    /// Returns the summary for an instance of another zone, to which the caller adds quarantines.
    pub fn remote_summary(&self) -> RemoteSummary {
        let known = self
            .origins
            .values()
            .filter_map(|origin| origin.info.as_ref())
            .map(|info| info.generation)
            .max();
        RemoteSummary {
            instance: self.config.instance.clone(),
            generation: known.unwrap_or(0).max(self.info.generation),
            quarantined: Vec::new(),
        }
    }

    /// Returns the known peers of the zone, without this instance.
    pub fn peers(&self) -> Vec<PeerView> {
        let mut peers = Vec::new();
        for (instance, origin) in &self.origins {
            let Some(info) = origin.info.clone() else {
                continue;
            };
            if *instance == self.config.instance {
                continue;
            }
            peers.push(PeerView {
                instance: instance.clone(),
                boot_id: origin.boot_id,
                info,
                received_at: origin.received_at,
            });
        }
        peers
    }

    /// Removes peers that are not `listed` and of which no fact arrived since `before`.
    pub fn remove_expired(&mut self, before: Duration, listed: impl Fn(&InstanceId) -> bool) {
        let own = &self.config.instance;
        self.origins.retain(|instance, origin| {
            instance == own || listed(instance) || origin.received_at >= before
        });
    }

    fn own(&mut self) -> &mut Origin {
        // `new` inserts the own origin first, and `remove_expired` keeps it.
        &mut self.origins[0]
    }

    fn merge_origin(&mut self, now: Duration, delta: OriginDelta, events: &mut Vec<GossipEvent>) {
        let instance = delta.instance;
        let known_boot = self.origins.get(&instance).map(|origin| origin.boot_id);
        match known_boot {
            Some(boot_id) if boot_id > delta.boot_id => return,
            Some(boot_id) if boot_id < delta.boot_id => {
                events.push(GossipEvent::Restarted(instance.clone(), boot_id));
                self.origins
                    .insert(instance.clone(), Origin::new(delta.boot_id, now));
            }
            Some(_) => {}
            None if self.origins.len() >= MAX_ORIGINS => return,
            None => {
                self.origins
                    .insert(instance.clone(), Origin::new(delta.boot_id, now));
            }
        }
        let mut urgent = Vec::new();
        let origin = &mut self.origins[&instance];
        if origin.version < delta.after {
            return;
        }
        let mut version = delta.after;
        for DeltaItem { step, item } in delta.items {
            version = version.saturating_add(step);
            let item = VersionedItem { version, item };
            if let Item::Urgent(message) = &item.item {
                urgent.push(message.clone());
            }
            let event = origin.apply(now, &instance, item);
            events.extend(event);
        }
        for message in urgent {
            if self.on_urgent(&message) {
                events.push(GossipEvent::Urgent(message));
            }
        }
    }
}

/// Returns the slot of an origin in which an urgent message is stored.
pub(crate) fn urgent_slot(seq: u64) -> u64 {
    seq % URGENT_SLOTS
}
