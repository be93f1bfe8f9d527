//! The configuration as traffic threads read it.

use std::{collections::HashMap, sync::Arc};

use smol_str::SmolStr;
use wagtailarch_fleet::{Fleet, Group, GroupKind, Service, Team};
use wagtailarch_traffic::RetryBudget;
use wagtailarch_types::{Generation, GroupName, HashedKey, ServiceName};

use crate::auth::parse_key_hash;

/// An immutable configuration with the look-up tables of the traffic threads.
#[derive(Debug)]
pub struct Snapshot {
    /// Generation of the configuration.
    pub generation: Generation,
    /// The whole configuration.
    pub fleet: Arc<Fleet>,
    /// Positions in `fleet.teams` by key.
    teams: HashMap<HashedKey, usize>,
    /// Positions in `fleet.services` of model services by name.
    model_services: HashMap<ServiceName, usize>,
    /// Path prefixes and positions of plain services, the longest prefix first.
    prefixes: Vec<(SmolStr, usize)>,
    /// Positions in `fleet.groups` by name.
    groups: HashMap<GroupName, usize>,
    /// Retry budgets by service; one that keeps its settings lives on in the next configuration.
    budgets: HashMap<ServiceName, Arc<RetryBudget>>,
}

impl Snapshot {
    /// Builds the look-up tables.
    pub fn new(generation: Generation, fleet: Arc<Fleet>) -> Self {
        let teams = fleet.teams.iter().enumerate();
        let teams = teams.filter_map(|(at, team)| Some((parse_key_hash(&team.key_hash)?, at)));
        let services = || fleet.services.iter().enumerate();
        let models = services().filter(|(_, service)| service.model.is_some());
        let plain = services().filter_map(|(at, s)| Some((s.path_prefix.clone()?, at)));
        let mut prefixes: Vec<_> = plain.collect();
        prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        let groups = fleet.groups.iter().enumerate();
        let (ratio, floor) = (
            fleet.policy.retry_budget_ratio,
            fleet.policy.retry_budget_floor_per_s,
        );
        let budget = |s: &Service| (s.name.clone(), Arc::new(RetryBudget::new(ratio, floor)));
        let budgets = fleet.services.iter().map(budget).collect();
        Self {
            generation,
            teams: teams.collect(),
            model_services: models
                .map(|(at, service)| (service.name.clone(), at))
                .collect(),
            prefixes,
            groups: groups.map(|(at, group)| (group.name.clone(), at)).collect(),
            budgets,
            fleet,
        }
    }

    /// Takes over the retry budgets of the configuration before, if their settings are the same.
    pub fn keep_budgets(&mut self, before: &Self) {
        let (new, old) = (&self.fleet.policy, &before.fleet.policy);
        if new.retry_budget_ratio != old.retry_budget_ratio
            || new.retry_budget_floor_per_s != old.retry_budget_floor_per_s
        {
            return;
        }
        for (service, budget) in &mut self.budgets {
            if let Some(old) = before.budgets.get(service) {
                *budget = Arc::clone(old);
            }
        }
    }

    /// Returns the retry budget of a service.
    pub fn retry_budget(&self, service: &str) -> Option<&RetryBudget> {
        self.budgets.get(service).map(Arc::as_ref)
    }

    /// Returns the position in `fleet.teams` of the team with the key.
    pub fn team_index(&self, key: &HashedKey) -> Option<usize> {
        self.teams.get(key).copied()
    }

    /// Returns the model service with the name.
    pub fn model_service(&self, name: &str) -> Option<&Service> {
        self.model_services
            .get(name)
            .map(|&at| &self.fleet.services[at])
    }

    /// Returns the plain service with the longest prefix of `path`.
    pub fn plain_service(&self, path: &str) -> Option<&Service> {
        let found = self
            .prefixes
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix.as_str()));
        found.map(|&(_, at)| &self.fleet.services[at])
    }

    /// Returns the group with the name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.get(name).map(|&at| &self.fleet.groups[at])
    }

    /// Returns the model services that `team` may call.
    pub fn callable_models<'a>(&'a self, team: &'a Team) -> impl Iterator<Item = &'a Service> {
        let services = self.fleet.services.iter();
        services.filter(move |s| s.model.is_some() && may_call(team, &s.name))
    }

    /// Tells whether the group has engines.
    pub fn is_engine_group(&self, name: &str) -> bool {
        self.group(name)
            .is_some_and(|group| group.kind == GroupKind::Engine)
    }
}

/// Tells whether `team` may call the service.
pub fn may_call(team: &Team, service: &str) -> bool {
    team.services.is_empty() || team.services.iter().any(|name| name == service)
}

/// Tells whether a call of a plain service may be repeated.
///
/// The longest matching route applies; without one, only GET and HEAD may be repeated.
pub fn is_idempotent(service: &Service, method: &str, path: &str) -> bool {
    let routes = service.routes.iter();
    let matching = routes.filter(|r| r.method == method && path.starts_with(r.path.as_str()));
    let longest = matching.max_by_key(|route| route.path.len());
    longest.map_or(matches!(method, "GET" | "HEAD"), |route| route.idempotent)
}
