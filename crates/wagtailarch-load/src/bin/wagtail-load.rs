//! Load generator: sends requests to entry instances and checks every response.

use std::path::PathBuf;
use std::process::ExitCode;

use displaydoc::Display;
use smol_str::SmolStr;
use wagtailarch_load::load::{
    LoadConfig, LoadError, LoadReport, Progress, Scenario, ScenarioError, Targets, run_load,
};

const HELP: &str = "\
wagtail-load: sends open-loop load to entry instances and checks every response.

USAGE: wagtail-load --scenario <FILE> --entry <ADDRESS>... [OPTIONS]

OPTIONS:
  --scenario <FILE>     scenario of the load (TOML)
  --entry <ADDRESS>     entry instance or balancer (repeatable, used in turn)
  --direct <ADDRESS>    engine for direct calls (repeatable, used in turn); required if a phase has
                        a weight for direct calls
  --service <ADDRESS>   stand-in service whose runs are compared with the responses (repeatable)
  --requests <N>        number of requests; if absent, the phases run once
  --seed <N>            replaces the seed of the scenario
  --rate <N>            replaces the rates of all phases, in arrivals per second
  --http2               use HTTP/2 with prior knowledge for entry instances
  --csv <FILE>          write the statistics by kind of request as CSV
  --json <FILE>         write the whole report as JSON
  --progress            print counters to standard error every second
  --help, --version

EXIT CODE: 0 all responses are correct; 1 a response was lost, doubled or mixed, or a non-idempotent
call ran more than once or contrary to its response; 2 the load could not be run or the report not
written.";

/// An error that ends the program.
#[derive(Debug, Display)]
enum CliError {
    /// option error: {0}
    Option(pico_args::Error),
    /// unknown arguments: {0}
    UnknownArguments(String),
    /// cannot access {0}: {1}
    File(String, std::io::Error),
    /// {0}
    Scenario(ScenarioError),
    /// {0}
    Load(LoadError),
    /// cannot write the report: {0}
    Report(String),
}

impl std::error::Error for CliError {}

impl From<pico_args::Error> for CliError {
    fn from(error: pico_args::Error) -> Self {
        Self::Option(error)
    }
}

/// Command-line options.
struct Options {
    load: LoadConfig,
    csv: Option<PathBuf>,
    json: Option<PathBuf>,
    progress: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("wagtail-load: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the load and returns whether all responses were correct.
async fn run() -> Result<bool, CliError> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(true);
    }
    if args.contains(["-V", "--version"]) {
        println!("wagtail-load {}", env!("CARGO_PKG_VERSION"));
        return Ok(true);
    }
    let options = parse_options(args)?;
    let progress_enabled = options.progress;
    let on_progress = move |progress| {
        if progress_enabled {
            print_progress(progress);
        }
    };
    let report = run_load(options.load, on_progress)
        .await
        .map_err(CliError::Load)?;
    print!("{report}");
    write_files(&report, options.csv, options.json)?;
    Ok(!report.has_faults())
}

/// Parses the command line and reads the scenario file.
fn parse_options(mut args: pico_args::Arguments) -> Result<Options, CliError> {
    let path: PathBuf = args.value_from_str("--scenario")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| CliError::File(path.display().to_string(), error))?;
    let mut scenario = Scenario::parse(&text).map_err(CliError::Scenario)?;
    if let Some(seed) = args.opt_value_from_str("--seed")? {
        scenario.seed = seed;
    }
    if let Some(rate_per_s) = args.opt_value_from_str("--rate")? {
        scenario
            .phases
            .iter_mut()
            .for_each(|phase| phase.rate_per_s = rate_per_s);
    }
    let targets = Targets {
        entries: args.values_from_str::<_, SmolStr>("--entry")?,
        engines: args.values_from_str::<_, SmolStr>("--direct")?,
        services: args.values_from_str::<_, SmolStr>("--service")?,
    };
    let load = LoadConfig {
        scenario,
        targets,
        requests: args.opt_value_from_str("--requests")?,
        http2: args.contains("--http2"),
        stop: Default::default(),
    };
    let options = Options {
        load,
        csv: args.opt_value_from_str("--csv")?,
        json: args.opt_value_from_str("--json")?,
        progress: args.contains("--progress"),
    };
    let unknown_args = args.finish();
    if unknown_args.is_empty() {
        Ok(options)
    } else {
        Err(CliError::UnknownArguments(format!("{unknown_args:?}")))
    }
}

fn print_progress(progress: Progress) {
    eprintln!(
        "sent={} ended={} completed={} refused={} faults={}",
        progress.sent, progress.ended, progress.completed, progress.refused, progress.faults
    );
}

/// Writes the report to the files that the options name.
fn write_files(
    report: &LoadReport,
    csv: Option<PathBuf>,
    json: Option<PathBuf>,
) -> Result<(), CliError> {
    if let Some(path) = csv {
        let text = report
            .to_csv()
            .map_err(|error| CliError::Report(error.to_string()))?;
        write_file(path, text)?;
    }
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(report)
            .map_err(|error| CliError::Report(error.to_string()))?;
        write_file(path, text)?;
    }
    Ok(())
}

fn write_file(path: PathBuf, text: String) -> Result<(), CliError> {
    std::fs::write(&path, text).map_err(|error| CliError::File(path.display().to_string(), error))
}
