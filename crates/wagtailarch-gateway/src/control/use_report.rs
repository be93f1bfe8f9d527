//! Reports of the use of each team by the holder of that duty.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use http::StatusCode;
use slog::{info, warn};
use tokio::time::sleep;
use wagtailarch_adapter::usage_request;
use wagtailarch_control::{UseReport, UseReporter};
use wagtailarch_types::{DutyKind, DutySubject, InstanceId};
use wagtailarch_wire::team_use::WindowId;

use crate::{
    control::{
        ControlContext,
        duties::{DutyCaller, DutyError, DutyResponse},
    },
    metrics::UseEvent,
    outbox::LIVENESS_GRACE,
    team_use::{current_keepers, unix_now},
};

/// Interval between two checks whether a report is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a report that was not accepted, or while the store shows that none is due.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Reports the use of teams while this instance is the first keeper.
pub async fn report_use(context: ControlContext) {
    let caller = context.duties.clone();
    let Some(caller) = caller.filter(|caller| caller.settings.includes(DutyKind::Usage)) else {
        return std::future::pending().await;
    };
    let settings = &caller.settings;
    let window = settings.usage_window();
    let reporter = UseReporter::new(window, settings.usage_late(), unix_now());
    let reporter = RefCell::new(reporter);
    // The peers of this instance are not known before.
    sleep(LIVENESS_GRACE.saturating_sub(context.epoch.elapsed())).await;
    let mut was_holder = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        let is_holder = holds_duty(&context);
        if is_holder != was_holder {
            info!(context.log, "duty of reporting use"; "holder" => is_holder);
            was_holder = is_holder;
            reporter.borrow_mut().on_lost();
        }
        if !is_holder || !is_due(&context, &reporter.borrow()) {
            continue;
        }
        if let Err(cause) = report(&context, &caller, &reporter).await {
            if !matches!(cause, ReportError::Call(DutyError::NothingDue)) {
                context.metrics.count_use_report(UseEvent::Failed);
                warn!(context.log, "use not reported yet"; "cause" => %cause);
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Why a report was not accepted.
#[derive(Debug, displaydoc::Display)]
enum ReportError {
    /// {0}
    Call(DutyError),
    /// window {0}: the platform responded with status {1}
    Status(u64, StatusCode),
}

fn holds_duty(context: &ControlContext) -> bool {
    let peers = context.live_peers();
    let keepers = current_keepers((&context.instance, &context.zone), &peers);
    keepers.first() == Some(&context.instance)
}

fn live_instances(context: &ControlContext) -> Vec<InstanceId> {
    let peers = context.live_peers().into_iter().map(|(name, _)| name);
    peers
        .chain(std::iter::once(context.instance.clone()))
        .collect()
}

fn is_due(context: &ControlContext, reporter: &UseReporter) -> bool {
    let live = live_instances(context);
    let mut sums = context.team_use.lock();
    sums.retain_instances(&live);
    reporter.may_be_due(unix_now(), &sums, live.iter())
}

/// Makes one report.
async fn report(
    context: &ControlContext,
    caller: &DutyCaller,
    reporter: &RefCell<UseReporter>,
) -> Result<(), ReportError> {
    let planned_window = Cell::new(None);
    let plan = |recorded: Option<UseReport>| {
        // The lease of another holder may have been waited for.
        if !holds_duty(context) {
            return None;
        }
        let live = live_instances(context);
        let sums = context.team_use.lock();
        let planned = reporter
            .borrow()
            .plan(unix_now(), recorded, &sums, live.iter());
        planned_window.set(planned.as_ref().map(|report| report.window));
        planned
    };
    let called = caller.call(context, &DutySubject::Usage, plan, |right, report| {
        usage_request(&right.holder, right.fence, report.window, &report.counts)
    });
    let called = called.await;
    let now = unix_now();
    if let (Err(DutyError::Call(..)), Some(window)) = (&called, planned_window.get()) {
        give_up_if_late(context, reporter, window, now);
    }
    let DutyResponse {
        status,
        fence,
        content,
    } = called.map_err(ReportError::Call)?;
    let end = reporter.borrow().end(content.window);
    let window = content.window;
    if !status.is_success() {
        give_up_if_late(context, reporter, window, now);
        return Err(ReportError::Status(window, status));
    }
    if let Some(last) = reporter.borrow().done()
        && window > last + 1
    {
        let missed = window - last - 1;
        warn!(context.log, "windows of use missed"; "windows" => missed, "after" => last);
        context.metrics.count_missed_windows(missed);
    }
    reporter.borrow_mut().on_done(window);
    context.team_use.lock().on_reported(window);
    context.metrics.count_use_report(UseEvent::Sent);
    let requests: u64 = content.counts.values().sum();
    info!(context.log, "use reported"; "window" => window,
        "teams" => content.counts.len(), "requests" => requests, "fence" => fence,
        "status" => status.as_u16(),
        "after_end_ms" => now.saturating_sub(end).as_millis() as u64);
    Ok(())
}

/// Leaves out a report that was not accepted and is late already: it counts for nothing, and the next
/// one must not wait for it.
fn give_up_if_late(
    context: &ControlContext,
    reporter: &RefCell<UseReporter>,
    window: WindowId,
    now: Duration,
) {
    let is_late = window < reporter.borrow().oldest_useful(now);
    if is_late {
        context.metrics.count_missed_windows(1);
        reporter.borrow_mut().on_done(window);
    }
}
