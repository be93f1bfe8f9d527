//! A run: sends the planned requests at their times and collects how they end.

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
use super::plan::{Arrival, ArrivalSchedule};
use super::recorder::{PostEnd, Recorder};
use super::report::LoadReport;
use super::scenario::{Scenario, ScenarioError};

/// Pause before a client repeats a non-idempotent call.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// Where requests go.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Targets {
    /// Addresses of entry instances or of their balancer; used in turn.
    pub entries: Vec<SmolStr>,
    /// Addresses of engines for direct calls; used in turn.
    pub engines: Vec<SmolStr>,
    /// Addresses of stand-in services whose runs are checked at the end.
    pub services: Vec<SmolStr>,
}

/// A run to be made.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// What is sent.
    pub scenario: Scenario,
    /// Where it goes.
    pub targets: Targets,
    /// Number of requests; if absent, the phases run once.
    pub requests: Option<u64>,
    /// Whether HTTP/2 with prior knowledge is used towards entry instances.
    pub http2: bool,
    /// Ends the run early when set: no further requests are sent.
    pub stop: Arc<AtomicBool>,
}

/// Counts while a run goes on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Requests sent.
    pub sent: u64,
    /// Requests that ended.
    pub ended: u64,
    /// Whole, own answers.
    pub completed: u64,
    /// Refused requests.
    pub refused: u64,
    /// Lost, doubled and mixed answers.
    pub faults: u64,
}

/// Why a run could not be made.
#[derive(Debug, Display)]
pub enum LoadError {
    /// {0}
    Scenario(ScenarioError),
    /// no address of an entry instance is given
    NoEntry,
    /// the scenario has direct calls, but no address of an engine is given
    NoEngine,
    /// cannot read the runs of the plain services: {0:?}
    Runs(RequestOutcome),
}

impl std::error::Error for LoadError {}

/// State that the requests of a run share.
struct Shared {
    load: LoadConfig,
    client: HttpClient,
    engine_client: HttpClient,
    recorder: Mutex<Recorder>,
    progress: Mutex<Progress>,
}

/// Makes a run; `report_progress` is called about once a second.
pub async fn run_load(
    load: LoadConfig,
    report_progress: impl Fn(Progress) + Send + 'static,
) -> Result<LoadReport, LoadError> {
    check(&load)?;
    let (seed, http2) = (load.scenario.seed, load.http2);
    let shared = Arc::new(Shared {
        client: http_client(http2),
        engine_client: http_client(false),
        recorder: Mutex::new(Recorder::new(&load.scenario)),
        progress: Mutex::new(Progress::default()),
        load,
    });
    let observer = Arc::clone(&shared);
    let ticker = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            report_progress(*observer.progress());
        }
    });
    let start = Instant::now();
    send_all(&shared, start).await;
    let duration_s = start.elapsed().as_secs_f64();
    ticker.abort();
    let counts = shared.check_runs().await.map_err(LoadError::Runs)?;
    let recorder = std::mem::replace(&mut *shared.recorder(), Recorder::new(shared.scenario()));
    let mut report = LoadReport::new(seed, duration_s, recorder);
    (
        report.ran_twice,
        report.ran_though_refused,
        report.answered_without_run,
    ) = counts;
    Ok(report)
}

fn check(load: &LoadConfig) -> Result<(), LoadError> {
    load.scenario.check().map_err(LoadError::Scenario)?;
    let phases = &load.scenario.phases;
    let indirect = |w: &super::scenario::KindWeights| w.stream + w.whole + w.get + w.post > 0.0;
    if phases.iter().any(|p| indirect(&p.weights)) && load.targets.entries.is_empty() {
        return Err(LoadError::NoEntry);
    }
    if phases.iter().any(|p| p.weights.direct > 0.0) && load.targets.engines.is_empty() {
        return Err(LoadError::NoEngine);
    }
    Ok(())
}

/// Sends all planned requests and waits until they have ended.
async fn send_all(shared: &Arc<Shared>, start: Instant) {
    let max_in_flight = shared.scenario().max_in_flight;
    let limit = Arc::new(Semaphore::new(max_in_flight));
    for arrival in ArrivalSchedule::new(shared.scenario(), shared.load.requests) {
        if shared.load.stop.load(Ordering::Relaxed) {
            break;
        }
        tokio::time::sleep_until(start + arrival.at).await;
        // An open loop does not wait for answers; what exceeds the bound is counted.
        let Ok(permit) = Arc::clone(&limit).try_acquire_owned() else {
            shared.recorder().not_sent += 1;
            continue;
        };
        let task = Arc::clone(shared);
        shared.progress().sent += 1;
        tokio::spawn(async move {
            task.run_one(arrival).await;
            drop(permit);
        });
    }
    let all = u32::try_from(max_in_flight).unwrap_or(u32::MAX);
    // The semaphore is never closed.
    let _ = limit.acquire_many(all).await;
}

impl Shared {
    fn scenario(&self) -> &Scenario {
        &self.load.scenario
    }

    fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address for the given attempt of a request.
    fn target(&self, arrival: &Arrival, attempt: u32) -> SmolStr {
        let addresses = match arrival.kind {
            RequestKind::Direct => &self.load.targets.engines,
            _ => &self.load.targets.entries,
        };
        let count = addresses.len() as u64;
        let at = (arrival.number + u64::from(attempt)) % count;
        addresses[usize::try_from(at).unwrap_or(0)].clone()
    }

    /// Sends one request and records how it ended.
    async fn run_one(&self, arrival: Arrival) {
        let mut attempt = 0;
        let (target, exchange) = loop {
            let target = self.target(&arrival, attempt);
            let exchange = self.exchange(&arrival, &target).await;
            let lost = matches!(
                exchange.outcome,
                RequestOutcome::Lost(_) | RequestOutcome::Unreachable(_)
            );
            let repeats =
                arrival.kind == RequestKind::Post && attempt < self.scenario().post_repeats;
            if !lost || !repeats {
                break (target, exchange);
            }
            attempt += 1;
            self.recorder().repeated += 1;
            tokio::time::sleep(REPEAT_PAUSE).await;
        };
        let mut recorder = self.recorder();
        recorder.record(&arrival, &target, &exchange);
        if arrival.kind == RequestKind::Post {
            // After a repeat, a refusal as not run says nothing about the first attempt.
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

    async fn exchange(&self, arrival: &Arrival, target: &SmolStr) -> Exchange {
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
        let ended = tokio::time::timeout(timeout, call).await;
        ended.unwrap_or_else(|_| {
            let outcome = RequestOutcome::Lost("no whole answer in time".into());
            Exchange::ended(outcome, SmolStr::default(), timeout)
        })
    }

    /// Compares the runs of non-idempotent calls with their answers; returns the counts of calls
    /// that ran twice, ran though refused as not run, and were answered without a run.
    async fn check_runs(&self) -> Result<(u64, u64, u64), RequestOutcome> {
        let services = &self.load.targets.services;
        if services.is_empty() {
            return Ok((0, 0, 0));
        }
        let runs = count_runs(&self.engine_client, services).await?;
        let mut recorder = self.recorder();
        let posts = recorder.posts.clone();
        let mut counts = (0, 0, 0);
        for (key, end) in &posts {
            let count = runs.get(key).copied().unwrap_or(0);
            match (end, count) {
                (_, 2..) => {
                    counts.0 += 1;
                    recorder.record_runs("ran_twice", key, count);
                }
                (PostEnd::NotRun, 1) => {
                    counts.1 += 1;
                    recorder.record_runs("ran_though_refused", key, count);
                }
                (PostEnd::Complete, 0) => {
                    counts.2 += 1;
                    recorder.record_runs("answered_without_run", key, count);
                }
                (PostEnd::Complete | PostEnd::Unknown, 1) => {}
                (PostEnd::NotRun | PostEnd::Unknown, 0) => {}
            }
        }
        Ok(counts)
    }
}
