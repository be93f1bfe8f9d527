//! The instances that keep the sums of the teams' use.

use wagtailarch_types::{InstanceId, ZoneName, rendezvous_weight};

/// Key of the keepers in rendezvous hashing.
const KEY: u64 = 0x75_73_65;

/// Returns the keepers among the live instances; the first one reports the sums.
///
/// The second one is in another zone if there is one, so that the sums outlast the loss of a zone.
/// Instances with the same live members choose the same keepers without coordination.
pub fn use_keepers<'a>(
    live: impl Iterator<Item = (&'a InstanceId, &'a ZoneName)> + Clone,
) -> Vec<InstanceId> {
    let weight = |name: &InstanceId| (rendezvous_weight(KEY, name), name.clone());
    let Some((first, zone)) = live.clone().max_by_key(|(name, _)| weight(name)) else {
        return Vec::new();
    };
    let others = live.filter(|(name, _)| *name != first);
    let second = others.max_by_key(|(name, other)| (*other != zone, weight(name)));
    let second = second.map(|(name, _)| name.clone());
    std::iter::once(first.clone()).chain(second).collect()
}
