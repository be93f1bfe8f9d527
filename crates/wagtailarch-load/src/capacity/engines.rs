//! Costs of the view that an instance has of the engines: list, reports, membership and routing
//! table.

use std::time::Duration;

use smol_str::format_smolstr;
use wagtailarch_control::{BackendStatus, Membership, MembershipConfig};
use wagtailarch_traffic::{BackendView, LoadReport, Router, SelectionRequest};
use wagtailarch_types::{Assignment, BackendKind, BackendState, Phase, Role};
use wagtailarch_wire::engine::EngineReport;
use wagtailarch_wire::peer::EngineLoad;
use wagtailarch_wire::platform::{InstanceKind, InstanceList, ListedInstance, ListedState};

use crate::capacity::measurement::{
    INSTANCE_BYTES_PER_S, INSTANCE_CPU_US_PER_S, INSTANCE_MEMORY_BYTES,
};
use crate::capacity::probe::{cpu_us_per_call, resident_bytes_per_copy};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

const NOW: Duration = Duration::from_secs(100);
const ENGINE_COUNTS: &[u32] = &[256, 512, 1_024, 2_048, 4_096];

/// Measurements of the view of the engines.
pub(crate) const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "list-bytes",
        quantity: "bytes of one answer with the platform's list",
        size_of: "listed instances and engines",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines + DESIGN_SIZE.instances,
        target: Some(INSTANCE_BYTES_PER_S),
        own_process: false,
        measure: list_bytes,
    },
    Measurement {
        name: "list-cpu",
        quantity: "us to decode the list and merge it into membership",
        size_of: "listed instances and engines",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines + DESIGN_SIZE.instances,
        target: Some(INSTANCE_CPU_US_PER_S),
        own_process: false,
        measure: list_cpu,
    },
    Measurement {
        name: "report-bytes",
        quantity: "bytes/s received by a node in report bodies, one report/s each",
        size_of: "engines polled by the node",
        sizes: &[1, 4, 16, 64],
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.instances,
        target: Some(INSTANCE_BYTES_PER_S),
        own_process: false,
        measure: report_bytes,
    },
    Measurement {
        name: "report-cpu",
        quantity: "us/s of a node to decode and merge reports, one report/s each",
        size_of: "engines polled by the node",
        sizes: &[16, 64, 256, 1_024],
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.instances,
        target: Some(INSTANCE_CPU_US_PER_S),
        own_process: false,
        measure: report_cpu,
    },
    Measurement {
        name: "membership-cpu",
        quantity: "us/s of a node: one view of all engines a second",
        size_of: "engines",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines,
        target: Some(INSTANCE_CPU_US_PER_S),
        own_process: false,
        measure: membership_cpu,
    },
    Measurement {
        name: "membership-memory",
        quantity: "resident bytes of membership",
        size_of: "engines",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines,
        target: Some(INSTANCE_MEMORY_BYTES),
        own_process: true,
        measure: membership_memory,
    },
    Measurement {
        name: "router-update-cpu",
        quantity: "us/s of a node: one update of the routing table a second",
        size_of: "engines",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines,
        target: Some(INSTANCE_CPU_US_PER_S),
        own_process: false,
        measure: router_update_cpu,
    },
    Measurement {
        name: "router-pick-cpu",
        quantity: "us of the data path for one pick",
        size_of: "engines",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines,
        target: None,
        own_process: false,
        measure: router_select_cpu,
    },
    Measurement {
        name: "router-memory",
        quantity: "resident bytes of the routing table",
        size_of: "engines",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines,
        target: Some(INSTANCE_MEMORY_BYTES),
        own_process: true,
        measure: router_memory,
    },
];

fn listed_engine(number: u32) -> ListedInstance {
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

/// Returns a list of `size` engines as the platform sends it.
fn instance_list(size: u32) -> InstanceList {
    InstanceList {
        revision: 1,
        items: (0..size).map(listed_engine).collect(),
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

fn engine_report(number: u32) -> EngineReport {
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

fn engine_load() -> EngineLoad {
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

/// Creates a membership of `size` engines with their loads.
fn new_membership(size: u32) -> Membership {
    let mut membership = Membership::new(MembershipConfig::default());
    membership.on_list(NOW, &instance_list(size));
    for number in 0..size {
        membership.on_load(NOW, &listed_engine(number).id, &assignment(), engine_load());
    }
    membership
}

/// Converts the status of an engine to the form that the router needs.
fn backend_view(status: BackendStatus) -> BackendView {
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

/// Returns the views of `size` engines for the routing table.
fn backend_views(size: u32) -> Vec<BackendView> {
    new_membership(size)
        .statuses(NOW)
        .into_iter()
        .map(backend_view)
        .collect()
}

fn point(size: u32, y: f64) -> Result<Point, CapacityError> {
    Ok(Point {
        x: f64::from(size),
        y,
    })
}

fn list_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let body = serde_json::to_vec(&instance_list(size)).map_err(CapacityError::measured_code)?;
    point(size, body.len() as f64)
}

/// Measures the CPU time to decode a list of `size` engines and apply it to the membership.
fn list_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let body = serde_json::to_vec(&instance_list(size)).map_err(CapacityError::measured_code)?;
    let mut membership = new_membership(size);
    let cpu_us = cpu_us_per_call(10, || {
        if let Ok(list) = serde_json::from_slice::<InstanceList>(&body) {
            membership.on_list(NOW, &list);
        }
    });
    point(size, cpu_us)
}

fn report_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let mut bytes = 0;
    for number in 0..size {
        let body =
            serde_json::to_vec(&engine_report(number)).map_err(CapacityError::measured_code)?;
        bytes += body.len();
    }
    point(size, bytes as f64)
}

/// Measures the CPU time to decode one report of each engine and apply it to the membership.
fn report_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let mut bodies = Vec::new();
    for number in 0..size {
        bodies.push(
            serde_json::to_vec(&engine_report(number)).map_err(CapacityError::measured_code)?,
        );
    }
    let mut membership = new_membership(size);
    let cpu_us = cpu_us_per_call(10, || {
        for body in &bodies {
            if let Ok(report) = serde_json::from_slice::<EngineReport>(body) {
                membership.on_report(NOW, NOW, &report);
            }
        }
    });
    point(size, cpu_us)
}

fn membership_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let mut membership = new_membership(size);
    let cpu_us = cpu_us_per_call(10, || drop(membership.statuses(NOW)));
    point(size, cpu_us)
}

fn membership_memory(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    point(size, resident_bytes_per_copy(8, |_| new_membership(size))?)
}

fn router_update_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let router = Router::new("buda-a".into(), 1);
    let views = backend_views(size);
    let cpu_us = cpu_us_per_call(10, || router.update(NOW, views.clone()));
    point(size, cpu_us)
}

fn router_select_cpu(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let router = Router::new("buda-a".into(), seed);
    router.update(NOW, backend_views(size));
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
    let cpu_us = cpu_us_per_call(2_000, || drop(router.select(NOW, &request)));
    point(size, cpu_us)
}

fn router_memory(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let views = backend_views(size);
    let bytes = resident_bytes_per_copy(8, |_| {
        let router = Router::new("buda-a".into(), 1);
        router.update(NOW, views.clone());
        router
    })?;
    point(size, bytes)
}
