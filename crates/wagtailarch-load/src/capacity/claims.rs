//! Costs of the claims on calls that may run at most once, measured in virtual time.

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

use crate::capacity::measurement::{INSTANCE_MEMORY_BYTES, PLATFORM_WRITES_PER_S};
use crate::capacity::probe::{cpu_us_per_call, resident_bytes_per_copy};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

/// Latency of a call to the simulated platform.
const PLATFORM_LATENCY_MS: u64 = 5;
/// Duration of a call that was granted its claim.
const CALL_DURATION_MS: u64 = 50;
/// Virtual duration of a simulation.
const RUN_DURATION_MS: u64 = 60_000;
/// Claims per second of one partition at the design size, if 1% of all requests are
/// non-idempotent.
const DESIGN_CLAIMS_PER_S: f64 = DESIGN_SIZE.requests_per_s / 100.0 / CLAIM_PARTITIONS as f64;
/// Retention of claims in seconds: 24 hours.
const RETENTION_S: f64 = 86_400.0;

/// Measurements of claims.
pub(crate) const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "claim-bytes",
        quantity: "bytes of a claim log entry with claims only",
        size_of: "claims in the entry",
        sizes: &[1, 4, 16, 64, 256, 1_024],
        design_size: 1_024.0,
        target: Some(MAX_VALUE_BYTES as f64),
        own_process: false,
        measure: claim_bytes,
    },
    Measurement {
        name: "claim-outcome-bytes",
        quantity: "bytes of a claim log entry with 32 outcomes",
        size_of: "bytes of each body (ASCII text)",
        sizes: &[64, 256, 1_024, 4_096, 16_384],
        design_size: MAX_OUTCOME_BYTES as f64,
        target: Some(MAX_VALUE_BYTES as f64),
        own_process: false,
        measure: outcome_bytes,
    },
    Measurement {
        name: "claim-writes",
        quantity: "writes/s to one partition with one writer, outcomes included",
        size_of: "claims/s of the partition; design: 1% of 49,000/s over 64",
        sizes: &[1, 2, 4, 8, 16],
        design_size: DESIGN_CLAIMS_PER_S,
        target: Some(PLATFORM_WRITES_PER_S / CLAIM_PARTITIONS as f64),
        own_process: false,
        measure: |size, seed| Ok(simulate(1, f64::from(size), size, seed)?.writes),
    },
    Measurement {
        name: "claim-write-ceiling",
        quantity: "writes/s to one partition with one writer, outcomes included",
        size_of: "claims/s of the partition, beyond the first hundred",
        sizes: &[128, 256, 512, 1_024],
        design_size: 1_024.0,
        target: Some(PLATFORM_WRITES_PER_S / CLAIM_PARTITIONS as f64),
        own_process: false,
        measure: |size, seed| Ok(simulate(1, f64::from(size), size, seed)?.writes),
    },
    Measurement {
        name: "claim-contention",
        quantity: "writes tried for each granted claim at 8 claims/s of a partition",
        size_of: "instances that write to the partition",
        sizes: &[1, 2, 4, 8, 16, 32, 64, 128],
        design_size: DESIGN_SIZE.instances,
        target: None,
        own_process: false,
        measure: |size, seed| Ok(simulate(size, 8.0, size, seed)?.per_grant),
    },
    Measurement {
        name: "claim-wait",
        quantity: "ms until a claim is granted at 8 claims/s of a partition (mean)",
        size_of: "instances that write to the partition",
        sizes: &[1, 2, 4, 8, 16, 32, 64, 128],
        design_size: DESIGN_SIZE.instances,
        target: None,
        own_process: false,
        measure: |size, seed| Ok(simulate(size, 8.0, size, seed)?.wait_ms),
    },
    Measurement {
        name: "claim-refusals",
        quantity: "share of claims refused after 2 s at 8 claims/s of a partition",
        size_of: "instances that write to the partition",
        sizes: &[16, 32, 64, 128],
        design_size: DESIGN_SIZE.instances,
        target: Some(0.0),
        own_process: false,
        measure: |size, seed| Ok(simulate(size, 8.0, size, seed)?.refused_share),
    },
    Measurement {
        name: "claim-memory",
        quantity: "resident bytes of the claims of 24 h at an instance that reads all partitions",
        size_of: "claims/s of the whole system; design: 1% of 49,000/s",
        sizes: &[1, 2, 4, 8, 16],
        design_size: DESIGN_SIZE.requests_per_s / 100.0,
        target: Some(INSTANCE_MEMORY_BYTES),
        own_process: true,
        measure: memory_bytes,
    },
    Measurement {
        name: "claim-read-cpu",
        quantity: "us of an instance to decode and apply entries of 64 claims",
        size_of: "claims",
        sizes: &[64, 256, 1_024, 4_096],
        design_size: DESIGN_SIZE.requests_per_s / 100.0,
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

/// Returns the claim key of the call with the given number.
fn numbered_key(number: u64) -> u128 {
    claim_key("team-00001", "/lids/reservations", &number.to_le_bytes())
}

/// Creates a batch of `count` claims, which begin with call number `first`.
fn claim_batch(first: u64, count: u32, rng: &mut ChaCha8Rng) -> ClaimBatch {
    let record = |number: u64, nonce| ClaimRecord::Claim {
        key: numbered_key(number),
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

fn encode_batch(batch: &ClaimBatch) -> Result<Vec<u8>, CapacityError> {
    // The entry instance writes the same JSON.
    serde_json::to_vec(batch).map_err(CapacityError::measured_code)
}

/// Measures the encoded size of an entry with `size` claims.
fn claim_bytes(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    point(
        size,
        encode_batch(&claim_batch(0, size, &mut rng))?.len() as f64,
    )
}

/// Measures the encoded size of an entry with 32 outcomes whose bodies have `size` bytes.
fn outcome_bytes(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut log = ClaimLog::new("entry-000".into(), seed, Duration::ZERO, 0, 0);
    let mut first = Vec::new();
    // The first outcome is written at once; the other 32 are batched until that write is done.
    for number in 0..33 {
        let body = (0..size).map(|_| rng.random_range(b' '..=b'~')).collect();
        let outcome = ClaimOutcome { status: 200, body };
        first.extend(log.record_outcome(Duration::from_millis(1), numbered_key(number), outcome));
    }
    let created_at = Duration::from_millis(10);
    for action in first {
        if let ClaimAction::Create { seq, .. } = action {
            log.on_created(created_at, seq, CreateResult::Created);
        }
    }
    for action in log.tick(created_at + Duration::from_secs(1)) {
        if let ClaimAction::Create { batch, .. } = action {
            return point(size, encode_batch(&batch)?.len() as f64);
        }
    }
    Err(CapacityError::MeasuredCode("no entry was written".into()))
}

/// A call to the platform without a response yet.
#[derive(Debug)]
enum PlatformCall {
    Read(u64),
    Create(u64, ClaimBatch),
}

/// One writer of the simulated partition.
struct Writer {
    log: ClaimLog,
    /// Calls to the platform with the times in milliseconds of their responses.
    platform_calls: Vec<(u64, PlatformCall)>,
    /// Key and submission time in milliseconds of each claim without a result, by ticket.
    pending_claims: HashMap<u64, (u128, u64)>,
    /// Granted calls that are running: time of their outcome in milliseconds, and key.
    running_calls: Vec<(u64, u128)>,
}

/// Results of a simulation.
struct ClaimCosts {
    /// Writes per second.
    writes: Point,
    /// Writes for each granted claim.
    per_grant: Point,
    /// Mean time in milliseconds until a claim is granted.
    wait_ms: Point,
    /// Share of claims that are refused.
    refused_share: Point,
}

/// Event counters of a simulation.
#[derive(Default)]
struct Counters {
    creates: u64,
    granted: u64,
    refused: u64,
    waited_ms: u64,
}

/// Simulates one partition; each call arrives at a random writer.
fn simulate(
    writer_count: u32,
    claims_per_s: f64,
    size: u32,
    seed: u64,
) -> Result<ClaimCosts, CapacityError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build()?;
    runtime.block_on(async {
        let platform = FakePlatform::new(seed, FakeFaults::default());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut writers: Vec<Writer> = (0..writer_count).map(|n| new_writer(n, seed)).collect();
        let mut counters = Counters::default();
        let mut call_number = 0;
        for now_ms in 0..RUN_DURATION_MS {
            if rng.random_bool((claims_per_s / 1_000.0).min(1.0)) {
                let index = rng.random_range(0..writers.len());
                call_number += 1;
                writers[index].submit(now_ms, call_number, &mut counters);
            }
            for writer in &mut writers {
                writer.step(now_ms, &platform, &mut counters).await?;
            }
        }
        let run_s = RUN_DURATION_MS as f64 / 1e3;
        let granted = counters.granted.max(1) as f64;
        Ok(ClaimCosts {
            writes: point(size, counters.creates as f64 / run_s)?,
            per_grant: point(size, counters.creates as f64 / granted)?,
            wait_ms: point(size, counters.waited_ms as f64 / granted)?,
            refused_share: point(
                size,
                counters.refused as f64 / (granted + counters.refused as f64),
            )?,
        })
    })
}

/// Creates a writer with an empty log.
fn new_writer(number: u32, seed: u64) -> Writer {
    let instance = format_smolstr!("entry-{number:03}");
    let log_seed = seed * 10_000 + u64::from(number);
    Writer {
        log: ClaimLog::new(instance, log_seed, Duration::ZERO, 0, 0),
        platform_calls: Vec::new(),
        pending_claims: HashMap::new(),
        running_calls: Vec::new(),
    }
}

impl Writer {
    /// Submits the claim of the call with the given number, which also serves as its ticket.
    fn submit(&mut self, now_ms: u64, number: u64, counters: &mut Counters) {
        self.pending_claims
            .insert(number, (numbered_key(number), now_ms));
        let now = Duration::from_millis(now_ms);
        let actions = self.log.submit(now, number, numbered_key(number));
        self.execute(now_ms, actions, counters);
    }

    /// Processes all events due at `now_ms`; called every millisecond.
    async fn step(
        &mut self,
        now_ms: u64,
        platform: &FakePlatform,
        counters: &mut Counters,
    ) -> Result<(), CapacityError> {
        let now = Duration::from_millis(now_ms);
        for (due_ms, claimed_key) in std::mem::take(&mut self.running_calls) {
            if due_ms > now_ms {
                self.running_calls.push((due_ms, claimed_key));
                continue;
            }
            let outcome = ClaimOutcome {
                status: 201,
                body: vec![b'x'; 128],
            };
            let actions = self.log.record_outcome(now, claimed_key, outcome);
            self.execute(now_ms, actions, counters);
        }
        for (due_ms, call) in std::mem::take(&mut self.platform_calls) {
            if due_ms > now_ms {
                self.platform_calls.push((due_ms, call));
                continue;
            }
            let actions = self.complete(now, call, platform).await?;
            self.execute(now_ms, actions, counters);
        }
        let actions = self.log.tick(now);
        self.execute(now_ms, actions, counters);
        Ok(())
    }

    /// Performs a call on the platform and passes its result to the log.
    async fn complete(
        &mut self,
        now: Duration,
        call: PlatformCall,
        platform: &FakePlatform,
    ) -> Result<Vec<ClaimAction>, CapacityError> {
        let entry = |seq: u64| format!("claims/00/{seq:020}");
        Ok(match call {
            PlatformCall::Read(seq) => {
                let object = platform.get(&entry(seq)).await;
                let result = match object.map_err(CapacityError::measured_code)? {
                    None => ReadResult::Absent,
                    Some(object) => ReadResult::Entry(
                        serde_json::from_slice(&object.value)
                            .map_err(CapacityError::measured_code)?,
                    ),
                };
                self.log.on_read(now, seq, result)
            }
            PlatformCall::Create(seq, batch) => {
                let value = encode_batch(&batch)?.into();
                let result = match platform.put(&entry(seq), value, Precondition::Absent).await {
                    Ok(_) => CreateResult::Created,
                    Err(PlatformError::Conflict) => CreateResult::Exists,
                    Err(error) => return Err(CapacityError::measured_code(error)),
                };
                self.log.on_created(now, seq, result)
            }
        })
    }

    /// Executes actions of the log: starts calls to the platform and counts results of claims.
    fn execute(&mut self, now_ms: u64, actions: Vec<ClaimAction>, counters: &mut Counters) {
        let response_ms = now_ms + PLATFORM_LATENCY_MS;
        for action in actions {
            match action {
                ClaimAction::Read { seq } => self
                    .platform_calls
                    .push((response_ms, PlatformCall::Read(seq))),
                ClaimAction::Create { seq, batch } => {
                    counters.creates += 1;
                    self.platform_calls
                        .push((response_ms, PlatformCall::Create(seq, batch)));
                }
                ClaimAction::Resolve { ticket, result } => {
                    let Some((claimed_key, submitted_ms)) = self.pending_claims.remove(&ticket)
                    else {
                        continue;
                    };
                    if result != ClaimResult::Granted {
                        counters.refused += 1;
                        continue;
                    }
                    counters.granted += 1;
                    counters.waited_ms += now_ms - submitted_ms;
                    self.running_calls
                        .push((now_ms + CALL_DURATION_MS, claimed_key));
                }
            }
        }
    }
}

/// Creates a log that has read `count` claims in entries of 64.
fn filled_log(first: u64, count: u32, rng: &mut ChaCha8Rng) -> ClaimLog {
    const CLAIMS_PER_ENTRY: u32 = 64;
    let entries = count.div_ceil(CLAIMS_PER_ENTRY);
    let end = u64::from(entries);
    let mut log = ClaimLog::new("entry-000".into(), 1, Duration::ZERO, 0, end);
    for entry in 0..entries {
        let claim_count = CLAIMS_PER_ENTRY.min(count - entry * CLAIMS_PER_ENTRY);
        let batch = claim_batch(
            first + u64::from(entry * CLAIMS_PER_ENTRY),
            claim_count,
            rng,
        );
        log.on_page(Duration::ZERO, vec![(u64::from(entry), batch)]);
    }
    log
}

/// Measures the memory of the claims of all partitions at `size` claims per second.
fn memory_bytes(size: u32, seed: u64) -> Result<Point, CapacityError> {
    // Claims of one partition within the retention. A log keeps at most 262,144 claims.
    let claims_per_partition = f64::from(size) * RETENTION_S / f64::from(CLAIM_PARTITIONS);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    const LOG_COUNT: u32 = 8;
    let bytes = resident_bytes_per_copy(LOG_COUNT, |number| {
        filled_log(
            u64::from(number) << 32,
            claims_per_partition as u32,
            &mut rng,
        )
    })?;
    point(size, bytes * f64::from(CLAIM_PARTITIONS))
}

/// Measures the CPU time to decode and apply entries with `size` claims in total.
fn read_cpu(size: u32, seed: u64) -> Result<Point, CapacityError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut entries = Vec::new();
    for entry in 0..size / 64 {
        entries.push(encode_batch(&claim_batch(
            u64::from(entry) * 64,
            64,
            &mut rng,
        ))?);
    }
    let cpu_us = cpu_us_per_call(2, || {
        let mut log = ClaimLog::new("entry-000".into(), 1, Duration::ZERO, 0, u64::MAX);
        for (seq, entry) in (0..).zip(&entries) {
            if let Ok(batch) = serde_json::from_slice::<ClaimBatch>(entry) {
                log.on_page(Duration::ZERO, vec![(seq, batch)]);
            }
        }
    });
    point(size, cpu_us)
}
