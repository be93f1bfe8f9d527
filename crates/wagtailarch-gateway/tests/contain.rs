//! Isolation and restart of tasks that panic.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep};
use wagtailarch_gateway::{catch_panic, restart_on_panic};

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// Guards against a panic in the task of one request that ends other tasks or leaves shared state
/// borrowed.
#[tokio::test]
async fn a_panic_ends_its_own_future_only() {
    let state = RefCell::new(0);
    let log = log();
    let failed = catch_panic(&log, "request", async {
        let _borrowed = state.borrow_mut();
        panic!("injected")
    });
    let result: Option<()> = failed.await;
    assert_eq!(result, None);
    *state.borrow_mut() += 1;
    assert_eq!(catch_panic(&log, "request", async { 2 }).await, Some(2));
}

/// Guards against a background task that an unexpected input ends for good while the process keeps
/// serving, and against a task that takes the processor by panicking repeatedly.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again_after_a_pause() {
    let starts = Cell::new(0);
    let begun = Instant::now();
    restart_on_panic(&log(), "watch", || {
        starts.set(starts.get() + 1);
        let start = starts.get();
        async move {
            sleep(Duration::from_millis(1)).await;
            assert!(start > 8, "injected");
        }
    })
    .await;
    assert_eq!(starts.get(), 9);
    let elapsed = begun.elapsed();
    let expected = Duration::from_secs(5)..Duration::from_secs(12);
    assert!(expected.contains(&elapsed), "{elapsed:?}");
}
