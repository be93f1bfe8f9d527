//! The operator command line.
//!
//! [`parse_args`] reads the command line and [`run`] carries a [`Command`] out against the object
//! API of the platform. The binary `wagtailctl` prints the [`Report`] and exits with its code.

mod args;
mod report;
mod run;
mod status;

pub use args::{ApplyBase, Args, Command, DiffSource, HELP, OutputFormat, UsageError, parse_args};
pub use report::{ExitStatus, Report};
pub use run::{run, validate};
pub use status::{StatusReport, ZoneReport, ZoneState, evaluate_status};
