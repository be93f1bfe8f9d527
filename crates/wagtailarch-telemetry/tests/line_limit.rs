//! How many log lines are written.

use std::time::Duration;

use wagtailarch_telemetry::{LineDecision, LineRateLimit};

/// Plays seconds with ten times the lines of the limit, one in ten of them a failure.
///
/// Guards against logs that grow with the load, against failures that routine lines crowd out, and
/// against lines that are left out without being counted.
#[test]
fn the_limit_holds_at_ten_times_the_load_and_failures_come_first() {
    let mut limit = LineRateLimit::new(300);
    let mut written = [0u32; 3];
    let mut failures_left_out = 0;
    let mut left_out = 0;
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
                left_out += 1;
                failures_left_out += u32::from(!routine);
            }
        }
    }
    assert!(written.iter().all(|&lines| lines <= 300), "{written:?}");
    // 300 failures arrive in each second and 150 lines are kept for them at least.
    assert!(failures_left_out <= 3 * 150, "{failures_left_out}");
    let LineDecision::Write { dropped: last } = limit.check_line(Duration::from_secs(9), false)
    else {
        panic!("a new second begins");
    };
    assert_eq!(reported + last, left_out);
}
