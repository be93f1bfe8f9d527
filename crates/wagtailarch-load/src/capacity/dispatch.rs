//! What the gateway's traffic thread does for each generation and each note of a peer.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::format_smolstr;
use wagtailarch_dispatch::{
    BackendServer, ClientLimits, EngineProperties, GenerationRequest, LoadBalancer, PrefixLink,
    RoutingConfig, ServiceConfig, Urgency,
};
use wagtailarch_types::{Role, ServiceName, ZoneName};
use wagtailarch_wire::load_note::{LoadNote, NoteBundle, OpenPrefill, StoreVersions, server_key};

use crate::capacity::measurement::{NODE_MEMORY_BYTES, NODE_US_PER_S};
use crate::capacity::probe::{call_us, resident_bytes};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

const NOW: Duration = Duration::from_secs(100);
const SERVICE: &str = "fedel-lm";
const SIZES: &[u32] = &[256, 512, 1_024, 2_048, 4_096];
/// Availability zones at the design size.
const ZONES: u32 = 13;
/// Engines that one note names: at 132 requests a second, 40 ms to read a prompt and 200 ms to generate
/// an instance has about 30 requests open.
const ENGINES_OF_A_NOTE: u32 = 30;
/// Prompts whose prefixes an engine is believed to hold.
const HELD_PROMPTS: u32 = 4;

/// Slopes of the gateway's decisions.
pub(crate) const SLOPES: &[Measurement] = &[
    Measurement {
        name: "board-place-cpu",
        quantity: "us of the data path to place one generation",
        size_of: "engines of a service",
        sizes: SIZES,
        design_size: DESIGN_SIZE.engines,
        target: None,
        own_process: false,
        measure: place,
    },
    Measurement {
        name: "board-note-cpu",
        quantity: "us/s of a node to merge notes, one a second of each peer",
        size_of: "entry instances, 3,800 engines",
        sizes: &[32, 64, 128, 256, 512],
        design_size: DESIGN_SIZE.instances,
        target: Some(NODE_US_PER_S),
        own_process: false,
        measure: notes,
    },
    Measurement {
        name: "board-memory",
        quantity: "resident bytes of the board",
        size_of: "engines of a service",
        sizes: SIZES,
        design_size: DESIGN_SIZE.engines,
        target: Some(NODE_MEMORY_BYTES),
        own_process: true,
        measure: memory,
    },
];

fn server(number: u32) -> BackendServer {
    BackendServer {
        id: format_smolstr!("i-{number:08x}"),
        started_unix_ms: 1,
        heartbeat: 1,
        service: SERVICE.into(),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 8_000).into(),
        zone: format_smolstr!("zone-{}", number % ZONES),
        slots: 64,
        leaving: false,
        role: Some(match number % 3 {
            0 => Role::Decode,
            _ => Role::Prefill,
        }),
    }
}

fn board(engines: u32) -> LoadBalancer {
    let traits = EngineProperties {
        slots: 64,
        kv_capacity_tokens: 473_698,
        kv_token_bytes: 327_680,
        link_mbps: 3_200_000.0,
    };
    let service = ServiceConfig {
        max_connections: 780,
        engine: Some(traits),
    };
    let services = IndexMap::from([(ServiceName::from(SERVICE), service)]);
    let config = RoutingConfig::new(1, Vec::new(), services, ClientLimits::default());
    let servers: Vec<_> = (0..engines).map(server).collect();
    let mut board = LoadBalancer::default();
    board.apply(&servers, &config);
    for server in &servers {
        for prompt in 0..HELD_PROMPTS {
            let prefixes = prompt_of(prompt);
            let read = board.start_prefill(NOW, &server.id, Urgency::OnTime, &prefixes, 17_000);
            if let Some((number, _)) = read {
                board.finish_prefill(NOW, number, false);
            }
        }
    }
    board
}

fn prompt_of(number: u32) -> [PrefixLink; 2] {
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

fn note(sender: u32, engines: u32) -> LoadNote {
    let engine = |index: u32| server_key(&server((sender * 31 + index * 97) % engines).id);
    let read = |index| OpenPrefill {
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
        open_prefills: (0..ENGINES_OF_A_NOTE / 5).map(read).collect(),
        sent_prefixes: Vec::new(),
        running: (0..ENGINES_OF_A_NOTE)
            .map(|index| (engine(index), 1))
            .collect(),
        strikes: Vec::new(),
    }
}

fn point(size: u32, y: f64) -> Result<Point, CapacityError> {
    Ok(Point {
        x: f64::from(size),
        y,
    })
}

fn place(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let board = board(size);
    let service = ServiceName::from(SERVICE);
    let zone = ZoneName::from("zone-0");
    let mut number = 0;
    let us = call_us(200, || {
        number += 1;
        let prefixes = prompt_of(number % 16);
        let request = GenerationRequest {
            prefixes: &prefixes,
            prompt_tokens: 17_000,
            objective_left: Duration::from_millis(600),
            client_timeout_left: Duration::from_millis(2_400),
            zone: &zone,
        };
        drop(board.place_generation(NOW, &service, &request, &[]));
    });
    point(size, us)
}

fn notes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let engines = DESIGN_SIZE.engines as u32;
    let mut board = board(engines);
    let mut notes = Vec::new();
    for sender in 0..size {
        let note = NoteBundle::new(vec![note(sender, engines)]).encode();
        notes.push(note.map_err(CapacityError::measured)?);
    }
    let us = call_us(5, || {
        for bytes in &notes {
            let bundle = NoteBundle::decode(bytes);
            for note in bundle.into_iter().flat_map(|bundle| bundle.notes) {
                board.on_load_note(NOW, &note);
            }
        }
    });
    point(size, us)
}

fn memory(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    point(size, resident_bytes(4, |_| board(size))?)
}
