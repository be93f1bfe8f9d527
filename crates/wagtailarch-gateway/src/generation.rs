//! Generations on the users' platform: selection of the prefill and decode engines, and retries
//! after failures.

use std::{cell::Cell, rc::Rc};

use http::{Response, StatusCode};
use slog::{debug, info};
use wagtailarch_adapter::{CallStep, KvSource, PriorityClass, decode_prefill_response};
use wagtailarch_dispatch::{
    CallKind, GenerationPlan, GenerationRequest, Placement, PrefillPlan, ServerEndpoint, Urgency,
};
use wagtailarch_types::{InstanceId, RefusalReason, VersionKey};
use wagtailarch_wire::permit::PermitRank;

use crate::{
    attempts::{Attempts, MAX_CALLS},
    backend_client::{BackendResponse, Call, CallFailure, collect_body, send},
    forward::client::{Condition, start_stream},
    guards::{DecodeGuard, PrefillGuard, SuspectGuard},
    origins,
    permits::{self, Permit},
    refusal::Refusal,
    request_context::RequestContext,
    response_body::ResponseBody,
    stream_relay,
};

/// Priority class of a stream that this instance or its client resumes, since the client has
/// received a part.
const RESUMED_PRIORITY: PriorityClass = 0;
/// Priority class of the most urgent route; each lower priority adds one.
const FIRST_ON_TIME_PRIORITY: PriorityClass = 1;
/// Priority class of generations that miss their objective by little.
const NEAR_PRIORITY: PriorityClass = 7;
/// Priority class of generations that miss their objective anyway.
const LATE_PRIORITY: PriorityClass = 8;

/// A generation whose response has begun.
#[derive(Debug)]
pub struct StartedGeneration {
    /// Response of the decode engine or of another instance.
    pub response: BackendResponse,
    /// Where the generation runs.
    pub place: GenerationPlace,
}

/// Where a generation runs.
#[derive(Debug)]
pub enum GenerationPlace {
    /// At an engine that this instance calls.
    Engine(Box<EngineRun>),
    /// Behind another instance.
    Instance {
        /// Name of the instance.
        name: InstanceId,
        /// Number of calls to servers that may have run the request when the response began.
        possible_runs: u32,
        /// Software version of the engine that began the stream.
        version: Option<VersionKey>,
    },
}

/// A generation at an engine.
#[derive(Debug)]
pub struct EngineRun {
    /// The call that was answered.
    pub call: Call,
    /// Counts the generation as running on the decode engine.
    pub _decode_guard: DecodeGuard,
    /// Keeps other suspects away from the decode engine until the first event.
    pub suspect: Option<SuspectGuard>,
    /// The open prefill, while the decode engine does it itself.
    pub prefill: Option<PrefillGuard>,
}

impl GenerationPlace {
    /// Returns the name of the engine or instance, for logs.
    pub fn name(&self) -> &InstanceId {
        match self {
            Self::Engine(run) => &run.call.server.id,
            Self::Instance { name, .. } => name,
        }
    }

    /// Returns the software version at which the stream runs; `None` if it is not known.
    pub fn version_key(&self) -> Option<VersionKey> {
        match self {
            Self::Engine(run) => Some(run.call.server.version_key),
            Self::Instance { version, .. } => *version,
        }
    }
}

/// Why a generation could not start or continue.
#[derive(Debug)]
pub enum GenerationError {
    /// The instance refuses the request.
    Refused(Refusal),
    /// An engine responded with an HTTP error, which is passed on.
    ErrorResponse(Box<Response<ResponseBody>>),
}

impl GenerationError {
    /// Returns the response to the client.
    pub fn respond(self, context: &RequestContext) -> Response<ResponseBody> {
        match self {
            Self::Refused(refusal) => refusal.respond(context),
            Self::ErrorResponse(response) => *response,
        }
    }
}

impl From<Refusal> for GenerationError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Serves a generation, after the given attempts at other instances.
pub async fn serve(context: Rc<RequestContext>, mut attempts: Attempts) -> Response<ResponseBody> {
    // A stream that another instance began is already bound to its version.
    if context.client.resume_after.is_some() && context.version.get().is_none() {
        match origins::take_up(&context).await {
            Ok(version) => context.version.set(Some(version)),
            Err(refusal) => return refusal.after(attempts.ran()).respond(&context),
        }
    }
    let response = match start(&context, &mut attempts, context.client.resume_after).await {
        Ok(started) => stream_relay::respond(Rc::clone(&context), attempts, started).await,
        Err(failure) => Err(failure),
    };
    response.unwrap_or_else(|failure| failure.respond(&context))
}

/// Starts a generation, or resumes one after the event `resume_after`.
///
/// It goes through another instance if this one reaches no engine. The generation counts as
/// interrupted if `resume_after` is not the event from which the client itself resumes.
pub async fn start(
    context: &Rc<RequestContext>,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
) -> Result<StartedGeneration, GenerationError> {
    let interrupted = resume_after != context.client.resume_after;
    if interrupted
        && let Some(started) =
            start_stream(context, attempts, Condition::PathLost, resume_after).await
    {
        return started;
    }
    let started = start_here(context, attempts, resume_after).await;
    if let Err(GenerationError::Refused(refusal)) = &started
        && (attempts.is_unreachable || context.has_unreachable_servers(refusal))
        && let Some(started) =
            start_stream(context, attempts, Condition::Unreachable, resume_after).await
    {
        return started;
    }
    // An instance may have been lost since the refusal.
    started.map_err(|failure| match failure {
        GenerationError::Refused(refusal) => refusal.after(attempts.ran()).into(),
        GenerationError::ErrorResponse(_) => failure,
    })
}

/// Starts or resumes a generation at the engines that this instance reaches.
async fn start_here(
    context: &Rc<RequestContext>,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
) -> Result<StartedGeneration, GenerationError> {
    let interrupted = resume_after != context.client.resume_after;
    let has_events = resume_after.is_some();
    let rank = match has_events {
        true => PermitRank::Urgent,
        false => context.rank(),
    };
    loop {
        context.check_shutdown(attempts.ran())?;
        let isolated = context.judge(attempts.ran())?;
        let plan = plan(context, attempts, rank, isolated, interrupted)
            .map_err(GenerationError::Refused)?;
        // A prefill without a permit for the decode step would be wasted.
        let gateway = &context.gateway;
        let Some(decode_permit) = permits::acquire(gateway, &plan.decode.id, rank).await else {
            attempts.excluded_engines.push(plan.decode.id);
            continue;
        };
        let (step, prefill_engine) = match run_prefill(context, attempts, &plan, rank).await {
            Ok(prefilled) => prefilled,
            Err(PrefillError::Replan) => continue,
            Err(PrefillError::Refused(refusal)) => return Err(GenerationError::Refused(refusal)),
        };
        let (decode_engine, permit) = match &prefill_engine {
            None => (plan.decode.clone(), decode_permit),
            Some(_) if is_reserved(context, &plan.decode.id, &decode_permit) => {
                (plan.decode.clone(), decode_permit)
            }
            Some(prefill_engine) => {
                let version = plan.decode.version_key;
                select_decode_engine(context, attempts, prefill_engine, version, rank)
                    .await
                    .map_err(GenerationError::Refused)?
            }
        };
        let call = Call {
            server: decode_engine.clone(),
            step,
            priority: Some(priority_class(context, plan.urgency, has_events)),
            resume_after,
            head_limit: match attempts.can_fail_over(context, &decode_engine.id) {
                true => plan.attempt_timeout(context.stream_time_left().for_call()),
                false => context.time_left(),
            },
            is_kept: Cell::new(false),
        };
        // Evidence may have arrived during the prefill or while a permit was awaited.
        context.judge(attempts.ran())?;
        attempts.take_retry(context, CallKind::Run)?;
        attempts.calls += 1;
        let decode_guard = DecodeGuard::new(gateway, &decode_engine.id);
        let suspect = isolated.then(|| SuspectGuard::new(gateway, &decode_engine.id));
        let prefill = prefill_engine
            .is_none()
            .then(|| start_prefill(context, &decode_engine, plan.urgency));
        gateway.schedule_load_note();
        let failure = match send(context, &call, permit).await {
            Ok(response)
                if response.parts.status == StatusCode::OK
                    && !origins::is_listed_process(context, &call.server).await =>
            {
                drop(response);
                CallFailure::CLOSED
            }
            Ok(response) if response.parts.status == StatusCode::OK => {
                let run = EngineRun {
                    call,
                    _decode_guard: decode_guard,
                    suspect,
                    prefill,
                };
                return Ok(StartedGeneration {
                    response,
                    place: GenerationPlace::Engine(Box::new(run)),
                });
            }
            Ok(response) => match read_error_response(context, &call, response).await {
                Ok(_) if !interrupted && attempts.on_http_error(context, &decode_engine.id) => {
                    continue;
                }
                Ok(response) => return Err(GenerationError::ErrorResponse(Box::new(response))),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if let (Some(prefill_engine), CallFailure::NOT_RUN) = (&prefill_engine, failure) {
            // The KV cache could not be imported, possibly because the prefill engine has dropped
            // it.
            gateway
                .load_balancer
                .borrow_mut()
                .on_failure(gateway.now(), prefill_engine);
            attempts.excluded_engines.push(prefill_engine.clone());
        }
        attempts
            .on_failure(context, &call.server.id, failure, interrupted)
            .map_err(GenerationError::Refused)?;
        if attempts.is_unreachable
            && let Some(started) =
                start_stream(context, attempts, Condition::PathLost, resume_after).await
        {
            return started;
        }
    }
}

/// Returns whether a prefilled generation continues at its planned decode engine, since a permit of
/// that engine's rate limit is reserved for it.
fn is_reserved(context: &RequestContext, engine: &InstanceId, permit: &Permit) -> bool {
    let gateway = &context.gateway;
    let load_balancer = gateway.load_balancer.borrow();
    permit.is_reserved() && load_balancer.is_available(gateway.now(), engine)
}

/// Selects the decode engine for a finished prefill, of the software version of the prefill engine,
/// and takes its permit.
async fn select_decode_engine(
    context: &RequestContext,
    attempts: &mut Attempts,
    prefill_engine: &InstanceId,
    version: VersionKey,
    rank: PermitRank,
) -> Result<(ServerEndpoint, Permit), Refusal> {
    let gateway = &context.gateway;
    let request = GenerationRequest {
        version: Some(version),
        ..context.generation_request(rank)
    };
    loop {
        let engine = gateway.load_balancer.borrow().place_decode(
            gateway.now(),
            &context.service,
            &request,
            prefill_engine,
            &attempts.excluded_engines,
        );
        let Some(engine) = engine else {
            return Err(context.unavailable(attempts.ran(), rank, &attempts.excluded_engines));
        };
        if let Some(permit) = permits::acquire(gateway, &engine.id, rank).await {
            return Ok((engine, permit));
        }
        attempts.excluded_engines.push(engine.id);
    }
}

/// Selects the engines of a generation.
fn plan(
    context: &RequestContext,
    attempts: &Attempts,
    rank: PermitRank,
    isolated: bool,
    interrupted: bool,
) -> Result<GenerationPlan, Refusal> {
    let gateway = &context.gateway;
    let mut request = GenerationRequest {
        isolated,
        ..context.generation_request(rank)
    };
    if interrupted {
        // A refusal would break off a stream that can still go on late.
        request.client_timeout_left = context.time_left();
    }
    let excluded = &attempts.excluded_engines;
    let load_balancer = gateway.load_balancer.borrow();
    let place = |excluded: &[InstanceId]| {
        let now = gateway.now();
        load_balancer.place_generation(now, &context.service, &request, excluded)
    };
    let mut placement = Placement::NoEngine;
    if isolated {
        let suspects = gateway.suspect_runs.borrow();
        let apart: Vec<_> = excluded.iter().chain(suspects.keys()).cloned().collect();
        placement = place(&apart);
    }
    if !matches!(placement, Placement::Use(_)) {
        placement = place(excluded);
    }
    drop(load_balancer);
    match placement {
        Placement::Use(plan) => {
            debug!(gateway.log, "placed"; "request" => %context.client.id, "route" => %context.route.name,
                "tokens" => request.prompt_tokens, "new_tokens" => plan.new_tokens, "engine" => %plan.decode.id,
                "reader" => match &plan.prefill {
                    PrefillPlan::Direct => "same",
                    PrefillPlan::Split(prefill_engine) => prefill_engine.id.as_str(),
                },
                "first_event_ms" => plan.first_event.as_millis() as u64,
                "urgency" => ?plan.urgency, "version" => %plan.decode.version, "age_ms" => context.age().as_millis() as u64);
            Ok(plan)
        }
        Placement::Refuse {
            first_event,
            retry_after,
        } => {
            info!(gateway.log, "no engine in time"; "request" => %context.client.id,
                "first_event_ms" => first_event.as_millis() as u64,
                "patience_left_ms" => request.client_timeout_left.as_millis() as u64);
            Err(Refusal {
                reason: RefusalReason::Overloaded,
                ran: attempts.ran(),
                retry_after,
            })
        }
        Placement::NoEngine => Err(context.unavailable(attempts.ran(), rank, excluded)),
    }
}

/// Why a separate prefill did not succeed.
enum PrefillError {
    /// Engines have to be selected again.
    Replan,
    /// The instance refuses the request.
    Refused(Refusal),
}

/// Runs the prefill on a separate engine if the plan says so.
///
/// Returns the step of the decode call and the engine that has done the prefill.
async fn run_prefill(
    context: &Rc<RequestContext>,
    attempts: &mut Attempts,
    plan: &GenerationPlan,
    rank: PermitRank,
) -> Result<(CallStep, Option<InstanceId>), PrefillError> {
    let PrefillPlan::Split(prefill_engine) = &plan.prefill else {
        return Ok((CallStep::Whole, None));
    };
    let gateway = &context.gateway;
    let Some(permit) = permits::acquire(gateway, &prefill_engine.id, rank).await else {
        attempts.excluded_engines.push(prefill_engine.id.clone());
        return Err(PrefillError::Replan);
    };
    context
        .judge(attempts.ran())
        .map_err(PrefillError::Refused)?;
    if attempts.take_retry(context, CallKind::Prefill).is_err() {
        // A run of the whole generation needs one retry less.
        return Ok((CallStep::Whole, None));
    }
    let is_last_of_stream = context.has_begun() && !attempts.may_run_again(context);
    attempts.calls += 1;
    let prefill = start_prefill(context, prefill_engine, plan.urgency);
    let call = Call {
        server: ServerEndpoint::clone(prefill_engine),
        step: CallStep::Prefill,
        priority: Some(priority_class(context, plan.urgency, false)),
        resume_after: None,
        head_limit: match is_last_of_stream {
            true => context.time_left(),
            false => plan.attempt_timeout(context.stream_time_left().for_call()),
        },
        is_kept: Cell::new(false),
    };
    let sent_at = context.gateway.now();
    let handle = request_prefill(context, &call, permit).await;
    match &handle {
        Ok(_) => prefill.finish(),
        Err(_) => drop(prefill),
    }
    debug!(context.gateway.log, "prompt read"; "request" => %context.client.id,
        "server" => %prefill_engine.id, "read" => handle.is_ok(),
        "took_ms" => context.gateway.now().saturating_sub(sent_at).as_millis() as u64,
        "expected_ms" => plan.prefill_time.as_millis() as u64,
        "expected_wait_ms" => plan.prefill_wait.as_millis() as u64);
    let failure = match handle {
        Ok(source) => {
            attempts.arrivals.on_prefill_accepted();
            return Ok((CallStep::Decode(source), Some(prefill_engine.id.clone())));
        }
        Err(failure) => failure,
    };
    // A request whose time is over is refused in the same way as one with too many calls.
    if attempts.calls >= MAX_CALLS || context.stream_time_left().is_over() {
        let refusal = attempts.refusal(RefusalReason::AttemptsExhausted);
        return Err(PrefillError::Refused(refusal));
    }
    attempts.on_prefill_failure(context, &prefill_engine.id, failure);
    Err(PrefillError::Replan)
}

/// Runs a prefill and returns the location of the resulting cache.
///
/// The limit of the call on the response head covers the whole response here, since it is short.
async fn request_prefill(
    context: &RequestContext,
    call: &Call,
    permit: Permit,
) -> Result<KvSource, CallFailure> {
    let sent_at = context.gateway.now();
    let response = send(context, call, permit).await?;
    let status = response.parts.status;
    let limit = call
        .head_limit
        .saturating_sub(context.gateway.now().saturating_sub(sent_at));
    let body = collect_body(context, call, response, limit).await?;
    let gateway = &context.gateway;
    let now = gateway.now();
    let id = &call.server.id;
    match decode_prefill_response(&body.bytes) {
        Ok(handle) if status == StatusCode::OK => {
            gateway.load_balancer.borrow_mut().on_success(now, id);
            Ok(KvSource {
                address: call.server.address,
                handle,
            })
        }
        _ => {
            gateway.load_balancer.borrow_mut().on_failure(now, id);
            info!(gateway.log, "prompt not read"; "request" => %context.client.id,
                "server" => %id, "status" => status.as_u16());
            Err(CallFailure::WRONG_RESPONSE)
        }
    }
}

/// Buffers an engine's error response and records the failure of the engine.
///
/// The response is passed on unchanged, unless the request is retried.
async fn read_error_response(
    context: &RequestContext,
    call: &Call,
    mut response: BackendResponse,
) -> Result<Response<ResponseBody>, CallFailure> {
    let gateway = &context.gateway;
    let head = response.take_head();
    let body = collect_body(context, call, response, context.time_left()).await?;
    gateway
        .load_balancer
        .borrow_mut()
        .on_failure(gateway.now(), &call.server.id);
    info!(gateway.log, "engine failed the request"; "request" => %context.client.id,
        "server" => %call.server.id, "status" => head.status().as_u16());
    Ok(head.map(|()| ResponseBody::buffered(body)))
}

fn start_prefill(
    context: &RequestContext,
    engine: &ServerEndpoint,
    urgency: Urgency,
) -> PrefillGuard {
    let tokens = context
        .client
        .prompt
        .as_ref()
        .map_or(0, |p| p.prompt_tokens);
    PrefillGuard::new(
        &context.gateway,
        &engine.id,
        urgency,
        &context.prefixes,
        tokens,
    )
}

/// Returns the priority class of a generation at its engines.
fn priority_class(context: &RequestContext, urgency: Urgency, has_events: bool) -> PriorityClass {
    match urgency {
        _ if has_events => RESUMED_PRIORITY,
        Urgency::OnTime => FIRST_ON_TIME_PRIORITY
            .saturating_add(context.priority())
            .min(NEAR_PRIORITY - 1),
        Urgency::Near => NEAR_PRIORITY,
        Urgency::Late => LATE_PRIORITY,
    }
}
