//! Results of commands with their output and exit codes.

use std::fmt;
use std::process::ExitCode;

use serde_json::{Value, json};
use wagtailarch_fleet::{Finding, Fleet, FleetDiff, Manifest};
use wagtailarch_platform::{ApplyOutcome, ConfigError};
use wagtailarch_types::Generation;

use wagtailarch_wire::explanation::{Decision, Explanation};

use crate::status::StatusReport;
use crate::weighed::write_weighed;

/// Result of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Report {
    /// Help or version text.
    Text(String),
    /// The command line is invalid, or an input cannot be read.
    Usage(String),
    /// Findings of fleet files; empty if the files are valid.
    Findings(Vec<Finding>),
    /// Outcome of an apply.
    Applied(ApplyOutcome),
    /// Differences between two configurations.
    Diff(FleetDiff),
    /// The configuration in force.
    Fleet {
        /// Manifest of the configuration.
        manifest: Box<Manifest>,
        /// Content of the configuration.
        fleet: Box<Fleet>,
    },
    /// No configuration was ever applied.
    NoConfiguration,
    /// State of a generation in each zone.
    Status(StatusReport),
    /// The `key_hash` of a bearer key.
    KeyHash(String),
    /// Where a request would go.
    Explanation(Box<Explanation>),
    /// An instance could not be asked.
    InstanceFailed(String),
    /// The platform is unavailable, its data is invalid, or the outcome of an apply is unknown.
    Failed(ConfigError),
}

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Ok = 0,
    /// A fleet file has errors.
    Findings = 1,
    /// The command line is invalid, or an input cannot be read.
    Usage = 2,
    /// The base of an apply is not the generation in force.
    Conflict = 3,
    /// The platform is unavailable, its data is invalid, or the outcome of an apply is unknown.
    Platform = 4,
    /// The generation is not in force everywhere.
    NotInForce = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

impl Report {
    /// Returns the exit code.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            Self::Findings(findings) if !findings.is_empty() => ExitStatus::Findings,
            Self::Applied(ApplyOutcome::Conflict { .. }) => ExitStatus::Conflict,
            Self::Failed(_) | Self::InstanceFailed(_) => ExitStatus::Platform,
            Self::NoConfiguration => ExitStatus::NotInForce,
            Self::Status(status) if !status.everywhere => ExitStatus::NotInForce,
            Self::Text(_)
            | Self::Findings(_)
            | Self::Applied(_)
            | Self::Diff(_)
            | Self::Fleet { .. }
            | Self::Status(_)
            | Self::Explanation(_)
            | Self::KeyHash(_) => ExitStatus::Ok,
        }
    }

    /// Returns whether the text output is written to standard error.
    pub fn is_error(&self) -> bool {
        match self {
            Self::Usage(_) | Self::Failed(_) | Self::InstanceFailed(_) | Self::NoConfiguration => {
                true
            }
            Self::Findings(findings) => !findings.is_empty(),
            Self::Applied(outcome) => matches!(outcome, ApplyOutcome::Conflict { .. }),
            Self::Text(_)
            | Self::Diff(_)
            | Self::Fleet { .. }
            | Self::Status(_)
            | Self::Explanation(_)
            | Self::KeyHash(_) => false,
        }
    }

    /// Returns the JSON output.
    pub fn to_json(&self) -> Value {
        match self {
            Self::Text(text) => json!({ "text": text }),
            Self::Usage(message) => json!({ "error": "usage", "message": message }),
            Self::Findings(findings) => {
                json!({ "valid": findings.is_empty(), "findings": findings })
            }
            Self::Applied(outcome) => outcome_json(*outcome),
            Self::Diff(diff) => json!(diff),
            Self::Fleet { manifest, fleet } => json!({ "manifest": manifest, "fleet": fleet }),
            Self::NoConfiguration => {
                json!({ "error": "no_configuration", "message": self.to_string().trim_end() })
            }
            Self::Status(status) => json!(status),
            Self::KeyHash(hash) => json!({ "key_hash": hash }),
            Self::Explanation(explanation) => json!(explanation),
            Self::InstanceFailed(message) => json!({ "error": "instance", "message": message }),
            Self::Failed(error) => json!({ "error": "platform", "message": error.to_string() }),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.write_str(text),
            Self::Usage(message) => writeln!(f, "{message}"),
            Self::Findings(findings) => write_findings(f, findings),
            Self::Applied(outcome) => write_outcome(f, *outcome),
            Self::Diff(diff) if diff.is_empty() => writeln!(f, "no differences"),
            Self::Diff(diff) => write!(f, "{diff}"),
            Self::Fleet { manifest, fleet } => write_fleet(f, manifest, fleet),
            Self::NoConfiguration => writeln!(f, "no configuration was ever applied"),
            Self::Status(status) => write!(f, "{status}"),
            Self::KeyHash(hash) => writeln!(f, "{hash}"),
            Self::Explanation(explanation) => write_explanation(f, explanation),
            Self::InstanceFailed(message) => writeln!(f, "{message}"),
            Self::Failed(error) => writeln!(f, "{error}"),
        }
    }
}

fn outcome_json(outcome: ApplyOutcome) -> Value {
    let object =
        |name: &str, generation: Generation| json!({ "outcome": name, "generation": generation });
    match outcome {
        ApplyOutcome::Applied(generation) => object("applied", generation),
        ApplyOutcome::Unchanged(generation) => object("unchanged", generation),
        ApplyOutcome::Conflict { in_force } => object("conflict", in_force),
    }
}

fn write_findings(f: &mut fmt::Formatter<'_>, findings: &[Finding]) -> fmt::Result {
    if findings.is_empty() {
        return writeln!(f, "valid");
    }
    writeln!(f, "{} findings", findings.len())?;
    for finding in findings {
        writeln!(f, "{finding}\n")?;
    }
    Ok(())
}

fn write_outcome(f: &mut fmt::Formatter<'_>, outcome: ApplyOutcome) -> fmt::Result {
    match outcome {
        ApplyOutcome::Applied(generation) => writeln!(
            f,
            "applied as generation {generation}; to see whether it is in force everywhere: \
             wagtailctl status --wait --generation {generation}"
        ),
        ApplyOutcome::Unchanged(generation) => {
            writeln!(f, "unchanged: the file equals generation {generation}")
        }
        ApplyOutcome::Conflict { in_force: 0 } => {
            writeln!(f, "conflict: nothing was applied yet; the base must be 0")
        }
        ApplyOutcome::Conflict { in_force } => writeln!(
            f,
            "conflict: generation {in_force} is in force; nothing was changed. Compare with \
             wagtailctl diff before applying again with --base {in_force}"
        ),
    }
}

fn write_fleet(f: &mut fmt::Formatter<'_>, manifest: &Manifest, fleet: &Fleet) -> fmt::Result {
    let Manifest {
        generation,
        applied_by,
        ..
    } = manifest;
    // Control characters in the name, such as line breaks, could end the comment.
    let applied_by: String = applied_by.chars().filter(|c| !c.is_control()).collect();
    writeln!(f, "# generation {generation}, applied by {applied_by}\n")?;
    let text = fleet.to_toml().map_err(|_| fmt::Error)?;
    f.write_str(&text)
}

fn write_explanation(f: &mut fmt::Formatter<'_>, explanation: &Explanation) -> fmt::Result {
    let name = |name: &Option<smol_str::SmolStr>| match name {
        Some(name) => name.to_string(),
        None => "-".to_owned(),
    };
    writeln!(f, "instance    {}", explanation.instance)?;
    writeln!(f, "generation  {}", explanation.generation.unwrap_or(0))?;
    writeln!(f, "route       {}", name(&explanation.route))?;
    writeln!(f, "team        {}", name(&explanation.team))?;
    writeln!(f, "service     {}", name(&explanation.service))?;
    match &explanation.decision {
        Decision::Send {
            server,
            prefill_engine,
            urgency,
        } => {
            write!(f, "decision    send to {server}")?;
            if let Some(engine) = prefill_engine {
                write!(f, ", prompt read by {engine}")?;
            }
            if let Some(urgency) = urgency {
                write!(f, ", {urgency:?}")?;
            }
            writeln!(f)?;
        }
        Decision::ThroughInstance => {
            writeln!(
                f,
                "decision    send through another instance: no path to the servers"
            )?;
        }
        Decision::Refuse {
            reason,
            retry_after_ms,
        } => {
            write!(f, "decision    refuse: {reason}")?;
            if let Some(ms) = retry_after_ms {
                write!(f, ", retry after {ms} ms")?;
            }
            writeln!(f)?;
        }
    }
    write_weighed(f, &explanation.weighed)
}
