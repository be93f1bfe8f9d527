//! The configuration: parts, bootstrap, changes and applies.

use std::collections::HashSet;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::format_smolstr;
use wagtailarch_fleet::{
    Fleet, FleetSection, MANIFEST_KEY, Manifest, Parts, Policy, Team, assemble, format_key_hash,
    part_key, split,
};
use wagtailarch_platform::{ConfigStore, FakeFaults, FakePlatform, Platform, Precondition};
use wagtailarch_types::{Priority, hash_key};

use crate::capacity::probe::{call_us, resident_bytes};
use crate::capacity::slope::{NODE_BYTES_PER_S, NODE_MEMORY_BYTES};
use crate::capacity::{CapacityError, DESIGN, Point, Slope};

const TEAMS: &[u32] = &[1_000, 4_000, 8_000, 16_000, 29_000, 58_000];

/// Slopes of the configuration.
pub(crate) const SLOPES: &[Slope] = &[
    Slope {
        name: "bootstrap-reads",
        quantity: "platform reads of one instance that starts without a configuration",
        size_of: "teams",
        sizes: TEAMS,
        design: DESIGN.teams,
        target: None,
        own_process: false,
        measure: |size, seed| bootstrap(size, seed, true),
    },
    Slope {
        name: "bootstrap-cpu",
        quantity: "us of one instance to read, check and assemble a configuration",
        size_of: "teams",
        sizes: TEAMS,
        design: DESIGN.teams,
        target: None,
        own_process: false,
        measure: |size, seed| bootstrap(size, seed, false),
    },
    Slope {
        name: "config-bytes",
        quantity: "bytes of manifest and parts",
        size_of: "teams",
        sizes: TEAMS,
        design: DESIGN.teams,
        target: None,
        own_process: false,
        measure: config_bytes,
    },
    Slope {
        name: "config-memory",
        quantity: "resident bytes of a loaded configuration with its cached parts",
        size_of: "teams",
        sizes: TEAMS,
        design: DESIGN.teams,
        target: Some(NODE_MEMORY_BYTES),
        own_process: true,
        measure: config_memory,
    },
    Slope {
        name: "assemble-cpu",
        quantity: "us of an instance to assemble the configuration after a change",
        size_of: "teams",
        sizes: TEAMS,
        design: DESIGN.teams,
        target: None,
        own_process: false,
        measure: assemble_cpu,
    },
    Slope {
        name: "change-reads",
        quantity: "platform reads of all instances for one change of one team",
        size_of: "instances",
        sizes: &[8, 16, 32, 64],
        design: DESIGN.instances,
        target: None,
        own_process: false,
        measure: change_reads,
    },
    Slope {
        name: "change-bytes",
        quantity: "bytes/s of an instance for manifest and parts of changes of one team",
        size_of: "changes a day, 29,000 teams",
        sizes: &[16, 32, 64, 128],
        design: DESIGN.changes_per_day,
        target: Some(NODE_BYTES_PER_S),
        own_process: false,
        measure: change_bytes,
    },
    Slope {
        name: "parse-cpu",
        quantity: "us of wagtailctl to parse and check a fleet file",
        size_of: "teams",
        sizes: TEAMS,
        design: DESIGN.teams,
        target: None,
        own_process: false,
        measure: parse_cpu,
    },
];

/// Returns the teams of a fleet.
pub(crate) fn teams(count: u32) -> Vec<Team> {
    let team = |number: u32| Team {
        name: format_smolstr!("team-{number:05}"),
        key_hash: format_key_hash(&hash_key(&format!("key-{number}"))).into(),
        requests_per_s: 50.0,
        tokens_per_s: 100_000.0,
        weight: 1.0,
        priority: Priority::Normal,
        services: vec!["fedel".into(), "lids".into()],
    };
    (0..count).map(team).collect()
}

fn fleet(team_count: u32) -> Fleet {
    Fleet {
        fleet: FleetSection {
            name: "budapest".into(),
            region: "kozep-hu".into(),
            zones: vec!["buda-a".into(), "pest-b".into(), "obuda-c".into()],
        },
        policy: Policy {
            goodput_weight: 0.8,
            role_change_weight: 0.2,
            role_change_cost_s: 6.0,
            mix_horizon_s: 120.0,
            retry_budget_ratio: 0.1,
            retry_budget_floor_per_s: 2.0,
        },
        models: Vec::new(),
        groups: Vec::new(),
        services: Vec::new(),
        teams: teams(team_count),
    }
}

fn point(size: u32, y: f64) -> Result<Point, CapacityError> {
    Ok(Point {
        x: f64::from(size),
        y,
    })
}

fn runtime() -> Result<tokio::runtime::Runtime, CapacityError> {
    Ok(tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?)
}

/// Stores a configuration without the pauses that an apply makes between its parts.
async fn store(
    platform: &FakePlatform,
    previous: Option<&Manifest>,
    fleet: &Fleet,
) -> Result<Manifest, CapacityError> {
    let (content, parts) = split(fleet);
    for (hash, value) in parts {
        let key = part_key(&hash);
        let written = platform.put(&key, Bytes::from(value), Precondition::Any);
        written.await.map_err(CapacityError::measured)?;
    }
    let manifest = Manifest::next(previous, content, u64::MAX, "an-operator");
    let value = serde_json::to_vec(&manifest).map_err(CapacityError::measured)?;
    let written = platform.put(MANIFEST_KEY, Bytes::from(value), Precondition::Any);
    written.await.map_err(CapacityError::measured)?;
    Ok(manifest)
}

async fn load(store: &ConfigStore) -> Result<Fleet, CapacityError> {
    let manifest = store.current().await.map_err(CapacityError::measured)?;
    let absent = || CapacityError::Measured("no manifest".into());
    let manifest = manifest.ok_or_else(absent)?;
    store.load(&manifest).await.map_err(CapacityError::measured)
}

fn new_platform(seed: u64) -> Arc<FakePlatform> {
    Arc::new(FakePlatform::new(seed, FakeFaults::default()))
}

fn bootstrap(size: u32, seed: u64, count_reads: bool) -> Result<Point, CapacityError> {
    let runtime = runtime()?;
    let platform = new_platform(seed);
    runtime.block_on(store(&platform, None, &fleet(size)))?;
    let before = platform.calls();
    let open = || ConfigStore::new(Arc::clone(&platform) as Arc<dyn Platform>, "entry-000");
    if count_reads {
        runtime.block_on(load(&open()))?;
        return point(size, (platform.calls() - before) as f64);
    }
    let us = call_us(1, || drop(runtime.block_on(load(&open()))));
    point(size, us)
}

fn config_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let (content, parts) = split(&fleet(size));
    let manifest = Manifest::next(None, content, u64::MAX, "an-operator");
    let manifest = serde_json::to_vec(&manifest).map_err(CapacityError::measured)?;
    let bytes: usize = parts.values().map(Vec::len).sum();
    point(size, (bytes + manifest.len()) as f64)
}

fn config_memory(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let runtime = runtime()?;
    let platform = new_platform(seed);
    runtime.block_on(store(&platform, None, &fleet(size)))?;
    let bytes = resident_bytes(1, |_| {
        let store = ConfigStore::new(Arc::clone(&platform) as Arc<dyn Platform>, "entry-000");
        let fleet = runtime.block_on(load(&store));
        (store, fleet)
    })?;
    point(size, bytes)
}

fn find<'p>(parts: &'p Parts, hash: &str) -> Option<&'p [u8]> {
    parts.get(hash).map(Vec::as_slice)
}

fn assemble_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let (content, parts) = split(&fleet(size));
    let us = call_us(2, || drop(assemble(&content, |hash| find(&parts, hash))));
    point(size, us)
}

fn change_reads(size: u32, seed: u64) -> Result<Point, CapacityError> {
    const TEAM_COUNT: u32 = 4_000;
    let platform = new_platform(seed);
    let calls = runtime()?.block_on(async {
        let mut fleet = fleet(TEAM_COUNT);
        let manifest = store(&platform, None, &fleet).await?;
        let mut stores = Vec::new();
        for _ in 0..size {
            let store = ConfigStore::new(Arc::clone(&platform) as Arc<dyn Platform>, "entry");
            load(&store).await?;
            stores.push(store);
        }
        fleet.teams[7].weight += 0.5;
        store(&platform, Some(&manifest), &fleet).await?;
        let before = platform.calls();
        for store in &stores {
            load(store).await?;
        }
        Ok::<u64, CapacityError>(platform.calls() - before)
    })?;
    point(size, calls as f64)
}

fn change_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    // A step that is coprime to the number of teams spreads the changes over the buckets.
    const STEP: u32 = 7_919;
    let mut fleet = fleet(DESIGN.teams as u32);
    let (content, parts) = split(&fleet);
    let mut known: HashSet<_> = parts.into_keys().collect();
    let mut manifest = Manifest::next(None, content, u64::MAX, "an-operator");
    let mut bytes = 0;
    for change in 0..size {
        let at = (change * STEP) as usize % fleet.teams.len();
        fleet.teams[at].weight += 0.5;
        let (content, parts) = split(&fleet);
        manifest = Manifest::next(Some(&manifest), content, u64::MAX, "an-operator");
        let value = serde_json::to_vec(&manifest).map_err(CapacityError::measured)?;
        bytes += value.len();
        let moved = parts.iter().filter(|(hash, _)| !known.contains(*hash));
        bytes += moved.map(|(_, value)| value.len()).sum::<usize>();
        known = parts.into_keys().collect();
    }
    let day = Duration::from_secs(86_400);
    point(size, bytes as f64 / day.as_secs_f64())
}

fn parse_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let text = fleet_file(size)?;
    if let Err(findings) = Fleet::parse("fleet.toml", &text) {
        return Err(CapacityError::measured(&findings[0]));
    }
    let us = call_us(1, || drop(Fleet::parse("fleet.toml", &text)));
    point(size, us)
}

fn fleet_file(team_count: u32) -> Result<String, CapacityError> {
    let example = include_str!("../../../../examples/budapest.toml");
    let (head, _) = example.split_once("[[team]]").unwrap_or((example, ""));
    let mut text = head.to_owned();
    for team in teams(team_count) {
        write!(
            text,
            "[[team]]\nname = \"{}\"\nkey_hash = \"{}\"\nrequests_per_s = 50.0\n\
             tokens_per_s = 100000.0\nservices = [\"fedel\", \"lids\"]\n\n",
            team.name, team.key_hash
        )
        .map_err(CapacityError::measured)?;
    }
    Ok(text)
}
