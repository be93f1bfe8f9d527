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
#[case(7_300, 1, ShutdownPhase::Responding)]
#[case(7_300, 0, ShutdownPhase::Ended)]
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
    assert!(!ShutdownPhase::Responding.accepts_connections());
    assert!(!ShutdownPhase::Ended.accepts_connections());
}

/// Guards against a call that is cut off when the process ends, and against one that is refused although
/// it ends before (issue 44, LOST).
#[rstest]
#[case::early(8_000, 2_900, 60_000, true)]
#[case::late_and_long(8_000, 3_100, 8_000, false)]
#[case::late_and_short(8_000, 3_100, 4_000, true)]
#[case::last(8_000, 6_200, 1_000, true)]
#[case::too_late(8_000, 6_300, 1_000, false)]
#[case::short_grace_period(2_000, 700, 1_000, false)]
#[case::short_grace_period_early(2_000, 500, 1_000, true)]
#[case::no_grace_period(0, 0, 1, false)]
fn a_call_begins_only_if_it_ends_before_the_process(
    #[case] grace_ms: u64,
    #[case] since_ms: u64,
    #[case] time_left_ms: u64,
    #[case] expected: bool,
) {
    let plan = ShutdownPlan {
        grace: Duration::from_millis(grace_ms),
    };
    let since = Duration::from_millis(since_ms);
    let time_left = Duration::from_millis(time_left_ms);
    assert_eq!(plan.may_begin_call(since, time_left), expected);
}

/// Guards against a process that ends without a response to requests that it has read, for any grace
/// period.
#[test]
fn the_phase_to_respond_comes_before_the_exit() {
    for grace_ms in (900..20_000).step_by(50) {
        let plan = ShutdownPlan {
            grace: Duration::from_millis(grace_ms),
        };
        let phases = (0..grace_ms).map(|ms| plan.phase(Duration::from_millis(ms), 1));
        let phases: Vec<_> = phases.collect();
        assert!(phases.is_sorted(), "grace period of {grace_ms} ms");
        let responding = phases
            .iter()
            .filter(|phase| **phase == ShutdownPhase::Responding);
        assert!(responding.count() >= 300, "grace period of {grace_ms} ms");
        assert_eq!(phases.last(), Some(&ShutdownPhase::Ended));
    }
}
