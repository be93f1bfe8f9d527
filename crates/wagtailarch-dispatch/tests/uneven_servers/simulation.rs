//! Instances that place prompts on engines of unlike pace, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use wagtailarch_dispatch::{GenerationRequest, LoadBalancer, Placement, PrefillNumber, PrefixLink};
use wagtailarch_types::{InstanceId, Role, ZoneName};
use wagtailarch_wire::{
    load_note::{LoadNote, SentPrefixes},
    permit::PermitRank,
};

use crate::common;

/// Time for which a machine keeps its momentary pace.
const EPOCH_MS: u64 = 600;
/// Share of the epochs in which a machine is slow.
const SLOW_SHARE: f64 = 0.15;
/// Pace of a machine in such an epoch.
const SLOW_PACE: f64 = 2.5;
/// Interval at which instances report their open prompts.
const NOTE_INTERVAL_MS: u64 = 100;
/// Time that a report travels; reports are 100 ms old on average when they are used.
const NOTE_TRAVEL_MS: u64 = 50;
/// Tokens of a prompt.
const PROMPT_TOKENS: u32 = 6_000;
/// Mean time that a machine needs relative to its usual pace.
const MEAN_MOMENTARY: f64 = 1.0 + SLOW_SHARE * (SLOW_PACE - 1.0);

/// End of a prefill: its time in milliseconds, instance, engine, number and the stated percentage.
type PrefillEnd = (u64, usize, usize, PrefillNumber, u32);

/// One run of the simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Number of instances.
    pub instances: usize,
    /// Pace of each engine without its machine's momentary figure.
    pub paces: Vec<f64>,
    /// Share of the engines' time that prompts take.
    pub utilization: f64,
    /// Length of the run in milliseconds; prompts of its first third are not counted.
    pub length_ms: u64,
    /// Seed of arrivals and of the machines' momentary paces.
    pub seed: u64,
    /// Whether engines state their momentary pace.
    pub states_pace: bool,
}

/// Results of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Times to the first event in milliseconds, ascending.
    pub first_event_ms: Vec<f64>,
    /// Prompts by engine.
    pub prompts: Vec<u32>,
    /// Milliseconds of work by engine.
    pub busy_ms: Vec<f64>,
}

impl Outcome {
    /// Returns the given quantile of the time to the first event in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let last = self.first_event_ms.len() - 1;
        self.first_event_ms[(last as f64 * quantile).round() as usize]
    }

    /// Returns the ratio of the busiest engine's time to the mean.
    pub fn busiest_to_mean(&self) -> f64 {
        let mean = self.busy_ms.iter().sum::<f64>() / self.busy_ms.len() as f64;
        self.busy_ms.iter().copied().fold(0.0, f64::max) / mean
    }
}

impl Scenario {
    /// Places each prompt on the engine that is to end it first, with full knowledge of the queues and
    /// of the paces at that moment.
    pub fn run_with_knowledge(&self) -> Outcome {
        let mut engines = self.engines();
        let mut outcome = self.outcome();
        for arrival in self.arrivals() {
            let ends = engines.iter().map(|engine| {
                let pace = engine.pace * engine.momentary(arrival.at_ms);
                engine.free_at_ms.max(arrival.at_ms) + usual_ms() * pace
            });
            let best = ends.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
            let (index, _) = best.expect("there are engines");
            let end = engines[index].end_of(arrival.at_ms);
            engines[index].serve(index, &arrival, end, self, &mut outcome);
        }
        outcome.first_event_ms.sort_by(f64::total_cmp);
        outcome
    }

    /// Places each prompt by the load balancer of the instance at which it arrives.
    pub fn run(&self) -> Outcome {
        let zone = ZoneName::from("a");
        let mut engines = self.engines();
        let mut outcome = self.outcome();
        let mut balancers: Vec<_> = (0..self.instances).map(|_| self.balancer()).collect();
        let mut reported = vec![false; self.instances];
        let mut ends: BinaryHeap<Reverse<PrefillEnd>> = BinaryHeap::new();
        let mut next_note_ms = 0;
        let mut travelling: Vec<(u64, LoadNote)> = Vec::new();
        for arrival in self.arrivals() {
            loop {
                let end_ms = ends.peek().map_or(u64::MAX, |Reverse((at, ..))| *at);
                let delivery_ms = travelling.first().map_or(u64::MAX, |(at, _)| *at);
                let next = end_ms.min(delivery_ms).min(next_note_ms);
                if next as f64 > arrival.at_ms {
                    break;
                }
                let now = Duration::from_millis(next);
                if next == end_ms {
                    let Reverse((_, instance, engine, number, percent)) =
                        ends.pop().expect("an end is due");
                    let balancer = &mut balancers[instance];
                    if self.states_pace {
                        balancer.on_stated_pace(now, &engine_id(engine), percent);
                    }
                    balancer.finish_prefill(now, number, true);
                } else if next == delivery_ms {
                    for (_, note) in travelling.drain(..) {
                        for (index, balancer) in balancers.iter_mut().enumerate() {
                            if note.sender != instance_id(index) {
                                balancer.on_load_note(now, &note);
                            }
                        }
                    }
                } else {
                    for (index, balancer) in balancers.iter().enumerate() {
                        let open_prefills = balancer.open_prefills();
                        if open_prefills.is_empty() && !reported[index] {
                            continue;
                        }
                        reported[index] = !open_prefills.is_empty();
                        let note = LoadNote {
                            sender: instance_id(index),
                            open_prefills,
                            ..common::note("", &[], &[])
                        };
                        travelling.push((next + NOTE_TRAVEL_MS, note));
                    }
                    next_note_ms += NOTE_INTERVAL_MS;
                }
            }
            let now = Duration::from_secs_f64(arrival.at_ms / 1_000.0);
            let balancer = &mut balancers[arrival.instance];
            let own = format!("own{}", arrival.number);
            let subject = format!("subject{}", arrival.subject);
            let prefixes = common::prompt(&subject, 16, &own, PROMPT_TOKENS - 16);
            let request = request(&prefixes, &zone);
            let placement = balancer.place_generation(now, &common::ENGINES.into(), &request, &[]);
            let Placement::Use(plan) = placement else {
                panic!("prompt {} is refused: {placement:?}", arrival.number);
            };
            let index: usize = plan.decode.id["e".len()..].parse().expect("an index");
            let started = balancer.start_prefill(
                now,
                &plan.decode.id,
                plan.urgency,
                &prefixes,
                PROMPT_TOKENS,
            );
            let (number, _): (_, SentPrefixes) = started.expect("the engine is listed");
            let end = engines[index].end_of(arrival.at_ms);
            let percent = engines[index].momentary(end) * 100.0;
            engines[index].serve(index, &arrival, end, self, &mut outcome);
            // The balancer allows for a call's time.
            let end_ms = end.ceil() as u64 + 3;
            ends.push(Reverse((
                end_ms,
                arrival.instance,
                index,
                number,
                percent as u32,
            )));
        }
        outcome.first_event_ms.sort_by(f64::total_cmp);
        outcome
    }

    /// Returns a load balancer that lists all engines.
    fn balancer(&self) -> LoadBalancer {
        let ids = (0..self.paces.len()).map(engine_id);
        let servers: Vec<_> = ids
            .map(|id| common::engine(&id, "a", Role::Mixed))
            .collect();
        let mut balancer = LoadBalancer::default();
        balancer.apply(&servers, &common::config());
        balancer.set_instances(1);
        balancer
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            first_event_ms: Vec::new(),
            prompts: vec![0; self.paces.len()],
            busy_ms: vec![0.0; self.paces.len()],
        }
    }

    fn engines(&self) -> Vec<Engine> {
        let paces = self.paces.iter().enumerate();
        let engine = |(index, &pace): (usize, &f64)| Engine {
            pace,
            seed: mix(self.seed ^ (index as u64 + 1) << 32),
            free_at_ms: 0.0,
        };
        paces.map(engine).collect()
    }

    /// Returns the prompts, which arrive independently of each other.
    fn arrivals(&self) -> Vec<Arrival> {
        let speeds: f64 = self.paces.iter().map(|pace| 1.0 / pace).sum();
        let per_ms = self.utilization * speeds / MEAN_MOMENTARY / usual_ms();
        let mut random = self.seed;
        let mut next = || {
            random = random.wrapping_add(1);
            mix(random)
        };
        let mut at_ms = 0.0;
        let mut arrivals = Vec::new();
        loop {
            at_ms += -(1.0 - unit(next())).ln() / per_ms;
            if at_ms > self.length_ms as f64 {
                return arrivals;
            }
            arrivals.push(Arrival {
                at_ms,
                number: arrivals.len(),
                subject: next() % 500,
                instance: (next() % self.instances as u64) as usize,
            });
        }
    }
}

/// A prompt that arrives at an instance.
#[derive(Debug)]
struct Arrival {
    at_ms: f64,
    number: usize,
    subject: u64,
    instance: usize,
}

/// An engine that prefills prompts in the order of their arrival.
#[derive(Debug)]
struct Engine {
    pace: f64,
    seed: u64,
    free_at_ms: f64,
}

impl Engine {
    /// Returns the momentary pace of the machine.
    fn momentary(&self, at_ms: f64) -> f64 {
        let epoch = (at_ms as u64 + self.seed % EPOCH_MS) / EPOCH_MS;
        match unit(mix(self.seed ^ epoch)) < SLOW_SHARE {
            true => SLOW_PACE,
            false => 1.0,
        }
    }

    /// Returns the end of a prompt that arrives at `at_ms`.
    fn end_of(&self, at_ms: f64) -> f64 {
        const STEP_MS: f64 = 2.0;
        let mut end_ms = self.free_at_ms.max(at_ms);
        let mut left_ms = usual_ms() * self.pace;
        while left_ms > 0.0 {
            end_ms += STEP_MS;
            left_ms -= STEP_MS / self.momentary(end_ms);
        }
        end_ms
    }

    fn serve(
        &mut self,
        index: usize,
        arrival: &Arrival,
        end_ms: f64,
        scenario: &Scenario,
        outcome: &mut Outcome,
    ) {
        let start_ms = self.free_at_ms.max(arrival.at_ms);
        self.free_at_ms = end_ms;
        if arrival.at_ms < scenario.length_ms as f64 / 3.0 {
            return;
        }
        outcome.first_event_ms.push(end_ms - arrival.at_ms);
        outcome.prompts[index] += 1;
        outcome.busy_ms[index] += end_ms - start_ms;
    }
}

fn request<'a>(prefixes: &'a [PrefixLink], zone: &'a ZoneName) -> GenerationRequest<'a> {
    GenerationRequest {
        objective_left: Duration::from_millis(800),
        client_timeout_left: Duration::from_secs(20),
        rank: PermitRank::Normal,
        ..common::request(prefixes, zone)
    }
}

/// Returns the prefill time of a prompt on the reference engine.
fn usual_ms() -> f64 {
    let tokens = f64::from(PROMPT_TOKENS);
    2.0 * (tokens / 50.0 + tokens * tokens / 2.0 / 1e6 * 0.37) + 6.0
}

fn engine_id(index: usize) -> InstanceId {
    format!("e{index}").into()
}

fn instance_id(index: usize) -> InstanceId {
    format!("i{index}").into()
}

/// Returns a number from 0 to 1.
fn unit(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// Mixes the bits of a number (the finalizer of splitmix64).
fn mix(seed: u64) -> u64 {
    let mut bits = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
