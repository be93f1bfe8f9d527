//! Settings of a stand-in engine and of its service-time model.

use std::time::Duration;

use wagtailarch_types::{Assignment, GroupName, InstanceId, Role};

use crate::serve::ServeError;

/// Help text of the engine's options.
pub const ENGINE_HELP: &str = "\
OPTIONS:
  --port <N>                    port on loopback; 0 selects a free port and prints it [0]
  --name <NAME>                 name in reports [engine-1]
  --group <NAME>                group that requests must name [group]
  --role <ROLE>                 prefill, decode or mixed [mixed]
  --model <NAME>                model loaded at start [model]
  --version-name <NAME>         version loaded at start [v1]
  --adapters <A,B>              adapters loaded at start []
  --max-running <N>             requests in the batch at once [32]
  --max-queued <N>              queued requests; further ones are refused with code full [256]
  --checks-fencing              refuse orders with an old fencing number
  --prefill-us-per-token <N>    prefill cost of one prompt token [20]
  --step-base-us <N>            fixed time of one batch step [5000]
  --step-us-per-request <N>     additional time per decoding request [100]
  --prefill-chunk-tokens <N>    prompt tokens processed in one step at most [512]
  --cache-blocks <N>            prefix cache in blocks of 256 bytes [4096]
  --kv-capacity-tokens <N>      tokens for which kv_used_ratio is 1 [262144]
  --kv-bytes-per-token <N>      bytes per token of an exported KV cache [64]
  --change-ms <N>               duration of a change of role, model or version [3000]
  --report-lag-ms <N>           minimum age of reports when they are read [250]
  --stop-linger-ms <N>          minimum time to refuse new requests after SIGTERM [3000]
  --stop-grace-ms <N>           maximum time to finish running requests after SIGTERM [10000]

SERVICE TIME: a step takes step-base + step-per-request x decoding requests + prefill cost of the
prompt tokens in the step. Each decoding request gets one token per step. Leading prompt blocks in
the prefix cache cost nothing.

A prompt with the text CRASH-ON-RUN ends the process when it runs. STOP-AT-<n> in a prompt ends the
output after n tokens. Control: GET /standin/v1/counters, POST /standin/v1/{drain,undrain,crash}.";

/// Settings of one engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Port on loopback; 0 selects a free one.
    pub port: u16,
    /// Name in reports.
    pub name: InstanceId,
    /// Group that requests must name.
    pub group: GroupName,
    /// Assignment at start.
    pub assignment: Assignment,
    /// Maximum number of requests in the batch.
    pub max_running: usize,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Prefill cost of one prompt token.
    pub prefill_per_token: Duration,
    /// Fixed time of a batch step.
    pub step_base: Duration,
    /// Additional time of a step for each decoding request.
    pub step_per_request: Duration,
    /// Maximum number of prompt tokens processed in a step; at least 1.
    pub prefill_chunk_tokens: u32,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Number of tokens that fill the KV cache; at least 1.
    pub kv_capacity_tokens: u64,
    /// Size of an exported KV cache in bytes per token.
    pub kv_bytes_per_token: usize,
    /// Duration of a change of assignment.
    pub change_time: Duration,
    /// Minimum age of reports when they are read; at most 30 s.
    pub report_lag: Duration,
    /// Minimum time for which new requests are refused after SIGTERM.
    pub stop_linger: Duration,
    /// Maximum time to finish running requests after SIGTERM.
    pub stop_grace: Duration,
}

impl EngineSettings {
    /// Reads the settings from options.
    pub fn from_args(args: &mut pico_args::Arguments) -> Result<Self, ServeError> {
        Ok(Self {
            port: option(args, "--port", 0)?,
            name: option(args, "--name", InstanceId::from("engine-1"))?,
            group: option(args, "--group", GroupName::from("group"))?,
            assignment: read_assignment(args)?,
            max_running: option(args, "--max-running", 32)?,
            max_queued: option(args, "--max-queued", 256)?,
            checks_fencing: args.contains("--checks-fencing"),
            prefill_per_token: micros(args, "--prefill-us-per-token", 20)?,
            step_base: micros(args, "--step-base-us", 5000)?,
            step_per_request: micros(args, "--step-us-per-request", 100)?,
            prefill_chunk_tokens: option(args, "--prefill-chunk-tokens", 512)?.max(1),
            cache_blocks: option(args, "--cache-blocks", 4096)?,
            kv_capacity_tokens: option(args, "--kv-capacity-tokens", 262_144)?.max(1),
            kv_bytes_per_token: option(args, "--kv-bytes-per-token", 64)?,
            change_time: millis(args, "--change-ms", 3000)?,
            report_lag: millis(args, "--report-lag-ms", 250)?.min(Duration::from_secs(30)),
            stop_linger: millis(args, "--stop-linger-ms", 3000)?,
            stop_grace: millis(args, "--stop-grace-ms", 10_000)?,
        })
    }
}

/// Returns the value of an option, or the default if it is absent.
pub(crate) fn option<T>(
    args: &mut pico_args::Arguments,
    name: &'static str,
    default: T,
) -> Result<T, ServeError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    Ok(args.opt_value_from_str(name)?.unwrap_or(default))
}

/// Returns the value of an option in milliseconds.
pub(crate) fn millis(
    args: &mut pico_args::Arguments,
    name: &'static str,
    default: u64,
) -> Result<Duration, ServeError> {
    option(args, name, default).map(Duration::from_millis)
}

/// Returns the value of an option in microseconds.
fn micros(
    args: &mut pico_args::Arguments,
    name: &'static str,
    default: u64,
) -> Result<Duration, ServeError> {
    option(args, name, default).map(Duration::from_micros)
}

/// Reads the assignment at start from options.
fn read_assignment(args: &mut pico_args::Arguments) -> Result<Assignment, ServeError> {
    let role = args
        .opt_value_from_fn("--role", parse_role)?
        .unwrap_or(Role::Mixed);
    let adapters: String = option(args, "--adapters", String::new())?;
    let mut adapters: Vec<_> = adapters
        .split(',')
        .filter(|name| !name.is_empty())
        .map(Into::into)
        .collect();
    adapters.sort();
    adapters.dedup();
    Ok(Assignment {
        role,
        model: option(args, "--model", "model".into())?,
        version: option(args, "--version-name", "v1".into())?,
        adapters,
    })
}

fn parse_role(text: &str) -> Result<Role, String> {
    let role = Role::ALL.into_iter().find(|role| role.as_str() == text);
    role.ok_or_else(|| format!("unknown role {text:?}"))
}
