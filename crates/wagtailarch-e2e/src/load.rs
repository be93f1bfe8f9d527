//! Load that runs in the background of a test.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use wagtailarch_load::load::{
    DirectCall, KindWeights, LoadConfig, LoadReport, MixPhase, Progress, Scenario, Targets,
    TokenRange, run_load,
};

use crate::{ENGINE_GROUP, HarnessError, KEY, MODEL, VERSIONS};

/// Maximum duration of a load; tests stop it much earlier.
const MAX_LOAD_S: f64 = 120.0;

/// A load that runs in the background.
#[derive(Debug)]
pub struct LoadHandle {
    stop: Arc<AtomicBool>,
    progress: watch::Receiver<Progress>,
    task: JoinHandle<Result<LoadReport, String>>,
}

impl LoadHandle {
    /// Starts a load of `requests` requests.
    ///
    /// Without a number, it sends requests until [`finish`](Self::finish) is called, but for at
    /// most `MAX_LOAD_S`.
    pub fn start(scenario: Scenario, targets: Targets, requests: Option<u64>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (sender, progress) = watch::channel(Progress::default());
        let load = LoadConfig {
            scenario,
            targets,
            requests,
            http2: false,
            stop: Arc::clone(&stop),
        };
        let task = tokio::spawn(async move {
            let observer = move |progress| {
                // Sending fails only after the handle was dropped.
                let _ = sender.send(progress);
            };
            run_load(load, observer)
                .await
                .map_err(|error| error.to_string())
        });
        Self {
            stop,
            progress,
            task,
        }
    }

    /// Waits until `more` further requests are completed.
    pub async fn wait_completed(&mut self, more: u64) -> Result<(), HarnessError> {
        let target = self.progress.borrow().completed + more;
        let timeout = Duration::from_secs(25);
        let reached = self
            .progress
            .wait_for(|progress| progress.completed >= target);
        let awaited = || format!("{more} more completed requests");
        match tokio::time::timeout(timeout, reached).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) => Err(HarnessError::Load(format!("it ended before {}", awaited()))),
            Err(_) => Err(HarnessError::Timeout {
                awaited: awaited(),
                timeout_s: timeout.as_secs(),
            }),
        }
    }

    /// Calls `print` about once a second until the load has ended.
    pub async fn print_progress(&mut self, print: impl Fn(Progress)) {
        while self.progress.changed().await.is_ok() {
            print(*self.progress.borrow_and_update());
        }
    }

    /// Stops sending requests, waits for all responses and returns the report.
    pub async fn finish(self) -> Result<LoadReport, HarnessError> {
        self.stop.store(true, Ordering::Relaxed);
        self.join().await
    }

    /// Waits until all requests have been sent and answered, and returns the report.
    pub async fn join(self) -> Result<LoadReport, HarnessError> {
        let joined = self
            .task
            .await
            .map_err(|error| HarnessError::Load(error.to_string()))?;
        joined.map_err(HarnessError::Load)
    }
}

/// Returns a scenario with one phase, whose mix of requests follows `weights`.
pub fn scenario(seed: u64, rate_per_s: f64, weights: KindWeights) -> Scenario {
    Scenario {
        seed,
        model: MODEL.into(),
        keys: vec![KEY.into()],
        get_path: "/lids/shows".into(),
        post_path: "/lids/reservations".into(),
        timeout_s: 30.0,
        max_in_flight: 2000,
        post_repeats: 0,
        first_token_target_ms: 340.0,
        between_target_ms: 43.0,
        direct: Some(DirectCall {
            group: ENGINE_GROUP.into(),
            model: MODEL.into(),
            version: VERSIONS[0].into(),
            adapter: None,
        }),
        phases: vec![MixPhase {
            duration_s: MAX_LOAD_S,
            rate_per_s,
            ramp: false,
            prompt_tokens: TokenRange { min: 64, max: 512 },
            output_tokens: TokenRange { min: 16, max: 96 },
            shared_tokens: 64,
            families: 8,
            weights,
        }],
    }
}
