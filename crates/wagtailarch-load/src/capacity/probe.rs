//! CPU time of the current thread and resident memory of the process.

use std::hint::black_box;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::capacity::CapacityError;

/// Returns the CPU time that the current thread has used.
pub(crate) fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the CPU time of one call in microseconds, as the lowest mean of several batches.
///
/// The lowest mean is the closest to the true cost, since other processes on the machine can only
/// increase the time.
pub(crate) fn cpu_us_per_call(calls_per_batch: u32, mut call: impl FnMut()) -> f64 {
    const BATCHES: u32 = 5;
    call();
    let mut lowest = f64::INFINITY;
    for _ in 0..BATCHES {
        let start = thread_cpu_time();
        for _ in 0..calls_per_batch {
            call();
        }
        let cpu_time = thread_cpu_time().saturating_sub(start);
        lowest = lowest.min(cpu_time.as_secs_f64() * 1e6 / f64::from(calls_per_batch));
    }
    lowest
}

/// Builds `count` copies of a state and returns the resident bytes that each of them adds.
///
/// The result is only valid in a process that has not built such a state before: memory that was
/// freed earlier is reused, so the process does not grow.
pub(crate) fn resident_bytes_per_copy<T>(
    count: u32,
    mut build: impl FnMut(u32) -> T,
) -> Result<f64, CapacityError> {
    let mut states = Vec::with_capacity(count as usize);
    let before = resident_bytes()?;
    for number in 0..count {
        states.push(build(number));
    }
    let after = resident_bytes()?;
    black_box(&states);
    Ok((after - before) / f64::from(count))
}

fn resident_bytes() -> Result<f64, CapacityError> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1);
    let pages: f64 = pages
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| CapacityError::ChildProcess("/proc/self/statm is malformed".into()))?;
    Ok(pages * rustix::param::page_size() as f64)
}
