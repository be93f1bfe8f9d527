//! LabeledCounters of refusals and retries by reason.

use prometheus_client::registry::Registry;
use wagtailarch_types::{RefusalReason, RetryReason};

use crate::{LabeledCounters, register_counters};

/// Refused requests and repeated attempts by reason.
#[derive(Debug, Clone)]
pub struct OutcomeCounters {
    refusals: LabeledCounters,
    retries: LabeledCounters,
}

impl OutcomeCounters {
    /// Registers a counter for each reason.
    pub fn new(registry: &mut Registry) -> Self {
        let refusals: Vec<_> = RefusalReason::ALL.iter().map(|r| r.as_str()).collect();
        let retries: Vec<_> = RetryReason::ALL.iter().map(|r| r.as_str()).collect();
        let mut counters =
            |name, help, values: &[_]| register_counters(registry, name, help, "reason", values);
        Self {
            refusals: counters("refusals", "Refused requests", &refusals),
            retries: counters("retries", "Repeated attempts", &retries),
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        let labels = [("reason", reason.as_str())];
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        let labels = [("reason", reason.as_str())];
        self.retries.get_or_create(&labels).inc();
    }

    /// Returns how many requests were refused for `reason`.
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        let labels = [("reason", reason.as_str())];
        self.refusals.get_or_create(&labels).get()
    }

    /// Returns how many attempts were repeated for `reason`.
    pub fn retries(&self, reason: RetryReason) -> u64 {
        let labels = [("reason", reason.as_str())];
        self.retries.get_or_create(&labels).get()
    }
}
