//! Scenarios: load and request lengths over time.

use displaydoc::Display;
use serde::Deserialize;
use smol_str::SmolStr;

use super::engine::EngineModel;

/// A scenario, read from a TOML file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, used in results and in file names.
    pub name: SmolStr,
    /// What the scenario shows.
    pub about: String,
    /// Length in seconds.
    pub duration_s: f64,
    /// Time in seconds after which the points repeat; 0 if they do not.
    #[serde(default)]
    pub repeat_s: f64,
    /// Whether the target is that no role changes.
    ///
    /// Set if the mix changes faster than a role change pays off.
    #[serde(default)]
    pub no_changes: bool,
    /// Whether the load rises in steps to an overload, so that the goodput of the last step is
    /// compared with the best step.
    #[serde(default)]
    pub overload: bool,
    /// Load points in order of time. Values between two points are interpolated; two points at the
    /// same time form a step.
    #[serde(rename = "point")]
    pub points: Vec<LoadPoint>,
}

/// Load and mean request lengths at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPoint {
    /// Time in seconds.
    pub at_s: f64,
    /// Offered load as a share of the capacity of all engines.
    pub load: f64,
    /// Mean number of prompt tokens of a request.
    pub prompt_tokens: f64,
    /// Mean number of output tokens of a request.
    pub output_tokens: f64,
}

/// Fault injected into a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No fault.
    None,
    /// One engine of the first zone crashes halfway through the run and is down for 20 s.
    Crash,
    /// From halfway through the run, the reports of half of the engines of the first zone are lost
    /// for 30 s.
    LostReports,
}

/// Error while reading a scenario.
#[derive(Debug, Display)]
pub enum ScenarioError {
    /// cannot read {0}: {1}
    File(String, std::io::Error),
    /// {0}: {1}
    Syntax(String, toml::de::Error),
    /// {0}: points must be positive and in order of time, and duration_s in (0, 7200]
    Points(String),
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Reads and validates a scenario file.
    pub fn read(path: &std::path::Path) -> Result<Self, ScenarioError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError::File(name.clone(), error))?;
        let scenario: Self =
            toml::from_str(&text).map_err(|error| ScenarioError::Syntax(name.clone(), error))?;
        if !scenario.is_valid() {
            return Err(ScenarioError::Points(name));
        }
        Ok(scenario)
    }

    /// Returns the interpolated load and request lengths at a time in seconds.
    pub fn at(&self, time_s: f64) -> LoadPoint {
        let time_s = if self.repeat_s > 0.0 {
            time_s % self.repeat_s
        } else {
            time_s
        };
        let next = self.points.partition_point(|point| point.at_s <= time_s);
        let Some(after) = self.points.get(next) else {
            return self.points[self.points.len() - 1];
        };
        let Some(before) = next.checked_sub(1).map(|index| self.points[index]) else {
            return *after;
        };
        let fraction = (time_s - before.at_s) / (after.at_s - before.at_s);
        let interpolate = |from: f64, to: f64| from + fraction * (to - from);
        LoadPoint {
            at_s: time_s,
            load: interpolate(before.load, after.load),
            prompt_tokens: interpolate(before.prompt_tokens, after.prompt_tokens),
            output_tokens: interpolate(before.output_tokens, after.output_tokens),
        }
    }

    /// Returns the arrival rate in requests per second that produces the load on `engines` engines.
    pub fn requests_per_s(&self, time_s: f64, engines: usize, model: &EngineModel) -> f64 {
        let point = self.at(time_s);
        let work_s = point.prompt_tokens / model.prefill_tokens_per_s()
            + point.output_tokens / model.decode_tokens_per_s();
        point.load * engines as f64 / work_s
    }

    fn is_valid(&self) -> bool {
        let ordered = self
            .points
            .windows(2)
            .all(|pair| pair[0].at_s <= pair[1].at_s);
        let positive = |point: &LoadPoint| {
            point.load > 0.0 && point.prompt_tokens >= 1.0 && point.output_tokens >= 1.0
        };
        let valid_points = !self.points.is_empty() && self.points.iter().all(positive);
        valid_points && ordered && self.duration_s > 0.0 && self.duration_s <= 7_200.0
    }
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 3] = [Self::None, Self::Crash, Self::LostReports];

    /// Returns the name used on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "plain",
            Self::Crash => "crash",
            Self::LostReports => "lost-reports",
        }
    }
}
