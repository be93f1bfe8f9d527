//! Timeouts of store watches, and the selection of the instance that is responsible for a duty.

use std::time::Duration;

use wagtailarch_types::{InstanceId, rendezvous_weight};

/// Timeout of the watches of a designated instance.
///
/// A watch does not end when the store becomes unresponsive. The time bounds apply again 3 seconds
/// after the store has returned, and a watch from before the outage must have ended by then.
const SHORT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout of other watches. Each call is billed, and peers report the versions that a stale
/// watch misses.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the timeout of a watch.
///
/// An instance without live peers can only detect by itself that its watch is stale.
pub fn watch_timeout(designated: bool, has_live_peers: bool) -> Duration {
    if designated || !has_live_peers {
        SHORT_TIMEOUT
    } else {
        LONG_TIMEOUT
    }
}

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
