//! Calls of tests to the processes of a fleet.

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
use crate::fleet::{CONDITION_LIMIT, POLL, check_limit};
use crate::{EntryProcess, FleetFile, HarnessError, KEY, Reply, TestFleet, call};

impl TestFleet {
    /// Makes a control call to the platform.
    pub async fn control(&self, path: &str, body: &impl Serialize) -> Result<(), HarnessError> {
        let path = format!("/standin/v1/{path}");
        let body = serde_json::to_string(body).map_err(|e| HarnessError::Call(e.to_string()))?;
        let reply = call(Method::POST, self.platform, &path, &[], body).await?;
        if reply.status == StatusCode::NO_CONTENT {
            return Ok(());
        }
        Err(HarnessError::Call(format!(
            "{path}: status {}",
            reply.status
        )))
    }

    /// Takes the platform down for some time.
    pub async fn platform_outage(&self, time: Duration) -> Result<(), HarnessError> {
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.control("outage", &Milliseconds { ms }).await
    }

    /// Sets the state of an instance on the platform's list.
    pub async fn set_listed(&self, id: &str, state: ListedState) -> Result<(), HarnessError> {
        self.control(
            "instances/state",
            &StateChange {
                id: id.into(),
                state,
            },
        )
        .await
    }

    /// Returns the counters of the platform.
    pub async fn platform_counters(&self) -> Result<PlatformCounters, HarnessError> {
        get(self.platform, "/standin/v1/counters").await
    }

    /// Returns the counters of an engine.
    pub async fn engine_counters(&self, number: usize) -> Result<EngineCounters, HarnessError> {
        get(self.engines[number].address, "/standin/v1/counters").await
    }

    /// Returns the report of an engine.
    pub async fn engine_report(&self, number: usize) -> Result<EngineReport, HarnessError> {
        get(self.engines[number].address, "/engine/v1/report").await
    }

    /// Applies a fleet file with `wagtailctl`, on top of generation `base`.
    pub async fn apply(&self, file: &FleetFile, base: &str) -> Result<CtlOutput, HarnessError> {
        let file_name = format!("apply-{:x}.toml", hash_name(file));
        let path = self.dir.path().join(file_name);
        std::fs::write(&path, file.to_toml())?;
        let path = path.display().to_string();
        self.ctl(&["apply", &path, "--base", base, "--by", "tests"])
            .await
    }

    /// Waits until a generation is in force everywhere, as `wagtailctl status` says.
    pub async fn wait_in_force(&self, generation: u64) -> Result<(), HarnessError> {
        let generation = generation.to_string();
        let limit = CONDITION_LIMIT.as_secs().to_string();
        let args = [
            "status",
            "--wait",
            "--timeout-s",
            &limit,
            "--generation",
            &generation,
        ];
        self.ctl(&args).await?.check()
    }

    /// Runs `wagtailctl` on the platform of this fleet.
    pub async fn ctl(&self, args: &[&str]) -> Result<CtlOutput, HarnessError> {
        let platform = format!("http://{}", self.platform);
        let mut all = args.to_vec();
        all.extend(["--platform", &platform]);
        run_ctl(&all).await
    }

    /// Returns the lease of a zone, as the platform stores it.
    pub async fn lease(&self, zone: &str) -> Result<LeaseRecord, HarnessError> {
        get(self.platform, &format!("/v1/objects/lease%2F{zone}")).await
    }

    /// Returns the runs of a plain service.
    pub async fn service_runs(&self, number: usize) -> Result<Vec<Run>, HarnessError> {
        get(self.services[number].address, "/standin/v1/runs").await
    }

    /// Makes a call of the administration API.
    pub async fn admin_call(
        &self,
        entry: &EntryProcess,
        path: &str,
    ) -> Result<Reply, HarnessError> {
        let bearer = format!("Bearer {KEY}");
        let headers = [("authorization", bearer.as_str())];
        call(Method::GET, entry.admin, path, &headers, String::new()).await
    }

    /// Waits until a condition on the fleet holds.
    pub async fn wait_until(
        &self,
        what: &str,
        mut holds: impl AsyncFnMut(&Self) -> Result<bool, HarnessError>,
    ) -> Result<(), HarnessError> {
        let start = Instant::now();
        while !holds(self).await? {
            check_limit(start, || what.to_owned())?;
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// Makes a client call to an entry instance with the key of the team.
    pub async fn client_call(
        &self,
        number: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Reply, HarnessError> {
        let bearer = format!("Bearer {KEY}");
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        call(method, self.entries[number].client, path, &all, body).await
    }
}

/// Returns a number that tells the files of one fleet apart.
fn hash_name(file: &FleetFile) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    file.to_toml().hash(&mut hasher);
    hasher.finish()
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, HarnessError> {
    call(Method::GET, address, path, &[], String::new())
        .await?
        .json()
}
