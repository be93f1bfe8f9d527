//! The measured quantities and how each is measured over its sizes.

use std::process::Command;

use crate::capacity::{
    CapacityError, Line, Point, claims, config, dispatch, engines, gossip, teams, zone,
};

/// Sizes of section 2 of the design page.
#[derive(Debug, Clone, Copy)]
pub struct DesignSize {
    /// Entry instances.
    pub instances: f64,
    /// Engines.
    pub engines: f64,
    /// Availability zones.
    pub zones: f64,
    /// Teams.
    pub teams: f64,
    /// Requests per second at the peak.
    pub requests_per_s: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
}

/// The design size.
pub const DESIGN_SIZE: DesignSize = DesignSize {
    instances: 370.0,
    engines: 3_800.0,
    zones: 13.0,
    teams: 29_000.0,
    requests_per_s: 49_000.0,
    changes_per_day: 4_900.0,
};

/// Bytes that control may move each second at one node.
pub(crate) const NODE_BYTES_PER_S: f64 = 2_000.0;
/// Processor time that control may use each second at one node: 1.1% of a core.
pub(crate) const NODE_US_PER_S: f64 = 11_000.0;
/// Memory of control at one node.
pub(crate) const NODE_MEMORY_BYTES: f64 = 256e6;
/// Writes per second that the platform takes; "several hundred" on the design page.
pub(crate) const PLATFORM_WRITES_PER_S: f64 = 300.0;
/// Reads per second that the platform takes.
pub(crate) const PLATFORM_READS_PER_S: f64 = 2_000.0;

/// One quantity whose growth with a size is measured.
#[derive(Debug, Clone, Copy)]
pub struct Measurement {
    /// Name for `--only`.
    pub name: &'static str,
    /// Quantity and unit.
    pub quantity: &'static str,
    /// What the size counts.
    pub size_of: &'static str,
    /// Measured sizes.
    pub sizes: &'static [u32],
    /// Size of the design.
    pub design_size: f64,
    /// Greatest value at the design size, if one is given.
    pub target: Option<f64>,
    /// Whether each point needs a process of its own, as resident memory does.
    pub own_process: bool,
    /// Measures one point from size and seed.
    pub(crate) measure: fn(u32, u64) -> Result<Point, CapacityError>,
}

/// The result of a measured slope.
#[derive(Debug, Clone)]
pub struct MeasurementResult {
    /// Slope.
    pub measurement: Measurement,
    /// Line of the run with the median value at the design size.
    pub line: Line,
    /// Least value at the design size over the runs.
    pub min: f64,
    /// Greatest value at the design size over the runs.
    pub max: f64,
    /// Points of the median run.
    pub points: Vec<Point>,
}

impl MeasurementResult {
    /// Returns the value at the design size.
    pub fn design_value(&self) -> f64 {
        self.line.value_at(self.measurement.design_size)
    }

    /// Tells whether the value at the design size is within its target, if there is one.
    pub fn meets_target(&self) -> Option<bool> {
        self.measurement
            .target
            .map(|target| self.design_value() <= target)
    }
}

impl Measurement {
    /// Measures all sizes `runs` times, at least once.
    pub fn run(&self, seed: u64, runs: u32) -> Result<MeasurementResult, CapacityError> {
        let mut fits = Vec::new();
        for _ in 0..runs.max(1) {
            let mut points = Vec::new();
            for &size in self.sizes {
                points.push(self.point(size, seed)?);
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

    /// Measures one size in this process.
    pub fn measure_in_process(&self, size: u32, seed: u64) -> Result<Point, CapacityError> {
        (self.measure)(size, seed)
    }

    fn point(&self, size: u32, seed: u64) -> Result<Point, CapacityError> {
        if !self.own_process {
            return self.measure_in_process(size, seed);
        }
        let output = Command::new(std::env::current_exe()?)
            .args(["--point", self.name, "--size", &size.to_string()])
            .args(["--seed", &seed.to_string()])
            .output()?;
        let text = String::from_utf8_lossy(&output.stdout);
        let mut numbers = text.split_whitespace().map(str::parse::<f64>);
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

/// Returns all slopes in the order of the page.
pub fn measurements() -> Vec<Measurement> {
    [
        gossip::SLOPES,
        engines::SLOPES,
        zone::SLOPES,
        config::SLOPES,
        teams::SLOPES,
        claims::SLOPES,
        dispatch::SLOPES,
    ]
    .concat()
}
