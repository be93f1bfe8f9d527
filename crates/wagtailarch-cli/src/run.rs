//! Execution of commands.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::future::try_join_all;
use wagtailarch_fleet::{Finding, Fleet, MAX_FILE_BYTES, Manifest, diff, format_key_hash};
use wagtailarch_platform::{
    ConfigError, ConfigStore, HttpPlatform, HttpPlatformConfig, Platform, RetryLimits,
};
use wagtailarch_types::{Generation, hash_key};
use wagtailarch_wire::{explanation::MAX_EXPLAINED_BYTES, records::status_key};

use crate::args::{ApplyBase, Command, DiffSource};
use crate::ask::{AskError, ask};
use crate::report::Report;
use crate::status::{StatusReport, evaluate_status};

/// Interval between two checks of the status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum length of a bearer key.
const MAX_KEY_BYTES: u64 = 4_096;
/// Number of attempts per step.
///
/// With a timeout of 2 s per call, a command fails within about 20 s if the platform is
/// unresponsive.
const ATTEMPTS: u32 = 4;

/// Report of a command that failed before its result was known.
type ErrorReport = Box<Report>;

/// Runs a command and returns its report.
pub async fn run(command: Command) -> Report {
    match execute(command).await {
        Ok(report) => report,
        Err(report) => *report,
    }
}

/// Validates the text of a file.
pub fn validate(name: &str, text: &str) -> Result<Fleet, Vec<Finding>> {
    Fleet::parse(name, text)
}

async fn execute(command: Command) -> Result<Report, ErrorReport> {
    match command {
        Command::Help => Ok(Report::Text(crate::HELP.into())),
        Command::Version => Ok(Report::Text(format!("{}\n", env!("CARGO_PKG_VERSION")))),
        Command::Validate { files } => validate_files(&files),
        Command::Apply {
            file,
            base,
            applied_by,
            platform,
        } => {
            let fleet = read_fleet(&file)?;
            apply(&connect(platform, &applied_by), base, &fleet).await
        }
        Command::Diff { before, after } => {
            let after = read_fleet(&after)?;
            let before = match before {
                DiffSource::File(file) => read_fleet(&file)?,
                DiffSource::Platform(platform) => load(&connect(platform, "")).await?.1,
            };
            Ok(Report::Diff(diff(&before, &after)))
        }
        Command::Get { platform } => {
            let (manifest, fleet) = load(&connect(platform, "")).await?;
            Ok(Report::Fleet {
                manifest: Box::new(manifest),
                fleet: Box::new(fleet),
            })
        }
        Command::Status {
            generation,
            max_wait,
            platform,
        } => {
            let platform: Arc<dyn Platform> = Arc::new(HttpPlatform::new(platform));
            wait_for_status(platform, generation, max_wait).await
        }
        Command::HashKey => hash_key_from(std::io::stdin().lock()),
        Command::Explain { file, instance } => explain(file.as_deref(), instance).await,
    }
}

/// Creates a configuration store; `applied_by` names the operator in the manifests of its applies.
fn connect(platform: HttpPlatformConfig, applied_by: &str) -> ConfigStore {
    let limits = RetryLimits {
        attempts: ATTEMPTS,
        ..RetryLimits::default()
    };
    ConfigStore::with_limits(Arc::new(HttpPlatform::new(platform)), applied_by, limits)
}

fn validate_files(files: &[PathBuf]) -> Result<Report, ErrorReport> {
    let mut findings = Vec::new();
    for file in files {
        if let Err(file_findings) = validate(&file.display().to_string(), &read_text(file)?) {
            findings.extend(file_findings);
        }
    }
    Ok(Report::Findings(findings))
}

fn read_fleet(file: &Path) -> Result<Fleet, ErrorReport> {
    let text = read_text(file)?;
    validate(&file.display().to_string(), &text)
        .map_err(|findings| Box::new(Report::Findings(findings)))
}

/// Reads a file, but at most one byte more than the maximum size, which the validation reports.
fn read_text(file: &Path) -> Result<String, ErrorReport> {
    let usage_error = |error: std::io::Error| {
        Box::new(Report::Usage(format!(
            "{} cannot be read: {error}",
            file.display()
        )))
    };
    let mut text = String::new();
    let reader = std::fs::File::open(file).map_err(usage_error)?;
    reader
        .take(MAX_FILE_BYTES as u64 + 1)
        .read_to_string(&mut text)
        .map_err(usage_error)?;
    Ok(text)
}

async fn apply(store: &ConfigStore, base: ApplyBase, fleet: &Fleet) -> Result<Report, ErrorReport> {
    let base = match base {
        ApplyBase::Generation(generation) => generation,
        ApplyBase::Current => store
            .current()
            .await
            .map_err(platform_failure)?
            .map_or(0, |m| m.generation),
    };
    let outcome = store
        .apply(base, fleet, rand::random())
        .await
        .map_err(platform_failure)?;
    Ok(Report::Applied(outcome))
}

/// Reads the configuration in force.
async fn load(store: &ConfigStore) -> Result<(Manifest, Fleet), ErrorReport> {
    let manifest = store.current().await.map_err(platform_failure)?;
    let manifest = manifest.ok_or_else(|| Box::new(Report::NoConfiguration))?;
    let fleet = store.load(&manifest).await.map_err(platform_failure)?;
    Ok((manifest, fleet))
}

/// Checks the status until the generation is in force everywhere or `max_wait` has elapsed.
async fn wait_for_status(
    platform: Arc<dyn Platform>,
    generation: Option<Generation>,
    max_wait: Duration,
) -> Result<Report, ErrorReport> {
    let limits = RetryLimits {
        attempts: ATTEMPTS,
        ..RetryLimits::default()
    };
    let store = ConfigStore::with_limits(Arc::clone(&platform), "", limits);
    let start = Instant::now();
    let mut target = generation;
    loop {
        let result = read_status(&platform, &store, target).await;
        let report = match result {
            Ok(Some(status)) if status.everywhere => return Ok(Report::Status(status)),
            Ok(Some(status)) => {
                // A generation that is applied during the wait does not replace the awaited one.
                target = Some(status.generation);
                Report::Status(status)
            }
            Ok(None) => Report::NoConfiguration,
            Err(error) => Report::Failed(error),
        };
        if start.elapsed() + STATUS_INTERVAL > max_wait {
            return Ok(report);
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// Reads the status once; `None` if no configuration was ever applied.
async fn read_status(
    platform: &Arc<dyn Platform>,
    store: &ConfigStore,
    generation: Option<Generation>,
) -> Result<Option<StatusReport>, ConfigError> {
    let Some(manifest) = store.current().await? else {
        return Ok(None);
    };
    let zones = store.load_core(&manifest).await?.fleet.zones;
    let reads = zones.into_iter().map(|zone| async move {
        let object = platform.get(&status_key(&zone)).await?;
        Ok::<_, ConfigError>((zone, object.map(|object| object.value.to_vec())))
    });
    let records = try_join_all(reads).await?;
    let newest = manifest.generation;
    Ok(Some(evaluate_status(
        generation.unwrap_or(newest),
        newest,
        records,
        now_ms(),
    )))
}

/// Reads a bearer key and returns its hash.
fn hash_key_from(input: impl Read) -> Result<Report, ErrorReport> {
    let usage_error = |message: String| Box::new(Report::Usage(message));
    let mut text = String::new();
    let mut input = input.take(MAX_KEY_BYTES + 1);
    input
        .read_to_string(&mut text)
        .map_err(|error| usage_error(format!("the key cannot be read: {error}")))?;
    let key = text.trim_end_matches(['\r', '\n']);
    // The key is sent in the `Authorization` header, after `Bearer `.
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(usage_error(
            "the key must consist of visible ASCII characters, no blanks".into(),
        ));
    }
    if text.len() as u64 > MAX_KEY_BYTES {
        return Err(usage_error(format!(
            "the key is longer than {MAX_KEY_BYTES} bytes"
        )));
    }
    Ok(Report::KeyHash(format_key_hash(&hash_key(key))))
}

/// Asks an instance where a request would go; the request is neither printed nor sent to a server.
async fn explain(file: Option<&Path>, instance: SocketAddr) -> Result<Report, ErrorReport> {
    let message = match file {
        Some(file) => std::fs::File::open(file).and_then(read_message),
        None => read_message(std::io::stdin().lock()),
    };
    let message = message.map_err(|error| {
        let name = file.map_or("standard input".into(), |file| file.display().to_string());
        Box::new(Report::Usage(format!("{name} cannot be read: {error}")))
    })?;
    match ask(instance, message).await {
        Ok(explanation) => Ok(Report::Explanation(Box::new(explanation))),
        Err(AskError::Refused(message)) => Err(Box::new(Report::Usage(message))),
        Err(AskError::Failed(message)) => Err(Box::new(Report::InstanceFailed(message))),
    }
}

/// Reads a request, but at most one byte more than the maximum size, which the instance reports.
fn read_message(reader: impl Read) -> std::io::Result<Vec<u8>> {
    let mut message = Vec::new();
    let mut reader = reader.take(MAX_EXPLAINED_BYTES as u64 + 1);
    reader.read_to_end(&mut message)?;
    Ok(message)
}

fn platform_failure(error: ConfigError) -> ErrorReport {
    Box::new(Report::Failed(error))
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
