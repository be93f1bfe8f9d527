//! The own load on one group of backend servers and the shares of the teams in it.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::{GroupName, Priority, RefusalReason, TeamName};

use crate::AdmitRequest;

/// Requests accepted in relation to those that run at once; the rest waits on the engines.
const QUEUE_FACTOR: f64 = 1.25;
/// Part of the limit that requests of low priority may fill.
const LOW_PART: f64 = 0.8;
/// Part of the limit that requests of normal priority may fill.
const NORMAL_PART: f64 = 0.95;
/// Factor of the limit up to which a team below its share is still accepted.
///
/// When a team has filled the limit before others came, they get their shares at once from this
/// reserve, and the filled part shrinks as its requests end.
const RESERVE_FACTOR: f64 = 2.0;
/// Time after its last request for which a team without running requests keeps its share.
const ACTIVE_TIME: Duration = Duration::from_secs(5);
/// Weight of a new sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.05;

/// What the backend servers of one group can do together, over all instances.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupCapacity {
    /// Group.
    pub group: GroupName,
    /// Backend servers that accept requests.
    pub backends: u32,
    /// Requests that all of them run at once.
    pub slots: u32,
    /// Requests running or queued on all of them, as reported; 0 if they do not report.
    pub running: u32,
    /// Prompt tokens that wait on all of them, as reported.
    pub queued_tokens: u64,
    /// Prompt tokens that all of them process per second; 0 for plain services.
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of one stream; zero for plain services.
    pub token_interval: Duration,
}

/// The own load on one group and the shares of the teams in it.
#[derive(Debug)]
pub(crate) struct GroupLoad {
    capacity: GroupCapacity,
    /// Live instances.
    instance_count: u32,
    /// Own requests in flight.
    in_flight: u32,
    /// Own requests in flight when `capacity` was taken over.
    in_flight_then: u32,
    /// Own prompt tokens that wait.
    waiting_tokens: u64,
    /// Own prompt tokens that waited when `capacity` was taken over.
    waiting_tokens_then: u64,
    /// Teams with requests in flight or within `ACTIVE_TIME`; at most all teams.
    active: IndexMap<TeamName, ActiveTeam>,
    /// Sum of the weights in `active`.
    active_weight: f64,
    /// Index at which the search for inactive teams continues.
    sweep: usize,
    /// Mean share of `max_tokens` that is generated.
    output_ratio: f64,
    /// Mean estimated service time in seconds.
    service_s: f64,
}

/// A team with requests in flight or within `ACTIVE_TIME`.
#[derive(Debug)]
struct ActiveTeam {
    weight: f64,
    in_flight: u32,
    last_request: Duration,
}

impl GroupLoad {
    /// Creates the load of a group without requests.
    pub fn new(capacity: GroupCapacity) -> Self {
        Self {
            capacity,
            instance_count: 1,
            in_flight: 0,
            in_flight_then: 0,
            waiting_tokens: 0,
            waiting_tokens_then: 0,
            active: IndexMap::new(),
            active_weight: 0.0,
            sweep: 0,
            output_ratio: 1.0,
            service_s: 0.0,
        }
    }

    /// Takes over a new capacity.
    pub fn set_capacity(&mut self, capacity: GroupCapacity, instance_count: u32) {
        self.capacity = capacity;
        self.instance_count = instance_count.max(1);
        self.in_flight_then = self.in_flight;
        self.waiting_tokens_then = self.waiting_tokens;
    }

    /// Notes that a team has demand, whether or not the request is accepted.
    pub fn touch(&mut self, now: Duration, team: &TeamName, weight: f64) {
        self.sweep_inactive(now);
        if let Some(active) = self.active.get_mut(team) {
            self.active_weight += weight - active.weight;
            active.weight = weight;
            active.last_request = now;
            return;
        }
        self.active_weight += weight;
        let active = ActiveTeam {
            weight,
            in_flight: 0,
            last_request: now,
        };
        self.active.insert(team.clone(), active);
    }

    /// Returns the teams with demand of late.
    pub fn active_teams(&self) -> impl Iterator<Item = &TeamName> {
        self.active.keys()
    }

    /// Estimates the time until the last token of a request that is accepted now.
    pub fn estimate(&self, request: &AdmitRequest) -> Duration {
        Duration::from_secs_f64(self.wait_s() + self.service_time_s(request))
    }

    /// Tells why a request must be refused for the load, if it must.
    ///
    /// Below the limit every team may use what others leave. At the limit only teams below their
    /// share are accepted.
    pub fn refuses(&self, team: &TeamName, priority: Priority) -> Option<RefusalReason> {
        if self.capacity.slots == 0 {
            return Some(RefusalReason::NoBackend);
        }
        let limit = self.limit();
        let part = match priority {
            Priority::Low => LOW_PART,
            Priority::Normal => NORMAL_PART,
            Priority::High => 1.0,
        };
        let total = f64::from(self.in_flight) + 1.0;
        if total <= (limit * part).max(1.0) {
            return None;
        }
        let (own, share) = self.share(team, limit * part);
        if own + 1.0 > share.max(1.0) {
            let alone = self.active.len() <= 1;
            return Some(if alone {
                RefusalReason::Overloaded
            } else {
                RefusalReason::TeamShareExceeded
            });
        }
        (total > limit * RESERVE_FACTOR).then_some(RefusalReason::Overloaded)
    }

    /// Counts an accepted request.
    pub fn start(&mut self, request: &AdmitRequest) {
        let service_s = self.service_time_s(request);
        self.service_s += SAMPLE_WEIGHT * (service_s - self.service_s);
        self.in_flight += 1;
        self.waiting_tokens += u64::from(request.prompt_tokens);
        if let Some(active) = self.active.get_mut(&request.team) {
            active.in_flight += 1;
        }
    }

    /// Takes processed prompt tokens from those that wait.
    pub fn prompt_done(&mut self, tokens: u32) {
        self.waiting_tokens = self.waiting_tokens.saturating_sub(u64::from(tokens));
    }

    /// Takes a request from those in flight.
    pub fn finish(&mut self, team: &TeamName) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(active) = self.active.get_mut(team) {
            active.in_flight = active.in_flight.saturating_sub(1);
        }
    }

    /// Learns how much of `max_tokens` a request has generated.
    pub fn learn_output(&mut self, max_tokens: u32, generated_tokens: u32) {
        if max_tokens == 0 {
            return;
        }
        let ratio = f64::from(generated_tokens.min(max_tokens)) / f64::from(max_tokens);
        self.output_ratio += SAMPLE_WEIGHT * (ratio - self.output_ratio);
    }

    /// Returns the time in which a place should become free, for retry times.
    pub fn time_to_place(&self) -> Duration {
        Duration::from_secs_f64((self.wait_s() / 2.0).clamp(1.0, 30.0))
    }

    /// Returns the requests that this instance may have in flight.
    ///
    /// It is an equal part of all places, or what it had plus half of the reported free places if
    /// that is more; half, since other instances see the same free places.
    fn limit(&self) -> f64 {
        let places = f64::from(self.capacity.slots) * QUEUE_FACTOR;
        let part = places / f64::from(self.instance_count);
        if self.capacity.running == 0 {
            return part;
        }
        let free = (places - f64::from(self.capacity.running)).max(0.0);
        part.max(f64::from(self.in_flight_then) + free / 2.0)
    }

    /// Returns the requests in flight of a team and its share of `limit`.
    fn share(&self, team: &TeamName, limit: f64) -> (f64, f64) {
        let Some(active) = self.active.get(team) else {
            return (0.0, limit);
        };
        let share = limit * active.weight / self.active_weight.max(active.weight);
        (f64::from(active.in_flight), share)
    }

    /// Estimates the time in seconds that a new request waits.
    ///
    /// The own load has changed since the reports; that of the other instances is taken to have
    /// changed in proportion.
    fn wait_s(&self) -> f64 {
        let fleet = self.fleet_factor();
        let since = f64::from(self.in_flight) - f64::from(self.in_flight_then);
        let running = f64::from(self.capacity.running.max(self.in_flight_then)) + since * fleet;
        let slots = f64::from(self.capacity.slots.max(1));
        let for_slot = (running - slots).max(0.0) / slots * self.service_s;
        if self.capacity.prefill_tokens_per_s < 1.0 {
            return for_slot;
        }
        let since = self.waiting_tokens as f64 - self.waiting_tokens_then as f64;
        let reported = self.capacity.queued_tokens.max(self.waiting_tokens_then) as f64;
        let tokens = (reported + since * fleet).max(0.0);
        // The prompts that wait are those of the requests that wait for a slot.
        for_slot.max(tokens / self.capacity.prefill_tokens_per_s)
    }

    /// Returns the load of the fleet in relation to the own one at the time of the reports.
    fn fleet_factor(&self) -> f64 {
        let own = f64::from(self.in_flight_then.max(1));
        (f64::from(self.capacity.running) / own).clamp(1.0, f64::from(self.instance_count))
    }

    /// Estimates the time in seconds that a request runs on an engine.
    fn service_time_s(&self, request: &AdmitRequest) -> f64 {
        let output = f64::from(request.max_tokens) * self.output_ratio;
        let decode_s = output * self.capacity.token_interval.as_secs_f64();
        if self.capacity.prefill_tokens_per_s < 1.0 {
            return decode_s;
        }
        let rate = self.capacity.prefill_tokens_per_s / f64::from(self.capacity.backends.max(1));
        decode_s + f64::from(request.prompt_tokens) / rate
    }

    /// Examines two teams and removes those that have become inactive.
    fn sweep_inactive(&mut self, now: Duration) {
        for _ in 0..2 {
            let Some((_, active)) = self.active.get_index(self.sweep) else {
                self.sweep = 0;
                continue;
            };
            let idle = now.saturating_sub(active.last_request) > ACTIVE_TIME;
            if active.in_flight > 0 || !idle {
                self.sweep += 1;
                continue;
            }
            self.active_weight -= active.weight;
            self.active.swap_remove_index(self.sweep);
        }
        if self.active.is_empty() {
            self.active_weight = 0.0;
        }
    }
}
