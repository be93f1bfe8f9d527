//! A test fleet of processes on loopback.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use tempfile::TempDir;
use tokio::sync::{Mutex, MutexGuard};
use wagtailarch_load::load::Targets;
use wagtailarch_wire::platform::{InstanceKind, ListedInstance, ListedState};

use crate::config::{key_hash, write_certificates};
use crate::{
    ConfigSource, ENGINE_GROUP, FleetOptions, HarnessError, KEY, Links, MODEL, Ports,
    SERVICE_GROUP, ServerProcess, call,
};

/// Timeout for a condition that holds within a few seconds on an idle machine.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(25);
/// Interval at which a condition is checked.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Serializes the fleets of a test program, which bounds the number of processes and their load.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());

/// Waits until no other fleet of this program runs; another one can start only after the guard is
/// dropped.
pub async fn lock_fleet() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().await
}

/// A running entry instance.
#[derive(Debug)]
pub struct EntryProcess {
    /// The process.
    pub process: ServerProcess,
    /// Instance ID.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for clients.
    pub client: SocketAddr,
    /// Address for health checks, metrics and the administration API.
    pub admin: SocketAddr,
    /// Address for its peers.
    pub peer: SocketAddr,
    /// Path of the settings file.
    settings: PathBuf,
}

/// A running backend server.
#[derive(Debug)]
pub struct BackendProcess {
    /// The process.
    pub process: ServerProcess,
    /// Address.
    pub address: SocketAddr,
    /// Command-line options, without the port.
    args: Vec<String>,
}

/// A fleet of processes, all of which are killed on drop.
#[derive(Debug)]
pub struct TestFleet {
    /// Entry instances.
    pub entries: Vec<EntryProcess>,
    /// Engines.
    pub engines: Vec<BackendProcess>,
    /// Plain services.
    pub services: Vec<BackendProcess>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the balancer.
    pub balancer: SocketAddr,
    /// Links of entry instances, if the options include them.
    pub links: Option<Links>,
    pub(crate) options: FleetOptions,
    // Fields are dropped in order, so these stand-ins outlive the processes above.
    _balancer: Option<ServerProcess>,
    _platform: ServerProcess,
    pub(crate) dir: TempDir,
}

impl TestFleet {
    /// Starts all processes and waits until every entry instance is ready.
    pub async fn start(options: FleetOptions) -> Result<Self, HarnessError> {
        let dir = work_dir()?;
        let (platform_process, platform) =
            start_standin(dir.path(), "platform", "standin-platform", &[]).await?;
        let mut fleet = Self {
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform,
            balancer: platform,
            links: None,
            options,
            _balancer: None,
            _platform: platform_process,
            dir,
        };
        fleet.start_backends().await?;
        std::fs::write(fleet.fleet_path(), fleet.options.file.to_toml())?;
        if fleet.options.source == ConfigSource::Platform {
            let applied = fleet.apply(&fleet.options.file, "0").await?;
            applied.check()?;
        }
        fleet.start_entries().await?;
        fleet.start_balancer().await?;
        fleet.wait_serving().await?;
        Ok(fleet)
    }

    async fn start_backends(&mut self) -> Result<(), HarnessError> {
        for number in 0..self.options.engines {
            let name = format!("engine-{number}");
            let mut args = engine_args(&name, &self.options.file.version);
            if self.options.file.checks_fencing {
                args.push("--checks-fencing".into());
            }
            args.extend(self.options.engine_args.iter().cloned());
            let engine = self.start_backend(&name, "standin-engine", args).await?;
            self.register(&name, InstanceKind::Engine, number, engine.address)
                .await?;
            self.engines.push(engine);
        }
        for number in 0..self.options.services {
            let name = format!("service-{number}");
            let args = vec!["--name".into(), name.clone()];
            let service = self.start_backend(&name, "standin-service", args).await?;
            self.register(&name, InstanceKind::Service, number, service.address)
                .await?;
            self.services.push(service);
        }
        Ok(())
    }

    async fn start_backend(
        &self,
        name: &str,
        program: &str,
        args: Vec<String>,
    ) -> Result<BackendProcess, HarnessError> {
        let (process, address) = start_standin(self.dir.path(), name, program, &args).await?;
        Ok(BackendProcess {
            process,
            address,
            args,
        })
    }

    /// Adds a backend server to the platform's list.
    async fn register(
        &self,
        id: &str,
        kind: InstanceKind,
        number: usize,
        address: SocketAddr,
    ) -> Result<(), HarnessError> {
        let group = match kind {
            InstanceKind::Engine => Some(ENGINE_GROUP.into()),
            InstanceKind::Service => Some(SERVICE_GROUP.into()),
            InstanceKind::Entry => None,
        };
        let item = ListedInstance {
            id: id.into(),
            kind,
            group,
            zone: self.zone(number).into(),
            address: address.to_string().into(),
            peer_address: None,
            state: ListedState::Live,
        };
        self.control_platform("instances", &item).await
    }

    /// Returns the zone of the entry instance or backend server with this number.
    pub fn zone(&self, number: usize) -> &str {
        let zones = &self.options.file.zones;
        &zones[number % zones.len()]
    }

    async fn start_entries(&mut self) -> Result<(), HarnessError> {
        let names: Vec<_> = (0..self.options.entries)
            .map(|n| (format!("entry-{n}"), self.zone(n).to_owned()))
            .collect();
        write_certificates(self.dir.path(), &names)?;
        let ports = Ports::new(self.options.ports.clone());
        let mut addresses = Vec::new();
        for _ in &names {
            addresses.push([ports.allocate()?, ports.allocate()?, ports.allocate()?]);
        }
        if self.options.links {
            let peers = addresses.iter().map(|[_, _, peer]| *peer);
            let peers: Vec<_> = peers.collect();
            self.links = Some(Links::start(self.dir.path(), self.platform, &peers).await?);
        }
        for (number, (id, zone)) in names.iter().cloned().enumerate() {
            let [client, admin, peer] = addresses[number];
            let (platform, peer_address) = match &self.links {
                Some(links) => (links.platform_address(number), links.peer_address(number)),
                None => (self.platform, peer),
            };
            let settings = self.dir.path().join(format!("{id}.toml"));
            let mut text = self.format_settings(&id, &zone, [client, admin, peer], platform);
            if let Some(links) = &self.links {
                text.push_str(&links.seed_settings(number, &names));
            }
            std::fs::write(&settings, text)?;
            let item = ListedInstance {
                id: id.as_str().into(),
                kind: InstanceKind::Entry,
                group: None,
                zone: zone.as_str().into(),
                address: client.to_string().into(),
                peer_address: Some(peer_address.to_string().into()),
                state: ListedState::Live,
            };
            self.control_platform("instances", &item).await?;
            let process = start_entry(self.dir.path(), &id, &settings)?;
            let entry = EntryProcess {
                process,
                id,
                zone,
                client,
                admin,
                peer,
                settings,
            };
            self.entries.push(entry);
        }
        for number in 0..self.entries.len() {
            self.wait_ready(number).await?;
        }
        Ok(())
    }

    /// Formats the settings of an entry instance; `addresses` are those for clients, administration
    /// and peers.
    fn format_settings(
        &self,
        id: &str,
        zone: &str,
        addresses: [SocketAddr; 3],
        platform: SocketAddr,
    ) -> String {
        let [client, admin, peer] = addresses;
        let dir = self.dir.path().display();
        let file = match self.options.source {
            ConfigSource::File => format!("fleet_file = \"{}\"\n", self.fleet_path().display()),
            ConfigSource::Platform => String::new(),
        };
        format!(
            "instance = \"{id}\"\nzone = \"{zone}\"\nclient_address = \"{client}\"\n\
             admin_address = \"{admin}\"\npeer_address = \"{peer}\"\n\
             platform_address = \"{platform}\"\ntraffic_threads = {}\n{file}\
             [timeouts]\ndrain_delay_ms = 1000\n\
             [peers]\nca_file = \"{dir}/ca.pem\"\ncert_file = \"{dir}/{id}.pem\"\n\
             key_file = \"{dir}/{id}.key\"\n\
             [[admin_key]]\nname = \"tests\"\nkey_hash = \"{}\"\n",
            self.options.traffic_threads,
            key_hash(KEY)
        )
    }

    async fn start_balancer(&mut self) -> Result<(), HarnessError> {
        let mut args = Vec::new();
        for entry in &self.entries {
            args.extend([
                "--entry".into(),
                format!("{}/{}", entry.client, entry.admin),
            ]);
        }
        let dir = self.dir.path();
        let (process, address) = start_standin(dir, "balancer", "standin-balancer", &args).await?;
        self._balancer = Some(process);
        self.balancer = address;
        Ok(())
    }

    /// Returns the path of the fleet file.
    pub fn fleet_path(&self) -> PathBuf {
        self.dir.path().join("fleet.toml")
    }

    /// Waits until an entry instance is ready.
    pub async fn wait_ready(&mut self, number: usize) -> Result<(), HarnessError> {
        let admin = self.entries[number].admin;
        let start = Instant::now();
        loop {
            if is_ready(admin).await {
                return Ok(());
            }
            self.entries[number].process.check_running()?;
            check_timeout(start, || {
                format!("the readiness of {}", self.entries[number].id)
            })?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every entry instance completes a model call.
    ///
    /// An instance that has just started has not yet received the reports of engines. Only the
    /// start of the fleet waits for them: a restarted instance must serve without this wait.
    async fn wait_serving(&self) -> Result<(), HarnessError> {
        if self.engines.is_empty() {
            return Ok(());
        }
        let body = format!(r#"{{"model":"{MODEL}","prompt":"<<start>>","max_tokens":1}}"#);
        for number in 0..self.entries.len() {
            let awaited = format!("a model response from {}", self.entries[number].id);
            let path = "/v1/completions";
            self.wait_until(&awaited, async |fleet| {
                let response = fleet.client_call(number, Method::POST, path, &[], body.clone());
                Ok(response.await?.status == StatusCode::OK)
            })
            .await?;
        }
        Ok(())
    }

    /// Starts an entry instance again with the same settings and waits until it is ready.
    pub async fn restart_entry(&mut self, number: usize) -> Result<(), HarnessError> {
        let entry = &mut self.entries[number];
        entry.process = start_entry(self.dir.path(), &entry.id, &entry.settings)?;
        self.wait_ready(number).await
    }

    /// Starts an engine again on the same port.
    pub async fn restart_engine(&mut self, number: usize) -> Result<(), HarnessError> {
        let engine = &self.engines[number];
        let mut args = engine.args.clone();
        args.extend(["--port".into(), engine.address.port().to_string()]);
        let name = format!("engine-{number}");
        let dir = self.dir.path();
        let (process, _) = start_standin(dir, &name, "standin-engine", &args).await?;
        self.engines[number].process = process;
        Ok(())
    }

    /// Returns the targets for load that goes through the balancer.
    pub fn targets(&self) -> Targets {
        Targets {
            entries: vec![self.balancer.to_string().into()],
            engines: self
                .engines
                .iter()
                .map(|e| e.address.to_string().into())
                .collect(),
            services: self
                .services
                .iter()
                .map(|s| s.address.to_string().into())
                .collect(),
        }
    }

    /// Returns the targets for load that goes to the entry instances directly.
    pub fn entry_targets(&self) -> Targets {
        let entries = self
            .entries
            .iter()
            .map(|e| e.client.to_string().into())
            .collect();
        Targets {
            entries,
            ..self.targets()
        }
    }

    /// Returns the number of engines whose process has exited.
    pub fn crashed_engines(&mut self) -> usize {
        let engines = self.engines.iter_mut();
        engines
            .filter_map(|engine| engine.process.check_running().err())
            .count()
    }

    /// Fails if an entry instance or a backend server has exited.
    pub fn check_running(&mut self) -> Result<(), HarnessError> {
        for entry in &mut self.entries {
            entry.process.check_running()?;
        }
        for backend in self.engines.iter_mut().chain(&mut self.services) {
            backend.process.check_running()?;
        }
        Ok(())
    }

    /// Stops entry instances, then backend servers; returns whether all exited with status 0.
    pub async fn stop(mut self) -> Result<bool, HarnessError> {
        let timeout = Duration::from_secs(30);
        let mut all_succeeded = true;
        for entry in &self.entries {
            entry.process.signal(rustix::process::Signal::TERM);
        }
        for entry in &mut self.entries {
            all_succeeded &= entry.process.wait(timeout).await?.success();
        }
        for backend in self.engines.iter().chain(&self.services) {
            backend.process.signal(rustix::process::Signal::TERM);
        }
        for backend in self.engines.iter_mut().chain(&mut self.services) {
            all_succeeded &= backend.process.wait(timeout).await?.success();
        }
        Ok(all_succeeded)
    }
}

/// Creates the directory for settings and logs.
///
/// It is removed on drop, unless `WAGTAIL_E2E_DIR` names a directory to create it in.
fn work_dir() -> Result<TempDir, HarnessError> {
    let Some(parent) = std::env::var_os("WAGTAIL_E2E_DIR") else {
        return Ok(tempfile::tempdir()?);
    };
    let mut builder = tempfile::Builder::new();
    Ok(builder
        .prefix("fleet-")
        .disable_cleanup(true)
        .tempdir_in(parent)?)
}

/// Returns the command-line options of an engine with this model version.
fn engine_args(name: &str, version: &str) -> Vec<String> {
    let options = [
        ("--name", name),
        ("--group", ENGINE_GROUP),
        ("--model", MODEL),
        ("--version-name", version),
        ("--change-ms", "1000"),
    ];
    options
        .iter()
        .flat_map(|(option, value)| [(*option).into(), (*value).into()])
        .collect()
}

fn start_entry(dir: &Path, id: &str, settings: &Path) -> Result<ServerProcess, HarnessError> {
    let args = ["--settings".into(), settings.display().to_string()];
    ServerProcess::start(dir, id, "wagtail-entry", &args)
}

/// Starts a stand-in and waits for its address.
pub(crate) async fn start_standin(
    dir: &Path,
    name: &str,
    program: &str,
    args: &[String],
) -> Result<(ServerProcess, SocketAddr), HarnessError> {
    let mut process = ServerProcess::start(dir, name, program, args)?;
    let address = process.address().await?;
    Ok((process, address))
}

async fn is_ready(admin: SocketAddr) -> bool {
    let response = call(Method::GET, admin, "/readyz", &[], String::new()).await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

/// Fails if a wait for a condition that began at `start` has timed out.
pub(crate) fn check_timeout(
    start: Instant,
    awaited: impl Fn() -> String,
) -> Result<(), HarnessError> {
    if start.elapsed() < CONDITION_TIMEOUT {
        return Ok(());
    }
    Err(HarnessError::Timeout {
        awaited: awaited(),
        timeout_s: CONDITION_TIMEOUT.as_secs(),
    })
}
