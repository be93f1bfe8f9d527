//! Isolation of panics: a task that panics is logged, and restarted if the process needs it.

use std::{any::Any, panic::AssertUnwindSafe, time::Duration};

use futures_util::FutureExt;
use slog::{Logger, crit, error};
use tokio::time::sleep;

/// First delay before a task that panicked is restarted.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay, so that a task that panics on every start does not take the processor.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Installs a panic hook that logs the location of each panic, which only the hook receives.
pub fn log_panics(log: Logger) {
    std::panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string);
        crit!(log, "panic"; "place" => place, "cause" => message(info.payload()));
    }));
}

/// Runs a future; logs a panic and returns `None` if it panics.
///
/// Borrows are released while unwinding and the state stays as it was at that moment; guards
/// restore counters.
pub async fn catch_panic<T>(
    log: &Logger,
    task: &'static str,
    future: impl Future<Output = T>,
) -> Option<T> {
    match AssertUnwindSafe(future).catch_unwind().await {
        Ok(result) => Some(result),
        Err(panic) => {
            error!(log, "task panicked"; "task" => task, "cause" => message(&*panic));
            None
        }
    }
}

/// Runs a task until it ends, and restarts it after each panic.
pub async fn restart_on_panic<F: Future<Output = ()>>(
    log: &Logger,
    task: &'static str,
    mut start: impl FnMut() -> F,
) {
    let mut backoff = MIN_BACKOFF;
    while catch_panic(log, task, start()).await.is_none() {
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Returns the message of a panic; the panic hook logs its location.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    text.or(owned).unwrap_or("no message")
}
