//! Admission by team limit, deadline, priority and fair share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use wagtailarch_fleet::Team;
use wagtailarch_types::{GroupName, Priority, RefusalReason, RequestId, TeamName};

use crate::group_load::{GroupCapacity, GroupLoad};
use crate::team_limit::TeamLimit;

/// Shortest retry time sent to a client.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Accepts or refuses requests.
#[derive(Debug)]
pub struct Admission {
    seed: u64,
    state: Arc<Mutex<State>>,
}

/// The properties of a request on which its admission depends.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmitRequest {
    /// Team to which the bearer key belongs.
    pub team: TeamName,
    /// Group that serves the request.
    pub group: GroupName,
    /// Request id, from which the spread of the retry time is derived.
    pub request_id: RequestId,
    /// Requested priority; limited by that of the team.
    pub priority: Priority,
    /// Time left until the client's deadline, if it states one.
    pub deadline: Option<Duration>,
    /// Number of prompt tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; 0 for plain services.
    pub max_tokens: u32,
}

/// An accepted request. Counts as in flight until dropped.
#[derive(Debug)]
pub struct Admitted {
    state: Arc<Mutex<State>>,
    team: TeamName,
    group: GroupName,
    max_tokens: u32,
    /// Prompt tokens still counted as waiting.
    waiting_tokens: u32,
}

/// the request did not run: {reason}
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Time after which the client may send the request again.
    pub retry_after: Duration,
}

impl std::error::Error for Refusal {}

/// Usage of one team at this instance.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamUsage {
    /// Name of the team.
    pub team: TeamName,
    /// Recent rate of requests per second.
    pub requests_per_s: f64,
    /// Recent rate of prompt and output tokens per second.
    pub tokens_per_s: f64,
}

#[derive(Debug, Default)]
struct State {
    /// Teams of the configuration.
    teams: HashMap<TeamName, TeamLimit>,
    /// Groups with a known capacity.
    groups: HashMap<GroupName, GroupLoad>,
    /// Number of live instances.
    instance_count: u32,
    /// Latest time passed to any call.
    now: Duration,
}

impl Admission {
    /// Creates an admission without teams. `seed` determines the spread of the retry times.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            state: Arc::default(),
        }
    }

    /// Replaces the teams, the number of live instances and the capacity.
    ///
    /// Teams and groups that remain keep their usage.
    pub fn update(
        &self,
        now: Duration,
        teams: &[Team],
        instance_count: u32,
        capacity: &[GroupCapacity],
    ) {
        let mut state = self.lock();
        let mut old = std::mem::take(&mut state.teams);
        state.teams.reserve(teams.len());
        for team in teams {
            let limit = match old.remove(&team.name) {
                Some(mut limit) => {
                    limit.reconfigure(team);
                    limit
                }
                None => TeamLimit::new(now, team, instance_count),
            };
            state.teams.insert(team.name.clone(), limit);
        }
        state.set_capacity(now, instance_count, capacity);
    }

    /// Replaces the number of live instances and the capacity; the teams stay.
    pub fn set_capacity(&self, now: Duration, instance_count: u32, capacity: &[GroupCapacity]) {
        self.lock().set_capacity(now, instance_count, capacity);
    }

    /// Accepts or refuses a request.
    pub fn admit(&self, now: Duration, request: &AdmitRequest) -> Result<Admitted, Refusal> {
        let mut state = self.lock();
        let decision = state.admit(now, request);
        drop(state);
        match decision {
            Ok(()) => Ok(Admitted {
                state: Arc::clone(&self.state),
                team: request.team.clone(),
                group: request.group.clone(),
                max_tokens: request.max_tokens,
                waiting_tokens: request.prompt_tokens,
            }),
            Err((reason, wait)) => Err(Refusal {
                reason,
                retry_after: self.spread(wait, request.request_id),
            }),
        }
    }

    /// Sets the usage of a team at all other instances, per second.
    ///
    /// The caller must call this again when an instance expires; until then its usage counts.
    pub fn set_remote_usage(&self, team: &TeamName, requests_per_s: f64, tokens_per_s: f64) {
        if let Some(limit) = self.lock().teams.get_mut(team) {
            limit.requests.remote_usage = requests_per_s.max(0.0);
            limit.tokens.remote_usage = tokens_per_s.max(0.0);
        }
    }

    /// Returns the `count` teams with the highest ratio of local usage to limit, highest first.
    pub fn top_teams(&self, count: usize) -> Vec<TeamUsage> {
        let state = self.lock();
        let now = state.now;
        let mut usage = Vec::new();
        for name in state.groups.values().flat_map(GroupLoad::active_teams) {
            let Some(limit) = state.teams.get(name) else {
                continue;
            };
            usage.push((limit.relative_usage(now), name, limit));
        }
        usage.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        // A team that is active in several groups appears once for each of them.
        usage.dedup_by(|a, b| a.1 == b.1);
        let top = usage.into_iter().take(count);
        top.map(|(_, name, limit)| TeamUsage {
            team: name.clone(),
            requests_per_s: limit.requests.local_usage.get(now),
            tokens_per_s: limit.tokens.local_usage.get(now),
        })
        .collect()
    }

    /// Spreads a retry time by request id over one to two times the wait, which is at least
    /// `MIN_RETRY`, so that refused clients do not all return at the same time.
    fn spread(&self, wait: Duration, request: RequestId) -> Duration {
        let wait = wait.max(MIN_RETRY);
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&request.to_le_bytes(), self.seed);
        wait + wait.mul_f64(hash as f64 / u64::MAX as f64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn set_capacity(&mut self, now: Duration, instance_count: u32, capacity: &[GroupCapacity]) {
        self.now = self.now.max(now);
        self.instance_count = instance_count;
        let mut old = std::mem::take(&mut self.groups);
        for group in capacity {
            let mut load = old
                .remove(&group.group)
                .unwrap_or_else(|| GroupLoad::new(group.clone()));
            load.set_capacity(group.clone(), instance_count);
            self.groups.insert(group.group.clone(), load);
        }
    }

    /// Accepts or refuses a request; a refusal comes with the time to wait.
    fn admit(
        &mut self,
        now: Duration,
        request: &AdmitRequest,
    ) -> Result<(), (RefusalReason, Duration)> {
        self.now = self.now.max(now);
        let count = self.instance_count;
        let Some(team) = self.teams.get_mut(&request.team) else {
            return Err((RefusalReason::Unauthorized, MIN_RETRY));
        };
        let Some(group) = self.groups.get_mut(&request.group) else {
            return Err((RefusalReason::NoBackend, MIN_RETRY));
        };
        group.record_demand(now, &request.team, team.weight);
        let tokens = f64::from(request.prompt_tokens) + f64::from(request.max_tokens);
        team.requests.advance(now, count);
        team.tokens.advance(now, count);
        let wait = team
            .requests
            .delay_for(1.0)
            .max(team.tokens.delay_for(tokens));
        if !wait.is_zero() {
            return Err((RefusalReason::TeamRateLimited, wait));
        }
        let priority = request.priority.min(team.priority);
        if let Some(reason) = group.refusal_reason(&request.team, priority) {
            return Err((reason, group.retry_delay()));
        }
        let estimate = group.estimate_duration(request);
        if let Some(deadline) = request.deadline
            && estimate > deadline
        {
            return Err((RefusalReason::DeadlineUnreachable, estimate - deadline));
        }
        team.requests.charge(now, 1.0);
        team.tokens.charge(now, tokens);
        group.start_request(request);
        Ok(())
    }
}

impl Admitted {
    /// Returns the group to which the request was admitted.
    pub fn group(&self) -> &GroupName {
        &self.group
    }

    /// Records that the prefill has finished, so that the prompt no longer counts as waiting.
    pub fn finish_prefill(&mut self) {
        let mut state = self.lock();
        if let Some(group) = state.groups.get_mut(&self.group) {
            group.finish_prefill(self.waiting_tokens);
        }
        drop(state);
        self.waiting_tokens = 0;
    }

    /// Ends the request and refunds the tokens that were charged but not generated.
    pub fn finish(self, generated_tokens: u32) {
        let mut state = self.lock();
        let now = state.now;
        let unused = self.max_tokens.saturating_sub(generated_tokens);
        if let Some(team) = state.teams.get_mut(&self.team) {
            team.tokens.refund(now, f64::from(unused));
        }
        if let Some(group) = state.groups.get_mut(&self.group) {
            group.record_output(self.max_tokens, generated_tokens);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.finish_prefill();
        let mut state = self.lock();
        if let Some(group) = state.groups.get_mut(&self.group) {
            group.finish_request(&self.team);
        }
    }
}
