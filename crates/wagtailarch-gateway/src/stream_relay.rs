//! Relays the events of a stream to the client and resumes it at another engine after a failure.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use http::{HeaderMap, Response, header};
use http_body_util::BodyExt;
use slog::{debug, info};
use tokio::{task::yield_now, time::timeout};
use wagtailarch_types::{InstanceId, Ran, RefusalReason};
use wagtailarch_wire::{
    body_framing::BodyFraming, event_splitter::EventTooLong, forward::StreamEnd,
};

use crate::{
    attempts::Attempts,
    backend_client::{CallFailure, RunProgress, probe_for_crash},
    connection::failure_cause,
    generation::{GenerationError, GenerationPlace, StartedGeneration, start},
    held_run::HeldRun,
    metrics::ForwardEvent,
    origins,
    refusal::{DEFAULT_RETRY_AFTER, Refusal},
    relayed_run::RelayedRun,
    request_context::RequestContext,
    response_body::{BodyError, ResponseBody},
    team_use::count_use,
};

/// Fraction of the client timeout after which an idle stream that may be resumed moves to another
/// engine.
///
/// The rest of the timeout is left for the other engine. The pauses of a healthy stream depend on
/// the route, as the client timeout does.
const IDLE_LIMIT_FRACTION: f64 = 0.6;

/// Time for the connection's task to deliver data that has already arrived when the request times
/// out.
const LATE_READ_LIMIT: Duration = Duration::from_millis(20);

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A stream that is relayed to the client.
struct StreamRelay {
    /// Head for the client, from the engine that sends the first event.
    head: Response<()>,
    context: Rc<RequestContext>,
    attempts: Attempts,
    /// Current run; `None` after its end.
    active: Option<RelayedRun>,
    /// Framing of the last run's response.
    framing: BodyFraming,
    /// Id of the last event sent to the client.
    last_event: Option<u64>,
    events: u64,
    first_event_ms: Option<u64>,
    /// Longest pause between two events.
    longest_pause: Duration,
    /// When the current engine last sent a complete event, or resumed the stream.
    progress_at: Duration,
    /// Waits until other engines respond while the current one is unresponsive.
    fail_over: Option<LocalBoxFuture<'static, Vec<InstanceId>>>,
    /// Run at the engine that the stream left as unresponsive, until the next one sends an event.
    held: Option<HeldRun>,
    finished: bool,
}

/// Result of a read from the engine's response.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    Failed(&'static str),
    /// The engine is unresponsive while others respond.
    Unresponsive,
    /// The other instance could not continue the stream.
    BrokenOff,
    TimedOut,
}

/// Waits for the first events and builds the response to the client.
///
/// Nothing is sent before them, so that the response to a stream that fails before its first event
/// states whether the request ran.
pub async fn respond(
    context: Rc<RequestContext>,
    attempts: Attempts,
    mut started: StartedGeneration,
) -> Result<Response<ResponseBody>, GenerationError> {
    let last_event = context.client.resume_after;
    let progress_at = context.gateway.now();
    let mut relay = StreamRelay {
        head: started.response.take_head(),
        context,
        attempts,
        framing: started.response.framing,
        active: Some(RelayedRun::new(started, false)),
        last_event,
        events: 0,
        first_event_ms: None,
        longest_pause: Duration::ZERO,
        progress_at,
        fail_over: None,
        held: None,
        finished: false,
    };
    let first = relay.next_chunk().await.transpose()?;
    let head = std::mem::take(&mut relay.head);
    let rest = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk().await?;
        if chunk.is_err() {
            // hyper discards pending writes when a body fails without yielding first.
            yield_now().await;
        }
        Some((chunk.map_err(BodyError::from), relay))
    });
    let chunks = stream::iter(first.map(Ok)).chain(rest);
    Ok(head.map(|()| ResponseBody::stream(chunks.boxed_local())))
}

impl From<GenerationError> for BodyError {
    /// Returns why a stream that has begun ends early.
    fn from(failure: GenerationError) -> Self {
        match failure {
            GenerationError::Refused(refusal)
                if refusal.reason == RefusalReason::DeadlineUnreachable =>
            {
                Self::TimedOut
            }
            GenerationError::Refused(_) | GenerationError::ErrorResponse(_) => Self::EndedEarly,
        }
    }
}

impl StreamRelay {
    /// Returns the next bytes for the client; `None` after the end of the stream.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, GenerationError>> {
        loop {
            let next = match self.take_events() {
                Ok(Some(chunk)) => return Some(Ok(chunk)),
                Ok(None) => self.read().await,
                Err(cause) => ReadOutcome::Failed(cause),
            };
            let resumed = match next {
                ReadOutcome::Bytes(bytes) => {
                    self.active.as_mut()?.splitter.push(&bytes);
                    continue;
                }
                ReadOutcome::End => {
                    let rest = self.active.take()?.splitter.take_rest();
                    let context = &self.context;
                    context
                        .gateway
                        .record_completion(context.request_key(), false);
                    origins::on_completed(context);
                    self.on_end("complete", rest.len());
                    if !rest.is_empty() {
                        return Some(Ok(rest));
                    }
                    return None;
                }
                ReadOutcome::TimedOut => {
                    self.active = None;
                    self.on_end("timed out", 0);
                    let refusal = Refusal {
                        reason: RefusalReason::DeadlineUnreachable,
                        ran: Ran::Unknown,
                        retry_after: DEFAULT_RETRY_AFTER,
                    };
                    return Some(Err(GenerationError::Refused(refusal)));
                }
                ReadOutcome::Failed(cause) => self.resume(cause, false).await,
                ReadOutcome::Unresponsive => self.resume("silent", true).await,
                ReadOutcome::BrokenOff => {
                    self.active = None;
                    let refusal = Refusal {
                        reason: RefusalReason::BackendFailedMidway,
                        ran: Ran::Unknown,
                        retry_after: DEFAULT_RETRY_AFTER,
                    };
                    Err(GenerationError::Refused(refusal))
                }
            };
            if let Err(failure) = resumed
                && !self.go_back()
            {
                self.on_end("broken off", 0);
                return Some(Err(failure));
            }
        }
    }

    /// Takes all complete events that the client has not received; fails if the data is invalid.
    fn take_events(&mut self) -> Result<Option<Bytes>, &'static str> {
        let Some(run) = &mut self.active else {
            return Ok(None);
        };
        if let Some(data_error) = run.data_error.take() {
            return Err(data_error);
        }
        let mut chunks: Vec<Bytes> = Vec::new();
        let data_error = loop {
            let event = match run.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break None,
                Err(EventTooLong) => break Some("event too long"),
            };
            run.has_event = true;
            // A resumed engine may send events again.
            if event.id.is_some() && event.id <= self.last_event {
                continue;
            }
            if event.id.is_none() && run.is_resumed {
                break Some("event of no stream");
            }
            if self.events >= self.context.max_events() {
                break Some("too many events");
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            chunks.push(event.bytes);
        };
        if chunks.is_empty() {
            return data_error.map_or(Ok(None), Err);
        }
        run.data_error = data_error;
        self.on_events();
        Ok(match chunks.len() {
            1 => chunks.pop(),
            _ => Some(chunks.concat().into()),
        })
    }

    fn on_events(&mut self) {
        if let Some(run) = &mut self.active {
            // A run that sends no event to the client binds the stream to no version.
            let version = &self.context.version;
            version.set(version.get().or(run.started.place.version_key()));
            // The instance that calls the engine records what its events show.
            if let GenerationPlace::Engine(engine) = &mut run.started.place {
                engine.suspect = None;
                if self.first_event_ms.is_none() {
                    count_use(&self.context, Duration::ZERO);
                    origins::on_begun(&self.context, &engine.call.server);
                }
                if !std::mem::replace(&mut run.output_recorded, true) {
                    self.context
                        .gateway
                        .record_part_output(self.context.shared_parts());
                }
                // The first event shows that the prefill is done.
                if let Some(prefill) = engine.prefill.take() {
                    prefill.finish();
                }
            }
        }
        let context = &self.context;
        let gateway = &context.gateway;
        let now = gateway.now();
        self.progress_at = now;
        self.fail_over = None;
        self.held = None;
        if let Some(last_event_at) = self.context.last_event_at.replace(Some(now)) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(last_event_at));
        }
        if self.first_event_ms.is_some() {
            return;
        }
        self.first_event_ms = Some(context.age().as_millis() as u64);
        gateway
            .metrics
            .observe_latency(context.route.kind, "first_event", context.age());
        if let Some(run) = &self.active
            && let GenerationPlace::Engine(engine) = &run.started.place
        {
            gateway
                .load_balancer
                .borrow_mut()
                .on_success(now, &engine.call.server.id);
        }
    }

    /// Reads from the engine's response.
    ///
    /// Only complete events count as progress. Data that has already arrived is still read after
    /// the request has timed out.
    async fn read(&mut self) -> ReadOutcome {
        let Some(run) = &mut self.active else {
            return ReadOutcome::End;
        };
        let idle_limit = self
            .context
            .route
            .client_timeout()
            .mul_f64(IDLE_LIMIT_FRACTION);
        let idle = self.context.gateway.now().saturating_sub(self.progress_at);
        let wait = idle_limit
            .saturating_sub(idle)
            .min(self.context.time_left());
        let frame = run.started.response.body.frame();
        let mut frame = std::pin::pin!(frame);
        let read = match timeout(wait, frame.as_mut()).await {
            Ok(read) => Ok(read),
            // If the whole process was delayed, the connection's task has not read the data yet.
            Err(_) if self.context.time_left().is_zero() => timeout(LATE_READ_LIMIT, frame).await,
            Err(_) => match &run.started.place {
                GenerationPlace::Engine(engine) => {
                    let fail_over = self.fail_over.get_or_insert_with(|| {
                        let context = Rc::clone(&self.context);
                        let attempts = self.attempts.clone();
                        let engine = engine.call.server.id.clone();
                        async move { attempts.wait_for_fail_over(&context, &engine).await }
                            .boxed_local()
                    });
                    tokio::select! {
                        biased;
                        read = timeout(self.context.time_left(), frame) => read,
                        unresponsive = fail_over => {
                            self.attempts.excluded_engines.extend(unresponsive);
                            return ReadOutcome::Unresponsive;
                        }
                    }
                }
                // The other instance decides when a stream leaves an unresponsive engine.
                GenerationPlace::Instance { .. } => timeout(self.context.time_left(), frame).await,
            },
        };
        // Whether the stream had already sent its last event cannot be derived from a response
        // without any.
        let lacks_event = self.events > 0 && !run.has_event;
        match read {
            Err(_) => ReadOutcome::TimedOut,
            Ok(None) if run.splitter.is_inside_event() => {
                ReadOutcome::Failed("ended inside an event")
            }
            Ok(None) => match &run.started.place {
                GenerationPlace::Engine(_) if lacks_event => {
                    ReadOutcome::Failed("no event of the stream")
                }
                GenerationPlace::Engine(_) => {
                    let guard = &run.started.response.guard;
                    let limit = self.context.client_timeout_left();
                    match guard.is_declared_end(!run.has_event, limit).await {
                        true => ReadOutcome::End,
                        false => ReadOutcome::Failed("undeclared end"),
                    }
                }
                GenerationPlace::Instance { .. } => match run.stated_end.take() {
                    Some(StreamEnd::Complete) if lacks_event => {
                        ReadOutcome::Failed("no event of the stream")
                    }
                    Some(StreamEnd::Complete) => ReadOutcome::End,
                    Some(StreamEnd::BrokenOff) => ReadOutcome::BrokenOff,
                    Some(StreamEnd::TimedOut) => ReadOutcome::TimedOut,
                    None => ReadOutcome::Failed("undeclared end"),
                },
            },
            Ok(Some(Err(error))) => ReadOutcome::Failed(failure_cause(&error)),
            Ok(Some(Ok(frame))) => {
                let end = frame.trailers_ref().and_then(StreamEnd::from_trailers);
                run.stated_end = end;
                ReadOutcome::Bytes(frame.into_data().unwrap_or_default())
            }
        }
    }

    /// Resumes the stream at another engine after the last event, if that is allowed; `hold` states
    /// whether the run so far is held.
    async fn resume(&mut self, cause: &'static str, hold: bool) -> Result<(), GenerationError> {
        self.fail_over = None;
        let Some(run) = self.active.take() else {
            let refusal = self.attempts.refusal(RefusalReason::NoBackend);
            return Err(GenerationError::Refused(refusal));
        };
        let engine = run.started.place.name().clone();
        let context = Rc::clone(&self.context);
        let gateway = &context.gateway;
        info!(gateway.log, "stream broken"; "request" => %context.client.id, "server" => %engine,
            "cause" => cause, "framing" => self.framing.as_str(),
            "rest_bytes" => run.splitter.rest_len(), "last_event" => self.last_event,
            "events" => self.events, "age_ms" => context.age().as_millis() as u64);
        let failure = CallFailure::CLOSED;
        let delivered = self.events > 0;
        let (decision, is_uncertain) = match &run.started.place {
            GenerationPlace::Engine(engine_run) => {
                let progress = match run.has_event {
                    true => RunProgress::Begun,
                    false => RunProgress::NotBegun,
                };
                let server = &engine_run.call.server;
                probe_for_crash(
                    &context,
                    server,
                    run.started.response.guard.sent_at,
                    progress,
                );
                let mut load_balancer = gateway.load_balancer.borrow_mut();
                load_balancer.on_failure(gateway.now(), &engine);
                // The engine may have been started again with another version before this call
                // reached it.
                let listed_version = load_balancer.version_of(&engine);
                drop(load_balancer);
                let decision = self
                    .attempts
                    .on_failure(&context, &engine, failure, delivered);
                let is_uncertain =
                    listed_version.is_some_and(|listed| listed != server.version_key);
                (decision, is_uncertain)
            }
            GenerationPlace::Instance { possible_runs, .. } => {
                gateway.metrics.count_forward(ForwardEvent::Lost);
                let runs = context.possible_runs.get() + 1;
                let runs = runs.max(*possible_runs);
                let decision = self
                    .attempts
                    .on_instance_lost(&context, &engine, failure, runs, delivered);
                (decision, false)
            }
        };
        // The engine must stop before another one continues, unless it is unresponsive.
        match hold && delivered {
            true => self.held = Some(HeldRun::new(run)),
            false => drop(run),
        }
        let resumed = match decision {
            // Without the identifier of an event, the next engine would begin anew.
            Ok(()) if delivered && (is_uncertain || self.last_event.is_none()) => {
                let refusal = self.attempts.refusal(RefusalReason::BackendFailedMidway);
                Err(GenerationError::Refused(refusal))
            }
            Ok(()) => start(&context, &mut self.attempts, self.last_event).await,
            Err(refusal) => Err(GenerationError::Refused(refusal)),
        };
        match resumed {
            Ok(mut started) => {
                info!(gateway.log, "stream resumed"; "request" => %context.client.id,
                    "server" => %started.place.name(), "last_event" => self.last_event,
                    "version" => started.place.version_key());
                if !delivered {
                    self.head = started.response.take_head();
                }
                self.progress_at = gateway.now();
                let mut run = RelayedRun::new(started, delivered);
                if delivered && !may_hold_events(&run.started.response.parts.headers) {
                    run.data_error = Some("other media type");
                }
                self.activate(run);
                context.open.on_response();
                Ok(())
            }
            Err(failure) => {
                let reason = match &failure {
                    GenerationError::Refused(refusal) => refusal.reason.as_str(),
                    GenerationError::ErrorResponse(_) => "engine failed",
                };
                info!(gateway.log, "stream not resumed"; "request" => %context.client.id,
                    "reason" => reason);
                Err(failure)
            }
        }
    }

    /// Goes back to the engine that the stream left as unresponsive; returns whether its run is still
    /// held.
    fn go_back(&mut self) -> bool {
        let Some(run) = self.held.take().and_then(HeldRun::take) else {
            return false;
        };
        let context = &self.context;
        info!(context.gateway.log, "stream goes back"; "request" => %context.client.id,
            "server" => %run.started.place.name(), "last_event" => self.last_event);
        self.activate(run);
        true
    }

    /// Reads from a run from now on.
    fn activate(&mut self, run: RelayedRun) {
        self.framing = run.started.response.framing;
        self.active = Some(run);
    }

    /// Records the end of the stream; `rest_bytes` of it belong to no complete event.
    fn on_end(&mut self, outcome: &'static str, rest_bytes: usize) {
        self.finished = true;
        let context = &self.context;
        debug!(context.gateway.log, "stream ended"; "request" => %context.client.id,
            "route" => %context.route.name, "outcome" => outcome, "events" => self.events,
            "framing" => self.framing.as_str(), "rest_bytes" => rest_bytes,
            "first_event_ms" => self.first_event_ms,
            "longest_pause_ms" => self.longest_pause.as_millis() as u64,
            "age_ms" => context.age().as_millis() as u64);
    }
}

/// Returns whether a body is a stream of events, as far as the head of its response tells.
fn may_hold_events(headers: &HeaderMap) -> bool {
    let media_type = headers.get(header::CONTENT_TYPE);
    media_type.is_none_or(|value| value.as_bytes().starts_with(EVENT_STREAM))
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let context = &self.context;
        context.gateway.metrics.count_client_left();
        info!(context.gateway.log, "client left"; "request" => %context.client.id,
            "route" => %context.route.name, "events" => self.events,
            "age_ms" => context.age().as_millis() as u64);
    }
}
