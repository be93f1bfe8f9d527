//! Parsing of the command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use displaydoc::Display;
use pico_args::Arguments;
use wagtailarch_platform::HttpPlatformConfig;
use wagtailarch_types::Generation;

/// Text of `--help`.
pub const HELP: &str = "\
Validates, applies and reads back fleet files.

usage: wagtailctl <command> [options]

commands:
  validate <file>...                  report every fault of fleet files
  apply <file> --base <n>|current     apply a file if generation n (or the one read now) is in force
  diff <file>                         compare the configuration in force with a file
  diff <old file> <new file>          compare two files
  get                                 print the configuration in force as a fleet file
  status [--wait] [--generation <n>]  tell whether a generation is in force everywhere
  hash-key                            read a bearer key from standard input and print its key_hash
  explain [<file>]                    tell where a request would go now, and why, without sending it;
                                      the file, or standard input, holds the request as a client
                                      sends it: request line, headers, empty line, body

options:
  --instance <http://ip:port>  metrics address of an entry instance; for explain
  --platform <http://ip:port>  object API of the platform; for apply, get, status and diff <file>
  --output text|json           form of the output (default: text)
  --by <name>                  apply: name of the operator in the manifest (default: $USER)
  --wait                       status: wait until the generation is in force everywhere
  --timeout-s <seconds>        status: longest wait (default: 30)
  --generation <n>             status: generation to ask for (default: the one in force)
  --help, --version

exit codes:
  0  done; for status: in force everywhere
  1  the file has faults
  2  wrong usage, or a file cannot be read
  3  conflict: another generation is in force than --base says
  4  the platform or the instance is unreachable, or the outcome is unknown
  5  the generation is not in force everywhere
";

/// Default of `--timeout-s`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum value of `--timeout-s`.
const MAX_TIMEOUT_S: u64 = 3_600;

/// A parsed command line.
#[derive(Debug, Clone)]
pub struct Args {
    /// Command to run.
    pub command: Command,
    /// Format of the output.
    pub output: OutputFormat,
}

/// A command with its arguments.
#[derive(Debug, Clone)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Report every error in fleet files.
    Validate {
        /// Fleet files; not empty.
        files: Vec<PathBuf>,
    },
    /// Apply a fleet file.
    Apply {
        /// Fleet file.
        file: PathBuf,
        /// Generation that must be in force.
        base: ApplyBase,
        /// Name of the operator for the manifest.
        applied_by: String,
        /// Connection to the platform.
        platform: HttpPlatformConfig,
    },
    /// Compare two configurations.
    Diff {
        /// Old configuration.
        before: DiffSource,
        /// Fleet file with the new configuration.
        after: PathBuf,
    },
    /// Print the configuration in force.
    Get {
        /// Connection to the platform.
        platform: HttpPlatformConfig,
    },
    /// Report whether a generation is in force everywhere.
    Status {
        /// Generation to check; `None` for the one of the manifest.
        generation: Option<Generation>,
        /// Maximum time to wait until it is in force; zero to check once.
        max_wait: Duration,
        /// Connection to the platform.
        platform: HttpPlatformConfig,
    },
    /// Read a bearer key and print its hash.
    HashKey,
    /// Ask an instance where a request would go.
    Explain {
        /// File that holds the request; `None` for standard input.
        file: Option<PathBuf>,
        /// Metrics address of the instance.
        instance: SocketAddr,
    },
}

/// Generation that must be in force when a file is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyBase {
    /// This generation; 0 stands for no configuration.
    Generation(Generation),
    /// The generation that the command reads from the platform when it starts.
    Current,
}

/// Old configuration of a comparison.
#[derive(Debug, Clone)]
pub enum DiffSource {
    /// A fleet file.
    File(PathBuf),
    /// The configuration in force.
    Platform(HttpPlatformConfig),
}

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// One JSON object.
    Json,
}

/// Error of an invalid command line.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum UsageError {
    /// no command is given
    NoCommand,
    /// unknown command {0}
    UnknownCommand(String),
    /// unexpected argument {0}
    Unexpected(String),
    /// {0} is missing
    Missing(&'static str),
    /// {option} cannot be {value}: {expected}
    Invalid {
        /// Name of the option.
        option: &'static str,
        /// Value that was given.
        value: String,
        /// Description of the permitted values.
        expected: &'static str,
    },
    /// {0}
    Syntax(String),
}

impl std::error::Error for UsageError {}

impl From<pico_args::Error> for UsageError {
    fn from(error: pico_args::Error) -> Self {
        Self::Syntax(error.to_string())
    }
}

/// Parses the arguments of a command line, without the program name.
pub fn parse_args(arguments: Vec<OsString>) -> Result<Args, UsageError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Args {
            command: Command::Help,
            output: OutputFormat::Text,
        });
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Args {
            command: Command::Version,
            output: OutputFormat::Text,
        });
    }
    let name = arguments.subcommand()?.ok_or(UsageError::NoCommand)?;
    let output = parse_output(&mut arguments)?;
    let platform = parse_platform(&mut arguments)?;
    let command = match name.as_str() {
        "validate" => Command::Validate {
            files: positional_files(&mut arguments)?,
        },
        "apply" => parse_apply(&mut arguments, platform)?,
        "diff" => parse_diff(&mut arguments, platform)?,
        "get" => Command::Get {
            platform: require_platform(platform)?,
        },
        "status" => parse_status(&mut arguments, platform)?,
        "hash-key" => Command::HashKey,
        "explain" => parse_explain(&mut arguments)?,
        _ => return Err(UsageError::UnknownCommand(name)),
    };
    match arguments.finish().first() {
        Some(argument) => Err(UsageError::Unexpected(argument.to_string_lossy().into())),
        None => Ok(Args { command, output }),
    }
}

fn parse_apply(
    arguments: &mut Arguments,
    platform: Option<HttpPlatformConfig>,
) -> Result<Command, UsageError> {
    let base = parse_option(
        arguments,
        "--base",
        "a generation or current",
        |text| match text {
            "current" => Some(ApplyBase::Current),
            _ => text.parse().ok().map(ApplyBase::Generation),
        },
    )?;
    let applied_by = parse_option(arguments, "--by", "a name", |text| Some(text.to_owned()))?;
    let default_applied_by = || std::env::var("USER").unwrap_or_else(|_| "wagtailctl".into());
    let file = single_file(positional_files(arguments)?)?;
    Ok(Command::Apply {
        file,
        base: base.ok_or(UsageError::Missing("--base <n> or --base current"))?,
        applied_by: applied_by.unwrap_or_else(default_applied_by),
        platform: require_platform(platform)?,
    })
}

fn parse_diff(
    arguments: &mut Arguments,
    platform: Option<HttpPlatformConfig>,
) -> Result<Command, UsageError> {
    let mut files = positional_files(arguments)?.into_iter();
    let first = files.next().ok_or(UsageError::Missing("<file>"))?;
    let Some(second) = files.next() else {
        return Ok(Command::Diff {
            before: DiffSource::Platform(require_platform(platform)?),
            after: first,
        });
    };
    match files.next() {
        Some(third) => Err(UsageError::Unexpected(third.display().to_string())),
        None => Ok(Command::Diff {
            before: DiffSource::File(first),
            after: second,
        }),
    }
}

fn parse_status(
    arguments: &mut Arguments,
    platform: Option<HttpPlatformConfig>,
) -> Result<Command, UsageError> {
    let wait_requested = arguments.contains("--wait");
    let timeout = parse_option(
        arguments,
        "--timeout-s",
        "whole seconds up to 3600",
        |text| {
            let seconds = text
                .parse()
                .ok()
                .filter(|seconds| *seconds <= MAX_TIMEOUT_S)?;
            Some(Duration::from_secs(seconds))
        },
    )?;
    let generation = parse_option(arguments, "--generation", "a generation", |text| {
        text.parse().ok()
    })?;
    let max_wait = if wait_requested {
        timeout.unwrap_or(DEFAULT_TIMEOUT)
    } else {
        Duration::ZERO
    };
    Ok(Command::Status {
        generation,
        max_wait,
        platform: require_platform(platform)?,
    })
}

fn parse_explain(arguments: &mut Arguments) -> Result<Command, UsageError> {
    let instance = parse_option(arguments, "--instance", "http://ip:port", |text| {
        text.strip_prefix("http://")?
            .trim_end_matches('/')
            .parse()
            .ok()
    })?;
    let instance = instance.ok_or(UsageError::Missing("--instance <http://ip:port>"))?;
    let file = match positional_files(arguments) {
        Ok(files) => Some(single_file(files)?),
        Err(UsageError::Missing(_)) => None,
        Err(error) => return Err(error),
    };
    Ok(Command::Explain { file, instance })
}

fn parse_output(arguments: &mut Arguments) -> Result<OutputFormat, UsageError> {
    let output = parse_option(arguments, "--output", "text or json", |text| match text {
        "text" => Some(OutputFormat::Text),
        "json" => Some(OutputFormat::Json),
        _ => None,
    })?;
    Ok(output.unwrap_or(OutputFormat::Text))
}

fn parse_platform(arguments: &mut Arguments) -> Result<Option<HttpPlatformConfig>, UsageError> {
    parse_option(
        arguments,
        "--platform",
        "http://ip:port",
        HttpPlatformConfig::parse,
    )
}

fn require_platform(
    platform: Option<HttpPlatformConfig>,
) -> Result<HttpPlatformConfig, UsageError> {
    platform.ok_or(UsageError::Missing("--platform <http://ip:port>"))
}

/// Parses the value of an option; returns `None` if the option is not given.
fn parse_option<T>(
    arguments: &mut Arguments,
    name: &'static str,
    expected: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, UsageError> {
    let Some(value) = arguments.opt_value_from_str::<_, String>(name)? else {
        return Ok(None);
    };
    match parse(&value) {
        Some(parsed) => Ok(Some(parsed)),
        None => Err(UsageError::Invalid {
            option: name,
            value,
            expected,
        }),
    }
}

/// Returns the remaining arguments as files; an option among them is an error.
fn positional_files(arguments: &mut Arguments) -> Result<Vec<PathBuf>, UsageError> {
    let remaining = std::mem::replace(arguments, Arguments::from_vec(Vec::new())).finish();
    let mut files = Vec::with_capacity(remaining.len());
    for argument in remaining {
        let text = argument.to_string_lossy();
        if text.len() > 1 && text.starts_with('-') {
            return Err(UsageError::Unexpected(text.into()));
        }
        files.push(PathBuf::from(argument));
    }
    if files.is_empty() {
        return Err(UsageError::Missing("<file>"));
    }
    Ok(files)
}

fn single_file(files: Vec<PathBuf>) -> Result<PathBuf, UsageError> {
    let mut files = files.into_iter();
    let file = files.next().ok_or(UsageError::Missing("<file>"))?;
    match files.next() {
        Some(other) => Err(UsageError::Unexpected(other.display().to_string())),
        None => Ok(file),
    }
}
