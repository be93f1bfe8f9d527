//! Instances in front of servers that crash on certain parts of prompts, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailarch_dispatch::{LimitMembers, PartEvidence, PartVerdict};
use wagtailarch_types::InstanceId;
use wagtailarch_wire::part_report::{PartKey, PartReports, ReportedPart};

/// Time from the arrival of a request at a server to its first output, or to the crash.
const BEGIN_TIME: Duration = Duration::from_millis(60);
/// Time until a crashed server is back, as another one.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Interval at which instances send notes although nothing has changed.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);
/// Share of notes that are lost.
const LOST_NOTES: f64 = 0.02;
/// Time from the start to the first request with a guilty part.
const GUILTY_FROM: Duration = Duration::from_secs(4);
/// Time that is simulated.
pub const END: Duration = Duration::from_secs(30);
/// Requests a second of the route that the guilty requests use.
const ROUTE_PER_S: f64 = 80.0;
/// Crash from which on the evidence has to suffice, and the time for it to arrive.
const FIFTH: usize = 5;
const WINDOW: Duration = Duration::from_secs(3);

/// A fleet and its load.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub instances: usize,
    pub servers: usize,
    pub requests_per_s: f64,
    /// Longest delay of a note.
    pub note_delay_ms: u64,
    /// Number of trials.
    pub seeds: u64,
}

pub const SMALL: Fleet = Fleet {
    instances: 8,
    servers: 12,
    requests_per_s: 80.0,
    note_delay_ms: 20,
    seeds: 4,
};
pub const LARGE: Fleet = Fleet {
    instances: 370,
    servers: 200,
    requests_per_s: 400.0,
    note_delay_ms: 250,
    seeds: 1,
};

/// Prompts and faults of one trial.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Requests with guilty parts for each sound one of their route.
    pub guilty_ratio: f64,
    /// Shared parts of guilty requests by kind; a negative part varies between requests.
    pub guilty: &'static [&'static [i64]],
    /// Parts that crash servers.
    pub guilty_parts: &'static [i64],
    /// Crashes of random servers a second.
    pub ordinary_crashes_per_s: f64,
    /// Whether an instance that was paused reports old crashes as new.
    pub late_peer: bool,
    /// Whether requests with parts that never occur again crash servers.
    pub made_up: bool,
}

/// What a trial has shown.
#[derive(Debug, Default)]
pub struct Figures {
    /// Servers ended by guilty parts.
    pub crashes: Vec<Duration>,
    /// Arrivals of guilty requests at servers.
    pub guilty_arrivals: Vec<Duration>,
    pub sound: usize,
    /// Sound requests that were refused for a part.
    pub sound_refused: usize,
    /// Largest encoded evidence in one note, in bytes.
    pub largest_note: usize,
    /// Bytes of evidence that an instance received.
    pub received_bytes: usize,
}

struct Server {
    key: u32,
    is_up: bool,
    begins: Vec<Run>,
}

#[derive(Debug, Clone)]
struct Run {
    instance: usize,
    parts: Vec<ReportedPart>,
    is_guilty: bool,
    is_trial: bool,
    attempts: usize,
    number: u64,
}

enum Event {
    Request,
    Guilty,
    Send(Run),
    Begun {
        server: usize,
        number: u64,
    },
    Crash,
    Restart {
        server: usize,
    },
    Note {
        instance: usize,
        periodic: bool,
    },
    Deliver {
        instance: usize,
        reports: PartReports,
    },
    LateReports,
    MadeUp,
}

/// A fleet in virtual time.
pub struct Simulation {
    fleet: Fleet,
    load: Load,
    now: Duration,
    random: ChaCha8Rng,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    evidence: Vec<PartEvidence>,
    members: Vec<LimitMembers>,
    servers: Vec<Server>,
    figures: Figures,
}

impl Figures {
    /// Returns the time from which the evidence has to be known.
    fn known_at(&self) -> Option<Duration> {
        Some(*self.crashes.get(FIFTH - 1)? + WINDOW)
    }

    /// Returns the number of guilty requests that reach servers although the evidence suffices.
    pub fn later(&self) -> usize {
        let Some(known_at) = self.known_at() else {
            return 0;
        };
        self.guilty_arrivals
            .iter()
            .filter(|at| **at > known_at)
            .count()
    }

    /// Returns the number of servers that ended after the fifth crash.
    pub fn ended_after_fifth(&self) -> usize {
        self.crashes.len().saturating_sub(FIFTH)
    }
}

impl Simulation {
    /// Runs a trial.
    pub fn run(fleet: Fleet, load: Load, seed: u64) -> Figures {
        let names: Vec<_> = (0..fleet.instances)
            .map(|number| InstanceId::from(format!("front-{number}")))
            .collect();
        let members = names.iter().map(|own| LimitMembers {
            own: Some(own.clone()),
            live: names.iter().filter(|name| *name != own).cloned().collect(),
            listed: names.len(),
        });
        let mut simulation = Self {
            fleet,
            load,
            now: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            count: 0,
            evidence: (0..fleet.instances)
                .map(|_| PartEvidence::default())
                .collect(),
            members: members.collect(),
            servers: Vec::new(),
            figures: Figures::default(),
        };
        simulation.start();
        while let Some(((at, _), event)) = simulation.events.pop_first() {
            if at > END {
                break;
            }
            simulation.now = at;
            simulation.handle(event);
        }
        simulation.figures
    }

    fn start(&mut self) {
        for _ in 0..self.fleet.servers {
            self.count += 1;
            self.servers.push(Server {
                key: self.count as u32,
                is_up: true,
                begins: Vec::new(),
            });
        }
        self.after(Duration::ZERO, Event::Request);
        for instance in 0..self.fleet.instances {
            let offset = NOTE_INTERVAL.mul_f64(self.random.random());
            self.after(
                offset,
                Event::Note {
                    instance,
                    periodic: true,
                },
            );
        }
        if self.load.guilty_ratio > 0.0 {
            self.after(GUILTY_FROM, Event::Guilty);
        }
        if self.load.ordinary_crashes_per_s > 0.0 {
            self.after(GUILTY_FROM, Event::Crash);
        }
        if self.load.late_peer {
            self.after(GUILTY_FROM * 2, Event::LateReports);
        }
        if self.load.made_up {
            self.after(Duration::from_secs(1), Event::MadeUp);
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    /// Returns the time to the next event of a Poisson process.
    fn pause(&mut self, per_s: f64) -> Duration {
        let uniform: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / per_s)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => {
                let pause = self.pause(self.fleet.requests_per_s);
                self.after(pause, Event::Request);
                // Callers share their first part, and their requests one of a few second parts.
                let caller = self.random.random_range(1..=8);
                let second = caller * 100 + self.random.random_range(1..=5);
                self.figures.sound += 1;
                self.send_new(&[caller, second], false);
            }
            Event::Guilty => {
                let pause = self.pause(ROUTE_PER_S * self.load.guilty_ratio);
                self.after(pause, Event::Guilty);
                let kind = self.random.random_range(0..self.load.guilty.len());
                let parts: Vec<_> = self.load.guilty[kind]
                    .iter()
                    .map(|&part| match part {
                        0.. => part,
                        varying => 10_000 * -varying + self.random.random_range(0..30),
                    })
                    .collect();
                self.send_new(&parts, true);
            }
            Event::Send(run) => self.send(run),
            Event::Begun { server, number } => self.begun(server, number),
            Event::Crash => {
                let pause = self.pause(self.load.ordinary_crashes_per_s);
                self.after(pause, Event::Crash);
                let server = self.random.random_range(0..self.servers.len());
                self.crash(server);
            }
            Event::Restart { server } => {
                self.count += 1;
                self.servers[server].key = self.count as u32;
                self.servers[server].is_up = true;
            }
            Event::Note { instance, periodic } => self.send_note(instance, periodic),
            Event::Deliver { instance, reports } => {
                self.evidence[instance].apply(self.now, &reports);
            }
            Event::LateReports => {
                for server in 1..=6 {
                    let parts = parts(&[1, 101, 2, 201]);
                    self.evidence[0].on_crash(self.now, 90_000 + server, &parts);
                }
                self.after(
                    Duration::ZERO,
                    Event::Note {
                        instance: 0,
                        periodic: false,
                    },
                );
            }
            Event::MadeUp => {
                self.after(Duration::from_millis(500), Event::MadeUp);
                let base = 1_000_000 + self.now.as_millis() as i64 * 100;
                let made_up: Vec<_> = (base..base + 100).collect();
                let server = 100_000 + self.count as u32;
                self.evidence[1].on_crash(self.now, server, &parts(&made_up));
                self.after(
                    Duration::ZERO,
                    Event::Note {
                        instance: 1,
                        periodic: false,
                    },
                );
            }
        }
    }

    fn send_new(&mut self, shared: &[i64], is_guilty: bool) {
        let instance = self.random.random_range(0..self.fleet.instances);
        let parts = parts(shared);
        let evidence = &mut self.evidence[instance];
        let verdict = evidence.admit(self.now, &parts, &self.members[instance]);
        if verdict == PartVerdict::Blamed {
            self.figures.sound_refused += usize::from(!is_guilty);
            return;
        }
        self.count += 1;
        self.send(Run {
            instance,
            parts,
            is_guilty,
            is_trial: verdict == PartVerdict::Trial,
            attempts: 0,
            number: self.count,
        });
    }

    /// Sends a run to a server, apart from suspects of its instance if it is one itself.
    fn send(&mut self, mut run: Run) {
        let verdict = self.evidence[run.instance].verdict(self.now, &run.parts);
        if verdict == PartVerdict::Blamed && (!run.is_trial || run.attempts > 0) {
            return;
        }
        let up = |server: &Server| server.is_up;
        let apart = |server: &Server| server.is_up && server.begins.is_empty();
        let indices = |filter: &dyn Fn(&Server) -> bool| -> Vec<usize> {
            let servers = self.servers.iter().enumerate();
            let usable = servers.filter(|(_, server)| filter(server));
            usable.map(|(index, _)| index).collect()
        };
        let mut usable = match verdict {
            PartVerdict::Clear => indices(&up),
            PartVerdict::Suspect | PartVerdict::Trial | PartVerdict::Blamed => indices(&apart),
        };
        if usable.is_empty() {
            usable = indices(&up);
        }
        if usable.is_empty() {
            return;
        }
        let server = usable[self.random.random_range(0..usable.len())];
        if run.is_guilty {
            self.figures.guilty_arrivals.push(self.now);
        }
        run.attempts += 1;
        let number = run.number;
        self.servers[server].begins.push(run);
        self.after(BEGIN_TIME, Event::Begun { server, number });
    }

    fn begun(&mut self, server: usize, number: u64) {
        let begins = &mut self.servers[server].begins;
        let Some(index) = begins.iter().position(|run| run.number == number) else {
            return;
        };
        let guilty_parts = parts(self.load.guilty_parts);
        let is_guilty = |run: &Run| {
            let mut shared = run.parts.iter();
            shared.any(|part| guilty_parts.iter().any(|guilty| guilty.key == part.key))
        };
        if is_guilty(&begins[index]) {
            self.figures.crashes.push(self.now);
            return self.crash(server);
        }
        let run = begins.remove(index);
        self.evidence[run.instance].on_output(self.now, &run.parts);
        self.wake(run.instance);
    }

    fn crash(&mut self, server: usize) {
        if !self.servers[server].is_up {
            return;
        }
        self.servers[server].is_up = false;
        let key = self.servers[server].key;
        for run in std::mem::take(&mut self.servers[server].begins) {
            self.evidence[run.instance].on_crash(self.now, key, &run.parts);
            self.wake(run.instance);
            if run.attempts < 2 {
                self.after(Duration::from_millis(5), Event::Send(run));
            }
        }
        self.after(RESTART_TIME, Event::Restart { server });
    }

    fn wake(&mut self, instance: usize) {
        if self.evidence[instance].has_unreported() {
            let delay = Duration::from_millis(3);
            self.after(
                delay,
                Event::Note {
                    instance,
                    periodic: false,
                },
            );
        }
    }

    fn send_note(&mut self, instance: usize, periodic: bool) {
        if periodic {
            self.after(NOTE_INTERVAL, Event::Note { instance, periodic });
        }
        let reports = self.evidence[instance].take_reports(self.now, &self.members[instance]);
        if reports.is_empty() {
            return;
        }
        let bytes = reports.estimated_bytes();
        self.figures.largest_note = self.figures.largest_note.max(bytes);
        self.figures.received_bytes += bytes;
        for to in 0..self.fleet.instances {
            if to == instance || self.random.random_bool(LOST_NOTES) {
                continue;
            }
            let delay = self.random.random_range(2..=self.fleet.note_delay_ms);
            let reports = reports.clone();
            let deliver = Event::Deliver {
                instance: to,
                reports,
            };
            self.after(Duration::from_millis(delay), deliver);
        }
    }
}

/// Returns the shared parts of a prompt.
pub fn parts(numbers: &[i64]) -> Vec<ReportedPart> {
    let numbers = numbers.iter().enumerate();
    let parts = numbers.map(|(depth, &number)| ReportedPart {
        key: number as PartKey,
        depth: depth as u8,
    });
    parts.collect()
}
