//! Tests of the retry budget and the retry policy.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use wagtailarch_traffic::{AttemptFailure, RequestTraits, RetryBudget, RetryDecision, RetryPolicy};
use wagtailarch_types::{Ran, RefusalReason, RetryReason};

proptest! {
    #![proptest_config(common::fuzz_config(1_000))]

    /// Guards against a retry storm: over every interval, not only from the start, the number of
    /// retries must stay within the budget.
    #[test]
    fn retries_stay_within_the_budget(
        ratio in 0.0..0.5f64,
        floor in 0.0..5.0f64,
        steps in prop::collection::vec((0..3_000u64, 0..40u32, 0..40u32), 1..60),
    ) {
        let budget = RetryBudget::new(ratio, floor);
        let mut now = Duration::ZERO;
        let mut history = vec![(0.0, 0.0, 0.0)];
        let (mut requests, mut retries) = (0.0, 0.0);
        for (ms, sent, failed) in steps {
            now += Duration::from_millis(ms);
            for _ in 0..sent {
                budget.on_request(now);
                requests += 1.0;
            }
            for _ in 0..failed {
                if budget.try_retry(now) {
                    retries += 1.0;
                }
            }
            history.push((now.as_secs_f64(), requests, retries));
            for (at, before, retried) in &history {
                // Part of the allowance may come from requests before the interval.
                let carried_over: f64 = *before * ratio;
                let bound = ratio * (requests - before) + floor * (now.as_secs_f64() - at)
                    + budget.burst() + if *at == 0.0 { 0.0 } else { carried_over };
                prop_assert!(retries - retried <= bound + 1e-6);
            }
        }
    }
}

/// Guards against a budget that refuses retries within the ratio, and against one whose allowance
/// does not decay.
#[test]
fn budget_permits_the_ratio_of_recent_requests_only() {
    let budget = RetryBudget::new(0.1, 0.0);
    for ms in 0..1_000 {
        budget.on_request(Duration::from_millis(ms));
    }
    let granted = (0..1_000)
        .filter(|_| budget.try_retry(Duration::from_secs(1)))
        .count();
    assert!((90..=100).contains(&granted), "granted {granted} of 100");
    for _ in 0..1_000 {
        budget.on_request(Duration::from_secs(2));
    }
    assert!(
        !budget.try_retry(Duration::from_secs(120)),
        "old requests allow no retries"
    );
}

fn traits(idempotent: bool, resumable: bool, attempts: u32, ran_before: Ran) -> RequestTraits {
    RequestTraits {
        idempotent,
        resumable,
        delivered: false,
        attempts,
        attempt_limit: if resumable { 4 } else { 3 },
        ran_before,
    }
}

/// Guards against a second run of a non-idempotent call (G6) and a false "not run" (G5).
#[rstest]
#[case(RetryReason::ConnectFailed, Ran::No, Some(Ran::No))]
#[case(RetryReason::RefusedNotRun, Ran::No, Some(Ran::No))]
#[case(RetryReason::ClosedBeforeResponse, Ran::Unknown, None)]
#[case(RetryReason::FirstTokenTimeout, Ran::Unknown, None)]
#[case(RetryReason::StreamBroken, Ran::Yes, None)]
#[case(RetryReason::WrongFrame, Ran::Yes, None)]
#[case(RetryReason::ServerError, Ran::Yes, None)]
#[case(RetryReason::KvImportFailed, Ran::Unknown, None)]
fn non_idempotent_calls_repeat_only_when_not_run(
    #[case] reason: RetryReason,
    #[case] ran: Ran,
    #[case] retried: Option<Ran>,
) {
    let failure = AttemptFailure { reason };
    assert_eq!(failure.ran(), ran);
    let decision = RetryPolicy::evaluate(&failure, &traits(false, false, 1, Ran::No));
    match decision {
        RetryDecision::Retry(_) => assert_eq!(retried, Some(Ran::No)),
        RetryDecision::Refuse(_, given) => assert_eq!((retried, given), (None, ran)),
    }
    // Even if the last attempt did not run, an earlier one may have.
    let last = RetryPolicy::evaluate(&failure, &traits(true, false, 3, Ran::Unknown));
    assert!(matches!(
        last,
        RetryDecision::Refuse(_, Ran::Yes | Ran::Unknown)
    ));
}

/// Guards against more attempts than the limit, and against a response that starts again after part
/// of it has been delivered.
#[test]
fn attempts_are_bounded_and_partial_answers_are_not_repeated() {
    let failure = AttemptFailure {
        reason: RetryReason::StreamBroken,
    };
    let evaluate = |traits| RetryPolicy::evaluate(&failure, &traits);
    assert!(matches!(
        evaluate(traits(true, true, 3, Ran::Yes)),
        RetryDecision::Retry(_)
    ));
    assert!(matches!(
        evaluate(traits(true, true, 4, Ran::Yes)),
        RetryDecision::Refuse(..)
    ));
    assert!(matches!(
        evaluate(traits(true, false, 3, Ran::Yes)),
        RetryDecision::Refuse(..)
    ));
    let delivered = RequestTraits {
        delivered: true,
        ..traits(true, false, 1, Ran::No)
    };
    let expected = RetryDecision::Refuse(RefusalReason::BackendFailedMidway, Ran::Yes);
    assert_eq!(evaluate(delivered), expected);
}

/// Guards against failed connections that use up the retry budget: in a zone cut off from others,
/// requests that a reachable backend server could serve were then refused.
#[test]
fn only_failed_connections_reach_no_server() {
    for &reason in RetryReason::ALL {
        let reached = AttemptFailure { reason }.reached_server();
        assert_eq!(reached, reason != RetryReason::ConnectFailed, "{reason}");
    }
}
