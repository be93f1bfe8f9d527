//! Counters of refusals and retries by reason.

use prometheus_client::registry::Registry;
use wagtailarch_types::{RefusalReason, RetryReason};

use crate::{LabeledCounters, register_counters};

/// Counts refused requests and retried attempts by reason.
#[derive(Debug, Clone)]
pub struct OutcomeCounters {
    refusals: LabeledCounters,
    retries: LabeledCounters,
}

impl OutcomeCounters {
    /// Registers a counter for each refusal reason and each retry reason.
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

    /// Returns the number of requests that were refused for `reason`.
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        let labels = [("reason", reason.as_str())];
        self.refusals.get_or_create(&labels).get()
    }

    /// Returns the number of attempts that were retried for `reason`.
    pub fn retries(&self, reason: RetryReason) -> u64 {
        let labels = [("reason", reason.as_str())];
        self.retries.get_or_create(&labels).get()
    }
}
