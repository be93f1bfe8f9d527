//! Demonstration of a test fleet on loopback under mixed load.

use std::process::ExitCode;
use std::time::Instant;

use wagtailarch_e2e::weights::MIXED;
use wagtailarch_e2e::{
    FleetOptions, HarnessError, KEY, LoadHandle, MODEL, Ports, TestFleet, scenario,
};
use wagtailarch_load::load::{LoadReport, Scenario, TokenRange};

const HELP: &str = "\
wagtail-demo: starts a fleet on loopback, applies a fleet file, and checks every answer of a load.

Two availability zones, 3 entry instances, 6 stand-in engines, 1 stand-in service, the stand-ins of
the platform and its balancer. All processes are ended at the end.

OPTIONS:
  --requests <N>   number of requests [1200]
  --rate <N>       arrivals per second [80]
  --hold           keep the fleet running after the load until Ctrl-C
  --help, --version";

/// Options of the demonstration.
struct Options {
    requests: u64,
    rate_per_s: f64,
    hold: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("wagtail-demo {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let options = match parse(args) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("wagtail-demo: {error}");
            return ExitCode::from(2);
        }
    };
    // An interrupt drops the fleet, which kills its processes.
    let result = tokio::select! {
        result = run(&options) => result,
        _ = tokio::signal::ctrl_c() => {
            eprintln!("interrupted");
            return ExitCode::FAILURE;
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("wagtail-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut args: pico_args::Arguments) -> Result<Options, String> {
    let number = |result: Result<Option<f64>, pico_args::Error>, default: f64| {
        result
            .map(|value| value.unwrap_or(default))
            .map_err(|error| error.to_string())
    };
    let requests: Result<Option<u64>, _> = args.opt_value_from_str("--requests");
    let options = Options {
        requests: requests.map_err(|error| error.to_string())?.unwrap_or(1200),
        rate_per_s: number(args.opt_value_from_str("--rate"), 80.0)?,
        hold: args.contains("--hold"),
    };
    let unknown = args.finish();
    if unknown.is_empty() {
        Ok(options)
    } else {
        Err(format!("unknown arguments: {unknown:?}"))
    }
}

/// Runs the demonstration; returns whether it found no error.
async fn run(options: &Options) -> Result<bool, HarnessError> {
    let start = Instant::now();
    println!("starting 3 entry instances, 6 engines, 1 service, platform and balancer ...");
    let mut fleet = TestFleet::start(fleet_options()).await?;
    println!(
        "ready after {:.1} s; clients connect to {}",
        elapsed_s(start),
        fleet.balancer
    );
    fleet.wait_in_force(1).await?;
    print!("wagtailctl: {}", fleet.ctl(&["status"]).await?.text);
    let load = demo_scenario(options);
    println!(
        "sending {} requests at {}/s ...",
        options.requests, options.rate_per_s
    );
    let mut handle = LoadHandle::start(load, fleet.targets(), Some(options.requests));
    handle
        .print_progress(|p| {
            println!(
                "  sent {:>6}  completed {:>6}  refused {:>4}  faults {:>3}",
                p.sent, p.completed, p.refused, p.faults
            );
        })
        .await;
    let report = handle.join().await?;
    println!("\n{report}");
    let engines_ok = print_engines(&fleet).await?;
    if options.hold {
        println!(
            "holding; bearer key {KEY}, model {MODEL}, http://{}; Ctrl-C ends",
            fleet.balancer
        );
        std::future::pending::<()>().await;
    }
    fleet.check_running()?;
    let stopped = fleet.stop().await?;
    let ok = all_completed(&report) && engines_ok && stopped;
    let result = if ok { "ok" } else { "FAILED" };
    println!(
        "stopped cleanly: {stopped}; {result} after {:.1} s",
        elapsed_s(start)
    );
    Ok(ok)
}

fn elapsed_s(start: Instant) -> f64 {
    start.elapsed().as_secs_f64()
}

fn fleet_options() -> FleetOptions {
    FleetOptions {
        engines: 6,
        ports: Ports::DEMONSTRATION,
        ..FleetOptions::default()
    }
}

/// Returns a scenario whose mix ramps from long prompts to long answers and back.
fn demo_scenario(options: &Options) -> Scenario {
    let mut scenario = scenario(2026, options.rate_per_s, MIXED);
    let mut long_prompts = scenario.phases[0];
    long_prompts.duration_s = 5.0;
    long_prompts.ramp = true;
    long_prompts.prompt_tokens = TokenRange {
        min: 512,
        max: 2048,
    };
    long_prompts.output_tokens = TokenRange { min: 8, max: 32 };
    let mut long_answers = long_prompts;
    long_answers.prompt_tokens = TokenRange { min: 32, max: 128 };
    long_answers.output_tokens = TokenRange { min: 64, max: 160 };
    scenario.phases = vec![long_prompts, long_answers];
    scenario
}

/// Prints the state and counters of the engines; returns whether no request was aborted and no
/// order conflicted.
async fn print_engines(fleet: &TestFleet) -> Result<bool, HarnessError> {
    let (mut aborted_requests, mut conflicts) = (0, 0);
    for number in 0..fleet.engines.len() {
        let counters = fleet.engine_counters(number).await?;
        let report = fleet.engine_report(number).await?;
        println!(
            "engine {number} in {}: role {}, version {}, {} requests, {} tokens, {} changes",
            fleet.zone(number),
            report.role,
            report.version,
            counters.completed,
            counters.decoded_tokens,
            counters.changes
        );
        aborted_requests += counters.aborted_requests;
        conflicts += counters.order_conflicts;
    }
    println!("cut requests: {aborted_requests}, conflicting orders: {conflicts}");
    Ok(aborted_requests == 0 && conflicts == 0)
}

/// Returns whether every request was completed; a fleet without failures refuses none.
fn all_completed(report: &LoadReport) -> bool {
    !report.has_faults() && report.completed == report.sent
}
