//! Routes and services of a configuration.

use std::{collections::HashMap, time::Duration};

use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_fleet::Team;
use wagtailarch_traffic::{KeyRing, SharedKey};
use wagtailarch_types::{Generation, HashedKey, ServiceName};

use crate::RequestKind;

/// A complete configuration, which takes effect as a whole.
#[derive(Debug, Clone, Default)]
pub struct RoutingConfig {
    generation: Generation,
    routes: Vec<Route>,
    services: IndexMap<ServiceName, ServiceConfig>,
    limits: ClientLimits,
    /// Indexes into `routes` by host, those with the longest path prefix first.
    by_host: HashMap<SmolStr, Vec<usize>>,
    /// Shortest gap objective among the routes of each service; absent if none states one.
    gap_objectives: HashMap<ServiceName, Duration>,
    /// Teams with their keys; absent if the configuration has no list of teams.
    teams: Option<Teams>,
}

/// Teams with their keys.
#[derive(Debug, Clone)]
struct Teams {
    list: Vec<Team>,
    key_ring: KeyRing,
}

/// Whether a request may use a route, by its key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Access<'a> {
    /// The route asks for no key, so that the request has no team.
    Open,
    /// The key belongs to this team.
    Team(&'a Team),
    /// The key is missing or belongs to no team.
    Denied,
}

/// A route, which matches requests by host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Host that clients request, in lower case.
    pub host: SmolStr,
    /// Prefix of the paths that the route matches.
    pub path_prefix: SmolStr,
    /// Kind of the requests, which determines whether they may be repeated.
    pub kind: RequestKind,
    /// Longest time that a client may wait.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Longest gap between two events of a stream that is on time.
    pub gap_objective: Option<Duration>,
    /// Priority among the routes of a service; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that receive the requests; never empty, and at least one weight is above 0.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of backend servers on which one request may run.
    pub max_attempts: u32,
}

/// A service with its share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceConfig {
    /// Connections that one backend server accepts from all instances together; 0 if it has no
    /// limit.
    pub max_connections: u32,
    /// Properties of the service's engines; absent for plain services.
    pub engine: Option<EngineProperties>,
}

/// Properties that all engines of a service share.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProperties {
    /// Requests that one engine runs at the same time.
    pub slots: u32,
    /// Capacity of the KV cache of one engine in tokens.
    pub kv_capacity_tokens: u64,
    /// Size of one token in the KV cache.
    pub kv_token_bytes: u64,
    /// Rate of the link between two engines in Mbit/s.
    pub link_mbps: f64,
}

/// Limits on what a client may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of the head of a request.
    pub head_bytes: usize,
    /// Maximum size of the body of a request.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits of an instance that has no configuration yet.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl RoutingConfig {
    /// Creates a configuration and its index of routes by host.
    pub fn new(
        generation: Generation,
        routes: Vec<Route>,
        services: IndexMap<ServiceName, ServiceConfig>,
        limits: ClientLimits,
    ) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(routes[index].path_prefix.len()));
        }
        let gap_objectives = gap_objectives(&routes);
        Self {
            generation,
            routes,
            services,
            limits,
            by_host,
            gap_objectives,
            teams: None,
        }
    }

    /// Sets the teams, one of whose keys each request to a route that is not public must have.
    pub fn with_teams(self, list: Vec<Team>) -> Self {
        let key_ring = KeyRing::new(&list);
        Self {
            teams: Some(Teams { list, key_ring }),
            ..self
        }
    }

    /// Returns the teams; none if the configuration has no list of them.
    pub fn teams(&self) -> &[Team] {
        self.teams.as_ref().map_or(&[], |teams| &teams.list)
    }

    /// Returns the teams for which the same key is listed, so that it belongs to neither.
    pub fn shared_keys(&self) -> &[SharedKey] {
        let teams = self.teams.as_ref();
        teams.map_or(&[], |teams| teams.key_ring.shared_keys())
    }

    /// Decides whether a request with the given key may use a route.
    pub fn access(&self, route: &Route, key: Option<&HashedKey>) -> Access<'_> {
        let Some(teams) = self.teams.as_ref().filter(|_| !route.public) else {
            return Access::Open;
        };
        match key.and_then(|key| teams.key_ring.team_index(key)) {
            Some(index) => Access::Team(&teams.list[index]),
            None => Access::Denied,
        }
    }

    /// Returns the generation of the configuration.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the limits for clients.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// Returns the shortest gap objective among the routes of a service.
    pub fn gap_objective(&self, service: &ServiceName) -> Option<Duration> {
        self.gap_objectives.get(service).copied()
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// The port and the case of `host` are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indexes = match self.by_host.get(name) {
            Some(indexes) => indexes,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut routes = indexes.iter().map(|&index| &self.routes[index]);
        routes.find(|route| path.starts_with(route.path_prefix.as_str()))
    }
}

/// Returns the shortest gap objective among the routes that send requests to each service.
fn gap_objectives(routes: &[Route]) -> HashMap<ServiceName, Duration> {
    let mut shortest: HashMap<ServiceName, Duration> = HashMap::new();
    for route in routes {
        let Some(gap_objective) = route.gap_objective else {
            continue;
        };
        for target in route.targets.iter().filter(|target| target.weight > 0) {
            let known = shortest
                .entry(target.service.clone())
                .or_insert(gap_objective);
            *known = gap_objective.min(*known);
        }
    }
    shortest
}

impl Route {
    /// Selects the service of a request by its weight.
    ///
    /// The selection depends only on the request, so that a repeated request goes to the same
    /// service.
    pub fn target(&self, request: &str) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let hash = xxhash_rust::xxh3::xxh3_64(request.as_bytes());
        let mut remaining = if total == 0 { 0 } else { hash % total };
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return &target.service;
            }
            remaining -= weight;
        }
        &self.targets[0].service
    }

    /// Returns the time after which clients disconnect from a stream that has sent no event.
    ///
    /// Clients wait for two seconds, four times the objective or eight times the gap objective,
    /// whichever is longest.
    pub fn client_timeout(&self) -> Duration {
        let by_gap = self.gap_objective.unwrap_or_default() * 8;
        Duration::from_secs(2).max(self.objective * 4).max(by_gap)
    }
}
