//! Claims of calls that may run at most once, in virtual time.

use std::collections::HashMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use wagtailarch_platform::{FakeFaults, FakePlatform, Platform, PlatformError, Precondition};
use wagtailarch_traffic::{
    CLAIM_PARTITIONS, ClaimAction, ClaimBatch, ClaimLog, ClaimOutcome, ClaimRecord, ClaimResult,
    CreateResult, MAX_OUTCOME_BYTES, ReadResult, claim_key,
};
use wagtailarch_types::Nonce;
use wagtailarch_wire::platform::MAX_VALUE_BYTES;

use crate::capacity::probe::{call_us, resident_bytes};
use crate::capacity::slope::{NODE_MEMORY_BYTES, PLATFORM_WRITES_PER_S};
use crate::capacity::{CapacityError, DESIGN, Point, Slope};

/// Time that the simulated platform takes for a call.
const LATENCY_MS: u64 = 5;
/// Time between a grant and the outcome of the call.
const CALL_MS: u64 = 50;
/// Virtual time of a measurement.
const RUN_MS: u64 = 60_000;
/// Claims/s of one partition when 1% of all requests are non-idempotent.
const ONE_PERCENT: f64 = DESIGN.requests_per_s / 100.0 / CLAIM_PARTITIONS as f64;
/// Retention of claims in seconds.
const RETENTION_S: f64 = 86_400.0;

/// Slopes of claims.
pub(crate) const SLOPES: &[Slope] = &[
    Slope {
        name: "claim-bytes",
        quantity: "bytes of a claim log entry with claims only",
        size_of: "claims in the entry",
        sizes: &[1, 4, 16, 64, 256, 1_024],
        design: 1_024.0,
        target: Some(MAX_VALUE_BYTES as f64),
        own_process: false,
        measure: claim_bytes,
    },
    Slope {
        name: "claim-outcome-bytes",
        quantity: "bytes of a claim log entry with 32 outcomes",
        size_of: "bytes of each body (ASCII text)",
        sizes: &[64, 256, 1_024, 4_096, 16_384],
        design: MAX_OUTCOME_BYTES as f64,
        target: Some(MAX_VALUE_BYTES as f64),
        own_process: false,
        measure: outcome_bytes,
    },
    Slope {
        name: "claim-writes",
        quantity: "writes/s to one partition with one writer, outcomes included",
        size_of: "claims/s of the partition; design: 1% of 49,000/s over 64",
        sizes: &[1, 2, 4, 8, 16],
        design: ONE_PERCENT,
        target: Some(PLATFORM_WRITES_PER_S / CLAIM_PARTITIONS as f64),
        own_process: false,
        measure: |size, seed| Ok(simulate(1, f64::from(size), size, seed)?.writes),
    },
    Slope {
        name: "claim-write-ceiling",
        quantity: "writes/s to one partition with one writer, outcomes included",
        size_of: "claims/s of the partition, beyond the first hundred",
        sizes: &[128, 256, 512, 1_024],
        design: 1_024.0,
        target: Some(PLATFORM_WRITES_PER_S / CLAIM_PARTITIONS as f64),
        own_process: false,
        measure: |size, seed| Ok(simulate(1, f64::from(size), size, seed)?.writes),
    },
    Slope {
        name: "claim-contention",
        quantity: "writes tried for each granted claim at 8 claims/s of a partition",
        size_of: "instances that write to the partition",
        sizes: &[1, 2, 4, 8, 16, 32, 64, 128],
        design: DESIGN.instances,
        target: None,
        own_process: false,
        measure: |size, seed| Ok(simulate(size, 8.0, size, seed)?.per_grant),
    },
    Slope {
        name: "claim-wait",
        quantity: "ms until a claim is granted at 8 claims/s of a partition (mean)",
        size_of: "instances that write to the partition",
        sizes: &[1, 2, 4, 8, 16, 32, 64, 128],
        design: DESIGN.instances,
        target: None,
        own_process: false,
        measure: |size, seed| Ok(simulate(size, 8.0, size, seed)?.wait_ms),
    },
    Slope {
        name: "claim-refusals",
        quantity: "share of claims refused after 2 s at 8 claims/s of a partition",
        size_of: "instances that write to the partition",
        sizes: &[16, 32, 64, 128],
        design: DESIGN.instances,
        target: Some(0.0),
        own_process: false,
        measure: |size, seed| Ok(simulate(size, 8.0, size, seed)?.refused_share),
    },
    Slope {
        name: "claim-memory",
        quantity: "resident bytes of the claims of 24 h at an instance that reads all partitions",
        size_of: "claims/s of the whole system; design: 1% of 49,000/s",
        sizes: &[1, 2, 4, 8, 16],
        design: DESIGN.requests_per_s / 100.0,
        target: Some(NODE_MEMORY_BYTES),
        own_process: true,
        measure: memory,
    },
    Slope {
        name: "claim-read-cpu",
        quantity: "us of an instance to decode and apply entries of 64 claims",
        size_of: "claims",
        sizes: &[64, 256, 1_024, 4_096],
        design: DESIGN.requests_per_s / 100.0,
        target: None,
        own_process: false,
        measure: read_cpu,
    },
];

fn point(size: u32, y: f64) -> Result<Point, CapacityError> {
    Ok(Point {
        x: f64::from(size),
        y,
    })
}

fn key(number: u64) -> u128 {
    claim_key("team-00001", "/lids/reservations", &number.to_le_bytes())
}

fn claims(first: u64, count: u32, rng: &mut ChaCha8Rng) -> ClaimBatch {
    let record = |number: u64, nonce| ClaimRecord::Claim {
        key: key(number),
        nonce,
        instance: "entry-000".into(),
    };
    let numbers = first..first + u64::from(count);
    ClaimBatch {
        nonce: rng.random(),
        records: numbers
            .map(|number| record(number, rng.random::<Nonce>()))
            .collect(),
    }
}

fn encode(batch: &ClaimBatch) -> Result<Vec<u8>, CapacityError> {
    // The form that the entry instance writes.
    serde_json::to_vec(batch).map_err(CapacityError::measured)
}

fn claim_bytes(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    point(size, encode(&claims(0, size, &mut rng))?.len() as f64)
}

fn outcome_bytes(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut log = ClaimLog::new("entry-000".into(), seed, Duration::ZERO, 0, 0);
    let mut first = Vec::new();
    // The first outcome is written alone; the following 32 wait for its result.
    for number in 0..33 {
        let body = (0..size).map(|_| rng.random_range(b' '..=b'~')).collect();
        let outcome = ClaimOutcome { status: 200, body };
        first.extend(log.record_outcome(Duration::from_millis(1), key(number), outcome));
    }
    let created_at = Duration::from_millis(10);
    for action in first {
        if let ClaimAction::Create { seq, .. } = action {
            log.on_created(created_at, seq, CreateResult::Created);
        }
    }
    for action in log.tick(created_at + Duration::from_secs(1)) {
        if let ClaimAction::Create { batch, .. } = action {
            return point(size, encode(&batch)?.len() as f64);
        }
    }
    Err(CapacityError::Measured("no entry was written".into()))
}

/// A platform call under way.
#[derive(Debug)]
enum Call {
    Read(u64),
    Create(u64, ClaimBatch),
}

/// One writer of the simulated partition.
struct Writer {
    log: ClaimLog,
    /// Calls with the time in milliseconds of their answers.
    calls: Vec<(u64, Call)>,
    /// Claims without result by ticket: key and time of submission.
    waiting: HashMap<u64, (u128, u64)>,
    /// Outcomes that arrive later.
    running: Vec<(u64, u128)>,
}

/// What a simulation measured.
struct ClaimCosts {
    writes: Point,
    per_grant: Point,
    wait_ms: Point,
    refused_share: Point,
}

/// Counters of a simulation.
#[derive(Default)]
struct Counts {
    creates: u64,
    granted: u64,
    refused: u64,
    waited_ms: u64,
}

/// Runs the claims of one partition; calls arrive at random writers.
fn simulate(
    writers: u32,
    claims_per_s: f64,
    size: u32,
    seed: u64,
) -> Result<ClaimCosts, CapacityError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build()?;
    runtime.block_on(async {
        let platform = FakePlatform::new(seed, FakeFaults::default());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut all: Vec<Writer> = (0..writers).map(|n| writer(n, seed)).collect();
        let mut counts = Counts::default();
        let mut next_key = 0;
        for now_ms in 0..RUN_MS {
            if rng.random_bool((claims_per_s / 1_000.0).min(1.0)) {
                let chosen = rng.random_range(0..all.len());
                next_key += 1;
                all[chosen].submit(now_ms, next_key, &mut counts);
            }
            for writer in &mut all {
                writer.step(now_ms, &platform, &mut counts).await?;
            }
        }
        let run_s = RUN_MS as f64 / 1e3;
        let granted = counts.granted.max(1) as f64;
        Ok(ClaimCosts {
            writes: point(size, counts.creates as f64 / run_s)?,
            per_grant: point(size, counts.creates as f64 / granted)?,
            wait_ms: point(size, counts.waited_ms as f64 / granted)?,
            refused_share: point(
                size,
                counts.refused as f64 / (granted + counts.refused as f64),
            )?,
        })
    })
}

fn writer(number: u32, seed: u64) -> Writer {
    let instance = format_smolstr!("entry-{number:03}");
    let log_seed = seed * 10_000 + u64::from(number);
    Writer {
        log: ClaimLog::new(instance, log_seed, Duration::ZERO, 0, 0),
        calls: Vec::new(),
        waiting: HashMap::new(),
        running: Vec::new(),
    }
}

impl Writer {
    fn submit(&mut self, now_ms: u64, number: u64, counts: &mut Counts) {
        self.waiting.insert(number, (key(number), now_ms));
        let now = Duration::from_millis(now_ms);
        let actions = self.log.submit(now, number, key(number));
        self.act(now_ms, actions, counts);
    }

    /// Lets a millisecond pass.
    async fn step(
        &mut self,
        now_ms: u64,
        platform: &FakePlatform,
        counts: &mut Counts,
    ) -> Result<(), CapacityError> {
        let now = Duration::from_millis(now_ms);
        for (at_ms, claimed) in std::mem::take(&mut self.running) {
            if at_ms > now_ms {
                self.running.push((at_ms, claimed));
                continue;
            }
            let outcome = ClaimOutcome {
                status: 201,
                body: vec![b'x'; 128],
            };
            let actions = self.log.record_outcome(now, claimed, outcome);
            self.act(now_ms, actions, counts);
        }
        for (at_ms, call) in std::mem::take(&mut self.calls) {
            if at_ms > now_ms {
                self.calls.push((at_ms, call));
                continue;
            }
            let actions = self.answer(now, call, platform).await?;
            self.act(now_ms, actions, counts);
        }
        let actions = self.log.tick(now);
        self.act(now_ms, actions, counts);
        Ok(())
    }

    async fn answer(
        &mut self,
        now: Duration,
        call: Call,
        platform: &FakePlatform,
    ) -> Result<Vec<ClaimAction>, CapacityError> {
        let entry = |seq: u64| format!("claims/00/{seq:020}");
        Ok(match call {
            Call::Read(seq) => {
                let object = platform.get(&entry(seq)).await;
                let result = match object.map_err(CapacityError::measured)? {
                    None => ReadResult::Absent,
                    Some(object) => ReadResult::Entry(
                        serde_json::from_slice(&object.value).map_err(CapacityError::measured)?,
                    ),
                };
                self.log.on_read(now, seq, result)
            }
            Call::Create(seq, batch) => {
                let value = encode(&batch)?.into();
                let result = match platform.put(&entry(seq), value, Precondition::Absent).await {
                    Ok(_) => CreateResult::Created,
                    Err(PlatformError::Conflict) => CreateResult::Exists,
                    Err(error) => return Err(CapacityError::measured(error)),
                };
                self.log.on_created(now, seq, result)
            }
        })
    }

    fn act(&mut self, now_ms: u64, actions: Vec<ClaimAction>, counts: &mut Counts) {
        let answer_ms = now_ms + LATENCY_MS;
        for action in actions {
            match action {
                ClaimAction::Read { seq } => self.calls.push((answer_ms, Call::Read(seq))),
                ClaimAction::Create { seq, batch } => {
                    counts.creates += 1;
                    self.calls.push((answer_ms, Call::Create(seq, batch)));
                }
                ClaimAction::Resolve { ticket, result } => {
                    let Some((claimed, since_ms)) = self.waiting.remove(&ticket) else {
                        continue;
                    };
                    if result != ClaimResult::Granted {
                        counts.refused += 1;
                        continue;
                    }
                    counts.granted += 1;
                    counts.waited_ms += now_ms - since_ms;
                    self.running.push((now_ms + CALL_MS, claimed));
                }
            }
        }
    }
}

/// Builds a log that has read `count` claims, in entries of 64.
fn filled(first: u64, count: u32, rng: &mut ChaCha8Rng) -> ClaimLog {
    const ENTRY: u32 = 64;
    let entries = count.div_ceil(ENTRY);
    let end = u64::from(entries);
    let mut log = ClaimLog::new("entry-000".into(), 1, Duration::ZERO, 0, end);
    for entry in 0..entries {
        let in_entry = ENTRY.min(count - entry * ENTRY);
        let batch = claims(first + u64::from(entry * ENTRY), in_entry, rng);
        log.on_page(Duration::ZERO, vec![(u64::from(entry), batch)]);
    }
    log
}

fn memory(size: u32, seed: u64) -> Result<Point, CapacityError> {
    // Claims of one partition within the retention; a log holds at most 262,144.
    let claims_per_partition = f64::from(size) * RETENTION_S / f64::from(CLAIM_PARTITIONS);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    const LOGS: u32 = 8;
    let bytes = resident_bytes(LOGS, |number| {
        filled(
            u64::from(number) << 32,
            claims_per_partition as u32,
            &mut rng,
        )
    })?;
    point(size, bytes * f64::from(CLAIM_PARTITIONS))
}

fn read_cpu(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut entries = Vec::new();
    for entry in 0..size / 64 {
        entries.push(encode(&claims(u64::from(entry) * 64, 64, &mut rng))?);
    }
    let us = call_us(2, || {
        let mut log = ClaimLog::new("entry-000".into(), 1, Duration::ZERO, 0, u64::MAX);
        for (seq, entry) in (0..).zip(&entries) {
            if let Ok(batch) = serde_json::from_slice::<ClaimBatch>(entry) {
                log.on_page(Duration::ZERO, vec![(seq, batch)]);
            }
        }
    });
    point(size, us)
}
