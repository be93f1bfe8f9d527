//! Selection of the instance that is responsible for a duty.

use wagtailarch_types::{InstanceId, rendezvous_weight};

/// Returns whether `instance` is the member that is responsible for a duty.
///
/// Instances with the same live members select the same one without coordination.
pub fn is_designated<'a>(
    duty: &str,
    instance: &InstanceId,
    mut others: impl Iterator<Item = &'a InstanceId>,
) -> bool {
    let key = xxhash_rust::xxh3::xxh3_64(duty.as_bytes());
    let own = rendezvous_weight(key, instance);
    !others.any(|member| rendezvous_weight(key, member) > own)
}
