//! Tests of the rate limit of log lines.

use std::time::Duration;

use wagtailarch_telemetry::{LineDecision, LineRateLimit};

/// Logs ten times as many lines as the limit permits, one in ten of them a failure.
///
/// Guards against logs that grow with the load, routine lines that displace failures, and dropped
/// lines that are not counted.
#[test]
fn the_limit_holds_at_ten_times_the_load_and_failures_have_precedence() {
    let mut limit = LineRateLimit::new(300);
    let mut written = [0u32; 3];
    let mut dropped_failures = 0;
    let mut total_dropped = 0;
    let mut reported = 0;
    for index in 0..9_000u64 {
        let now = Duration::from_micros(index * 333);
        let routine = index % 10 != 0;
        match limit.check_line(now, routine) {
            LineDecision::Write { dropped } => {
                written[now.as_secs() as usize] += 1;
                reported += dropped;
            }
            LineDecision::Drop => {
                total_dropped += 1;
                dropped_failures += u32::from(!routine);
            }
        }
    }
    assert!(written.iter().all(|&lines| lines <= 300), "{written:?}");
    // Each second has 300 failures, for which at least 150 lines are reserved.
    assert!(dropped_failures <= 3 * 150, "{dropped_failures}");
    let LineDecision::Write { dropped: last } = limit.check_line(Duration::from_secs(9), false)
    else {
        panic!("a line of a new second was dropped");
    };
    assert_eq!(reported + last, total_dropped);
}
