//! Gossip between the instances of one zone, in virtual time and with encoded frames.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use wagtailarch_control::{EngineUpdate, Gossip, GossipConfig, GossipEvent};
use wagtailarch_types::{Assignment, BackendState, Role};
use wagtailarch_wire::peer::{EngineLoad, PeerMessage, UrgentBody, encode_frame};

use crate::capacity::measurement::{NODE_BYTES_PER_S, NODE_MEMORY_BYTES, NODE_US_PER_S};
use crate::capacity::probe::{resident_bytes, thread_time};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

/// Instances of a zone at the design size.
const ZONE_PEERS: u32 = 29;
/// Engines of a zone at the design size.
const ZONE_ENGINES: u32 = 292;
/// Rounds of 1 s between two loads of one engine, as section 10 of the design page has it.
const LOAD_EVERY: u32 = 4;
/// Rounds before a measurement, in which names spread.
const WARM_UP: u32 = 20;
/// Rounds that a measurement counts.
const ROUNDS: u32 = 40;
/// Bytes of the length before each frame on a stream.
const LENGTH_BYTES: usize = 4;

/// Slopes of gossip.
pub(crate) const SLOPES: &[Measurement] = &[
    Measurement {
        name: "gossip-bytes-engines",
        quantity: "bytes/s sent by a node (as many received), frames only",
        size_of: "engines of the zone, 29 peers",
        sizes: &[32, 64, 128, 256, 512],
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: Some(NODE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            bytes(
                Setup {
                    engines: size,
                    ..Setup::default()
                },
                size,
                seed,
            )
        },
    },
    Measurement {
        name: "gossip-bytes-peers",
        quantity: "bytes/s sent by a node (as many received), frames only",
        size_of: "peers of the zone, 292 engines",
        sizes: &[4, 8, 16, 32, 64],
        design_size: DESIGN_SIZE.instances / DESIGN_SIZE.zones,
        target: Some(NODE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            bytes(
                Setup {
                    peers: size,
                    ..Setup::default()
                },
                size,
                seed,
            )
        },
    },
    Measurement {
        name: "gossip-bytes-teams",
        quantity: "bytes/s sent by a node when the usage of the teams changes each second",
        size_of: "teams gossiped by each instance",
        sizes: &[0, 15, 30, 45, 60],
        design_size: 60.0,
        target: Some(NODE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            bytes(
                Setup {
                    teams: size,
                    ..Setup::default()
                },
                size,
                seed,
            )
        },
    },
    Measurement {
        name: "gossip-bytes-changes",
        quantity: "bytes/s sent by a node with flood and acknowledgements of changes",
        size_of: "configuration changes an hour",
        sizes: &[0, 90, 180, 360, 720],
        design_size: DESIGN_SIZE.changes_per_day / 24.0,
        target: Some(NODE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            let setup = Setup {
                changes_per_h: size,
                rounds: 360,
                ..Setup::default()
            };
            bytes(setup, size, seed)
        },
    },
    Measurement {
        name: "gossip-bytes-floods",
        quantity: "bytes/s sent by a node when every instance floods each change (as the code does)",
        size_of: "configuration changes an hour",
        sizes: &[0, 90, 180, 360, 720],
        design_size: DESIGN_SIZE.changes_per_day / 24.0,
        target: Some(NODE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            let setup = Setup {
                changes_per_h: size,
                rounds: 360,
                all_flood: true,
                ..Setup::default()
            };
            bytes(setup, size, seed)
        },
    },
    Measurement {
        name: "gossip-join-bytes",
        quantity: "bytes received by an instance that joins the zone",
        size_of: "engines of the zone, 29 peers",
        sizes: &[32, 64, 128, 256, 512],
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: None,
        own_process: false,
        measure: join_bytes,
    },
    Measurement {
        name: "gossip-ack-rounds",
        quantity: "rounds of 1 s until one node knows the generation of all (mean of 20)",
        size_of: "log2 of the peers of the zone",
        sizes: &[4, 8, 16, 32, 64],
        design_size: 4.83,
        target: None,
        own_process: false,
        measure: ack_rounds,
    },
    Measurement {
        name: "gossip-cpu-engines",
        quantity: "us/s of a node: digest, delta, merge, frames",
        size_of: "engines of the zone, 29 peers",
        sizes: &[32, 64, 128, 256, 512],
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: Some(NODE_US_PER_S),
        own_process: false,
        measure: |size, seed| {
            cpu(
                Setup {
                    engines: size,
                    ..Setup::default()
                },
                size,
                seed,
            )
        },
    },
    Measurement {
        name: "gossip-memory",
        quantity: "resident bytes of the gossip state of a node, 60 teams each",
        size_of: "engines of the zone, 29 peers",
        sizes: &[32, 64, 128, 256, 512],
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: Some(NODE_MEMORY_BYTES),
        own_process: true,
        measure: memory,
    },
];

/// Sizes and load of a simulated zone.
#[derive(Debug, Clone, Copy)]
struct Setup {
    peers: u32,
    engines: u32,
    teams: u32,
    changes_per_h: u32,
    rounds: u32,
    /// Whether every instance floods a new generation, not only the first one.
    all_flood: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            peers: ZONE_PEERS,
            engines: ZONE_ENGINES,
            teams: 0,
            changes_per_h: 0,
            rounds: ROUNDS,
            all_flood: false,
        }
    }
}

/// The instances of one zone.
struct Zone {
    setup: Setup,
    nodes: Vec<Gossip>,
    rng: ChaCha8Rng,
    round: u32,
    generation: u64,
    /// Bytes of all frames sent.
    bytes: usize,
}

impl Zone {
    fn new(setup: Setup, seed: u64) -> Self {
        Self {
            setup,
            nodes: (0..setup.peers).map(node).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            round: 0,
            generation: 1,
            bytes: 0,
        }
    }

    /// Runs rounds; each instance asks one random peer for what it lacks.
    fn run(&mut self, rounds: u32) -> Result<(), CapacityError> {
        for _ in 0..rounds {
            self.begin_round()?;
            for asking in 0..self.nodes.len() {
                let asked = self.other(asking);
                self.exchange(asking, asked)?;
            }
        }
        Ok(())
    }

    fn begin_round(&mut self) -> Result<(), CapacityError> {
        self.round += 1;
        let now = self.now();
        for (number, node) in self.nodes.iter_mut().enumerate() {
            node.heartbeat(now);
            let own = (0..self.setup.engines).filter(|e| e % self.setup.peers == number as u32);
            for engine in own {
                // A new engine is named in the first round; its loads are spread over the rounds.
                let turn = engine / self.setup.peers + self.round;
                if self.round == 1 || turn.is_multiple_of(LOAD_EVERY) {
                    node.set_engine(now, &news(engine, &mut self.rng));
                }
            }
            let teams: Vec<(SmolStr, f64, f64)> = (0..self.setup.teams)
                .map(|team| {
                    let rate = self.rng.random_range(1.0..50.0);
                    (
                        format_smolstr!("team-{:05}", team * 400),
                        rate,
                        rate * 900.0,
                    )
                })
                .collect();
            node.set_teams(now, &teams);
        }
        let before = (self.round - 1) * self.setup.changes_per_h / 3_600;
        if self.round * self.setup.changes_per_h / 3_600 > before {
            self.change()?;
        }
        Ok(())
    }

    /// Puts a new generation in force everywhere and floods it from one instance or from all.
    fn change(&mut self) -> Result<(), CapacityError> {
        self.generation += 1;
        let (now, generation) = (self.now(), self.generation);
        let (peers, other_zones) = (self.nodes.len() - 1, DESIGN_SIZE.zones as usize - 1);
        let origins = match self.setup.all_flood {
            true => 0..self.nodes.len(),
            false => {
                let first = self.round as usize % self.nodes.len();
                first..first + 1
            }
        };
        for origin in origins {
            let urgent = self.nodes[origin].urgent(now, UrgentBody::NewGeneration { generation });
            let frame = frame_bytes(&PeerMessage::Urgent(urgent.clone()))?;
            // All peers of the zone, one instance of each other zone, and, since the other zones
            // do the same, one forward in this zone of a message from each of them.
            self.bytes += frame * (peers + other_zones + other_zones * peers);
            for node in &mut self.nodes {
                node.on_urgent(&urgent);
            }
        }
        for node in &mut self.nodes {
            node.set_self(now, generation, false);
        }
        Ok(())
    }

    fn exchange(&mut self, asking: usize, asked: usize) -> Result<Vec<GossipEvent>, CapacityError> {
        let digest = self.nodes[asking].digest();
        let delta = self.nodes[asked].delta_for(&digest);
        self.bytes += frame_bytes(&PeerMessage::Digest(digest))?;
        self.bytes += frame_bytes(&PeerMessage::Delta(delta.clone()))?;
        let now = self.now();
        Ok(self.nodes[asking].merge(now, delta))
    }

    fn other(&mut self, than: usize) -> usize {
        let step = self.rng.random_range(1..self.nodes.len());
        (than + step) % self.nodes.len()
    }

    fn now(&self) -> Duration {
        Duration::from_secs(u64::from(self.round))
    }
}

fn node(number: u32) -> Gossip {
    Gossip::new(GossipConfig {
        instance: format_smolstr!("entry-{number:03}"),
        boot_id: u64::MAX - u64::from(number),
        zone: "buda-a".into(),
        peer_address: format_smolstr!("10.1.2.{number}:7000"),
    })
}

fn news(engine: u32, rng: &mut ChaCha8Rng) -> EngineUpdate {
    let role = Role::Mixed;
    EngineUpdate {
        engine: format_smolstr!("engine-{engine:04}"),
        assignment: Assignment {
            role,
            model: "fedel".into(),
            version: "2026-11".into(),
            adapters: vec!["jam".into()],
        },
        load: EngineLoad {
            role,
            state: BackendState::Serving,
            running: rng.random_range(0.0..64.0),
            queued_tokens: rng.random_range(0.0..20_000.0),
            prefill_tokens_per_s: rng.random_range(0.0..20_000.0),
            decode_tokens_per_s: rng.random_range(0.0..3_000.0),
            kv_used_ratio: rng.random_range(0.0..1.0),
        },
    }
}

fn frame_bytes(message: &PeerMessage) -> Result<usize, CapacityError> {
    let frame = encode_frame(message).map_err(CapacityError::measured)?;
    Ok(frame.len() + LENGTH_BYTES)
}

fn bytes(setup: Setup, size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut zone = Zone::new(setup, seed);
    zone.run(WARM_UP)?;
    zone.bytes = 0;
    zone.run(setup.rounds)?;
    Ok(Point {
        x: f64::from(size),
        y: zone.bytes as f64 / f64::from(setup.peers * setup.rounds),
    })
}

fn cpu(setup: Setup, size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut zone = Zone::new(setup, seed);
    zone.run(WARM_UP)?;
    let start = thread_time();
    zone.run(setup.rounds)?;
    let used = thread_time().saturating_sub(start);
    Ok(Point {
        x: f64::from(size),
        y: used.as_secs_f64() * 1e6 / f64::from(setup.peers * setup.rounds),
    })
}

fn join_bytes(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let setup = Setup {
        engines: size,
        teams: 60,
        ..Setup::default()
    };
    let mut zone = Zone::new(setup, seed);
    zone.run(WARM_UP)?;
    let mut new = node(ZONE_PEERS);
    let mut bytes = 0;
    // A delta has a bound on its size, so that a large state needs several.
    for _ in 0..100 {
        let delta = zone.nodes[0].delta_for(&new.digest());
        bytes += frame_bytes(&PeerMessage::Delta(delta.clone()))?;
        if delta.origins.is_empty() {
            break;
        }
        new.merge(zone.now(), delta);
    }
    Ok(Point {
        x: f64::from(size),
        y: bytes as f64,
    })
}

fn ack_rounds(size: u32, seed: u64) -> Result<Point, CapacityError> {
    const TRIALS: u64 = 20;
    let mut total = 0;
    for trial in 0..TRIALS {
        let setup = Setup {
            peers: size,
            engines: 0,
            ..Setup::default()
        };
        let mut zone = Zone::new(setup, seed * TRIALS + trial);
        zone.run(WARM_UP)?;
        let now = zone.now();
        for node in &mut zone.nodes {
            node.set_self(now, 2, false);
        }
        loop {
            zone.run(1)?;
            total += 1;
            let peers = zone.nodes[0].peers();
            if peers.iter().all(|peer| peer.info.generation == 2) {
                break;
            }
        }
    }
    Ok(Point {
        x: f64::from(size).log2(),
        y: f64::from(total) / TRIALS as f64,
    })
}

fn memory(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let setup = Setup {
        engines: size,
        teams: 60,
        ..Setup::default()
    };
    // Every instance of the zone holds the whole state.
    let zone_bytes = resident_bytes(1, |_| {
        let mut zone = Zone::new(setup, seed);
        zone.run(WARM_UP).map(|()| zone)
    })?;
    Ok(Point {
        x: f64::from(size),
        y: zone_bytes / f64::from(setup.peers),
    })
}
