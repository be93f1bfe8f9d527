//! Selection of the instances that keep the origin of a stream for others.
//!
//! Nobody is elected: instances that list the same members select the same keepers. An instance
//! that asks considers more of them than one that records, since its list may differ.

use std::cmp::Reverse;

use wagtailarch_types::{InstanceId, rendezvous_weight};
use wagtailarch_wire::origin::OriginKey;

/// Number of instances that keep the origin of a stream, besides the one that serves it.
const KEEPERS: usize = 2;
/// Number of instances that are asked for the origin of a stream.
const ASKED: usize = 5;

/// Returns the instances that keep the origin of a stream, among those that are live.
pub fn origin_keepers(key: OriginKey, live: &[InstanceId]) -> Vec<InstanceId> {
    preferred(key, live, KEEPERS)
}

/// Returns the instances that are asked for the origin of a stream, among those that are listed.
pub fn asked_keepers(key: OriginKey, listed: &[InstanceId]) -> Vec<InstanceId> {
    preferred(key, listed, ASKED)
}

fn preferred(key: OriginKey, instances: &[InstanceId], count: usize) -> Vec<InstanceId> {
    let mut instances: Vec<_> = instances.iter().collect();
    instances.sort_by_key(|name| Reverse(rendezvous_weight(key, name)));
    instances.into_iter().take(count).cloned().collect()
}
