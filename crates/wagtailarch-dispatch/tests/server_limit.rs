//! Tests rate limits that many instances keep together, in virtual time.

mod common;

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use common::{PLAIN, config, plain};
use rstest::rstest;
use wagtailarch_dispatch::{LimitMembers, LoadBalancer, NamedLimit, PermitStep, RateLimit};
use wagtailarch_types::InstanceId;
use wagtailarch_wire::{
    load_note::LimitReport,
    permit::{PermitOutcome, PermitRank},
};

/// Delay of a message between two instances.
const MESSAGE_DELAY: Duration = Duration::from_millis(3);
/// Time for which a request waits for a permit.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time between a request and its response.
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// Time until an instance knows that another one does not respond.
const LIVENESS_TIME: Duration = Duration::from_millis(3_500);
/// Interval at which instances report limits.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which instances update their members.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

type Instance = usize;

/// Instances in front of one server that names a limit.
struct Simulation {
    now: Duration,
    balancers: Vec<LoadBalancer>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    /// Limit that the server names.
    limit: Option<f64>,
    /// Instances that have stopped, with the time.
    stopped: BTreeMap<Instance, Duration>,
    /// Instances that are cut off from the others, with the time.
    cut: BTreeMap<Instance, Duration>,
    /// Requests that have reached the server, with their instances and ranks.
    arrivals: Vec<(Duration, Instance, PermitRank)>,
    /// Times after which refused clients may retry.
    retry_after: Vec<Duration>,
    messages: u64,
}

enum Event {
    Client(Instance, PermitRank),
    Request {
        from: Instance,
        to: Instance,
        limit: LimitReport,
        rank: PermitRank,
        asked_at: Duration,
    },
    Outcome {
        to: Instance,
        from: Instance,
        rank: PermitRank,
        outcome: PermitOutcome,
        asked_at: Duration,
    },
    Timeout {
        instance: Instance,
        coordinator: Instance,
        rank: PermitRank,
        asked_at: Duration,
    },
    Response {
        to: Instance,
        sent_at: Duration,
        named: NamedLimit,
    },
    Report(Instance, LimitReport),
    SendReports,
    UpdateMembers,
}

fn server() -> InstanceId {
    "s1".into()
}

fn name(instance: Instance) -> InstanceId {
    format!("front-{instance}").into()
}

fn number(name: &InstanceId) -> Instance {
    let number = name.rsplit('-').next().expect("a number");
    number.parse().expect("a number")
}

fn named(limit: Option<f64>) -> NamedLimit {
    let limit = limit.and_then(RateLimit::new);
    limit.map_or(NamedLimit::Absent, NamedLimit::Limit)
}

impl Simulation {
    fn new(instances: usize) -> Self {
        let balancer = || {
            let mut balancer = LoadBalancer::default();
            balancer.apply(&[plain("s1", "a")], &config());
            balancer
        };
        let mut simulation = Self {
            now: Duration::ZERO,
            balancers: (0..instances).map(|_| balancer()).collect(),
            events: BTreeMap::new(),
            count: 0,
            limit: None,
            stopped: BTreeMap::new(),
            cut: BTreeMap::new(),
            arrivals: Vec::new(),
            retry_after: Vec::new(),
            messages: 0,
        };
        simulation.add(Duration::ZERO, Event::UpdateMembers);
        simulation.add(Duration::ZERO, Event::SendReports);
        simulation
    }

    fn add(&mut self, delay: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    /// Adds clients of an instance that send `per_s` requests a second in a time.
    fn add_clients(
        &mut self,
        instance: Instance,
        rank: PermitRank,
        per_s: f64,
        time: std::ops::Range<f64>,
    ) {
        // Instances begin at different times.
        let mut at = time.start + instance as f64 * 0.618 % 1.0 / per_s;
        while at < time.end {
            let delay = Duration::from_secs_f64(at).saturating_sub(self.now);
            self.add(delay, Event::Client(instance, rank));
            at += 1.0 / per_s;
        }
    }

    fn is_connected(&self, to: Instance, from: Instance) -> bool {
        let stopped = self.stopped.contains_key(&from) || self.stopped.contains_key(&to);
        let cut = self.cut.contains_key(&from) != self.cut.contains_key(&to);
        !stopped && !cut
    }

    /// Returns whether an instance still regards another one as live.
    fn regards_as_live(&self, instance: Instance, other: Instance) -> bool {
        let recent = |at: Option<&Duration>| at.is_some_and(|at| self.now < *at + LIVENESS_TIME);
        let since_stop = self.stopped.get(&other);
        let since_cut = [self.cut.get(&other), self.cut.get(&instance)];
        self.is_connected(instance, other)
            || recent(since_stop)
            || since_stop.is_none() && since_cut.into_iter().any(recent)
    }

    fn run_until(&mut self, end_s: f64) {
        let end = Duration::from_secs_f64(end_s);
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendReports => self.send_reports(),
            Event::UpdateMembers => self.update_members(),
            Event::Client(instance, rank) => self.start(instance, rank, true),
            Event::Request {
                from,
                to,
                limit,
                rank,
                asked_at,
            } => {
                if !self.is_connected(to, from) {
                    return;
                }
                let outcome = self.balancers[to].on_permit_request(self.now, &limit, rank);
                self.messages += 1;
                let event = Event::Outcome {
                    to: from,
                    from: to,
                    rank,
                    outcome,
                    asked_at,
                };
                self.add(MESSAGE_DELAY, event);
            }
            Event::Outcome {
                to,
                from,
                rank,
                outcome,
                asked_at,
            } => {
                if !self.is_connected(to, from) {
                    return;
                }
                let is_awaited = self.now < asked_at + PERMIT_TIMEOUT;
                let key = wagtailarch_wire::load_note::server_key(&server());
                let balancer = &mut self.balancers[to];
                balancer.on_permit_response(self.now, key, rank, outcome, is_awaited);
                match outcome {
                    PermitOutcome::Granted if is_awaited => self.send(to, rank),
                    PermitOutcome::Granted => {}
                    PermitOutcome::Denied { .. } => self.refuse(to, rank),
                    PermitOutcome::NotCoordinator => self.start(to, rank, false),
                }
            }
            Event::Timeout {
                instance,
                coordinator,
                rank,
                asked_at,
            } => {
                if self.is_connected(instance, coordinator) {
                    return;
                }
                assert_eq!(self.now, asked_at + PERMIT_TIMEOUT);
                let balancer = &mut self.balancers[instance];
                balancer.on_permit_timeout(self.now, &server(), &name(coordinator));
                self.start(instance, rank, false);
            }
            Event::Response { to, sent_at, named } => {
                if self.stopped.contains_key(&to) {
                    return;
                }
                self.balancers[to].on_named_limit(self.now, &server(), sent_at, named);
            }
            Event::Report(to, report) => {
                self.balancers[to].on_limit_report(self.now, &report);
            }
        }
    }

    fn running(&self) -> Vec<Instance> {
        let all = 0..self.balancers.len();
        all.filter(|instance| !self.stopped.contains_key(instance))
            .collect()
    }

    fn update_members(&mut self) {
        for instance in self.running() {
            let others = (0..self.balancers.len()).filter(|other| *other != instance);
            let live = others.filter(|other| self.regards_as_live(instance, *other));
            let members = LimitMembers {
                own: Some(name(instance)),
                live: live.map(name).collect(),
                listed: self.balancers.len(),
            };
            self.balancers[instance].set_limit_members(members);
        }
        self.add(MEMBERS_INTERVAL, Event::UpdateMembers);
    }

    fn send_reports(&mut self) {
        let running = self.running();
        for &from in &running {
            for report in self.balancers[from].take_limit_reports(self.now) {
                for &to in running.iter().filter(|to| **to != from) {
                    if self.is_connected(to, from) {
                        self.add(MESSAGE_DELAY, Event::Report(to, report));
                    }
                }
            }
        }
        self.add(REPORT_INTERVAL, Event::SendReports);
    }

    /// Handles a client's request; asks for a permit only if `may_ask`.
    fn start(&mut self, instance: Instance, rank: PermitRank, may_ask: bool) {
        if self.stopped.contains_key(&instance) {
            return;
        }
        match self.balancers[instance].take_permit(self.now, &server(), rank) {
            PermitStep::Unlimited | PermitStep::Permitted => self.send(instance, rank),
            PermitStep::Ask { coordinator, limit } if may_ask => {
                let (to, asked_at) = (number(&coordinator), self.now);
                self.messages += 1;
                let request = Event::Request {
                    from: instance,
                    to,
                    limit,
                    rank,
                    asked_at,
                };
                self.add(MESSAGE_DELAY, request);
                let timeout = Event::Timeout {
                    instance,
                    coordinator: to,
                    rank,
                    asked_at,
                };
                self.add(PERMIT_TIMEOUT, timeout);
            }
            PermitStep::Ask { .. } | PermitStep::Denied => self.refuse(instance, rank),
        }
    }

    fn send(&mut self, instance: Instance, rank: PermitRank) {
        self.arrivals.push((self.now, instance, rank));
        let response = Event::Response {
            to: instance,
            sent_at: self.now,
            named: named(self.limit),
        };
        self.add(RESPONSE_TIME, response);
    }

    fn refuse(&mut self, instance: Instance, rank: PermitRank) {
        let balancer = &self.balancers[instance];
        let retry_after = balancer.limit_retry_after(self.now, &PLAIN.into(), rank);
        self.retry_after.push(retry_after.unwrap_or_default());
    }

    /// Returns the number of requests that arrive from `from_s` to `until_s`.
    fn count(&self, from_s: f64, until_s: f64) -> usize {
        let time = Duration::from_secs_f64(from_s)..Duration::from_secs_f64(until_s);
        let arrivals = self.arrivals.iter();
        arrivals.filter(|(at, ..)| time.contains(at)).count()
    }

    /// Returns the most requests in a window from `from_s` on.
    fn most(&self, from_s: f64) -> usize {
        let from = Duration::from_secs_f64(from_s);
        let begins = self.arrivals.iter().map(|(at, ..)| *at);
        let counts = begins.filter(|begin| *begin >= from).map(|begin| {
            let arrivals = self.arrivals.iter();
            let window = begin..begin + WINDOW;
            arrivals.filter(|(at, ..)| window.contains(at)).count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Returns the number of requests that the users' rule allows in a window.
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Guards against instances that together exceed a limit, and against a limit that is hardly used,
/// at both ends of the fleet sizes and with uneven load.
#[rstest]
fn the_sum_of_all_instances_stays_within_the_limit(
    #[values(1, 8, 370)] instances: usize,
    #[values(0.0, 0.2, 1.5, 4.0, 60.0)] limit: f64,
    #[values(false, true)] uneven: bool,
) {
    let mut simulation = Simulation::new(instances);
    let demand_per_s = (limit * 4.0).max(10.0);
    for instance in 0..instances {
        let per_s = match uneven && instances > 1 {
            false => demand_per_s / instances as f64,
            true if instance == 0 => demand_per_s * 0.9,
            true => demand_per_s * 0.1 / (instances - 1) as f64,
        };
        simulation.add_clients(instance, PermitRank::Normal, per_s, 0.0..60.0);
    }
    simulation.run_until(10.0);
    simulation.limit = Some(limit);
    simulation.run_until(60.0);
    let most = simulation.most(13.0);
    assert!(
        most <= allowed(limit),
        "{most} requests, allowed {}",
        allowed(limit)
    );
    let expected = limit.max(0.1) * 40.0 * 0.8;
    let used = simulation.count(20.0, 60.0);
    assert!(
        used as f64 >= expected.floor(),
        "{used} requests in 40 s, expected {expected}"
    );
}

/// Guards against a limit that is exceeded or unused while the coordinator has stopped, and
/// afterwards.
#[rstest]
fn a_coordinator_that_stops_is_replaced(
    #[values(8, 370)] instances: usize,
    #[values(1.5, 20.0)] limit: f64,
) {
    let mut simulation = Simulation::new(instances);
    simulation.limit = Some(limit);
    for instance in 0..instances {
        let per_s = limit * 6.0 / instances as f64;
        simulation.add_clients(instance, PermitRank::Normal, per_s, 0.0..60.0);
    }
    simulation.run_until(20.0);
    for instance in coordinators(&simulation) {
        simulation.stopped.insert(instance, simulation.now);
    }
    simulation.run_until(60.0);
    assert!(simulation.most(5.0) <= allowed(limit));
    let used = simulation.count(30.0, 60.0) as f64;
    assert!(
        used >= limit * 30.0 * 0.75,
        "{used} requests in 30 s after the stop"
    );
}

/// Returns the instances that regard themselves as coordinator.
fn coordinators(simulation: &Simulation) -> HashSet<Instance> {
    let all: Vec<InstanceId> = (0..simulation.balancers.len()).map(name).collect();
    let members = LimitMembers {
        own: all.first().cloned(),
        live: all[1..].to_vec(),
        listed: all.len(),
    };
    let key = wagtailarch_wire::load_note::server_key(&server());
    members.coordinator(key).map(number).into_iter().collect()
}

/// Guards against two sides of a partition that each use the whole limit, and against a side that
/// uses nothing.
#[rstest]
fn both_sides_of_a_partition_share_the_limit(
    #[values(9, 370)] instances: usize,
    #[values(1.5, 12.0)] limit: f64,
) {
    let mut simulation = Simulation::new(instances);
    simulation.limit = Some(limit);
    for instance in 0..instances {
        let per_s = limit * 6.0 / instances as f64;
        simulation.add_clients(instance, PermitRank::Normal, per_s, 0.0..60.0);
    }
    simulation.run_until(20.0);
    let side = 0..instances / 3;
    for instance in side.clone() {
        simulation.cut.insert(instance, simulation.now);
    }
    simulation.run_until(50.0);
    simulation.cut.clear();
    simulation.run_until(60.0);
    assert!(simulation.most(5.0) <= allowed(limit));
    let cut_off = simulation.arrivals.iter().filter(|(at, instance, _)| {
        side.contains(instance) && (28..50).contains(&(at.as_secs() as usize))
    });
    let expected = limit / 3.0 * 22.0 * 0.7;
    let used = cut_off.count() as f64;
    assert!(
        used >= expected,
        "{used} requests of the side that is cut off"
    );
}

/// Guards against a limit that is exceeded by two instances that both regard themselves as its
/// coordinator for two seconds, each with a full bucket.
#[rstest]
fn two_coordinators_stay_within_the_limit_in_a_burst(
    #[values(0.0, 0.5, 1.5, 4.0, 60.0)] limit: f64,
) {
    let mut simulation = Simulation::new(2);
    simulation.limit = Some(limit);
    for instance in 0..2 {
        simulation.add_clients(instance, PermitRank::Urgent, 20.0, 0.0..1.0);
        // A bucket fills from its first request on.
        simulation.add_clients(instance, PermitRank::Normal, 10.0, 6.0..6.1);
        let burst_per_s = (limit * 8.0).max(20.0);
        simulation.add_clients(instance, PermitRank::Urgent, burst_per_s, 40.0..44.0);
    }
    simulation.run_until(5.0);
    simulation
        .events
        .retain(|_, event| !matches!(event, Event::UpdateMembers));
    for (instance, balancer) in simulation.balancers.iter_mut().enumerate() {
        balancer.set_limit_members(LimitMembers {
            own: Some(name(instance)),
            live: Vec::new(),
            listed: 1,
        });
    }
    simulation.run_until(42.0);
    let most = simulation.most(38.0);
    assert!(
        most <= allowed(limit),
        "{most} requests, allowed {}",
        allowed(limit)
    );
}

/// Guards against a limit that is exceeded after it was lowered, and against instances that go on
/// keeping a limit that was raised or taken back.
#[test]
fn changes_of_a_limit_reach_all_instances() {
    const INSTANCES: usize = 8;
    let mut simulation = Simulation::new(INSTANCES);
    simulation.limit = Some(20.0);
    for instance in 0..INSTANCES {
        simulation.add_clients(instance, PermitRank::Normal, 10.0, 0.0..60.0);
    }
    simulation.run_until(15.0);
    simulation.limit = Some(2.0);
    simulation.run_until(30.0);
    assert!(simulation.most(16.0) <= allowed(2.0));
    simulation.limit = Some(30.0);
    simulation.run_until(40.0);
    let raised = simulation.count(35.0, 40.0);
    assert!((120..=180).contains(&raised), "{raised}");
    simulation.limit = None;
    simulation.run_until(60.0);
    assert!(simulation.count(50.0, 60.0) > 780);
}

/// Guards against an urgent route that is refused while others use the limit.
#[rstest]
#[case(1.5)]
#[case(20.0)]
fn urgent_requests_go_first(#[case] limit: f64) {
    const INSTANCES: usize = 8;
    let mut simulation = Simulation::new(INSTANCES);
    simulation.limit = Some(limit);
    let urgent_per_s = limit * 0.8;
    for instance in 0..INSTANCES {
        let share = |per_s: f64| per_s / INSTANCES as f64;
        simulation.add_clients(instance, PermitRank::Low, share(limit * 4.0), 0.0..60.0);
        simulation.add_clients(instance, PermitRank::Urgent, share(urgent_per_s), 0.0..60.0);
    }
    simulation.run_until(60.0);
    let late = simulation
        .arrivals
        .iter()
        .filter(|(at, ..)| at.as_secs() >= 20);
    let urgent = late
        .filter(|(_, _, rank)| *rank == PermitRank::Urgent)
        .count();
    let share = urgent as f64 / (urgent_per_s * 40.0);
    assert!(share > 0.8, "{share} of the urgent requests");
    assert!(simulation.most(5.0) <= allowed(limit));
}

/// Guards against a Retry-After that does not hold: clients who come back after it at any instance
/// find room in most cases.
#[test]
fn a_refused_client_finds_room_when_it_retries() {
    const INSTANCES: usize = 8;
    let mut simulation = Simulation::new(INSTANCES);
    simulation.limit = Some(4.0);
    for instance in 0..INSTANCES {
        simulation.add_clients(instance, PermitRank::Normal, 2.0, 0.0..10.0);
    }
    simulation.run_until(10.5);
    let retry_after = simulation.retry_after.last().copied().expect("a refusal");
    assert!(
        (Duration::from_millis(250)..Duration::from_secs(6)).contains(&retry_after),
        "{retry_after:?}"
    );
    let before = simulation.arrivals.len();
    let at = simulation.now + retry_after;
    simulation.add(retry_after, Event::Client(3, PermitRank::Normal));
    simulation.run_until(at.as_secs_f64() + 0.1);
    assert_eq!(simulation.arrivals.len(), before + 1);
}

/// Guards against a response that takes a limit back although its server sent it before it named
/// the limit, and against a limit that outlives a restart of its server.
#[test]
fn only_newer_responses_take_a_limit_back() {
    let at = Duration::from_millis;
    let mut balancer = LoadBalancer::default();
    balancer.apply(&[plain("s1", "a")], &config());
    balancer.on_named_limit(at(100), &server(), at(50), named(Some(2.0)));
    assert_eq!(
        balancer.on_named_limit(at(110), &server(), at(90), named(None)),
        None
    );
    assert_eq!(balancer.limited_servers().len(), 1);
    let invalid = balancer.on_named_limit(at(190), &server(), at(180), NamedLimit::Invalid);
    assert_eq!(invalid, None);
    assert_eq!(balancer.limited_servers().len(), 1);
    balancer.on_named_limit(at(200), &server(), at(150), named(None));
    assert!(balancer.limited_servers().is_empty());
    balancer.on_named_limit(at(300), &server(), at(250), named(Some(2.0)));
    let mut restarted = plain("s1", "a");
    restarted.started_unix_ms += 1;
    balancer.apply(&[restarted], &config());
    assert!(balancer.limited_servers().is_empty());
}

/// Guards against messages that cost more than an instance may spend on control: 2 KB/s with 1% of
/// 3,800 servers at their limits, in datagrams of at most 48 bytes.
#[test]
fn the_messages_for_a_limit_are_bounded() {
    const INSTANCES: usize = 370;
    const MOST_PER_S: f64 = 2_048.0 * INSTANCES as f64 / 38.0 / 48.0;
    let mut simulation = Simulation::new(INSTANCES);
    simulation.limit = Some(4.0);
    for instance in 0..INSTANCES {
        simulation.add_clients(instance, PermitRank::Normal, 1.0, 0.0..30.0);
    }
    simulation.run_until(30.0);
    let per_s = simulation.messages as f64 / 30.0;
    assert!(
        per_s < MOST_PER_S,
        "{per_s} of {MOST_PER_S} messages a second"
    );
}
