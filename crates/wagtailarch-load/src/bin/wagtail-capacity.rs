//! Measures how the cost of the decision code grows with the size of a fleet.

use std::process::ExitCode;

use wagtailarch_load::capacity::{
    CapacityError, Measurement, TableFormat, measurements, write_table,
};

const HELP: &str = "\
wagtail-capacity: measures costs of the decision code at several sizes, fits a line to each and
prints its value at the design size of docs/design.md and the target.

USAGE: wagtail-capacity [OPTIONS]

OPTIONS:
  --only <NAME>      measurement (repeatable); all if absent
  --output <FORMAT>  text or csv (default text)
  --seed <N>         seed of the random numbers (default 1)
  --runs <N>         runs of each measurement, 1 to 20 (default 3); the line of the median run is
                     printed with the range of the values at the design size
  --list             print all measurements
  --help, --version

EXIT CODE: 0 the measurements were made, whether or not the targets were met (see the column
\"result\"); 1 a measurement failed; 2 the options are invalid.";

/// Command-line options.
struct Options {
    measurements: Vec<Measurement>,
    format: TableFormat,
    seed: u64,
    runs: u32,
    /// Size of the only point to measure, if the program runs as a child process.
    single_size: Option<u32>,
}

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("wagtail-capacity {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if args.contains("--list") {
        for measurement in measurements() {
            println!(
                "{}: {} by {}",
                measurement.name, measurement.quantity, measurement.size_of
            );
        }
        return ExitCode::SUCCESS;
    }
    let options = match parse_options(args) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("wagtail-capacity: {error}");
            return ExitCode::from(2);
        }
    };
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wagtail-capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_options(mut args: pico_args::Arguments) -> Result<Options, Box<dyn std::error::Error>> {
    let mut names: Vec<String> = args.values_from_str("--only")?;
    // The program passes `--point` to itself to measure a point in a process of its own.
    names.extend(args.opt_value_from_str::<_, String>("--point")?);
    let format: String = args
        .opt_value_from_str("--output")?
        .unwrap_or_else(|| "text".into());
    let options = Options {
        measurements: select_measurements(&names)?,
        format: TableFormat::parse(&format).ok_or_else(|| format!("unknown format: {format}"))?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        runs: args.opt_value_from_str("--runs")?.unwrap_or(3).clamp(1, 20),
        single_size: args.opt_value_from_str("--size")?,
    };
    let unknown_args = args.finish();
    if !unknown_args.is_empty() {
        return Err(format!("unknown arguments: {unknown_args:?}").into());
    }
    Ok(options)
}

/// Returns the measurements with the given names, or all if no names are given.
fn select_measurements(names: &[String]) -> Result<Vec<Measurement>, CapacityError> {
    let all = measurements();
    if names.is_empty() {
        return Ok(all);
    }
    let mut selected = Vec::new();
    for name in names {
        let measurement = all.iter().find(|measurement| measurement.name == name);
        selected.push(*measurement.ok_or_else(|| CapacityError::UnknownMeasurement(name.clone()))?);
    }
    Ok(selected)
}

/// Runs the measurements and prints their results.
fn run(options: &Options) -> Result<(), CapacityError> {
    if let (Some(size), [measurement]) = (options.single_size, options.measurements.as_slice()) {
        let point = measurement.measure_in_process(size, options.seed)?;
        println!("{} {}", point.x, point.y);
        return Ok(());
    }
    let mut results = Vec::new();
    for measurement in &options.measurements {
        results.push(measurement.run(options.seed, options.runs)?);
    }
    write_table(&results, options.format, &mut std::io::stdout().lock())
}
