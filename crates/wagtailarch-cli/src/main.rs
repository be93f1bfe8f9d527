//! `wagtailctl`, the command line with which operators validate, apply and retrieve fleet files.

use std::io::Write;
use std::process::ExitCode;

use wagtailarch_cli::{Command, HELP, OutputFormat, Report, parse_args, run};

fn main() -> ExitCode {
    let args = match parse_args(std::env::args_os().skip(1).collect()) {
        Ok(args) => args,
        Err(error) => {
            eprintln!("wagtailctl: {error}\nTry wagtailctl --help");
            return Report::Usage(error.to_string()).exit_status().into();
        }
    };
    let report = match args.command {
        Command::Help => Report::Text(HELP.into()),
        Command::Version => Report::Text(format!("wagtailctl {}\n", env!("CARGO_PKG_VERSION"))),
        command => match run_on_runtime(command) {
            Ok(report) => report,
            Err(error) => Report::Usage(format!("the runtime did not start: {error}")),
        },
    };
    print(&report, args.output);
    report.exit_status().into()
}

/// Runs a command on a new single-threaded runtime.
fn run_on_runtime(command: Command) -> std::io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(run(command)))
}

/// Prints a report; errors are written to standard error unless the format is JSON.
fn print(report: &Report, output: OutputFormat) {
    // Write errors, such as a closed pipe, do not change the exit code.
    let _ = match output {
        OutputFormat::Json => writeln!(std::io::stdout(), "{}", report.to_json()),
        OutputFormat::Text if report.is_error() => {
            write!(std::io::stderr(), "wagtailctl: {report}")
        }
        OutputFormat::Text => write!(std::io::stdout(), "{report}"),
    };
}
