//! Routes and services of a configuration.

use std::{collections::HashMap, time::Duration};

use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_types::{Generation, ServiceName};

use crate::RequestKind;

/// A whole configuration, in force from the moment at which it is taken over.
#[derive(Debug, Clone, Default)]
pub struct RoutingConfig {
    generation: Generation,
    routes: Vec<Route>,
    services: IndexMap<ServiceName, ServiceConfig>,
    limits: ClientLimits,
    /// Indexes into `routes` by host, those with the longest path prefix first.
    by_host: HashMap<SmolStr, Vec<usize>>,
    /// Shortest pause objective among the routes of each service; absent if none states one.
    gap_objectives: HashMap<ServiceName, Duration>,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Host that clients name; in lower case.
    pub host: SmolStr,
    /// Start of the paths that belong to the route.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time for which a client may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub gap_objective: Option<Duration>,
    /// Rank among the routes of a service; 0 is the highest.
    pub priority: u8,
    /// Services that requests are passed to; never empty, and at least one weight is above 0.
    pub targets: Vec<RouteTarget>,
    /// Backend servers on which one request may run.
    pub max_attempts: u32,
}

/// A service and its share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service.
    pub service: ServiceName,
    /// Share in relation to the other targets.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceConfig {
    /// Connections that one backend server accepts from all instances together.
    pub max_connections: u32,
    /// Properties of the service's engines; absent for plain services.
    pub engine: Option<EngineProperties>,
}

/// Properties that all engines of a service share.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProperties {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Memory of one engine, in tokens.
    pub kv_capacity_tokens: u64,
    /// Size of one token in the memory of an engine.
    pub kv_token_bytes: u64,
    /// Rate of the link between two engines.
    pub link_mbps: f64,
}

/// What a client may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Size of the head of a request.
    pub head_bytes: usize,
    /// Size of the body of a request.
    pub body_bytes: usize,
    /// Time in which the head has to arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Limits of an instance that has no configuration yet.
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
    /// Creates a configuration and its index of routes.
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
        }
    }

    /// Returns the number of the configuration.
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

    /// Returns the longest pause between two events that is on time on all routes of a service.
    pub fn gap_objective(&self, service: &ServiceName) -> Option<Duration> {
        self.gap_objectives.get(service).copied()
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    ///
    /// A port in `host` is ignored, and its case does not matter.
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

/// Returns the shortest pause objective among the routes that send requests to each service.
fn gap_objectives(routes: &[Route]) -> HashMap<ServiceName, Duration> {
    let mut shortest: HashMap<ServiceName, Duration> = HashMap::new();
    for route in routes {
        let Some(gap) = route.gap_objective else {
            continue;
        };
        for target in route.targets.iter().filter(|target| target.weight > 0) {
            let known = shortest.entry(target.service.clone()).or_insert(gap);
            *known = gap.min(*known);
        }
    }
    shortest
}

impl Route {
    /// Chooses the service of a request.
    ///
    /// The choice depends on the request alone, so that a repetition goes to the same service.
    pub fn target(&self, request: &str) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let hash = xxhash_rust::xxh3::xxh3_64(request.as_bytes());
        let mut point = if total == 0 { 0 } else { hash % total };
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return &target.service;
            }
            point -= weight;
        }
        &self.targets[0].service
    }

    /// Returns the time after which clients leave a stream that has sent nothing.
    ///
    /// Clients wait for two seconds, four times the objective or eight times the pause between
    /// events, whichever is longest.
    pub fn client_timeout(&self) -> Duration {
        let by_gap = self.gap_objective.unwrap_or_default() * 8;
        Duration::from_secs(2).max(self.objective * 4).max(by_gap)
    }
}
