//! Errors of the capacity measurements.

use displaydoc::Display;

/// An error of a capacity measurement.
#[derive(Debug, Display)]
pub enum CapacityError {
    /// I/O error: {0}
    Io(std::io::Error),
    /// the process of a measurement failed: {0}
    ChildProcess(String),
    /// the measured code failed: {0}
    MeasuredCode(String),
    /// fewer than two different sizes were measured
    TooFewSizes,
    /// unknown measurement: {0}
    UnknownMeasurement(String),
    /// cannot write the table: {0}
    Output(csv::Error),
}

impl std::error::Error for CapacityError {}

impl From<std::io::Error> for CapacityError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl CapacityError {
    /// Wraps an error of the measured code.
    pub(crate) fn measured_code(error: impl std::fmt::Display) -> Self {
        Self::MeasuredCode(error.to_string())
    }
}
