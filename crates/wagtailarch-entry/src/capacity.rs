//! Estimation of the capacity of groups of backend servers from their reports.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use wagtailarch_fleet::Fleet;
use wagtailarch_traffic::{BackendView, GroupCapacity};
use wagtailarch_types::{GroupName, Role};

/// Factor by which the highest rate of a group decays at each update without a higher rate.
///
/// With one update per second, its half life is about 12 minutes.
const RATE_DECAY: f64 = 0.999;

/// Share of its prefill rate that a decode engine uses for prompts, which it prefills in small
/// chunks between the steps of its running requests.
const DECODE_PREFILL_SHARE: f64 = 0.25;

/// Estimates the capacity of groups.
#[derive(Debug, Default)]
pub struct CapacityEstimate {
    /// Prefill rate of one busy engine in tokens per second; one entry per group of the fleet.
    ///
    /// A report contains the recent rate of its engine, which equals the engine's capacity only
    /// while prompts are queued.
    prefill_rates: Mutex<HashMap<GroupName, f64>>,
}

impl CapacityEstimate {
    /// Computes the capacity of every group from the backend servers that accept new work.
    pub fn update(&self, fleet: &Fleet, views: &[BackendView]) -> Vec<GroupCapacity> {
        let mut rates = self
            .prefill_rates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        rates.retain(|name, _| fleet.groups.iter().any(|group| group.name == *name));
        let mut totals: IndexMap<&GroupName, GroupTotals> = IndexMap::new();
        for view in views.iter().filter(|view| view.accepting) {
            totals.entry(&view.group).or_default().add(view);
        }
        let mut capacities = Vec::with_capacity(fleet.groups.len());
        for group in &fleet.groups {
            let total = totals.get(&group.name).copied().unwrap_or_default();
            let rate = rates.entry(group.name.clone()).or_default();
            *rate = (*rate * RATE_DECAY).max(total.busy_prefill_per_s);
            capacities.push(GroupCapacity {
                group: group.name.clone(),
                backends: total.backends,
                slots: total.decode_backends.saturating_mul(group.max_running),
                running: total.running,
                queued_tokens: total.queued_tokens,
                prefill_tokens_per_s: *rate * total.prefill_engines,
                token_interval: total.token_interval(),
            });
        }
        capacities
    }
}

/// Sums over the backend servers of one group.
#[derive(Debug, Clone, Copy, Default)]
struct GroupTotals {
    backends: u32,
    /// Number of engines that decode, or number of plain services.
    decode_backends: u32,
    /// Sum over the engines of the share of the prefill rate that they use for prompts.
    prefill_engines: f64,
    running: u32,
    queued_tokens: u64,
    decode_tokens_per_s: f64,
    /// Highest prefill rate of an engine with queued prompts.
    busy_prefill_per_s: f64,
}

impl GroupTotals {
    fn add(&mut self, view: &BackendView) {
        self.backends += 1;
        let role = view.assignment.as_ref().map(|assignment| assignment.role);
        self.decode_backends += u32::from(role != Some(Role::Prefill));
        self.prefill_engines += match role {
            Some(Role::Decode) => DECODE_PREFILL_SHARE,
            Some(Role::Prefill | Role::Mixed) | None => 1.0,
        };
        let Some(report) = view.report else { return };
        self.running = self.running.saturating_add(report.running);
        self.queued_tokens = self.queued_tokens.saturating_add(report.queued_tokens);
        self.decode_tokens_per_s += report.decode_tokens_per_s;
        if report.queued_tokens > 0 {
            self.busy_prefill_per_s = self.busy_prefill_per_s.max(report.prefill_tokens_per_s);
        }
    }

    /// Returns the time between two tokens of a stream; zero if no tokens are generated.
    fn token_interval(&self) -> Duration {
        if self.running == 0 || self.decode_tokens_per_s < 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(f64::from(self.running) / self.decode_tokens_per_s)
    }
}
