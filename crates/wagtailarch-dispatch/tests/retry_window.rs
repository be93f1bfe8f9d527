//! Tests the retry budget that all instances share.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wagtailarch_dispatch::{RetryWindow, SharedRetryBudget};

const INSTANCES: usize = 8;

fn budget() -> SharedRetryBudget {
    SharedRetryBudget {
        ratio: 0.2,
        slack: 56.0,
        window: Duration::from_secs(10),
        instances: Some(INSTANCES),
        counted_for: Duration::from_secs(10),
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

/// Which instances of a fleet restart after requests have failed.
#[derive(Debug, Clone, Copy)]
enum Restarts {
    /// A random half.
    Half,
    /// One after the other.
    InTurn,
    /// All at the same time.
    All,
}

/// An instance that retries whenever it may.
struct Instance {
    window: RetryWindow,
    started_at: Duration,
}

/// Guards against a sum of retries above the budget after instances have restarted, which know
/// nothing of the retries before (issue 44, BUDGET).
#[rstest]
fn restarted_instances_stay_within_the_budget(
    #[values(Restarts::Half, Restarts::InTurn, Restarts::All)] restarts: Restarts,
    #[values(1, 6, 40)] instances: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    const END_MS: u64 = 60_000;
    const FAILING_MS: u64 = 300;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // All requests fail for a time, after which instances restart.
    let interval_ms = random.random_range(1_500..9_000);
    let mut fleet: Vec<_> = (0..instances)
        .map(|_| Instance {
            window: RetryWindow::default(),
            started_at: Duration::ZERO,
        })
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step_ms in (0..END_MS).step_by(20) {
        let now = Duration::from_millis(step_ms);
        let phase_ms = step_ms % interval_ms;
        let fails = phase_ms < FAILING_MS;
        let restart = (FAILING_MS..FAILING_MS + 20).contains(&phase_ms);
        for (number, instance) in fleet.iter_mut().enumerate() {
            let is_selected = match restarts {
                Restarts::Half => random.random_bool(0.5),
                Restarts::InTurn => (step_ms / interval_ms) as usize % instances == number,
                Restarts::All => true,
            };
            if restart && is_selected {
                instance.window = RetryWindow::default();
                instance.started_at = now;
            }
            let budget = SharedRetryBudget {
                instances: Some(instances),
                counted_for: now.saturating_sub(instance.started_at),
                ..budget()
            };
            if random.random_bool(0.6) {
                instance.window.on_request(now, &budget);
                requests.push(now);
            }
            while fails && instance.window.try_retry(now, &budget) {
                retries.push(now);
            }
        }
    }
    let count = |times: &[Duration], from_ms: u64| {
        let window = Duration::from_millis(from_ms)..Duration::from_millis(from_ms + 10_000);
        times.iter().filter(|at| window.contains(at)).count()
    };
    for start_ms in (10_000..END_MS - 10_000).step_by(100) {
        // The users count the requests of the window, of the one before, or of the one in between.
        let windows = [start_ms, start_ms - 5_000, start_ms - 10_000];
        let asked = windows.map(|from_ms| count(&requests, from_ms));
        let asked = asked.into_iter().max().unwrap_or_default();
        let allowed = asked as f64 * budget().ratio + budget().slack;
        let sent = count(&retries, start_ms);
        assert!(
            sent as f64 <= allowed,
            "{sent} of {allowed} at {start_ms} ms"
        );
    }
    assert!(!retries.is_empty());
}

/// Guards against instances that all use the whole budget while they know of no other instance.
#[test]
fn an_instance_that_knows_no_others_has_no_share_of_the_slack() {
    let budget = SharedRetryBudget {
        instances: None,
        ..budget()
    };
    let mut window = RetryWindow::default();
    assert!(!window.try_retry(Duration::ZERO, &budget));
    for _ in 0..20 {
        window.on_request(Duration::ZERO, &budget);
    }
    assert!(window.try_retry(Duration::ZERO, &budget));
}
