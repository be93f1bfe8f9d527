//! What an instance knows of engines: list, reports, membership and routing table.

use std::time::Duration;

use smol_str::format_smolstr;
use wagtailarch_control::{BackendStatus, Membership, MembershipConfig};
use wagtailarch_traffic::{BackendView, LoadReport, Router, SelectionRequest};
use wagtailarch_types::{Assignment, BackendKind, BackendState, Phase, Role};
use wagtailarch_wire::engine::EngineReport;
use wagtailarch_wire::peer::EngineLoad;
use wagtailarch_wire::platform::{InstanceKind, InstanceList, ListedInstance, ListedState};

use crate::capacity::measurement::{NODE_BYTES_PER_S, NODE_MEMORY_BYTES, NODE_US_PER_S};
use crate::capacity::probe::{call_us, resident_bytes};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

const NOW: Duration = Duration::from_secs(100);
const SIZES: &[u32] = &[256, 512, 1_024, 2_048, 4_096];

/// Slopes of what an instance knows of engines.
pub(crate) const SLOPES: &[Measurement] = &[
    Measurement {
        name: "list-bytes",
        quantity: "bytes of one answer with the platform's list",
        size_of: "listed instances and engines",
        sizes: SIZES,
        design_size: DESIGN_SIZE.engines + DESIGN_SIZE.instances,
        target: Some(NODE_BYTES_PER_S),
        own_process: false,
        measure: list_bytes,
    },
    Measurement {
        name: "list-cpu",
        quantity: "us to decode the list and merge it into membership",
        size_of: "listed instances and engines",
        sizes: SIZES,
        design_size: DESIGN_SIZE.engines + DESIGN_SIZE.instances,
        target: Some(NODE_US_PER_S),
        own_process: false,
        measure: list_cpu,
    },
    Measurement {
        name: "report-bytes",
        quantity: "bytes/s received by a node in report bodies, one report/s each",
        size_of: "engines polled by the node",
        sizes: &[1, 4, 16, 64],
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.instances,
        target: Some(NODE_BYTES_PER_S),
        own_process: false,
        measure: report_bytes,
    },
    Measurement {
        name: "report-cpu",
        quantity: "us/s of a node to decode and merge reports, one report/s each",
        size_of: "engines polled by the node",
        sizes: &[16, 64, 256, 1_024],
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.instances,
        target: Some(NODE_US_PER_S),
        own_process: false,
        measure: report_cpu,
    },
    Measurement {
        name: "membership-cpu",
        quantity: "us/s of a node: one view of all engines a second",
        size_of: "engines",
        sizes: SIZES,
        design_size: DESIGN_SIZE.engines,
        target: Some(NODE_US_PER_S),
        own_process: false,
        measure: membership_cpu,
    },
    Measurement {
        name: "membership-memory",
        quantity: "resident bytes of membership",
        size_of: "engines",
        sizes: SIZES,
        design_size: DESIGN_SIZE.engines,
        target: Some(NODE_MEMORY_BYTES),
        own_process: true,
        measure: membership_memory,
    },
    Measurement {
        name: "router-update-cpu",
        quantity: "us/s of a node: one update of the routing table a second",
        size_of: "engines",
        sizes: SIZES,
        design_size: DESIGN_SIZE.engines,
        target: Some(NODE_US_PER_S),
        own_process: false,
        measure: router_update,
    },
    Measurement {
        name: "router-pick-cpu",
        quantity: "us of the data path for one pick",
        size_of: "engines",
        sizes: SIZES,
        design_size: DESIGN_SIZE.engines,
        target: None,
        own_process: false,
        measure: router_pick,
    },
    Measurement {
        name: "router-memory",
        quantity: "resident bytes of the routing table",
        size_of: "engines",
        sizes: SIZES,
        design_size: DESIGN_SIZE.engines,
        target: Some(NODE_MEMORY_BYTES),
        own_process: true,
        measure: router_memory,
    },
];

fn listed(number: u32) -> ListedInstance {
    ListedInstance {
        id: format_smolstr!("engine-{number:04}"),
        kind: InstanceKind::Engine,
        group: Some("fedel-lm".into()),
        zone: "buda-a".into(),
        address: format_smolstr!("10.1.{}.{}:8000", number / 250, number % 250),
        peer_address: None,
        state: ListedState::Live,
    }
}

fn list(size: u32) -> InstanceList {
    InstanceList {
        revision: 1,
        items: (0..size).map(listed).collect(),
    }
}

fn assignment() -> Assignment {
    Assignment {
        role: Role::Mixed,
        model: "fedel".into(),
        version: "2026-11".into(),
        adapters: vec!["jam".into()],
    }
}

fn report(number: u32) -> EngineReport {
    EngineReport {
        engine: format_smolstr!("engine-{number:04}"),
        boot_id: u64::MAX - u64::from(number),
        seq: 100_000,
        role: Role::Mixed,
        model: "fedel".into(),
        version: "2026-11".into(),
        adapters: vec!["jam".into()],
        state: BackendState::Serving,
        running: number % 32,
        queued_tokens: 12_345,
        decode_slots: 32,
        kv_used_ratio: 0.62,
        prefill_tokens_per_s: 9_876.5,
        decode_tokens_per_s: 1_234.5,
        fencing_number: 17,
        last_order_nonce: Some(u64::MAX - 5),
        generation: 4_900,
        order_conflicts: 0,
    }
}

fn load() -> EngineLoad {
    EngineLoad {
        role: Role::Mixed,
        state: BackendState::Serving,
        running: 12.0,
        queued_tokens: 5_000.0,
        prefill_tokens_per_s: 9_000.0,
        decode_tokens_per_s: 1_200.0,
        kv_used_ratio: 0.5,
    }
}

fn membership(size: u32) -> Membership {
    let mut membership = Membership::new(MembershipConfig::default());
    membership.on_list(NOW, &list(size));
    for number in 0..size {
        membership.on_load(NOW, &listed(number).id, &assignment(), load());
    }
    membership
}

fn view(status: BackendStatus) -> BackendView {
    BackendView {
        id: status.id,
        group: status.group,
        kind: BackendKind::Engine,
        zone: status.zone,
        address: status.address,
        assignment: status.assignment,
        state: BackendState::Serving,
        report: status.load.map(|load| LoadReport {
            seq: 1,
            running: load.running as u32,
            queued_tokens: load.queued_tokens as u64,
            decode_slots: 32,
            prefill_tokens_per_s: load.prefill_tokens_per_s,
            decode_tokens_per_s: load.decode_tokens_per_s,
            kv_used_ratio: load.kv_used_ratio,
        }),
        report_age: Duration::from_secs(1),
        accepting: true,
        serving_since: Duration::ZERO,
    }
}

fn views(size: u32) -> Vec<BackendView> {
    membership(size)
        .statuses(NOW)
        .into_iter()
        .map(view)
        .collect()
}

fn point(size: u32, y: f64) -> Result<Point, CapacityError> {
    Ok(Point {
        x: f64::from(size),
        y,
    })
}

fn list_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let body = serde_json::to_vec(&list(size)).map_err(CapacityError::measured)?;
    point(size, body.len() as f64)
}

fn list_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let body = serde_json::to_vec(&list(size)).map_err(CapacityError::measured)?;
    let mut membership = membership(size);
    let us = call_us(10, || {
        if let Ok(list) = serde_json::from_slice::<InstanceList>(&body) {
            membership.on_list(NOW, &list);
        }
    });
    point(size, us)
}

fn report_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let mut bytes = 0;
    for number in 0..size {
        let body = serde_json::to_vec(&report(number)).map_err(CapacityError::measured)?;
        bytes += body.len();
    }
    point(size, bytes as f64)
}

fn report_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let mut bodies = Vec::new();
    for number in 0..size {
        bodies.push(serde_json::to_vec(&report(number)).map_err(CapacityError::measured)?);
    }
    let mut membership = membership(size);
    let us = call_us(10, || {
        for body in &bodies {
            if let Ok(report) = serde_json::from_slice::<EngineReport>(body) {
                membership.on_report(NOW, NOW, &report);
            }
        }
    });
    point(size, us)
}

fn membership_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let mut membership = membership(size);
    let us = call_us(10, || drop(membership.statuses(NOW)));
    point(size, us)
}

fn membership_memory(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    point(size, resident_bytes(8, |_| membership(size))?)
}

fn router_update(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let router = Router::new("buda-a".into(), 1);
    let views = views(size);
    let us = call_us(10, || router.update(NOW, views.clone()));
    point(size, us)
}

fn router_pick(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let router = Router::new("buda-a".into(), seed);
    router.update(NOW, views(size));
    let request = SelectionRequest {
        group: "fedel-lm".into(),
        kind: BackendKind::Engine,
        phase: Phase::Full,
        model: Some("fedel".into()),
        version: Some("2026-11".into()),
        adapter: Some("jam".into()),
        prefix_hashes: vec![1, 2, 3],
        prompt_tokens: 800,
        preferred_zone: None,
        excluded: Vec::new(),
        suspect: false,
        backends_with_suspects: Vec::new(),
    };
    let us = call_us(2_000, || drop(router.select(NOW, &request)));
    point(size, us)
}

fn router_memory(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let views = views(size);
    let bytes = resident_bytes(8, |_| {
        let router = Router::new("buda-a".into(), 1);
        router.update(NOW, views.clone());
        router
    })?;
    point(size, bytes)
}
