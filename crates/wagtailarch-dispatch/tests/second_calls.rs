//! Tests second calls in virtual time: instances with their own view call servers with slots and
//! queues.

mod common;

use std::{
    collections::{BinaryHeap, HashMap, VecDeque},
    time::Duration,
};

use common::{PLAIN, config, plain};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wagtailarch_dispatch::{
    CallClass, EndedCall, LoadBalancer, RequestKind, RetryWindow, SecondCallDenial, SecondCalls,
    SharedRetryBudget, SizeClass, SlowCall,
};
use wagtailarch_types::InstanceId;
use wagtailarch_wire::permit::PermitRank;

const SLOTS: usize = 6;
const USUAL_MS: f64 = 30.0;
/// Factor by which a call of the long tail or of a slow service takes longer.
const SLOW_FACTOR: f64 = 12.0;
/// Time after which a call fails.
const TIMEOUT_US: u64 = 2_000_000;

/// Requests of clients and the servers that run them.
#[derive(Debug, Clone, Copy)]
struct Load {
    instances: usize,
    servers: usize,
    /// Mean number of requests that run, for each slot of the servers.
    utilization: f64,
    requests: usize,
    /// Share of the calls that take longer by [`SLOW_FACTOR`].
    tail: f64,
    trouble: Trouble,
    share: f64,
}

/// What happens in the second half of the requests.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    OneServerHangs,
    AllSlow,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Times of the requests in milliseconds, in order.
    sorted_ms: Vec<f64>,
    second_calls: usize,
    /// Second calls in the second half.
    late_second_calls: usize,
    first_s: f64,
    second_s: f64,
    denied: HashMap<&'static str, usize>,
}

impl Outcome {
    fn quantile_ms(&self, share: f64) -> f64 {
        self.sorted_ms[(self.sorted_ms.len() as f64 * share) as usize]
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    IsSlow(usize),
    Ends(usize),
    TimesOut(usize),
}

#[derive(Debug, Clone, Copy)]
struct Call {
    request: usize,
    server: usize,
    sent_us: u64,
    work_us: u64,
    is_second: bool,
    is_open: bool,
    is_slow: bool,
    /// Server time that was reserved for a second call.
    reserved: Duration,
}

#[derive(Default)]
struct Instance {
    balancer: LoadBalancer,
    second_calls: SecondCalls,
    window: RetryWindow,
}

struct Simulation {
    load: Load,
    now_us: u64,
    events: BinaryHeap<std::cmp::Reverse<(u64, Event)>>,
    instances: Vec<Instance>,
    calls: Vec<Call>,
    /// Arrival and open calls of each request.
    requests: Vec<(u64, Vec<usize>)>,
    running: Vec<Vec<usize>>,
    queues: Vec<VecDeque<usize>>,
    outcome: Outcome,
    class: CallClass,
}

fn name(server: usize) -> InstanceId {
    format!("s{server:02}").as_str().into()
}

impl Simulation {
    fn run(load: Load) -> Outcome {
        let servers: Vec<_> = (0..load.servers).map(|n| plain(&name(n), "a")).collect();
        let instance = |_| {
            let mut instance = Instance::default();
            instance.balancer.apply(&servers, &config());
            instance
        };
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let interval_us = USUAL_MS * 1e3 / (load.utilization * (load.servers * SLOTS) as f64);
        let mut at_us = 0.0;
        let arrivals = (0..load.requests).map(|_| {
            at_us -= interval_us * (1.0 - random.random::<f64>()).ln();
            (at_us as u64, Vec::new())
        });
        let requests: Vec<_> = arrivals.collect();
        let events = requests.iter().enumerate();
        let events = events.map(|(n, (at, _))| std::cmp::Reverse((*at, Event::Arrives(n))));
        let mut simulation = Self {
            load,
            now_us: 0,
            events: events.collect(),
            instances: (0..load.instances).map(instance).collect(),
            calls: Vec::new(),
            requests,
            running: vec![Vec::new(); load.servers],
            queues: vec![VecDeque::new(); load.servers],
            outcome: Outcome::default(),
            class: CallClass {
                service: PLAIN.into(),
                kind: RequestKind::Idempotent,
                size: SizeClass::of(0),
            },
        };
        while let Some(std::cmp::Reverse((at, event))) = simulation.events.pop() {
            simulation.now_us = at;
            simulation.on_event(event);
        }
        simulation.outcome.sorted_ms.sort_by(f64::total_cmp);
        simulation.outcome
    }

    fn now(&self) -> Duration {
        Duration::from_micros(self.now_us)
    }

    fn budget(&self) -> SharedRetryBudget {
        SharedRetryBudget {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
            instances: Some(self.load.instances),
            counted_for: self.now(),
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrives(request) => self.on_arrival(request),
            Event::IsSlow(call) if self.calls[call].is_open => self.on_slow(call),
            Event::Ends(call) | Event::TimesOut(call) if self.calls[call].is_open => {
                self.on_end(call);
            }
            Event::IsSlow(_) | Event::Ends(_) | Event::TimesOut(_) => {}
        }
    }

    fn on_arrival(&mut self, request: usize) {
        let (now, budget) = (self.now(), self.budget());
        let number = request % self.load.instances;
        let instance = &mut self.instances[number];
        instance.window.on_request(now, &budget);
        let window_requests = instance.window.requests(now, &budget);
        let share = self.load.share;
        let service = &self.class.service;
        instance
            .second_calls
            .on_request(service, share, window_requests);
        let threshold = instance.second_calls.threshold(&self.class, share);
        // Which server is called first is not part of this decision.
        let mut random = ChaCha8Rng::seed_from_u64(!(request as u64));
        let server = name(random.random_range(0..self.load.servers));
        let call = self.send(request, &server, Duration::ZERO);
        if let Some(threshold) = threshold.filter(|_| share > 0.0) {
            self.at(threshold, Event::IsSlow(call));
        }
    }

    fn at(&mut self, after: Duration, event: Event) {
        let at_us = self.now_us + after.as_micros() as u64;
        self.events.push(std::cmp::Reverse((at_us, event)));
    }

    fn send(&mut self, request: usize, server: &InstanceId, reserved: Duration) -> usize {
        let number = server.as_str().strip_prefix('s');
        let server = number.and_then(|number| number.parse().ok());
        let server: usize = server.expect("a server of the load");
        let is_second = !self.requests[request].1.is_empty();
        let seed = request as u64 * 2 + u64::from(is_second);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut work_ms = USUAL_MS * random.random_range(0.5..1.5);
        if random.random_bool(self.load.tail) {
            work_ms *= SLOW_FACTOR;
        }
        if request >= self.load.requests / 2 {
            match self.load.trouble {
                Trouble::OneServerHangs if server == 0 => work_ms = 1e6,
                Trouble::AllSlow => work_ms *= SLOW_FACTOR,
                Trouble::OneServerHangs | Trouble::None => {}
            }
        }
        let call = self.calls.len();
        self.calls.push(Call {
            request,
            server,
            sent_us: self.now_us,
            work_us: (work_ms * 1e3) as u64,
            is_second,
            is_open: true,
            is_slow: false,
            reserved,
        });
        self.requests[request].1.push(call);
        let balancer = &mut self.instances[request % self.load.instances].balancer;
        balancer.on_sent(&name(server));
        self.queues[server].push_back(call);
        self.start_queued(server);
        self.at(Duration::from_micros(TIMEOUT_US), Event::TimesOut(call));
        call
    }

    fn start_queued(&mut self, server: usize) {
        while self.running[server].len() < SLOTS {
            let Some(call) = self.queues[server].pop_front() else {
                return;
            };
            self.running[server].push(call);
            let work = Duration::from_micros(self.calls[call].work_us);
            self.at(work, Event::Ends(call));
        }
    }

    fn on_slow(&mut self, call: usize) {
        let now = self.now();
        let budget = self.budget();
        self.calls[call].is_slow = true;
        let Call {
            request, server, ..
        } = self.calls[call];
        let instance = &mut self.instances[request % self.load.instances];
        instance.second_calls.on_slow(now, &name(server));
        let service = &self.class.service;
        let slow_call = SlowCall {
            class: &self.class,
            possible_runs: 0,
            max_attempts: 2,
            time_left: Duration::from_secs(1),
            has_spare_retry: instance.window.may_spare(now, &budget),
            service_load: instance.balancer.service_load(now, service),
        };
        let servers = instance.balancer.available_servers(now, service);
        let verdict = instance.second_calls.evaluate(now, &slow_call, servers);
        if let Err(denial) = verdict {
            *self.outcome.denied.entry(denial.as_str()).or_default() += 1;
            return;
        }
        let servers = instance.balancer.available_servers(now, service);
        let slow = servers.filter(|id| instance.second_calls.is_slow(now, id));
        let excluded: Vec<_> = slow.cloned().collect();
        assert!(excluded.contains(&name(server)));
        let second = instance.balancer.select_second_server(
            now,
            service,
            &"a".into(),
            PermitRank::Normal,
            &excluded,
        );
        let Some(second) = second else {
            return;
        };
        assert!(instance.window.try_second_call(now, &budget));
        let reserved = instance.second_calls.take(&self.class);
        self.outcome.second_calls += 1;
        if request >= self.load.requests / 2 {
            self.outcome.late_second_calls += 1;
        }
        self.send(request, &second.id, reserved);
    }

    /// Ends all calls of the request of the call that ended.
    fn on_end(&mut self, ended: usize) {
        let now = self.now();
        let request = self.calls[ended].request;
        let (arrived_us, calls) = self.requests[request].clone();
        let time_ms = (self.now_us - arrived_us) as f64 / 1e3;
        self.outcome.sorted_ms.push(time_ms);
        for number in calls {
            self.calls[number].is_open = false;
            let call = self.calls[number];
            let time = Duration::from_micros(self.now_us - call.sent_us);
            let (running, queue) = (
                &mut self.running[call.server],
                &mut self.queues[call.server],
            );
            running.retain(|other| *other != number);
            queue.retain(|other| *other != number);
            let (running, waiting) = (running.len() as u32, queue.len() as u32);
            let instance = &mut self.instances[request % self.load.instances];
            let server = name(call.server);
            instance.balancer.on_ended(&server);
            if number == ended {
                let balancer = &mut instance.balancer;
                balancer.on_load_report(&server, running, waiting, SLOTS as u32);
            }
            if call.is_second {
                self.outcome.second_s += time.as_secs_f64();
                let service = &self.class.service;
                let second_calls = &mut instance.second_calls;
                second_calls.on_second_ended(service, call.reserved, time);
            } else {
                self.outcome.first_s += time.as_secs_f64();
                let ended = EndedCall {
                    class: &self.class,
                    server: &server,
                    time,
                    is_slow: call.is_slow,
                    is_complete: number == ended,
                };
                let second_calls = &mut instance.second_calls;
                second_calls.on_ended(now, self.load.share, &ended);
            }
            self.start_queued(call.server);
        }
    }
}

/// 12 servers at 30 in 100 of their slots, and 15 calls in a thousand that take 12 times as long.
const LONG_TAIL: Load = Load {
    instances: 8,
    servers: 12,
    utilization: 0.3,
    requests: 24_000,
    tail: 0.015,
    trouble: Trouble::None,
    share: 0.02,
};

/// Guards against slow answers that are not cut, and against a sum of second calls or of their time
/// above the share.
#[rstest]
#[case::few_instances_1(8, 0.01, [1.0, 1.0])]
#[case::few_instances_2(8, 0.02, [0.5, 0.5])]
#[case::few_instances_5(8, 0.05, [0.5, 0.5])]
#[case::many_instances_2(78, 0.02, [1.0, 1.0])]
#[case::many_instances_5(78, 0.05, [0.9, 1.0])]
fn the_slowest_answers_are_cut_within_the_share(
    #[case] instances: usize,
    #[case] share: f64,
    #[case] max_ratios: [f64; 2],
) {
    let load = Load {
        instances,
        share,
        ..LONG_TAIL
    };
    let off = Simulation::run(Load { share: 0.0, ..load });
    assert_eq!(off.second_calls, 0);
    let on = Simulation::run(load);
    let sent = on.second_calls as f64 / load.requests as f64;
    let time = on.second_s / on.first_s;
    let at = [0.5, 0.99, 0.999].map(|share| (off.quantile_ms(share), on.quantile_ms(share)));
    println!("{instances} instances, share {share}: sent {sent:.4}, time {time:.4}, {at:.1?}");
    assert!(sent <= share && time <= share, "{sent} and {time}");
    assert!(at[0].1 <= at[0].0 * 1.02);
    for ((off_ms, on_ms), max_ratio) in at[1..].iter().zip(max_ratios) {
        assert!(*on_ms < off_ms * max_ratio, "{at:?}");
    }
}

/// Guards against extra work for servers that have little room: their load is above 80 in 100 of
/// their slots.
#[test]
fn a_service_near_its_room_gets_no_second_calls() {
    let load = Load {
        utilization: 0.88,
        tail: 0.0,
        ..LONG_TAIL
    };
    let on = Simulation::run(load);
    println!("{} second calls, denied: {:?}", on.second_calls, on.denied);
    assert!(
        on.denied
            .contains_key(SecondCallDenial::ServiceLoaded.as_str())
    );
    assert!(
        on.second_calls <= load.requests / 1_000,
        "{}",
        on.second_calls
    );
}

/// Guards against requests that wait for a server that no longer answers: it is one of 12.
#[test]
fn a_server_that_hangs_delays_fewer_requests() {
    let load = Load {
        trouble: Trouble::OneServerHangs,
        share: 0.05,
        ..LONG_TAIL
    };
    let off = Simulation::run(Load { share: 0.0, ..load });
    let on = Simulation::run(load);
    let late = |outcome: &Outcome| outcome.sorted_ms.iter().filter(|ms| **ms > 500.0).count();
    println!("late {} and {}, {:?}", late(&off), late(&on), on.denied);
    assert!(
        late(&on) * 2 < late(&off),
        "{} of {}",
        late(&on),
        late(&off)
    );
    assert!(on.second_calls as f64 <= load.requests as f64 * load.share);
}

/// Guards against a storm: from the middle on every call takes 12 times as long.
///
/// An instance with few calls does not see that other servers are slow; the share bounds its calls.
#[rstest]
#[case::few_instances(8, true)]
#[case::many_instances(78, false)]
fn a_service_that_is_slow_as_a_whole_gets_few_second_calls(
    #[case] instances: usize,
    #[case] is_seen: bool,
) {
    let load = Load {
        instances,
        utilization: 0.04,
        trouble: Trouble::AllSlow,
        ..LONG_TAIL
    };
    let on = Simulation::run(load);
    println!(
        "{} second calls, denied: {:?}",
        on.late_second_calls, on.denied
    );
    let reason = SecondCallDenial::ServiceSlow.as_str();
    assert!(!is_seen || on.denied.contains_key(reason));
    assert!(on.late_second_calls as f64 <= (load.requests / 2) as f64 * load.share);
}
