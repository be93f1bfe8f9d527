//! The entry instance on the users' platform.

use std::{path::PathBuf, process::ExitCode};

use displaydoc::Display;
use pico_args::Arguments;
use wagtailarch_adapter::SETTINGS_PATH_VARIABLE;
use wagtailarch_gateway::{Settings, log_panics, parse_settings, run};
use wagtailarch_telemetry::ProcessLog;

const HELP: &str = "\
wagtail-gateway: entry instance of wagtailarch on the users' platform

USAGE:
  wagtail-gateway [--settings FILE] [--check]

OPTIONS:
  --settings FILE  settings in TOML (docs/platform.md describes the keys); without it the
                   platform's environment variable names the file
  --check          check the settings and end
  --help           print this text
  --version        print the version

SIGHUP applies changed settings that need no restart; the file is also checked every two seconds.
SIGTERM ends the process after it has finished the requests that it read. Exit status: 0 after a
shutdown, 1 when the process could not start, 2 for wrong arguments or settings.
";

/// Why the program ends early.
#[derive(Debug, Display)]
enum UsageError {
    /// {0}
    Arguments(pico_args::Error),
    /// unexpected argument {0:?}
    Unexpected(std::ffi::OsString),
    /// neither --settings nor the environment variable {0} names a settings file
    NoSettings(&'static str),
    /// cannot read {0}: {1}
    Read(String, std::io::Error),
    /// {0}: {1}
    Settings(String, wagtailarch_gateway::SettingsError),
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("wagtail-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let check = arguments.contains("--check");
    let (settings, path) = match settings(arguments) {
        Ok(found) => found,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let log = ProcessLog::start(&settings.instance, &settings.zone);
    log_panics(log.logger.clone());
    match run(settings, path, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn settings(mut arguments: Arguments) -> Result<(Settings, PathBuf), UsageError> {
    let path: Option<PathBuf> = arguments
        .opt_value_from_str("--settings")
        .map_err(UsageError::Arguments)?;
    if let Some(unexpected) = arguments.finish().into_iter().next() {
        return Err(UsageError::Unexpected(unexpected));
    }
    let path = path
        .or_else(|| std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from))
        .ok_or(UsageError::NoSettings(SETTINGS_PATH_VARIABLE))?;
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| UsageError::Read(name.clone(), e))?;
    let settings = parse_settings(&text).map_err(|error| UsageError::Settings(name, error))?;
    Ok((settings, path))
}
