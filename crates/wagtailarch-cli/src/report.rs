//! Results of commands with their output and exit code.

use std::fmt;
use std::process::ExitCode;

use serde_json::{Value, json};
use wagtailarch_fleet::{Finding, Fleet, FleetDiff, Manifest};
use wagtailarch_platform::{ApplyOutcome, ConfigError};
use wagtailarch_types::Generation;

use crate::status::StatusReport;

/// Result of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Report {
    /// Text that is the same in every form of output.
    Text(String),
    /// The command line or a file it names is of no use.
    Usage(String),
    /// Files were validated; empty if they have no faults.
    Findings(Vec<Finding>),
    /// An apply was decided.
    Applied(ApplyOutcome),
    /// Two configurations were compared.
    Diff(FleetDiff),
    /// The configuration in force.
    Fleet {
        /// Its manifest.
        manifest: Box<Manifest>,
        /// Its content.
        fleet: Box<Fleet>,
    },
    /// Nothing was ever applied.
    NoConfiguration,
    /// What is in force where.
    Status(StatusReport),
    /// The key_hash of a bearer key.
    KeyHash(String),
    /// The platform did not give an answer that settles the command.
    Failed(ConfigError),
}

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Ok = 0,
    /// A file has faults.
    Findings = 1,
    /// Wrong usage.
    Usage = 2,
    /// Another generation is in force than the base of the apply.
    Conflict = 3,
    /// The platform is unreachable or the outcome is unknown.
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
            Self::Failed(_) => ExitStatus::Platform,
            Self::NoConfiguration => ExitStatus::NotInForce,
            Self::Status(status) if !status.everywhere => ExitStatus::NotInForce,
            Self::Text(_)
            | Self::Findings(_)
            | Self::Applied(_)
            | Self::Diff(_)
            | Self::Fleet { .. }
            | Self::Status(_)
            | Self::KeyHash(_) => ExitStatus::Ok,
        }
    }

    /// Tells whether the text output belongs on standard error.
    pub fn is_error(&self) -> bool {
        match self {
            Self::Usage(_) | Self::Failed(_) | Self::NoConfiguration => true,
            Self::Findings(findings) => !findings.is_empty(),
            Self::Applied(outcome) => matches!(outcome, ApplyOutcome::Conflict { .. }),
            Self::Text(_)
            | Self::Diff(_)
            | Self::Fleet { .. }
            | Self::Status(_)
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
            Self::Failed(error) => json!({ "error": "platform", "message": error.to_string() }),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.write_str(text),
            Self::Usage(message) => writeln!(f, "{message}"),
            Self::Findings(findings) => show_findings(f, findings),
            Self::Applied(outcome) => show_outcome(f, *outcome),
            Self::Diff(diff) if diff.is_empty() => writeln!(f, "no differences"),
            Self::Diff(diff) => write!(f, "{diff}"),
            Self::Fleet { manifest, fleet } => show_fleet(f, manifest, fleet),
            Self::NoConfiguration => writeln!(f, "no configuration was ever applied"),
            Self::Status(status) => write!(f, "{status}"),
            Self::KeyHash(hash) => writeln!(f, "{hash}"),
            Self::Failed(error) => writeln!(f, "{error}"),
        }
    }
}

fn outcome_json(outcome: ApplyOutcome) -> Value {
    let with =
        |name: &str, generation: Generation| json!({ "outcome": name, "generation": generation });
    match outcome {
        ApplyOutcome::Applied(generation) => with("applied", generation),
        ApplyOutcome::Unchanged(generation) => with("unchanged", generation),
        ApplyOutcome::Conflict { in_force } => with("conflict", in_force),
    }
}

fn show_findings(f: &mut fmt::Formatter<'_>, findings: &[Finding]) -> fmt::Result {
    if findings.is_empty() {
        return writeln!(f, "valid");
    }
    writeln!(f, "{} findings", findings.len())?;
    for finding in findings {
        writeln!(f, "{finding}\n")?;
    }
    Ok(())
}

fn show_outcome(f: &mut fmt::Formatter<'_>, outcome: ApplyOutcome) -> fmt::Result {
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

fn show_fleet(f: &mut fmt::Formatter<'_>, manifest: &Manifest, fleet: &Fleet) -> fmt::Result {
    let Manifest {
        generation,
        applied_by,
        ..
    } = manifest;
    // Control characters of a name could end the comment.
    let applied_by: String = applied_by.chars().filter(|c| !c.is_control()).collect();
    writeln!(f, "# generation {generation}, applied by {applied_by}\n")?;
    let text = fleet.to_toml().map_err(|_| fmt::Error)?;
    f.write_str(&text)
}
