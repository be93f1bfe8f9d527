//! Runs a generation to completion over one or more attempts.

use std::{sync::Arc, time::Duration};

use smol_str::SmolStr;
use tokio::{
    sync::{OwnedSemaphorePermit, mpsc},
    time::{Instant, timeout, timeout_at},
};
use wagtailarch_traffic::{
    Admitted, Assembler, DropReason, FrameOutcome, Selection, SelectionRequest, prefix_hashes,
};
use wagtailarch_types::{
    AttemptNo, BackendKind, Phase, Ran, RefusalReason, RetryReason, VersionName, ZoneName,
};
use wagtailarch_wire::engine::{EngineRefusalCode, FinishReason, GenerateRequest, KvSource, Usage};

use super::{api::CompletionCall, cancel::CancelOnDrop};
use crate::{
    attempts::Attempts,
    engine_client::{CallError, FrameError, FrameStream},
    metrics::Metrics,
    refusal::Refusal,
    settings::ms,
    shared::Shared,
};

/// Number of prompt bytes that count as one token in estimates.
const BYTES_PER_TOKEN: usize = 4;

/// A generation to run.
#[derive(Debug)]
pub struct GenerationJob {
    /// Attempts to serve the request.
    pub attempts: Attempts,
    /// Admission of the request, which counts it towards the load of its team and group.
    pub admitted: Admitted,
    /// Parsed call of the client.
    pub client_call: CompletionCall,
    /// Permits for the memory of the prompt.
    pub _memory: Option<OwnedSemaphorePermit>,
    /// Group of the engines that can serve the call.
    pub group: wagtailarch_fleet::Group,
}

/// Event of a generation that is sent to the client.
#[derive(Debug)]
pub enum GenerationEvent {
    /// Text of the next token.
    Text(String),
    /// The response is complete.
    Complete(GenerationSummary),
    /// The response cannot be completed.
    Failed(Refusal),
}

/// Finish reason and token counts of a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationSummary {
    /// Why the response ended.
    pub finish: FinishReason,
    /// Token counts.
    pub usage: Usage,
}

/// Returns the estimated number of tokens of a prompt.
pub fn estimate_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Runs a generation and sends its events; stops early when the receiver is dropped.
pub async fn run_generation(job: GenerationJob, events: mpsc::Sender<GenerationEvent>) {
    let context = job.attempts.context().clone();
    let metrics = &context.shared.metrics;
    let mut generation = RunningGeneration::new(job, events.clone());
    let result = tokio::select! {
        result = generation.run() => result,
        () = events.closed() => Err(AbortReason::ClientDisconnected),
        () = tokio::time::sleep_until(context.deadline.into()) => Err(AbortReason::DeadlinePassed),
    };
    let last_event = match result {
        Ok(summary) => GenerationEvent::Complete(summary),
        Err(AbortReason::Refused(refusal)) => GenerationEvent::Failed(refusal),
        Err(AbortReason::DeadlinePassed) => {
            GenerationEvent::Failed(context.deadline_refusal(generation.ran_so_far()))
        }
        Err(AbortReason::ClientDisconnected) => {
            metrics.client_gone.inc();
            return generation.finish();
        }
        Err(AbortReason::ClientStalled) => {
            metrics.client_stalled.inc();
            return generation.finish();
        }
    };
    generation.finish();
    // A client that has stopped reading must not block this task. Its connection is closed after
    // the same time.
    let stall_timeout = ms(context.shared.settings.timeouts.client_stall_ms);
    let _ = timeout(stall_timeout, events.send(last_event)).await;
}

/// Why a generation ended without its last token.
enum AbortReason {
    /// The request gets no further attempt and is refused.
    Refused(Refusal),
    /// The client disconnected.
    ClientDisconnected,
    /// The client stopped reading.
    ClientStalled,
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// How an attempt ended that did not complete the response.
enum AttemptEnd {
    /// The prefill is complete; its KV cache is ready for the decode engine.
    KvReady(KvSource, ZoneName),
    /// The attempt failed and another one may follow.
    Failed(RetryReason),
    /// The generation ends without another attempt.
    Aborted(AbortReason),
}

/// A running generation.
struct RunningGeneration {
    shared: Arc<Shared>,
    job: GenerationJob,
    events: mpsc::Sender<GenerationEvent>,
    assembler: Assembler,
    /// Hashes of the prompt's prefixes.
    prefixes: Vec<u64>,
    /// KV cache of a finished prefill and the zone of its engine.
    kv_cache: Option<(KvSource, ZoneName)>,
    /// Set once a KV cache could not be used; the decode engine then prefills the prompt itself.
    split_disabled: bool,
    /// Version of the last attempt's engine. Another version would continue the text differently,
    /// so one is selected only if no engine with this version can be.
    version: Option<VersionName>,
    /// Whether an attempt was sent to an engine.
    request_sent: bool,
}

impl RunningGeneration {
    fn new(job: GenerationJob, events: mpsc::Sender<GenerationEvent>) -> Self {
        let context = job.attempts.context();
        Self {
            shared: Arc::clone(&context.shared),
            assembler: Assembler::new(context.id),
            prefixes: prefix_hashes(&job.client_call.prompt),
            events,
            kv_cache: None,
            split_disabled: false,
            version: None,
            request_sent: false,
            job,
        }
    }

    /// Runs attempts until the response is complete or no further attempt may follow.
    async fn run(&mut self) -> Result<GenerationSummary, AbortReason> {
        loop {
            let (mut selection, phase) =
                self.select_engine().await.map_err(AbortReason::Refused)?;
            let guard = self.job.attempts.track(&selection);
            let failure = match self.run_attempt(&mut selection, phase).await {
                Ok(summary) => {
                    self.job.attempts.on_completed(&selection);
                    return Ok(summary);
                }
                Err(AttemptEnd::KvReady(source, zone)) => {
                    self.kv_cache = Some((source, zone));
                    continue;
                }
                Err(AttemptEnd::Aborted(reason)) => return Err(reason),
                Err(AttemptEnd::Failed(reason)) => reason,
            };
            if failure == RetryReason::KvImportFailed {
                self.split_disabled = true;
                self.kv_cache = None;
            }
            let delivered = self.assembler.next_index() > 0;
            let retry = self
                .job
                .attempts
                .on_failure(&selection, failure, guard, delivered)
                .await;
            retry.map_err(AbortReason::Refused)?;
        }
    }

    /// Selects an engine; preferably one with the version of the previous attempt, if that attempt
    /// left a KV cache or text was delivered.
    ///
    /// If there is none, the KV cache is discarded and an engine with any version is selected, even
    /// if the client has received a part of the text: the last resort before a refusal.
    async fn select_engine(&mut self) -> Result<(Selection, Phase), Refusal> {
        let request = self.selection_request();
        let phase = request.phase;
        let version_bound = request.version.is_some();
        match self.job.attempts.select(request).await {
            Err(_) if version_bound => {
                (self.kv_cache, self.version, self.split_disabled) = (None, None, true);
                let request = self.selection_request();
                let phase = request.phase;
                Ok((self.job.attempts.select(request).await?, phase))
            }
            result => result.map(|selection| (selection, phase)),
        }
    }

    /// Returns the requirements for the engine of the next attempt.
    fn selection_request(&self) -> SelectionRequest {
        let group = &self.job.group;
        let mut request = SelectionRequest {
            group: group.name.clone(),
            kind: BackendKind::Engine,
            phase: Phase::Full,
            model: group.model.clone(),
            version: None,
            adapter: self.job.client_call.adapter.as_deref().map(Into::into),
            prefix_hashes: self.prefixes.clone(),
            prompt_tokens: estimate_tokens(&self.job.client_call.prompt),
            preferred_zone: None,
            excluded: Vec::new(),
            suspect: false,
            backends_with_suspects: Vec::new(),
        };
        if self.kv_cache.is_some() || self.assembler.next_index() > 0 {
            request.version.clone_from(&self.version);
        }
        if self.split_disabled || self.assembler.next_index() > 0 {
            return request;
        }
        match &self.kv_cache {
            Some((_, zone)) => {
                request.phase = Phase::Decode;
                request.preferred_zone = Some(zone.clone());
                request.prompt_tokens = 0;
            }
            None if self.shared.router.should_split(&request) => request.phase = Phase::Prefill,
            None => {}
        }
        request
    }

    /// Runs one attempt on the selected engine.
    async fn run_attempt(
        &mut self,
        selection: &mut Selection,
        phase: Phase,
    ) -> Result<GenerationSummary, AttemptEnd> {
        let attempt = self.assembler.start_attempt();
        let engine_request = self.generate_request(attempt, phase, selection);
        self.version = Some(engine_request.version.clone());
        let started = Instant::now();
        if !self.request_sent {
            self.request_sent = true;
            let received = self.job.attempts.context().received;
            Metrics::observe(&self.shared.metrics.added_latency, received.elapsed());
        }
        let mut cancel = CancelOnDrop::new(
            &self.shared,
            &selection.address,
            &engine_request.request,
            attempt,
        );
        let first_token_timeout = ms(self.shared.settings.timeouts.first_token_ms);
        let generate = self
            .shared
            .engine_client
            .generate(&selection.address, &engine_request);
        let stream = timeout_at(started + first_token_timeout, generate).await;
        let mut stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                cancel.disarm();
                return Err(self.on_call_failure(selection, &error));
            }
            Err(_) => return Err(AttemptEnd::Failed(RetryReason::FirstTokenTimeout)),
        };
        let end = self
            .read_frames(selection, &mut stream, started + first_token_timeout)
            .await;
        if matches!(end, Ok(_) | Err(AttemptEnd::KvReady(..))) {
            cancel.disarm();
            tokio::spawn(read_to_end(stream));
        }
        end
    }

    /// Processes the frames of one attempt and delivers their text.
    ///
    /// The first accepted frame must arrive before `first_frame_deadline`.
    async fn read_frames(
        &mut self,
        selection: &mut Selection,
        stream: &mut FrameStream,
        first_frame_deadline: Instant,
    ) -> Result<GenerationSummary, AttemptEnd> {
        let frame_timeout = ms(self.shared.settings.timeouts.frame_ms);
        let mut deadline = first_frame_deadline;
        let mut progress = AttemptProgress::default();
        loop {
            let frame = match timeout_at(deadline, stream.next()).await {
                Ok(Ok(Some(frame))) => frame,
                Ok(Ok(None)) => return Err(AttemptEnd::Failed(progress.failure_reason())),
                Ok(Err(error)) => {
                    return Err(AttemptEnd::Failed(self.on_frame_error(error, &progress)));
                }
                Err(_) if progress.frame_accepted => {
                    return Err(AttemptEnd::Failed(RetryReason::StreamBroken));
                }
                Err(_) => return Err(AttemptEnd::Failed(RetryReason::FirstTokenTimeout)),
            };
            match self.assembler.accept(frame) {
                FrameOutcome::Deliver(text) => {
                    self.on_first_token(selection, &mut progress);
                    self.deliver(text).await.map_err(AttemptEnd::Aborted)?;
                }
                FrameOutcome::Finished {
                    text,
                    finish,
                    usage,
                } => {
                    self.on_first_token(selection, &mut progress);
                    self.deliver(text).await.map_err(AttemptEnd::Aborted)?;
                    return Ok(GenerationSummary {
                        finish,
                        usage: usage.unwrap_or_else(|| self.estimated_usage()),
                    });
                }
                FrameOutcome::KvReady(handle) => return Err(kv_ready(selection, handle)),
                FrameOutcome::Dropped(reason) => {
                    self.on_dropped_frame(reason, &mut progress)?;
                    continue;
                }
            }
            deadline = Instant::now() + frame_timeout;
        }
    }

    /// Ends the prefill of an attempt when its first token was accepted.
    fn on_first_token(&mut self, selection: &mut Selection, progress: &mut AttemptProgress) {
        if !progress.frame_accepted {
            progress.frame_accepted = true;
            selection.finish_prefill();
            self.job.admitted.finish_prefill();
        }
    }

    /// Counts a dropped frame; returns an error if the frame ends the attempt.
    fn on_dropped_frame(
        &self,
        reason: DropReason,
        progress: &mut AttemptProgress,
    ) -> Result<(), AttemptEnd> {
        self.shared.metrics.count_dropped_frame(drop_cause(reason));
        progress.frame_dropped = true;
        match reason {
            DropReason::Gap => Err(AttemptEnd::Failed(RetryReason::WrongFrame)),
            DropReason::TooLong => {
                let message = "the answer is larger than the limit";
                let refusal = Refusal::new(RefusalReason::BackendFailedMidway, message);
                Err(AttemptEnd::Aborted(AbortReason::Refused(
                    refusal.ran(Ran::Yes),
                )))
            }
            DropReason::OtherRequest
            | DropReason::OtherAttempt
            | DropReason::Duplicate
            | DropReason::Closed => Ok(()),
        }
    }

    /// Returns why an attempt failed whose stream could not be read.
    fn on_frame_error(&self, error: FrameError, progress: &AttemptProgress) -> RetryReason {
        match error {
            FrameError::Broken => progress.failure_reason(),
            FrameError::Malformed => {
                self.shared.metrics.malformed_frames.inc();
                RetryReason::WrongFrame
            }
        }
    }

    /// Sends text to the client; waits while the client's buffer is full.
    async fn deliver(&self, text: String) -> Result<(), AbortReason> {
        self.shared.metrics.tokens.inc();
        if text.is_empty() {
            return Ok(());
        }
        let stall_timeout = ms(self.shared.settings.timeouts.client_stall_ms);
        match timeout(stall_timeout, self.events.send(GenerationEvent::Text(text))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(AbortReason::ClientDisconnected),
            Err(_) => Err(AbortReason::ClientStalled),
        }
    }

    /// Reports a failed call and returns how the attempt ended.
    ///
    /// A timeout, an invalid response and an error response to a request that may have run are
    /// reported as `ClosedBeforeResponse` as well, so they also start the probe for a crash.
    fn on_call_failure(&self, selection: &Selection, error: &CallError) -> AttemptEnd {
        self.job.attempts.report_failed_call(selection, error);
        let reason = match error {
            CallError::ConnectFailed | CallError::InvalidAddress => RetryReason::ConnectFailed,
            CallError::Refused {
                code: Some(EngineRefusalCode::KvImportFailed),
                ..
            } => RetryReason::KvImportFailed,
            CallError::Refused {
                code: Some(EngineRefusalCode::BadRequest),
                ran,
                ..
            } => {
                let message = "the engine cannot read the request";
                let refusal = Refusal::new(RefusalReason::BadRequest, message).ran(*ran);
                return AttemptEnd::Aborted(AbortReason::Refused(refusal));
            }
            CallError::Refused { ran: Ran::No, .. } => RetryReason::RefusedNotRun,
            CallError::Refused { .. }
            | CallError::ClosedBeforeResponse
            | CallError::TimedOut
            | CallError::InvalidResponse => RetryReason::ClosedBeforeResponse,
        };
        AttemptEnd::Failed(reason)
    }

    /// Builds the request that an attempt sends to its engine.
    fn generate_request(
        &self,
        attempt: AttemptNo,
        phase: Phase,
        selection: &Selection,
    ) -> GenerateRequest {
        let context = self.job.attempts.context();
        let kv = match phase {
            Phase::Decode => self.kv_cache.as_ref().map(|(source, _)| source.clone()),
            Phase::Full | Phase::Prefill => None,
        };
        GenerateRequest {
            request: context.id_text.clone(),
            attempt,
            group: self.job.group.name.clone(),
            model: self.job.group.model.clone().unwrap_or_default(),
            version: self.shared.engine_version(&selection.id, &self.job.group),
            adapter: self.job.client_call.adapter.as_deref().map(Into::into),
            prompt: self.job.client_call.prompt.clone(),
            emitted: self.assembler.emitted().to_owned(),
            from_index: self.assembler.next_index(),
            max_tokens: self.job.client_call.max_tokens,
            priority: context.priority,
            phase,
            kv,
            deadline_ms: Some(context.time_left().as_millis() as u64),
        }
    }

    /// Returns estimated token counts for an engine that sends none.
    fn estimated_usage(&self) -> Usage {
        Usage {
            prompt_tokens: estimate_tokens(&self.job.client_call.prompt),
            completion_tokens: self.assembler.next_index(),
            cached_tokens: 0,
        }
    }

    /// Returns whether the request has run, as far as known while an attempt may be running.
    fn ran_so_far(&self) -> Ran {
        match (self.assembler.next_index(), self.request_sent) {
            (0, false) => self.job.attempts.ran(),
            (0, true) => Ran::Unknown,
            (_, _) => Ran::Yes,
        }
    }

    /// Ends the admission of the request and reports the number of generated tokens to it.
    fn finish(self) {
        self.job.admitted.finish(self.assembler.next_index());
    }
}

/// Frames that an attempt has received.
#[derive(Debug, Default)]
struct AttemptProgress {
    /// Whether a frame was accepted.
    frame_accepted: bool,
    /// Whether a frame was dropped.
    frame_dropped: bool,
}

impl AttemptProgress {
    /// Returns why an attempt failed whose stream ended before its last frame.
    fn failure_reason(&self) -> RetryReason {
        match (self.frame_accepted, self.frame_dropped) {
            (true, _) => RetryReason::StreamBroken,
            (false, true) => RetryReason::WrongFrame,
            (false, false) => RetryReason::ClosedBeforeResponse,
        }
    }
}

fn kv_ready(selection: &Selection, handle: SmolStr) -> AttemptEnd {
    let source = KvSource {
        engine_address: selection.address.clone(),
        handle,
    };
    AttemptEnd::KvReady(source, selection.zone.clone())
}

const fn drop_cause(reason: DropReason) -> &'static str {
    match reason {
        DropReason::OtherRequest => "other_request",
        DropReason::OtherAttempt => "other_attempt",
        DropReason::Duplicate => "duplicate",
        DropReason::Gap => "gap",
        DropReason::Closed => "closed",
        DropReason::TooLong => "too_long",
    }
}

/// Reads the rest of a finished stream so that its connection can be reused.
async fn read_to_end(mut stream: FrameStream) {
    let _ = timeout(Duration::from_secs(1), async {
        while let Ok(Some(_)) = stream.next().await {}
    })
    .await;
}
