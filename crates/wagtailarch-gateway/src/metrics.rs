//! Metrics of an instance.

use std::time::Duration;

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use wagtailarch_dispatch::RequestKind;
use wagtailarch_telemetry::{Counters, OutcomeCounters, closed_counters};

/// Upper bounds of the buckets for answers and first events, in seconds.
const LATENCY_S: [f64; 11] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 4.0, 8.0];

/// Calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// A list.
    List,
    /// A list that may be seconds old.
    StaleList,
    /// One object.
    Get,
    /// A watch.
    Watch,
    /// A write.
    Write,
}

impl StoreCall {
    const ALL: [Self; 5] = [
        Self::List,
        Self::StaleList,
        Self::Get,
        Self::Watch,
        Self::Write,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::StaleList => "stale_list",
            Self::Get => "get",
            Self::Watch => "watch",
            Self::Write => "write",
        }
    }
}

/// Labels of a latency histogram.
type LatencyLabels = [(&'static str, &'static str); 2];

/// Metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Refusals and retries by reason.
    pub outcomes: OutcomeCounters,
    store_calls: Counters,
    store_failures: Counter,
    requests: Counters,
    client_gone: Counter,
    open_requests: Gauge,
    /// Connections of clients.
    pub open_connections: Gauge,
    generation: Gauge,
    servers: Gauge,
    peers: Gauge,
    latency: Family<LatencyLabels, Histogram>,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("wagtail");
        let r = &mut registry;
        let outcomes = OutcomeCounters::new(r);
        let calls = StoreCall::ALL.map(StoreCall::as_str);
        let store_calls = closed_counters(r, "store_calls", "Calls to the store", "call", &calls);
        let kinds = ["idempotent", "at_most_once", "stream", "resumable_stream"];
        let requests = closed_counters(r, "requests", "Requests received", "kind", &kinds);
        let store_failures = Counter::default();
        let help = "Calls to the store without a result";
        r.register("store_failures", help, store_failures.clone());
        let client_gone = Counter::default();
        let help = "Requests whose client left before the end of the answer";
        r.register("client_gone", help, client_gone.clone());
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let open_requests = gauge("open_requests", "Requests without a complete answer");
        let open_connections = gauge("open_connections", "Connections of clients");
        let generation = gauge("generation", "Generation of the configuration in force");
        let servers = gauge("servers", "Usable backend servers");
        let peers = gauge("peers", "Other entry instances that are listed");
        let latency =
            Family::<LatencyLabels, Histogram>::new_with_constructor(|| Histogram::new(LATENCY_S));
        let help = "Time to the answer, or to the first event of a stream, by kind and outcome";
        registry.register("latency_seconds", help, latency.clone());
        Self {
            registry,
            outcomes,
            store_calls,
            store_failures,
            requests,
            client_gone,
            open_requests,
            open_connections,
            generation,
            servers,
            peers,
            latency,
        }
    }

    /// Counts a request of a client.
    pub fn request(&self, kind: RequestKind) {
        self.requests
            .get_or_create(&[("kind", kind.as_str())])
            .inc();
        self.open_requests.inc();
    }

    /// Counts the end of a request.
    pub fn request_ended(&self) {
        self.open_requests.dec();
    }

    /// Counts a request whose client left.
    pub fn client_left(&self) {
        self.client_gone.inc();
    }

    /// Counts a call to the store.
    pub fn store_call(&self, call: StoreCall) {
        self.store_calls
            .get_or_create(&[("call", call.as_str())])
            .inc();
    }

    /// Counts a call to the store that had no result.
    pub fn store_failure(&self) {
        self.store_failures.inc();
    }

    /// Observes the time to an answer or to the first event of a stream.
    pub fn latency(&self, kind: RequestKind, outcome: &'static str, time: Duration) {
        let labels = [("kind", kind.as_str()), ("outcome", outcome)];
        self.latency
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    /// Sets the generation in force.
    pub fn set_generation(&self, generation: u64) {
        self.generation.set(generation as i64);
    }

    /// Sets the numbers of usable servers and listed peers.
    pub fn set_members(&self, servers: usize, peers: usize) {
        self.servers.set(servers as i64);
        self.peers.set(peers as i64);
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
