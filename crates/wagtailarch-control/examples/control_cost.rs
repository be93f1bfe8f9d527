//! Measures the control decisions at the design size: a zone of 28 peers and 292 engines.
//!
//! `cargo run --release -p wagtailarch-control --example control_cost`

use std::time::{Duration, Instant};

use wagtailarch_control::{
    Demand, EngineNews, Gossip, GossipConfig, Planner, PlannerConfig, PlannerGroup, ZoneEngine,
    ZoneView,
};
use wagtailarch_fleet::{Policy, RoleTable};
use wagtailarch_types::{Assignment, BackendState, Role};
use wagtailarch_wire::peer::{EngineLoad, PeerMessage, encode_frame};

const PEERS: usize = 29;
const ENGINES: usize = 292;
const TEAMS: usize = 60;
const ROUNDS: u64 = 600;

fn main() {
    measure_gossip();
    measure_planner();
}

/// Runs rounds of a second: each instance pulls from one peer; loads change every 4 s.
fn measure_gossip() {
    let mut peers: Vec<_> = (0..PEERS).map(gossip).collect();
    let (mut bytes, mut delta_bytes, mut busy) = (0, 0, Duration::ZERO);
    for round in 1..=ROUNDS {
        let now = Duration::from_secs(round);
        let start = Instant::now();
        for (index, peer) in peers.iter_mut().enumerate() {
            publish(peer, now, index, round);
        }
        for index in 0..PEERS {
            let other = (index + 1 + (round as usize * 7 + index * 3) % (PEERS - 1)) % PEERS;
            let digest = peers[index].digest();
            let asked = encode_frame(&PeerMessage::Digest(digest.clone())).unwrap_or_default();
            let delta = peers[other].delta_for(&digest);
            let told = encode_frame(&PeerMessage::Delta(delta.clone())).unwrap_or_default();
            peers[index].merge(now, delta);
            bytes += asked.len() + told.len();
            delta_bytes += told.len();
        }
        busy += start.elapsed();
    }
    // Each byte is sent by one instance and received by another one.
    let per_instance = (ROUNDS as usize) * PEERS;
    println!(
        "gossip: {} peers, {ENGINES} engines, {TEAMS} teams each: {:.1} us processor time, \
         {} bytes sent ({} in deltas) per instance and second",
        PEERS - 1,
        busy.as_secs_f64() * 1e6 / per_instance as f64,
        bytes / per_instance,
        delta_bytes / per_instance,
    );
}

fn gossip(index: usize) -> Gossip {
    Gossip::new(GossipConfig {
        instance: format!("entry-{index}").into(),
        boot_id: 1_796_356_000_000_000_000 + index as u64,
        zone: "buda-a".into(),
        peer_address: "10.1.2.3:7000".into(),
    })
}

fn publish(peer: &mut Gossip, now: Duration, index: usize, round: u64) {
    peer.beat(now);
    for engine in (index..ENGINES).step_by(PEERS) {
        if (round + engine as u64).is_multiple_of(4) {
            peer.set_engine(now, &news(engine, round));
        }
    }
    // One team in six changes its rate by a step of the scale each second.
    let teams: Vec<_> = (0..TEAMS)
        .map(|team| {
            let step = (round + team as u64) / 6;
            let rate = 10.0 * 1.1_f64.powi((step % 8) as i32);
            (format!("team-{team}").into(), rate, rate * 500.0)
        })
        .collect();
    peer.set_teams(now, &teams);
}

fn news(engine: usize, round: u64) -> EngineNews {
    EngineNews {
        engine: format!("fedel-lm-{engine}").into(),
        assignment: Assignment {
            role: Role::Mixed,
            model: "fedel".into(),
            version: "2026-11".into(),
            adapters: vec!["jam".into()],
        },
        load: EngineLoad {
            role: Role::Mixed,
            state: BackendState::Serving,
            running: (round % 32) as f64,
            queued_tokens: (round * 37 % 9_000) as f64,
            prefill_tokens_per_s: 9_000.0,
            decode_tokens_per_s: 2_000.0 + round as f64,
            kv_used_ratio: 0.5,
        },
    }
}

fn measure_planner() {
    let mut view = zone();
    let mut planner = Planner::new(PlannerConfig::default());
    let (mut busy, mut slowest, mut changes) = (Duration::ZERO, Duration::ZERO, 0);
    for second in 0..ROUNDS {
        // The share of prefill swings by half of its value.
        let share = 0.35 + 0.17 * (second as f64 / 60.0).sin();
        view.groups[0].demand = Some(Demand {
            prefill_tokens_per_s: share * 0.8 * ENGINES as f64 * 10_000.0,
            decode_tokens_per_s: (1.0 - share) * 0.8 * ENGINES as f64 * 2_000.0,
        });
        let start = Instant::now();
        let planned = planner.plan(Duration::from_secs(second), &view);
        let elapsed = start.elapsed();
        busy += elapsed;
        slowest = slowest.max(elapsed);
        changes += planned.len();
        for change in planned {
            let engine = view.engines.iter_mut().find(|e| e.id == change.engine);
            if let Some(engine) = engine {
                engine.role = change.to;
            }
        }
    }
    println!(
        "planner: {ENGINES} engines: mean {:.1} us, slowest {:.1} us, {changes} changes in {ROUNDS} s",
        busy.as_secs_f64() * 1e6 / ROUNDS as f64,
        slowest.as_secs_f64() * 1e6,
    );
}

fn zone() -> ZoneView {
    let engines = (0..ENGINES).map(|index| ZoneEngine {
        id: format!("fedel-lm-{index}").into(),
        group: "fedel-lm".into(),
        role: if index % 3 == 0 {
            Role::Prefill
        } else {
            Role::Decode
        },
        serving: true,
        report_age: Some(Duration::from_secs(1)),
        running: (index % 32) as f64,
        queued_tokens: 0.0,
        prefill_tokens_per_s: 3_000.0,
        decode_tokens_per_s: 1_500.0,
    });
    ZoneView {
        policy: Policy {
            goodput_weight: 0.8,
            role_change_weight: 0.2,
            role_change_cost_s: 6.0,
            mix_horizon_s: 120.0,
            retry_budget_ratio: 0.1,
            retry_budget_floor_per_s: 2.0,
        },
        groups: vec![PlannerGroup {
            name: "fedel-lm".into(),
            roles: RoleTable::default(),
            prefill_capacity_per_s: 10_000.0,
            decode_capacity_per_s: 2_000.0,
            demand: None,
        }],
        engines: engines.collect(),
    }
}
