//! Selection of backend servers, from the local view of their load and health.
//!
//! It serves the entry instance on the users' platform; `wagtailarch-traffic` has the counterpart
//! for the instance of `wagtailarch-entry`.

mod engine_load;
mod limits;
mod second_server;
mod weighing;

use std::{collections::HashMap, time::Duration};

use indexmap::{IndexMap, IndexSet};
use wagtailarch_types::{InstanceId, RefusalReason, Role, ServiceName, VersionKey, ZoneName};
use wagtailarch_wire::{load_note::server_key, permit::PermitRank};

use crate::{
    BackendServer, EngineState, GenerationRequest, LeavingServers, LimitMembers, Placement,
    PrefillNumber, PrefillSpeed, RateLimit, RoleDemand, RoutingConfig, ServerEndpoint,
    ServerProcess, Urgency, UsualTime, placing::placement, servers::backend::Backend,
};

use engine_load::OwnPrefill;
pub use limits::{LimitChange, PermitStep};

/// Cost of a plain server that fails every request, in load per slot.
const FAILURE_LOAD: f64 = 3.0;
/// Cost of a plain server in another availability zone, in load per slot.
const OTHER_ZONE_LOAD: f64 = 0.3;
/// Weight of the time of one request in the pace of a plain server; the requests of one service differ
/// by far more than the prompts of engines, whose length is known.
const PLAIN_SAMPLE_WEIGHT: f64 = 0.2;
/// Cost in milliseconds of an engine that fails every request.
const FAILURE_MS: f64 = 1_500.0;

/// Selects backend servers for requests, from the local view of the load and health of each usable
/// server.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    backends: IndexMap<InstanceId, Backend>,
    /// Servers that have stated in responses that they leave; the registrations that are applied may
    /// be older.
    leaving: LeavingServers,
    /// Identifiers by the key that load notes use for them.
    by_key: HashMap<u32, InstanceId>,
    /// Prompts of this instance that wait for their prefill or are being prefilled, by their
    /// number.
    open_prefills: IndexMap<PrefillNumber, OwnPrefill>,
    next_prefill: PrefillNumber,
    /// Measured prefill speed of the engines of each service.
    prefill_speeds: HashMap<ServiceName, PrefillSpeed>,
    /// Usual time of a request at the servers of each plain service.
    usual_times: HashMap<ServiceName, UsualTime>,
    /// Keys of the engines that the last note of each peer contained. Besides the engines of the
    /// next note, only these can change.
    reported_engines: IndexMap<InstanceId, IndexSet<u32>>,
    /// Number of entry instances, which share the connections that a server accepts.
    instances: u32,
    /// The instances that share the rate limits of servers.
    limit_members: LimitMembers,
    /// When the use of the engines was last taken.
    engine_use_at: Duration,
}

/// Use of the engines of a service by the requests of all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineUse {
    /// Engines that are listed.
    pub engines: u32,
    /// Engines with the prefill role.
    pub prefill_engines: u32,
    /// Engines that the prompts keep busy that arrive at present.
    pub prefilling: f64,
    /// Predicted time that one engine needs for all prompts that wait or are being prefilled.
    pub prefill_work: Duration,
    /// Requests that are being decoded.
    pub running: u32,
}

/// Load of one backend server in the local view, for metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLoad {
    /// Identifier of the server.
    pub server: InstanceId,
    /// Requests of this instance that were sent and have no complete response.
    pub in_flight: u32,
    /// Predicted wait of a prompt with [`Urgency::OnTime`]; absent for plain servers.
    pub on_time_wait: Option<Duration>,
    /// Rate limit that the server names.
    pub rate_limit: Option<RateLimit>,
}

impl Backend {
    /// Returns the cost of the observed failure rate in milliseconds.
    pub(crate) fn failure_cost(&self, now: Duration) -> f64 {
        self.health.failure_rate(now) * FAILURE_MS
    }
}

impl LoadBalancer {
    /// Applies a list of usable servers; the state of servers that stay is kept.
    ///
    /// A server that restarted begins without load, cached prefixes and failures.
    pub fn apply(&mut self, servers: &[BackendServer], config: &RoutingConfig) {
        let mut previous = std::mem::take(&mut self.backends);
        self.by_key.clear();
        let leaving = &self.leaving;
        let staying = servers.iter();
        for server in staying.filter(|server| !leaving.contains(&server.process())) {
            let existing = previous.swap_remove(&server.id);
            let existing = existing.filter(|backend| backend.server.same_process(server));
            let mut backend = updated_backend(existing, server.clone(), config);
            if let (Some(engine), Some(speed)) = (
                &mut backend.engine,
                self.prefill_speeds.get(&server.service),
            ) {
                engine.service_slowdown = speed.slowdown();
            }
            self.by_key
                .insert(server_key(&server.id), server.id.clone());
            self.backends.insert(server.id.clone(), backend);
        }
    }

    /// Records that a response of a server states that it leaves, after which it is not selected
    /// any more; returns false if that was known.
    ///
    /// Running responses go on, as they do after a registration that states it.
    pub fn on_stated_leaving(&mut self, process: ServerProcess) -> bool {
        let backend = self.backends.get(&process.id);
        if backend.is_some_and(|backend| backend.server.process() == process) {
            self.by_key.remove(&server_key(&process.id));
            self.backends.shift_remove(&process.id);
        }
        self.leaving.insert(process)
    }

    /// Returns the instances that share evidence and rate limits.
    pub fn members(&self) -> &LimitMembers {
        &self.limit_members
    }

    /// Sets the number of entry instances, including this one.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances;
    }

    /// Selects a plain server of a service that is not in `excluded`.
    pub fn select_server(
        &self,
        now: Duration,
        service: &ServiceName,
        zone: &ZoneName,
        rank: PermitRank,
        excluded: &[InstanceId],
    ) -> Option<ServerEndpoint> {
        let usable = self.usable(now, service, rank, excluded);
        self.cheapest(now, service, zone, usable)
    }

    /// Returns the plain server of a service with the lowest cost.
    fn cheapest<'a>(
        &self,
        now: Duration,
        service: &ServiceName,
        zone: &ZoneName,
        servers: impl Iterator<Item = &'a Backend>,
    ) -> Option<ServerEndpoint> {
        let usual_s = self.usual_s(service);
        let best = servers.min_by(|a, b| {
            let cost = |backend: &Backend| plain_cost(now, backend, zone, usual_s);
            cost(a).total_cmp(&cost(b))
        })?;
        Some(best.server.endpoint())
    }

    /// Returns the usual time of a plain request of a service in seconds; 0 while it is not known.
    fn usual_s(&self, service: &ServiceName) -> f64 {
        let usual = self.usual_times.get(service);
        usual.and_then(UsualTime::seconds).unwrap_or_default()
    }

    /// Places a generation on engines of a service that are not in `excluded`.
    ///
    /// The engines of a generation have one software version, since what two versions write does not
    /// fit together.
    pub fn place_generation(
        &self,
        now: Duration,
        service: &ServiceName,
        request: &GenerationRequest<'_>,
        excluded: &[InstanceId],
    ) -> Placement {
        let place = |request: &GenerationRequest<'_>| {
            let usable = self.usable(now, service, request.rank, excluded);
            let accepted = usable.filter(|backend| request.accepts(backend));
            placement::place(now, request, accepted)
        };
        let placement = place(request);
        if matches!(placement, Placement::Refuse { .. })
            && let Some(slowdown) = self.unmeasured_slowdown(now, service)
        {
            let patient = GenerationRequest {
                client_timeout_left: Duration::MAX,
                ..*request
            };
            if let Placement::Use(plan) = place(&patient)
                && plan.is_in_time_at_reference_speed(slowdown, request.client_timeout_left)
            {
                return Placement::Use(plan);
            }
        }
        placement
    }

    /// Selects the decode engine for a prompt that `prefill_engine` has prefilled.
    ///
    /// The prefill takes up to seconds, during which the planned decode engine may have begun to
    /// leave.
    pub fn place_decode(
        &self,
        now: Duration,
        service: &ServiceName,
        request: &GenerationRequest<'_>,
        prefill_engine: &InstanceId,
        excluded: &[InstanceId],
    ) -> Option<ServerEndpoint> {
        let prefill_engine = self.backends.get(prefill_engine);
        let zone =
            prefill_engine.map_or(request.zone, |prefill_engine| &prefill_engine.server.zone);
        let usable = self.usable(now, service, request.rank, excluded);
        let usable = usable.filter(|backend| request.accepts(backend));
        placement::place_decode(now, request, zone, usable)
    }

    /// Returns the software version of a listed server.
    pub fn version_of(&self, id: &InstanceId) -> Option<VersionKey> {
        self.backends.get(id).map(|backend| backend.version_key)
    }

    /// Returns whether a server of a service with a software version is listed.
    pub fn serves_version(&self, service: &ServiceName, version: VersionKey) -> bool {
        let mut backends = self.backends.values();
        backends.any(|backend| backend.version_key == version && backend.server.service == *service)
    }

    /// Returns whether a server may still be called.
    pub fn is_available(&self, now: Duration, id: &InstanceId) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| backend.health.is_available(now))
    }

    /// Returns the reason why no server of a service could be selected.
    pub fn unavailable_reason(
        &self,
        now: Duration,
        service: &ServiceName,
        rank: PermitRank,
        excluded: &[InstanceId],
    ) -> RefusalReason {
        if self.is_rate_limited(now, service, rank) {
            return RefusalReason::ServerRateLimited;
        }
        let any_available = self.available(now, service, excluded).next().is_some();
        match any_available {
            true => RefusalReason::Overloaded,
            false => RefusalReason::NoBackend,
        }
    }

    /// Records that a request was sent to a server.
    pub fn on_sent(&mut self, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight += 1;
        }
    }

    /// Records that a request to a server ended, with any outcome.
    pub fn on_ended(&mut self, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
    }

    /// Records the load that a server reported, as requests per slot.
    pub fn on_load_report(&mut self, id: &InstanceId, running: u32, waiting: u32, slots: u32) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.reported_load = f64::from(running + waiting) / f64::from(slots.max(1));
        }
    }

    /// Records the time that work takes on a server's machine at this moment, in percent of the usual
    /// time, as the server states it.
    pub fn on_stated_pace(&mut self, now: Duration, id: &InstanceId, percent: u32) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.pace.on_stated(now, percent);
        }
    }

    /// Records a request that a plain server completed within `took`.
    pub fn on_plain_completed(&mut self, now: Duration, id: &InstanceId, took: Duration) {
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        let took_s = took.as_secs_f64();
        let service = backend.server.service.clone();
        let usual = self.usual_times.entry(service).or_default();
        usual.add(took_s / backend.pace.momentary(now));
        if let Some(usual_s) = usual.seconds() {
            backend
                .pace
                .on_completed(now, took_s, usual_s, PLAIN_SAMPLE_WEIGHT);
        }
    }

    /// Records a response that shows that a server works.
    pub fn on_success(&mut self, now: Duration, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.health.on_success(now);
        }
    }

    /// Records a request that a server failed.
    pub fn on_failure(&mut self, now: Duration, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.health.on_failure(now);
        }
    }

    /// Records that a server refused a request without running it.
    pub fn on_busy(&mut self, now: Duration, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.health.on_busy(now);
        }
    }

    /// Records that a server could not be reached.
    ///
    /// The view of an engine's prefix cache is kept, although the engine may have lost the cache.
    pub fn on_unreachable(&mut self, now: Duration, id: &InstanceId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.health.on_unreachable(now);
        }
    }

    /// Keeps the health of the servers of a service as it is now, since the connections that fail
    /// from now on may be those of a lost path.
    pub fn keep_health(&mut self, service: &ServiceName) {
        for backend in self.of_service_mut(service) {
            backend.health_before_loss = Some(backend.health.clone());
        }
    }

    /// Drops the kept health: the failures since then were the servers'.
    pub fn drop_kept_health(&mut self, service: &ServiceName) {
        for backend in self.of_service_mut(service) {
            backend.health_before_loss = None;
        }
    }

    /// Returns to the kept health, so that servers are usable at once after a loss of the path.
    ///
    /// A server that was registered during the loss has no results of its own.
    pub fn restore_health(&mut self, service: &ServiceName) {
        for backend in self.of_service_mut(service) {
            backend.health = backend.health_before_loss.clone().unwrap_or_default();
        }
    }

    /// Returns the servers of a service, including those that cannot be selected at present.
    pub fn servers_of(&self, service: &ServiceName) -> impl Iterator<Item = &BackendServer> {
        let servers = self.backends.values().map(|backend| &backend.server);
        servers.filter(move |server| server.service == *service)
    }

    /// Returns a listed server.
    pub fn server(&self, id: &InstanceId) -> Option<&BackendServer> {
        self.backends.get(id).map(|backend| &backend.server)
    }

    fn of_service_mut(&mut self, service: &ServiceName) -> impl Iterator<Item = &mut Backend> {
        let backends = self.backends.values_mut();
        backends.filter(move |backend| backend.server.service == *service)
    }

    /// Returns the load of every listed server, including those that cannot be selected at present.
    pub fn loads(&self, now: Duration) -> impl Iterator<Item = ServerLoad> {
        self.backends.iter().map(move |(id, backend)| {
            let engine = backend.engine.as_ref();
            ServerLoad {
                server: id.clone(),
                in_flight: backend.in_flight,
                on_time_wait: engine.map(|engine| engine.queue.wait(now, Urgency::OnTime)),
                rate_limit: backend.limit.limit(),
            }
        })
    }

    /// Returns the demand on the engines of each service.
    pub fn demand(&self, now: Duration) -> IndexMap<ServiceName, RoleDemand> {
        let mut demand: IndexMap<ServiceName, RoleDemand> = IndexMap::new();
        let mut prefill_engines: IndexMap<&ServiceName, u32> = IndexMap::new();
        for backend in self.backends.values() {
            let Some(engine) = &backend.engine else {
                continue;
            };
            let service = &backend.server.service;
            let entry = demand.entry(service.clone()).or_default();
            entry.running += engine.running(now);
            if engine.role == Role::Prefill {
                entry.late_wait += engine.queue.wait(now, Urgency::Late);
                *prefill_engines.entry(service).or_default() += 1;
            }
        }
        for (service, count) in prefill_engines {
            if let Some(entry) = demand.get_mut(service) {
                entry.late_wait /= count;
            }
        }
        demand
    }

    /// Returns how much the engines of each service are used, by all instances, since the last call.
    ///
    /// Prompts count when they are added: the reports of peers about their end come late, so that
    /// the engines that have prompts at one time are more than the busy ones.
    pub fn take_engine_use(&mut self, now: Duration) -> IndexMap<ServiceName, EngineUse> {
        let mut engine_use: IndexMap<ServiceName, EngineUse> = IndexMap::new();
        let elapsed = now.saturating_sub(self.engine_use_at);
        self.engine_use_at = now;
        for backend in self.backends.values_mut() {
            let Some(engine) = &mut backend.engine else {
                continue;
            };
            let entry = engine_use
                .entry(backend.server.service.clone())
                .or_default();
            let work = engine.queue.wait(now, Urgency::Late);
            entry.engines += 1;
            entry.prefill_engines += u32::from(engine.role == Role::Prefill);
            let added = engine.queue.take_added_work();
            if !elapsed.is_zero() {
                entry.prefilling += added.div_duration_f64(elapsed);
            }
            entry.prefill_work += work;
            entry.running += engine.running(now);
        }
        engine_use
    }

    /// Returns the available servers that are below their connection limit and whose rate limit
    /// leaves room for a request.
    fn usable(
        &self,
        now: Duration,
        service: &ServiceName,
        rank: PermitRank,
        excluded: &[InstanceId],
    ) -> impl Iterator<Item = &Backend> {
        let available = self.available(now, service, excluded);
        available.filter(move |backend| {
            !backend.at_connection_limit(self.instances)
                && backend.may_have_permit(now, rank, &self.limit_members)
        })
    }

    /// Returns the servers that are not in backoff, including those at their connection limit.
    fn available(
        &self,
        now: Duration,
        service: &ServiceName,
        excluded: &[InstanceId],
    ) -> impl Iterator<Item = &Backend> {
        let of_service = self.backends.values().filter(move |backend| {
            backend.server.service == *service && !excluded.contains(&backend.server.id)
        });
        of_service.filter(move |backend| backend.health.is_available(now))
    }
}

/// Returns the state of a server after its latest registration.
fn updated_backend(
    existing: Option<Backend>,
    server: BackendServer,
    config: &RoutingConfig,
) -> Backend {
    let service = config.service(&server.service);
    let properties = service.and_then(|service| service.engine.clone());
    let role = server.role.unwrap_or(Role::Mixed);
    let mut backend = existing.unwrap_or_else(|| Backend {
        server: server.clone(),
        version_key: server.version_key(),
        health: Default::default(),
        pace: Default::default(),
        health_before_loss: None,
        in_flight: 0,
        max_connections: 0,
        reported_load: 0.0,
        limit: Default::default(),
        coordinator: None,
        permits: Default::default(),
        bucket: Default::default(),
        engine: None,
    });
    backend.engine = match (backend.engine.take(), properties) {
        (Some(mut engine), Some(properties)) => {
            engine.role = role;
            engine.properties = properties;
            Some(engine)
        }
        (None, Some(properties)) => Some(EngineState::new(role, properties)),
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

/// Returns the cost of selecting a plain server: the expected time, in usual times of a request, of
/// which each request per slot adds one.
///
/// The load that the server reported counts half and at most as one request per slot; the load from
/// this instance counts fully.
fn plain_cost(now: Duration, backend: &Backend, zone: &ZoneName, usual_s: f64) -> f64 {
    let slots = f64::from(backend.server.slots.max(1));
    let own_load = f64::from(backend.in_flight) / slots;
    let zone_cost = if backend.server.zone == *zone {
        0.0
    } else {
        OTHER_ZONE_LOAD
    };
    let load = own_load.max(backend.reported_load.min(1.0) * 0.5);
    // The request itself takes the time of one more.
    (1.0 + load) * backend.pace.at(now, usual_s)
        + backend.health.failure_rate(now) * FAILURE_LOAD
        + zone_cost
}
