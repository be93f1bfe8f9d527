//! Tasks whose panics end nothing else.

use std::{any::Any, panic::AssertUnwindSafe, time::Duration};

use futures_util::FutureExt;
use slog::{Logger, crit, error};
use tokio::time::sleep;

/// First pause before a task that panicked is started again.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause; an input that stays and panics each time must not take the processor.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Logs the place of each panic, which only the panic hook knows.
pub fn log_panics(log: Logger) {
    std::panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string);
        crit!(log, "panic"; "place" => place, "cause" => message(info.payload()));
    }));
}

/// Runs a future; returns `None`, after a line in the log, if it panics.
///
/// State that is borrowed meanwhile is released as it is; counts are taken back by their guards.
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

/// Runs a task of the process until it ends, and starts it again whenever it panics.
pub async fn restart_on_panic<F: Future<Output = ()>>(
    log: &Logger,
    task: &'static str,
    mut start: impl FnMut() -> F,
) {
    let mut pause = FIRST_PAUSE;
    while catch_panic(log, task, start()).await.is_none() {
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Returns the message of a panic; its place is in the line that the panic hook writes.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    text.or(owned).unwrap_or("no message")
}
