//! Usage of teams at the other instances, as received by gossip.

use indexmap::IndexMap;
use wagtailarch_traffic::Admission;
use wagtailarch_types::{InstanceId, TeamName};

/// Maximum number of teams; each of 370 instances gossips at most 60 teams.
const MAX_TEAMS: usize = 8_192;
/// Maximum number of instances whose usage of one team is stored.
const MAX_INSTANCES: usize = 512;

/// Usage of teams at the other instances.
#[derive(Debug, Default)]
pub(super) struct RemoteUsage {
    /// Usage by team and instance; at most `MAX_TEAMS` teams with `MAX_INSTANCES` instances each.
    teams: IndexMap<TeamName, IndexMap<InstanceId, Usage>>,
}

#[derive(Debug, Clone, Copy)]
struct Usage {
    requests_per_s: f64,
    tokens_per_s: f64,
}

impl RemoteUsage {
    /// Sets the usage of a team at an instance, in requests and tokens per second.
    pub(super) fn set(
        &mut self,
        instance: InstanceId,
        team: TeamName,
        (requests_per_s, tokens_per_s): (f64, f64),
    ) {
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&team) {
            return;
        }
        let usages = self.teams.entry(team).or_default();
        if usages.len() < MAX_INSTANCES || usages.contains_key(&instance) {
            let usage = Usage {
                requests_per_s,
                tokens_per_s,
            };
            usages.insert(instance, usage);
        }
    }

    /// Passes the sum for each team to `admission`, after removing the instances that are not live.
    ///
    /// A usage counts until the instance gossips a new one.
    pub(super) fn publish(&mut self, admission: &Admission, is_live: impl Fn(&InstanceId) -> bool) {
        self.teams.retain(|team, usages| {
            usages.retain(|instance, usage| usage.tokens_per_s > 0.0 && is_live(instance));
            let requests_per_s = usages.values().map(|usage| usage.requests_per_s).sum();
            let tokens_per_s = usages.values().map(|usage| usage.tokens_per_s).sum();
            admission.set_remote_usage(team, requests_per_s, tokens_per_s);
            !usages.is_empty()
        });
    }
}
