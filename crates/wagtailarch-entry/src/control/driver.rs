//! The main loop of the control thread: it handles events, runs the periodic steps and starts
//! calls.

use std::{sync::Arc, time::Duration};

use indexmap::IndexSet;
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};
use wagtailarch_types::InstanceId;
use wagtailarch_wire::platform::InstanceList;

use super::{
    backends::Backends,
    calls::{CallResult, Calls},
    configuration::{ConfigUpdate, watch_configuration},
    exchange::{ConfigExchange, ListSource},
    gossip::PeerGossip,
    thread::ControlInputs,
    zone::Zone,
};
use crate::{
    events::ControlEvent,
    settings::ms,
    shared::{Shared, Stage},
    snapshot::Snapshot,
};

/// Interval of the periodic step, which runs gossip, the lease, the rollout and orders.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the backend servers are published even without an event, so that unresponsive
/// servers are no longer selected.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of writing the zone's status, which readers treat as stale after 15 s.
const STATUS_INTERVAL: Duration = Duration::from_secs(4);

/// Interval of the steps that remove old claims and unreferenced configuration parts.
///
/// A step lists 16 parts, so 960 are listed per hour; 4,900 changes per day leave 408 unreferenced
/// parts per hour.
const COLLECT_INTERVAL: Duration = Duration::from_secs(60);

/// State of the control thread.
pub(super) struct Driver {
    shared: Arc<Shared>,
    calls: Calls,
    backends: Backends,
    zone: Zone,
    peers: Option<PeerGossip>,
    exchange: Arc<ConfigExchange>,
    /// Whether a request for the list is pending.
    list_pending: bool,
    /// Engines and plain services whose report was requested and has not arrived.
    pending_reports: IndexSet<InstanceId>,
    status_written_at: Duration,
    /// Generation in the last status that was written.
    status_generation: u64,
    published_at: Duration,
    collected_at: Duration,
}

/// Runs the main loop until the future is dropped.
pub(super) async fn run(shared: Arc<Shared>, inputs: ControlInputs) {
    let (calls, mut results) = Calls::new(Arc::clone(&shared), Arc::clone(&inputs.platform));
    let mut events = inputs.events;
    let exchange = ConfigExchange::new(Arc::clone(&inputs.platform), &shared.settings.instance);
    let exchange = Arc::new(exchange);
    let mut config_updates = watch_configuration(&shared, inputs.platform, &exchange);
    let (peers, mut peer_events) = match inputs.peers {
        Some((peers, events)) => {
            let exchange = Arc::clone(&exchange);
            let gossip = PeerGossip::new(Arc::clone(&shared), peers, exchange, &config_updates);
            (Some(gossip), Some(events))
        }
        None => (None, None),
    };
    let mut driver = Driver {
        backends: Backends::new(Arc::clone(&shared)),
        zone: Zone::new(Arc::clone(&shared)),
        calls,
        peers,
        exchange,
        list_pending: false,
        pending_reports: IndexSet::new(),
        status_written_at: Duration::ZERO,
        status_generation: 0,
        published_at: Duration::ZERO,
        collected_at: Duration::ZERO,
        shared,
    };
    let timeouts = driver.shared.settings.timeouts;
    let mut list = interval(ms(timeouts.list_ms));
    let mut report = interval(ms(timeouts.report_ms));
    let mut step = interval(STEP_INTERVAL);
    for timer in [&mut list, &mut report, &mut step] {
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    }
    loop {
        tokio::select! {
            _ = step.tick() => driver.step(),
            _ = list.tick() => driver.request_list(),
            _ = report.tick() => driver.request_reports(),
            Some(result) = results.recv() => driver.on_call_result(result),
            Some(event) = events.recv() => driver.on_event(event),
            Some(update) = config_updates.receiver.recv() => driver.on_config_update(update),
            Some(event) = next_event(&mut peer_events) => driver.on_peer_event(event),
        }
    }
}

/// Waits for the next event of a queue; never returns if there is no queue.
async fn next_event<T>(queue: &mut Option<mpsc::Receiver<T>>) -> Option<T> {
    match queue {
        Some(queue) => queue.recv().await,
        None => std::future::pending().await,
    }
}

impl Driver {
    fn step(&mut self) {
        let now = self.shared.now();
        let generation = self.generation();
        let (instance, boot_id) = (&self.shared.settings.instance, self.shared.boot_id);
        self.zone.status.on_ack(now, instance, boot_id, generation);
        if let Some(peers) = &mut self.peers {
            peers.tick(&self.backends);
        }
        if now >= self.published_at + PUBLISH_INTERVAL {
            self.published_at = now;
            self.backends.publish();
        }
        // With a fleet file in the settings, the fleet is static and gets no orders.
        if self.shared.settings.fleet_file.is_some() {
            return;
        }
        if self.shared.stage() > Stage::Serving {
            self.zone.lease.resign();
        }
        if let Some(action) = self.zone.lease.tick(now) {
            self.calls.start_lease_action(action);
        }
        let (orders, drain_changes) = self.zone.step(&mut self.backends);
        for (engine, drained) in drain_changes {
            self.flood_drain(&engine, drained);
        }
        for order in orders {
            let address = self.order_address(&order);
            self.calls.start_order_action(order, address);
        }
        for engine in self.zone.changing_engines() {
            self.request_report(&engine);
        }
        self.write_status(now, generation);
        if now >= self.collected_at + COLLECT_INTERVAL && self.zone.should_collect() {
            self.collected_at = now;
            self.calls.run_collectors();
        }
    }

    /// Writes the zone's status at its interval, or immediately when all instances of the zone have
    /// a newer generation in force, so that operators do not have to wait for the interval.
    fn write_status(&mut self, now: Duration, newest: u64) {
        let Some(record) = self.zone.status(newest) else {
            return;
        };
        let has_advanced = record.generation > self.status_generation;
        if !has_advanced && now < self.status_written_at + STATUS_INTERVAL {
            return;
        }
        self.status_written_at = now;
        self.status_generation = record.generation;
        self.calls.write_status(&record);
    }

    fn generation(&self) -> u64 {
        let snapshot = self.shared.snapshot.load();
        snapshot.as_ref().map_or(0, |snapshot| snapshot.generation)
    }

    fn order_address(&self, action: &wagtailarch_control::OrderAction) -> Option<String> {
        let wagtailarch_control::OrderAction::Send { engine, .. } = action else {
            return None;
        };
        let engine = self.backends.engines().get(engine)?;
        Some(engine.address.clone())
    }

    fn request_list(&mut self) {
        if !self.list_pending {
            self.list_pending = true;
            self.calls.request_list();
        }
    }

    fn request_reports(&mut self) {
        let engines: Vec<_> = self.backends.engines().keys().cloned().collect();
        for engine in &engines {
            let should_poll = match &self.peers {
                Some(peers) => peers.should_poll(&self.backends, engine),
                None => true,
            };
            if should_poll {
                self.request_report(engine);
            }
        }
        for (service, address) in self.backends.services_to_poll() {
            if self.pending_reports.insert(service.clone()) {
                self.calls.request_service_report(service, address);
            }
        }
        if self.pending_reports.is_empty() {
            self.backends.on_all_polled();
        }
    }

    fn request_report(&mut self, engine: &InstanceId) {
        let Some(listed_engine) = self.backends.engines().get(engine) else {
            return;
        };
        if self.pending_reports.insert(engine.clone()) {
            self.calls
                .request_report(engine.clone(), listed_engine.address.clone());
        }
    }

    fn on_call_result(&mut self, result: CallResult) {
        let now = self.shared.now();
        match result {
            CallResult::List(requested_at, list) => {
                self.list_pending = false;
                let Some(list) = list else { return };
                let is_first = !self.backends.has_platform_list();
                self.exchange.set_list(ListSource::Platform, &list);
                for server in self.backends.on_list(requested_at, list) {
                    self.flood_leaving(&server);
                }
                self.zone.on_list(&self.backends);
                if let Some(peers) = &mut self.peers {
                    peers.on_list(&self.backends);
                }
                if is_first {
                    self.request_reports();
                }
            }
            CallResult::ServiceReport(service, report) => {
                self.pending_reports.swap_remove(&service);
                if self.backends.on_service_report(&service, report.as_ref()) {
                    self.backends.publish();
                    self.flood_leaving(&service);
                }
                self.on_all_polled();
            }
            CallResult::Report(engine, requested_at, report) => {
                self.pending_reports.swap_remove(&engine);
                if let Some(report) = report {
                    self.on_report(&engine, requested_at, *report);
                }
                self.on_all_polled();
            }
            CallResult::LeaseRead(outcome) => self.zone.lease.on_read(now, outcome),
            CallResult::LeaseWritten(outcome) => self.zone.lease.on_write(now, outcome),
            CallResult::OrderRead(engine, outcome) => {
                self.zone.ledger.on_read(now, &engine, outcome)
            }
            CallResult::OrderWritten(engine, outcome) => {
                self.zone.ledger.on_write(now, &engine, outcome);
            }
            CallResult::Sent(engine, outcome) => {
                self.zone.ledger.on_sent(now, &engine, outcome);
                self.request_report(&engine);
            }
        }
    }

    /// Publishes the backend servers if no report is pending.
    fn on_all_polled(&mut self) {
        if self.pending_reports.is_empty() {
            self.backends.publish();
            self.backends.on_all_polled();
        }
    }

    fn on_report(
        &mut self,
        engine: &InstanceId,
        requested_at: Duration,
        report: wagtailarch_wire::engine::EngineReport,
    ) {
        if report.engine != *engine {
            return;
        }
        if self.backends.on_report(requested_at, report) {
            self.backends.publish();
            self.flood_leaving(engine);
        }
        if let Some(timed) = self.backends.report(engine) {
            self.zone.on_report(engine, timed);
            if let Some(peers) = &mut self.peers {
                peers.on_report(engine, timed);
            }
        }
    }

    fn on_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Observation {
                backend,
                observation,
            } => {
                if self.backends.on_observation(&backend, observation) {
                    self.flood_leaving(&backend);
                }
            }
            ControlEvent::Strikes(strikes) => {
                if let Some(peers) = &mut self.peers {
                    peers.flood_strikes(&self.backends, strikes);
                }
            }
        }
    }

    fn on_config_update(&mut self, update: ConfigUpdate) {
        match update {
            ConfigUpdate::Configuration(snapshot) => self.on_configuration(snapshot),
            ConfigUpdate::List(list) => self.on_peer_list(list),
        }
    }

    /// Applies a peer's list if the platform has not provided one yet.
    ///
    /// Orders, the lease and the zone's status do not use it.
    fn on_peer_list(&mut self, list: InstanceList) {
        if self.backends.has_platform_list() {
            return;
        }
        self.exchange.set_list(ListSource::Peer, &list);
        self.backends.on_peer_list(list);
        if let Some(peers) = &mut self.peers {
            peers.on_list(&self.backends);
        }
        self.request_reports();
    }

    fn on_configuration(&mut self, snapshot: Snapshot) {
        let generation = snapshot.generation;
        if self.shared.publish_configuration(snapshot)
            && let Some(peers) = &mut self.peers
        {
            peers.flood_generation(&self.backends, generation);
        }
    }

    fn on_peer_event(&mut self, event: crate::peers::PeerEvent) {
        if let Some(peers) = &mut self.peers {
            peers.on_event(&mut self.backends, &mut self.zone, event);
        }
    }

    fn flood_leaving(&mut self, backend: &InstanceId) {
        slog::info!(self.shared.log, "leaving"; "backend" => backend.as_str());
        if let Some(peers) = &mut self.peers {
            peers.flood_leaving(&self.backends, backend);
        }
    }

    fn flood_drain(&mut self, engine: &InstanceId, drained: bool) {
        self.backends.on_planned_drain(engine, drained);
        if let Some(peers) = &mut self.peers {
            peers.flood_drain(&self.backends, engine, drained);
        }
    }
}
