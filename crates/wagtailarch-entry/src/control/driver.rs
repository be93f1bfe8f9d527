//! The loop of the control thread: it takes events, runs the decisions and starts calls.

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
    calls::{Calls, Done},
    configuration::{Found, follow_configuration},
    exchange::{Exchange, ListSource},
    gossip::PeerPort,
    thread::ControlInputs,
    zone::Zone,
};
use crate::{
    events::ControlEvent,
    settings::ms,
    shared::{Shared, Stage},
    snapshot::Snapshot,
};

/// Interval of the decisions.
const STEP_EVERY: Duration = Duration::from_millis(200);

/// Interval of publishing the backend servers when no event does, so that silence is noticed.
const PUBLISH_EVERY: Duration = Duration::from_secs(1);

/// Interval of writing the zone's status; readers take it for stale after 15 s.
const STATUS_EVERY: Duration = Duration::from_secs(4);

/// Interval of the steps that remove old claims and configuration parts without references. A
/// step lists 16 parts, 960 an hour, and 4,900 changes a day leave 408 an hour.
const COLLECT_EVERY: Duration = Duration::from_secs(60);

/// State of the control thread.
pub(super) struct Driver {
    shared: Arc<Shared>,
    calls: Calls,
    backends: Backends,
    zone: Zone,
    peers: Option<PeerPort>,
    exchange: Arc<Exchange>,
    /// Whether a list is being read.
    listing: bool,
    /// Engines whose report is being read.
    asking: IndexSet<InstanceId>,
    status_at: Duration,
    /// Generation of the last status.
    status_generation: u64,
    published_at: Duration,
    collected_at: Duration,
}

/// Runs the control thread until it is dropped.
pub(super) async fn run(shared: Arc<Shared>, inputs: ControlInputs) {
    let (calls, mut results) = Calls::new(Arc::clone(&shared), Arc::clone(&inputs.platform));
    let mut events = inputs.events;
    let exchange = Exchange::new(Arc::clone(&inputs.platform), &shared.settings.instance);
    let exchange = Arc::new(exchange);
    let mut findings = follow_configuration(&shared, inputs.platform, &exchange);
    let (peers, mut peer_events) = match inputs.peers {
        Some((peers, events)) => {
            let exchange = Arc::clone(&exchange);
            let port = PeerPort::new(Arc::clone(&shared), peers, exchange, &findings);
            (Some(port), Some(events))
        }
        None => (None, None),
    };
    let mut driver = Driver {
        backends: Backends::new(Arc::clone(&shared)),
        zone: Zone::new(Arc::clone(&shared)),
        calls,
        peers,
        exchange,
        listing: false,
        asking: IndexSet::new(),
        status_at: Duration::ZERO,
        status_generation: 0,
        published_at: Duration::ZERO,
        collected_at: Duration::ZERO,
        shared,
    };
    let timeouts = driver.shared.settings.timeouts;
    let mut list = interval(ms(timeouts.list_ms));
    let mut report = interval(ms(timeouts.report_ms));
    let mut step = interval(STEP_EVERY);
    for timer in [&mut list, &mut report, &mut step] {
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    }
    loop {
        tokio::select! {
            _ = step.tick() => driver.step(),
            _ = list.tick() => driver.ask_list(),
            _ = report.tick() => driver.ask_reports(),
            Some(done) = results.recv() => driver.on_done(done),
            Some(event) = events.recv() => driver.on_event(event),
            Some(found) = findings.receiver.recv() => driver.on_found(found),
            Some(event) = next(&mut peer_events) => driver.on_peer_event(event),
        }
    }
}

/// Waits for the next event of a queue; for ever without one.
async fn next<T>(queue: &mut Option<mpsc::Receiver<T>>) -> Option<T> {
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
        if now >= self.published_at + PUBLISH_EVERY {
            self.published_at = now;
            self.backends.publish();
        }
        // A fleet file in the settings stands for a fleet without orders.
        if self.shared.settings.fleet_file.is_some() {
            return;
        }
        if self.shared.stage() > Stage::Serving {
            self.zone.lease.resign();
        }
        if let Some(action) = self.zone.lease.tick(now) {
            self.calls.lease(action);
        }
        let (orders, floods) = self.zone.step(&mut self.backends);
        for (engine, drained) in floods {
            self.flood_drain(&engine, drained);
        }
        for order in orders {
            let address = self.address_of(&order);
            self.calls.order(order, address);
        }
        for engine in self.zone.watched() {
            self.ask_report(&engine);
        }
        self.write_status(now, generation);
        if now >= self.collected_at + COLLECT_EVERY && self.zone.collects() {
            self.collected_at = now;
            self.calls.collect();
        }
    }

    /// Writes the zone's status at its interval, or at once when all instances have a newer
    /// generation in force, so that operators need not wait for the interval.
    fn write_status(&mut self, now: Duration, newest: u64) {
        let Some(record) = self.zone.status(newest) else {
            return;
        };
        let caught_up = record.generation > self.status_generation;
        if !caught_up && now < self.status_at + STATUS_EVERY {
            return;
        }
        self.status_at = now;
        self.status_generation = record.generation;
        self.calls.status(&record);
    }

    fn generation(&self) -> u64 {
        let snapshot = self.shared.snapshot.load();
        snapshot.as_ref().map_or(0, |snapshot| snapshot.generation)
    }

    fn address_of(&self, action: &wagtailarch_control::OrderAction) -> Option<String> {
        let wagtailarch_control::OrderAction::Send { engine, .. } = action else {
            return None;
        };
        let engine = self.backends.engines().get(engine)?;
        Some(engine.address.clone())
    }

    fn ask_list(&mut self) {
        if !self.listing {
            self.listing = true;
            self.calls.list();
        }
    }

    fn ask_reports(&mut self) {
        let engines: Vec<_> = self.backends.engines().keys().cloned().collect();
        for engine in &engines {
            let polled = match &self.peers {
                Some(peers) => peers.polls(&self.backends, engine),
                None => true,
            };
            if polled {
                self.ask_report(engine);
            }
        }
        for (service, address) in self.backends.services_due() {
            if self.asking.insert(service.clone()) {
                self.calls.service_report(service, address);
            }
        }
        if self.asking.is_empty() {
            self.backends.on_all_asked();
        }
    }

    fn ask_report(&mut self, engine: &InstanceId) {
        let Some(listed) = self.backends.engines().get(engine) else {
            return;
        };
        if self.asking.insert(engine.clone()) {
            self.calls.report(engine.clone(), listed.address.clone());
        }
    }

    fn on_done(&mut self, done: Done) {
        let now = self.shared.now();
        match done {
            Done::List(asked_at, list) => {
                self.listing = false;
                let Some(list) = list else { return };
                let first = !self.backends.is_listed();
                self.exchange.set_list(ListSource::Platform, &list);
                for server in self.backends.on_list(asked_at, list) {
                    self.flood_leaving(&server);
                }
                self.zone.on_list(&self.backends);
                if let Some(peers) = &mut self.peers {
                    peers.contact(&self.backends);
                }
                if first {
                    self.ask_reports();
                }
            }
            Done::ServiceReport(service, report) => {
                self.asking.swap_remove(&service);
                if self.backends.on_service_report(&service, report.as_ref()) {
                    self.backends.publish();
                    self.flood_leaving(&service);
                }
                self.on_all_asked();
            }
            Done::Report(engine, asked_at, report) => {
                self.asking.swap_remove(&engine);
                if let Some(report) = report {
                    self.on_report(&engine, asked_at, *report);
                }
                self.on_all_asked();
            }
            Done::LeaseRead(outcome) => self.zone.lease.on_read(now, outcome),
            Done::LeaseWritten(outcome) => self.zone.lease.on_write(now, outcome),
            Done::OrderRead(engine, outcome) => self.zone.ledger.on_record(now, &engine, outcome),
            Done::OrderWritten(engine, outcome) => {
                self.zone.ledger.on_write(now, &engine, outcome);
            }
            Done::Sent(engine, outcome) => {
                self.zone.ledger.on_sent(now, &engine, outcome);
                self.ask_report(&engine);
            }
        }
    }

    /// Publishes the table once no report is outstanding.
    fn on_all_asked(&mut self) {
        if self.asking.is_empty() {
            self.backends.publish();
            self.backends.on_all_asked();
        }
    }

    fn on_report(
        &mut self,
        engine: &InstanceId,
        asked_at: Duration,
        report: wagtailarch_wire::engine::EngineReport,
    ) {
        if report.engine != *engine {
            return;
        }
        if self.backends.on_report(asked_at, report) {
            self.backends.publish();
            self.flood_leaving(engine);
        }
        if let Some(known) = self.backends.report(engine) {
            self.zone.on_report(engine, known);
            if let Some(peers) = &mut self.peers {
                peers.on_report(engine, known);
            }
        }
    }

    fn on_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Observation { backend, sign } => {
                if self.backends.on_sign(&backend, sign) {
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

    fn on_found(&mut self, found: Found) {
        match found {
            Found::Configuration(snapshot) => self.on_configuration(snapshot),
            Found::List(list) => self.on_peer_list(list),
        }
    }

    /// Takes a peer's list while the platform has given none.
    ///
    /// Orders, the lease and the zone's status never learn of it.
    fn on_peer_list(&mut self, list: InstanceList) {
        if self.backends.is_listed() {
            return;
        }
        self.exchange.set_list(ListSource::Peer, &list);
        self.backends.on_peer_list(list);
        if let Some(peers) = &mut self.peers {
            peers.contact(&self.backends);
        }
        self.ask_reports();
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
