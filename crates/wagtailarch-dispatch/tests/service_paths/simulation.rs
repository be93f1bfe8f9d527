//! Instances with paths to servers that fail, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use wagtailarch_dispatch::{
    ConnectAttempt, ForwardRequest, ForwardResult, ForwardTargets, PathChange, ServicePaths,
};
use wagtailarch_types::{InstanceId, ServiceName, ZoneName, rendezvous_weight};
use wagtailarch_wire::{load_note::LoadNote, path_report::PathReport};

use crate::decisions::note;

/// Time for which a connection that hangs is awaited.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Time to open a connection, to have it refused, or to reach another instance.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Time until a load note has reached all instances.
const NOTE_DELAY: Duration = Duration::from_millis(150);
/// Interval between load notes without a change.
const NOTE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of servers that one instance tries for a request.
const MAX_SERVERS: usize = 4;
/// Maximum number of other instances that are tried for a request.
const MAX_PEERS: usize = 3;

/// What happens to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Opens,
    Refuses,
    Hangs,
}

/// The fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub instances: usize,
    pub zones: usize,
    pub services: usize,
    /// Servers of each service.
    pub servers: usize,
    /// Requests per second at one instance, for all services together.
    pub rate_per_s: f64,
    pub duration: Duration,
}

/// What the instances and their clients saw.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Instance, service, time and duration until the end of each request, and whether it was served.
    pub requests: Vec<(usize, usize, Duration, Duration, bool)>,
    /// Instance, service and time of each loss.
    pub losses: Vec<(usize, usize, Duration)>,
    /// Instance, service and time of each return.
    pub returns: Vec<(usize, usize, Duration)>,
    /// Time of each probe.
    pub probes: Vec<Duration>,
    /// Maximum number of bytes of a path report.
    pub max_report_bytes: usize,
    /// Maximum number of requests for others at one instance.
    pub served_for_others: HashMap<usize, usize>,
}

impl Outcome {
    /// Returns the share of the requests of some instances in a period that were served.
    pub fn served_share(
        &self,
        instances: impl Fn(usize) -> bool,
        from: Duration,
        to: Duration,
    ) -> f64 {
        let requests = self.requests.iter();
        let asked = requests.filter(|(i, _, at, ..)| instances(*i) && *at >= from && *at < to);
        let (mut all, mut served) = (0, 0);
        for (.., was_served) in asked {
            all += 1;
            served += usize::from(*was_served);
        }
        served as f64 / f64::from(all.max(1))
    }

    pub fn probes_per_s(&self, from: Duration, to: Duration) -> f64 {
        let probes = self.probes.iter().filter(|at| **at >= from && **at < to);
        probes.count() as f64 / (to - from).as_secs_f64()
    }
}

struct Instance {
    name: InstanceId,
    zone: ZoneName,
    paths: ServicePaths,
    targets: ForwardTargets,
    served_for_others: u16,
}

struct Request {
    at: Duration,
    service: usize,
    client_instance: usize,
    /// Instance that connects to servers now.
    serving: usize,
    tried_servers: Vec<usize>,
    tried_instances: Vec<InstanceId>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request {
        instance: usize,
    },
    Connected {
        request: usize,
        server: usize,
        started_at: Duration,
        opened: bool,
    },
    ProbeTick {
        instance: usize,
    },
    Probed {
        instance: usize,
        service: usize,
        server: usize,
        started_at: Duration,
        opened: bool,
    },
    Note {
        instance: usize,
    },
    NoteArrived {
        note: usize,
    },
}

type LinkFn<'a> = dyn Fn(Duration, usize, usize, usize) -> Link + 'a;

/// A run of the fleet; `link` returns what happens to a connection from an instance to a server of a
/// service.
pub struct Simulation<'a> {
    fleet: Fleet,
    link: &'a LinkFn<'a>,
    rng: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    notes: Vec<LoadNote>,
    services: Vec<ServiceName>,
    servers: Vec<InstanceId>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    pub fn run(fleet: Fleet, seed: u64, link: &'a LinkFn<'a>) -> Outcome {
        let instance = |index: usize| Instance {
            name: format!("instance-{index}").into(),
            zone: format!("zone-{}", index % fleet.zones).into(),
            paths: ServicePaths::default(),
            targets: ForwardTargets::default(),
            served_for_others: 0,
        };
        let mut simulation = Self {
            fleet,
            link,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            number: 0,
            instances: (0..fleet.instances).map(instance).collect(),
            requests: Vec::new(),
            notes: Vec::new(),
            services: (0..fleet.services)
                .map(|index| format!("service-{index}").into())
                .collect(),
            servers: (0..fleet.servers)
                .map(|index| format!("server-{index}").into())
                .collect(),
            outcome: Outcome::default(),
        };
        for instance in 0..fleet.instances {
            let offset = simulation.rng.random_range(0.0..1.0);
            let delay = Duration::from_secs_f64(offset / fleet.rate_per_s);
            simulation.after(delay, Event::Request { instance });
            let delay = NOTE_INTERVAL.mul_f64(offset);
            simulation.after(delay, Event::Note { instance });
        }
        while let Some(Reverse((at, _, event))) = simulation.events.pop() {
            if at > fleet.duration {
                break;
            }
            simulation.now = at;
            simulation.on_event(event);
        }
        simulation.outcome
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.number += 1;
        let entry = (self.now + delay, self.number, event);
        self.events.push(Reverse(entry));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Request { instance } => self.on_request(instance),
            Event::Connected {
                request,
                server,
                started_at,
                opened,
            } => {
                let Request {
                    service, serving, ..
                } = self.requests[request];
                self.on_connect(serving, service, server, started_at, opened);
                match opened {
                    true => self.finish(request, true),
                    false => self.connect(request),
                }
            }
            Event::ProbeTick { instance } => self.probe(instance),
            Event::Probed {
                instance,
                service,
                server,
                started_at,
                opened,
            } => self.on_connect(instance, service, server, started_at, opened),
            Event::Note { instance } => {
                self.send_note(instance);
                self.after(NOTE_INTERVAL, Event::Note { instance });
            }
            Event::NoteArrived { note } => {
                let note = &self.notes[note];
                for instance in &mut self.instances {
                    if instance.name != note.sender {
                        instance.targets.on_note(self.now, note);
                    }
                }
            }
        }
    }

    fn on_request(&mut self, instance: usize) {
        let pause = self.rng.random_range(0.5..1.5) / self.fleet.rate_per_s;
        self.after(Duration::from_secs_f64(pause), Event::Request { instance });
        let service = self.rng.random_range(0..self.fleet.services);
        self.requests.push(Request {
            at: self.now,
            service,
            client_instance: instance,
            serving: instance,
            tried_servers: Vec::new(),
            tried_instances: Vec::new(),
        });
        let request = self.requests.len() - 1;
        match self.instances[instance]
            .paths
            .is_lost(&self.services[service])
        {
            true => self.forward(request),
            false => self.connect(request),
        }
    }

    /// Opens a connection to a further server, or leaves the instance after too many.
    fn connect(&mut self, number: usize) {
        let request = &self.requests[number];
        let untried = (0..self.fleet.servers).filter(|s| !request.tried_servers.contains(s));
        let server = untried.choose(&mut self.rng);
        let (serving, service) = (request.serving, request.service);
        let Some(server) = server.filter(|_| request.tried_servers.len() < MAX_SERVERS) else {
            self.leave(number, ForwardResult::NoPath);
            return;
        };
        self.requests[number].tried_servers.push(server);
        let (delay, opened) = self.connection(serving, service, server);
        let started_at = self.now;
        let event = Event::Connected {
            request: number,
            server,
            started_at,
            opened,
        };
        self.after(delay, event);
    }

    fn connection(&self, instance: usize, service: usize, server: usize) -> (Duration, bool) {
        match (self.link)(self.now, instance, service, server) {
            Link::Opens => (ROUND_TRIP, true),
            Link::Refuses => (ROUND_TRIP, false),
            Link::Hangs => (CONNECT_LIMIT, false),
        }
    }

    /// Ends the work of the serving instance for a request and sends it to another one.
    fn leave(&mut self, number: usize, result: ForwardResult) {
        self.end_forward(number, result);
        self.forward(number);
    }

    fn end_forward(&mut self, number: usize, result: ForwardResult) {
        let request = &self.requests[number];
        let (own, serving) = (request.client_instance, request.serving);
        if serving == own {
            return;
        }
        self.instances[serving].served_for_others -= 1;
        let name = self.instances[serving].name.clone();
        let service = &self.services[request.service];
        let targets = &mut self.instances[own].targets;
        targets.on_ended(self.now, service, &name, Some(result));
    }

    fn forward(&mut self, number: usize) {
        loop {
            let request = &mut self.requests[number];
            let service = &self.services[request.service];
            let own = &mut self.instances[request.client_instance];
            let (name, zone) = (own.name.clone(), own.zone.clone());
            let target = own.targets.select(
                self.now,
                &ForwardRequest {
                    service,
                    own: &name,
                    zone: &zone,
                    excluded: &request.tried_instances,
                },
            );
            let target = target.filter(|_| request.tried_instances.len() < MAX_PEERS);
            let Some(target) = target else {
                request.serving = request.client_instance;
                self.finish(number, false);
                return;
            };
            own.targets.on_sent(&target);
            request.tried_instances.push(target.clone());
            request.tried_servers.clear();
            let all = self.instances.iter();
            let found = all.enumerate().find(|(_, i)| i.name == target);
            let (index, _) = found.expect("only instances send notes");
            request.serving = index;
            self.instances[index].served_for_others += 1;
            if !self.instances[index].paths.is_doubted(service) {
                *self.outcome.served_for_others.entry(index).or_default() += 1;
                self.connect(number);
                return;
            }
            self.end_forward(number, ForwardResult::NoPath);
        }
    }

    fn finish(&mut self, number: usize, served: bool) {
        if served {
            self.end_forward(number, ForwardResult::Served);
        }
        let request = &self.requests[number];
        let took = self.now - request.at;
        let ended = (
            request.client_instance,
            request.service,
            request.at,
            took,
            served,
        );
        self.outcome.requests.push(ended);
    }

    fn on_connect(
        &mut self,
        instance: usize,
        service: usize,
        server: usize,
        started_at: Duration,
        opened: bool,
    ) {
        let name = &self.services[service];
        let attempt = ConnectAttempt {
            server: &self.servers[server],
            started_at,
        };
        let paths = &mut self.instances[instance].paths;
        let change = match opened {
            true => paths.on_opened(self.now, name, attempt),
            false => paths.on_failed(self.now, name, attempt),
        };
        match change {
            Some(PathChange::Lost { .. }) => {
                self.outcome.losses.push((instance, service, self.now));
                self.send_note(instance);
            }
            Some(PathChange::Returned { .. }) => {
                self.outcome.returns.push((instance, service, self.now));
                self.send_note(instance);
            }
            Some(PathChange::Doubted) => {
                self.send_note(instance);
                self.probe(instance);
            }
            Some(PathChange::Suspected) => self.probe(instance),
            Some(PathChange::Cleared { .. } | PathChange::Returning | PathChange::LostAgain)
            | None => {}
        }
    }

    fn probe(&mut self, instance: usize) {
        let state = &mut self.instances[instance];
        let seed = rendezvous_weight(0, &state.name);
        let servers: Vec<_> = self.servers.iter().collect();
        let mut probes = Vec::new();
        for service in state.paths.due(self.now) {
            let taken = state.paths.take_probe(self.now, &service, &servers, seed);
            probes.extend(taken.map(|server| (service, server)));
        }
        let next = state.paths.next_probe_at();
        for (service, server) in probes {
            let named = self.services.iter().position(|name| *name == service);
            let service = named.expect("only these services are probed");
            self.outcome.probes.push(self.now);
            let (delay, opened) = self.connection(instance, service, server);
            let probed = Event::Probed {
                instance,
                service,
                server,
                started_at: self.now,
                opened,
            };
            self.after(delay, probed);
        }
        if let Some(at) = next {
            let pause = at.saturating_sub(self.now).max(Duration::from_millis(5));
            self.after(pause, Event::ProbeTick { instance });
        }
    }

    fn send_note(&mut self, instance: usize) {
        let state = &self.instances[instance];
        let paths = PathReport {
            lost: state.paths.report(),
            leaving: false,
            served_for_peers: state.served_for_others,
        };
        let bytes = paths.estimated_bytes();
        self.outcome.max_report_bytes = self.outcome.max_report_bytes.max(bytes);
        self.notes.push(note(&state.name, &state.zone, paths));
        let note = self.notes.len() - 1;
        self.after(NOTE_DELAY, Event::NoteArrived { note });
    }
}
