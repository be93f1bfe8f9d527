//! Generations: which engines read the prompt and generate, and what follows a failure.

use std::rc::Rc;

use http::{Response, StatusCode};
use slog::{debug, info};
use wagtailarch_adapter::{CallStep, KvSource, PriorityClass, decode_prefill_response};
use wagtailarch_dispatch::{GenerationPlan, Placement, PrefillPlan, ServerEndpoint, Urgency};
use wagtailarch_types::{InstanceId, RefusalReason, RetryReason};

use crate::{
    answer_body::AnswerBody,
    attempts::{Attempts, MAX_CALLS},
    backend_client::{Answer, Call, CallFailure, read_whole, send},
    guards::{Generating, Reading},
    job::Job,
    refusal::Refusal,
    relay,
};

/// Rank of a stream that is resumed; its client already waits.
const RESUMED_CLASS: PriorityClass = 0;
/// Rank of the most urgent route; each lower priority adds one.
const FIRST_CLASS: PriorityClass = 1;
/// Rank of generations that are late by little.
const NEAR_CLASS: PriorityClass = 7;
/// Rank of generations that are late anyway.
const LATE_CLASS: PriorityClass = 8;
/// A generation whose answer has begun.
#[derive(Debug)]
pub struct Started {
    /// Answer of the engine that generates.
    pub answer: Answer,
    /// The call that it answers.
    pub call: Call,
    /// Counts the generation.
    pub _generating: Generating,
    /// The prompt, while the engine that generates reads it.
    pub reading: Option<Reading>,
}

/// Why a generation has not begun, or does not go on.
#[derive(Debug)]
pub enum StartFailure {
    /// The instance gives up.
    Refused(Refusal),
    /// An engine failed it with an answer of its own.
    Answered(Box<Response<AnswerBody>>),
}

/// Serves a generation.
pub async fn serve(job: Rc<Job>) -> Response<AnswerBody> {
    let mut attempts = Attempts::default();
    let answer = match start(&job, &mut attempts, job.client.resume_after).await {
        Ok(started) => relay::respond(Rc::clone(&job), attempts, started).await,
        Err(failure) => Err(failure),
    };
    match answer {
        Ok(response) => response,
        Err(StartFailure::Refused(refusal)) => refusal.respond(&job),
        Err(StartFailure::Answered(response)) => *response,
    }
}

/// Begins a generation, or goes on with one after the event `resume_after`.
pub async fn start(
    job: &Rc<Job>,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
) -> Result<Started, StartFailure> {
    let resumed = resume_after != job.client.resume_after;
    loop {
        let plan = plan(job, attempts).map_err(StartFailure::Refused)?;
        let (step, reader) = match read_prompt(job, attempts, &plan).await {
            Ok(read) => read,
            Err(ReadFailure::Again) => continue,
            Err(ReadFailure::GiveUp(refusal)) => return Err(StartFailure::Refused(refusal)),
        };
        let generator = match &reader {
            None => plan.decode.clone(),
            Some(reader) => generator(job, attempts, reader).map_err(StartFailure::Refused)?,
        };
        let call = Call {
            server: generator.clone(),
            step,
            priority: Some(class(job, plan.urgency, resumed)),
            resume_after,
            head_limit: match attempts.may_move(job, &generator.id) {
                true => plan.attempt_timeout(job.patience_left()),
                false => job.time_left(),
            },
        };
        attempts.calls += 1;
        let gateway = &job.gateway;
        let generating = Generating::new(gateway, &generator.id);
        let reading = reader
            .is_none()
            .then(|| reading(job, &generator, plan.urgency));
        gateway.tell_peers();
        let failure = match send(job, &call).await {
            Ok(answer) if answer.parts.status == StatusCode::OK => {
                return Ok(Started {
                    answer,
                    call,
                    _generating: generating,
                    reading,
                });
            }
            Ok(answer) => match own_failure(job, &call, answer).await {
                Ok(_) if !resumed && attempts.on_own_failure(job, &generator.id) => continue,
                Ok(response) => return Err(StartFailure::Answered(Box::new(response))),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if let (Some(reader), CallFailure::NOT_RUN) = (&reader, failure) {
            // The prompt could not be taken over: its reader may have dropped it.
            gateway.board.borrow_mut().on_failure(gateway.now(), reader);
            attempts.failed.push(reader.clone());
        }
        attempts
            .on_failure(job, &call.server.id, failure, resumed)
            .map_err(StartFailure::Refused)?;
    }
}

/// Chooses the engine that generates from a prompt that has been read.
fn generator(
    job: &Job,
    attempts: &Attempts,
    reader: &InstanceId,
) -> Result<ServerEndpoint, Refusal> {
    let gateway = &job.gateway;
    let now = gateway.now();
    let board = gateway.board.borrow();
    let choice = board.place_decode(
        now,
        &job.service,
        &job.generation_request(),
        reader,
        &attempts.failed,
    );
    choice.ok_or_else(|| {
        attempts.refusal(board.unavailable_reason(now, &job.service, &attempts.failed))
    })
}

/// Chooses engines.
fn plan(job: &Job, attempts: &Attempts) -> Result<GenerationPlan, Refusal> {
    let gateway = &job.gateway;
    let request = job.generation_request();
    let now = gateway.now();
    let board = gateway.board.borrow();
    match board.place_generation(now, &job.service, &request, &attempts.failed) {
        Placement::Use(plan) => {
            debug!(gateway.log, "placed"; "request" => %job.client.id, "route" => %job.route.name,
                "tokens" => request.prompt_tokens, "new_tokens" => plan.new_tokens, "engine" => %plan.decode.id,
                "reader" => match &plan.prefill {
                    PrefillPlan::Direct => "same",
                    PrefillPlan::Split(reader) => reader.id.as_str(),
                },
                "first_event_ms" => plan.first_event.as_millis() as u64,
                "urgency" => ?plan.urgency, "age_ms" => job.age().as_millis() as u64);
            Ok(plan)
        }
        Placement::Refuse {
            first_event,
            retry_after,
        } => {
            info!(gateway.log, "no engine in time"; "request" => %job.client.id,
                "first_event_ms" => first_event.as_millis() as u64,
                "patience_left_ms" => request.client_timeout_left.as_millis() as u64);
            Err(Refusal {
                reason: RefusalReason::Overloaded,
                ran: attempts.ran(),
                retry_after,
            })
        }
        Placement::NoEngine => {
            Err(attempts.refusal(board.unavailable_reason(now, &job.service, &attempts.failed)))
        }
    }
}

/// Why a prompt has not been read by another engine.
enum ReadFailure {
    /// Other engines are chosen.
    Again,
    /// The instance gives up.
    GiveUp(Refusal),
}

/// Has the prompt read by another engine if the plan says so.
///
/// Returns the step of the call that generates, and the engine that has read the prompt.
async fn read_prompt(
    job: &Rc<Job>,
    attempts: &mut Attempts,
    plan: &GenerationPlan,
) -> Result<(CallStep, Option<InstanceId>), ReadFailure> {
    let PrefillPlan::Split(reader) = &plan.prefill else {
        return Ok((CallStep::Whole, None));
    };
    // The first such call of a request is no repetition.
    if attempts.reads > 0 {
        let retry = attempts.take_retry(job, RetryReason::KvImportFailed);
        retry.map_err(ReadFailure::GiveUp)?;
    }
    attempts.calls += 1;
    let reading = reading(job, reader, plan.urgency);
    let call = Call {
        server: reader.clone(),
        step: CallStep::Prefill,
        priority: Some(class(job, plan.urgency, false)),
        resume_after: None,
        head_limit: plan.attempt_timeout(job.patience_left()),
    };
    let sent = job.gateway.now();
    let handle = read_handle(job, &call).await;
    match &handle {
        Ok(_) => reading.finish(),
        Err(_) => drop(reading),
    }
    debug!(job.gateway.log, "prompt read"; "request" => %job.client.id,
        "server" => %reader.id, "read" => handle.is_ok(),
        "took_ms" => job.gateway.now().saturating_sub(sent).as_millis() as u64,
        "expected_ms" => plan.prefill_time.as_millis() as u64,
        "expected_wait_ms" => plan.prefill_wait.as_millis() as u64);
    let failure = match handle {
        Ok(source) => {
            attempts.reads += 1;
            return Ok((CallStep::Decode(source), Some(reader.id.clone())));
        }
        Err(failure) => failure,
    };
    if attempts.calls >= MAX_CALLS || job.patience_left().is_zero() {
        let refusal = attempts.refusal(RefusalReason::AttemptsExhausted);
        return Err(ReadFailure::GiveUp(refusal));
    }
    attempts.on_read_failure(job, &reader.id, failure);
    Err(ReadFailure::Again)
}

/// Has an engine read the prompt and returns where it is held.
///
/// The limit on the head holds for the whole answer, which is short.
async fn read_handle(job: &Job, call: &Call) -> Result<KvSource, CallFailure> {
    let sent = job.gateway.now();
    let answer = send(job, call).await?;
    let status = answer.parts.status;
    let limit = call
        .head_limit
        .saturating_sub(job.gateway.now().saturating_sub(sent));
    let body = read_whole(job, call, answer, limit).await?;
    let gateway = &job.gateway;
    let now = gateway.now();
    let id = &call.server.id;
    match decode_prefill_response(&body.bytes) {
        Ok(handle) if status == StatusCode::OK => {
            gateway.board.borrow_mut().on_success(now, id);
            Ok(KvSource {
                address: call.server.address,
                handle,
            })
        }
        _ => {
            gateway.board.borrow_mut().on_failure(now, id);
            info!(gateway.log, "prompt not read"; "request" => %job.client.id,
                "server" => %id, "status" => status.as_u16());
            Err(CallFailure::WRONG_ANSWER)
        }
    }
}

/// Reads an engine's own answer other than success, to be passed on as it is.
async fn own_failure(
    job: &Job,
    call: &Call,
    mut answer: Answer,
) -> Result<Response<AnswerBody>, CallFailure> {
    let gateway = &job.gateway;
    let head = answer.take_head();
    let body = read_whole(job, call, answer, job.time_left()).await?;
    gateway
        .board
        .borrow_mut()
        .on_failure(gateway.now(), &call.server.id);
    info!(gateway.log, "engine failed the request"; "request" => %job.client.id,
        "server" => %call.server.id, "status" => head.status().as_u16());
    Ok(head.map(|()| AnswerBody::held(body)))
}

fn reading(job: &Job, engine: &ServerEndpoint, urgency: Urgency) -> Reading {
    let tokens = job.client.prompt.as_ref().map_or(0, |p| p.prompt_tokens);
    Reading::new(&job.gateway, &engine.id, urgency, &job.prefixes, tokens)
}

/// Returns the rank of a generation at its engines.
fn class(job: &Job, urgency: Urgency, resumed: bool) -> PriorityClass {
    match urgency {
        _ if resumed => RESUMED_CLASS,
        Urgency::OnTime => (FIRST_CLASS + job.route.priority).min(NEAR_CLASS - 1),
        Urgency::Near => NEAR_CLASS,
        Urgency::Late => LATE_CLASS,
    }
}
