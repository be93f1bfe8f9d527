//! The load of this instance on one group of backend servers, and the teams' shares of it.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::{GroupName, Priority, RefusalReason, TeamName};

use crate::AdmitRequest;

/// Ratio of accepted requests to slots; requests beyond the slots queue on the engines.
const QUEUE_FACTOR: f64 = 1.25;
/// Fraction of the limit available to requests of low priority.
const LOW_PRIORITY_FRACTION: f64 = 0.8;
/// Fraction of the limit available to requests of normal priority.
const NORMAL_PRIORITY_FRACTION: f64 = 0.95;
/// Multiple of the limit up to which requests of teams below their share are accepted.
///
/// If one team has filled the limit before others send requests, the others get their shares at
/// once from this reserve. The excess shrinks as requests of the first team end.
const RESERVE_FACTOR: f64 = 2.0;
/// Time after its last request for which a team without requests in flight keeps its share.
const ACTIVE_TIME: Duration = Duration::from_secs(5);
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Total capacity and load of the backend servers of one group, over all instances.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupCapacity {
    /// Name of the group.
    pub group: GroupName,
    /// Number of backend servers that accept requests.
    pub backends: u32,
    /// Number of requests that all of them can run concurrently.
    pub slots: u32,
    /// Reported number of requests that run or wait on all of them; 0 without reports.
    pub running: u32,
    /// Reported number of prompt tokens queued for prefill on all of them.
    pub queued_tokens: u64,
    /// Total prefill rate in tokens per second; 0 for plain services.
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of one stream; zero for plain services.
    pub token_interval: Duration,
}

/// The load of this instance on one group, and the teams' shares of it.
#[derive(Debug)]
pub(crate) struct GroupLoad {
    capacity: GroupCapacity,
    /// Number of live instances.
    instance_count: u32,
    /// Requests of this instance in flight.
    in_flight: u32,
    /// Value of `in_flight` at the last update of `capacity`.
    in_flight_at_update: u32,
    /// Prompt tokens of this instance whose prefill has not finished.
    waiting_tokens: u64,
    /// Value of `waiting_tokens` at the last update of `capacity`.
    waiting_tokens_at_update: u64,
    /// Teams with a request in flight or within the last `ACTIVE_TIME`; at most all teams.
    active: IndexMap<TeamName, ActiveTeam>,
    /// Sum of the weights in `active`.
    active_weight: f64,
    /// Index in `active` at which the search for inactive teams continues.
    sweep_index: usize,
    /// Moving average of the ratio of generated tokens to `max_tokens`.
    mean_output_ratio: f64,
    /// Moving average of the estimated service time in seconds.
    mean_service_s: f64,
}

/// A team with a request in flight or within the last `ACTIVE_TIME`.
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
            in_flight_at_update: 0,
            waiting_tokens: 0,
            waiting_tokens_at_update: 0,
            active: IndexMap::new(),
            active_weight: 0.0,
            sweep_index: 0,
            mean_output_ratio: 1.0,
            mean_service_s: 0.0,
        }
    }

    /// Replaces the capacity and the number of live instances.
    pub fn set_capacity(&mut self, capacity: GroupCapacity, instance_count: u32) {
        self.capacity = capacity;
        self.instance_count = instance_count.max(1);
        self.in_flight_at_update = self.in_flight;
        self.waiting_tokens_at_update = self.waiting_tokens;
    }

    /// Records demand of a team, whether or not its request is then accepted.
    pub fn record_demand(&mut self, now: Duration, team: &TeamName, weight: f64) {
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

    /// Returns the teams with recent demand.
    pub fn active_teams(&self) -> impl Iterator<Item = &TeamName> {
        self.active.keys()
    }

    /// Estimates the time until the last token of a request that is accepted now.
    pub fn estimate_duration(&self, request: &AdmitRequest) -> Duration {
        Duration::from_secs_f64(self.wait_s() + self.service_time_s(request))
    }

    /// Returns why a request must be refused because of the load, or `None` if it may be accepted.
    ///
    /// Below the limit every team may use what others leave free. At the limit only requests of
    /// teams below their share are accepted.
    pub fn refusal_reason(&self, team: &TeamName, priority: Priority) -> Option<RefusalReason> {
        if self.capacity.slots == 0 {
            return Some(RefusalReason::NoBackend);
        }
        let limit = self.limit();
        let fraction = match priority {
            Priority::Low => LOW_PRIORITY_FRACTION,
            Priority::Normal => NORMAL_PRIORITY_FRACTION,
            Priority::High => 1.0,
        };
        let total = f64::from(self.in_flight) + 1.0;
        if total <= (limit * fraction).max(1.0) {
            return None;
        }
        let (team_in_flight, share) = self.share(team, limit * fraction);
        if team_in_flight + 1.0 > share.max(1.0) {
            let only_team = self.active.len() <= 1;
            return Some(if only_team {
                RefusalReason::Overloaded
            } else {
                RefusalReason::TeamShareExceeded
            });
        }
        (total > limit * RESERVE_FACTOR).then_some(RefusalReason::Overloaded)
    }

    /// Counts an accepted request.
    pub fn start_request(&mut self, request: &AdmitRequest) {
        let service_s = self.service_time_s(request);
        self.mean_service_s += SAMPLE_WEIGHT * (service_s - self.mean_service_s);
        self.in_flight += 1;
        self.waiting_tokens += u64::from(request.prompt_tokens);
        if let Some(active) = self.active.get_mut(&request.team) {
            active.in_flight += 1;
        }
    }

    /// Subtracts prompt tokens whose prefill has finished.
    pub fn finish_prefill(&mut self, tokens: u32) {
        self.waiting_tokens = self.waiting_tokens.saturating_sub(u64::from(tokens));
    }

    /// Subtracts a request that has ended.
    pub fn finish_request(&mut self, team: &TeamName) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(active) = self.active.get_mut(team) {
            active.in_flight = active.in_flight.saturating_sub(1);
        }
    }

    /// Updates the mean output ratio from the tokens that a request has generated.
    pub fn record_output(&mut self, max_tokens: u32, generated_tokens: u32) {
        if max_tokens == 0 {
            return;
        }
        let ratio = f64::from(generated_tokens.min(max_tokens)) / f64::from(max_tokens);
        self.mean_output_ratio += SAMPLE_WEIGHT * (ratio - self.mean_output_ratio);
    }

    /// Returns the time in which a slot is expected to become free, used as the retry time.
    pub fn retry_delay(&self) -> Duration {
        Duration::from_secs_f64((self.wait_s() / 2.0).clamp(1.0, 30.0))
    }

    /// Returns the number of requests that this instance may have in flight.
    ///
    /// It is an equal part of the requests that the group accepts, or, if that is more, the number
    /// in flight at the last update plus half of what the reports left free. It is only half, since
    /// the other instances see the same free capacity.
    fn limit(&self) -> f64 {
        let max_requests = f64::from(self.capacity.slots) * QUEUE_FACTOR;
        let equal_part = max_requests / f64::from(self.instance_count);
        if self.capacity.running == 0 {
            return equal_part;
        }
        let free = (max_requests - f64::from(self.capacity.running)).max(0.0);
        equal_part.max(f64::from(self.in_flight_at_update) + free / 2.0)
    }

    /// Returns the number of a team's requests in flight and its share of `limit`.
    fn share(&self, team: &TeamName, limit: f64) -> (f64, f64) {
        let Some(active) = self.active.get(team) else {
            return (0.0, limit);
        };
        let share = limit * active.weight / self.active_weight.max(active.weight);
        (f64::from(active.in_flight), share)
    }

    /// Estimates the time in seconds that a new request waits in the queues of the group.
    ///
    /// The load of this instance has changed since the reports. The load of the other instances is
    /// assumed to have changed in proportion.
    fn wait_s(&self) -> f64 {
        let ratio = self.fleet_to_local_ratio();
        let change = f64::from(self.in_flight) - f64::from(self.in_flight_at_update);
        let running =
            f64::from(self.capacity.running.max(self.in_flight_at_update)) + change * ratio;
        let slots = f64::from(self.capacity.slots.max(1));
        let slot_wait_s = (running - slots).max(0.0) / slots * self.mean_service_s;
        if self.capacity.prefill_tokens_per_s < 1.0 {
            return slot_wait_s;
        }
        let change = self.waiting_tokens as f64 - self.waiting_tokens_at_update as f64;
        let reported = self
            .capacity
            .queued_tokens
            .max(self.waiting_tokens_at_update) as f64;
        let tokens = (reported + change * ratio).max(0.0);
        // The maximum, not the sum: the queued prompts are those of requests that wait for a slot.
        slot_wait_s.max(tokens / self.capacity.prefill_tokens_per_s)
    }

    /// Returns the ratio of the load of all instances to that of this one at the last update.
    fn fleet_to_local_ratio(&self) -> f64 {
        let local = f64::from(self.in_flight_at_update.max(1));
        (f64::from(self.capacity.running) / local).clamp(1.0, f64::from(self.instance_count))
    }

    /// Estimates the time in seconds from the start of a request's prefill to its last token.
    fn service_time_s(&self, request: &AdmitRequest) -> f64 {
        let output_tokens = f64::from(request.max_tokens) * self.mean_output_ratio;
        let decode_s = output_tokens * self.capacity.token_interval.as_secs_f64();
        if self.capacity.prefill_tokens_per_s < 1.0 {
            return decode_s;
        }
        let rate = self.capacity.prefill_tokens_per_s / f64::from(self.capacity.backends.max(1));
        decode_s + f64::from(request.prompt_tokens) / rate
    }

    /// Checks the next two teams and removes those that have become inactive.
    fn sweep_inactive(&mut self, now: Duration) {
        for _ in 0..2 {
            let Some((_, active)) = self.active.get_index(self.sweep_index) else {
                self.sweep_index = 0;
                continue;
            };
            let idle = now.saturating_sub(active.last_request) > ACTIVE_TIME;
            if active.in_flight > 0 || !idle {
                self.sweep_index += 1;
                continue;
            }
            self.active_weight -= active.weight;
            self.active.swap_remove_index(self.sweep_index);
        }
        if self.active.is_empty() {
            self.active_weight = 0.0;
        }
    }
}
