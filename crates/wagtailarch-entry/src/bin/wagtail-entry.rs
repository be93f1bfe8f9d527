//! Program that runs an entry instance.

use std::{path::PathBuf, process::ExitCode};

use displaydoc::Display;
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};
use wagtailarch_entry::{Instance, Settings, parse_settings};
use wagtailarch_telemetry::ProcessLog;

const HELP: &str = "\
wagtail-entry: entry instance of wagtailarch

USAGE:
  wagtail-entry --settings FILE [--check]

OPTIONS:
  --settings FILE  settings in TOML (docs/entry.md describes the keys)
  --check          check the settings, print all findings and exit
  --help           print this text
  --version        print the version

SIGTERM or SIGINT drains the instance. Exit status: 0 when all requests finished, 1 when some
were cut off or the instance could not start, 2 for wrong arguments or settings.
";

/// Why the settings could not be loaded.
#[derive(Debug, Display)]
enum UsageError {
    /// {0}
    Arguments(pico_args::Error),
    /// unexpected argument {0:?}
    Unexpected(std::ffi::OsString),
    /// cannot read {0}: {1}
    Read(String, std::io::Error),
    /// {0}
    Settings(String),
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("wagtail-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let check = arguments.contains("--check");
    match load_settings(arguments) {
        Ok(_) if check => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Ok(settings) => run_instance(settings),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Reads and checks the settings file that the arguments name.
fn load_settings(mut arguments: Arguments) -> Result<Settings, UsageError> {
    let path: PathBuf = arguments
        .value_from_str("--settings")
        .map_err(UsageError::Arguments)?;
    if let Some(unexpected) = arguments.finish().into_iter().next() {
        return Err(UsageError::Unexpected(unexpected));
    }
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| UsageError::Read(name.clone(), e))?;
    parse_settings(&text).map_err(|findings| {
        let lines: Vec<_> = findings
            .iter()
            .map(|finding| format!("{name}:{finding}"))
            .collect();
        UsageError::Settings(lines.join("\n"))
    })
}

/// Runs an instance until a signal drains it; fails if it cannot start or cuts off requests.
fn run_instance(settings: Settings) -> ExitCode {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.traffic_threads > 0 {
        builder.worker_threads(settings.traffic_threads);
    }
    let runtime = match builder.thread_name("traffic").enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let log = ProcessLog::start(&settings.instance, &settings.zone);
    let all_finished = runtime.block_on(async {
        let instance = match Instance::start(settings, log.logger.clone()).await {
            Ok(instance) => instance,
            Err(error) => {
                eprintln!("{error}");
                return false;
            }
        };
        wait_for_stop_signal().await;
        instance.drain().await
    });
    if all_finished {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_stop_signal() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
