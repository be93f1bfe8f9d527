//! Instances in front of one server that names a rate limit, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use wagtailarch_dispatch::{LimitMembers, LoadBalancer, NamedLimit, PermitStep, RateLimit};
use wagtailarch_types::InstanceId;
use wagtailarch_wire::{
    load_note::{LimitReport, server_key},
    permit::{PermitOutcome, PermitRank},
};

use crate::common::{PLAIN, config, plain};

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
pub const WINDOW: Duration = Duration::from_secs(4);

pub type Instance = usize;

/// Instances in front of one server that names a limit.
pub struct Simulation {
    pub now: Duration,
    pub balancers: Vec<LoadBalancer>,
    pub events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    /// Limit that the server names.
    pub limit: Option<f64>,
    /// Instances that have stopped, with the time.
    pub stopped: BTreeMap<Instance, Duration>,
    /// Instances that are cut off from the others, with the time.
    pub cut: BTreeMap<Instance, Duration>,
    /// Requests that have reached the server, with their instances.
    pub arrivals: Vec<(Duration, Instance, Client)>,
    pub refusals: Vec<Client>,
    /// Whether refused clients retry.
    pub clients_retry: bool,
    pub messages: u64,
}

/// A request of a client.
#[derive(Debug, Clone, Copy)]
pub struct Client {
    pub rank: PermitRank,
    /// Whether the request was refused before.
    pub returned: bool,
}

pub enum Event {
    Client(Instance, Client),
    Request {
        from: Instance,
        to: Instance,
        limit: LimitReport,
        client: Client,
        asked_at: Duration,
    },
    Outcome {
        to: Instance,
        from: Instance,
        client: Client,
        outcome: PermitOutcome,
        asked_at: Duration,
    },
    Timeout {
        instance: Instance,
        coordinator: Instance,
        client: Client,
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

pub fn server() -> InstanceId {
    "s1".into()
}

pub fn name(instance: Instance) -> InstanceId {
    format!("front-{instance}").into()
}

pub fn number(name: &InstanceId) -> Instance {
    let number = name.rsplit('-').next().expect("a number");
    number.parse().expect("a number")
}

pub fn named(limit: Option<f64>) -> NamedLimit {
    let limit = limit.and_then(RateLimit::new);
    limit.map_or(NamedLimit::Absent, NamedLimit::Limit)
}

impl Simulation {
    pub fn new(instances: usize) -> Self {
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
            refusals: Vec::new(),
            clients_retry: false,
            messages: 0,
        };
        simulation.add(Duration::ZERO, Event::UpdateMembers);
        simulation.add(Duration::ZERO, Event::SendReports);
        simulation
    }

    /// Returns instances that have run for 20 s with a limit and an even load of `per_s` requests a
    /// second in total, which lasts until 60 s.
    pub fn loaded(instances: usize, limit: f64, per_s: f64) -> Self {
        let mut simulation = Self::new(instances);
        simulation.limit = Some(limit);
        for instance in 0..instances {
            let share_per_s = per_s / instances as f64;
            simulation.add_clients(instance, PermitRank::Normal, share_per_s, 0.0..60.0);
        }
        simulation.run_until(20.0);
        simulation
    }

    pub fn add(&mut self, delay: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    /// Adds clients of an instance that send `per_s` requests a second in a time.
    pub fn add_clients(
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
            let client = Client {
                rank,
                returned: false,
            };
            self.add(delay, Event::Client(instance, client));
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

    pub fn run_until(&mut self, end_s: f64) {
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
            Event::Client(instance, client) => self.start(instance, client, true),
            Event::Request {
                from,
                to,
                limit,
                client,
                asked_at,
            } => {
                if !self.is_connected(to, from) {
                    return;
                }
                let outcome = self.balancers[to].on_permit_request(
                    self.now,
                    &limit,
                    client.rank,
                    from as u64 + 1,
                );
                self.messages += 1;
                let event = Event::Outcome {
                    to: from,
                    from: to,
                    client,
                    outcome,
                    asked_at,
                };
                self.add(MESSAGE_DELAY, event);
            }
            Event::Outcome {
                to,
                from,
                client,
                outcome,
                asked_at,
            } => {
                if !self.is_connected(to, from) {
                    return;
                }
                let is_awaited = self.now < asked_at + PERMIT_TIMEOUT;
                let key = server_key(&server());
                let balancer = &mut self.balancers[to];
                balancer.on_permit_response(self.now, key, client.rank, outcome, is_awaited);
                match outcome {
                    PermitOutcome::Granted if is_awaited => self.send(to, client),
                    PermitOutcome::Granted => {}
                    PermitOutcome::Denied { .. } => self.refuse(to, client),
                    PermitOutcome::NotCoordinator => self.start(to, client, false),
                }
            }
            Event::Timeout {
                instance,
                coordinator,
                client,
                asked_at,
            } => {
                if self.is_connected(instance, coordinator) {
                    return;
                }
                assert_eq!(self.now, asked_at + PERMIT_TIMEOUT);
                let balancer = &mut self.balancers[instance];
                balancer.on_permit_timeout(self.now, &server(), &name(coordinator));
                self.start(instance, client, false);
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
    fn start(&mut self, instance: Instance, client: Client, may_ask: bool) {
        if self.stopped.contains_key(&instance) {
            return;
        }
        match self.balancers[instance].take_permit(self.now, &server(), client.rank) {
            PermitStep::Unlimited | PermitStep::Permitted => self.send(instance, client),
            PermitStep::Ask { coordinator, limit } if may_ask => {
                let (to, asked_at) = (number(&coordinator), self.now);
                self.messages += 1;
                let request = Event::Request {
                    from: instance,
                    to,
                    limit,
                    client,
                    asked_at,
                };
                self.add(MESSAGE_DELAY, request);
                let timeout = Event::Timeout {
                    instance,
                    coordinator: to,
                    client,
                    asked_at,
                };
                self.add(PERMIT_TIMEOUT, timeout);
            }
            PermitStep::Ask { .. } | PermitStep::Denied => self.refuse(instance, client),
        }
    }

    fn send(&mut self, instance: Instance, client: Client) {
        self.arrivals.push((self.now, instance, client));
        let response = Event::Response {
            to: instance,
            sent_at: self.now,
            named: named(self.limit),
        };
        self.add(RESPONSE_TIME, response);
    }

    /// Refuses a request; its client retries once, at the next instance.
    fn refuse(&mut self, instance: Instance, client: Client) {
        let balancer = &mut self.balancers[instance];
        let retry_after = balancer.refuse_by_limits(self.now, &PLAIN.into(), client.rank);
        self.refusals.push(client);
        if !self.clients_retry || client.returned {
            return;
        }
        let client = Client {
            returned: true,
            ..client
        };
        let next = (instance + 1) % self.balancers.len();
        self.add(retry_after.unwrap_or_default(), Event::Client(next, client));
    }

    /// Returns the number of requests that arrive from `from_s` to `until_s`.
    pub fn count(&self, from_s: f64, until_s: f64) -> usize {
        let time = Duration::from_secs_f64(from_s)..Duration::from_secs_f64(until_s);
        let arrivals = self.arrivals.iter();
        arrivals.filter(|(at, ..)| time.contains(at)).count()
    }

    /// Returns the most requests in a window from `from_s` on.
    pub fn most(&self, from_s: f64) -> usize {
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
