//! Tests the phases of a graceful shutdown.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::{ShutdownPhase, ShutdownPlan};

/// Guards against a shutdown that ends before the load balancer reacts, one that waits although no
/// request is left, and one that is killed at the end of the grace period.
#[rstest]
#[case(0, 0, ShutdownPhase::Announcing)]
#[case(2_500, 3, ShutdownPhase::Announcing)]
#[case(2_700, 3, ShutdownPhase::Finishing)]
#[case(3_100, 0, ShutdownPhase::Ended)]
#[case(7_000, 1, ShutdownPhase::Finishing)]
#[case(7_700, 1, ShutdownPhase::Ended)]
fn phases_follow_the_balancer_and_the_grace_period(
    #[case] since_ms: u64,
    #[case] open_requests: usize,
    #[case] expected: ShutdownPhase,
) {
    let plan = ShutdownPlan {
        grace: Duration::from_secs(8),
    };
    assert_eq!(
        plan.phase(Duration::from_millis(since_ms), open_requests),
        expected
    );
}

/// Guards against requests that are accepted while only running ones are finished: such a request
/// was cut off at the end of the grace period.
#[test]
fn connections_are_accepted_only_until_the_balancer_reacts() {
    assert!(ShutdownPhase::Announcing.accepts_connections());
    assert!(!ShutdownPhase::Finishing.accepts_connections());
    assert!(!ShutdownPhase::Ended.accepts_connections());
}
