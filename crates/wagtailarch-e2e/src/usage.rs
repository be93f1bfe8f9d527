//! Processor time and memory of a process.

use crate::HarnessError;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of all threads in seconds.
    pub processor_s: f64,
    /// Memory in use in bytes.
    pub memory_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process with the ID `id` from `/proc`.
    pub fn of(id: u32) -> Result<Self, HarnessError> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let malformed = || HarnessError::Call(format!("cannot read the usage of process {id}"));
        // The name of the program, in parentheses, may contain spaces. User and system time are the
        // fields 12 and 13 after it.
        let (_, fields) = stat.rsplit_once(')').ok_or_else(malformed)?;
        let mut ticks = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .map(str::parse::<u64>);
        let (user, system) = ticks.next().zip(ticks.next()).ok_or_else(malformed)?;
        let ticks = user.ok().zip(system.ok()).ok_or_else(malformed)?;
        let resident_line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kib =
            resident_line.and_then(|text| text.split_whitespace().next()?.parse().ok());
        let kib: u64 = resident_kib.ok_or_else(malformed)?;
        Ok(Self {
            processor_s: (ticks.0 + ticks.1) as f64
                / rustix::param::clock_ticks_per_second() as f64,
            memory_bytes: kib * 1024,
        })
    }
}
