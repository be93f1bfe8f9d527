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
use process::{Message, Process, ProcessCall, instance};

pub const PROCESSES: usize = 3;
pub const ENGINES: usize = 4;
/// Duration of one turn of the model.
const TURN: Duration = Duration::from_millis(250);
/// TCP user timeout of an order's connection.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a closed connection may still deliver. The user timeout bounds it; the design
/// waits 10 s by the clock of an instance.
const BUFFERED_AFTER_CLOSE: Duration = Duration::from_secs(8);
/// Rates of the instances' clocks, whose epochs differ as well.
const CLOCK_RATES: [f64; PROCESSES] = [0.88, 1.0, 1.12];
/// Time after which a platform call without a response times out.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Greatest number of platform calls that timed out and may still take effect.
const MAX_LATE_CALLS: usize = 8;

/// Behaviour of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformMode {
    Up,
    /// Calls take effect, but their responses are lost.
    LosesResponses,
    Down,
}

/// A platform call in flight.
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

/// The delivery of an order over its connection.
#[derive(Debug)]
struct Delivery {
    from: usize,
    boot_id: BootId,
    engine: usize,
    /// Boot id of the engine process to which the connection was opened.
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
    /// Whether orders are not delivered.
    network_blocked: bool,
    /// Whether the next process that prepares an order is paused.
    pause_next_sender: bool,
    /// Whether the next engine whose assign order is recorded restarts.
    restart_next_engine: bool,
    generation: Generation,
    version: ObjectVersion,
    lease: Option<(LeaseRecord, ObjectVersion)>,
    orders: Vec<Option<(OrderRecord, ObjectVersion)>>,
    processes: Vec<Process>,
    engines: Vec<Engine>,
    calls: Vec<Call>,
    /// Calls that timed out and may still take effect.
    late_calls: Vec<Call>,
    deliveries: Vec<Delivery>,
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
            network_blocked: false,
            pause_next_sender: false,
            restart_next_engine: false,
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
            late_calls: Vec::new(),
            deliveries: Vec::new(),
            reports: Vec::new(),
            dead: Vec::new(),
            planned: Vec::new(),
            next_boot: PROCESSES as BootId + 1,
            oracle: Oracle::default(),
        }
    }

    /// Advances the model by `turns` turns, in each of which the network exchanges messages and the
    /// running processes step.
    pub fn advance(&mut self, turns: u32) {
        for _ in 0..turns {
            self.pass_time(TURN);
            self.exchange_reports();
            self.gossip();
            for index in 0..PROCESSES {
                self.step(index);
            }
            self.serve_calls();
            if !self.network_blocked {
                while let Some(at) = self.deliveries.iter().position(|f| f.written_at.is_some()) {
                    self.deliver(at);
                }
            }
            self.check();
        }
    }

    /// Advances the time without an exchange of messages.
    pub fn pass_time(&mut self, time: Duration) {
        self.now += time;
        for engine in &mut self.engines {
            engine.advance(self.now, &mut self.oracle);
        }
        self.expire_deliveries();
        self.check();
    }

    /// Returns the time on the clock of a process.
    fn clock(&self, index: usize) -> Duration {
        self.now.mul_f64(CLOCK_RATES[index]) + Duration::from_secs(index as u64)
    }

    /// Lets one process step. Orders that it prepared before are written to their connections
    /// without checking the clock again, as by a process that was paused after its check.
    pub fn step(&mut self, index: usize) {
        if !self.processes[index].runs() {
            return;
        }
        for delivery in &mut self.deliveries {
            if delivery.from == index && delivery.written_at.is_none() {
                delivery.written_at = Some(self.now);
            }
        }
        let now = self.clock(index);
        let process = &mut self.processes[index];
        for (dead, boot_id) in &self.dead {
            process
                .ledger
                .on_sender_removed(now, &instance(*dead), *boot_id);
        }
        let calls = process.step(now, &self.planned);
        for call in calls {
            self.perform(index, call);
        }
        self.check();
    }

    pub fn pause(&mut self, index: usize) {
        self.processes[index].paused = true;
    }

    /// Pauses the lease holder together with the orders that it has prepared.
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
    pub fn pause_next_sender(&mut self) {
        self.pause_next_sender = true;
    }

    /// Restarts the next engine whose assign order is recorded, and gives it a request.
    pub fn restart_next_engine(&mut self) {
        self.restart_next_engine = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.processes[index].paused = false;
        self.step(index);
    }

    /// Kills a process and starts another one with the same name.
    pub fn restart(&mut self, index: usize) {
        let boot_id = self.processes[index].boot_id;
        self.dead.push((index, boot_id));
        let (deliveries, lost): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|f| f.from != index || f.boot_id != boot_id || f.written_at.is_some());
        self.deliveries = deliveries;
        for delivery in lost {
            self.oracle
                .on_resolved(delivery.engine, delivery.order.nonce);
        }
        for delivery in &mut self.deliveries {
            if delivery.from == index && delivery.boot_id == boot_id {
                delivery.closed_at.get_or_insert(self.now);
            }
        }
        self.processes[index] = Process::new(index, self.next_boot, PROCESSES, ENGINES);
        self.next_boot += 1;
    }

    pub fn restart_engine(&mut self, index: usize) {
        self.engines[index].restart(&mut self.oracle);
        let mut at = 0;
        while at < self.deliveries.len() {
            if self.deliveries[at].engine == index {
                let delivery = self.deliveries.swap_remove(at);
                self.oracle.on_resolved(index, delivery.order.nonce);
                self.reply(&delivery, SendOutcome::Unknown);
                continue;
            }
            at += 1;
        }
    }

    pub fn set_mode(&mut self, mode: PlatformMode) {
        self.mode = mode;
    }

    pub fn set_network_blocked(&mut self, blocked: bool) {
        self.network_blocked = blocked;
    }

    pub fn apply_configuration(&mut self) {
        self.generation += 1;
    }

    /// Lets a process read a manifest that is older than the last one.
    pub fn read_stale_manifest(&mut self, process: usize) {
        let stale = Message::Manifest(self.generation.saturating_sub(1));
        self.processes[process].inbox.push_back(stale);
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

    /// Delivers one order although the network is blocked.
    pub fn deliver_one(&mut self, choice: usize) {
        let written: Vec<_> = (0..self.deliveries.len())
            .filter(|at| self.deliveries[*at].written_at.is_some())
            .collect();
        if let Some(at) = written.get(choice % written.len().max(1)) {
            self.deliver(*at);
        }
    }

    /// Serves a platform call that timed out before.
    pub fn serve_late_call(&mut self, choice: usize) {
        if !self.late_calls.is_empty() {
            let call = self.late_calls.swap_remove(choice % self.late_calls.len());
            self.serve(&call.body);
        }
    }

    fn perform(&mut self, index: usize, call: ProcessCall) {
        let body = match call {
            ProcessCall::Lease(action) => CallBody::Lease(action),
            ProcessCall::Order(OrderAction::ReadRecord { engine }) => {
                CallBody::ReadOrder(number(&engine))
            }
            ProcessCall::Order(OrderAction::WriteRecord {
                engine,
                record,
                expect,
            }) => CallBody::WriteOrder(number(&engine), record, expect),
            ProcessCall::Order(OrderAction::Send { engine, order, .. }) => {
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

    /// Opens a connection and reads a report on it, as an instance does before it sends an order.
    fn connect(&mut self, from: usize, engine: usize, order: Order) {
        let target = &self.engines[engine];
        let ready = target.state == BackendState::Draining && target.running == 0;
        let delivery = Delivery {
            from,
            boot_id: self.processes[from].boot_id,
            engine,
            engine_boot: target.boot_id,
            order,
            written_at: None,
            closed_at: None,
        };
        if matches!(delivery.order.kind, OrderKind::Assign(_)) && !ready {
            self.reply(&delivery, SendOutcome::NotSent);
            return;
        }
        let (nonce, number) = (delivery.order.nonce, delivery.order.fencing_number);
        self.oracle
            .on_sent(engine, target.checks_fencing, nonce, number);
        self.deliveries.push(delivery);
        if std::mem::take(&mut self.pause_next_sender) {
            self.processes[from].paused = true;
        }
    }

    fn deliver(&mut self, at: usize) {
        let delivery = self.deliveries.swap_remove(at);
        let engine = &mut self.engines[delivery.engine];
        assert_eq!(
            engine.boot_id, delivery.engine_boot,
            "model: stale connection"
        );
        let accepted = engine.handle_order(self.now, &delivery.order, &mut self.oracle);
        if delivery.closed_at.is_some() {
            self.oracle.tally.late_orders += 1;
            return;
        }
        let outcome = if accepted {
            SendOutcome::Accepted
        } else {
            SendOutcome::Refused
        };
        self.reply(&delivery, outcome);
    }

    /// Closes connections that reached the user timeout, and removes closed ones whose buffers are
    /// empty.
    fn expire_deliveries(&mut self) {
        let now = self.now;
        let mut at = 0;
        while at < self.deliveries.len() {
            let delivery = &mut self.deliveries[at];
            let timed_out = delivery.written_at.is_some_and(|t| now > t + USER_TIMEOUT);
            if timed_out && delivery.closed_at.is_none() {
                delivery.closed_at = Some(now);
                let (from, boot_id, engine) = (delivery.from, delivery.boot_id, delivery.engine);
                self.deliver_message(from, boot_id, Message::Sent(engine, SendOutcome::Unknown));
            }
            if self.deliveries[at]
                .closed_at
                .is_some_and(|t| now >= t + BUFFERED_AFTER_CLOSE)
            {
                let delivery = self.deliveries.swap_remove(at);
                self.oracle
                    .on_resolved(delivery.engine, delivery.order.nonce);
                continue;
            }
            at += 1;
        }
    }

    /// Reports the outcome of an order to its sender unless the connection is closed.
    fn reply(&mut self, delivery: &Delivery, outcome: SendOutcome) {
        if delivery.closed_at.is_none() {
            self.deliver_message(
                delivery.from,
                delivery.boot_id,
                Message::Sent(delivery.engine, outcome),
            );
        }
    }

    /// Adds a message to the inbox of a process, if the process is still the same.
    fn deliver_message(&mut self, to: usize, boot_id: BootId, message: Message) {
        let process = &mut self.processes[to];
        if process.boot_id == boot_id {
            process.inbox.push_back(message);
        }
    }

    fn serve_calls(&mut self) {
        for call in std::mem::take(&mut self.calls) {
            match self.mode {
                PlatformMode::Up => {
                    let message = self.serve(&call.body);
                    self.deliver_message(call.from, call.boot_id, message);
                }
                PlatformMode::LosesResponses => {
                    self.serve(&call.body);
                    self.deliver_message(call.from, call.boot_id, lost_response(&call.body));
                }
                PlatformMode::Down if self.now >= call.at + CALL_TIMEOUT => {
                    self.deliver_message(call.from, call.boot_id, lost_response(&call.body));
                    self.late_calls.truncate(MAX_LATE_CALLS - 1);
                    self.late_calls.push(call);
                }
                PlatformMode::Down => self.calls.push(call),
            }
        }
    }

    fn serve(&mut self, body: &CallBody) -> Message {
        match body {
            CallBody::Lease(LeaseAction::Read) => Message::LeaseRead(read(&self.lease)),
            CallBody::Lease(LeaseAction::Write { record, expect }) => {
                let object = &mut self.lease;
                Message::LeaseWritten(write(&mut self.version, object, record, *expect))
            }
            CallBody::ReadOrder(engine) => Message::OrderRead(*engine, read(&self.orders[*engine])),
            CallBody::WriteOrder(engine, record, expect) => {
                let is_assign = matches!(record.desired, OrderKind::Assign(_));
                if is_assign && std::mem::take(&mut self.restart_next_engine) {
                    self.restart_engine(*engine);
                    self.engines[*engine].begin_request();
                }
                let object = &mut self.orders[*engine];
                Message::OrderWritten(*engine, write(&mut self.version, object, record, *expect))
            }
        }
    }

    fn exchange_reports(&mut self) {
        for (process, boot_id, report) in std::mem::take(&mut self.reports) {
            self.deliver_message(process, boot_id, Message::Report(report));
        }
        for process in 0..PROCESSES {
            for engine in 0..ENGINES {
                let report = self.engines[engine].report(self.clock(process));
                if self.processes[process].runs() {
                    self.processes[process]
                        .inbox
                        .push_back(Message::Report(report));
                }
            }
        }
    }

    /// Lets the processes read the manifest if the platform is up, and each running one gossip with
    /// another.
    fn gossip(&mut self) {
        for index in 0..PROCESSES {
            let peer = (index + 1 + self.now.as_secs() as usize % 2) % PROCESSES;
            if self.mode == PlatformMode::Up {
                self.processes[index]
                    .inbox
                    .push_back(Message::Manifest(self.generation));
            }
            if !self.processes[index].runs() || peer == index {
                continue;
            }
            let delta = self.processes[index]
                .gossip
                .delta_for(&self.processes[peer].gossip.digest());
            self.processes[peer].inbox.push_back(Message::Delta(delta));
            self.processes[index].inbox.truncate(256);
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
            // A restarted process begins with generation 0. Others use the generation of its
            // predecessor until they receive its own.
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

fn read<T: Clone>(object: &Option<(T, ObjectVersion)>) -> ReadOutcome<T> {
    match object {
        Some((record, version)) => ReadOutcome::Found(record.clone(), *version),
        None => ReadOutcome::Absent,
    }
}

fn write<T: Clone>(
    last: &mut ObjectVersion,
    object: &mut Option<(T, ObjectVersion)>,
    record: &T,
    expect: Option<ObjectVersion>,
) -> WriteOutcome {
    if object.as_ref().map(|(_, version)| *version) != expect {
        return WriteOutcome::Conflict;
    }
    *last += 1;
    *object = Some((record.clone(), *last));
    WriteOutcome::Written(*last)
}

/// Returns the message for a call whose response was lost.
fn lost_response(body: &CallBody) -> Message {
    match body {
        CallBody::Lease(LeaseAction::Read) => Message::LeaseRead(ReadOutcome::Failed),
        CallBody::Lease(LeaseAction::Write { .. }) => Message::LeaseWritten(WriteOutcome::Unknown),
        CallBody::ReadOrder(engine) => Message::OrderRead(*engine, ReadOutcome::Failed),
        CallBody::WriteOrder(engine, ..) => Message::OrderWritten(*engine, WriteOutcome::Unknown),
    }
}
