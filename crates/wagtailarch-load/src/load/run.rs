//! Runs a load: sends the scheduled requests at their times and records their outcomes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::client::{HttpClient, call_model, http_client};
use super::direct::call_engine;
use super::outcome::{Exchange, RequestKind, RequestOutcome};
use super::plain::{call_plain, count_runs, idempotency_key};
use super::recorder::{PostOutcome, Recorder};
use super::report::LoadReport;
use super::scenario::{Scenario, ScenarioError};
use super::schedule::{Arrival, ArrivalSchedule};

/// Delay before a non-idempotent call is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(200);

/// Addresses that requests are sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Targets {
    /// Addresses of entry instances or of their balancer, used in turn.
    pub entries: Vec<SmolStr>,
    /// Addresses of engines for direct calls, used in turn.
    pub engines: Vec<SmolStr>,
    /// Addresses of stand-in services whose recorded runs are compared with the responses.
    pub services: Vec<SmolStr>,
}

/// Configuration of a run.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// Requests to send.
    pub scenario: Scenario,
    /// Addresses to send them to.
    pub targets: Targets,
    /// Number of requests; if `None`, the phases run once.
    pub requests: Option<u64>,
    /// Whether to use HTTP/2 with prior knowledge for calls through entry instances.
    pub http2: bool,
    /// Set to stop sending requests, so that the run ends early.
    pub stop: Arc<AtomicBool>,
}

/// Counts of requests during a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Requests sent.
    pub sent: u64,
    /// Requests whose outcome is known.
    pub ended: u64,
    /// Requests with a complete, correct response.
    pub completed: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests whose response was lost, doubled or mixed.
    pub faults: u64,
}

/// Error that prevents or aborts a run.
#[derive(Debug, Display)]
pub enum LoadError {
    /// {0}
    Scenario(ScenarioError),
    /// no address of an entry instance is given
    NoEntry,
    /// the scenario has direct calls, but no address of an engine is given
    NoEngine,
    /// cannot read the runs of the plain services: {0:?}
    RunList(RequestOutcome),
}

impl std::error::Error for LoadError {}

/// State shared by the requests of a run.
struct RunState {
    config: LoadConfig,
    client: HttpClient,
    engine_client: HttpClient,
    recorder: Mutex<Recorder>,
    progress: Mutex<Progress>,
}

/// Sends the load and returns the report.
///
/// `report_progress` is called about once a second.
pub async fn run_load(
    config: LoadConfig,
    report_progress: impl Fn(Progress) + Send + 'static,
) -> Result<LoadReport, LoadError> {
    validate(&config)?;
    let (seed, http2) = (config.scenario.seed, config.http2);
    let state = Arc::new(RunState {
        client: http_client(http2),
        engine_client: http_client(false),
        recorder: Mutex::new(Recorder::new(&config.scenario)),
        progress: Mutex::new(Progress::default()),
        config,
    });
    let progress_state = Arc::clone(&state);
    let progress_task = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            report_progress(*progress_state.progress());
        }
    });
    let start = Instant::now();
    send_all(&state, start).await;
    let duration_s = start.elapsed().as_secs_f64();
    progress_task.abort();
    let counts = state.check_runs().await.map_err(LoadError::RunList)?;
    let recorder = std::mem::replace(&mut *state.recorder(), Recorder::new(state.scenario()));
    let mut report = LoadReport::new(seed, duration_s, recorder);
    (
        report.ran_twice,
        report.ran_though_refused,
        report.answered_without_run,
    ) = counts;
    Ok(report)
}

/// Validates the scenario, and that the targets include an address for each kind of request.
fn validate(config: &LoadConfig) -> Result<(), LoadError> {
    config.scenario.validate().map_err(LoadError::Scenario)?;
    let phases = &config.scenario.phases;
    let uses_entry_instances = |weights: &super::scenario::KindWeights| {
        weights.stream + weights.whole + weights.get + weights.post > 0.0
    };
    if phases
        .iter()
        .any(|phase| uses_entry_instances(&phase.weights))
        && config.targets.entries.is_empty()
    {
        return Err(LoadError::NoEntry);
    }
    if phases.iter().any(|phase| phase.weights.direct > 0.0) && config.targets.engines.is_empty() {
        return Err(LoadError::NoEngine);
    }
    Ok(())
}

/// Sends all scheduled requests and waits for their outcomes.
async fn send_all(state: &Arc<RunState>, start: Instant) {
    let max_in_flight = state.scenario().max_in_flight;
    let in_flight = Arc::new(Semaphore::new(max_in_flight));
    for arrival in ArrivalSchedule::new(state.scenario(), state.config.requests) {
        if state.config.stop.load(Ordering::Relaxed) {
            break;
        }
        tokio::time::sleep_until(start + arrival.at).await;
        // Open-loop load does not wait for responses, so arrivals above the limit are only counted.
        let Ok(permit) = Arc::clone(&in_flight).try_acquire_owned() else {
            state.recorder().not_sent += 1;
            continue;
        };
        let request_state = Arc::clone(state);
        state.progress().sent += 1;
        tokio::spawn(async move {
            request_state.run_request(arrival).await;
            drop(permit);
        });
    }
    let all_permits = u32::try_from(max_in_flight).unwrap_or(u32::MAX);
    // The semaphore is never closed.
    let _ = in_flight.acquire_many(all_permits).await;
}

impl RunState {
    fn scenario(&self) -> &Scenario {
        &self.config.scenario
    }

    fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address for an attempt of a request, counted from 0.
    fn target(&self, arrival: &Arrival, attempt: u32) -> SmolStr {
        let addresses = match arrival.kind {
            RequestKind::Direct => &self.config.targets.engines,
            _ => &self.config.targets.entries,
        };
        let count = addresses.len() as u64;
        let index = (arrival.number + u64::from(attempt)) % count;
        addresses[usize::try_from(index).unwrap_or(0)].clone()
    }

    /// Sends a request, repeats it as the scenario permits, and records its outcome.
    async fn run_request(&self, arrival: Arrival) {
        let mut attempt = 0;
        let (target, exchange) = loop {
            let target = self.target(&arrival, attempt);
            let exchange = self.call(&arrival, &target).await;
            let is_lost = matches!(
                exchange.outcome,
                RequestOutcome::Lost(_) | RequestOutcome::Unreachable(_)
            );
            let may_repeat =
                arrival.kind == RequestKind::Post && attempt < self.scenario().post_repeats;
            if !is_lost || !may_repeat {
                break (target, exchange);
            }
            attempt += 1;
            self.recorder().repeated += 1;
            tokio::time::sleep(REPEAT_DELAY).await;
        };
        let mut recorder = self.recorder();
        recorder.record(&arrival, &target, &exchange);
        if arrival.kind == RequestKind::Post {
            // A refusal of a repeated call does not show whether an earlier attempt ran.
            let mut exchange = exchange.clone();
            if attempt > 0 && exchange.outcome != RequestOutcome::Complete {
                exchange.outcome = RequestOutcome::Lost("unknown after a repeat".into());
            }
            recorder.record_post(idempotency_key(self.scenario(), &arrival), &exchange);
        }
        drop(recorder);
        let mut progress = self.progress();
        progress.ended += 1;
        match exchange.outcome {
            RequestOutcome::Complete => progress.completed += 1,
            RequestOutcome::Refused(_) => progress.refused += 1,
            RequestOutcome::Lost(_) | RequestOutcome::Doubled(_) | RequestOutcome::Mixed(_) => {
                progress.faults += 1
            }
            RequestOutcome::Unreachable(_) => {}
        }
    }

    /// Sends a request once, with the timeout of the scenario.
    async fn call(&self, arrival: &Arrival, target: &SmolStr) -> Exchange {
        let timeout = Duration::from_secs_f64(self.scenario().timeout_s);
        let call = async {
            match arrival.kind {
                RequestKind::Stream | RequestKind::Whole => {
                    call_model(&self.client, target, self.scenario(), arrival).await
                }
                RequestKind::Get | RequestKind::Post => {
                    call_plain(&self.client, target, self.scenario(), arrival).await
                }
                RequestKind::Direct => {
                    call_engine(&self.engine_client, target, self.scenario(), arrival).await
                }
            }
        };
        let result = tokio::time::timeout(timeout, call).await;
        result.unwrap_or_else(|_| {
            let outcome = RequestOutcome::Lost("no complete response within the timeout".into());
            Exchange::without_tokens(outcome, SmolStr::default(), timeout)
        })
    }

    /// Compares the recorded runs of non-idempotent calls with their responses.
    ///
    /// Returns the number of calls that ran more than once, of those that ran although they were
    /// refused as not run, and of those that completed without a run.
    async fn check_runs(&self) -> Result<(u64, u64, u64), RequestOutcome> {
        let services = &self.config.targets.services;
        if services.is_empty() {
            return Ok((0, 0, 0));
        }
        let runs = count_runs(&self.engine_client, services).await?;
        let mut recorder = self.recorder();
        let post_outcomes = recorder.post_outcomes.clone();
        let mut counts = (0, 0, 0);
        for (key, outcome) in &post_outcomes {
            let count = runs.get(key).copied().unwrap_or(0);
            match (outcome, count) {
                (_, 2..) => {
                    counts.0 += 1;
                    recorder.record_run_fault("ran_twice", key, count);
                }
                (PostOutcome::NotRun, 1) => {
                    counts.1 += 1;
                    recorder.record_run_fault("ran_though_refused", key, count);
                }
                (PostOutcome::Complete, 0) => {
                    counts.2 += 1;
                    recorder.record_run_fault("answered_without_run", key, count);
                }
                (PostOutcome::Complete | PostOutcome::Unknown, 1) => {}
                (PostOutcome::NotRun | PostOutcome::Unknown, 0) => {}
            }
        }
        Ok(counts)
    }
}
