//! Continuous batching of the queued and running requests of an engine.

use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::mpsc;
use wagtailarch_types::{AttemptNo, Phase, Priority};
use wagtailarch_wire::engine::{FinishReason, Frame, Usage};

use super::cache::PrefixCache;
use super::settings::EngineSettings;
use crate::token::{BLOCK_BYTES, BYTES_PER_TOKEN, PromptKey, token_text};

/// A request in an engine.
#[derive(Debug)]
pub struct Sequence {
    /// Request id in the form of the generate call.
    pub request: SmolStr,
    /// Attempt number.
    pub attempt: AttemptNo,
    /// Priority, which determines the order of queued requests.
    pub priority: Priority,
    /// Part of the generation to run.
    pub phase: Phase,
    /// Key of the prompt, which determines the tokens of the output.
    pub key: PromptKey,
    /// Block hashes of the prompt.
    pub hashes: Vec<u64>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens to prefill before the next token can be decoded.
    pub prefill_left: u32,
    /// Number of prompt tokens that were found in the prefix cache.
    pub cached_tokens: u32,
    /// Index of the next token to decode.
    pub next_index: u32,
    /// Number of tokens of the whole output; at least `next_index`.
    pub end_index: u32,
    /// Reason why the output ends.
    pub finish: FinishReason,
    /// Whether the engine crashes when it runs the request.
    pub crashes: bool,
    /// Sends frames to the response; bounded, so that a slow client pauses only this request.
    pub frames: mpsc::Sender<Frame>,
}

impl Sequence {
    /// Returns an empty frame of this attempt.
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

    /// Returns the token counts of the whole output.
    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.end_index,
            cached_tokens: self.cached_tokens,
        }
    }
}

/// State of a request after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// It continues to run.
    Running,
    /// Its last frame was sent.
    Finished,
    /// The prefill is done and the KV handle must be sent.
    PrefillDone,
    /// The response was dropped since the client disconnected.
    Abandoned,
}

/// Outcome of a step.
#[derive(Debug, Default)]
pub struct StepOutcome {
    /// Number of requests whose last frame was sent.
    pub finished: u64,
    /// Number of requests whose response was dropped.
    pub abandoned: u64,
    /// Number of tokens prefilled.
    pub prefill_tokens: u32,
    /// Number of tokens decoded.
    pub decoded_tokens: u32,
    /// Requests whose prefill is done; the caller sends their KV handles.
    pub prefilled: Vec<Sequence>,
    /// Description of the request that crashes the engine, if there is one.
    pub crash: Option<String>,
}

/// The requests of an engine: those that run in the batch and those that are queued for it.
#[derive(Debug, Default)]
pub struct Batch {
    /// Queued requests in the order of arrival; the caller limits their number.
    queue: Vec<Sequence>,
    /// Running requests; limited by `start_queued`.
    running: Vec<Sequence>,
}

impl Batch {
    /// Returns the number of queued and running requests.
    pub fn len(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Returns whether no request is queued or running.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of tokens that are still to be prefilled, for queued and running
    /// requests.
    pub fn tokens_to_prefill(&self) -> u64 {
        let sequences = self.queue.iter().chain(&self.running);
        sequences
            .map(|sequence| u64::from(sequence.prefill_left))
            .sum()
    }

    /// Returns the number of tokens that running requests have in the KV cache.
    pub fn kv_tokens(&self) -> u64 {
        let tokens = |s: &Sequence| u64::from(s.prompt_tokens) + u64::from(s.next_index);
        self.running.iter().map(tokens).sum()
    }

    /// Adds a request to the queue.
    pub fn push(&mut self, sequence: Sequence) {
        self.queue.push(sequence);
    }

    /// Removes a request and returns whether it existed.
    pub fn cancel(&mut self, request: &str, attempt: AttemptNo) -> bool {
        let previous_len = self.len();
        let is_other = |s: &Sequence| s.request != request || s.attempt != attempt;
        self.queue.retain(is_other);
        self.running.retain(is_other);
        self.len() < previous_len
    }

    /// Aborts all requests and returns their number.
    pub fn abort_all(&mut self) -> u64 {
        let count = self.len() as u64;
        self.queue.clear();
        self.running.clear();
        count
    }

    /// Removes queued requests whose client has disconnected, and starts others in the order of
    /// their priority and, within a priority, of arrival.
    pub fn start_queued(&mut self, cache: &mut PrefixCache, max_running: usize) {
        self.queue.retain(|sequence| !sequence.frames.is_closed());
        while self.running.len() < max_running {
            let queued = self.queue.iter().enumerate();
            let best = queued.max_by_key(|(index, s)| (s.priority, std::cmp::Reverse(*index)));
            let Some((index, _)) = best else {
                return;
            };
            let mut sequence = self.queue.remove(index);
            if sequence.prefill_left > 0 {
                let cached_tokens =
                    cache.match_prefix(&sequence.hashes) * (BLOCK_BYTES / BYTES_PER_TOKEN);
                sequence.cached_tokens = u32::try_from(cached_tokens).unwrap_or(u32::MAX);
                // At least one token is prefilled, since a step ends the prefill phase only of
                // requests that have tokens left.
                sequence.prefill_left = sequence
                    .prefill_left
                    .saturating_sub(sequence.cached_tokens)
                    .max(1);
            }
            self.running.push(sequence);
        }
    }

    /// Returns the duration of the next step according to the service-time model.
    pub fn step_time(&self, settings: &EngineSettings) -> Duration {
        let decoding_requests = self.running.iter().filter(|s| s.prefill_left == 0).count();
        let prefill_tokens: u64 = self.running.iter().map(|s| u64::from(s.prefill_left)).sum();
        let prefill_tokens = prefill_tokens.min(u64::from(settings.prefill_chunk_tokens));
        settings.step_base
            + settings.step_per_request * u32::try_from(decoding_requests).unwrap_or(u32::MAX)
            + settings.prefill_per_token * u32::try_from(prefill_tokens).unwrap_or(u32::MAX)
    }

    /// Runs one step, which decodes a token of each prefilled request and prefills up to
    /// `chunk_tokens` tokens of the others.
    pub fn step(&mut self, cache: &mut PrefixCache, chunk_tokens: u32) -> StepOutcome {
        let crashing = self.running.iter().find(|sequence| sequence.crashes);
        let crash = crashing.map(|s| format!("request {} attempt {}", s.request, s.attempt));
        let mut outcome = StepOutcome {
            crash,
            ..StepOutcome::default()
        };
        let mut chunk_budget = chunk_tokens;
        let mut still_running = Vec::with_capacity(self.running.len());
        for mut sequence in self.running.drain(..) {
            let progress = if sequence.prefill_left > 0 {
                prefill(&mut sequence, cache, &mut chunk_budget, &mut outcome)
            } else {
                decode(&mut sequence, &mut outcome)
            };
            match progress {
                Progress::Running => still_running.push(sequence),
                Progress::Finished => outcome.finished += 1,
                Progress::PrefillDone => outcome.prefilled.push(sequence),
                Progress::Abandoned => outcome.abandoned += 1,
            }
        }
        self.running = still_running;
        outcome
    }
}

/// Prefills a part of the prompt within the remaining chunk budget of the step.
fn prefill(
    sequence: &mut Sequence,
    cache: &mut PrefixCache,
    chunk_budget: &mut u32,
    outcome: &mut StepOutcome,
) -> Progress {
    if sequence.frames.is_closed() {
        return Progress::Abandoned;
    }
    let tokens = sequence.prefill_left.min(*chunk_budget);
    *chunk_budget -= tokens;
    sequence.prefill_left -= tokens;
    outcome.prefill_tokens += tokens;
    if sequence.prefill_left > 0 {
        return Progress::Running;
    }
    cache.insert(&sequence.hashes);
    match sequence.phase {
        Phase::Prefill => Progress::PrefillDone,
        Phase::Full | Phase::Decode => Progress::Running,
    }
}

/// Decodes one token, unless the buffer of frames is full.
fn decode(sequence: &mut Sequence, outcome: &mut StepOutcome) -> Progress {
    let mut frame = sequence.frame();
    // A resumed output that was already complete gets its last frame without a token.
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
