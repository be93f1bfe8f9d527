//! Recognition of calls of other instances that are received twice.

use rstest::rstest;
use wagtailarch_dispatch::CallNumbers;

/// Guards against a repeated call that runs a request once more, and against calls that overtake
/// each other and are refused.
#[rstest]
fn each_call_is_taken_once() {
    let mut numbers = CallNumbers::default();
    let sender = "front-a-1".into();
    for number in [2, 1, 4, 3] {
        assert!(numbers.on_call(&sender, 7, number));
    }
    for number in [1, 2, 3, 4] {
        assert!(!numbers.on_call(&sender, 7, number));
    }
    assert!(numbers.on_call(&"front-a-2".into(), 7, 1));
}

/// Guards against a call of an earlier start of the sender that is taken again after its restart.
#[rstest]
fn calls_of_an_earlier_start_stay_known() {
    let mut numbers = CallNumbers::default();
    let sender = "front-a-1".into();
    assert!(numbers.on_call(&sender, 7, 1));
    assert!(numbers.on_call(&sender, 8, 1));
    assert!(!numbers.on_call(&sender, 7, 1));
}

/// Guards against numbers that are forgotten while the memory stays bounded.
#[rstest]
fn forgotten_numbers_count_as_received() {
    let mut numbers = CallNumbers::default();
    let sender = "front-a-1".into();
    for number in 1..=5_000 {
        assert!(numbers.on_call(&sender, 7, number));
    }
    for number in [1, 2_500, 5_000] {
        assert!(!numbers.on_call(&sender, 7, number));
    }
}
