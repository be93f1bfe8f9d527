//! Measures how the cost of the decision code grows with the size of a fleet.

use std::process::ExitCode;

use wagtailarch_load::capacity::{
    CapacityError, Measurement, TableFormat, measurements, write_table,
};

const HELP: &str = "\
wagtail-capacity: measures costs of the decision code over several sizes, fits a line to each and
prints its value at the design size of docs/design.md beside the target.

USAGE: wagtail-capacity [OPTIONS]

OPTIONS:
  --only <NAME>      measurement (repeatable); all without it
  --output <FORMAT>  text or csv (default text)
  --seed <N>         seed of all random choices (default 1)
  --runs <N>         runs of each measurement, 1 to 20 (default 3); the line is that of the median
                     run, and the spread of the value at the design size is printed beside it
  --list             names of the measurements
  --help, --version

EXIT CODE: 0 the measurements were made, whether or not the targets were met (see the column
\"result\"); 1 one failed; 2 the options are wrong.";

/// Options of the program.
struct Options {
    measurements: Vec<Measurement>,
    format: TableFormat,
    seed: u64,
    runs: u32,
    /// Size of the only point to measure, in a process of its own.
    point: Option<u32>,
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
        for slope in measurements() {
            println!("{}: {} by {}", slope.name, slope.quantity, slope.size_of);
        }
        return ExitCode::SUCCESS;
    }
    let options = match parse(args) {
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

fn parse(mut args: pico_args::Arguments) -> Result<Options, Box<dyn std::error::Error>> {
    let mut names: Vec<String> = args.values_from_str("--only")?;
    // Used by the program itself for measurements that need a process of their own.
    names.extend(args.opt_value_from_str::<_, String>("--point")?);
    let format: String = args
        .opt_value_from_str("--output")?
        .unwrap_or_else(|| "text".into());
    let options = Options {
        measurements: select(&names)?,
        format: TableFormat::parse(&format).ok_or_else(|| format!("unknown format: {format}"))?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        runs: args.opt_value_from_str("--runs")?.unwrap_or(3).clamp(1, 20),
        point: args.opt_value_from_str("--size")?,
    };
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments: {rest:?}").into());
    }
    Ok(options)
}

fn select(names: &[String]) -> Result<Vec<Measurement>, CapacityError> {
    let all = measurements();
    if names.is_empty() {
        return Ok(all);
    }
    let mut chosen = Vec::new();
    for name in names {
        let slope = all.iter().find(|slope| slope.name == name);
        chosen.push(*slope.ok_or_else(|| CapacityError::UnknownMeasurement(name.clone()))?);
    }
    Ok(chosen)
}

fn run(options: &Options) -> Result<(), CapacityError> {
    if let (Some(size), [slope]) = (options.point, options.measurements.as_slice()) {
        let point = slope.measure_in_process(size, options.seed)?;
        println!("{} {}", point.x, point.y);
        return Ok(());
    }
    let mut results = Vec::new();
    for slope in &options.measurements {
        results.push(slope.run(options.seed, options.runs)?);
    }
    write_table(&results, options.format, &mut std::io::stdout().lock())
}
