//! Which watches wait for how long.

use std::time::Duration;

use wagtailarch_dispatch::{is_designated, watch_timeout};
use wagtailarch_types::InstanceId;

/// Guards against two instances that both have a duty, or none, while all hear each other.
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

/// Guards against an instance that stays deaf after the store was silent: within the 3 seconds after
/// which bounds hold again, somebody it hears, or it itself, must have asked anew.
#[test]
fn somebody_asks_again_within_three_seconds() {
    let limit = Duration::from_secs(3);
    assert!(watch_timeout(true, true) < limit);
    assert!(watch_timeout(true, false) < limit);
    assert!(watch_timeout(false, false) < limit);
    assert!(watch_timeout(false, true) > limit, "calls are priced");
}
