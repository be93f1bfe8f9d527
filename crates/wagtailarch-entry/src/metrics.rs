//! Metrics of an instance.

use std::time::Duration;

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use wagtailarch_telemetry::{LabeledCounters, OutcomeCounters, register_counters};

/// Causes for which a frame of an engine is not delivered.
pub const DROP_CAUSES: [&str; 6] = [
    "other_request",
    "other_attempt",
    "duplicate",
    "gap",
    "closed",
    "too_long",
];

/// Counted events of client connections.
pub const CONNECTION_EVENTS: [&str; 4] = ["accepted", "refused", "failed", "reset"];

/// Kinds of hints to the control thread that are dropped if its queue is full.
pub const HINT_KINDS: [&str; 2] = ["sign", "strikes"];

/// Causes for which a part of a configuration or list from a peer is dropped.
pub const CONFIG_DROP_CAUSES: [&str; 4] = ["unexpected", "malformed", "oversized", "wrong_hash"];

/// Metrics of an instance, registered under the prefix `wagtail`.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Refusals and retries by reason.
    pub outcomes: OutcomeCounters,
    dropped_frames: LabeledCounters,
    connections: LabeledCounters,
    dropped_hints: LabeledCounters,
    dropped_config_parts: LabeledCounters,
    /// Number of received requests.
    pub requests: Counter,
    /// Number of requests with a complete response.
    pub completed: Counter,
    /// Number of requests cancelled because the client disconnected.
    pub client_gone: Counter,
    /// Number of requests cancelled because the client stopped reading.
    pub client_stalled: Counter,
    /// Number of frames of engines that could not be parsed.
    pub malformed_frames: Counter,
    /// Number of cancel calls sent to engines.
    pub cancels: Counter,
    /// Number of detected crashes of backend servers.
    pub crashes: Counter,
    /// Number of running requests.
    pub running: Gauge,
    /// Number of open client connections.
    pub open_connections: Gauge,
    /// Generation of the active configuration.
    pub generation: Gauge,
    /// Number of delivered tokens.
    pub tokens: Counter,
    /// Time from the end of the request's body to the first byte sent to a backend server.
    pub added_latency: Histogram,
    /// Time from the arrival of a request to its first token.
    pub first_token: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("wagtail");
        let outcomes = OutcomeCounters::new(&mut registry);
        let dropped_frames = register_counters(
            &mut registry,
            "dropped_frames",
            "Engine frames that were not delivered",
            "cause",
            &DROP_CAUSES,
        );
        let connections = register_counters(
            &mut registry,
            "connections",
            "Client connection events",
            "event",
            &CONNECTION_EVENTS,
        );
        let dropped_hints = register_counters(
            &mut registry,
            "dropped_hints",
            "Hints that the control thread had no room for",
            "kind",
            &HINT_KINDS,
        );
        let dropped_config_parts = register_counters(
            &mut registry,
            "dropped_config",
            "Parts of a configuration or list of a peer that were dropped",
            "cause",
            &CONFIG_DROP_CAUSES,
        );
        let metrics = Self {
            outcomes,
            dropped_frames,
            connections,
            dropped_hints,
            dropped_config_parts,
            requests: Counter::default(),
            completed: Counter::default(),
            client_gone: Counter::default(),
            client_stalled: Counter::default(),
            malformed_frames: Counter::default(),
            cancels: Counter::default(),
            crashes: Counter::default(),
            running: Gauge::default(),
            open_connections: Gauge::default(),
            generation: Gauge::default(),
            tokens: Counter::default(),
            added_latency: Histogram::new(ADDED_LATENCY_S),
            first_token: Histogram::new(FIRST_TOKEN_S),
            registry,
        };
        metrics.register()
    }

    /// Registers the counters, gauges and histograms without labels.
    fn register(mut self) -> Self {
        let r = &mut self.registry;
        r.register("requests", "Requests received", self.requests.clone());
        r.register(
            "completed",
            "Requests answered completely",
            self.completed.clone(),
        );
        r.register(
            "client_gone",
            "Requests whose client went away",
            self.client_gone.clone(),
        );
        let help = "Requests whose client stopped reading";
        r.register("client_stalled", help, self.client_stalled.clone());
        let help = "Engine frames that could not be parsed";
        r.register("malformed_frames", help, self.malformed_frames.clone());
        r.register(
            "cancels",
            "Cancel calls sent to engines",
            self.cancels.clone(),
        );
        r.register(
            "crashes",
            "Backend server crashes seen",
            self.crashes.clone(),
        );
        r.register("running", "Requests running", self.running.clone());
        r.register(
            "open_connections",
            "Connections open",
            self.open_connections.clone(),
        );
        r.register("generation", "Generation in force", self.generation.clone());
        r.register("tokens", "Tokens delivered", self.tokens.clone());
        let help = "Time spent before the first byte to a backend server";
        r.register("added_latency_seconds", help, self.added_latency.clone());
        let help = "Time from the request to its first token";
        r.register("first_token_seconds", help, self.first_token.clone());
        self
    }

    /// Counts a frame that was not delivered; `cause` is one of [`DROP_CAUSES`].
    pub fn count_dropped_frame(&self, cause: &'static str) {
        self.dropped_frames.get_or_create(&[("cause", cause)]).inc();
    }

    /// Counts a connection event; `event` is one of [`CONNECTION_EVENTS`].
    pub fn count_connection_event(&self, event: &'static str) {
        self.connections.get_or_create(&[("event", event)]).inc();
    }

    /// Counts a hint that was dropped; `kind` is one of [`HINT_KINDS`].
    pub fn count_dropped_hint(&self, kind: &'static str) {
        self.dropped_hints.get_or_create(&[("kind", kind)]).inc();
    }

    /// Counts a dropped part of a configuration or list; `cause` is one of [`CONFIG_DROP_CAUSES`].
    pub fn count_dropped_config(&self, cause: &'static str) {
        self.dropped_config_parts
            .get_or_create(&[("cause", cause)])
            .inc();
    }

    /// Returns the number of parts of a configuration or list that were dropped for `cause`.
    pub fn dropped_config_count(&self, cause: &'static str) -> u64 {
        self.dropped_config_parts
            .get_or_create(&[("cause", cause)])
            .get()
    }

    /// Returns the number of frames that were dropped for `cause`.
    pub fn dropped_frame_count(&self, cause: &'static str) -> u64 {
        self.dropped_frames.get_or_create(&[("cause", cause)]).get()
    }

    /// Adds a duration to a histogram of seconds.
    pub fn observe(histogram: &Histogram, duration: Duration) {
        histogram.observe(duration.as_secs_f64());
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

/// Upper bounds of the histogram buckets for the added latency, in seconds.
const ADDED_LATENCY_S: [f64; 10] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.05, 0.25, 1.0,
];

/// Upper bounds of the histogram buckets for the time to the first token, in seconds.
const FIRST_TOKEN_S: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.5, 5.0, 10.0];
