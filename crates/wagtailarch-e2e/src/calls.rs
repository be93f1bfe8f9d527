//! Calls to the processes of a test fleet.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wagtailarch_standin::engine::EngineCounters;
use wagtailarch_standin::platform::{Milliseconds, PlatformCounters, StateChange};
use wagtailarch_standin::service::Run;
use wagtailarch_wire::engine::EngineReport;
use wagtailarch_wire::platform::ListedState;
use wagtailarch_wire::records::LeaseRecord;

use crate::ctl::{CtlOutput, run_ctl};
use crate::fleet::{CONDITION_TIMEOUT, POLL_INTERVAL, check_timeout};
use crate::{EntryProcess, FleetFile, HarnessError, HttpResponse, KEY, TestFleet, call};

impl TestFleet {
    /// Makes a call to the control API of the platform stand-in.
    pub async fn control_platform(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), HarnessError> {
        let path = format!("/standin/v1/{path}");
        let body = serde_json::to_string(body).map_err(|e| HarnessError::Call(e.to_string()))?;
        let response = call(Method::POST, self.platform, &path, &[], body).await?;
        if response.status == StatusCode::NO_CONTENT {
            return Ok(());
        }
        Err(HarnessError::Call(format!(
            "{path}: status {}",
            response.status
        )))
    }

    /// Makes the platform unavailable for `time`.
    pub async fn start_platform_outage(&self, time: Duration) -> Result<(), HarnessError> {
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.control_platform("outage", &Milliseconds { ms }).await
    }

    /// Sets the state of an instance in the platform's list.
    pub async fn set_listed_state(&self, id: &str, state: ListedState) -> Result<(), HarnessError> {
        self.control_platform(
            "instances/state",
            &StateChange {
                id: id.into(),
                state,
            },
        )
        .await
    }

    /// Returns the counters of the platform stand-in.
    pub async fn platform_counters(&self) -> Result<PlatformCounters, HarnessError> {
        get(self.platform, "/standin/v1/counters").await
    }

    /// Returns the counters of an engine.
    pub async fn engine_counters(&self, number: usize) -> Result<EngineCounters, HarnessError> {
        get(self.engines[number].address, "/standin/v1/counters").await
    }

    /// Returns the current report of an engine.
    pub async fn engine_report(&self, number: usize) -> Result<EngineReport, HarnessError> {
        get(self.engines[number].address, "/engine/v1/report").await
    }

    /// Applies a fleet file with `wagtailctl`, on top of generation `base`.
    pub async fn apply(&self, file: &FleetFile, base: &str) -> Result<CtlOutput, HarnessError> {
        let file_name = format!("apply-{:x}.toml", content_hash(file));
        let path = self.dir.path().join(file_name);
        std::fs::write(&path, file.to_toml())?;
        let path = path.display().to_string();
        self.ctl(&["apply", &path, "--base", base, "--by", "tests"])
            .await
    }

    /// Waits until `wagtailctl status` reports that a generation is in force everywhere.
    pub async fn wait_in_force(&self, generation: u64) -> Result<(), HarnessError> {
        let generation = generation.to_string();
        let timeout_s = CONDITION_TIMEOUT.as_secs().to_string();
        let args = [
            "status",
            "--wait",
            "--timeout-s",
            &timeout_s,
            "--generation",
            &generation,
        ];
        self.ctl(&args).await?.check()
    }

    /// Runs `wagtailctl` with the platform of this fleet.
    pub async fn ctl(&self, args: &[&str]) -> Result<CtlOutput, HarnessError> {
        let platform = format!("http://{}", self.platform);
        let mut all_args = args.to_vec();
        all_args.extend(["--platform", &platform]);
        run_ctl(&all_args).await
    }

    /// Returns the stored lease of a zone.
    pub async fn lease(&self, zone: &str) -> Result<LeaseRecord, HarnessError> {
        get(self.platform, &format!("/v1/objects/lease%2F{zone}")).await
    }

    /// Returns the runs that a plain service recorded.
    pub async fn service_runs(&self, number: usize) -> Result<Vec<Run>, HarnessError> {
        get(self.services[number].address, "/standin/v1/runs").await
    }

    /// Makes a call to the administration API of an entry instance.
    pub async fn admin_call(
        &self,
        entry: &EntryProcess,
        path: &str,
    ) -> Result<HttpResponse, HarnessError> {
        let bearer = format!("Bearer {KEY}");
        let headers = [("authorization", bearer.as_str())];
        call(Method::GET, entry.admin, path, &headers, String::new()).await
    }

    /// Waits until `condition` holds; `awaited` describes it in the error after a timeout.
    pub async fn wait_until(
        &self,
        awaited: &str,
        mut condition: impl AsyncFnMut(&Self) -> Result<bool, HarnessError>,
    ) -> Result<(), HarnessError> {
        let start = Instant::now();
        while !condition(self).await? {
            check_timeout(start, || awaited.to_owned())?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Makes a call to an entry instance with the bearer key of the team.
    pub async fn client_call(
        &self,
        number: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<HttpResponse, HarnessError> {
        let bearer = format!("Bearer {KEY}");
        let mut all_headers = vec![("authorization", bearer.as_str())];
        all_headers.extend_from_slice(headers);
        call(
            method,
            self.entries[number].client,
            path,
            &all_headers,
            body,
        )
        .await
    }
}

/// Returns a hash of the content, from which the files of a fleet get different names.
fn content_hash(file: &FleetFile) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    file.to_toml().hash(&mut hasher);
    hasher.finish()
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, HarnessError> {
    call(Method::GET, address, path, &[], String::new())
        .await?
        .json()
}
