//! Measurements of one quantity at several sizes, and their results.

use std::process::Command;

use crate::capacity::{
    CapacityError, Line, Point, claims, config, dispatch, engines, gossip, teams, zone,
};

/// Size and load of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct DesignSize {
    /// Number of entry instances.
    pub instances: f64,
    /// Number of engines.
    pub engines: f64,
    /// Number of availability zones.
    pub zones: f64,
    /// Number of teams.
    pub teams: f64,
    /// Peak load in requests per second.
    pub requests_per_s: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
}

/// The design size of section 2 of `docs/design.md`.
pub const DESIGN_SIZE: DesignSize = DesignSize {
    instances: 370.0,
    engines: 3_800.0,
    zones: 13.0,
    teams: 29_000.0,
    requests_per_s: 49_000.0,
    changes_per_day: 4_900.0,
};

/// Bytes per second that the control plane may send or receive at one instance.
pub(crate) const INSTANCE_BYTES_PER_S: f64 = 2_000.0;
/// CPU time in microseconds per second that the control plane may use at one instance: 1.1% of a
/// core.
pub(crate) const INSTANCE_CPU_US_PER_S: f64 = 11_000.0;
/// Memory that the control plane may use at one instance.
pub(crate) const INSTANCE_MEMORY_BYTES: f64 = 256e6;
/// Writes per second that the platform accepts; `docs/design.md` states "several hundred".
pub(crate) const PLATFORM_WRITES_PER_S: f64 = 300.0;
/// Reads per second that the platform accepts.
pub(crate) const PLATFORM_READS_PER_S: f64 = 2_000.0;

/// A quantity that is measured at several sizes.
#[derive(Debug, Clone, Copy)]
pub struct Measurement {
    /// Name for the option `--only`.
    pub name: &'static str,
    /// Description of the quantity with its unit.
    pub quantity: &'static str,
    /// Description of the size.
    pub size_of: &'static str,
    /// Sizes at which the quantity is measured.
    pub sizes: &'static [u32],
    /// Size in the design, at which the fitted line is evaluated.
    pub design_size: f64,
    /// Maximum value at the design size, if there is one.
    pub target: Option<f64>,
    /// Whether each point is measured in a process of its own, as resident memory requires.
    pub own_process: bool,
    /// Measures the quantity at a size with a seed.
    pub(crate) measure: fn(u32, u64) -> Result<Point, CapacityError>,
}

/// The result of a measurement.
#[derive(Debug, Clone)]
pub struct MeasurementResult {
    /// Measurement that was run.
    pub measurement: Measurement,
    /// Line fitted to the points of the median run: the one with the median value at the design
    /// size.
    pub line: Line,
    /// Lowest value at the design size of all runs.
    pub min: f64,
    /// Highest value at the design size of all runs.
    pub max: f64,
    /// Points of the median run.
    pub points: Vec<Point>,
}

impl MeasurementResult {
    /// Returns the value of the line at the design size.
    pub fn design_value(&self) -> f64 {
        self.line.value_at(self.measurement.design_size)
    }

    /// Returns whether the value at the design size meets the target; `None` without a target.
    pub fn meets_target(&self) -> Option<bool> {
        self.measurement
            .target
            .map(|target| self.design_value() <= target)
    }
}

impl Measurement {
    /// Measures all sizes `runs` times, but at least once.
    pub fn run(&self, seed: u64, runs: u32) -> Result<MeasurementResult, CapacityError> {
        let mut fits = Vec::new();
        for _ in 0..runs.max(1) {
            let mut points = Vec::new();
            for &size in self.sizes {
                points.push(self.measure_point(size, seed)?);
            }
            fits.push((Line::fit(&points)?, points));
        }
        let value = |line: &Line| line.value_at(self.design_size);
        fits.sort_by(|a, b| value(&a.0).total_cmp(&value(&b.0)));
        let (min, max) = (value(&fits[0].0), value(&fits[fits.len() - 1].0));
        let (line, points) = fits.swap_remove(fits.len() / 2);
        Ok(MeasurementResult {
            measurement: *self,
            line,
            min,
            max,
            points,
        })
    }

    /// Measures one size in the current process.
    pub fn measure_in_process(&self, size: u32, seed: u64) -> Result<Point, CapacityError> {
        (self.measure)(size, seed)
    }

    /// Measures one size, in a child process if the measurement requires it.
    fn measure_point(&self, size: u32, seed: u64) -> Result<Point, CapacityError> {
        if !self.own_process {
            return self.measure_in_process(size, seed);
        }
        let output = Command::new(std::env::current_exe()?)
            .args(["--point", self.name, "--size", &size.to_string()])
            .args(["--seed", &seed.to_string()])
            .output()?;
        let stdout = String::from_utf8_lossy(&output.stdout);
        let mut numbers = stdout.split_whitespace().map(str::parse::<f64>);
        match (numbers.next(), numbers.next()) {
            (Some(Ok(x)), Some(Ok(y))) if output.status.success() => Ok(Point { x, y }),
            _ => Err(CapacityError::ChildProcess(format!(
                "{} at {size}: {}",
                self.name,
                String::from_utf8_lossy(&output.stderr)
            ))),
        }
    }
}

/// Returns all measurements in the order in which they are run and printed.
pub fn measurements() -> Vec<Measurement> {
    [
        gossip::MEASUREMENTS,
        engines::MEASUREMENTS,
        zone::MEASUREMENTS,
        config::MEASUREMENTS,
        teams::MEASUREMENTS,
        claims::MEASUREMENTS,
        dispatch::MEASUREMENTS,
    ]
    .concat()
}
