//! A load scenario: what is sent, and how the mix shifts over time.

use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{AdapterName, GroupName, ModelName, VersionName};

/// Greatest number of phases.
const MAX_PHASES: usize = 1000;

/// A whole scenario file (TOML).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of arrivals, lengths and kinds.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Model that clients name; `<service>` or `<service>:<adapter>`.
    pub model: SmolStr,
    /// Bearer keys of the teams; chosen at random.
    pub keys: Vec<SmolStr>,
    /// Path of plain calls that may be repeated.
    #[serde(default)]
    pub get_path: SmolStr,
    /// Path of plain calls that must run at most once.
    #[serde(default)]
    pub post_path: SmolStr,
    /// Time after which an answer counts as lost.
    #[serde(default = "default_timeout_s")]
    pub timeout_s: f64,
    /// Requests in flight at once; further arrivals are counted as not sent.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: usize,
    /// How often a client repeats a non-idempotent call with the same key after a lost answer.
    #[serde(default)]
    pub post_repeats: u32,
    /// Target of the time to the first token.
    #[serde(default = "default_first_token_target_ms")]
    pub first_token_target_ms: f64,
    /// Target of the mean time between tokens of an answer.
    #[serde(default = "default_between_target_ms")]
    pub between_target_ms: f64,
    /// What direct calls to engines name; needed if any phase has a weight for them.
    #[serde(default)]
    pub direct: Option<DirectCall>,
    /// Phases in the order of time; not empty. They start over when a run outlasts them.
    #[serde(rename = "phase")]
    pub phases: Vec<MixPhase>,
}

/// What a direct call to an engine names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectCall {
    /// Group of the engine.
    pub group: GroupName,
    /// Model loaded.
    pub model: ModelName,
    /// Version loaded.
    pub version: VersionName,
    /// Adapter.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
}

/// The mix of requests for some time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixPhase {
    /// How long the phase lasts; above 0.
    pub duration_s: f64,
    /// Mean arrivals per second; above 0.
    pub rate_per_s: f64,
    /// Whether rate and lengths move linearly to those of the next phase.
    #[serde(default)]
    pub ramp: bool,
    /// Prompt length.
    pub prompt_tokens: TokenRange,
    /// Answer length.
    pub output_tokens: TokenRange,
    /// Tokens at the start of each prompt that are shared by a family of prompts.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Number of such families; at least 1.
    #[serde(default = "default_families")]
    pub families: u32,
    /// Shares of the kinds of requests.
    pub weights: KindWeights,
}

/// Least and greatest value of a uniform distribution; `min <= max`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRange {
    /// Least value.
    pub min: u32,
    /// Greatest value.
    pub max: u32,
}

/// Relative shares of the kinds of requests; at least one is above 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KindWeights {
    /// Streamed answers of models.
    pub stream: f64,
    /// Whole answers of models.
    pub whole: f64,
    /// Plain calls that may be repeated.
    pub get: f64,
    /// Plain calls that must run at most once.
    pub post: f64,
    /// Calls to engines without an entry instance.
    pub direct: f64,
}

/// Why a scenario is refused.
#[derive(Debug, Display)]
pub enum ScenarioError {
    /// cannot parse the scenario: {0}
    Parse(toml::de::Error),
    /// scenario field {field} must be {expected}
    Field {
        /// Path of the field.
        field: &'static str,
        /// What it must be.
        expected: &'static str,
    },
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Parses and checks a scenario.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(ScenarioError::Parse)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks the values that types do not cover.
    pub fn check(&self) -> Result<(), ScenarioError> {
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
            self.check_phase(phase)?;
        }
        Ok(())
    }

    fn check_phase(&self, phase: &MixPhase) -> Result<(), ScenarioError> {
        require(phase.duration_s > 0.0, "phase.duration_s", "above 0")?;
        require(phase.rate_per_s > 0.0, "phase.rate_per_s", "above 0")?;
        require(phase.families > 0, "phase.families", "above 0")?;
        let ordered = |range: TokenRange| range.min <= range.max;
        require(
            ordered(phase.prompt_tokens),
            "phase.prompt_tokens",
            "min <= max",
        )?;
        let output = phase.output_tokens;
        require(
            ordered(output) && output.min > 0,
            "phase.output_tokens",
            "0 < min <= max",
        )?;
        let weights = phase.weights;
        let all = [
            weights.stream,
            weights.whole,
            weights.get,
            weights.post,
            weights.direct,
        ];
        let valid = all.iter().all(|weight| *weight >= 0.0) && all.iter().sum::<f64>() > 0.0;
        require(valid, "phase.weights", "0 or above, with one above 0")?;
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

    /// Returns the time of all phases together.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.phases.iter().map(|phase| phase.duration_s).sum())
    }

    /// Returns the mix at a time since the start of the run.
    pub fn mix_at(&self, at: Duration) -> MixPhase {
        let mut rest_s = at.as_secs_f64() % self.duration().as_secs_f64();
        for (number, phase) in self.phases.iter().enumerate() {
            if rest_s >= phase.duration_s {
                rest_s -= phase.duration_s;
                continue;
            }
            if !phase.ramp {
                return *phase;
            }
            let next = &self.phases[(number + 1) % self.phases.len()];
            return phase.towards(next, rest_s / phase.duration_s);
        }
        self.phases[self.phases.len() - 1]
    }
}

impl MixPhase {
    /// Moves rate and lengths by `share` towards those of `next`.
    fn towards(&self, next: &Self, share: f64) -> Self {
        let between = |a: u32, b: u32| (f64::from(a) * (1.0 - share) + f64::from(b) * share) as u32;
        let range = |a: TokenRange, b: TokenRange| TokenRange {
            min: between(a.min, b.min),
            max: between(a.max, b.max),
        };
        Self {
            rate_per_s: self.rate_per_s * (1.0 - share) + next.rate_per_s * share,
            prompt_tokens: range(self.prompt_tokens, next.prompt_tokens),
            output_tokens: range(self.output_tokens, next.output_tokens),
            ..*self
        }
    }
}

fn require(holds: bool, field: &'static str, expected: &'static str) -> Result<(), ScenarioError> {
    if holds {
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
