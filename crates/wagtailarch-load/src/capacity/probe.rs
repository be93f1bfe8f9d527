//! Processor time of the thread and memory of the process.

use std::hint::black_box;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::capacity::CapacityError;

/// Returns the processor time that this thread has used.
pub(crate) fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the processor time of one call in microseconds: the least mean of several batches,
/// since other jobs on the machine only add to it.
pub(crate) fn call_us(calls: u32, mut call: impl FnMut()) -> f64 {
    const BATCHES: u32 = 5;
    call();
    let mut least = f64::INFINITY;
    for _ in 0..BATCHES {
        let start = thread_time();
        for _ in 0..calls {
            call();
        }
        let used = thread_time().saturating_sub(start);
        least = least.min(used.as_secs_f64() * 1e6 / f64::from(calls));
    }
    least
}

/// Returns the resident bytes that `count` copies of a state take, for each copy.
///
/// Freed memory is reused without growth of the process, so a measurement counts only in a
/// process that has not built such a state before.
pub(crate) fn resident_bytes<T>(
    count: u32,
    mut build: impl FnMut(u32) -> T,
) -> Result<f64, CapacityError> {
    let mut states = Vec::with_capacity(count as usize);
    let before = resident()?;
    for number in 0..count {
        states.push(build(number));
    }
    let after = resident()?;
    black_box(&states);
    Ok((after - before) / f64::from(count))
}

fn resident() -> Result<f64, CapacityError> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1);
    let pages: f64 = pages
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| CapacityError::ChildProcess("/proc/self/statm is malformed".into()))?;
    Ok(pages * rustix::param::page_size() as f64)
}
