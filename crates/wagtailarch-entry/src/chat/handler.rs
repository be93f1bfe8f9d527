//! Handlers of the completion calls.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::json;
use tokio::sync::mpsc;
use wagtailarch_types::{Ran, RefusalReason};

use super::{
    api::{Api, CompletionCall, parse_call},
    generation::{Event, Job, estimate_tokens, run_generation},
    render::Renderer,
};
use crate::{
    attempts::{Attempts, Target},
    body::{BodyError, ClientBody, HeldBody, full},
    metrics::Metrics,
    refusal::Refusal,
    request::RequestContext,
    snapshot::may_call,
};

/// Answers a completion call.
pub async fn complete(
    context: RequestContext,
    api: Api,
    body: Incoming,
) -> Result<Response<ClientBody>, Refusal> {
    let shared = context.shared.clone();
    let held = shared.bodies.read(body).await?;
    let call = parse_call(api, &held.bytes, shared.settings.limits.max_tokens)?;
    let job = job(context, call, held)?;
    let context = job.attempts.context().clone();
    let stream = job.call.stream;
    let renderer = Renderer::new(&job.call, &context.id_text, unix_time_s());
    let (sender, mut events) = mpsc::channel(shared.settings.limits.client_buffer_frames);
    tokio::spawn(run_generation(job, sender));
    // The status line is decided by the first event, so that a refusal keeps its own status.
    let first = next(&mut events).await?;
    Metrics::observe(&shared.metrics.first_token, context.received.elapsed());
    if stream {
        Ok(streamed(context, renderer, first, events))
    } else {
        whole(&context, &renderer, first, events).await
    }
}

/// Answers `GET /v1/models` with the model services that the team may call.
pub fn models(context: &RequestContext) -> Response<ClientBody> {
    let mut data = Vec::new();
    for service in context.snapshot.models_of(context.team()) {
        data.push(model(&service.name));
        let adapters = context
            .snapshot
            .group(&service.group)
            .map(|group| &group.adapters);
        for adapter in adapters.into_iter().flatten() {
            data.push(model(&format!("{}:{adapter}", service.name)));
        }
    }
    json_response(json!({"object": "list", "data": data}).to_string().into())
}

fn model(id: &str) -> serde_json::Value {
    json!({"id": id, "object": "model", "created": 0, "owned_by": "wagtailarch"})
}

/// Finds the service and group of a call.
fn job(context: RequestContext, call: CompletionCall, held: HeldBody) -> Result<Job, Refusal> {
    let unknown = || {
        let message = format!("the model {:?} does not exist", call.model);
        Refusal::not_run(RefusalReason::UnknownModel, message)
    };
    let service = context
        .snapshot
        .model_service(&call.service)
        .ok_or_else(unknown)?;
    if !may_call(context.team(), &service.name) {
        let message = format!("the team may not call {:?}", call.service);
        return Err(Refusal::not_run(RefusalReason::ForbiddenService, message));
    }
    let group = context.snapshot.group(&service.group).ok_or_else(unknown)?;
    if call
        .adapter
        .as_deref()
        .is_some_and(|name| !group.adapters.iter().any(|a| a == name))
    {
        return Err(unknown());
    }
    let target = Target {
        service: service.name.clone(),
        group: group.name.clone(),
        idempotent: true,
        resumable: true,
    };
    let group = group.clone();
    let attempts = Attempts::new(context, target, "generation", &held.bytes)?;
    let admitted = attempts.admit(estimate_tokens(&call.prompt), call.max_tokens)?;
    Ok(Job {
        attempts,
        admitted,
        call,
        _memory: held.memory,
        group,
    })
}

async fn next(events: &mut mpsc::Receiver<Event>) -> Result<Event, Refusal> {
    match events.recv().await {
        Some(Event::Failed(refusal)) => Err(refusal),
        Some(event) => Ok(event),
        None => Err(
            Refusal::not_run(RefusalReason::BackendFailedMidway, "the answer was lost")
                .ran(Ran::Unknown),
        ),
    }
}

async fn whole(
    context: &RequestContext,
    renderer: &Renderer,
    first: Event,
    mut events: mpsc::Receiver<Event>,
) -> Result<Response<ClientBody>, Refusal> {
    let mut text = String::new();
    let mut event = first;
    loop {
        match event {
            Event::Text(part) => text.push_str(&part),
            Event::Done(done) => {
                context.shared.metrics.completed.inc();
                return Ok(json_response(renderer.whole(&text, &done)));
            }
            Event::Failed(refusal) => return Err(refusal),
        }
        event = next(&mut events).await?;
    }
}

/// Events of a streamed answer that are not yet sent.
struct Streamed {
    context: RequestContext,
    renderer: Renderer,
    first: Option<Event>,
    events: mpsc::Receiver<Event>,
    ended: bool,
}

impl Streamed {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.ended {
            return None;
        }
        let event = match self.first.take() {
            Some(first) => Some(first),
            None => self.events.recv().await,
        };
        let bytes = match event {
            Some(Event::Text(text)) => self.renderer.text(&text),
            Some(Event::Done(done)) => {
                self.ended = true;
                self.context.shared.metrics.completed.inc();
                self.renderer.closing(&done)
            }
            Some(Event::Failed(refusal)) => {
                self.ended = true;
                self.context
                    .shared
                    .metrics
                    .outcomes
                    .count_refusal(refusal.reason);
                self.renderer.failure(&refusal)
            }
            None => {
                self.ended = true;
                return Some(Err("the answer was lost".into()));
            }
        };
        Some(Ok(Frame::data(bytes)))
    }
}

fn streamed(
    context: RequestContext,
    renderer: Renderer,
    first: Event,
    events: mpsc::Receiver<Event>,
) -> Response<ClientBody> {
    let opening = renderer.opening().map(|bytes| Ok(Frame::data(bytes)));
    let state = Streamed {
        context,
        renderer,
        first: Some(first),
        events,
        ended: false,
    };
    let rest = stream::unfold(state, |mut state| async move {
        state.next().await.map(|item| (item, state))
    });
    let body = StreamBody::new(stream::iter(opening).chain(rest));
    let mut response = Response::new(BodyExt::boxed_unsync(body));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

fn json_response(body: Bytes) -> Response<ClientBody> {
    let mut response = Response::new(full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn unix_time_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}
