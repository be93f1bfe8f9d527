//! Tests which calls of a request are taken from the retry budget.

use rstest::rstest;
use wagtailarch_dispatch::{CallKind, RequestArrivals};

/// A call as a server sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Run,
    AcceptedPrefill,
    RejectedPrefill,
    /// A call for which no connection was opened.
    NotArrived,
}

use Call::{AcceptedPrefill, NotArrived, RejectedPrefill, Run};

/// Returns the arrivals beyond the first, as the users count them.
fn repeats(calls: &[Call]) -> usize {
    let arrivals = calls.iter().filter(|call| **call != NotArrived).count();
    let is_free = calls.contains(&AcceptedPrefill);
    arrivals.saturating_sub(1 + usize::from(is_free))
}

/// Makes calls and returns the number of retries taken.
fn retries(calls: &[Call]) -> usize {
    let mut arrivals = RequestArrivals::default();
    let mut retries = 0;
    for call in calls {
        let kind = match call {
            Run | NotArrived => CallKind::Run,
            AcceptedPrefill | RejectedPrefill => CallKind::Prefill,
        };
        while arrivals.needs_retry(kind) {
            arrivals.on_retry_taken();
            retries += 1;
        }
        match call {
            Run | RejectedPrefill => arrivals.on_arrival(),
            AcceptedPrefill => arrivals.on_prefill_accepted(),
            NotArrived => {}
        }
    }
    retries
}

/// Guards against calls that are taken from the budget although they are none of the repeats.
#[rstest]
#[case(&[Run])]
#[case(&[AcceptedPrefill, Run])]
#[case(&[AcceptedPrefill, Run, Run])]
#[case(&[Run, AcceptedPrefill, Run])]
#[case(&[RejectedPrefill, Run])]
#[case(&[NotArrived, NotArrived, Run])]
#[case(&[AcceptedPrefill, NotArrived, AcceptedPrefill, Run])]
#[case(&[AcceptedPrefill, Run, AcceptedPrefill, Run])]
fn each_repeat_takes_one_retry(#[case] calls: &[Call]) {
    assert_eq!(retries(calls), repeats(calls), "{calls:?}");
}

/// Guards against repeats that no instance takes from the budget, in any order of up to six calls
/// (issue 44, BUDGET).
#[test]
fn no_order_of_calls_repeats_without_a_retry() {
    let calls = [Run, AcceptedPrefill, RejectedPrefill, NotArrived];
    for number in 0..4usize.pow(6) {
        let digits = (0..6).map(|place| number / 4usize.pow(place) % 4);
        let order: Vec<_> = digits.map(|digit| calls[digit]).collect();
        for length in 1..=order.len() {
            let order = &order[..length];
            let (taken, needed) = (retries(order), repeats(order));
            assert!(taken >= needed, "{order:?}: {taken} of {needed}");
            // One may be taken for a run that never follows.
            assert!(taken <= needed + 1, "{order:?}: {taken} of {needed}");
        }
    }
}

/// Guards against a stream that is broken off after a repeated prefill, since the budget has no retry
/// left for the run that follows it.
#[test]
fn a_repeated_prefill_needs_the_retry_of_its_run_as_well() {
    let mut arrivals = RequestArrivals::default();
    arrivals.on_prefill_accepted();
    arrivals.on_arrival();
    arrivals.on_retry_taken();
    assert!(arrivals.needs_retry(CallKind::Prefill));
    assert!(!arrivals.needs_retry(CallKind::Run));
    arrivals.on_retry_taken();
    assert!(!arrivals.needs_retry(CallKind::Prefill));
    arrivals.on_prefill_accepted();
    assert!(!arrivals.needs_retry(CallKind::Run));
}
