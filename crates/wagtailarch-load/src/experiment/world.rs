//! The run of one policy in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use wagtailarch_control::Demand;
use wagtailarch_types::{InstanceId, Phase, Role, ZoneName};

use super::engine::{Engine, EngineModel, EngineState};
use super::fleet::FleetKind;
use super::job::Job;
use super::outcome::{RunOutcome, SAMPLE_S, Sample};
use super::roles::{EngineReportData, REPORT_TIMEOUT_S, RoleControl, ZoneReports};
use super::routing::Entry;
use super::scenario::Fault;
use super::suite::Case;
use super::workload::Workload;

/// Greatest number of attempts of a generation.
const MAX_ATTEMPTS: u32 = 4;
/// Time for which a crashed engine is away.
const CRASH_S: f64 = 20.0;
/// Time for which reports are lost.
const LOST_S: f64 = 30.0;
/// Time after the last arrival in which requests can still end.
const TAIL_S: f64 = 30.0;

/// The run of one policy.
pub(crate) struct World<'a> {
    fleet: FleetKind,
    model: EngineModel,
    fault: Fault,
    workload: &'a Workload,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    controls: Vec<RoleControl>,
    /// Last report of each engine that has arrived, and the time it was made.
    arrived: Vec<(EngineReportData, f64)>,
    /// Reports under way.
    sent: Vec<(EngineReportData, f64)>,
    /// Work done by each engine at the last report.
    done: Vec<(f64, f64)>,
    /// Demand of each zone since the last plan: prompt tokens, most output tokens.
    demand: Vec<(f64, f64)>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    now_s: f64,
    outcome: RunOutcome,
    sample: Sample,
    jobs_under_way: Vec<Option<Job>>,
}

/// Something that happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives.
    Arrival(usize),
    /// A step of an engine ends; with the engine's epoch.
    StepEnd(usize, u64),
    /// A KV cache has been transferred.
    Transferred(usize),
    /// An engine serves with its new role, or again after a crash.
    Ready(usize, u64),
    /// Reports are made and arrive, and roles are planned.
    Second,
    /// An engine crashes.
    Crash(usize),
    /// A sample is taken.
    Sample,
}

impl<'a> World<'a> {
    /// Creates the run; `controls` decide on the roles of each zone.
    pub fn new(
        case: &Case,
        workload: &'a Workload,
        roles: [usize; 3],
        controls: Vec<RoleControl>,
    ) -> Self {
        let (fleet, policy, fault) = (case.fleet, case.policy, case.fault);
        let duration_s = case.scenario.duration_s;
        let mut engines = Vec::new();
        for zone in fleet.zones() {
            let of_zone = Role::ALL
                .iter()
                .zip(roles)
                .flat_map(|(role, n)| vec![*role; n]);
            for (index, role) in of_zone.enumerate() {
                let id = InstanceId::from(format!("{zone}-{index}"));
                engines.push(Engine::new(id, zone.clone(), role));
            }
        }
        let entries = (0..fleet.zones().len() * FleetKind::INSTANCES_PER_ZONE)
            .map(|index| {
                let zone = fleet.zones()[index / FleetKind::INSTANCES_PER_ZONE].clone();
                Entry::new(zone, case.seed ^ (index as u64 + 1), policy, engines.len())
            })
            .collect();
        let count = engines.len();
        let mut world = Self {
            fleet,
            model: EngineModel::default(),
            fault,
            workload,
            engines,
            entries,
            controls,
            arrived: vec![Default::default(); count],
            sent: vec![Default::default(); count],
            done: vec![Default::default(); count],
            demand: vec![Default::default(); fleet.zones().len()],
            events: BinaryHeap::new(),
            event_count: 0,
            now_s: 0.0,
            outcome: RunOutcome {
                duration_s,
                ..RunOutcome::default()
            },
            sample: Sample::default(),
            jobs_under_way: Vec::new(),
        };
        world.schedule(0.0, Event::Second);
        world.schedule(SAMPLE_S, Event::Sample);
        if !workload.requests.is_empty() {
            world.schedule(workload.requests[0].at_s, Event::Arrival(0));
        }
        if fault == Fault::Crash {
            world.schedule(duration_s / 2.0, Event::Crash(1));
        }
        world
    }

    /// Runs to the end.
    pub fn run(mut self) -> RunOutcome {
        let end_s = self.outcome.duration_s + TAIL_S;
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
            Event::Arrival(request) => self.arrive(request),
            Event::StepEnd(engine, epoch) => self.end_step(engine, epoch),
            Event::Transferred(slot) => {
                if let Some(job) = self.jobs_under_way[slot].take() {
                    self.deliver(job);
                }
            }
            Event::Ready(engine, epoch) => self.ready(engine, epoch),
            Event::Second => self.second(),
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

    fn arrive(&mut self, index: usize) {
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
        let budget_s = self.model.deadline_s(spec.prompt_tokens, spec.max_tokens);
        let now = self.now();
        let admitted = match self.entries[spec.instance].admit(now, index, &spec, budget_s) {
            Ok(admitted) => admitted,
            Err(()) => {
                self.outcome.refused += 1;
                return;
            }
        };
        self.outcome.prompt_tokens += u64::from(spec.prompt_tokens);
        let job = Job {
            instance: spec.instance,
            engine: usize::MAX,
            phase: Phase::Full,
            prefix: spec.prefix,
            prefix_tokens: spec.prefix_tokens,
            prompt_tokens: spec.prompt_tokens,
            prompt_left: spec.prompt_tokens,
            output_tokens: spec.output_tokens,
            max_tokens: spec.max_tokens,
            generated: 0,
            deadline_s: self.now_s + budget_s,
            attempts: 0,
            pick: None,
            admitted,
        };
        self.send(job, None);
    }

    /// Routes an attempt and sends it to its engine.
    fn send(&mut self, mut job: Job, near: Option<ZoneName>) {
        job.attempts += 1;
        job.pick = None;
        if job.attempts > MAX_ATTEMPTS + 1 {
            self.outcome.lost += 1;
            return;
        }
        let now = self.now();
        let route = self.entries[job.instance].route(now, &mut job, near, &self.engines);
        let Some(engine) = route else {
            self.outcome.lost += 1;
            return;
        };
        job.engine = engine;
        self.deliver(job);
    }

    /// Hands an attempt to its engine, or sends it elsewhere if that no longer serves.
    fn deliver(&mut self, job: Job) {
        let engine = &mut self.engines[job.engine];
        let takes = match engine.state {
            EngineState::Serving => true,
            // A KV cache that was under way when the drain began is still accepted.
            EngineState::Draining(_) => job.phase == Phase::Decode,
            EngineState::Changing(_) | EngineState::Down => false,
        };
        if !takes {
            self.retry(job);
            return;
        }
        let index = job.engine;
        let hit = engine.accept(job, &self.model);
        self.outcome.cached_tokens += u64::from(hit);
        if !self.engines[index].busy {
            self.start_step(index);
        }
    }

    /// Starts over on another engine; what was delivered is part of the prompt then.
    fn retry(&mut self, mut job: Job) {
        self.outcome.retries += 1;
        job.phase = Phase::Full;
        job.prompt_left = job.prompt_tokens + job.generated;
        self.send(job, None);
    }

    fn start_step(&mut self, index: usize) {
        let epoch = self.engines[index].epoch;
        match self.engines[index].start_step(&self.model) {
            Some(length_s) => {
                self.schedule(self.now_s + length_s, Event::StepEnd(index, epoch));
            }
            None => self.finish_drain(index),
        }
    }

    fn end_step(&mut self, index: usize, epoch: u64) {
        if self.engines[index].epoch != epoch {
            return;
        }
        let result = self.engines[index].end_step(self.now_s);
        for job in result.completed {
            self.complete(job);
        }
        for job in result.expired {
            self.outcome.late += 1;
            drop(job);
        }
        for mut job in result.prefilled {
            let zone = self.engines[index].zone.clone();
            job.phase = Phase::Decode;
            job.attempts -= 1;
            self.transfer(job, zone);
        }
        self.engines[index].busy = false;
        self.start_step(index);
    }

    /// Chooses the decode engine and transfers the KV cache to it.
    fn transfer(&mut self, mut job: Job, near: ZoneName) {
        job.attempts += 1;
        job.pick = None;
        let now = self.now();
        let route = self.entries[job.instance].route(now, &mut job, Some(near), &self.engines);
        let Some(engine) = route else {
            self.retry(job);
            return;
        };
        job.engine = engine;
        let length_s = 0.005 + f64::from(job.prompt_tokens) * self.model.transfer_s_per_token;
        let free = self.jobs_under_way.iter().position(Option::is_none);
        let slot = free.unwrap_or(self.jobs_under_way.len());
        if slot == self.jobs_under_way.len() {
            self.jobs_under_way.push(None);
        }
        self.jobs_under_way[slot] = Some(job);
        self.schedule(self.now_s + length_s, Event::Transferred(slot));
    }

    fn complete(&mut self, mut job: Job) {
        if let Some(admitted) = job.admitted.take() {
            admitted.finish(job.output_tokens);
        }
        let zone = job.instance / FleetKind::INSTANCES_PER_ZONE;
        self.entries[zone * FleetKind::INSTANCES_PER_ZONE].learn(job.max_tokens, job.output_tokens);
        if self.now_s > job.deadline_s {
            self.outcome.late += 1;
            return;
        }
        self.outcome.good += 1;
        self.outcome.good_tokens += u64::from(job.output_tokens);
        self.sample.good_tokens_per_s += f64::from(job.output_tokens) / SAMPLE_S;
    }

    fn crash(&mut self, index: usize) {
        let lost = self.engines[index].crash();
        let epoch = self.engines[index].epoch;
        self.schedule(self.now_s + CRASH_S, Event::Ready(index, epoch));
        self.suspend(index);
        for job in lost {
            self.retry(job);
        }
    }

    fn suspend(&mut self, index: usize) {
        for entry in &self.entries {
            entry.suspend(&self.engines[index].id);
        }
    }

    /// Ends a drain when the engine has nothing left.
    fn finish_drain(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let EngineState::Draining(role) = engine.state else {
            return;
        };
        engine.state = EngineState::Changing(role);
        let epoch = engine.epoch;
        self.schedule(self.now_s + self.model.change_s, Event::Ready(index, epoch));
    }

    fn ready(&mut self, index: usize, epoch: u64) {
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

    /// Makes reports, lets those of the last second arrive, and plans roles.
    fn second(&mut self) {
        self.schedule(self.now_s + 1.0, Event::Second);
        let half_s = self.outcome.duration_s / 2.0;
        for index in 0..self.engines.len() {
            let lost = self.fault == Fault::LostReports
                && index < self.fleet.engines_per_zone() / 2
                && (half_s..half_s + LOST_S).contains(&self.now_s);
            if !lost {
                self.arrived[index] = self.sent[index];
            }
            let engine = &self.engines[index];
            let done = (engine.prefill_done, engine.decode_done);
            let report = EngineReportData {
                running: engine.load(),
                queued_tokens: engine.queued_tokens(),
                prefill_per_s: done.0 - self.done[index].0,
                decode_per_s: done.1 - self.done[index].1,
            };
            self.done[index] = done;
            self.sent[index] = (report, self.now_s);
        }
        let now = self.now();
        let ages: Vec<f64> = self
            .arrived
            .iter()
            .map(|(_, at_s)| self.now_s - at_s)
            .collect();
        let accepting = |index: usize| {
            self.engines[index].state == EngineState::Serving && ages[index] < REPORT_TIMEOUT_S
        };
        let accepting: Vec<bool> = (0..self.engines.len()).map(accepting).collect();
        for entry in &mut self.entries {
            entry.update(
                now,
                &self.engines,
                &self.arrived,
                &accepting,
                self.now_s,
                &self.model,
            );
        }
        self.plan_roles(&ages);
    }

    fn plan_roles(&mut self, ages: &[f64]) {
        for zone in 0..self.controls.len() {
            let (prompt_tokens, max_tokens) = std::mem::take(&mut self.demand[zone]);
            let entry = &self.entries[zone * FleetKind::INSTANCES_PER_ZONE];
            let demand = Demand {
                prefill_tokens_per_s: prompt_tokens * (1.0 - self.hit_ratio()),
                decode_tokens_per_s: max_tokens * entry.output_ratio(),
            };
            let name = &self.fleet.zones()[zone];
            let of_zone = |index: &usize| self.engines[*index].zone == *name;
            let members: Vec<usize> = (0..self.engines.len()).filter(of_zone).collect();
            let view = ZoneReports {
                engines: members.iter().map(|index| &self.engines[*index]).collect(),
                reports: members
                    .iter()
                    .map(|index| (self.arrived[*index].0, ages[*index]))
                    .collect(),
                demand,
            };
            let changes = self.controls[zone].decide(self.now_s, &view, self.fleet, &self.model);
            for (id, role) in changes {
                self.begin_change(&id, role);
            }
        }
    }

    fn begin_change(&mut self, id: &InstanceId, role: Role) {
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

    fn hit_ratio(&self) -> f64 {
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
