//! A fleet of real processes on loopback.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use tempfile::TempDir;
use tokio::sync::{Mutex, MutexGuard};
use wagtailarch_load::load::Targets;
use wagtailarch_wire::platform::{InstanceKind, ListedInstance, ListedState};

use crate::config::{key_hash, write_keys};
use crate::{
    ConfigSource, ENGINE_GROUP, FleetOptions, HarnessError, KEY, Links, MODEL, Ports,
    SERVICE_GROUP, ServerProcess, call,
};

/// Time for a condition that takes a few seconds at most on a free machine.
pub(crate) const CONDITION_LIMIT: Duration = Duration::from_secs(25);
/// Pause between two looks at a condition.
pub(crate) const POLL: Duration = Duration::from_millis(50);

/// Fleets of one program run one after the other, which bounds processes and processor use.
static ONE_FLEET: Mutex<()> = Mutex::const_new(());

/// Waits until no other fleet of this program runs; the fleet may run while the guard lives.
pub async fn one_fleet() -> MutexGuard<'static, ()> {
    ONE_FLEET.lock().await
}

/// An entry instance.
#[derive(Debug)]
pub struct EntryProcess {
    /// Process.
    pub process: ServerProcess,
    /// Name.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for clients.
    pub client: SocketAddr,
    /// Address for health and metrics.
    pub admin: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    settings: PathBuf,
}

/// A backend server.
#[derive(Debug)]
pub struct BackendProcess {
    /// Process.
    pub process: ServerProcess,
    /// Address.
    pub address: SocketAddr,
    args: Vec<String>,
}

/// A fleet of real processes; all are killed when it is dropped.
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
    /// Links of entry instances, if the options ask for them.
    pub links: Option<Links>,
    pub(crate) options: FleetOptions,
    // Dropped after the processes above.
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

    /// Puts a backend server on the platform's list.
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
        self.control("instances", &item).await
    }

    /// Returns the zone of the process with this number.
    pub fn zone(&self, number: usize) -> &str {
        let zones = &self.options.file.zones;
        &zones[number % zones.len()]
    }

    async fn start_entries(&mut self) -> Result<(), HarnessError> {
        let names: Vec<_> = (0..self.options.entries)
            .map(|n| (format!("entry-{n}"), self.zone(n).to_owned()))
            .collect();
        write_keys(self.dir.path(), &names)?;
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
            let (platform, listed_peer) = match &self.links {
                Some(links) => (links.platform(number), links.peer(number)),
                None => (self.platform, peer),
            };
            let settings = self.dir.path().join(format!("{id}.toml"));
            let mut text = self.settings(&id, &zone, [client, admin, peer], platform);
            if let Some(links) = &self.links {
                text.push_str(&links.seeds(number, &names));
            }
            std::fs::write(&settings, text)?;
            let item = ListedInstance {
                id: id.as_str().into(),
                kind: InstanceKind::Entry,
                group: None,
                zone: zone.as_str().into(),
                address: client.to_string().into(),
                peer_address: Some(listed_peer.to_string().into()),
                state: ListedState::Live,
            };
            self.control("instances", &item).await?;
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

    /// Formats the settings of an entry instance with its client, admin and peer address.
    fn settings(
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
            check_limit(start, || {
                format!("readiness of {}", self.entries[number].id)
            })?;
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until every entry instance answers a model call.
    ///
    /// An instance that has just started does not know the reports of engines yet. Only the start
    /// of the whole fleet waits for them; a restart under load must not depend on this.
    async fn wait_serving(&self) -> Result<(), HarnessError> {
        if self.engines.is_empty() {
            return Ok(());
        }
        let body = format!(r#"{{"model":"{MODEL}","prompt":"<<start>>","max_tokens":1}}"#);
        for number in 0..self.entries.len() {
            let what = format!("answer from {}", self.entries[number].id);
            let path = "/v1/completions";
            self.wait_until(&what, async |fleet| {
                let reply = fleet.client_call(number, Method::POST, path, &[], body.clone());
                Ok(reply.await?.status == StatusCode::OK)
            })
            .await?;
        }
        Ok(())
    }

    /// Starts an entry instance again with its settings.
    pub async fn restart_entry(&mut self, number: usize) -> Result<(), HarnessError> {
        let entry = &mut self.entries[number];
        entry.process = start_entry(self.dir.path(), &entry.id, &entry.settings)?;
        self.wait_ready(number).await
    }

    /// Starts an engine again on its port.
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

    /// Returns the targets of load through the balancer.
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

    /// Returns the targets of load on the entry instances without the balancer.
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

    /// Returns the number of engines whose process has ended.
    pub fn crashed_engines(&mut self) -> usize {
        let engines = self.engines.iter_mut();
        engines
            .filter_map(|engine| engine.process.check_running().err())
            .count()
    }

    /// Fails if any process has ended.
    pub fn check_running(&mut self) -> Result<(), HarnessError> {
        for entry in &mut self.entries {
            entry.process.check_running()?;
        }
        for backend in self.engines.iter_mut().chain(&mut self.services) {
            backend.process.check_running()?;
        }
        Ok(())
    }

    /// Stops entry instances, then backend servers, and returns whether all ended well.
    pub async fn stop(mut self) -> Result<bool, HarnessError> {
        let limit = Duration::from_secs(30);
        let mut well = true;
        for entry in &self.entries {
            entry.process.signal(rustix::process::Signal::TERM);
        }
        for entry in &mut self.entries {
            well &= entry.process.wait(limit).await?.success();
        }
        for backend in self.engines.iter().chain(&self.services) {
            backend.process.signal(rustix::process::Signal::TERM);
        }
        for backend in self.engines.iter_mut().chain(&mut self.services) {
            well &= backend.process.wait(limit).await?.success();
        }
        Ok(well)
    }
}

/// Creates the directory of settings and logs; `WAGTAIL_E2E_DIR` names a place where it is kept.
fn work_dir() -> Result<TempDir, HarnessError> {
    let Some(place) = std::env::var_os("WAGTAIL_E2E_DIR") else {
        return Ok(tempfile::tempdir()?);
    };
    let mut builder = tempfile::Builder::new();
    Ok(builder
        .prefix("fleet-")
        .disable_cleanup(true)
        .tempdir_in(place)?)
}

/// Returns the options of an engine with the version that the fleet file names.
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
    let reply = call(Method::GET, admin, "/readyz", &[], String::new()).await;
    reply.is_ok_and(|reply| reply.status == StatusCode::OK)
}

pub(crate) fn check_limit(start: Instant, what: impl Fn() -> String) -> Result<(), HarnessError> {
    if start.elapsed() < CONDITION_LIMIT {
        return Ok(());
    }
    Err(HarnessError::Timeout {
        what: what(),
        limit_s: CONDITION_LIMIT.as_secs(),
    })
}
