//! Metrics of an instance.

use std::{
    fs,
    sync::atomic::AtomicU64,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use wagtailarch_control::ServerKind;
use wagtailarch_dispatch::{LoadBalancer, RequestKind, SecondCallDenial};
use wagtailarch_telemetry::{LabeledCounters, OutcomeCounters, register_counters};

/// Upper bounds in seconds of the buckets for the time to a response or to the first event.
const LATENCY_BUCKETS_S: [f64; 11] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 4.0, 8.0];

/// Kinds of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// A list of objects.
    List,
    /// A list that may be seconds old.
    StaleList,
    /// A read of one object.
    Get,
    /// A watch for changes.
    Watch,
    /// A write or a deletion.
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

/// Results of the requests for permits that this instance sends to coordinators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitResult {
    /// The server may be called.
    Granted,
    /// The limit leaves no room.
    Denied,
    /// The coordinator of the limit has not responded or is another instance.
    Unanswered,
}

impl PermitResult {
    const ALL: [Self; 3] = [Self::Granted, Self::Denied, Self::Unanswered];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Denied => "denied",
            Self::Unanswered => "unanswered",
        }
    }
}

/// What happened to a report of the use of teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UseEvent {
    /// The platform has accepted it.
    Sent,
    /// It was not accepted and is repeated.
    Failed,
}

impl UseEvent {
    const ALL: [Self; 2] = [Self::Sent, Self::Failed];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Failed => "failed",
        }
    }
}

/// What happened to clients' requests that go through another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardEvent {
    /// A request was sent to another instance.
    Sent,
    /// The other instance did not take the request, or was not reached.
    NotTaken,
    /// The connection to the other instance broke after the request was sent.
    Lost,
    /// A request of another instance was taken.
    Received,
    /// A request of another instance was not taken.
    Declined,
}

impl ForwardEvent {
    const ALL: [Self; 5] = [
        Self::Sent,
        Self::NotTaken,
        Self::Lost,
        Self::Received,
        Self::Declined,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::NotTaken => "not_taken",
            Self::Lost => "lost",
            Self::Received => "received",
            Self::Declined => "declined",
        }
    }
}

/// Results of orders for servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOrderResult {
    /// The platform accepted the order.
    Accepted,
    /// No such server is available in the zone at the moment.
    NoneAvailable,
    /// The order was not given, or refused for another reason.
    NotGiven,
    /// The platform did not respond.
    Unanswered,
}

impl ServerOrderResult {
    const ALL: [Self; 4] = [
        Self::Accepted,
        Self::NoneAvailable,
        Self::NotGiven,
        Self::Unanswered,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NoneAvailable => "none_available",
            Self::NotGiven => "not_given",
            Self::Unanswered => "unanswered",
        }
    }
}

/// What happened to calls to a second server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecondCallEvent {
    /// The call was sent.
    Sent,
    /// Its response went to the client.
    Won,
    /// It was cancelled, since the first call was answered or the client has left.
    Cancelled,
    /// It failed, or the first call failed and it did not succeed.
    Failed,
}

impl SecondCallEvent {
    const ALL: [Self; 4] = [Self::Sent, Self::Won, Self::Cancelled, Self::Failed];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Won => "won",
            Self::Cancelled => "cancelled",
            Self::Failed => "failed",
        }
    }
}

/// Numbers of open requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests without a complete response.
    pub requests: usize,
    /// Client connections.
    pub connections: usize,
}

/// Labels of a latency histogram.
type LatencyLabels = [(&'static str, &'static str); 2];

/// Metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Refusals and retries by reason.
    pub outcomes: OutcomeCounters,
    store_calls: LabeledCounters,
    store_failures: Counter,
    permits: LabeledCounters,
    forwards: LabeledCounters,
    server_orders: LabeledCounters,
    servers_wanted: Family<[(&'static str, String); 2], Gauge>,
    requests: LabeledCounters,
    use_reports: LabeledCounters,
    missed_windows: Counter,
    lost_use: Counter,
    ignored_datagrams: Counter,
    client_gone: Counter,
    repeats: Counter,
    second_calls: LabeledCounters,
    second_calls_denied: LabeledCounters,
    second_call_time: Counter<f64, AtomicU64>,
    open_requests: Gauge,
    open_connections: Gauge,
    generation: Gauge,
    servers: Gauge,
    peers: Gauge,
    lost_paths: Gauge,
    path_probes: Counter,
    open_prefills: Gauge,
    in_flight: ByServer,
    prefill_wait: ByServer,
    rate_limit: Family<[(&'static str, String); 1], Gauge<f64, AtomicU64>>,
    last_store_response: Family<[(&'static str, &'static str); 1], Gauge>,
    resident_bytes: Gauge,
    latency: Family<LatencyLabels, Histogram>,
}

/// Gauges by backend server; only usable servers are included.
type ByServer = Family<[(&'static str, String); 1], Gauge>;

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// `dropped_lines` counts the log lines that were not written.
    pub fn new(dropped_lines: Counter) -> Self {
        let mut registry = Registry::with_prefix("wagtail");
        let r = &mut registry;
        let outcomes = OutcomeCounters::new(r);
        let calls = StoreCall::ALL.map(StoreCall::as_str);
        let store_calls = register_counters(r, "store_calls", "Calls to the store", "call", &calls);
        let results = PermitResult::ALL.map(PermitResult::as_str);
        let help = "Requests for permits to call rate-limited servers";
        let permits = register_counters(r, "permits", help, "result", &results);
        let events = ForwardEvent::ALL.map(ForwardEvent::as_str);
        let help = "Requests that go through another instance";
        let forwards = register_counters(r, "forwards", help, "event", &events);
        let results = ServerOrderResult::ALL.map(ServerOrderResult::as_str);
        let help = "Orders for the number of servers";
        let server_orders = register_counters(r, "server_orders", help, "result", &results);
        let servers_wanted = Family::default();
        let help = "Servers that are there or ordered, at the instance that orders them";
        r.register("servers_wanted", help, servers_wanted.clone());
        let kinds = ["idempotent", "at_most_once", "stream", "resumable_stream"];
        let requests = register_counters(r, "requests", "Requests received", "kind", &kinds);
        let events = UseEvent::ALL.map(UseEvent::as_str);
        let help = "Reports of the use of teams by this instance";
        let use_reports = register_counters(r, "use_reports", help, "event", &events);
        let missed_windows = Counter::default();
        let help = "Windows of use without a report in time";
        r.register("use_windows_missed", help, missed_windows.clone());
        let lost_use = Counter::default();
        let help = "Requests of this instance that are missing in the use of their team";
        r.register("use_requests_lost", help, lost_use.clone());
        let ignored_datagrams = Counter::default();
        let help = "Datagrams of an unknown version";
        r.register("datagrams_ignored", help, ignored_datagrams.clone());
        let store_failures = Counter::default();
        let help = "Calls to the store without a result";
        r.register("store_failures", help, store_failures.clone());
        r.register(
            "log_lines_lost",
            "Log lines that were not written",
            dropped_lines,
        );
        let client_gone = Counter::default();
        let help = "Requests whose client left before the end of the answer";
        r.register("client_gone", help, client_gone.clone());
        let repeats = Counter::default();
        let help = "Calls taken from the retry budgets of services";
        r.register("repeats", help, repeats.clone());
        let events = SecondCallEvent::ALL.map(SecondCallEvent::as_str);
        let help = "Calls to a second server while the first one was slow";
        let second_calls = register_counters(r, "second_calls", help, "event", &events);
        let reasons = SecondCallDenial::ALL.map(SecondCallDenial::as_str);
        let help = "Slow calls without a call to a second server";
        let second_calls_denied =
            register_counters(r, "second_calls_denied", help, "reason", &reasons);
        let second_call_time = Counter::default();
        let help = "Time of the servers that second calls took";
        r.register("second_call_seconds", help, second_call_time.clone());
        let path_probes = Counter::default();
        let help = "Connections that only show whether a path is there";
        r.register("path_probes", help, path_probes.clone());
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
        let help = "Services to whose servers this instance has no path";
        let lost_paths = gauge("lost_paths", help);
        let open_prefills = gauge("open_reads", "Prompts sent to engines and not read yet");
        let resident_bytes = gauge("resident_bytes", "Memory of the process in RAM");
        let in_flight = ByServer::default();
        let help = "Requests of this instance at a backend server";
        registry.register("in_flight", help, in_flight.clone());
        let prefill_wait = ByServer::default();
        let help = "Predicted wait of a prompt at an engine, in milliseconds";
        registry.register("read_wait_ms", help, prefill_wait.clone());
        let rate_limit = Family::default();
        let help = "Rate limit that a backend server names, in requests per second";
        registry.register("server_limit_per_s", help, rate_limit.clone());
        let last_store_response = Family::default();
        let help = "Time of the last answer of the store, by kind of object";
        let name = "store_last_answer_timestamp_seconds";
        registry.register(name, help, last_store_response.clone());
        let latency = Family::<LatencyLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(LATENCY_BUCKETS_S)
        });
        let help = "Time to the answer, or to the first event of a stream, by kind and outcome";
        registry.register("latency_seconds", help, latency.clone());
        Self {
            registry,
            outcomes,
            store_calls,
            store_failures,
            permits,
            forwards,
            server_orders,
            servers_wanted,
            requests,
            use_reports,
            missed_windows,
            lost_use,
            ignored_datagrams,
            client_gone,
            repeats,
            second_calls,
            second_calls_denied,
            second_call_time,
            open_requests,
            open_connections,
            generation,
            servers,
            peers,
            lost_paths,
            path_probes,
            open_prefills,
            in_flight,
            prefill_wait,
            rate_limit,
            last_store_response,
            resident_bytes,
            latency,
        }
    }

    /// Counts a client's request.
    pub fn count_request(&self, kind: RequestKind) {
        self.requests
            .get_or_create(&[("kind", kind.as_str())])
            .inc();
    }

    /// Counts a report of the use of teams.
    pub fn count_use_report(&self, event: UseEvent) {
        self.use_reports
            .get_or_create(&[("event", event.as_str())])
            .inc();
    }

    /// Counts windows of use without a report in time.
    pub fn count_missed_windows(&self, windows: u64) {
        self.missed_windows.inc_by(windows);
    }

    /// Counts requests that are missing in the use of their team.
    pub fn count_lost_use(&self, requests: u64) {
        self.lost_use.inc_by(requests);
    }

    /// Counts a datagram of an unknown version.
    pub fn count_ignored_datagram(&self) {
        self.ignored_datagrams.inc();
    }

    /// Counts a request whose client disconnected before the end of the response.
    pub fn count_client_left(&self) {
        self.client_gone.inc();
    }

    /// Counts a call that was taken from the retry budget of its service.
    pub fn count_repeat(&self) {
        self.repeats.inc();
    }

    /// Counts an event of a call to a second server.
    pub fn count_second_call(&self, event: SecondCallEvent) {
        self.second_calls
            .get_or_create(&[("event", event.as_str())])
            .inc();
    }

    /// Counts a slow call that was not sent to a second server.
    pub fn count_second_call_denied(&self, denial: SecondCallDenial) {
        self.second_calls_denied
            .get_or_create(&[("reason", denial.as_str())])
            .inc();
    }

    /// Adds the time from a second call to its end.
    pub fn add_second_call_time(&self, time: Duration) {
        self.second_call_time.inc_by(time.as_secs_f64());
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: StoreCall) {
        self.store_calls
            .get_or_create(&[("call", call.as_str())])
            .inc();
    }

    /// Counts a request for a permit.
    pub fn count_permit(&self, result: PermitResult) {
        self.permits
            .get_or_create(&[("result", result.as_str())])
            .inc();
    }

    /// Counts an event of a request that goes through another instance.
    pub fn count_forward(&self, event: ForwardEvent) {
        self.forwards
            .get_or_create(&[("event", event.as_str())])
            .inc();
    }

    /// Counts an order for servers.
    pub fn count_server_order(&self, result: ServerOrderResult) {
        self.server_orders
            .get_or_create(&[("result", result.as_str())])
            .inc();
    }

    /// Sets the number of servers of a kind that are there or ordered.
    pub fn set_servers_wanted(&self, service: &str, kind: ServerKind, servers: u32) {
        let labels = [("service", service.to_owned()), ("kind", kind.to_string())];
        self.servers_wanted
            .get_or_create(&labels)
            .set(servers.into());
    }

    /// Counts a call to the store that had no result.
    pub fn count_store_failure(&self) {
        self.store_failures.inc();
    }

    /// Records the time to a response or to the first event of a stream.
    pub fn observe_latency(&self, kind: RequestKind, outcome: &'static str, time: Duration) {
        let labels = [("kind", kind.as_str()), ("outcome", outcome)];
        self.latency
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    /// Sets the generation of the configuration in force.
    pub fn set_generation(&self, generation: u64) {
        self.generation.set(generation as i64);
    }

    /// Sets the numbers of usable servers and listed peers.
    pub fn set_members(&self, servers: usize, peers: usize) {
        self.servers.set(servers as i64);
        self.peers.set(peers as i64);
    }

    /// Sets the number of services to whose servers there is no path.
    pub fn set_lost_paths(&self, services: usize) {
        self.lost_paths.set(services as i64);
    }

    /// Counts a connection that only shows whether a path is there.
    pub fn count_path_probe(&self) {
        self.path_probes.inc();
    }

    /// Records the time of the store's last response about a kind of objects.
    pub fn set_last_store_response(&self, kind: &'static str) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let seconds = since_epoch.unwrap_or_default().as_secs();
        let gauge = self.last_store_response.get_or_create(&[("kind", kind)]);
        gauge.set(seconds as i64);
    }

    /// Updates the gauges that are computed only when metrics are scraped.
    pub fn update(&self, now: Duration, load_balancer: &LoadBalancer, open: OpenCounts) {
        self.open_requests.set(open.requests as i64);
        self.open_connections.set(open.connections as i64);
        self.open_prefills
            .set(load_balancer.open_prefills().len() as i64);
        self.in_flight.clear();
        self.prefill_wait.clear();
        self.rate_limit.clear();
        for load in load_balancer.loads(now) {
            let labels = [("server", load.server.to_string())];
            let in_flight = self.in_flight.get_or_create(&labels);
            in_flight.set(load.in_flight.into());
            if let Some(wait) = load.on_time_wait {
                let prefill_wait = self.prefill_wait.get_or_create(&labels);
                prefill_wait.set(wait.as_millis() as i64);
            }
            if let Some(limit) = load.rate_limit {
                self.rate_limit.get_or_create(&labels).set(limit.per_s());
            }
        }
        if let Some(bytes) = resident_bytes() {
            self.resident_bytes.set(bytes);
        }
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

/// Returns the resident memory of this process; `None` where the system does not report it.
fn resident_bytes() -> Option<i64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: i64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}
