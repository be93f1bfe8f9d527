//! Benchmarks of entry instances in a test fleet on loopback.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use wagtailarch_e2e::weights::MIXED;
use wagtailarch_e2e::{FleetOptions, HarnessError, LoadHandle, ProcessUsage, TestFleet, scenario};
use wagtailarch_load::load::{KindWeights, LoadReport, RequestKind, Scenario, Targets, TokenRange};

const HELP: &str = "\
wagtail-bench: measures entry instances in a fleet on loopback.

USAGE: wagtail-bench <COMMAND> [OPTIONS]

COMMANDS:
  requests     a mixed load through 3 entry instances [--requests 10000, --rate 400]
  latency      time added to the first token against direct calls in the same run: half of the
               arrivals go through an entry instance [--requests 8000, --rate 400]
  throughput   plain calls and short completions through one entry instance with two traffic
               threads [--requests 40000, --rate 5000]
  tokens       processor time of one entry instance for each streamed request, by answer length
               [--requests 3000, --rate 300]
  idle         processor, memory and platform calls of an entry instance without load [--seconds 30]

OPTIONS:
  --requests <N>, --rate <N per s>, --seconds <N>, --help, --version";

/// Options of the commands.
struct Options {
    requests: Option<u64>,
    rate_per_s: Option<f64>,
    seconds: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("wagtail-bench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let (command, options) = match parse(args) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("wagtail-bench: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match command.as_str() {
        "requests" => requests(&options).await,
        "latency" => latency(&options).await,
        "throughput" => throughput(&options).await,
        "tokens" => tokens(&options).await,
        "idle" => idle(&options).await,
        _ => {
            eprintln!("wagtail-bench: unknown command {command}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wagtail-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut args: pico_args::Arguments) -> Result<(String, Options), pico_args::Error> {
    let command = args.subcommand()?.unwrap_or_default();
    let options = Options {
        requests: args.opt_value_from_str("--requests")?,
        rate_per_s: args.opt_value_from_str("--rate")?,
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(30),
    };
    Ok((command, options))
}

/// Runs a mixed load through three entry instances.
async fn requests(options: &Options) -> Result<(), HarnessError> {
    let fleet = TestFleet::start(FleetOptions {
        engines: 6,
        ..FleetOptions::default()
    })
    .await?;
    let scenario = scenario(31, options.rate_per_s.unwrap_or(400.0), MIXED);
    let count = options.requests.unwrap_or(10_000);
    let report = LoadHandle::start(scenario, fleet.targets(), Some(count))
        .join()
        .await?;
    println!("{report}");
    Ok(())
}

/// Measures the time that an entry instance adds to the first token, against direct calls.
async fn latency(options: &Options) -> Result<(), HarnessError> {
    let fleet = TestFleet::start(fast_fleet(1, 4)).await?;
    let weights = KindWeights {
        stream: 1.0,
        direct: 1.0,
        ..KindWeights::default()
    };
    let rate_per_s = options.rate_per_s.unwrap_or(400.0);
    let scenario = with_short_prompts(
        scenario(32, rate_per_s, weights),
        TokenRange { min: 4, max: 8 },
    );
    let count = options.requests.unwrap_or(8000);
    let report = LoadHandle::start(scenario, fleet.entry_targets(), Some(count))
        .join()
        .await?;
    println!("{report}");
    Ok(())
}

/// Measures the throughput of one entry instance with plain calls and with short completions.
async fn throughput(options: &Options) -> Result<(), HarnessError> {
    let rate_per_s = options.rate_per_s.unwrap_or(5000.0);
    let count = options.requests.unwrap_or(40_000);
    for (name, kind) in [
        ("plain calls", RequestKind::Get),
        ("completions of one token", RequestKind::Whole),
    ] {
        let fleet = TestFleet::start(fast_fleet(1, 6)).await?;
        let weights = match kind {
            RequestKind::Get => KindWeights {
                get: 1.0,
                ..KindWeights::default()
            },
            _ => KindWeights {
                whole: 1.0,
                ..KindWeights::default()
            },
        };
        let scenario = with_short_prompts(
            scenario(33, rate_per_s, weights),
            TokenRange { min: 1, max: 1 },
        );
        // Only the runs of non-idempotent calls are checked, and there are none here.
        let targets = Targets {
            services: Vec::new(),
            ..fleet.entry_targets()
        };
        let id = fleet.entries[0].process.id();
        let before = ProcessUsage::of(id)?;
        let report = LoadHandle::start(scenario, targets, Some(count))
            .join()
            .await?;
        let processor_s = ProcessUsage::of(id)?.processor_s - before.processor_s;
        println!("{name}:\n{report}");
        print_throughput(&report, processor_s);
    }
    Ok(())
}

fn print_throughput(report: &LoadReport, processor_s: f64) {
    let cores = processor_s / report.duration_s;
    let per_core_s = report.completed as f64 / processor_s.max(1e-9);
    println!(
        "completed {:.0}/s with {cores:.2} cores: {per_core_s:.0} per second of one core, \
         {:.0}/s on two cores\n",
        report.goodput_per_s,
        2.0 * per_core_s
    );
}

/// Measures the processor time per streamed request for several answer lengths.
///
/// The time per request and the time per token follow from a linear fit of the printed lines.
async fn tokens(options: &Options) -> Result<(), HarnessError> {
    let rate_per_s = options.rate_per_s.unwrap_or(300.0);
    let count = options.requests.unwrap_or(3_000);
    for length in [1, 16, 64, 128, 256] {
        let fleet = TestFleet::start(fast_fleet(1, 6)).await?;
        let weights = KindWeights {
            stream: 1.0,
            ..KindWeights::default()
        };
        let lengths = TokenRange {
            min: length,
            max: length,
        };
        let scenario = with_short_prompts(scenario(34, rate_per_s, weights), lengths);
        let id = fleet.entries[0].process.id();
        let before = ProcessUsage::of(id)?;
        let report = LoadHandle::start(scenario, fleet.entry_targets(), Some(count))
            .join()
            .await?;
        let after = ProcessUsage::of(id)?;
        println!(
            "{length} tokens: {} completed at {:.0}/s, {:.1} us of a core each, {:.1} MB",
            report.completed,
            report.goodput_per_s,
            (after.processor_s - before.processor_s) * 1e6 / report.completed.max(1) as f64,
            after.memory_bytes as f64 / 1e6
        );
    }
    Ok(())
}

/// Measures the processor time, memory and platform calls of entry instances without load.
async fn idle(options: &Options) -> Result<(), HarnessError> {
    let fleet = TestFleet::start(FleetOptions {
        engines: 6,
        ..FleetOptions::default()
    })
    .await?;
    // Excludes the cost of the start.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let counters_before = fleet.platform_counters().await?;
    let mut usage_before = Vec::new();
    for entry in &fleet.entries {
        usage_before.push(ProcessUsage::of(entry.process.id())?);
    }
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let time_s = start.elapsed().as_secs_f64();
    for (entry, before) in fleet.entries.iter().zip(usage_before) {
        let after = ProcessUsage::of(entry.process.id())?;
        println!(
            "{}: {:.2}% of a core, {:.1} MB",
            entry.id,
            (after.processor_s - before.processor_s) / time_s * 100.0,
            after.memory_bytes as f64 / 1e6
        );
    }
    let counters_after = fleet.platform_counters().await?;
    let per_s = |after: u64, before: u64| (after - before) as f64 / time_s;
    println!(
        "platform, from all {} entry instances: {:.2} reads/s, {:.2} writes/s",
        fleet.entries.len(),
        per_s(counters_after.reads, counters_before.reads),
        per_s(counters_after.writes, counters_before.writes)
    );
    Ok(())
}

/// Returns a fleet whose engines respond fast, so that entry instances are the bottleneck.
fn fast_fleet(entries: usize, engines: usize) -> FleetOptions {
    let engine_args = [
        ("--step-base-us", "500"),
        ("--step-us-per-request", "0"),
        ("--prefill-us-per-token", "0"),
        ("--prefill-chunk-tokens", "1000000"),
        ("--max-running", "1024"),
        ("--max-queued", "4096"),
    ];
    let args = engine_args
        .iter()
        .flat_map(|(name, value)| [(*name).into(), (*value).into()]);
    let mut options = FleetOptions {
        entries,
        engines,
        services: 4,
        ..FleetOptions::default()
    };
    options.file.zones.truncate(1);
    options.engine_args = args.collect();
    options
}

/// Returns the scenario with short prompts that share no prefix, and with these answer lengths.
fn with_short_prompts(mut scenario: Scenario, output_tokens: TokenRange) -> Scenario {
    scenario.phases[0].output_tokens = output_tokens;
    scenario.phases[0].prompt_tokens = TokenRange { min: 16, max: 64 };
    scenario.phases[0].shared_tokens = 0;
    scenario
}
