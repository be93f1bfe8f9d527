//! Tests when a stream's request is given up.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::TimeLeft;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a begun stream that is broken off at the moment at which its client usually leaves, since
/// a repeated prefill has not ended (issue 44, LOST beside a change of the configuration).
#[rstest]
#[case::patient(true, ms(700), ms(4_000), false, ms(700))]
#[case::beyond_the_client_timeout(true, ms(0), ms(4_000), false, ms(4_000))]
#[case::beyond_the_request(true, ms(0), ms(0), true, ms(0))]
#[case::not_begun(false, ms(700), ms(4_000), false, ms(700))]
#[case::not_begun_in_time(false, ms(0), ms(4_000), true, ms(0))]
fn only_the_time_of_its_request_ends_a_begun_stream(
    #[case] has_begun: bool,
    #[case] client_timeout: Duration,
    #[case] request: Duration,
    #[case] is_over: bool,
    #[case] for_call: Duration,
) {
    let left = TimeLeft {
        client_timeout,
        request,
        has_begun,
    };
    assert_eq!((left.is_over(), left.for_call()), (is_over, for_call));
}
