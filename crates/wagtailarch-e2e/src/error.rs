//! Why the harness failed.

use displaydoc::Display;

/// Why the harness failed.
#[derive(Debug, Display)]
pub enum HarnessError {
    /// cannot start {program}: {cause}; `cargo build --workspace --bins` builds all programs
    Start {
        /// Program.
        program: String,
        /// Cause.
        cause: String,
    },
    /// {name} ended early; its log:\n{log}
    Ended {
        /// Name of the process.
        name: String,
        /// Content of its log.
        log: String,
    },
    /// {what} did not happen within {limit_s} s
    Timeout {
        /// What was waited for.
        what: String,
        /// Limit.
        limit_s: u64,
    },
    /// cannot access a file: {0}
    File(std::io::Error),
    /// call failed: {0}
    Call(String),
    /// cannot make the keys of an instance: {0}
    Keys(rcgen::Error),
    /// no free port is left in the range
    Ports,
    /// the load could not be run: {0}
    Load(String),
}

impl std::error::Error for HarnessError {}

impl From<std::io::Error> for HarnessError {
    fn from(error: std::io::Error) -> Self {
        Self::File(error)
    }
}

impl From<rcgen::Error> for HarnessError {
    fn from(error: rcgen::Error) -> Self {
        Self::Keys(error)
    }
}
