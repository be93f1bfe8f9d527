//! The operator command line.
//!
//! [`parse_args`] parses the command line and [`run`] executes a [`Command`] with the object API of
//! the platform. The binary `wagtailctl` prints the [`Report`] and exits with its exit code.

mod args;
mod ask;
mod report;
mod run;
mod status;
mod weighed;

pub use args::{ApplyBase, Args, Command, DiffSource, HELP, OutputFormat, UsageError, parse_args};
pub use report::{ExitStatus, Report};
pub use run::{run, validate};
pub use status::{StatusReport, ZoneReport, ZoneState, evaluate_status};
