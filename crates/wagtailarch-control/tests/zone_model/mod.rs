//! A model of one zone: instances, platform, network and engines.

pub mod engine;
pub mod oracle;
pub mod process;

use std::time::Duration;

use wagtailarch_control::{LeaseAction, OrderAction, ReadOutcome, SendOutcome, WriteOutcome};
use wagtailarch_types::{BackendState, BootId, Generation, ObjectVersion, Role};
use wagtailarch_wire::engine::{Order, OrderKind};
use wagtailarch_wire::records::{LeaseRecord, OrderRecord};

use engine::{Engine, Report};
use oracle::Oracle;
use process::{Deed, Mail, Process, instance};

pub const PROCESSES: usize = 3;
pub const ENGINES: usize = 4;
/// Duration of one turn of the model.
const TURN: Duration = Duration::from_millis(250);
/// TCP user timeout of an order's connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a closed connection may still deliver. The user timeout bounds it; the design
/// waits 10 s by the clock of an instance.
const BUFFERED: Duration = Duration::from_secs(8);
/// Rates of the instances' clocks, which count from different epochs too.
const CLOCK_RATES: [f64; PROCESSES] = [0.88, 1.0, 1.12];
/// Time after which a platform call without an answer ends.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Platform calls whose answer was given up and that may still take effect.
const MAX_GHOSTS: usize = 8;

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformMode {
    Up,
    /// Calls take effect, and their answers are lost.
    LosesAnswers,
    Down,
}

/// A platform call on its way.
#[derive(Debug, Clone)]
struct Call {
    from: usize,
    boot_id: BootId,
    at: Duration,
    body: CallBody,
}

#[derive(Debug, Clone)]
enum CallBody {
    Lease(LeaseAction),
    ReadOrder(usize),
    WriteOrder(usize, OrderRecord, Option<ObjectVersion>),
}

/// An order on its connection.
#[derive(Debug)]
struct Flight {
    from: usize,
    boot_id: BootId,
    engine: usize,
    /// Engine process that the connection leads to.
    engine_boot: BootId,
    order: Order,
    written_at: Option<Duration>,
    closed_at: Option<Duration>,
}

/// The modelled zone.
#[derive(Debug)]
pub struct World {
    now: Duration,
    mode: PlatformMode,
    stuck: bool,
    /// Whether the next process that prepares an order is paused.
    trapped: bool,
    /// Whether the next engine whose assign order is recorded restarts.
    engine_trapped: bool,
    generation: Generation,
    version: ObjectVersion,
    lease: Option<(LeaseRecord, ObjectVersion)>,
    orders: Vec<Option<(OrderRecord, ObjectVersion)>>,
    processes: Vec<Process>,
    engines: Vec<Engine>,
    calls: Vec<Call>,
    ghosts: Vec<Call>,
    flights: Vec<Flight>,
    reports: Vec<(usize, BootId, Report)>,
    dead: Vec<(usize, BootId)>,
    planned: Vec<(usize, Role)>,
    next_boot: BootId,
    pub oracle: Oracle,
}

impl World {
    pub fn new() -> Self {
        let boots = 1..=PROCESSES as BootId;
        Self {
            now: Duration::from_secs(1),
            mode: PlatformMode::Up,
            stuck: false,
            trapped: false,
            engine_trapped: false,
            generation: 0,
            version: 0,
            lease: None,
            orders: vec![None; ENGINES],
            processes: boots
                .map(|boot| Process::new(boot as usize - 1, boot, PROCESSES, ENGINES))
                .collect(),
            engines: (0..ENGINES)
                .map(|index| Engine::new(index, index.is_multiple_of(2)))
                .collect(),
            calls: Vec::new(),
            ghosts: Vec::new(),
            flights: Vec::new(),
            reports: Vec::new(),
            dead: Vec::new(),
            planned: Vec::new(),
            next_boot: PROCESSES as BootId + 1,
            oracle: Oracle::default(),
        }
    }

    /// Lets `turns` turns pass, in which the network works and running processes step.
    pub fn advance(&mut self, turns: u32) {
        for _ in 0..turns {
            self.pass(TURN);
            self.exchange_reports();
            self.gossip();
            for index in 0..PROCESSES {
                self.step(index);
            }
            self.serve_calls();
            if !self.stuck {
                while let Some(at) = self.flights.iter().position(|f| f.written_at.is_some()) {
                    self.deliver(at);
                }
            }
            self.check();
        }
    }

    /// Lets time pass without any exchange.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        for engine in &mut self.engines {
            engine.advance(self.now, &mut self.oracle);
        }
        self.expire_flights();
        self.check();
    }

    /// Returns the time by the clock of a process.
    fn clock(&self, index: usize) -> Duration {
        self.now.mul_f64(CLOCK_RATES[index]) + Duration::from_secs(index as u64)
    }

    /// Lets one process step; orders that it prepared before are written to their connections,
    /// without another look at the clock, as a process does that was paused after its check.
    pub fn step(&mut self, index: usize) {
        if !self.processes[index].runs() {
            return;
        }
        for flight in &mut self.flights {
            if flight.from == index && flight.written_at.is_none() {
                flight.written_at = Some(self.now);
            }
        }
        let now = self.clock(index);
        let process = &mut self.processes[index];
        for (dead, boot_id) in &self.dead {
            process
                .ledger
                .on_sender_removed(now, &instance(*dead), *boot_id);
        }
        let deeds = process.step(now, &self.planned);
        for deed in deeds {
            self.perform(index, deed);
        }
        self.check();
    }

    pub fn pause(&mut self, index: usize) {
        self.processes[index].paused = true;
    }

    /// Pauses the lease holder, with the orders that it has prepared.
    pub fn pause_holder(&mut self) {
        for index in 0..PROCESSES {
            let now = self.clock(index);
            let process = &mut self.processes[index];
            if process.runs() && process.lease.authority(now).is_some() {
                process.paused = true;
            }
        }
    }

    /// Pauses the next sender between the check of its authority and the sending of its order.
    pub fn trap_sender(&mut self) {
        self.trapped = true;
    }

    /// Restarts the next engine whose assign order is recorded, and gives it a request.
    pub fn trap_engine(&mut self) {
        self.engine_trapped = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.processes[index].paused = false;
        self.step(index);
    }

    /// Kills a process and starts another one of the same name.
    pub fn restart(&mut self, index: usize) {
        let boot_id = self.processes[index].boot_id;
        self.dead.push((index, boot_id));
        let (flights, lost): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|f| f.from != index || f.boot_id != boot_id || f.written_at.is_some());
        self.flights = flights;
        for flight in lost {
            self.oracle.on_resolved(flight.engine, flight.order.nonce);
        }
        for flight in &mut self.flights {
            if flight.from == index && flight.boot_id == boot_id {
                flight.closed_at.get_or_insert(self.now);
            }
        }
        self.processes[index] = Process::new(index, self.next_boot, PROCESSES, ENGINES);
        self.next_boot += 1;
    }

    pub fn restart_engine(&mut self, index: usize) {
        self.engines[index].restart(&mut self.oracle);
        let mut at = 0;
        while at < self.flights.len() {
            if self.flights[at].engine == index {
                let flight = self.flights.swap_remove(at);
                self.oracle.on_resolved(index, flight.order.nonce);
                self.reply(&flight, SendOutcome::Unknown);
                continue;
            }
            at += 1;
        }
    }

    pub fn set_mode(&mut self, mode: PlatformMode) {
        self.mode = mode;
    }

    pub fn set_stuck(&mut self, stuck: bool) {
        self.stuck = stuck;
    }

    pub fn apply_configuration(&mut self) {
        self.generation += 1;
    }

    /// Lets a process read an older manifest than the last one.
    pub fn read_stale_manifest(&mut self, process: usize) {
        let stale = Mail::Manifest(self.generation.saturating_sub(1));
        self.processes[process].mailbox.push_back(stale);
    }

    pub fn plan(&mut self, engine: usize, role: Role) {
        self.planned.retain(|(planned, _)| *planned != engine);
        self.planned.push((engine, role));
    }

    pub fn begin_request(&mut self, engine: usize) {
        self.engines[engine].begin_request();
    }

    pub fn finish_requests(&mut self, engine: usize) {
        self.engines[engine].finish_requests();
    }

    /// Captures a report that arrives later.
    pub fn capture_report(&mut self, process: usize, engine: usize) {
        let report = self.engines[engine].report(self.clock(process));
        let boot_id = self.processes[process].boot_id;
        self.reports.push((process, boot_id, report));
    }

    /// Delivers an order on a stuck network.
    pub fn deliver_one(&mut self, choice: usize) {
        let written: Vec<_> = (0..self.flights.len())
            .filter(|at| self.flights[*at].written_at.is_some())
            .collect();
        if let Some(at) = written.get(choice % written.len().max(1)) {
            self.deliver(*at);
        }
    }

    /// Lets a write take effect whose answer was given up.
    pub fn serve_ghost(&mut self, choice: usize) {
        if !self.ghosts.is_empty() {
            let call = self.ghosts.swap_remove(choice % self.ghosts.len());
            self.serve(&call.body);
        }
    }

    fn perform(&mut self, index: usize, deed: Deed) {
        let body = match deed {
            Deed::Lease(action) => CallBody::Lease(action),
            Deed::Order(OrderAction::ReadRecord { engine }) => CallBody::ReadOrder(number(&engine)),
            Deed::Order(OrderAction::WriteRecord {
                engine,
                record,
                expect,
            }) => CallBody::WriteOrder(number(&engine), record, expect),
            Deed::Order(OrderAction::Send { engine, order, .. }) => {
                self.connect(index, number(&engine), order);
                return;
            }
        };
        self.calls.push(Call {
            from: index,
            boot_id: self.processes[index].boot_id,
            at: self.now,
            body,
        });
    }

    /// Connects and reads a report on the connection, as the runner does before it sends.
    fn connect(&mut self, from: usize, engine: usize, order: Order) {
        let target = &self.engines[engine];
        let ready = target.state == BackendState::Draining && target.running == 0;
        let flight = Flight {
            from,
            boot_id: self.processes[from].boot_id,
            engine,
            engine_boot: target.boot_id,
            order,
            written_at: None,
            closed_at: None,
        };
        if matches!(flight.order.kind, OrderKind::Assign(_)) && !ready {
            self.reply(&flight, SendOutcome::NotSent);
            return;
        }
        let (nonce, number) = (flight.order.nonce, flight.order.fencing_number);
        self.oracle.on_sent(engine, target.checks, nonce, number);
        self.flights.push(flight);
        if std::mem::take(&mut self.trapped) {
            self.processes[from].paused = true;
        }
    }

    fn deliver(&mut self, at: usize) {
        let flight = self.flights.swap_remove(at);
        let engine = &mut self.engines[flight.engine];
        assert_eq!(
            engine.boot_id, flight.engine_boot,
            "model: stale connection"
        );
        let accepted = engine.take(self.now, &flight.order, &mut self.oracle);
        if flight.closed_at.is_some() {
            self.oracle.tally.late_orders += 1;
            return;
        }
        let outcome = if accepted {
            SendOutcome::Accepted
        } else {
            SendOutcome::Refused
        };
        self.reply(&flight, outcome);
    }

    fn expire_flights(&mut self) {
        let now = self.now;
        let mut at = 0;
        while at < self.flights.len() {
            let flight = &mut self.flights[at];
            let timed_out = flight.written_at.is_some_and(|t| now > t + USER_TIMEOUT);
            if timed_out && flight.closed_at.is_none() {
                flight.closed_at = Some(now);
                let (from, boot_id, engine) = (flight.from, flight.boot_id, flight.engine);
                self.mail(from, boot_id, Mail::Sent(engine, SendOutcome::Unknown));
            }
            if self.flights[at]
                .closed_at
                .is_some_and(|t| now >= t + BUFFERED)
            {
                let flight = self.flights.swap_remove(at);
                self.oracle.on_resolved(flight.engine, flight.order.nonce);
                continue;
            }
            at += 1;
        }
    }

    fn reply(&mut self, flight: &Flight, outcome: SendOutcome) {
        if flight.closed_at.is_none() {
            self.mail(
                flight.from,
                flight.boot_id,
                Mail::Sent(flight.engine, outcome),
            );
        }
    }

    fn mail(&mut self, to: usize, boot_id: BootId, mail: Mail) {
        let process = &mut self.processes[to];
        if process.boot_id == boot_id {
            process.mailbox.push_back(mail);
        }
    }

    fn serve_calls(&mut self) {
        for call in std::mem::take(&mut self.calls) {
            match self.mode {
                PlatformMode::Up => {
                    let mail = self.serve(&call.body);
                    self.mail(call.from, call.boot_id, mail);
                }
                PlatformMode::LosesAnswers => {
                    self.serve(&call.body);
                    self.mail(call.from, call.boot_id, lost(&call.body));
                }
                PlatformMode::Down if self.now >= call.at + CALL_TIMEOUT => {
                    self.mail(call.from, call.boot_id, lost(&call.body));
                    self.ghosts.truncate(MAX_GHOSTS - 1);
                    self.ghosts.push(call);
                }
                PlatformMode::Down => self.calls.push(call),
            }
        }
    }

    fn serve(&mut self, body: &CallBody) -> Mail {
        match body {
            CallBody::Lease(LeaseAction::Read) => Mail::LeaseRead(read(&self.lease)),
            CallBody::Lease(LeaseAction::Write { record, expect }) => {
                let slot = &mut self.lease;
                Mail::LeaseWritten(write(&mut self.version, slot, record, *expect))
            }
            CallBody::ReadOrder(engine) => Mail::OrderRead(*engine, read(&self.orders[*engine])),
            CallBody::WriteOrder(engine, record, expect) => {
                let is_assign = matches!(record.desired, OrderKind::Assign(_));
                if is_assign && std::mem::take(&mut self.engine_trapped) {
                    self.restart_engine(*engine);
                    self.engines[*engine].begin_request();
                }
                let slot = &mut self.orders[*engine];
                Mail::OrderWritten(*engine, write(&mut self.version, slot, record, *expect))
            }
        }
    }

    fn exchange_reports(&mut self) {
        for (process, boot_id, report) in std::mem::take(&mut self.reports) {
            self.mail(process, boot_id, Mail::Report(report));
        }
        for process in 0..PROCESSES {
            for engine in 0..ENGINES {
                let report = self.engines[engine].report(self.clock(process));
                if self.processes[process].runs() {
                    self.processes[process]
                        .mailbox
                        .push_back(Mail::Report(report));
                }
            }
        }
    }

    /// Each running process reads the manifest if the platform is up, and gossips with the next.
    fn gossip(&mut self) {
        for index in 0..PROCESSES {
            let peer = (index + 1 + self.now.as_secs() as usize % 2) % PROCESSES;
            if self.mode == PlatformMode::Up {
                self.processes[index]
                    .mailbox
                    .push_back(Mail::Manifest(self.generation));
            }
            if !self.processes[index].runs() || peer == index {
                continue;
            }
            let delta = self.processes[index]
                .gossip
                .delta_for(&self.processes[peer].gossip.digest());
            self.processes[peer].mailbox.push_back(Mail::Delta(delta));
            self.processes[index].mailbox.truncate(256);
        }
    }

    fn check(&mut self) {
        let mut held = Vec::new();
        let in_force: Vec<_> = self
            .processes
            .iter()
            .map(|p| p.tracker.in_force())
            .collect();
        for process in &self.processes {
            let now = self.clock(process.index);
            let name = format!("i{}", process.index);
            let boot_id = process.boot_id;
            let generation = process.tracker.in_force();
            self.oracle.on_generation(name.clone(), boot_id, generation);
            if !process.runs() {
                continue;
            }
            held.extend(
                process
                    .lease
                    .authority(now)
                    .map(|held| (process.index, held)),
            );
            let status = process.status.record(now, self.generation, 0, 0);
            // A restarted process begins at 0; its predecessor's word stands until it is heard.
            if self.dead.is_empty() {
                self.oracle.on_status(status.generation, &in_force);
            }
        }
        self.oracle.on_authorities(self.now, &held);
    }
}

fn number(engine: &str) -> usize {
    engine[1..].parse().unwrap()
}

fn read<T: Clone>(slot: &Option<(T, ObjectVersion)>) -> ReadOutcome<T> {
    match slot {
        Some((record, version)) => ReadOutcome::Found(record.clone(), *version),
        None => ReadOutcome::Absent,
    }
}

fn write<T: Clone>(
    last: &mut ObjectVersion,
    slot: &mut Option<(T, ObjectVersion)>,
    record: &T,
    expect: Option<ObjectVersion>,
) -> WriteOutcome {
    if slot.as_ref().map(|(_, version)| *version) != expect {
        return WriteOutcome::Conflict;
    }
    *last += 1;
    *slot = Some((record.clone(), *last));
    WriteOutcome::Written(*last)
}

fn lost(body: &CallBody) -> Mail {
    match body {
        CallBody::Lease(LeaseAction::Read) => Mail::LeaseRead(ReadOutcome::Failed),
        CallBody::Lease(LeaseAction::Write { .. }) => Mail::LeaseWritten(WriteOutcome::Unknown),
        CallBody::ReadOrder(engine) => Mail::OrderRead(*engine, ReadOutcome::Failed),
        CallBody::WriteOrder(engine, ..) => Mail::OrderWritten(*engine, WriteOutcome::Unknown),
    }
}
