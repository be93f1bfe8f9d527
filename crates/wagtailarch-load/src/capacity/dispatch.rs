//! Costs of the load balancer of the gateway: placement of generations and load notes of peers.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::format_smolstr;
use wagtailarch_dispatch::{
    BackendServer, ClientLimits, EngineProperties, GenerationRequest, LimitMembers, LoadBalancer,
    PrefixLink, RoutingConfig, ServiceConfig, Urgency,
};
use wagtailarch_types::{Role, ServiceName, ZoneName};
use wagtailarch_wire::{
    load_note::{LimitReport, LoadNote, NoteBundle, OpenPrefill, StoreVersions, server_key},
    part_report::PartReports,
    path_report::PathReport,
    permit::{PermitBody, PermitMessage, PermitRank},
};

use crate::capacity::measurement::{INSTANCE_CPU_US_PER_S, INSTANCE_MEMORY_BYTES};
use crate::capacity::probe::{cpu_us_per_call, resident_bytes_per_copy};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

const NOW: Duration = Duration::from_secs(100);
const SERVICE: &str = "fedel-lm";
const ENGINE_COUNTS: &[u32] = &[256, 512, 1_024, 2_048, 4_096];
/// Number of availability zones at the design size.
const ZONES: u32 = 13;
/// Number of engines in a load note.
///
/// At 132 requests per second, 40 ms of prefill and 200 ms of decoding, an instance has about 30
/// open requests.
const ENGINES_PER_NOTE: u32 = 30;
/// Number of prompts whose prefixes an engine has cached.
const CACHED_PROMPTS: u32 = 4;

/// Measurements of the load balancer of the gateway.
pub(crate) const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "board-place-cpu",
        quantity: "us of the data path to place one generation",
        size_of: "engines of a service",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines,
        target: None,
        own_process: false,
        measure: placement_cpu,
    },
    Measurement {
        name: "board-note-cpu",
        quantity: "us/s of a node to merge notes, one a second of each peer",
        size_of: "entry instances, 3,800 engines",
        sizes: &[32, 64, 128, 256, 512],
        design_size: DESIGN_SIZE.instances,
        target: Some(INSTANCE_CPU_US_PER_S),
        own_process: false,
        measure: note_cpu,
    },
    Measurement {
        name: "permit-request-cpu",
        quantity: "us to answer one request for a permit",
        size_of: "entry instances, 3,800 engines",
        sizes: &[32, 64, 128, 256, 512],
        design_size: DESIGN_SIZE.instances,
        target: None,
        own_process: false,
        measure: permit_request_cpu,
    },
    Measurement {
        name: "limit-members-cpu",
        quantity: "us to apply a change of the members that share rate limits",
        size_of: "entry instances, 38 of 3,800 engines with a limit",
        sizes: &[32, 64, 128, 256, 512],
        design_size: DESIGN_SIZE.instances,
        target: None,
        own_process: false,
        measure: limit_members_cpu,
    },
    Measurement {
        name: "board-memory",
        quantity: "resident bytes of the board",
        size_of: "engines of a service",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines,
        target: Some(INSTANCE_MEMORY_BYTES),
        own_process: true,
        measure: memory_bytes,
    },
];

fn new_server(number: u32) -> BackendServer {
    BackendServer {
        id: format_smolstr!("i-{number:08x}"),
        started_unix_ms: 1,
        heartbeat: 1,
        service: SERVICE.into(),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 8_000).into(),
        zone: format_smolstr!("zone-{}", number % ZONES),
        version: "v1".into(),
        slots: 64,
        leaving: false,
        reclaimable: false,
        role: Some(match number % 3 {
            0 => Role::Decode,
            _ => Role::Prefill,
        }),
    }
}

/// Creates a load balancer with `engines` engines that have prefixes cached.
fn new_load_balancer(engines: u32) -> LoadBalancer {
    let properties = EngineProperties {
        slots: 64,
        kv_capacity_tokens: 473_698,
        kv_token_bytes: 327_680,
        link_mbps: 3_200_000.0,
    };
    let service = ServiceConfig {
        max_connections: 780,
        engine: Some(properties),
        scaling: None,
    };
    let services = IndexMap::from([(ServiceName::from(SERVICE), service)]);
    let config = RoutingConfig::new(1, Vec::new(), services, ClientLimits::default());
    let servers: Vec<_> = (0..engines).map(new_server).collect();
    let mut load_balancer = LoadBalancer::default();
    load_balancer.apply(&servers, &config);
    for server in &servers {
        for prompt in 0..CACHED_PROMPTS {
            let prefixes = prompt_prefixes(prompt);
            let prefill =
                load_balancer.start_prefill(NOW, &server.id, Urgency::OnTime, &prefixes, 17_000);
            if let Some((number, _)) = prefill {
                load_balancer.finish_prefill(NOW, number, false);
            }
        }
    }
    load_balancer
}

/// Returns the prefixes of the prompt with the given number.
fn prompt_prefixes(number: u32) -> [PrefixLink; 2] {
    let hash = u64::from(number) + 1;
    [
        PrefixLink {
            hash,
            end_tokens: 13_300,
        },
        PrefixLink {
            hash: hash << 32,
            end_tokens: 17_000,
        },
    ]
}

/// Creates the load note that instance number `sender` sends in a fleet of `engines` engines.
fn load_note(sender: u32, engines: u32) -> LoadNote {
    let engine = |index: u32| server_key(&new_server((sender * 31 + index * 97) % engines).id);
    let prefill = |index| OpenPrefill {
        engine: engine(index),
        number: index,
        work_ms: 40,
        urgency: Urgency::OnTime,
    };
    LoadNote {
        sender: format_smolstr!("front-{sender}"),
        zone: format_smolstr!("zone-{}", sender % ZONES),
        boot: 1,
        sequence: 1,
        generation: 1,
        store_versions: StoreVersions::default(),
        open_prefills: (0..ENGINES_PER_NOTE / 5).map(prefill).collect(),
        sent_prefixes: Vec::new(),
        running: (0..ENGINES_PER_NOTE)
            .map(|index| (engine(index), 1))
            .collect(),
        strikes: Vec::new(),
        limits: Vec::new(),
        parts: PartReports::default(),
        versions: Vec::new(),
        paths: PathReport::default(),
    }
}

fn point(size: u32, y: f64) -> Result<Point, CapacityError> {
    Ok(Point {
        x: f64::from(size),
        y,
    })
}

fn placement_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let load_balancer = new_load_balancer(size);
    let service = ServiceName::from(SERVICE);
    let zone = ZoneName::from("zone-0");
    let mut number = 0;
    let cpu_us = cpu_us_per_call(200, || {
        number += 1;
        let prefixes = prompt_prefixes(number % 16);
        let request = GenerationRequest {
            prefixes: &prefixes,
            prompt_tokens: 17_000,
            objective_left: Duration::from_millis(600),
            client_timeout_left: Duration::from_millis(2_400),
            zone: &zone,
            rank: PermitRank::Normal,
            isolated: false,
            version: None,
        };
        drop(load_balancer.place_generation(NOW, &service, &request, &[]));
    });
    point(size, cpu_us)
}

fn note_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let engines = DESIGN_SIZE.engines as u32;
    let mut load_balancer = new_load_balancer(engines);
    let mut notes = Vec::new();
    for sender in 0..size {
        let note = NoteBundle::new(vec![load_note(sender, engines)]).encode();
        notes.push(note.map_err(CapacityError::measured_code)?);
    }
    let cpu_us = cpu_us_per_call(5, || {
        for bytes in &notes {
            let bundle = NoteBundle::decode(bytes);
            for note in bundle.into_iter().flat_map(|bundle| bundle.notes) {
                load_balancer.on_load_note(NOW, &note);
            }
        }
    });
    point(size, cpu_us)
}

/// Returns the instances that share rate limits, as one of `size` sees them.
fn limit_members(size: u32) -> LimitMembers {
    LimitMembers {
        own: Some(format_smolstr!("front-0")),
        live: (1..size)
            .map(|number| format_smolstr!("front-{number}"))
            .collect(),
        listed: size as usize,
    }
}

/// Creates a load balancer in which one engine in a hundred names a limit.
fn limited_load_balancer(instances: u32) -> LoadBalancer {
    let mut load_balancer = new_load_balancer(DESIGN_SIZE.engines as u32);
    load_balancer.set_limit_members(limit_members(instances));
    for number in (0..DESIGN_SIZE.engines as u32).step_by(100) {
        load_balancer.on_limit_report(NOW, &limit_report(number));
    }
    load_balancer
}

fn limit_report(engine: u32) -> LimitReport {
    LimitReport {
        server: server_key(&new_server(engine).id),
        milli_per_s: Some(4_000),
        age_ms: 0,
    }
}

fn permit_request_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let mut load_balancer = limited_load_balancer(size);
    let (limit, rank) = (limit_report(0), PermitRank::Normal);
    let request = PermitMessage::new(1, PermitBody::Request { limit, rank }).encode();
    let request = request.map_err(CapacityError::measured_code)?;
    let mut sender = 0;
    let cpu_us = cpu_us_per_call(2_000, || {
        sender = (sender + 1) % u64::from(size);
        let Some(PermitMessage { number, body, .. }) = PermitMessage::decode(&request) else {
            return;
        };
        let PermitBody::Request { limit, rank } = body else {
            return;
        };
        let outcome = load_balancer.on_permit_request(NOW, &limit, rank, sender);
        let server = limit.server;
        let body = PermitBody::Response {
            server,
            rank,
            outcome,
        };
        drop(std::hint::black_box(
            PermitMessage::new(number, body).encode(),
        ));
    });
    point(size, cpu_us)
}

fn limit_members_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let mut load_balancer = limited_load_balancer(size);
    let mut all_live = true;
    let cpu_us = cpu_us_per_call(50, || {
        all_live = !all_live;
        let mut members = limit_members(size);
        if !all_live {
            members.live.pop();
        }
        load_balancer.set_limit_members(members);
    });
    point(size, cpu_us)
}

fn memory_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    point(
        size,
        resident_bytes_per_copy(4, |_| new_load_balancer(size))?,
    )
}
