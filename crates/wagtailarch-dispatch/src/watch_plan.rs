//! How long watches of the store wait, and which instances notice first that one is deaf.

use std::time::Duration;

use wagtailarch_types::{InstanceId, rendezvous_weight};

/// Time for which the watch of a designated instance waits.
///
/// A store that falls silent does not end a watch. Bounds hold again 3 seconds after it has returned,
/// and a watch that began before has to be over by then.
const SHORT_WAIT: Duration = Duration::from_millis(2_500);
/// Time for which other watches wait; each call is priced, and news of a deaf watch come from peers.
const LONG_WAIT: Duration = Duration::from_secs(20);

/// Returns the time for which a watch waits.
///
/// An instance that hears nobody learns of its own deafness only by itself.
pub fn watch_timeout(designated: bool, hears_peers: bool) -> Duration {
    if designated || !hears_peers {
        SHORT_WAIT
    } else {
        LONG_WAIT
    }
}

/// Tells whether `instance` is the one of all members that has a duty.
///
/// Instances that hear the same members agree without a meeting.
pub fn is_designated<'a>(
    duty: &str,
    instance: &InstanceId,
    mut others: impl Iterator<Item = &'a InstanceId>,
) -> bool {
    let key = xxhash_rust::xxh3::xxh3_64(duty.as_bytes());
    let own = rendezvous_weight(key, instance);
    !others.any(|member| rendezvous_weight(key, member) > own)
}
