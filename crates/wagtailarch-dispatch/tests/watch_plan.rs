//! Tests the timeouts of watches and the responsibility for duties.

use std::time::Duration;

use wagtailarch_dispatch::{is_designated, watch_timeout};
use wagtailarch_types::InstanceId;

/// Guards against a duty with two responsible instances, or none, while all instances are live for
/// each other.
#[test]
fn exactly_one_member_is_designated() {
    let members: Vec<InstanceId> = (0..8).map(|i| format!("front-{i}").into()).collect();
    for duty in ["lm", "config", "servers"] {
        let designated = members.iter().filter(|&own| {
            let others = members.iter().filter(|member| *member != own);
            is_designated(duty, own, others)
        });
        assert_eq!(designated.count(), 1, "{duty}");
    }
}

/// Guards against an instance that stays stale after an outage of the store: it or one of its live
/// peers must ask the store again within 3 seconds, when the time bounds apply again.
#[test]
fn a_stale_watch_ends_within_three_seconds() {
    let limit = Duration::from_secs(3);
    assert!(watch_timeout(true, true) < limit);
    assert!(watch_timeout(true, false) < limit);
    assert!(watch_timeout(false, false) < limit);
    assert!(watch_timeout(false, true) > limit, "calls are priced");
}
