//! Gossip state: delta gossip by version vector and flooding of urgent messages.

use std::time::Duration;

use smol_str::SmolStr;
use wagtailarch_types::{BootId, Generation, InstanceId, TeamName, ZoneName};
use wagtailarch_wire::peer::{
    Delta, Digest, EngineLoad, Hello, InstanceInfo, RemoteSummary, Urgent, UrgentBody,
};

/// Identity of the gossiping instance.
#[derive(Debug, Clone)]
pub struct GossipConfig {
    /// This instance.
    pub instance: InstanceId,
    /// Start of this process; greater than that of an earlier process of the same name.
    pub boot_id: BootId,
    /// Zone.
    pub zone: ZoneName,
    /// Address (`ip:port`) for peers.
    pub peer_address: SmolStr,
}

/// What gossip has learnt.
#[derive(Debug, Clone, PartialEq)]
pub enum GossipEvent {
    /// An instance said something of itself.
    Instance(InstanceId, BootId, InstanceInfo),
    /// An origin is alive.
    Heartbeat(InstanceId),
    /// Load of an engine.
    Engine(InstanceId, EngineLoad),
    /// Usage of a team at an instance: requests and tokens per second.
    Team(InstanceId, TeamName, f64, f64),
    /// A new urgent message; it comes once.
    Urgent(Urgent),
    /// A process of this name with an older boot id no longer exists.
    Restarted(InstanceId, BootId),
}

/// Load of an engine that this instance polls.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineNews {
    /// Engine.
    pub engine: InstanceId,
    /// Load.
    pub load: EngineLoad,
}

/// What is known of a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerView {
    /// Peer.
    pub instance: InstanceId,
    /// Start of its process.
    pub boot_id: BootId,
    /// What it says of itself.
    pub info: InstanceInfo,
    /// When its last new item arrived.
    pub heard_at: Duration,
}

/// Gossip state of one instance.
#[derive(Debug)]
pub struct Gossip {
    config: GossipConfig,
}

impl Gossip {
    /// Returns the state of an instance that knows only itself.
    pub fn new(config: GossipConfig) -> Self {
        Self { config }
    }

    /// Returns the introduction of this instance.
    pub fn hello(&self) -> Hello {
        todo!("{:?}", self.config)
    }

    /// Begins a round: raises the heartbeat.
    pub fn beat(&mut self) {
        todo!()
    }

    /// Sets the generation in force and whether this instance drains.
    pub fn set_self(&mut self, _generation: Generation, _draining: bool) {
        todo!()
    }

    /// Sets the load of an engine that this instance polls.
    pub fn set_engine(&mut self, _news: &EngineNews) {
        todo!()
    }

    /// Sets the heaviest teams of this instance, at most 60: requests and tokens per second.
    pub fn set_teams(&mut self, _teams: &[(TeamName, f64, f64)]) {
        todo!()
    }

    /// Returns what this instance knows.
    pub fn digest(&self) -> Digest {
        todo!()
    }

    /// Returns what the sender of `digest` lacks, within the frame bound.
    pub fn delta_for(&self, _digest: &Digest) -> Delta {
        todo!()
    }

    /// Takes a delta; returns what is new.
    pub fn merge(&mut self, _now: Duration, _delta: Delta) -> Vec<GossipEvent> {
        todo!()
    }

    /// Creates an urgent message of this instance; the caller floods it.
    pub fn urgent(&mut self, _body: UrgentBody) -> Urgent {
        todo!()
    }

    /// Takes a flooded message; returns true if it is new. The caller then applies it and, if the
    /// message is from another zone, floods it in its own zone.
    pub fn on_urgent(&mut self, _urgent: &Urgent) -> bool {
        todo!()
    }

    /// Returns the summary for an instance of another zone; the caller adds quarantines.
    pub fn remote_summary(&self) -> RemoteSummary {
        todo!()
    }

    /// Returns the known peers of the zone, this instance excluded.
    pub fn peers(&self) -> Vec<PeerView> {
        todo!()
    }

    /// Forgets peers that `listed` does not name and that were silent since `before`.
    pub fn forget(&mut self, _before: Duration, _listed: impl Fn(&InstanceId) -> bool) {
        todo!()
    }
}
