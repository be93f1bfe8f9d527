//! One generation over all its attempts.

use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;
use wagtailarch_types::{AttemptNo, Phase, Ran, RefusalReason};
use wagtailarch_wire::engine::{Finish, GenerateRequest, Usage};

use super::api::CompletionCall;
use crate::{refusal::Refusal, request::RequestContext};

/// A generation to run.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub context: RequestContext,
    /// The call.
    pub call: CompletionCall,
    /// Group of the engines.
    pub group: wagtailarch_fleet::Group,
}

/// What a client receives.
#[derive(Debug)]
pub enum Event {
    /// Text of the next token.
    Text(String),
    /// The answer is complete.
    Done(Done),
    /// The answer cannot be completed.
    Failed(Refusal),
}

/// End of a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Done {
    /// Why the answer ended.
    pub finish: Finish,
    /// Token counts.
    pub usage: Usage,
}

/// Runs a generation and sends its events; ends early when the receiver is gone.
pub async fn run_generation(job: Job, events: mpsc::Sender<Event>) {
    let shared = Arc::clone(&job.context.shared);
    let Some(pick) = shared.router.pick(&job.group.name, Some(Phase::Full), &[]) else {
        let refusal = Refusal::not_run(RefusalReason::NoBackend, "no engine can serve the request")
            .retry_after(Duration::from_secs(1))
            .with_jitter(job.context.id);
        let _ = events.send(Event::Failed(refusal)).await;
        return;
    };
    let attempt: AttemptNo = 1;
    let outcome = tokio::select! {
        outcome = run_attempt(&job, attempt, &pick.address, &events) => outcome,
        () = tokio::time::sleep_until(job.context.deadline.into()) => {
            let refusal = job.context.too_late(Ran::Unknown);
            let _ = events.send(Event::Failed(refusal)).await;
            return;
        }
        () = events.closed() => {
            shared.metrics.client_gone.inc();
            shared.metrics.cancels.inc();
            let _ = shared.engines.cancel(&pick.address, &job.context.id_text, attempt).await;
            return;
        }
    };
    let last = match outcome {
        Ok(done) => Event::Done(done),
        Err(message) => Event::Failed(
            Refusal::not_run(RefusalReason::AttemptsExhausted, message).ran(Ran::Unknown),
        ),
    };
    let _ = events.send(last).await;
}

async fn run_attempt(
    job: &Job,
    attempt: AttemptNo,
    address: &str,
    events: &mpsc::Sender<Event>,
) -> Result<Done, String> {
    let request = generate_request(job, attempt);
    let stream = job.context.shared.engines.generate(address, &request).await;
    let mut stream = stream.map_err(|error| error.to_string())?;
    let mut index = 0;
    while let Some(frame) = stream.next().await.map_err(|error| error.to_string())? {
        if frame.request != request.request || frame.attempt != attempt || frame.index != index {
            job.context.shared.metrics.dropped_frame("other_request");
            continue;
        }
        index += 1;
        if !frame.text.is_empty() && events.send(Event::Text(frame.text)).await.is_err() {
            return Err("the client is gone".into());
        }
        if let Some(finish) = frame.finish {
            return Ok(Done {
                finish,
                usage: frame.usage.unwrap_or_default(),
            });
        }
    }
    Err("the stream ended early".into())
}

fn generate_request(job: &Job, attempt: AttemptNo) -> GenerateRequest {
    let context = &job.context;
    GenerateRequest {
        request: context.id_text.clone(),
        attempt,
        group: job.group.name.clone(),
        model: job.group.model.clone().unwrap_or_default(),
        version: job.group.version.clone().unwrap_or_default(),
        adapter: job.call.adapter.as_deref().map(Into::into),
        prompt: job.call.prompt.clone(),
        emitted: String::new(),
        from_index: 0,
        max_tokens: job.call.max_tokens,
        priority: context.priority,
        phase: Phase::Full,
        kv: None,
        deadline_ms: Some(context.time_left().as_millis() as u64),
    }
}
