//! Load tool: drives entry instances and checks every answer.

use std::path::PathBuf;
use std::process::ExitCode;

use displaydoc::Display;
use smol_str::SmolStr;
use wagtailarch_load::load::{
    LoadConfig, LoadError, LoadReport, Progress, Scenario, ScenarioError, Targets, run_load,
};

const HELP: &str = "\
wagtail-load: drives entry instances with open-loop load and checks every answer.

USAGE: wagtail-load --scenario <FILE> --entry <ADDRESS>... [OPTIONS]

OPTIONS:
  --scenario <FILE>     what is sent (TOML)
  --entry <ADDRESS>     entry instance or balancer (repeatable, used in turn)
  --direct <ADDRESS>    engine for direct calls (repeatable); needed if a phase has a direct weight
  --service <ADDRESS>   stand-in service whose runs are compared with the answers (repeatable)
  --requests <N>        number of requests; without it the phases run once
  --seed <N>            seed instead of that of the scenario
  --rate <N>            arrivals per second instead of those of all phases
  --http2               HTTP/2 with prior knowledge towards entry instances
  --csv <FILE>          figures by kind as CSV
  --json <FILE>         the whole report as JSON
  --progress            counts on standard error every second
  --help, --version

EXIT CODE: 0 all answers right; 1 an answer was lost, doubled or mixed, or a non-idempotent call ran
against its answer; 2 the run could not be made.";

/// Why the program failed.
#[derive(Debug, Display)]
enum CliError {
    /// option error: {0}
    Option(pico_args::Error),
    /// unknown arguments: {0}
    Unknown(String),
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

/// Options of the program.
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

/// Makes the run; returns whether all answers were right.
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
    let options = parse(args)?;
    let shows_progress = options.progress;
    let on_progress = move |progress| {
        if shows_progress {
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

fn parse(mut args: pico_args::Arguments) -> Result<Options, CliError> {
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
    let rest = args.finish();
    if rest.is_empty() {
        Ok(options)
    } else {
        Err(CliError::Unknown(format!("{rest:?}")))
    }
}

fn print_progress(progress: Progress) {
    eprintln!(
        "sent={} ended={} completed={} refused={} faults={}",
        progress.sent, progress.ended, progress.completed, progress.refused, progress.faults
    );
}

fn write_files(
    report: &LoadReport,
    csv: Option<PathBuf>,
    json: Option<PathBuf>,
) -> Result<(), CliError> {
    if let Some(path) = csv {
        let text = report
            .to_csv()
            .map_err(|error| CliError::Report(error.to_string()))?;
        write(path, text)?;
    }
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(report)
            .map_err(|error| CliError::Report(error.to_string()))?;
        write(path, text)?;
    }
    Ok(())
}

fn write(path: PathBuf, text: String) -> Result<(), CliError> {
    std::fs::write(&path, text).map_err(|error| CliError::File(path.display().to_string(), error))
}
