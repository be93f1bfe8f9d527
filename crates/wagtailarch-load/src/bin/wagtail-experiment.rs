//! Policy experiments in virtual time: runs scenarios under several policies and compares them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use displaydoc::Display;
use wagtailarch_load::experiment::{
    Case, Fault, FleetKind, PlotError, PolicyKind, ReportError, Scenario, ScenarioError, plot,
    print_table, print_targets, run_suite, write_csv,
};

const HELP: &str = "\
wagtail-experiment: compares routing, admission and role policies in virtual time.

USAGE: wagtail-experiment [OPTIONS]

OPTIONS:
  --scenario <FILE>  scenario (repeatable); all files of scenarios/experiment without it
  --fleet <NAME>     budapest or lisse; both without it
  --fault <NAME>     plain, crash or lost-reports; all without it
  --policy <NAME>    wagtail, fixed-split, threshold, round-robin, least-requests or foresight
                     (repeatable); all without it
  --seed <N>         first seed (default 1)
  --seeds <N>        number of seeds (default 3, at most 1000)
  --out <DIR>        directory for runs.csv, samples.csv and one SVG for each comparison
  --progress         number of finished runs on standard error
  --help, --version

EXIT CODE: 0 the runs were made, whether or not the targets were met; 2 they could not be made.";

/// Directory of the scenarios that are run without `--scenario`.
const SCENARIOS: &str = "scenarios/experiment";

/// Why the program failed.
#[derive(Debug, Display)]
enum CliError {
    /// option error: {0}
    Option(pico_args::Error),
    /// unknown arguments: {0}
    Unknown(String),
    /// unknown {0}: {1}
    Name(&'static str, String),
    /// cannot read {0}: {1}
    Directory(String, std::io::Error),
    /// {0}
    Scenario(ScenarioError),
    /// {0}
    Report(ReportError),
    /// {0}
    Plot(PlotError),
}

impl std::error::Error for CliError {}

impl From<pico_args::Error> for CliError {
    fn from(error: pico_args::Error) -> Self {
        Self::Option(error)
    }
}

/// Options of the program.
struct Options {
    scenarios: Vec<PathBuf>,
    fleets: Vec<FleetKind>,
    faults: Vec<Fault>,
    policies: Vec<PolicyKind>,
    seed: u64,
    seeds: u64,
    out: Option<PathBuf>,
    progress: bool,
}

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("wagtail-experiment {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match options(args).and_then(|options| run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wagtail-experiment: {error}");
            ExitCode::from(2)
        }
    }
}

fn options(mut args: pico_args::Arguments) -> Result<Options, CliError> {
    let mut scenarios: Vec<PathBuf> = args.values_from_str("--scenario")?;
    if scenarios.is_empty() {
        scenarios = scenario_files(Path::new(SCENARIOS))?;
    }
    let fleets: Vec<String> = args.values_from_str("--fleet")?;
    let faults: Vec<String> = args.values_from_str("--fault")?;
    let policies: Vec<String> = args.values_from_str("--policy")?;
    let options = Options {
        scenarios,
        fleets: select("fleet", &FleetKind::ALL, FleetKind::as_str, &fleets)?,
        faults: select("fault", &Fault::ALL, Fault::as_str, &faults)?,
        policies: select("policy", &PolicyKind::ALL, PolicyKind::as_str, &policies)?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        seeds: args
            .opt_value_from_str("--seeds")?
            .unwrap_or(3)
            .clamp(1, 1_000),
        out: args.opt_value_from_str("--out")?,
        progress: args.contains("--progress"),
    };
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(CliError::Unknown(format!("{rest:?}")));
    }
    Ok(options)
}

fn run(options: &Options) -> Result<(), CliError> {
    let mut cases = Vec::new();
    for path in &options.scenarios {
        let scenario = Arc::new(Scenario::read(path).map_err(CliError::Scenario)?);
        for &fleet in &options.fleets {
            for &fault in &options.faults {
                for &policy in &options.policies {
                    for seed in options.seed..options.seed + options.seeds {
                        let scenario = Arc::clone(&scenario);
                        cases.push(Case {
                            scenario,
                            fleet,
                            fault,
                            policy,
                            seed,
                        });
                    }
                }
            }
        }
    }
    let total = cases.len();
    let results = run_suite(cases, |done| {
        if options.progress {
            eprintln!("{done} of {total} runs");
        }
    });
    print_table(&results);
    let missed = print_targets(&results);
    println!("targets missed: {missed}");
    if let Some(dir) = &options.out {
        write_csv(&results, dir).map_err(CliError::Report)?;
        plot(&results, dir).map_err(CliError::Plot)?;
    }
    Ok(())
}

fn scenario_files(dir: &Path) -> Result<Vec<PathBuf>, CliError> {
    let failed = |error| CliError::Directory(dir.display().to_string(), error);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Returns the values with the given names, or all without names.
fn select<T: Copy>(
    what: &'static str,
    all: &[T],
    name: impl Fn(T) -> &'static str,
    names: &[String],
) -> Result<Vec<T>, CliError> {
    if names.is_empty() {
        return Ok(all.to_vec());
    }
    let mut chosen = Vec::new();
    for wanted in names {
        let value = all.iter().find(|value| name(**value) == wanted);
        chosen.push(*value.ok_or_else(|| CliError::Name(what, wanted.clone()))?);
    }
    Ok(chosen)
}
