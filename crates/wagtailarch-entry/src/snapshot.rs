//! The configuration in the form that the traffic threads read.

use std::{collections::HashMap, sync::Arc};

use smol_str::SmolStr;
use wagtailarch_fleet::{Fleet, Group, GroupKind, Service, Team};
use wagtailarch_traffic::{KeyRing, RetryBudget};
use wagtailarch_types::{Generation, GroupName, HashedKey, ServiceName};

/// An immutable configuration with lookup tables for the traffic threads.
#[derive(Debug)]
pub struct Snapshot {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Complete configuration.
    pub fleet: Arc<Fleet>,
    /// Indices in `fleet.teams` by hashed key.
    key_ring: KeyRing,
    /// Indices of the model services in `fleet.services` by name.
    model_services: HashMap<ServiceName, usize>,
    /// Path prefixes of the plain services with their indices in `fleet.services`, the longest
    /// prefix first.
    plain_services: Vec<(SmolStr, usize)>,
    /// Indices in `fleet.groups` by name.
    group_indices: HashMap<GroupName, usize>,
    /// Retry budgets by service; see [`Snapshot::inherit_budgets`].
    retry_budgets: HashMap<ServiceName, Arc<RetryBudget>>,
}

impl Snapshot {
    /// Creates a snapshot and builds its lookup tables.
    pub fn new(generation: Generation, fleet: Arc<Fleet>) -> Self {
        let services = || fleet.services.iter().enumerate();
        let models = services().filter(|(_, service)| service.model.is_some());
        let plain = services().filter_map(|(index, s)| Some((s.path_prefix.clone()?, index)));
        let mut plain_services: Vec<_> = plain.collect();
        plain_services.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        let groups = fleet.groups.iter().enumerate();
        let (ratio, floor) = (
            fleet.policy.retry_budget_ratio,
            fleet.policy.retry_budget_floor_per_s,
        );
        let budget = |s: &Service| (s.name.clone(), Arc::new(RetryBudget::new(ratio, floor)));
        let retry_budgets = fleet.services.iter().map(budget).collect();
        Self {
            generation,
            key_ring: KeyRing::new(&fleet.teams),
            model_services: models
                .map(|(index, service)| (service.name.clone(), index))
                .collect(),
            plain_services,
            group_indices: groups
                .map(|(index, group)| (group.name.clone(), index))
                .collect(),
            retry_budgets,
            fleet,
        }
    }

    /// Adopts the retry budgets of the previous configuration if their settings are the same.
    pub fn inherit_budgets(&mut self, previous: &Self) {
        let (policy, previous_policy) = (&self.fleet.policy, &previous.fleet.policy);
        if policy.retry_budget_ratio != previous_policy.retry_budget_ratio
            || policy.retry_budget_floor_per_s != previous_policy.retry_budget_floor_per_s
        {
            return;
        }
        for (service, budget) in &mut self.retry_budgets {
            if let Some(previous_budget) = previous.retry_budgets.get(service) {
                *budget = Arc::clone(previous_budget);
            }
        }
    }

    /// Returns the retry budget of a service.
    pub fn retry_budget(&self, service: &str) -> Option<&RetryBudget> {
        self.retry_budgets.get(service).map(Arc::as_ref)
    }

    /// Returns the index in `fleet.teams` of the team with the given key.
    pub fn team_index(&self, key: &HashedKey) -> Option<usize> {
        self.key_ring.team_index(key)
    }

    /// Returns the model service with the given name.
    pub fn model_service(&self, name: &str) -> Option<&Service> {
        self.model_services
            .get(name)
            .map(|&index| &self.fleet.services[index])
    }

    /// Returns the plain service whose path prefix is the longest that matches `path`.
    pub fn plain_service(&self, path: &str) -> Option<&Service> {
        let entry = self
            .plain_services
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix.as_str()));
        entry.map(|&(_, index)| &self.fleet.services[index])
    }

    /// Returns the group with the given name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.group_indices
            .get(name)
            .map(|&index| &self.fleet.groups[index])
    }

    /// Returns the model services that `team` may call.
    pub fn callable_models<'a>(&'a self, team: &'a Team) -> impl Iterator<Item = &'a Service> {
        let services = self.fleet.services.iter();
        services.filter(move |s| s.model.is_some() && may_call(team, &s.name))
    }

    /// Returns whether the group with the given name is a group of engines.
    pub fn is_engine_group(&self, name: &str) -> bool {
        self.group(name)
            .is_some_and(|group| group.kind == GroupKind::Engine)
    }
}

/// Returns whether `team` may call a service. A team without a list of services may call all.
pub fn may_call(team: &Team, service: &str) -> bool {
    team.services.is_empty() || team.services.iter().any(|name| name == service)
}

/// Returns whether a call of a plain service may be repeated.
///
/// The matching route with the longest path applies; without one, only GET and HEAD calls may be
/// repeated.
pub fn is_idempotent(service: &Service, method: &str, path: &str) -> bool {
    let routes = service.routes.iter();
    let matching_routes =
        routes.filter(|r| r.method == method && path.starts_with(r.path.as_str()));
    let longest = matching_routes.max_by_key(|route| route.path.len());
    longest.map_or(matches!(method, "GET" | "HEAD"), |route| route.idempotent)
}
