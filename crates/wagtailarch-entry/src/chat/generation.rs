//! One generation over all its attempts.

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

/// Bytes of prompt text that count as one token in estimates.
const BYTES_PER_TOKEN: usize = 4;

/// A generation to run.
#[derive(Debug)]
pub struct Job {
    /// Attempts of the request.
    pub attempts: Attempts,
    /// Share of the fleet that the request takes.
    pub admitted: Admitted,
    /// The call.
    pub call: CompletionCall,
    /// Memory that the prompt takes.
    pub _memory: Option<OwnedSemaphorePermit>,
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
    pub finish: FinishReason,
    /// Token counts.
    pub usage: Usage,
}

/// Estimates the tokens of a prompt.
pub fn estimate_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Runs a generation and sends its events; ends early when the receiver is gone.
pub async fn run_generation(job: Job, events: mpsc::Sender<Event>) {
    let context = job.attempts.context().clone();
    let metrics = &context.shared.metrics;
    let mut run = Run::new(job, events.clone());
    let end = tokio::select! {
        end = run.run() => end,
        () = events.closed() => Err(End::ClientGone),
        () = tokio::time::sleep_until(context.deadline.into()) => Err(End::Deadline),
    };
    let last = match end {
        Ok(done) => Event::Done(done),
        Err(End::Refused(refusal)) => Event::Failed(refusal),
        Err(End::Deadline) => Event::Failed(context.too_late(run.ran_so_far())),
        Err(End::ClientGone) => {
            metrics.client_gone.inc();
            return run.finish();
        }
        Err(End::ClientStalled) => {
            metrics.client_stalled.inc();
            return run.finish();
        }
    };
    run.finish();
    // A client that reads no more must not hold the task; its connection ends by the same limit.
    let stall = ms(context.shared.settings.timeouts.client_stall_ms);
    let _ = timeout(stall, events.send(last)).await;
}

/// Why a generation ended without its last token.
enum End {
    Refused(Refusal),
    ClientGone,
    ClientStalled,
    Deadline,
}

/// How an attempt ended without its last token.
enum AttemptEnd {
    /// The prefill is done.
    KvReady(KvSource, ZoneName),
    /// Another attempt may follow.
    Failed(RetryReason),
    /// No other attempt follows.
    Final(End),
}

/// A running generation.
struct Run {
    shared: Arc<Shared>,
    job: Job,
    events: mpsc::Sender<Event>,
    assembler: Assembler,
    prefixes: Vec<u64>,
    /// KV cache of a finished prefill and the zone that holds it.
    kv: Option<(KvSource, ZoneName)>,
    /// Set once a KV cache could not be used; the prompt is then processed where it decodes.
    unsplit: bool,
    /// Version of the last attempt's engine; another version would continue differently.
    version: Option<VersionName>,
    /// Whether an attempt has been sent.
    sent: bool,
}

impl Run {
    fn new(job: Job, events: mpsc::Sender<Event>) -> Self {
        let context = job.attempts.context();
        Self {
            shared: Arc::clone(&context.shared),
            assembler: Assembler::new(context.id),
            prefixes: prefix_hashes(&job.call.prompt),
            events,
            kv: None,
            unsplit: false,
            version: None,
            sent: false,
            job,
        }
    }

    /// Runs attempts until the answer is complete or given up.
    async fn run(&mut self) -> Result<Done, End> {
        loop {
            let (mut pick, phase) = self.pick().await.map_err(End::Refused)?;
            let guard = self.job.attempts.enter(&pick);
            let failure = match self.attempt(&mut pick, phase).await {
                Ok(done) => {
                    self.job.attempts.completed(&pick);
                    return Ok(done);
                }
                Err(AttemptEnd::KvReady(kv, zone)) => {
                    self.kv = Some((kv, zone));
                    continue;
                }
                Err(AttemptEnd::Final(end)) => return Err(end),
                Err(AttemptEnd::Failed(reason)) => reason,
            };
            if failure == RetryReason::KvImportFailed {
                self.unsplit = true;
                self.kv = None;
            }
            let delivered = self.assembler.next_index() > 0;
            let next = self
                .job
                .attempts
                .failed(&pick, failure, guard, delivered)
                .await;
            next.map_err(End::Refused)?;
        }
    }

    /// Chooses an engine, at best one with the version of the attempt before.
    async fn pick(&mut self) -> Result<(Selection, Phase), Refusal> {
        let request = self.pick_request();
        let phase = request.phase;
        let bound = request.version.is_some();
        match self.job.attempts.pick(request).await {
            Err(_) if bound => {
                (self.kv, self.version, self.unsplit) = (None, None, true);
                let request = self.pick_request();
                let phase = request.phase;
                Ok((self.job.attempts.pick(request).await?, phase))
            }
            result => result.map(|pick| (pick, phase)),
        }
    }

    /// Returns what the next attempt needs.
    fn pick_request(&self) -> SelectionRequest {
        let group = &self.job.group;
        let mut request = SelectionRequest {
            group: group.name.clone(),
            kind: BackendKind::Engine,
            phase: Phase::Full,
            model: group.model.clone(),
            version: None,
            adapter: self.job.call.adapter.as_deref().map(Into::into),
            prefix_hashes: self.prefixes.clone(),
            prompt_tokens: estimate_tokens(&self.job.call.prompt),
            preferred_zone: None,
            excluded: Vec::new(),
            suspect: false,
            backends_with_suspects: Vec::new(),
        };
        if self.kv.is_some() || self.assembler.next_index() > 0 {
            request.version.clone_from(&self.version);
        }
        if self.unsplit || self.assembler.next_index() > 0 {
            return request;
        }
        match &self.kv {
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

    /// Runs one attempt on the chosen engine.
    async fn attempt(&mut self, pick: &mut Selection, phase: Phase) -> Result<Done, AttemptEnd> {
        let attempt = self.assembler.start_attempt();
        let call = self.generate_request(attempt, phase, pick);
        self.version = Some(call.version.clone());
        let started = Instant::now();
        if !self.sent {
            self.sent = true;
            let received = self.job.attempts.context().received;
            Metrics::observe(&self.shared.metrics.added_latency, received.elapsed());
        }
        let mut cancel = CancelOnDrop::new(&self.shared, &pick.address, &call.request, attempt);
        let first_token = ms(self.shared.settings.timeouts.first_token_ms);
        let generate = self.shared.engines.generate(&pick.address, &call);
        let stream = timeout_at(started + first_token, generate).await;
        let mut stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                cancel.disarm();
                return Err(self.call_failed(pick, &error));
            }
            Err(_) => return Err(AttemptEnd::Failed(RetryReason::FirstTokenTimeout)),
        };
        let end = self
            .read_frames(pick, &mut stream, started + first_token)
            .await;
        if matches!(end, Ok(_) | Err(AttemptEnd::KvReady(..))) {
            cancel.disarm();
            tokio::spawn(read_to_end(stream));
        }
        end
    }

    /// Delivers the frames of one attempt; the first one must arrive before `first`.
    async fn read_frames(
        &mut self,
        pick: &mut Selection,
        stream: &mut FrameStream,
        first: Instant,
    ) -> Result<Done, AttemptEnd> {
        let frame_limit = ms(self.shared.settings.timeouts.frame_ms);
        let mut until = first;
        let mut progress = Progress::default();
        loop {
            let frame = match timeout_at(until, stream.next()).await {
                Ok(Ok(Some(frame))) => frame,
                Ok(Ok(None)) => return Err(AttemptEnd::Failed(progress.ended())),
                Ok(Err(error)) => return Err(AttemptEnd::Failed(self.broken(error, &progress))),
                Err(_) if progress.accepted => {
                    return Err(AttemptEnd::Failed(RetryReason::StreamBroken));
                }
                Err(_) => return Err(AttemptEnd::Failed(RetryReason::FirstTokenTimeout)),
            };
            match self.assembler.accept(frame) {
                FrameOutcome::Deliver(text) => {
                    self.first_token(pick, &mut progress);
                    self.deliver(text).await.map_err(AttemptEnd::Final)?;
                }
                FrameOutcome::Finished {
                    text,
                    finish,
                    usage,
                } => {
                    self.first_token(pick, &mut progress);
                    self.deliver(text).await.map_err(AttemptEnd::Final)?;
                    return Ok(Done {
                        finish,
                        usage: usage.unwrap_or_else(|| self.usage()),
                    });
                }
                FrameOutcome::KvReady(handle) => return Err(kv_ready(pick, handle)),
                FrameOutcome::Dropped(reason) => {
                    self.dropped(reason, &mut progress)?;
                    continue;
                }
            }
            until = Instant::now() + frame_limit;
        }
    }

    /// Notes the first accepted token of an attempt.
    fn first_token(&mut self, pick: &mut Selection, progress: &mut Progress) {
        if !progress.accepted {
            progress.accepted = true;
            pick.finish_prefill();
            self.job.admitted.finish_prefill();
        }
    }

    /// Counts a frame that was not accepted; an end of the attempt may follow from it.
    fn dropped(&self, reason: DropReason, progress: &mut Progress) -> Result<(), AttemptEnd> {
        self.shared.metrics.count_dropped_frame(drop_cause(reason));
        progress.wrong = true;
        match reason {
            DropReason::Gap => Err(AttemptEnd::Failed(RetryReason::WrongFrame)),
            DropReason::TooLong => {
                let message = "the answer is larger than the limit";
                let refusal = Refusal::not_run(RefusalReason::BackendFailedMidway, message);
                Err(AttemptEnd::Final(End::Refused(refusal.ran(Ran::Yes))))
            }
            DropReason::OtherRequest
            | DropReason::OtherAttempt
            | DropReason::Duplicate
            | DropReason::Closed => Ok(()),
        }
    }

    fn broken(&self, error: FrameError, progress: &Progress) -> RetryReason {
        match error {
            FrameError::Broken => progress.ended(),
            FrameError::Malformed => {
                self.shared.metrics.malformed_frames.inc();
                RetryReason::WrongFrame
            }
        }
    }

    /// Hands text to the client; waits while the client's buffer is full.
    async fn deliver(&self, text: String) -> Result<(), End> {
        self.shared.metrics.tokens.inc();
        if text.is_empty() {
            return Ok(());
        }
        let stall = ms(self.shared.settings.timeouts.client_stall_ms);
        match timeout(stall, self.events.send(Event::Text(text))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(End::ClientGone),
            Err(_) => Err(End::ClientStalled),
        }
    }

    fn call_failed(&self, pick: &Selection, error: &CallError) -> AttemptEnd {
        self.job.attempts.note_signs(pick, error);
        let reason = match error {
            CallError::ConnectFailed | CallError::BadAddress => RetryReason::ConnectFailed,
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
                let refusal = Refusal::not_run(RefusalReason::BadRequest, message).ran(*ran);
                return AttemptEnd::Final(End::Refused(refusal));
            }
            CallError::Refused { ran: Ran::No, .. } => RetryReason::RefusedNotRun,
            CallError::Refused { .. }
            | CallError::ClosedBeforeAnswer
            | CallError::TimedOut
            | CallError::BadAnswer => RetryReason::ClosedBeforeResponse,
        };
        AttemptEnd::Failed(reason)
    }

    fn generate_request(
        &self,
        attempt: AttemptNo,
        phase: Phase,
        pick: &Selection,
    ) -> GenerateRequest {
        let context = self.job.attempts.context();
        let kv = match phase {
            Phase::Decode => self.kv.as_ref().map(|(kv, _)| kv.clone()),
            Phase::Full | Phase::Prefill => None,
        };
        GenerateRequest {
            request: context.id_text.clone(),
            attempt,
            group: self.job.group.name.clone(),
            model: self.job.group.model.clone().unwrap_or_default(),
            version: self.shared.version_of(&pick.id, &self.job.group),
            adapter: self.job.call.adapter.as_deref().map(Into::into),
            prompt: self.job.call.prompt.clone(),
            emitted: self.assembler.emitted().to_owned(),
            from_index: self.assembler.next_index(),
            max_tokens: self.job.call.max_tokens,
            priority: context.priority,
            phase,
            kv,
            deadline_ms: Some(context.time_left().as_millis() as u64),
        }
    }

    /// Returns estimated token counts for an engine that gives none.
    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: estimate_tokens(&self.job.call.prompt),
            completion_tokens: self.assembler.next_index(),
            cached_tokens: 0,
        }
    }

    /// Returns what is known of the request while an attempt may be running.
    fn ran_so_far(&self) -> Ran {
        match (self.assembler.next_index(), self.sent) {
            (0, false) => self.job.attempts.ran(),
            (0, true) => Ran::Unknown,
            (_, _) => Ran::Yes,
        }
    }

    /// Frees the share that the request has taken.
    fn finish(self) {
        self.job.admitted.finish(self.assembler.next_index());
    }
}

/// What an attempt has received.
#[derive(Debug, Default)]
struct Progress {
    /// Whether a frame was accepted.
    accepted: bool,
    /// Whether a frame was dropped.
    wrong: bool,
}

impl Progress {
    /// Returns how an attempt failed whose stream ended.
    fn ended(&self) -> RetryReason {
        match (self.accepted, self.wrong) {
            (true, _) => RetryReason::StreamBroken,
            (false, true) => RetryReason::WrongFrame,
            (false, false) => RetryReason::ClosedBeforeResponse,
        }
    }
}

fn kv_ready(pick: &Selection, handle: SmolStr) -> AttemptEnd {
    let source = KvSource {
        engine_address: pick.address.clone(),
        handle,
    };
    AttemptEnd::KvReady(source, pick.zone.clone())
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

/// Reads the rest of a finished stream, so that its connection can be used again.
async fn read_to_end(mut stream: FrameStream) {
    let _ = timeout(Duration::from_secs(1), async {
        while let Ok(Some(_)) = stream.next().await {}
    })
    .await;
}
