//! Costs of the configuration: its parts, its first load at an instance, and changes.

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

use crate::capacity::measurement::{INSTANCE_BYTES_PER_S, INSTANCE_MEMORY_BYTES};
use crate::capacity::probe::{cpu_us_per_call, resident_bytes_per_copy};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

const TEAM_COUNTS: &[u32] = &[1_000, 4_000, 8_000, 16_000, 29_000, 58_000];

/// Measurements of the configuration.
pub(crate) const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "bootstrap-reads",
        quantity: "platform reads of one instance that starts without a configuration",
        size_of: "teams",
        sizes: TEAM_COUNTS,
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: |size, seed| bootstrap(size, seed, true),
    },
    Measurement {
        name: "bootstrap-cpu",
        quantity: "us of one instance to read, check and assemble a configuration",
        size_of: "teams",
        sizes: TEAM_COUNTS,
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: |size, seed| bootstrap(size, seed, false),
    },
    Measurement {
        name: "config-bytes",
        quantity: "bytes of manifest and parts",
        size_of: "teams",
        sizes: TEAM_COUNTS,
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: config_bytes,
    },
    Measurement {
        name: "config-memory",
        quantity: "resident bytes of a loaded configuration with its cached parts",
        size_of: "teams",
        sizes: TEAM_COUNTS,
        design_size: DESIGN_SIZE.teams,
        target: Some(INSTANCE_MEMORY_BYTES),
        own_process: true,
        measure: config_memory,
    },
    Measurement {
        name: "assemble-cpu",
        quantity: "us of an instance to assemble the configuration after a change",
        size_of: "teams",
        sizes: TEAM_COUNTS,
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: assemble_cpu,
    },
    Measurement {
        name: "change-reads",
        quantity: "platform reads of all instances for one change of one team",
        size_of: "instances",
        sizes: &[8, 16, 32, 64],
        design_size: DESIGN_SIZE.instances,
        target: None,
        own_process: false,
        measure: change_reads,
    },
    Measurement {
        name: "change-bytes",
        quantity: "bytes/s of an instance for manifest and parts of changes of one team",
        size_of: "changes a day, 29,000 teams",
        sizes: &[16, 32, 64, 128],
        design_size: DESIGN_SIZE.changes_per_day,
        target: Some(INSTANCE_BYTES_PER_S),
        own_process: false,
        measure: change_bytes,
    },
    Measurement {
        name: "parse-cpu",
        quantity: "us of wagtailctl to parse and check a fleet file",
        size_of: "teams",
        sizes: TEAM_COUNTS,
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: parse_cpu,
    },
];

/// Creates `count` teams with different names and keys.
pub(crate) fn generate_teams(count: u32) -> Vec<Team> {
    let team = |number: u32| Team {
        name: format_smolstr!("team-{number:05}"),
        key_hash: format_key_hash(&hash_key(&format!("key-{number}"))).into(),
        further_key_hashes: Vec::new(),
        route_priority: None,
        requests_per_s: 50.0,
        tokens_per_s: 100_000.0,
        weight: 1.0,
        priority: Priority::Normal,
        services: vec!["fedel".into(), "lids".into()],
    };
    (0..count).map(team).collect()
}

/// Creates a fleet with `team_count` teams and without models, groups and services.
fn generate_fleet(team_count: u32) -> Fleet {
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
        teams: generate_teams(team_count),
    }
}

fn point(size: u32, y: f64) -> Result<Point, CapacityError> {
    Ok(Point {
        x: f64::from(size),
        y,
    })
}

fn new_runtime() -> Result<tokio::runtime::Runtime, CapacityError> {
    Ok(tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?)
}

/// Writes a configuration to the platform, without the pauses of an apply between parts.
async fn write_config(
    platform: &FakePlatform,
    previous: Option<&Manifest>,
    fleet: &Fleet,
) -> Result<Manifest, CapacityError> {
    let (content, parts) = split(fleet);
    for (hash, value) in parts {
        let key = part_key(&hash);
        let written = platform.put(&key, Bytes::from(value), Precondition::Any);
        written.await.map_err(CapacityError::measured_code)?;
    }
    let manifest = Manifest::next(previous, content, u64::MAX, "an-operator");
    let value = serde_json::to_vec(&manifest).map_err(CapacityError::measured_code)?;
    let written = platform.put(MANIFEST_KEY, Bytes::from(value), Precondition::Any);
    written.await.map_err(CapacityError::measured_code)?;
    Ok(manifest)
}

/// Loads the configuration in force.
async fn load_config(store: &ConfigStore) -> Result<Fleet, CapacityError> {
    let manifest = store
        .current()
        .await
        .map_err(CapacityError::measured_code)?;
    let no_manifest = || CapacityError::MeasuredCode("no manifest".into());
    let manifest = manifest.ok_or_else(no_manifest)?;
    store
        .load(&manifest)
        .await
        .map_err(CapacityError::measured_code)
}

fn new_platform(seed: u64) -> Arc<FakePlatform> {
    Arc::new(FakePlatform::new(seed, FakeFaults::default()))
}

/// Measures the first load of a configuration: the platform reads if `count_reads`, the CPU time
/// otherwise.
fn bootstrap(size: u32, seed: u64, count_reads: bool) -> Result<Point, CapacityError> {
    let runtime = new_runtime()?;
    let platform = new_platform(seed);
    runtime.block_on(write_config(&platform, None, &generate_fleet(size)))?;
    let calls_before = platform.calls();
    let new_store = || ConfigStore::new(Arc::clone(&platform) as Arc<dyn Platform>, "entry-000");
    if count_reads {
        runtime.block_on(load_config(&new_store()))?;
        return point(size, (platform.calls() - calls_before) as f64);
    }
    let cpu_us = cpu_us_per_call(1, || drop(runtime.block_on(load_config(&new_store()))));
    point(size, cpu_us)
}

/// Measures the size of a manifest with all its parts.
fn config_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let (content, parts) = split(&generate_fleet(size));
    let manifest = Manifest::next(None, content, u64::MAX, "an-operator");
    let manifest = serde_json::to_vec(&manifest).map_err(CapacityError::measured_code)?;
    let bytes: usize = parts.values().map(Vec::len).sum();
    point(size, (bytes + manifest.len()) as f64)
}

fn config_memory(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let runtime = new_runtime()?;
    let platform = new_platform(seed);
    runtime.block_on(write_config(&platform, None, &generate_fleet(size)))?;
    let bytes = resident_bytes_per_copy(1, |_| {
        let store = ConfigStore::new(Arc::clone(&platform) as Arc<dyn Platform>, "entry-000");
        let fleet = runtime.block_on(load_config(&store));
        (store, fleet)
    })?;
    point(size, bytes)
}

fn find_part<'p>(parts: &'p Parts, hash: &str) -> Option<&'p [u8]> {
    parts.get(hash).map(Vec::as_slice)
}

/// Measures the CPU time to assemble a configuration from its parts.
fn assemble_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let (content, parts) = split(&generate_fleet(size));
    let cpu_us = cpu_us_per_call(2, || {
        drop(assemble(&content, |hash| find_part(&parts, hash)))
    });
    point(size, cpu_us)
}

/// Counts the reads of `size` instances that load a configuration in which one team was changed.
fn change_reads(size: u32, seed: u64) -> Result<Point, CapacityError> {
    const TEAM_COUNT: u32 = 4_000;
    let platform = new_platform(seed);
    let calls = new_runtime()?.block_on(async {
        let mut fleet = generate_fleet(TEAM_COUNT);
        let manifest = write_config(&platform, None, &fleet).await?;
        let mut stores = Vec::new();
        for _ in 0..size {
            let store = ConfigStore::new(Arc::clone(&platform) as Arc<dyn Platform>, "entry");
            load_config(&store).await?;
            stores.push(store);
        }
        fleet.teams[7].weight += 0.5;
        write_config(&platform, Some(&manifest), &fleet).await?;
        let calls_before = platform.calls();
        for store in &stores {
            load_config(store).await?;
        }
        Ok::<u64, CapacityError>(platform.calls() - calls_before)
    })?;
    point(size, calls as f64)
}

/// Measures the bytes per second that an instance reads if `size` teams are changed in a day.
fn change_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    // A step that is coprime to the number of teams spreads the changes over the buckets.
    const TEAM_STEP: u32 = 7_919;
    let mut fleet = generate_fleet(DESIGN_SIZE.teams as u32);
    let (content, parts) = split(&fleet);
    let mut known_hashes: HashSet<_> = parts.into_keys().collect();
    let mut manifest = Manifest::next(None, content, u64::MAX, "an-operator");
    let mut bytes = 0;
    for change in 0..size {
        let index = (change * TEAM_STEP) as usize % fleet.teams.len();
        fleet.teams[index].weight += 0.5;
        let (content, parts) = split(&fleet);
        manifest = Manifest::next(Some(&manifest), content, u64::MAX, "an-operator");
        let value = serde_json::to_vec(&manifest).map_err(CapacityError::measured_code)?;
        bytes += value.len();
        let new_parts = parts
            .iter()
            .filter(|(hash, _)| !known_hashes.contains(*hash));
        bytes += new_parts.map(|(_, value)| value.len()).sum::<usize>();
        known_hashes = parts.into_keys().collect();
    }
    let day = Duration::from_secs(86_400);
    point(size, bytes as f64 / day.as_secs_f64())
}

fn parse_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let text = fleet_file_text(size)?;
    if let Err(findings) = Fleet::parse("fleet.toml", &text) {
        return Err(CapacityError::measured_code(&findings[0]));
    }
    let cpu_us = cpu_us_per_call(1, || drop(Fleet::parse("fleet.toml", &text)));
    point(size, cpu_us)
}

/// Returns the text of a fleet file with `team_count` teams.
fn fleet_file_text(team_count: u32) -> Result<String, CapacityError> {
    let example_file = include_str!("../../../../examples/budapest.toml");
    let (preamble, _) = example_file
        .split_once("[[team]]")
        .unwrap_or((example_file, ""));
    let mut text = preamble.to_owned();
    for team in generate_teams(team_count) {
        write!(
            text,
            "[[team]]\nname = \"{}\"\nkey_hash = \"{}\"\nrequests_per_s = 50.0\n\
             tokens_per_s = 100000.0\nservices = [\"fedel\", \"lids\"]\n\n",
            team.name, team.key_hash
        )
        .map_err(CapacityError::measured_code)?;
    }
    Ok(text)
}
