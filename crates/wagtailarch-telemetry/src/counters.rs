//! LabeledCounters whose label has a closed set of values.

use prometheus_client::{
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// LabeledCounters by the values of a closed set; every value is present from the start.
pub type LabeledCounters = Family<[(&'static str, &'static str); 1], Counter>;

/// Registers a family and creates a counter for each value.
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
