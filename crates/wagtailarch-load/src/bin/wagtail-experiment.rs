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
  --scenario <FILE>  scenario (repeatable); all files of scenarios/experiment if absent
  --fleet <NAME>     budapest or lisse; both if absent
  --fault <NAME>     plain, crash or lost-reports; all if absent
  --policy <NAME>    wagtail, fixed-split, threshold, round-robin, least-requests or foresight
                     (repeatable); all if absent
  --seed <N>         first seed (default 1)
  --seeds <N>        number of seeds (default 3, at most 1000)
  --out <DIR>        write runs.csv, samples.csv and an SVG for each comparison to this directory
  --progress         print the number of finished runs to standard error
  --help, --version

EXIT CODE: 0 all runs finished, whether or not the targets were met; 2 an error ended the program.";

/// Directory with the scenarios to run if `--scenario` is absent.
const SCENARIO_DIR: &str = "scenarios/experiment";

/// An error that ends the program.
#[derive(Debug, Display)]
enum CliError {
    /// option error: {0}
    Option(pico_args::Error),
    /// unknown arguments: {0}
    UnknownArguments(String),
    /// unknown {0}: {1}
    UnknownValue(&'static str, String),
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

/// Command-line options.
struct Options {
    scenarios: Vec<PathBuf>,
    fleets: Vec<FleetKind>,
    faults: Vec<Fault>,
    policies: Vec<PolicyKind>,
    first_seed: u64,
    seed_count: u64,
    output_dir: Option<PathBuf>,
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
    match parse_options(args).and_then(|options| run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wagtail-experiment: {error}");
            ExitCode::from(2)
        }
    }
}

fn parse_options(mut args: pico_args::Arguments) -> Result<Options, CliError> {
    let mut scenarios: Vec<PathBuf> = args.values_from_str("--scenario")?;
    if scenarios.is_empty() {
        scenarios = scenario_files(Path::new(SCENARIO_DIR))?;
    }
    let fleets: Vec<String> = args.values_from_str("--fleet")?;
    let faults: Vec<String> = args.values_from_str("--fault")?;
    let policies: Vec<String> = args.values_from_str("--policy")?;
    let options = Options {
        scenarios,
        fleets: select_by_name("fleet", &FleetKind::ALL, FleetKind::as_str, &fleets)?,
        faults: select_by_name("fault", &Fault::ALL, Fault::as_str, &faults)?,
        policies: select_by_name("policy", &PolicyKind::ALL, PolicyKind::as_str, &policies)?,
        first_seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        seed_count: args
            .opt_value_from_str("--seeds")?
            .unwrap_or(3)
            .clamp(1, 1_000),
        output_dir: args.opt_value_from_str("--out")?,
        progress: args.contains("--progress"),
    };
    let unknown_args = args.finish();
    if !unknown_args.is_empty() {
        return Err(CliError::UnknownArguments(format!("{unknown_args:?}")));
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
                    for seed in options.first_seed..options.first_seed + options.seed_count {
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
    let results = run_suite(cases, |finished| {
        if options.progress {
            eprintln!("{finished} of {total} runs");
        }
    });
    print_table(&results);
    let missed_targets = print_targets(&results);
    println!("targets missed: {missed_targets}");
    if let Some(dir) = &options.output_dir {
        write_csv(&results, dir).map_err(CliError::Report)?;
        plot(&results, dir).map_err(CliError::Plot)?;
    }
    Ok(())
}

/// Returns the paths of all scenarios in a directory, sorted.
fn scenario_files(dir: &Path) -> Result<Vec<PathBuf>, CliError> {
    let directory_error = |error| CliError::Directory(dir.display().to_string(), error);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(directory_error)? {
        let path = entry.map_err(directory_error)?.path();
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

/// Returns the values with the given names, or all if no names are given.
fn select_by_name<T: Copy>(
    value_kind: &'static str,
    all: &[T],
    name_of: impl Fn(T) -> &'static str,
    names: &[String],
) -> Result<Vec<T>, CliError> {
    if names.is_empty() {
        return Ok(all.to_vec());
    }
    let mut selected = Vec::new();
    for name in names {
        let value = all.iter().find(|value| name_of(**value) == name);
        selected.push(*value.ok_or_else(|| CliError::UnknownValue(value_kind, name.clone()))?);
    }
    Ok(selected)
}
