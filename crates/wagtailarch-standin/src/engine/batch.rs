//! Continuous batching: waiting and running requests of one engine.

use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::mpsc;
use wagtailarch_types::{AttemptNo, Phase, Priority};
use wagtailarch_wire::engine::{FinishReason, Frame, Usage};

use super::cache::PrefixCache;
use super::settings::EngineSettings;
use crate::token::{BLOCK_BYTES, BYTES_PER_TOKEN, PromptKey, token_text};

/// One request in an engine.
#[derive(Debug)]
pub struct Sequence {
    /// Request id as the sender wrote it.
    pub request: SmolStr,
    /// Attempt number.
    pub attempt: AttemptNo,
    /// Urgency.
    pub priority: Priority,
    /// Part of the generation to run.
    pub phase: Phase,
    /// Selects the tokens.
    pub key: PromptKey,
    /// Block hashes of the prompt.
    pub hashes: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens still to be processed before the next token can be generated.
    pub prefill_left: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Index of the next token.
    pub next_index: u32,
    /// Number of tokens of the whole answer; at least `next_index`.
    pub end_index: u32,
    /// Why the answer ends.
    pub finish: FinishReason,
    /// Whether running the request ends the process.
    pub crashes: bool,
    /// Where frames go; bounded, so that a slow reader pauses this sequence alone.
    pub frames: mpsc::Sender<Frame>,
}

impl Sequence {
    /// Returns a frame of this attempt with nothing in it.
    pub fn frame(&self) -> Frame {
        Frame {
            request: self.request.clone(),
            attempt: self.attempt,
            index: self.next_index,
            text: String::new(),
            finish: None,
            usage: None,
            kv_handle: None,
        }
    }

    /// Returns the counts of the whole answer.
    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.end_index,
            cached_tokens: self.cached_tokens,
        }
    }
}

/// How a sequence left a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// It stays in the batch.
    Running,
    /// Its last frame was sent.
    Finished,
    /// The prompt is processed and the KV handle must be sent.
    PrefillDone,
    /// The reader is gone.
    Abandoned,
}

/// What one step did.
#[derive(Debug, Default)]
pub struct StepOutcome {
    /// Sequences that ended completely.
    pub finished: u64,
    /// Sequences whose reader went away.
    pub abandoned: u64,
    /// Prompt tokens processed.
    pub prefill_tokens: u32,
    /// Tokens generated.
    pub decoded_tokens: u32,
    /// Sequences whose prefill ended; the caller sends the KV handle.
    pub prefilled: Vec<Sequence>,
    /// Request and attempt in the batch that crash the engine.
    pub crash: Option<String>,
}

/// Waiting and running requests.
#[derive(Debug, Default)]
pub struct Batch {
    /// In the order of arrival; at most `max_queued`.
    waiting: Vec<Sequence>,
    /// At most `max_running`.
    running: Vec<Sequence>,
}

impl Batch {
    /// Returns the number of waiting and running requests.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Returns whether nothing waits or runs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prompt tokens that wait for processing.
    pub fn queued_tokens(&self) -> u64 {
        let all = self.waiting.iter().chain(&self.running);
        all.map(|sequence| u64::from(sequence.prefill_left)).sum()
    }

    /// Returns the tokens in the KV cache of running requests.
    pub fn kv_tokens(&self) -> u64 {
        let tokens = |s: &Sequence| u64::from(s.prompt_tokens) + u64::from(s.next_index);
        self.running.iter().map(tokens).sum()
    }

    /// Adds a request to the waiting ones.
    pub fn push(&mut self, sequence: Sequence) {
        self.waiting.push(sequence);
    }

    /// Removes a request; returns whether it was there.
    pub fn cancel(&mut self, request: &str, attempt: AttemptNo) -> bool {
        let before = self.len();
        let other = |s: &Sequence| s.request != request || s.attempt != attempt;
        self.waiting.retain(other);
        self.running.retain(other);
        self.len() < before
    }

    /// Drops everything and returns how many requests were cut.
    pub fn cut(&mut self) -> u64 {
        let count = self.len() as u64;
        self.waiting.clear();
        self.running.clear();
        count
    }

    /// Starts waiting requests: higher priority first, then in the order of arrival.
    pub fn start_waiting(&mut self, cache: &mut PrefixCache, max_running: usize) {
        self.waiting.retain(|sequence| !sequence.frames.is_closed());
        while self.running.len() < max_running {
            let waiting = self.waiting.iter().enumerate();
            let best = waiting.max_by_key(|(at, s)| (s.priority, std::cmp::Reverse(*at)));
            let Some((at, _)) = best else {
                return;
            };
            let mut sequence = self.waiting.remove(at);
            if sequence.prefill_left > 0 {
                let hits = cache.hit(&sequence.hashes) * (BLOCK_BYTES / BYTES_PER_TOKEN);
                sequence.cached_tokens = u32::try_from(hits).unwrap_or(u32::MAX);
                sequence.prefill_left = sequence
                    .prefill_left
                    .saturating_sub(sequence.cached_tokens)
                    .max(1);
            }
            self.running.push(sequence);
        }
    }

    /// Returns the time of the next step: the service-time model.
    pub fn step_time(&self, settings: &EngineSettings) -> Duration {
        let decoding = self.running.iter().filter(|s| s.prefill_left == 0).count();
        let prefill: u64 = self.running.iter().map(|s| u64::from(s.prefill_left)).sum();
        let prefill = prefill.min(u64::from(settings.prefill_chunk_tokens));
        settings.step_base
            + settings.step_per_request * u32::try_from(decoding).unwrap_or(u32::MAX)
            + settings.prefill_per_token * u32::try_from(prefill).unwrap_or(u32::MAX)
    }

    /// Runs one step: a token for each decoding request and a chunk of waiting prompt tokens.
    pub fn step(&mut self, cache: &mut PrefixCache, chunk_tokens: u32) -> StepOutcome {
        let crashing = self.running.iter().find(|sequence| sequence.crashes);
        let crash = crashing.map(|s| format!("request {} attempt {}", s.request, s.attempt));
        let mut outcome = StepOutcome {
            crash,
            ..StepOutcome::default()
        };
        let mut chunk = chunk_tokens;
        let mut staying = Vec::with_capacity(self.running.len());
        for mut sequence in self.running.drain(..) {
            let progress = if sequence.prefill_left > 0 {
                prefill(&mut sequence, cache, &mut chunk, &mut outcome)
            } else {
                decode(&mut sequence, &mut outcome)
            };
            match progress {
                Progress::Running => staying.push(sequence),
                Progress::Finished => outcome.finished += 1,
                Progress::PrefillDone => outcome.prefilled.push(sequence),
                Progress::Abandoned => outcome.abandoned += 1,
            }
        }
        self.running = staying;
        outcome
    }
}

/// Processes a part of the prompt.
fn prefill(
    sequence: &mut Sequence,
    cache: &mut PrefixCache,
    chunk: &mut u32,
    outcome: &mut StepOutcome,
) -> Progress {
    if sequence.frames.is_closed() {
        return Progress::Abandoned;
    }
    let tokens = sequence.prefill_left.min(*chunk);
    *chunk -= tokens;
    sequence.prefill_left -= tokens;
    outcome.prefill_tokens += tokens;
    if sequence.prefill_left > 0 {
        return Progress::Running;
    }
    cache.store(&sequence.hashes);
    match sequence.phase {
        Phase::Prefill => Progress::PrefillDone,
        Phase::Full | Phase::Decode => Progress::Running,
    }
}

/// Generates one token, unless the reader is slow.
fn decode(sequence: &mut Sequence, outcome: &mut StepOutcome) -> Progress {
    let mut frame = sequence.frame();
    // A resumed answer that was already complete gets its last frame without a token.
    let complete = sequence.next_index >= sequence.end_index;
    if !complete {
        frame.text = token_text(sequence.key, sequence.next_index);
    }
    let last = sequence.next_index + 1 >= sequence.end_index;
    if last {
        frame.finish = Some(sequence.finish);
        frame.usage = Some(sequence.usage());
    }
    match sequence.frames.try_send(frame) {
        Ok(()) => {}
        Err(mpsc::error::TrySendError::Full(_)) => return Progress::Running,
        Err(mpsc::error::TrySendError::Closed(_)) => return Progress::Abandoned,
    }
    if !complete {
        outcome.decoded_tokens += 1;
        sequence.next_index += 1;
    }
    if last {
        Progress::Finished
    } else {
        Progress::Running
    }
}
