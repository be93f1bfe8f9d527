//! Errors of the test harness.

use displaydoc::Display;

/// Errors of the test harness.
#[derive(Debug, Display)]
pub enum HarnessError {
    /// cannot start {program}: {cause}; `cargo build --workspace --bins` builds all programs
    Start {
        /// Name of the program.
        program: String,
        /// Reason why it did not start.
        cause: String,
    },
    /// process {name} exited unexpectedly; its log:\n{log}
    ProcessExited {
        /// Name of the process.
        name: String,
        /// Content of its log.
        log: String,
    },
    /// timed out after {timeout_s} s while waiting for {awaited}
    Timeout {
        /// The condition that the harness waited for.
        awaited: String,
        /// Timeout in seconds.
        timeout_s: u64,
    },
    /// cannot access a file: {0}
    File(std::io::Error),
    /// call failed: {0}
    Call(String),
    /// cannot create the certificates of the instances: {0}
    Certificates(rcgen::Error),
    /// every port of the range is in use
    NoFreePort,
    /// the load failed: {0}
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
        Self::Certificates(error)
    }
}
