//! Simulation of a fleet under one policy, driven by events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use wagtailarch_control::Demand;
use wagtailarch_types::{InstanceId, Phase, Role, ZoneName};

use super::active_request::ActiveRequest;
use super::engine::{Engine, EngineModel, EngineState};
use super::entry_instance::EntryInstance;
use super::fleet::FleetKind;
use super::outcome::{RunOutcome, SAMPLE_S, Sample};
use super::roles::{EngineReportData, REPORT_TIMEOUT_S, RoleController, ZoneReports};
use super::scenario::Fault;
use super::suite::Case;
use super::workload::Workload;

/// Maximum number of attempts after the first.
const MAX_RETRIES: u32 = 4;
/// Time in seconds for which a crashed engine is down.
const CRASH_DOWNTIME_S: f64 = 20.0;
/// Time in seconds for which reports are lost.
const REPORT_LOSS_S: f64 = 30.0;
/// Time in seconds after the last arrival in which requests can still complete.
const COMPLETION_TIME_S: f64 = 30.0;

/// Simulation of a fleet under one policy.
pub(crate) struct Simulation<'a> {
    fleet: FleetKind,
    model: EngineModel,
    fault: Fault,
    workload: &'a Workload,
    engines: Vec<Engine>,
    entry_instances: Vec<EntryInstance>,
    role_controllers: Vec<RoleController>,
    /// Last received report of each engine, with the time at which it was sent.
    received_reports: Vec<(EngineReportData, f64)>,
    /// Last sent report of each engine, which is received at the next tick.
    sent_reports: Vec<(EngineReportData, f64)>,
    /// Prefilled and decoded tokens of each engine at its last report.
    work_at_report: Vec<(f64, f64)>,
    /// Sums of the prompt tokens and of `max_tokens` of the requests that arrived in each zone
    /// since roles were last planned.
    demand: Vec<(f64, f64)>,
    /// Scheduled events by time in microseconds, then in the order of scheduling.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    now_s: f64,
    outcome: RunOutcome,
    /// Rates of the current sampling interval.
    sample: Sample,
    /// Requests whose KV cache is being transferred; `None` for free slots.
    transfers: Vec<Option<ActiveRequest>>,
}

/// An event at a point in virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The request with this index arrives.
    Arrival(usize),
    /// A step of this engine ends; ignored if the epoch of the engine has changed.
    StepEnd(usize, u64),
    /// The KV cache of the request in this slot has been transferred.
    Transferred(usize),
    /// This engine has changed its role or restarted; ignored if its epoch has changed.
    EngineReady(usize, u64),
    /// Once a second: engines report, the reports of the previous tick arrive, and roles are
    /// planned.
    ReportTick,
    /// This engine crashes.
    Crash(usize),
    /// The current sample ends.
    Sample,
}

impl<'a> Simulation<'a> {
    /// Creates the simulation of a case.
    ///
    /// `roles` holds the initial number of engines by role in each zone, `role_controllers` the
    /// controller of each zone.
    pub fn new(
        case: &Case,
        workload: &'a Workload,
        roles: [usize; 3],
        role_controllers: Vec<RoleController>,
    ) -> Self {
        let (fleet, policy, fault) = (case.fleet, case.policy, case.fault);
        let duration_s = case.scenario.duration_s;
        let mut engines = Vec::new();
        for zone in fleet.zones() {
            let zone_roles = Role::ALL
                .iter()
                .zip(roles)
                .flat_map(|(role, n)| vec![*role; n]);
            for (index, role) in zone_roles.enumerate() {
                let id = InstanceId::from(format!("{zone}-{index}"));
                engines.push(Engine::new(id, zone.clone(), role));
            }
        }
        let entry_instances = (0..fleet.zones().len() * FleetKind::INSTANCES_PER_ZONE)
            .map(|index| {
                let zone = fleet.zones()[index / FleetKind::INSTANCES_PER_ZONE].clone();
                EntryInstance::new(zone, case.seed ^ (index as u64 + 1), policy, engines.len())
            })
            .collect();
        let count = engines.len();
        let mut simulation = Self {
            fleet,
            model: EngineModel::default(),
            fault,
            workload,
            engines,
            entry_instances,
            role_controllers,
            received_reports: vec![Default::default(); count],
            sent_reports: vec![Default::default(); count],
            work_at_report: vec![Default::default(); count],
            demand: vec![Default::default(); fleet.zones().len()],
            events: BinaryHeap::new(),
            event_count: 0,
            now_s: 0.0,
            outcome: RunOutcome {
                duration_s,
                ..RunOutcome::default()
            },
            sample: Sample::default(),
            transfers: Vec::new(),
        };
        simulation.schedule(0.0, Event::ReportTick);
        simulation.schedule(SAMPLE_S, Event::Sample);
        if !workload.requests.is_empty() {
            simulation.schedule(workload.requests[0].at_s, Event::Arrival(0));
        }
        if fault == Fault::Crash {
            simulation.schedule(duration_s / 2.0, Event::Crash(1));
        }
        simulation
    }

    /// Runs the simulation and returns its outcome.
    pub fn run(mut self) -> RunOutcome {
        let end_s = self.outcome.duration_s + COMPLETION_TIME_S;
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_s = at_us as f64 / 1e6;
            if self.now_s > end_s {
                break;
            }
            self.handle(event);
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(index) => self.on_arrival(index),
            Event::StepEnd(engine, epoch) => self.end_step(engine, epoch),
            Event::Transferred(slot) => {
                if let Some(request) = self.transfers[slot].take() {
                    self.deliver(request);
                }
            }
            Event::EngineReady(engine, epoch) => self.on_engine_ready(engine, epoch),
            Event::ReportTick => self.on_report_tick(),
            Event::Crash(engine) => self.crash(engine),
            Event::Sample => self.take_sample(),
        }
    }

    fn schedule(&mut self, at_s: f64, event: Event) {
        self.event_count += 1;
        let at_us = (at_s * 1e6).round() as u64;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn now(&self) -> Duration {
        Duration::from_secs_f64(self.now_s)
    }

    fn on_arrival(&mut self, index: usize) {
        let workload = self.workload;
        if let Some(next) = workload.requests.get(index + 1) {
            self.schedule(next.at_s, Event::Arrival(index + 1));
        }
        let spec = workload.requests[index];
        self.outcome.offered += 1;
        self.sample.offered_per_s += 1.0 / SAMPLE_S;
        let zone = spec.instance / FleetKind::INSTANCES_PER_ZONE;
        self.demand[zone].0 += f64::from(spec.prompt_tokens);
        self.demand[zone].1 += f64::from(spec.max_tokens);
        let time_limit_s = self.model.deadline_s(spec.prompt_tokens, spec.max_tokens);
        let now = self.now();
        let admitted =
            match self.entry_instances[spec.instance].admit(now, index, &spec, time_limit_s) {
                Ok(admitted) => admitted,
                Err(()) => {
                    self.outcome.refused += 1;
                    return;
                }
            };
        self.outcome.prompt_tokens += u64::from(spec.prompt_tokens);
        let request = ActiveRequest {
            instance: spec.instance,
            engine: usize::MAX,
            phase: Phase::Full,
            prefix: spec.prefix,
            prefix_tokens: spec.prefix_tokens,
            prompt_tokens: spec.prompt_tokens,
            prompt_tokens_left: spec.prompt_tokens,
            output_tokens: spec.output_tokens,
            max_tokens: spec.max_tokens,
            generated_tokens: 0,
            deadline_s: self.now_s + time_limit_s,
            attempts: 0,
            selection: None,
            admitted,
        };
        self.send(request, None);
    }

    /// Selects an engine for the next attempt of a request and delivers it.
    fn send(&mut self, mut request: ActiveRequest, preferred_zone: Option<ZoneName>) {
        request.attempts += 1;
        request.selection = None;
        if request.attempts > MAX_RETRIES + 1 {
            self.outcome.lost += 1;
            return;
        }
        let now = self.now();
        let selected = self.entry_instances[request.instance].select_engine(
            now,
            &mut request,
            preferred_zone,
            &self.engines,
        );
        let Some(engine) = selected else {
            self.outcome.lost += 1;
            return;
        };
        request.engine = engine;
        self.deliver(request);
    }

    /// Queues an attempt on its engine, or retries it elsewhere if the engine no longer accepts it.
    fn deliver(&mut self, request: ActiveRequest) {
        let engine = &mut self.engines[request.engine];
        let is_accepted = match engine.state {
            EngineState::Serving => true,
            // Transfers that began before the drain are still accepted.
            EngineState::Draining(_) => request.phase == Phase::Decode,
            EngineState::Changing(_) | EngineState::Down => false,
        };
        if !is_accepted {
            self.retry(request);
            return;
        }
        let index = request.engine;
        let cached_tokens = engine.enqueue(request, &self.model);
        self.outcome.cached_tokens += u64::from(cached_tokens);
        if !self.engines[index].busy {
            self.start_step(index);
        }
    }

    /// Retries a request with a new prefill, which includes the tokens generated so far.
    fn retry(&mut self, mut request: ActiveRequest) {
        self.outcome.retries += 1;
        request.phase = Phase::Full;
        request.prompt_tokens_left = request.prompt_tokens + request.generated_tokens;
        self.send(request, None);
    }

    fn start_step(&mut self, index: usize) {
        let epoch = self.engines[index].epoch;
        match self.engines[index].start_step(&self.model) {
            Some(step_s) => {
                self.schedule(self.now_s + step_s, Event::StepEnd(index, epoch));
            }
            None => self.finish_drain(index),
        }
    }

    fn end_step(&mut self, index: usize, epoch: u64) {
        if self.engines[index].epoch != epoch {
            return;
        }
        let result = self.engines[index].end_step(self.now_s);
        for request in result.completed {
            self.complete(request);
        }
        for request in result.expired {
            self.outcome.late += 1;
            drop(request);
        }
        for mut request in result.prefilled {
            let zone = self.engines[index].zone.clone();
            request.phase = Phase::Decode;
            request.attempts -= 1;
            self.transfer(request, zone);
        }
        self.engines[index].busy = false;
        self.start_step(index);
    }

    /// Selects the decode engine of a prefilled request and transfers the KV cache to it.
    fn transfer(&mut self, mut request: ActiveRequest, preferred_zone: ZoneName) {
        request.attempts += 1;
        request.selection = None;
        let now = self.now();
        let selected = self.entry_instances[request.instance].select_engine(
            now,
            &mut request,
            Some(preferred_zone),
            &self.engines,
        );
        let Some(engine) = selected else {
            self.retry(request);
            return;
        };
        request.engine = engine;
        let transfer_s = 0.005 + f64::from(request.prompt_tokens) * self.model.transfer_s_per_token;
        let free_slot = self.transfers.iter().position(Option::is_none);
        let slot = free_slot.unwrap_or(self.transfers.len());
        if slot == self.transfers.len() {
            self.transfers.push(None);
        }
        self.transfers[slot] = Some(request);
        self.schedule(self.now_s + transfer_s, Event::Transferred(slot));
    }

    fn complete(&mut self, mut request: ActiveRequest) {
        if let Some(admitted) = request.admitted.take() {
            admitted.finish(request.output_tokens);
        }
        let zone = request.instance / FleetKind::INSTANCES_PER_ZONE;
        self.entry_instances[zone * FleetKind::INSTANCES_PER_ZONE]
            .record_output(request.max_tokens, request.output_tokens);
        if self.now_s > request.deadline_s {
            self.outcome.late += 1;
            return;
        }
        self.outcome.good += 1;
        self.outcome.good_tokens += u64::from(request.output_tokens);
        self.sample.good_tokens_per_s += f64::from(request.output_tokens) / SAMPLE_S;
    }

    fn crash(&mut self, index: usize) {
        let aborted = self.engines[index].crash();
        let epoch = self.engines[index].epoch;
        self.schedule(
            self.now_s + CRASH_DOWNTIME_S,
            Event::EngineReady(index, epoch),
        );
        self.suspend(index);
        for request in aborted {
            self.retry(request);
        }
    }

    /// Stops the selection of an engine by all entry instances until the next report tick.
    fn suspend(&mut self, index: usize) {
        for instance in &self.entry_instances {
            instance.suspend(&self.engines[index].id);
        }
    }

    /// Starts the role change of a draining engine that has no requests left.
    ///
    /// Does nothing if the engine is not draining.
    fn finish_drain(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let EngineState::Draining(role) = engine.state else {
            return;
        };
        engine.state = EngineState::Changing(role);
        let epoch = engine.epoch;
        self.schedule(
            self.now_s + self.model.role_change_s,
            Event::EngineReady(index, epoch),
        );
    }

    fn on_engine_ready(&mut self, index: usize, epoch: u64) {
        let now = self.now();
        let engine = &mut self.engines[index];
        if engine.epoch != epoch {
            return;
        }
        let role = match engine.state {
            EngineState::Changing(role) => role,
            EngineState::Down => engine.role,
            EngineState::Serving | EngineState::Draining(_) => return,
        };
        engine.serve(now, role);
    }

    /// Receives the reports of the previous tick, makes new ones and plans roles.
    fn on_report_tick(&mut self) {
        self.schedule(self.now_s + 1.0, Event::ReportTick);
        let half_s = self.outcome.duration_s / 2.0;
        for index in 0..self.engines.len() {
            let is_lost = self.fault == Fault::LostReports
                && index < self.fleet.engines_per_zone() / 2
                && (half_s..half_s + REPORT_LOSS_S).contains(&self.now_s);
            if !is_lost {
                self.received_reports[index] = self.sent_reports[index];
            }
            let engine = &self.engines[index];
            let work = (engine.prefilled_tokens, engine.decoded_tokens);
            let report = EngineReportData {
                running: engine.load(),
                queued_tokens: engine.queued_tokens(),
                prefill_per_s: work.0 - self.work_at_report[index].0,
                decode_per_s: work.1 - self.work_at_report[index].1,
            };
            self.work_at_report[index] = work;
            self.sent_reports[index] = (report, self.now_s);
        }
        let now = self.now();
        let ages: Vec<f64> = self
            .received_reports
            .iter()
            .map(|(_, at_s)| self.now_s - at_s)
            .collect();
        let is_accepting = |index: usize| {
            self.engines[index].state == EngineState::Serving && ages[index] < REPORT_TIMEOUT_S
        };
        let accepting: Vec<bool> = (0..self.engines.len()).map(is_accepting).collect();
        for instance in &mut self.entry_instances {
            instance.update(
                now,
                &self.engines,
                &self.received_reports,
                &accepting,
                self.now_s,
                &self.model,
            );
        }
        self.plan_roles(&ages);
    }

    /// Plans the roles of each zone from the received reports, whose ages are `ages`.
    fn plan_roles(&mut self, ages: &[f64]) {
        for zone in 0..self.role_controllers.len() {
            let (prompt_tokens, max_tokens) = std::mem::take(&mut self.demand[zone]);
            let instance = &self.entry_instances[zone * FleetKind::INSTANCES_PER_ZONE];
            let demand = Demand {
                prefill_tokens_per_s: prompt_tokens * (1.0 - self.cache_hit_ratio()),
                decode_tokens_per_s: max_tokens * instance.output_ratio(),
            };
            let zone_name = &self.fleet.zones()[zone];
            let is_in_zone = |index: &usize| self.engines[*index].zone == *zone_name;
            let engine_indices: Vec<usize> = (0..self.engines.len()).filter(is_in_zone).collect();
            let zone_reports = ZoneReports {
                engines: engine_indices
                    .iter()
                    .map(|index| &self.engines[*index])
                    .collect(),
                reports: engine_indices
                    .iter()
                    .map(|index| (self.received_reports[*index].0, ages[*index]))
                    .collect(),
                demand,
            };
            let changes = self.role_controllers[zone].plan_changes(
                self.now_s,
                &zone_reports,
                self.fleet,
                &self.model,
            );
            for (id, role) in changes {
                self.start_role_change(&id, role);
            }
        }
    }

    fn start_role_change(&mut self, id: &InstanceId, role: Role) {
        let Some(index) = self.engines.iter().position(|engine| engine.id == *id) else {
            return;
        };
        if self.engines[index].state != EngineState::Serving || self.engines[index].role == role {
            return;
        }
        if self.now_s <= self.outcome.duration_s {
            self.outcome.role_changes += 1;
        }
        self.engines[index].state = EngineState::Draining(role);
        self.suspend(index);
        if !self.engines[index].busy {
            self.finish_drain(index);
        }
    }

    /// Returns the share of prompt tokens found in prefix caches since the start.
    fn cache_hit_ratio(&self) -> f64 {
        self.outcome.cached_tokens as f64 / self.outcome.prompt_tokens.max(1) as f64
    }

    fn take_sample(&mut self) {
        self.schedule(self.now_s + SAMPLE_S, Event::Sample);
        self.sample.at_s = self.now_s;
        for engine in &self.engines {
            self.sample.queued_tokens += engine.queued_tokens();
            self.sample.running += engine.load() as u64;
            if engine.state == EngineState::Serving {
                self.sample.roles[engine.role as usize] += 1;
            }
        }
        self.outcome.samples.push(std::mem::take(&mut self.sample));
    }
}
