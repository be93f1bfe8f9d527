//! Passing on the events of a stream, and going on at another engine when one fails.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::Response;
use http_body_util::BodyExt;
use slog::{debug, info};
use tokio::{task::yield_now, time::timeout};
use wagtailarch_types::{Ran, RefusalReason};

use crate::{
    answer_body::{AnswerBody, BodyError},
    attempts::Attempts,
    backend_client::{CallFailure, suspect_crash},
    event_splitter::{EventSplitter, EventTooLong},
    generation::{StartFailure, Started, start},
    job::Job,
    refusal::{Refusal, SOON},
};

/// Part of the pause after which clients leave a stream, after which one that may be resumed is taken
/// to another engine.
///
/// The rest of the pause is left for the other engine. How long a sound stream pauses follows from the
/// route, as the clients' patience does.
const SILENCE_SHARE: f64 = 0.6;

/// Time in which the task of a connection hands over what has arrived, after the time for a request is
/// over.
const HAND_OVER: Duration = Duration::from_millis(20);

/// A stream on its way to the client.
struct Relay {
    /// Head for the client; that of the engine that sends the first event.
    head: Response<()>,
    job: Rc<Job>,
    attempts: Attempts,
    /// The engine's answer; absent after its end.
    live: Option<Started>,
    splitter: EventSplitter,
    /// Number of the last event that was passed on.
    last_event: Option<u64>,
    events: u64,
    first_event_ms: Option<u64>,
    /// When the last event was passed on.
    last_at: Option<Duration>,
    /// Longest pause between two events.
    longest_pause: Duration,
    /// When the present engine last sent a whole event, or took the stream over.
    progress_at: Duration,
    /// Why what the engine sent after the last event is no stream.
    fault: Option<&'static str>,
    finished: bool,
}

/// What the engine's answer holds next.
enum Next {
    Bytes(Bytes),
    End,
    Broken(&'static str),
    TimedOut,
}

/// Waits for the first events and builds the answer to the client.
///
/// Until then nothing is sent, so that a stream that fails before its first event has an answer that
/// tells whether it ran.
pub async fn respond(
    job: Rc<Job>,
    attempts: Attempts,
    mut started: Started,
) -> Result<Response<AnswerBody>, StartFailure> {
    let last_event = job.client.resume_after;
    let progress_at = job.gateway.now();
    let mut relay = Relay {
        head: started.answer.take_head(),
        job,
        attempts,
        live: Some(started),
        splitter: EventSplitter::default(),
        last_event,
        events: 0,
        first_event_ms: None,
        last_at: None,
        longest_pause: Duration::ZERO,
        progress_at,
        fault: None,
        finished: false,
    };
    let first = relay.next_piece().await.transpose()?;
    let head = std::mem::take(&mut relay.head);
    let rest = stream::unfold(relay, |mut relay| async move {
        let piece = relay.next_piece().await?;
        if piece.is_err() {
            // The server drops what it has not written when a body fails without a pause before.
            yield_now().await;
        }
        Some((piece.map_err(BodyError::from), relay))
    });
    let pieces = stream::iter(first.map(Ok)).chain(rest);
    Ok(head.map(|()| AnswerBody::pieces(pieces.boxed_local())))
}

impl From<StartFailure> for BodyError {
    /// Tells why a stream that has begun ends early.
    fn from(failure: StartFailure) -> Self {
        match failure {
            StartFailure::Refused(refusal)
                if refusal.reason == RefusalReason::DeadlineUnreachable =>
            {
                Self::TimedOut
            }
            StartFailure::Refused(_) | StartFailure::Answered(_) => Self::BrokenOff,
        }
    }
}

impl Relay {
    /// Returns the next bytes for the client; `None` after the end of the stream.
    async fn next_piece(&mut self) -> Option<Result<Bytes, StartFailure>> {
        loop {
            let next = match self.take_events() {
                Ok(Some(piece)) => return Some(Ok(piece)),
                Ok(None) => self.read().await,
                Err(cause) => Next::Broken(cause),
            };
            match next {
                Next::Bytes(bytes) => self.splitter.push(&bytes),
                Next::End => {
                    self.live.take()?;
                    let rest = self.splitter.take_rest();
                    let job = &self.job;
                    job.gateway.quarantine.on_completed(job.fingerprint);
                    self.on_end("complete");
                    if !rest.is_empty() {
                        return Some(Ok(rest));
                    }
                    return None;
                }
                Next::Broken(cause) => {
                    if let Err(failure) = self.resume(cause).await {
                        self.on_end("broken off");
                        return Some(Err(failure));
                    }
                }
                Next::TimedOut => {
                    self.live = None;
                    self.on_end("timed out");
                    let refusal = Refusal {
                        reason: RefusalReason::DeadlineUnreachable,
                        ran: Ran::Unknown,
                        retry_after: SOON,
                    };
                    return Some(Err(StartFailure::Refused(refusal)));
                }
            }
        }
    }

    /// Takes all whole events that follow the last one passed on; fails if the bytes are no events.
    fn take_events(&mut self) -> Result<Option<Bytes>, &'static str> {
        if let Some(fault) = self.fault.take() {
            return Err(fault);
        }
        let mut pieces: Vec<Bytes> = Vec::new();
        let fault = loop {
            let event = match self.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break None,
                Err(EventTooLong) => break Some("event too long"),
            };
            // After a resumption an engine may send events again.
            if event.id.is_some() && event.id <= self.last_event {
                continue;
            }
            if self.events >= self.job.max_events() {
                break Some("too many events");
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            pieces.push(event.bytes);
        };
        if pieces.is_empty() {
            return fault.map_or(Ok(None), Err);
        }
        self.fault = fault;
        self.on_events();
        Ok(match pieces.len() {
            1 => pieces.pop(),
            _ => Some(pieces.concat().into()),
        })
    }

    fn on_events(&mut self) {
        // The first event shows that the prompt has been read.
        let reading = self.live.as_mut().and_then(|live| live.reading.take());
        if let Some(reading) = reading {
            reading.finish();
        }
        let job = &self.job;
        let gateway = &job.gateway;
        let now = gateway.now();
        self.progress_at = now;
        if let Some(last_at) = self.last_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(last_at));
        }
        if self.first_event_ms.is_some() {
            return;
        }
        self.first_event_ms = Some(job.age().as_millis() as u64);
        gateway
            .metrics
            .latency(job.route.kind, "first_event", job.age());
        if let Some(live) = &self.live {
            gateway
                .board
                .borrow_mut()
                .on_success(now, &live.call.server.id);
        }
    }

    /// Reads from the engine's answer.
    ///
    /// Only whole events count as progress. Bytes that have arrived are taken also after the time for
    /// the request is over.
    async fn read(&mut self) -> Next {
        let Some(live) = &mut self.live else {
            return Next::End;
        };
        let silence = self.job.route.patience().mul_f64(SILENCE_SHARE);
        let silent = self.job.gateway.now().saturating_sub(self.progress_at);
        let wait = silence.saturating_sub(silent).min(self.job.time_left());
        let frame = live.answer.body.frame();
        let mut frame = std::pin::pin!(frame);
        let read = match timeout(wait, frame.as_mut()).await {
            Ok(read) => Ok(read),
            // After a pause of the process the connection's task has not read yet.
            Err(_) if self.job.time_left().is_zero() => timeout(HAND_OVER, frame).await,
            Err(_) if self.attempts.may_move(&self.job, &live.call.server.id) => {
                return Next::Broken("silent");
            }
            Err(_) => timeout(self.job.time_left(), frame).await,
        };
        match read {
            Err(_) => Next::TimedOut,
            Ok(None) => Next::End,
            Ok(Some(Err(_))) => Next::Broken("connection failed"),
            Ok(Some(Ok(frame))) => Next::Bytes(frame.into_data().unwrap_or_default()),
        }
    }

    /// Goes on at another engine after the last event, if the stream may be resumed.
    async fn resume(&mut self, cause: &'static str) -> Result<(), StartFailure> {
        // The first engine has to stop before another one goes on.
        let Some(live) = self.live.take() else {
            let refusal = self.attempts.refusal(RefusalReason::NoBackend);
            return Err(StartFailure::Refused(refusal));
        };
        suspect_crash(&self.job, &live.call.server);
        let engine = live.call.server.id.clone();
        drop(live);
        let _ = self.splitter.take_rest();
        let job = Rc::clone(&self.job);
        let gateway = &job.gateway;
        gateway
            .board
            .borrow_mut()
            .on_failure(gateway.now(), &engine);
        info!(gateway.log, "stream broken"; "request" => %job.client.id, "server" => %engine,
            "cause" => cause, "last_event" => self.last_event, "events" => self.events,
            "age_ms" => job.age().as_millis() as u64);
        let failure = CallFailure::CLOSED;
        let delivered = self.events > 0;
        let decision = self.attempts.on_failure(&job, &engine, failure, delivered);
        let resumed = match decision {
            Ok(()) => start(&job, &mut self.attempts, self.last_event).await,
            Err(refusal) => Err(StartFailure::Refused(refusal)),
        };
        match resumed {
            Ok(mut started) => {
                info!(gateway.log, "stream resumed"; "request" => %job.client.id,
                    "server" => %started.call.server.id, "last_event" => self.last_event);
                if !delivered {
                    self.head = started.answer.take_head();
                }
                self.progress_at = gateway.now();
                self.live = Some(started);
                Ok(())
            }
            Err(failure) => {
                let reason = match &failure {
                    StartFailure::Refused(refusal) => refusal.reason.as_str(),
                    StartFailure::Answered(_) => "engine failed",
                };
                info!(gateway.log, "stream not resumed"; "request" => %job.client.id,
                    "reason" => reason);
                Err(failure)
            }
        }
    }

    fn on_end(&mut self, outcome: &'static str) {
        self.finished = true;
        let job = &self.job;
        debug!(job.gateway.log, "stream ended"; "request" => %job.client.id,
            "route" => %job.route.name, "outcome" => outcome, "events" => self.events,
            "first_event_ms" => self.first_event_ms,
            "longest_pause_ms" => self.longest_pause.as_millis() as u64,
            "age_ms" => job.age().as_millis() as u64);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let job = &self.job;
        job.gateway.metrics.client_left();
        info!(job.gateway.log, "client left"; "request" => %job.client.id,
            "route" => %job.route.name, "events" => self.events,
            "age_ms" => job.age().as_millis() as u64);
    }
}
