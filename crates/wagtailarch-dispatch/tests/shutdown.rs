//! Phases of a graceful shutdown.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::{ShutdownPhase, ShutdownPlan};

/// Guards against a shutdown that ends before the balancer has noticed it, one that waits although
/// nothing is left, and one that is killed at the end of the grace period.
#[rstest]
#[case(0, 0, ShutdownPhase::Announcing)]
#[case(2_500, 3, ShutdownPhase::Announcing)]
#[case(2_700, 3, ShutdownPhase::Finishing)]
#[case(3_100, 0, ShutdownPhase::Ended)]
#[case(7_000, 1, ShutdownPhase::Finishing)]
#[case(7_700, 1, ShutdownPhase::Ended)]
fn phases_follow_the_balancer_and_the_grace(
    #[case] since_ms: u64,
    #[case] open: usize,
    #[case] expected: ShutdownPhase,
) {
    let plan = ShutdownPlan {
        grace: Duration::from_secs(8),
    };
    assert_eq!(plan.phase(Duration::from_millis(since_ms), open), expected);
}

/// Guards against requests that are taken while only running ones are finished: such a request was
/// cut when the grace period ended.
#[test]
fn connections_are_accepted_only_until_the_balancer_knows() {
    assert!(ShutdownPhase::Announcing.accepts_connections());
    assert!(!ShutdownPhase::Finishing.accepts_connections());
    assert!(!ShutdownPhase::Ended.accepts_connections());
}
