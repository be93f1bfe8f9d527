//! What the groups of backend servers can do together, from their reports.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use wagtailarch_fleet::Fleet;
use wagtailarch_traffic::{BackendView, GroupCapacity};
use wagtailarch_types::{GroupName, Role};

/// Part of the highest rate that is kept at each update without a higher one.
///
/// At one update a second the memory of a rate halves in about 12 minutes.
const RATE_KEPT: f64 = 0.999;

/// Part of its prefill rate that a decode engine gives to prompts, which it takes in small pieces
/// between the steps of its running requests.
const DECODE_PREFILL_PART: f64 = 0.25;

/// Estimates the capacity of groups.
#[derive(Debug, Default)]
pub struct CapacityEstimate {
    /// Prompt tokens per second of one busy engine, by group; one entry per group of the fleet.
    ///
    /// Reports give the rate of late, which is the engine's capacity only while prompts wait.
    prefill: Mutex<HashMap<GroupName, f64>>,
}

impl CapacityEstimate {
    /// Computes the capacity of every group from the backend servers that accept work.
    pub fn update(&self, fleet: &Fleet, views: &[BackendView]) -> Vec<GroupCapacity> {
        let mut rates = self.prefill.lock().unwrap_or_else(PoisonError::into_inner);
        rates.retain(|name, _| fleet.groups.iter().any(|group| group.name == *name));
        let mut totals: IndexMap<&GroupName, Totals> = IndexMap::new();
        for view in views.iter().filter(|view| view.accepting) {
            totals.entry(&view.group).or_default().add(view);
        }
        let mut capacities = Vec::with_capacity(fleet.groups.len());
        for group in &fleet.groups {
            let total = totals.get(&group.name).copied().unwrap_or_default();
            let rate = rates.entry(group.name.clone()).or_default();
            *rate = (*rate * RATE_KEPT).max(total.busy_prefill_per_s);
            capacities.push(GroupCapacity {
                group: group.name.clone(),
                backends: total.backends,
                slots: total.generating.saturating_mul(group.max_running),
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
struct Totals {
    backends: u32,
    /// Backend servers that generate tokens or are plain services.
    generating: u32,
    /// Engines by the part of their prefill rate that they give to prompts.
    prefill_engines: f64,
    running: u32,
    queued_tokens: u64,
    decode_tokens_per_s: f64,
    /// Highest prefill rate of an engine whose prompts wait.
    busy_prefill_per_s: f64,
}

impl Totals {
    fn add(&mut self, view: &BackendView) {
        self.backends += 1;
        let role = view.assignment.as_ref().map(|assignment| assignment.role);
        self.generating += u32::from(role != Some(Role::Prefill));
        self.prefill_engines += match role {
            Some(Role::Decode) => DECODE_PREFILL_PART,
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

    /// Returns the time between two tokens of one stream; zero if nothing is generated.
    fn token_interval(&self) -> Duration {
        if self.running == 0 || self.decode_tokens_per_s < 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(f64::from(self.running) / self.decode_tokens_per_s)
    }
}
