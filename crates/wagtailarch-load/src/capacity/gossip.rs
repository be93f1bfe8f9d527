//! Costs of gossip between the instances of a zone, measured in virtual time on encoded frames.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use wagtailarch_control::{EngineUpdate, Gossip, GossipConfig, GossipEvent};
use wagtailarch_types::{Assignment, BackendState, Role};
use wagtailarch_wire::peer::{EngineLoad, PeerMessage, UrgentBody, encode_frame};

use crate::capacity::measurement::{
    INSTANCE_BYTES_PER_S, INSTANCE_CPU_US_PER_S, INSTANCE_MEMORY_BYTES,
};
use crate::capacity::probe::{resident_bytes_per_copy, thread_cpu_time};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

/// Number of instances of a zone at the design size.
const ZONE_INSTANCES: u32 = 29;
/// Number of engines of a zone at the design size.
const ZONE_ENGINES: u32 = 292;
/// Number of rounds, of 1 s each, between two load updates of an engine; see section 10 of
/// `docs/design.md`.
const LOAD_INTERVAL_ROUNDS: u32 = 4;
/// Number of rounds before a measurement, in which the names of engines and teams spread to all
/// instances.
const WARM_UP_ROUNDS: u32 = 20;
/// Number of measured rounds.
const MEASURED_ROUNDS: u32 = 40;
/// Size of the length prefix of each frame on a stream.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Measurements of gossip.
pub(crate) const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "gossip-bytes-engines",
        quantity: "bytes/s sent by a node (as many received), frames only",
        size_of: "engines of the zone, 29 peers",
        sizes: &[32, 64, 128, 256, 512],
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: Some(INSTANCE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            bytes_per_instance(
                ZoneSetup {
                    engines: size,
                    ..ZoneSetup::default()
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
        target: Some(INSTANCE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            bytes_per_instance(
                ZoneSetup {
                    instances: size,
                    ..ZoneSetup::default()
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
        target: Some(INSTANCE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            bytes_per_instance(
                ZoneSetup {
                    teams: size,
                    ..ZoneSetup::default()
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
        target: Some(INSTANCE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            let setup = ZoneSetup {
                changes_per_h: size,
                rounds: 360,
                ..ZoneSetup::default()
            };
            bytes_per_instance(setup, size, seed)
        },
    },
    Measurement {
        name: "gossip-bytes-floods",
        quantity: "bytes/s sent by a node when every instance floods each change (as the code does)",
        size_of: "configuration changes an hour",
        sizes: &[0, 90, 180, 360, 720],
        design_size: DESIGN_SIZE.changes_per_day / 24.0,
        target: Some(INSTANCE_BYTES_PER_S),
        own_process: false,
        measure: |size, seed| {
            let setup = ZoneSetup {
                changes_per_h: size,
                rounds: 360,
                every_instance_floods: true,
                ..ZoneSetup::default()
            };
            bytes_per_instance(setup, size, seed)
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
        target: Some(INSTANCE_CPU_US_PER_S),
        own_process: false,
        measure: |size, seed| {
            cpu_per_instance(
                ZoneSetup {
                    engines: size,
                    ..ZoneSetup::default()
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
        target: Some(INSTANCE_MEMORY_BYTES),
        own_process: true,
        measure: memory_bytes,
    },
];

/// Size and load of a simulated zone.
#[derive(Debug, Clone, Copy)]
struct ZoneSetup {
    /// Number of instances.
    instances: u32,
    /// Number of engines.
    engines: u32,
    /// Number of teams whose usage each instance reports.
    teams: u32,
    /// Configuration changes per hour.
    changes_per_h: u32,
    /// Number of measured rounds.
    rounds: u32,
    /// Whether every instance floods a new generation, instead of one.
    every_instance_floods: bool,
}

impl Default for ZoneSetup {
    fn default() -> Self {
        Self {
            instances: ZONE_INSTANCES,
            engines: ZONE_ENGINES,
            teams: 0,
            changes_per_h: 0,
            rounds: MEASURED_ROUNDS,
            every_instance_floods: false,
        }
    }
}

/// The instances of a zone that gossip with each other.
struct SimulatedZone {
    setup: ZoneSetup,
    instances: Vec<Gossip>,
    rng: ChaCha8Rng,
    round: u32,
    generation: u64,
    /// Total size of all sent frames.
    bytes: usize,
}

impl SimulatedZone {
    fn new(setup: ZoneSetup, seed: u64) -> Self {
        Self {
            setup,
            instances: (0..setup.instances).map(new_instance).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            round: 0,
            generation: 1,
            bytes: 0,
        }
    }

    /// Runs rounds, in each of which every instance requests missing updates from a random peer.
    fn run(&mut self, rounds: u32) -> Result<(), CapacityError> {
        for _ in 0..rounds {
            self.begin_round()?;
            for requester in 0..self.instances.len() {
                let responder = self.random_peer(requester);
                self.exchange(requester, responder)?;
            }
        }
        Ok(())
    }

    /// Starts a round: updates the load of engines and teams, and applies a configuration change if
    /// one is due.
    fn begin_round(&mut self) -> Result<(), CapacityError> {
        self.round += 1;
        let now = self.now();
        for (number, instance) in self.instances.iter_mut().enumerate() {
            instance.heartbeat(now);
            let own_engines = (0..self.setup.engines)
                .filter(|engine| engine % self.setup.instances == number as u32);
            for engine in own_engines {
                // All engines are announced in the first round. Their later load updates are spread
                // evenly over the rounds.
                let turn = engine / self.setup.instances + self.round;
                if self.round == 1 || turn.is_multiple_of(LOAD_INTERVAL_ROUNDS) {
                    instance.set_engine(now, &engine_update(engine, &mut self.rng));
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
            instance.set_teams(now, &teams);
        }
        let changes_before = (self.round - 1) * self.setup.changes_per_h / 3_600;
        if self.round * self.setup.changes_per_h / 3_600 > changes_before {
            self.apply_change()?;
        }
        Ok(())
    }

    /// Applies a new generation at all instances and floods it from one instance or from all.
    fn apply_change(&mut self) -> Result<(), CapacityError> {
        self.generation += 1;
        let (now, generation) = (self.now(), self.generation);
        let (peers, other_zones) = (self.instances.len() - 1, DESIGN_SIZE.zones as usize - 1);
        let origins = match self.setup.every_instance_floods {
            true => 0..self.instances.len(),
            false => {
                let first = self.round as usize % self.instances.len();
                first..first + 1
            }
        };
        for origin in origins {
            let urgent =
                self.instances[origin].urgent(now, UrgentBody::NewGeneration { generation });
            let frame = frame_bytes(&PeerMessage::Urgent(urgent.clone()))?;
            // The message is sent to all peers of the zone and to one instance of each other zone.
            // The other zones do the same, so a message from each of them is forwarded to the peers
            // of this zone.
            self.bytes += frame * (peers + other_zones + other_zones * peers);
            for instance in &mut self.instances {
                instance.on_urgent(&urgent);
            }
        }
        for instance in &mut self.instances {
            instance.set_self(now, generation, false);
        }
        Ok(())
    }

    /// Sends the digest of `requester` to `responder` and merges the delta that comes back.
    fn exchange(
        &mut self,
        requester: usize,
        responder: usize,
    ) -> Result<Vec<GossipEvent>, CapacityError> {
        let digest = self.instances[requester].digest();
        let delta = self.instances[responder].delta_for(&digest);
        self.bytes += frame_bytes(&PeerMessage::Digest(digest))?;
        self.bytes += frame_bytes(&PeerMessage::Delta(delta.clone()))?;
        let now = self.now();
        Ok(self.instances[requester].merge(now, delta))
    }

    /// Returns a random instance other than `requester`.
    fn random_peer(&mut self, requester: usize) -> usize {
        let step = self.rng.random_range(1..self.instances.len());
        (requester + step) % self.instances.len()
    }

    fn now(&self) -> Duration {
        Duration::from_secs(u64::from(self.round))
    }
}

fn new_instance(number: u32) -> Gossip {
    Gossip::new(GossipConfig {
        instance: format_smolstr!("entry-{number:03}"),
        boot_id: u64::MAX - u64::from(number),
        zone: "buda-a".into(),
        peer_address: format_smolstr!("10.1.2.{number}:7000"),
    })
}

/// Returns an update of an engine with a random load.
fn engine_update(engine: u32, rng: &mut ChaCha8Rng) -> EngineUpdate {
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

/// Returns the size of an encoded message with its length prefix.
fn frame_bytes(message: &PeerMessage) -> Result<usize, CapacityError> {
    let frame = encode_frame(message).map_err(CapacityError::measured_code)?;
    Ok(frame.len() + LENGTH_PREFIX_BYTES)
}

/// Measures the bytes that an instance sends in each round.
fn bytes_per_instance(setup: ZoneSetup, size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut zone = SimulatedZone::new(setup, seed);
    zone.run(WARM_UP_ROUNDS)?;
    zone.bytes = 0;
    zone.run(setup.rounds)?;
    Ok(Point {
        x: f64::from(size),
        y: zone.bytes as f64 / f64::from(setup.instances * setup.rounds),
    })
}

/// Measures the CPU time that an instance uses in each round.
fn cpu_per_instance(setup: ZoneSetup, size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut zone = SimulatedZone::new(setup, seed);
    zone.run(WARM_UP_ROUNDS)?;
    let start = thread_cpu_time();
    zone.run(setup.rounds)?;
    let cpu_time = thread_cpu_time().saturating_sub(start);
    Ok(Point {
        x: f64::from(size),
        y: cpu_time.as_secs_f64() * 1e6 / f64::from(setup.instances * setup.rounds),
    })
}

/// Measures the bytes that a new instance receives until it has the whole state of the zone.
fn join_bytes(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let setup = ZoneSetup {
        engines: size,
        teams: 60,
        ..ZoneSetup::default()
    };
    let mut zone = SimulatedZone::new(setup, seed);
    zone.run(WARM_UP_ROUNDS)?;
    let mut joining = new_instance(ZONE_INSTANCES);
    let mut bytes = 0;
    // The size of a delta is limited, so a large state takes several.
    for _ in 0..100 {
        let delta = zone.instances[0].delta_for(&joining.digest());
        bytes += frame_bytes(&PeerMessage::Delta(delta.clone()))?;
        if delta.origins.is_empty() {
            break;
        }
        joining.merge(zone.now(), delta);
    }
    Ok(Point {
        x: f64::from(size),
        y: bytes as f64,
    })
}

/// Measures the rounds until an instance has received the new generation of all its peers.
fn ack_rounds(size: u32, seed: u64) -> Result<Point, CapacityError> {
    const TRIALS: u64 = 20;
    let mut total_rounds = 0;
    for trial in 0..TRIALS {
        let setup = ZoneSetup {
            instances: size,
            engines: 0,
            ..ZoneSetup::default()
        };
        let mut zone = SimulatedZone::new(setup, seed * TRIALS + trial);
        zone.run(WARM_UP_ROUNDS)?;
        let now = zone.now();
        for instance in &mut zone.instances {
            instance.set_self(now, 2, false);
        }
        loop {
            zone.run(1)?;
            total_rounds += 1;
            let peers = zone.instances[0].peers();
            if peers.iter().all(|peer| peer.info.generation == 2) {
                break;
            }
        }
    }
    Ok(Point {
        x: f64::from(size).log2(),
        y: f64::from(total_rounds) / TRIALS as f64,
    })
}

/// Measures the memory of the gossip state of an instance.
fn memory_bytes(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let setup = ZoneSetup {
        engines: size,
        teams: 60,
        ..ZoneSetup::default()
    };
    // Each instance of the zone stores the whole state.
    let zone_bytes = resident_bytes_per_copy(1, |_| {
        let mut zone = SimulatedZone::new(setup, seed);
        zone.run(WARM_UP_ROUNDS).map(|()| zone)
    })?;
    Ok(Point {
        x: f64::from(size),
        y: zone_bytes / f64::from(setup.instances),
    })
}
