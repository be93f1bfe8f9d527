//! Costs of the lease holder of a zone: lease, status, planner and orders.

use std::time::Duration;

use smol_str::format_smolstr;
use wagtailarch_control::{
    Authority, Lease, LeaseAction, LeaseConfig, OrderAction, OrderLedger, OrderProgress,
    OrderReport, OrderRequest, Planner, PlannerConfig, PlannerGroup, ReadOutcome, SendOutcome,
    WriteOutcome, ZoneEngine, ZoneStatus, ZoneView,
};
use wagtailarch_fleet::{Policy, RoleTable};
use wagtailarch_types::{Assignment, InstanceId, Role};
use wagtailarch_wire::engine::OrderKind;
use wagtailarch_wire::records::{LeaseRecord, encode_record};

use crate::capacity::measurement::{
    INSTANCE_CPU_US_PER_S, INSTANCE_MEMORY_BYTES, PLATFORM_READS_PER_S, PLATFORM_WRITES_PER_S,
};
use crate::capacity::probe::{cpu_us_per_call, resident_bytes_per_copy, thread_cpu_time};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

const ENGINE_COUNTS: &[u32] = &[32, 64, 128, 256, 512];
const INSTANCE_COUNTS: &[u32] = &[4, 8, 16, 32, 64];
/// Virtual time in seconds during which lease calls are counted.
const LEASE_WINDOW_S: u32 = 60;

/// Measurements of the lease holder.
pub(crate) const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "lease-reads",
        quantity: "platform reads/s for the leases of all zones",
        size_of: "instances, in 13 zones",
        sizes: INSTANCE_COUNTS,
        design_size: DESIGN_SIZE.instances,
        target: Some(PLATFORM_READS_PER_S),
        own_process: false,
        measure: |size, _| lease_calls(size, false),
    },
    Measurement {
        name: "lease-writes",
        quantity: "platform writes/s for the leases of all zones",
        size_of: "instances, in 13 zones",
        sizes: INSTANCE_COUNTS,
        design_size: DESIGN_SIZE.instances,
        target: Some(PLATFORM_WRITES_PER_S),
        own_process: false,
        measure: |size, _| lease_calls(size, true),
    },
    Measurement {
        name: "status-bytes",
        quantity: "bytes of a status object with every instance behind",
        size_of: "instances of the zone",
        sizes: INSTANCE_COUNTS,
        design_size: DESIGN_SIZE.instances / DESIGN_SIZE.zones,
        target: None,
        own_process: false,
        measure: status_bytes,
    },
    Measurement {
        name: "planner-cpu",
        quantity: "us/s of the lease holder: one plan a second",
        size_of: "engines of the zone",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: Some(INSTANCE_CPU_US_PER_S),
        own_process: false,
        measure: planner_cpu,
    },
    Measurement {
        name: "order-calls",
        quantity: "platform calls for orders",
        size_of: "orders, one to each engine",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: None,
        own_process: false,
        measure: |size, seed| Ok(order_costs(size, seed)?.calls),
    },
    Measurement {
        name: "order-writes",
        quantity: "platform writes for orders",
        size_of: "orders, one to each engine",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: None,
        own_process: false,
        measure: |size, seed| Ok(order_costs(size, seed)?.writes),
    },
    Measurement {
        name: "order-cpu",
        quantity: "us of the ledger for orders from request to effect",
        size_of: "orders, one to each engine",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: None,
        own_process: false,
        measure: |size, seed| Ok(order_costs(size, seed)?.cpu_us),
    },
    Measurement {
        name: "ledger-memory",
        quantity: "resident bytes of the ledger",
        size_of: "engines of the zone with an order",
        sizes: ENGINE_COUNTS,
        design_size: DESIGN_SIZE.engines / DESIGN_SIZE.zones,
        target: Some(INSTANCE_MEMORY_BYTES),
        own_process: true,
        measure: ledger_memory,
    },
];

fn point(size: u32, y: f64) -> Point {
    Point {
        x: f64::from(size),
        y,
    }
}

/// Counts the platform calls for the lease of a zone with `size` instances, either the writes or
/// the reads.
///
/// The result is scaled to 13 such zones, and so is the size of the returned point.
fn lease_calls(size: u32, writes: bool) -> Result<Point, CapacityError> {
    let mut leases: Vec<Lease> = (0..size).map(|n| Lease::new(lease_config(n))).collect();
    let mut stored_lease: Option<(LeaseRecord, u64)> = None;
    let mut calls = 0;
    // The first 20 s, in which the lease is acquired, are not counted.
    let ticks = (LEASE_WINDOW_S + 20) * 10;
    for tick in 0..ticks {
        let now = Duration::from_millis(u64::from(tick) * 100);
        for lease in &mut leases {
            let action = lease.tick(now);
            let in_window = u32::from(tick >= 200);
            match action {
                None => {}
                Some(LeaseAction::Read) => {
                    calls += in_window * u32::from(!writes);
                    lease.on_read(now, read_outcome(stored_lease.as_ref()));
                }
                Some(LeaseAction::Write { record, expect }) => {
                    calls += in_window * u32::from(writes);
                    let version = stored_lease.as_ref().map(|stored| stored.1);
                    let outcome = if version == expect {
                        let next = version.unwrap_or(0) + 1;
                        stored_lease = Some((record, next));
                        WriteOutcome::Written(next)
                    } else {
                        WriteOutcome::Conflict
                    };
                    lease.on_write(now, outcome);
                }
            }
        }
    }
    let zones = DESIGN_SIZE.zones;
    Ok(Point {
        x: f64::from(size) * zones,
        y: f64::from(calls) / f64::from(LEASE_WINDOW_S) * zones,
    })
}

fn lease_config(number: u32) -> LeaseConfig {
    LeaseConfig::new(
        format_smolstr!("entry-{number:03}"),
        u64::MAX - u64::from(number),
    )
}

/// Returns the outcome of reading the stored lease.
fn read_outcome(stored_lease: Option<&(LeaseRecord, u64)>) -> ReadOutcome<LeaseRecord> {
    match stored_lease {
        None => ReadOutcome::Absent,
        Some((record, version)) => ReadOutcome::Found(record.clone(), *version),
    }
}

/// Measures the size of a status record in which all `size` instances are behind.
fn status_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let now = Duration::from_secs(100);
    let names: Vec<InstanceId> = (0..size).map(|n| lease_config(n).instance).collect();
    let mut status = ZoneStatus::new("buda-a".into());
    status.on_list(&names);
    for name in &names {
        status.on_ack(now, name, 1, 4_899);
    }
    let record = status.record(now, 4_900, 1_800_000_000_000, 17);
    Ok(point(size, encode_record(&record).len() as f64))
}

fn planner_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let engine = |number: u32| ZoneEngine {
        id: format_smolstr!("engine-{number:04}"),
        group: "fedel-lm".into(),
        role: Role::ALL[number as usize % 3],
        serving: true,
        report_age: Some(Duration::from_secs(2)),
        requests: f64::from(number % 32),
        queued_tokens: f64::from(number % 7) * 900.0,
        prefill_tokens_per_s: 8_000.0,
        decode_tokens_per_s: 1_000.0,
    };
    let view = ZoneView {
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
        engines: (0..size).map(engine).collect(),
    };
    let mut planner = Planner::new(PlannerConfig::default());
    let mut now = Duration::ZERO;
    let cpu_us = cpu_us_per_call(40, || {
        now += Duration::from_secs(1);
        drop(planner.plan(now, &view));
    });
    Ok(point(size, cpu_us))
}

/// Costs of one order to each engine of a zone.
struct OrderCosts {
    /// Platform calls, including the writes.
    calls: Point,
    /// Platform writes.
    writes: Point,
    /// CPU time in microseconds.
    cpu_us: Point,
}

fn order_costs(size: u32, seed: u64) -> Result<OrderCosts, CapacityError> {
    let start = thread_cpu_time();
    let (_, calls, writes) = process_orders(size, seed)?;
    let cpu_time = thread_cpu_time().saturating_sub(start);
    Ok(OrderCosts {
        calls: point(size, f64::from(calls)),
        writes: point(size, f64::from(writes)),
        cpu_us: point(size, cpu_time.as_secs_f64() * 1e6),
    })
}

/// Requests one order to each engine and runs the ledger until all are effective.
///
/// Returns the ledger, the number of platform calls and how many of them were writes.
fn process_orders(size: u32, seed: u64) -> Result<(OrderLedger, u32, u32), CapacityError> {
    let mut ledger = OrderLedger::new("entry-000".into(), 1, seed);
    let engines: Vec<InstanceId> = (0..size)
        .map(|n| format_smolstr!("engine-{n:04}"))
        .collect();
    for engine in &engines {
        ledger.request(engine, assign_request());
    }
    let authority = Some(Authority {
        fencing_number: 17,
        remaining: Duration::from_secs(4),
    });
    let (mut calls, mut writes, mut version) = (0, 0, 0);
    for step in 0..100 {
        let now = Duration::from_secs(1 + step);
        let actions = ledger.poll(now, authority);
        if actions.is_empty() && all_effective(&ledger, &engines) {
            return Ok((ledger, calls, writes));
        }
        for action in actions {
            match action {
                OrderAction::ReadRecord { engine } => {
                    calls += 1;
                    ledger.on_read(now, &engine, ReadOutcome::Absent);
                }
                OrderAction::WriteRecord { engine, .. } => {
                    calls += 1;
                    writes += 1;
                    version += 1;
                    ledger.on_write(now, &engine, WriteOutcome::Written(version));
                }
                OrderAction::Send { engine, order, .. } => {
                    ledger.on_sent(now, &engine, SendOutcome::Accepted);
                    let report = OrderReport {
                        boot_id: 1,
                        last_order_nonce: Some(order.nonce),
                        changing: false,
                        requested_at: now + Duration::from_millis(500),
                    };
                    ledger.on_report(&engine, report);
                }
            }
        }
    }
    Err(CapacityError::MeasuredCode(
        "orders did not become effective".into(),
    ))
}

/// Returns whether the orders to all engines are effective.
fn all_effective(ledger: &OrderLedger, engines: &[InstanceId]) -> bool {
    let effective = |engine| ledger.progress(engine) == OrderProgress::Effective;
    engines.iter().all(effective)
}

/// Returns a request for an order that assigns an engine to decoding.
fn assign_request() -> OrderRequest {
    OrderRequest {
        generation: 4_900,
        kind: OrderKind::Assign(Assignment {
            role: Role::Decode,
            model: "fedel".into(),
            version: "2026-11".into(),
            adapters: vec!["jam".into()],
        }),
        checks_fencing: true,
    }
}

fn ledger_memory(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let bytes = resident_bytes_per_copy(16, |_| process_orders(size, seed))?;
    Ok(point(size, bytes))
}
