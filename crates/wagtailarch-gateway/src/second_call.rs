//! Calls to a second server while the first one is slow.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use http::Response;
use slog::{debug, info};
use tokio::{select, time::timeout};
use wagtailarch_adapter::CallStep;
use wagtailarch_dispatch::{
    CallClass, EndedCall, RoutingConfig, SecondCallDenial, SizeClass, SlowCall,
};
use wagtailarch_types::{InstanceId, Ran, ServiceName};

use crate::{
    backend_client::{Call, CallFailure},
    gateway::Gateway,
    metrics::SecondCallEvent,
    permits::{self, Permit},
    plain::{self, MAX_SERVERS},
    request_context::RequestContext,
    response_body::ResponseBody,
};

/// Response to a call, which may be an error of the server.
pub type CallOutcome = Result<Response<ResponseBody>, CallFailure>;

/// What came of a call and of the second call that it may have caused.
#[derive(Debug)]
pub struct Round {
    /// The first good response, or the failure that came last.
    pub outcome: CallOutcome,
    /// The failure of the other call, if both failed.
    pub other_failure: Option<CallOutcome>,
}

impl Round {
    fn of_one(outcome: CallOutcome) -> Self {
        Self {
            outcome,
            other_failure: None,
        }
    }
}

/// An open first call whose time is recorded when it ends; dropping it while the call is open
/// records that it was cancelled.
#[derive(Debug)]
struct FirstCall<'a> {
    gateway: &'a Gateway,
    server: &'a InstanceId,
    class: CallClass,
    share: f64,
    sent_at: Duration,
    is_slow: bool,
    is_complete: bool,
}

/// An open second call; its server time is counted when it is dropped.
#[derive(Debug)]
struct SecondCall<'a> {
    gateway: &'a Gateway,
    service: &'a ServiceName,
    sent_at: Duration,
    /// Server time that was reserved for it.
    reserved: Duration,
    event: SecondCallEvent,
}

/// A second call that may be sent.
struct PreparedCall {
    call: Call,
    permit: Permit,
    reserved: Duration,
}

impl<'a> FirstCall<'a> {
    fn begin(context: &'a RequestContext, call: &'a Call, share: f64) -> Self {
        let prompt = context.client.prompt.as_ref();
        let body_bytes = || u32::try_from(context.body.bytes.len()).unwrap_or(u32::MAX);
        let size = prompt.map_or_else(body_bytes, |prompt| prompt.prompt_tokens);
        Self {
            gateway: &context.gateway,
            server: &call.server.id,
            class: CallClass {
                service: context.service.clone(),
                kind: context.route.kind,
                size: SizeClass::of(size),
            },
            share,
            sent_at: context.gateway.now(),
            is_slow: false,
            is_complete: false,
        }
    }

    /// Returns the time after which the call is slow; `None` while it is not known.
    fn threshold(&self) -> Option<Duration> {
        let second_calls = self.gateway.second_calls.borrow();
        second_calls.threshold(&self.class, self.share)
    }

    fn on_slow(&mut self) {
        self.is_slow = true;
        let mut second_calls = self.gateway.second_calls.borrow_mut();
        second_calls.on_slow(self.gateway.now(), self.server);
    }

    fn end(mut self, outcome: &CallOutcome) {
        self.is_complete = is_answer(outcome);
    }
}

impl Drop for FirstCall<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let ended = EndedCall {
            class: &self.class,
            server: self.server,
            time: now.saturating_sub(self.sent_at),
            is_slow: self.is_slow,
            is_complete: self.is_complete,
        };
        let mut second_calls = self.gateway.second_calls.borrow_mut();
        second_calls.on_ended(now, self.share, &ended);
    }
}

impl<'a> SecondCall<'a> {
    fn begin(context: &'a RequestContext, reserved: Duration) -> Self {
        let gateway: &Gateway = &context.gateway;
        gateway.metrics.count_second_call(SecondCallEvent::Sent);
        Self {
            gateway,
            service: &context.service,
            sent_at: gateway.now(),
            reserved,
            event: SecondCallEvent::Cancelled,
        }
    }
}

impl Drop for SecondCall<'_> {
    fn drop(&mut self) {
        let time = self.gateway.now().saturating_sub(self.sent_at);
        let mut second_calls = self.gateway.second_calls.borrow_mut();
        second_calls.on_second_ended(self.service, self.reserved, time);
        let metrics = &self.gateway.metrics;
        metrics.count_second_call(self.event);
        metrics.add_second_call_time(time);
    }
}

/// Sends a request to one server, and to a second one if the first is slow; the first whole good
/// response ends the other call.
///
/// `excluded` are the servers that were called or have no permit, and `calls` counts the calls.
pub async fn attempt(
    context: &Rc<RequestContext>,
    call: &Call,
    permit: Permit,
    excluded: &mut Vec<InstanceId>,
    calls: &mut usize,
) -> Round {
    let gateway = &context.gateway;
    let share = gateway.reloadable_settings().second_call_share;
    if share <= 0.0 || !context.route.kind.repeatable() {
        return Round::of_one(plain::attempt(context, call, permit).await);
    }
    let mut first_call = FirstCall::begin(context, call, share);
    let threshold = first_call.threshold();
    let mut first = pin!(plain::attempt(context, call, permit));
    if let Ok(outcome) = timeout(threshold.unwrap_or(Duration::MAX), first.as_mut()).await {
        first_call.end(&outcome);
        return Round::of_one(outcome);
    }
    first_call.on_slow();
    let after = gateway.now().saturating_sub(first_call.sent_at);
    let prepared = select! {
        biased;
        outcome = first.as_mut() => {
            first_call.end(&outcome);
            return Round::of_one(outcome);
        }
        prepared = prepare(context, &first_call.class, excluded, *calls) => prepared,
    };
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(denial) => {
            gateway.metrics.count_second_call_denied(denial);
            debug!(gateway.log, "no second call"; "request" => %context.client.id,
                "service" => %context.service, "cause" => denial.as_str());
            let outcome = first.await;
            first_call.end(&outcome);
            return Round::of_one(outcome);
        }
    };
    call.is_kept.set(true);
    excluded.push(prepared.call.server.id.clone());
    *calls += 1;
    let mut second_call = SecondCall::begin(context, prepared.reserved);
    let mut second = pin!(plain::attempt(context, &prepared.call, prepared.permit));
    let (is_first, outcome) = select! {
        biased;
        outcome = first.as_mut() => (true, outcome),
        outcome = second.as_mut() => (false, outcome),
    };
    let (is_first, round) = match is_answer(&outcome) {
        true => (is_first, Round::of_one(outcome)),
        false => {
            let failed = outcome;
            second_call.event = SecondCallEvent::Failed;
            let failed_ran = !matches!(&failed, Err(failure) if failure.ran == Ran::No);
            let runs = context.possible_runs.get() + u32::from(failed_ran);
            // The call that is left alone is bounded like any other one.
            let limit = match runs + 1 < context.route.max_attempts {
                true => plain::head_limit(context, *calls, excluded),
                false => context.time_left(),
            };
            let (server, outcome) = match is_first {
                true => (
                    &prepared.call.server.id,
                    timeout(limit, second.as_mut()).await,
                ),
                false => (&call.server.id, timeout(limit, first.as_mut()).await),
            };
            let outcome = outcome.unwrap_or_else(|_| {
                let mut load_balancer = gateway.load_balancer.borrow_mut();
                load_balancer.on_failure(gateway.now(), server);
                Err(CallFailure::TIMED_OUT)
            });
            let is_good = is_answer(&outcome);
            let round = Round {
                outcome,
                other_failure: (!is_good).then_some(failed),
            };
            (!is_first, round)
        }
    };
    let is_answered = is_answer(&round.outcome);
    if is_answered && !is_first {
        second_call.event = SecondCallEvent::Won;
    }
    let answered = match (is_answered, is_first) {
        (false, _) => "none",
        (true, true) => "first",
        (true, false) => "second",
    };
    first_call.is_complete = is_answered && is_first;
    info!(gateway.log, "second call"; "request" => %context.client.id,
        "service" => %context.service, "after_ms" => after.as_millis() as u64,
        "server" => %call.server.id, "second_server" => %prepared.call.server.id,
        "answered" => answered, "age_ms" => context.age().as_millis() as u64);
    round
}

/// Decides about a second call, selects its server and takes what it needs.
async fn prepare(
    context: &Rc<RequestContext>,
    class: &CallClass,
    excluded: &[InstanceId],
    calls: usize,
) -> Result<PreparedCall, SecondCallDenial> {
    let gateway = &context.gateway;
    if calls >= MAX_SERVERS {
        return Err(SecondCallDenial::Attempts);
    }
    evaluate(context, class)?;
    let mut excluded = excluded.to_vec();
    let now = gateway.now();
    let server = {
        let load_balancer = gateway.load_balancer.borrow();
        let second_calls = gateway.second_calls.borrow();
        let servers = load_balancer.available_servers(now, &context.service);
        excluded.extend(servers.filter(|id| second_calls.is_slow(now, id)).cloned());
        let zone = &gateway.settings.zone;
        load_balancer.select_second_server(now, &context.service, zone, context.rank(), &excluded)
    };
    let server = server.ok_or(SecondCallDenial::NoServer)?;
    let permit = permits::acquire(gateway, &server.id, context.rank()).await;
    let permit = permit.ok_or(SecondCallDenial::NoServer)?;
    // The permit may have taken a round trip, during which any of this may have changed.
    evaluate(context, class)?;
    let now = gateway.now();
    if !gateway.load_balancer.borrow().is_available(now, &server.id) {
        return Err(SecondCallDenial::NoServer);
    }
    if !gateway.try_second_call(&context.service) {
        return Err(SecondCallDenial::RetryBudget);
    }
    let reserved = gateway.second_calls.borrow_mut().take(class);
    let call = Call {
        server,
        step: CallStep::Whole,
        priority: None,
        resume_after: context.client.resume_after,
        head_limit: context.time_left(),
        is_kept: Cell::new(true),
    };
    Ok(PreparedCall {
        call,
        permit,
        reserved,
    })
}

fn evaluate(context: &RequestContext, class: &CallClass) -> Result<(), SecondCallDenial> {
    let gateway = &context.gateway;
    if context.check_shutdown(Ran::Unknown).is_err() {
        return Err(SecondCallDenial::Shutdown);
    }
    let newest = gateway.snapshot();
    let generation = newest.config.as_deref().map(RoutingConfig::generation);
    if generation != Some(context.config.generation()) {
        return Err(SecondCallDenial::ConfigChanged);
    }
    let now = gateway.now();
    let load_balancer = gateway.load_balancer.borrow();
    let slow_call = SlowCall {
        class,
        possible_runs: context.possible_runs.get(),
        max_attempts: context.route.max_attempts,
        time_left: context.time_left(),
        has_spare_retry: gateway.may_spare_retry(&context.service),
        service_load: load_balancer.service_load(now, &context.service),
    };
    let servers = load_balancer.available_servers(now, &context.service);
    let second_calls = gateway.second_calls.borrow();
    second_calls.evaluate(now, &slow_call, servers)
}

/// Returns whether an outcome is a response for the client.
pub fn is_answer(outcome: &CallOutcome) -> bool {
    let response = outcome.as_ref();
    response.is_ok_and(|response| !response.status().is_server_error())
}
