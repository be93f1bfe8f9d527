//! Load scenarios: the mix of requests over time.

use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{AdapterName, GroupName, ModelName, VersionName};

/// Maximum number of phases.
const MAX_PHASES: usize = 1000;

/// A load scenario, read from a TOML file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the random arrivals, lengths and kinds of requests.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Model in the requests: `<service>` or `<service>:<adapter>`.
    pub model: SmolStr,
    /// Bearer keys of the teams, drawn at random for each request.
    pub keys: Vec<SmolStr>,
    /// Path of idempotent plain calls.
    #[serde(default)]
    pub get_path: SmolStr,
    /// Path of non-idempotent plain calls.
    #[serde(default)]
    pub post_path: SmolStr,
    /// Timeout of a request in seconds, after which its response counts as lost.
    #[serde(default = "default_timeout_s")]
    pub timeout_s: f64,
    /// Maximum number of requests in flight; further arrivals are counted as not sent.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: usize,
    /// Number of times that a non-idempotent call is repeated with the same idempotency key after a
    /// lost response.
    #[serde(default)]
    pub post_repeats: u32,
    /// Target for the time to the first token in milliseconds.
    #[serde(default = "default_first_token_target_ms")]
    pub first_token_target_ms: f64,
    /// Target for the mean time between the tokens of a response in milliseconds.
    #[serde(default = "default_between_target_ms")]
    pub between_target_ms: f64,
    /// Parameters of direct calls; required if any phase has a weight for them.
    #[serde(default)]
    pub direct: Option<DirectCall>,
    /// Phases in order of time, at least one. They repeat if the run is longer.
    #[serde(rename = "phase")]
    pub phases: Vec<MixPhase>,
}

/// Parameters of direct calls to engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectCall {
    /// Group of the engine.
    pub group: GroupName,
    /// Model that the engine has loaded.
    pub model: ModelName,
    /// Version that the engine has loaded.
    pub version: VersionName,
    /// Adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
}

/// The mix of requests during a period of time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixPhase {
    /// Duration of the phase in seconds; above 0.
    pub duration_s: f64,
    /// Mean arrivals per second; above 0.
    pub rate_per_s: f64,
    /// Whether rate and lengths change linearly to those of the next phase.
    #[serde(default)]
    pub ramp: bool,
    /// Length of prompts.
    pub prompt_tokens: TokenRange,
    /// Maximum length of outputs (`max_tokens`).
    pub output_tokens: TokenRange,
    /// Length in tokens of the prefix that the prompts of a family share.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Number of families of prompts; at least 1.
    #[serde(default = "default_families")]
    pub families: u32,
    /// Weights of the kinds of requests.
    pub weights: KindWeights,
}

/// Bounds of a uniformly distributed number of tokens; `min <= max`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRange {
    /// Smallest value.
    pub min: u32,
    /// Largest value.
    pub max: u32,
}

/// Relative weights of the kinds of requests; at least one is above 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KindWeights {
    /// Model requests with a streamed response.
    pub stream: f64,
    /// Model requests with a response that is not streamed.
    pub whole: f64,
    /// Idempotent plain calls.
    pub get: f64,
    /// Non-idempotent plain calls.
    pub post: f64,
    /// Calls sent directly to engines.
    pub direct: f64,
}

/// Error in a scenario.
#[derive(Debug, Display)]
pub enum ScenarioError {
    /// cannot parse the scenario: {0}
    Parse(toml::de::Error),
    /// scenario field {field} must be {expected}
    Field {
        /// Path of the field.
        field: &'static str,
        /// Values that the field may have.
        expected: &'static str,
    },
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Parses and validates a scenario.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(ScenarioError::Parse)?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Validates the constraints that the types do not express.
    pub fn validate(&self) -> Result<(), ScenarioError> {
        require(
            !self.keys.is_empty(),
            "keys",
            "a list with at least one key",
        )?;
        let phases = &self.phases;
        require(
            (1..=MAX_PHASES).contains(&phases.len()),
            "phase",
            "1 to 1000 tables",
        )?;
        require(self.timeout_s > 0.0, "timeout_s", "above 0")?;
        require(self.max_in_flight > 0, "max_in_flight", "above 0")?;
        for phase in phases {
            self.validate_phase(phase)?;
        }
        Ok(())
    }

    fn validate_phase(&self, phase: &MixPhase) -> Result<(), ScenarioError> {
        require(phase.duration_s > 0.0, "phase.duration_s", "above 0")?;
        require(phase.rate_per_s > 0.0, "phase.rate_per_s", "above 0")?;
        require(phase.families > 0, "phase.families", "above 0")?;
        let is_ordered = |range: TokenRange| range.min <= range.max;
        require(
            is_ordered(phase.prompt_tokens),
            "phase.prompt_tokens",
            "min <= max",
        )?;
        let output = phase.output_tokens;
        require(
            is_ordered(output) && output.min > 0,
            "phase.output_tokens",
            "0 < min <= max",
        )?;
        let weights = phase.weights;
        let all_weights = [
            weights.stream,
            weights.whole,
            weights.get,
            weights.post,
            weights.direct,
        ];
        let are_valid = all_weights.iter().all(|weight| *weight >= 0.0)
            && all_weights.iter().sum::<f64>() > 0.0;
        require(are_valid, "phase.weights", "0 or above, with one above 0")?;
        require(
            weights.get == 0.0 || !self.get_path.is_empty(),
            "get_path",
            "set",
        )?;
        require(
            weights.post == 0.0 || !self.post_path.is_empty(),
            "post_path",
            "set",
        )?;
        require(
            weights.direct == 0.0 || self.direct.is_some(),
            "direct",
            "set",
        )
    }

    /// Returns the total duration of all phases.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.phases.iter().map(|phase| phase.duration_s).sum())
    }

    /// Returns the mix of requests at a time since the start of the run.
    pub fn mix_at(&self, at: Duration) -> MixPhase {
        let mut phase_time_s = at.as_secs_f64() % self.duration().as_secs_f64();
        for (index, phase) in self.phases.iter().enumerate() {
            if phase_time_s >= phase.duration_s {
                phase_time_s -= phase.duration_s;
                continue;
            }
            if !phase.ramp {
                return *phase;
            }
            let next = &self.phases[(index + 1) % self.phases.len()];
            return phase.interpolate(next, phase_time_s / phase.duration_s);
        }
        self.phases[self.phases.len() - 1]
    }
}

impl MixPhase {
    /// Interpolates rate and lengths between this phase and `next`; `fraction` is 0 at this phase.
    fn interpolate(&self, next: &Self, fraction: f64) -> Self {
        let interpolate_tokens =
            |a: u32, b: u32| (f64::from(a) * (1.0 - fraction) + f64::from(b) * fraction) as u32;
        let range = |a: TokenRange, b: TokenRange| TokenRange {
            min: interpolate_tokens(a.min, b.min),
            max: interpolate_tokens(a.max, b.max),
        };
        Self {
            rate_per_s: self.rate_per_s * (1.0 - fraction) + next.rate_per_s * fraction,
            prompt_tokens: range(self.prompt_tokens, next.prompt_tokens),
            output_tokens: range(self.output_tokens, next.output_tokens),
            ..*self
        }
    }
}

/// Returns an error for a field unless its value is valid.
fn require(
    is_valid: bool,
    field: &'static str,
    expected: &'static str,
) -> Result<(), ScenarioError> {
    if is_valid {
        Ok(())
    } else {
        Err(ScenarioError::Field { field, expected })
    }
}

fn default_seed() -> u64 {
    1
}

fn default_timeout_s() -> f64 {
    30.0
}

fn default_max_in_flight() -> usize {
    2000
}

fn default_families() -> u32 {
    1
}

fn default_first_token_target_ms() -> f64 {
    340.0
}

fn default_between_target_ms() -> f64 {
    43.0
}
