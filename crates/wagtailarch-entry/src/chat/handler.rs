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
    generation::{GenerationEvent, GenerationJob, estimate_tokens, run_generation},
    render::Renderer,
};
use crate::{
    attempts::{Attempts, Target},
    body::{BodyError, BufferedBody, ClientBody, full},
    metrics::Metrics,
    refusal::Refusal,
    request::RequestContext,
    snapshot::may_call,
};

/// Responds to a completion call.
pub async fn complete(
    context: RequestContext,
    api: Api,
    body: &mut Incoming,
) -> Result<Response<ClientBody>, Refusal> {
    let shared = context.shared.clone();
    let buffered = shared.body_reader.read(body).await?;
    let call = parse_call(api, &buffered.bytes, shared.settings.limits.max_tokens)?;
    let job = admit_generation(context, call, buffered)?;
    let context = job.attempts.context().clone();
    let stream = job.client_call.stream;
    let renderer = Renderer::new(&job.client_call, &context.id_text, unix_time_s());
    let (sender, mut events) = mpsc::channel(shared.settings.limits.client_buffer_frames);
    tokio::spawn(run_generation(job, sender));
    // The response head is sent after the first event, so that a refusal gets its own status code.
    let first = next_event(&mut events).await?;
    Metrics::observe(&shared.metrics.first_token, context.received.elapsed());
    if stream {
        Ok(stream_response(context, renderer, first, events))
    } else {
        full_response(&context, &renderer, first, events).await
    }
}

/// Responds to `GET /v1/models` with the model services that the team may call.
pub fn models(context: &RequestContext) -> Response<ClientBody> {
    let mut data = Vec::new();
    for service in context.snapshot.callable_models(context.team()) {
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

/// Finds the service and the group of a call and requests its admission.
fn admit_generation(
    context: RequestContext,
    client_call: CompletionCall,
    buffered: BufferedBody,
) -> Result<GenerationJob, Refusal> {
    let unknown_model = || {
        let message = format!("the model {:?} does not exist", client_call.model);
        Refusal::new(RefusalReason::UnknownModel, message)
    };
    let service = context
        .snapshot
        .model_service(&client_call.service)
        .ok_or_else(unknown_model)?;
    if !may_call(context.team(), &service.name) {
        let message = format!("the team may not call {:?}", client_call.service);
        return Err(Refusal::new(RefusalReason::ForbiddenService, message));
    }
    let group = context
        .snapshot
        .group(&service.group)
        .ok_or_else(unknown_model)?;
    if client_call
        .adapter
        .as_deref()
        .is_some_and(|name| !group.adapters.iter().any(|a| a == name))
    {
        return Err(unknown_model());
    }
    let target = Target {
        service: service.name.clone(),
        group: group.name.clone(),
        idempotent: true,
        resumable: true,
    };
    let group = group.clone();
    let attempts = Attempts::new(context, target, "generation", &buffered.bytes)?;
    let admitted = attempts.admit(estimate_tokens(&client_call.prompt), client_call.max_tokens)?;
    Ok(GenerationJob {
        attempts,
        admitted,
        client_call,
        _memory: buffered.memory,
        group,
    })
}

/// Returns the next event; an event that ends the response with a refusal becomes an error.
async fn next_event(
    events: &mut mpsc::Receiver<GenerationEvent>,
) -> Result<GenerationEvent, Refusal> {
    match events.recv().await {
        Some(GenerationEvent::Failed(refusal)) => Err(refusal),
        Some(event) => Ok(event),
        None => Err(
            Refusal::new(RefusalReason::BackendFailedMidway, "the answer was lost")
                .ran(Ran::Unknown),
        ),
    }
}

/// Collects all events of a generation into a response that is not streamed.
async fn full_response(
    context: &RequestContext,
    renderer: &Renderer,
    first: GenerationEvent,
    mut events: mpsc::Receiver<GenerationEvent>,
) -> Result<Response<ClientBody>, Refusal> {
    let mut text = String::new();
    let mut event = first;
    loop {
        match event {
            GenerationEvent::Text(part) => text.push_str(&part),
            GenerationEvent::Complete(summary) => {
                context.shared.metrics.completed.inc();
                return Ok(json_response(renderer.full_response(&text, &summary)));
            }
            GenerationEvent::Failed(refusal) => return Err(refusal),
        }
        event = next_event(&mut events).await?;
    }
}

/// Events of a streamed response that are still to be sent.
struct ResponseStream {
    context: RequestContext,
    renderer: Renderer,
    /// The first event, which was received before the response began.
    first: Option<GenerationEvent>,
    events: mpsc::Receiver<GenerationEvent>,
    /// Whether the last event was sent.
    finished: bool,
}

impl ResponseStream {
    /// Returns the next part of the response body.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.finished {
            return None;
        }
        let event = match self.first.take() {
            Some(first) => Some(first),
            None => self.events.recv().await,
        };
        let bytes = match event {
            Some(GenerationEvent::Text(text)) => self.renderer.text_chunk(&text),
            Some(GenerationEvent::Complete(summary)) => {
                self.finished = true;
                self.context.shared.metrics.completed.inc();
                self.renderer.last_chunks(&summary)
            }
            Some(GenerationEvent::Failed(refusal)) => {
                self.finished = true;
                self.context
                    .shared
                    .metrics
                    .outcomes
                    .count_refusal(refusal.reason);
                self.renderer.error_event(&refusal)
            }
            None => {
                self.finished = true;
                return Some(Err("the answer was lost".into()));
            }
        };
        Some(Ok(Frame::data(bytes)))
    }
}

/// Creates a streamed response, which starts with the event `first`.
fn stream_response(
    context: RequestContext,
    renderer: Renderer,
    first: GenerationEvent,
    events: mpsc::Receiver<GenerationEvent>,
) -> Response<ClientBody> {
    let first_chunk = renderer.first_chunk().map(|bytes| Ok(Frame::data(bytes)));
    let state = ResponseStream {
        context,
        renderer,
        first: Some(first),
        events,
        finished: false,
    };
    let chunks = stream::unfold(state, |mut state| async move {
        state.next().await.map(|item| (item, state))
    });
    let body = StreamBody::new(stream::iter(first_chunk).chain(chunks));
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
