//! Processor time and memory of a process.

use crate::HarnessError;

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Processor time of all threads in seconds.
    pub processor_s: f64,
    /// Memory in use in bytes.
    pub memory_bytes: u64,
}

impl Usage {
    /// Reads the usage of the process with this id.
    pub fn of(id: u32) -> Result<Self, HarnessError> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let malformed = || HarnessError::Call(format!("cannot read the usage of process {id}"));
        // The name in parentheses may hold spaces; user and system time are fields 12 and 13 of
        // those after it.
        let (_, fields) = stat.rsplit_once(')').ok_or_else(malformed)?;
        let mut ticks = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .map(str::parse::<u64>);
        let (user, system) = ticks.next().zip(ticks.next()).ok_or_else(malformed)?;
        let ticks = user.ok().zip(system.ok()).ok_or_else(malformed)?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kib = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        let kib: u64 = resident_kib.ok_or_else(malformed)?;
        Ok(Self {
            processor_s: (ticks.0 + ticks.1) as f64
                / rustix::param::clock_ticks_per_second() as f64,
            memory_bytes: kib * 1024,
        })
    }
}
