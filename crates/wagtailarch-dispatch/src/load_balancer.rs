//! The usable backend servers and where requests go.

use std::{collections::HashMap, time::Duration};

use indexmap::{IndexMap, IndexSet};
use wagtailarch_types::{InstanceId, RefusalReason, Role, ServiceName, ZoneName};
use wagtailarch_wire::load_note::{LoadNote, OpenPrefill, SentPrefixes, server_key};

use crate::{
    BackendServer, EngineState, GenerationRequest, Placement, PrefillNumber, PrefillSpeed,
    PrefixLink, RoleDemand, RoutingConfig, ServerEndpoint, Urgency, backend::Backend, placement,
};

/// Load that weighs as much as one failure in every request, when a plain server is chosen.
const FAILURE_LOAD: f64 = 3.0;
/// Load that weighs as much as another availability zone, when a plain server is chosen.
const OTHER_ZONE_LOAD: f64 = 0.3;
/// Cost in milliseconds of an engine that fails every request.
const FAILURE_MS: f64 = 1_500.0;

/// The usable backend servers with their load and health, as this instance believes them.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    backends: IndexMap<InstanceId, Backend>,
    /// Identifiers by the key that peers use for them.
    by_key: HashMap<u32, InstanceId>,
    /// Prompts of this instance that engines have not read yet, by their number.
    open_prefills: IndexMap<PrefillNumber, (InstanceId, OpenPrefill)>,
    next_read: PrefillNumber,
    /// Pace of the engines of each service.
    paces: HashMap<ServiceName, PrefillSpeed>,
    /// Keys of the engines that the last note of each peer named; only these change with the next one.
    told_engines: IndexMap<InstanceId, IndexSet<u32>>,
    /// Entry instances, which share the connections that a server accepts.
    instances: u32,
}

/// Load of one backend server as this instance believes it, for metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLoad {
    /// Server.
    pub server: InstanceId,
    /// Requests of this instance that were sent and are not answered.
    pub in_flight: u32,
    /// Predicted wait of an urgent prompt; absent for plain servers.
    pub prefill_wait: Option<Duration>,
}

/// Sender of this instance's own prompts in the queues of its engines.
const OWN: InstanceId = InstanceId::new_inline("");

impl Backend {
    /// Cost of the failures that the server showed, in milliseconds.
    pub(crate) fn failure_cost(&self, now: Duration) -> f64 {
        self.evidence.failure_share(now) * FAILURE_MS
    }
}

impl LoadBalancer {
    /// Takes over the usable servers; what is known of those that stay is kept.
    ///
    /// A new start of a server begins without load, memory or failures.
    pub fn apply(&mut self, servers: &[BackendServer], config: &RoutingConfig) {
        let mut old = std::mem::take(&mut self.backends);
        self.by_key.clear();
        for server in servers {
            let kept = old.swap_remove(&server.id);
            let kept = kept.filter(|backend| backend.server.same_start(server));
            let mut backend = renewed(kept, server.clone(), config);
            if let (Some(engine), Some(pace)) =
                (&mut backend.engine, self.paces.get(&server.service))
            {
                engine.pace = pace.factor();
            }
            self.by_key
                .insert(server_key(&server.id), server.id.clone());
            self.backends.insert(server.id.clone(), backend);
        }
    }

    /// Takes over the number of entry instances, this one included.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances;
    }

    /// Chooses a plain server of a service, leaving out those that were tried.
    pub fn select_server(
        &self,
        now: Duration,
        service: &ServiceName,
        zone: &ZoneName,
        tried: &[InstanceId],
    ) -> Option<ServerEndpoint> {
        let usable = self.usable(now, service, tried);
        let best = usable.min_by(|a, b| {
            let cost = |backend: &Backend| plain_cost(now, backend, zone);
            cost(a).total_cmp(&cost(b))
        })?;
        Some(best.server.endpoint())
    }

    /// Chooses engines of a service for a generation, leaving out those that were tried.
    pub fn place_generation(
        &self,
        now: Duration,
        service: &ServiceName,
        request: &GenerationRequest<'_>,
        tried: &[InstanceId],
    ) -> Placement {
        placement::place(now, request, self.usable(now, service, tried))
    }

    /// Chooses the engine that generates from a prompt that `reader` has read.
    ///
    /// Reading takes up to seconds, in which the engine that was planned may have begun to leave.
    pub fn place_decode(
        &self,
        now: Duration,
        service: &ServiceName,
        request: &GenerationRequest<'_>,
        reader: &InstanceId,
        tried: &[InstanceId],
    ) -> Option<ServerEndpoint> {
        let reader = self.backends.get(reader);
        let zone = reader.map_or(request.zone, |reader| &reader.server.zone);
        placement::place_decode(now, request, zone, self.usable(now, service, tried))
    }

    /// Returns why no server of a service could be chosen.
    pub fn unavailable_reason(
        &self,
        now: Duration,
        service: &ServiceName,
        tried: &[InstanceId],
    ) -> RefusalReason {
        let full = self.healthy(now, service, tried).next().is_some();
        match full {
            true => RefusalReason::Overloaded,
            false => RefusalReason::NoBackend,
        }
    }

    /// Notes that a request was sent to a server.
    pub fn on_sent(&mut self, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight += 1;
        }
    }

    /// Notes that a request to a server has ended in any way.
    pub fn on_ended(&mut self, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
    }

    /// Notes the load per slot that a server told.
    pub fn on_load_report(&mut self, id: &InstanceId, running: u32, waiting: u32, slots: u32) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.told_load = f64::from(running + waiting) / f64::from(slots.max(1));
        }
    }

    /// Notes an answer that shows that a server works.
    pub fn on_success(&mut self, now: Duration, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.evidence.on_success(now);
        }
    }

    /// Notes a request that a server failed.
    pub fn on_failure(&mut self, now: Duration, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.evidence.on_failure(now);
        }
    }

    /// Notes that a server refused a request without running it.
    pub fn on_busy(&mut self, now: Duration, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.evidence.on_busy(now);
        }
    }

    /// Notes that a server could not be reached; an engine may have lost its memory.
    pub fn on_unreachable(&mut self, now: Duration, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.evidence.on_unreachable(now);
        }
    }

    /// Notes that a prompt is sent to an engine; returns its number and what peers are told once.
    pub fn start_prefill(
        &mut self,
        now: Duration,
        id: &InstanceId,
        urgency: Urgency,
        prefixes: &[PrefixLink],
        prompt_tokens: u32,
    ) -> Option<(PrefillNumber, SentPrefixes)> {
        let engine = self.backends.get_mut(id)?.engine.as_mut()?;
        let number = self.next_read;
        self.next_read = self.next_read.wrapping_add(1);
        let work = engine.start_prefill(now, &OWN, number, urgency, prefixes, prompt_tokens);
        let open = OpenPrefill {
            engine: server_key(id),
            number,
            work_ms: u16::try_from(work.as_millis()).unwrap_or(u16::MAX),
            urgency,
        };
        self.open_prefills.insert(number, (id.clone(), open));
        let told = SentPrefixes {
            engine: open.engine,
            prefixes: prefixes.iter().map(|p| (p.hash, p.end_tokens)).collect(),
        };
        Some((number, told))
    }

    /// Notes that a prompt has been read, or was given up on if not `done`.
    pub fn finish_prefill(&mut self, now: Duration, number: PrefillNumber, done: bool) {
        let Some((id, _)) = self.open_prefills.shift_remove(&number) else {
            return;
        };
        let Some(backend) = self.backends.get_mut(&id) else {
            return;
        };
        let engine = backend.engine.as_mut();
        let ratio = engine.and_then(|engine| engine.finish_prefill(now, &OWN, number, done));
        let Some(ratio) = ratio else {
            return;
        };
        let service = backend.server.service.clone();
        let pace = self.paces.entry(service.clone()).or_default();
        pace.add(ratio);
        let factor = pace.factor();
        let backends = self.backends.values_mut();
        for backend in backends.filter(|backend| backend.server.service == service) {
            if let Some(engine) = &mut backend.engine {
                engine.pace = factor;
            }
        }
    }

    /// Returns the prompts of this instance that engines have not read yet.
    pub fn open_prefills(&self) -> Vec<OpenPrefill> {
        self.open_prefills.values().map(|(_, open)| *open).collect()
    }

    /// Changes the number of requests of this instance that generate on an engine.
    pub fn add_running(&mut self, id: &InstanceId, by: i32) {
        let engine = self.backends.get_mut(id).and_then(|b| b.engine.as_mut());
        if let Some(engine) = engine {
            engine.add_running(by);
        }
    }

    /// Returns the requests of this instance that generate, by the key of their engine.
    pub fn own_running(&self) -> Vec<(u32, u32)> {
        let engines = self.backends.iter().filter_map(|(id, backend)| {
            let running = backend.engine.as_ref()?.own_running();
            (running > 0).then(|| (server_key(id), running))
        });
        engines.collect()
    }

    /// Returns the load of every usable server.
    pub fn loads(&self, now: Duration) -> impl Iterator<Item = ServerLoad> {
        self.backends.iter().map(move |(id, backend)| {
            let engine = backend.engine.as_ref();
            ServerLoad {
                server: id.clone(),
                in_flight: backend.in_flight,
                prefill_wait: engine.map(|engine| engine.queue.wait(now, Urgency::OnTime)),
            }
        })
    }

    /// Returns what is asked of the engines of each service.
    pub fn demand(&self, now: Duration) -> IndexMap<ServiceName, RoleDemand> {
        let mut demand: IndexMap<ServiceName, RoleDemand> = IndexMap::new();
        let mut readers: IndexMap<&ServiceName, u32> = IndexMap::new();
        for backend in self.backends.values() {
            let Some(engine) = &backend.engine else {
                continue;
            };
            let service = &backend.server.service;
            let entry = demand.entry(service.clone()).or_default();
            entry.running += engine.running(now);
            if engine.role == Role::Prefill {
                entry.prefill_wait += engine.queue.wait(now, Urgency::Late);
                *readers.entry(service).or_default() += 1;
            }
        }
        for (service, count) in readers {
            if let Some(entry) = demand.get_mut(service) {
                entry.prefill_wait /= count;
            }
        }
        demand
    }

    /// Takes over what a peer tells of its requests.
    pub fn on_load_note(&mut self, now: Duration, note: &LoadNote) {
        for sent in &note.sent_prefixes {
            let Some(engine) = self.engine_by_key(sent.engine) else {
                continue;
            };
            let links = sent.prefixes.iter();
            let links: Vec<_> = links
                .map(|&(hash, end_tokens)| PrefixLink { hash, end_tokens })
                .collect();
            engine.cache.insert(&links);
        }
        let running = note.running.iter().map(|(key, _)| *key);
        let reading = note.open_prefills.iter().map(|read| read.engine);
        let keys: IndexSet<u32> = running.chain(reading).collect();
        let before = match keys.is_empty() {
            true => self.told_engines.swap_remove(&note.sender),
            false => self.told_engines.insert(note.sender.clone(), keys.clone()),
        };
        for key in keys.union(&before.unwrap_or_default()) {
            let Some(engine) = self.engine_by_key(*key) else {
                continue;
            };
            let told = note.running.iter().find(|(engine, _)| engine == key);
            let running = told.map_or(0, |(_, running)| *running);
            engine.set_peer_running(now, &note.sender, running);
            let reads = note.open_prefills.iter().filter(|read| read.engine == *key);
            let numbers: Vec<_> = reads.clone().map(|read| read.number).collect();
            engine.queue.keep_only(now, &note.sender, &numbers);
            for read in reads {
                on_peer_read(now, engine, &note.sender, read);
            }
        }
    }

    fn engine_by_key(&mut self, key: u32) -> Option<&mut EngineState> {
        let id = self.by_key.get(&key)?;
        self.backends.get_mut(id)?.engine.as_mut()
    }

    /// Returns the servers that may be given another request.
    fn usable(
        &self,
        now: Duration,
        service: &ServiceName,
        tried: &[InstanceId],
    ) -> impl Iterator<Item = &Backend> {
        let healthy = self.healthy(now, service, tried);
        healthy.filter(|backend| !backend.full(self.instances))
    }

    /// Returns the servers that work, those with as many requests as they may have included.
    fn healthy(
        &self,
        now: Duration,
        service: &ServiceName,
        tried: &[InstanceId],
    ) -> impl Iterator<Item = &Backend> {
        let of_service = self.backends.values().filter(move |backend| {
            backend.server.service == *service && !tried.contains(&backend.server.id)
        });
        of_service.filter(move |backend| backend.evidence.usable(now))
    }
}

/// Returns the state of a server with its present registration.
fn renewed(kept: Option<Backend>, server: BackendServer, config: &RoutingConfig) -> Backend {
    let service = config.service(&server.service);
    let traits = service.and_then(|service| service.engine.clone());
    let role = server.role.unwrap_or(Role::Mixed);
    let mut backend = kept.unwrap_or_else(|| Backend {
        server: server.clone(),
        evidence: Default::default(),
        in_flight: 0,
        max_connections: 0,
        told_load: 0.0,
        engine: None,
    });
    backend.engine = match (backend.engine.take(), traits) {
        (Some(mut engine), Some(traits)) => {
            engine.role = role;
            engine.traits = traits;
            Some(engine)
        }
        (None, Some(traits)) => Some(EngineState::new(role, traits)),
        (_, None) => None,
    };
    if let (Some(engine), Some(gap)) = (&mut backend.engine, config.gap_objective(&server.service))
    {
        engine.gap_objective = gap;
    }
    backend.max_connections = service.map_or(0, |service| service.max_connections);
    backend.server = server;
    backend
}

fn plain_cost(now: Duration, backend: &Backend, zone: &ZoneName) -> f64 {
    let slots = f64::from(backend.server.slots.max(1));
    let own_load = f64::from(backend.in_flight) / slots;
    let away = if backend.server.zone == *zone {
        0.0
    } else {
        OTHER_ZONE_LOAD
    };
    own_load.max(backend.told_load.min(1.0) * 0.5)
        + backend.evidence.failure_share(now) * FAILURE_LOAD
        + away
}

/// Adds a prompt of a peer to the queue of its engine.
fn on_peer_read(now: Duration, engine: &mut EngineState, sender: &InstanceId, read: &OpenPrefill) {
    if engine.queue.contains(sender, read.number) {
        return;
    }
    let work = Duration::from_millis(read.work_ms.into());
    engine
        .queue
        .add(now, sender, read.number, read.urgency, work);
}
