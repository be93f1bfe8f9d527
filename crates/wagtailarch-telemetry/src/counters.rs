//! Counters with a label whose values are fixed.

use prometheus_client::{
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Counters for the values of one label; each value is exported from the start, also while it is 0.
pub type LabeledCounters = Family<[(&'static str, &'static str); 1], Counter>;

/// Registers a family of counters under `name` and creates the counter of each value of `label`.
pub fn register_counters(
    registry: &mut Registry,
    name: &str,
    help: &str,
    label: &'static str,
    values: &[&'static str],
) -> LabeledCounters {
    let family = LabeledCounters::default();
    for &value in values {
        drop(family.get_or_create(&[(label, value)]));
    }
    registry.register(name, help, family.clone());
    family
}
