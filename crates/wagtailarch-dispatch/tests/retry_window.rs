//! Tests the retry budget that all instances share.

use std::time::Duration;

use wagtailarch_dispatch::{RetryWindow, SharedRetryBudget};

const INSTANCES: usize = 8;

fn budget() -> SharedRetryBudget {
    SharedRetryBudget {
        ratio: 0.2,
        slack: 56.0,
        window: Duration::from_secs(10),
        instances: INSTANCES,
    }
}

/// Guards against more retries than the budget of all instances allows in any window, with uneven
/// load and restarted instances: every request fails and asks for a retry, and half of the
/// instances restart in the middle.
#[test]
fn the_sum_of_all_instances_stays_within_the_budget() {
    let budget = budget();
    let mut windows: Vec<_> = (0..INSTANCES).map(|_| RetryWindow::default()).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..3_000u64 {
        let now = Duration::from_millis(step * 10);
        if step == 1_500 {
            for window in windows.iter_mut().take(INSTANCES / 2) {
                *window = RetryWindow::default();
            }
        }
        for (index, window) in windows.iter_mut().enumerate() {
            // The first instance receives a request every 10 ms, the last one every 80 ms.
            if step % (index as u64 + 1) != 0 {
                continue;
            }
            window.on_request(now, &budget);
            requests.push(now);
            if window.try_retry(now, &budget) {
                retries.push(now);
            }
        }
    }
    for start in (0..20_000).step_by(250) {
        let window = Duration::from_millis(start)..Duration::from_millis(start + 10_000);
        let sent = retries.iter().filter(|at| window.contains(at)).count();
        let asked = requests.iter().filter(|at| window.contains(at)).count();
        let allowed = asked as f64 * budget.ratio + budget.slack;
        assert!(sent as f64 <= allowed, "{sent} of {allowed} at {start} ms");
    }
    let used = retries.len() as f64 / (requests.len() as f64 * budget.ratio);
    assert!(used > 0.5, "only {used} of the budget can be used");
}

/// Guards against an instance with few requests that may not retry at all.
#[test]
fn an_idle_instance_has_a_share_of_the_slack() {
    let mut window = RetryWindow::default();
    assert!(window.try_retry(Duration::ZERO, &budget()));
    assert!(window.try_retry(Duration::ZERO, &budget()));
    assert!(!window.try_retry(Duration::ZERO, &budget()));
    assert!(window.try_retry(Duration::from_secs(11), &budget()));
}
