//! Model of an engine: continuous batching with chunked prefill and a prefix cache.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, Phase, Role, ZoneName};

use super::active_request::ActiveRequest;

/// Speed and capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineModel {
    /// Time to prefill one prompt token.
    pub prefill_s_per_token: f64,
    /// Time of a decode step, which generates one token for each running request, without the time
    /// that the requests add.
    pub step_base_s: f64,
    /// Time that each running request adds to a decode step.
    pub step_s_per_request: f64,
    /// Maximum number of requests that decode concurrently.
    pub slots: usize,
    /// Maximum number of prompt tokens prefilled in one step, indexed by role.
    pub chunk_tokens: [u32; 3],
    /// Capacity of the prefix cache in prompt tokens.
    pub cache_capacity_tokens: u32,
    /// Time to transfer the KV cache of one prompt token.
    pub transfer_s_per_token: f64,
    /// Duration of a role change after the engine has drained.
    pub role_change_s: f64,
    /// Age of a load report when it arrives.
    pub report_lag_s: f64,
}

/// State of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineState {
    /// Accepts requests with its role.
    Serving,
    /// Finishes its requests, then changes to the role.
    Draining(Role),
    /// Is changing to the role and accepts no requests.
    Changing(Role),
    /// Has crashed and not restarted yet.
    Down,
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub id: InstanceId,
    pub zone: ZoneName,
    pub role: Role,
    pub state: EngineState,
    /// Time at which the engine began to serve with its role.
    pub serving_since: Duration,
    /// Requests with an unfinished prefill; that of the first one may have started.
    ///
    /// Requests leave the queue at their deadlines, which bounds its length.
    pub prefill_queue: VecDeque<ActiveRequest>,
    /// Requests that wait for a decode slot, bounded by the deadlines too.
    pub decode_queue: VecDeque<ActiveRequest>,
    /// Requests that decode; at most `slots`.
    pub running: Vec<ActiveRequest>,
    /// Number of crashes; events with an older value were scheduled before a crash and are ignored.
    pub epoch: u64,
    /// Whether a step is in progress.
    pub busy: bool,
    /// Prompt tokens that the current step prefills.
    step_prompt_tokens: u32,
    /// Cached prefixes with their lengths in tokens, least recently used first.
    prefix_cache: IndexMap<u64, u32>,
    /// Total length of the cached prefixes; at most `cache_capacity_tokens`.
    cache_used_tokens: u32,
    /// Prompt tokens prefilled since the start.
    pub prefilled_tokens: f64,
    /// Output tokens generated since the start.
    pub decoded_tokens: f64,
}

/// Requests that left the engine at the end of a step.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    /// Requests whose output is complete.
    pub completed: Vec<ActiveRequest>,
    /// Requests with a finished prefill that are decoded on another engine.
    pub prefilled: Vec<ActiveRequest>,
    /// Requests whose deadline has passed.
    pub expired: Vec<ActiveRequest>,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_s_per_token: 0.000_1,
            step_base_s: 0.020,
            step_s_per_request: 0.000_5,
            slots: 32,
            chunk_tokens: [2_048, 512, 128],
            cache_capacity_tokens: 60_000,
            transfer_s_per_token: 0.000_01,
            role_change_s: 6.0,
            report_lag_s: 1.0,
        }
    }
}

impl EngineModel {
    /// Returns the prompt tokens per second of an engine that only prefills.
    pub fn prefill_tokens_per_s(&self) -> f64 {
        1.0 / self.prefill_s_per_token
    }

    /// Returns the output tokens per second of an engine that decodes with all slots in use.
    pub fn decode_tokens_per_s(&self) -> f64 {
        let slots = self.slots as f64;
        slots / (self.step_base_s + self.step_s_per_request * slots)
    }

    /// Returns the time in seconds within which the response of a request must be complete.
    pub fn deadline_s(&self, prompt_tokens: u32, max_tokens: u32) -> f64 {
        // 1 s of queueing, 3 times the prefill time, and 1.25 times the objective of 43 ms between
        // tokens.
        let prompt_s = 3.0 * self.prefill_s_per_token * f64::from(prompt_tokens);
        1.0 + prompt_s + 1.25 * 0.043 * f64::from(max_tokens)
    }
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(id: InstanceId, zone: ZoneName, role: Role) -> Self {
        Self {
            id,
            zone,
            role,
            state: EngineState::Serving,
            serving_since: Duration::ZERO,
            prefill_queue: VecDeque::new(),
            decode_queue: VecDeque::new(),
            running: Vec::new(),
            epoch: 0,
            busy: false,
            step_prompt_tokens: 0,
            prefix_cache: IndexMap::new(),
            cache_used_tokens: 0,
            prefilled_tokens: 0.0,
            decoded_tokens: 0.0,
        }
    }

    /// Queues a request and returns the number of its prompt tokens found in the prefix cache.
    pub fn enqueue(&mut self, mut request: ActiveRequest, model: &EngineModel) -> u32 {
        if request.phase == Phase::Decode {
            self.decode_queue.push_back(request);
            return 0;
        }
        let prefix_tokens = request.prefix_tokens;
        let cached_tokens = if self.use_prefix(request.prefix, prefix_tokens, model) {
            prefix_tokens
        } else {
            0
        };
        request.prompt_tokens_left = request
            .prompt_tokens_left
            .saturating_sub(cached_tokens)
            .max(1);
        self.prefill_queue.push_back(request);
        cached_tokens
    }

    /// Starts a step and returns its duration; `None` if there is no work.
    pub fn start_step(&mut self, model: &EngineModel) -> Option<f64> {
        while self.running.len() < model.slots {
            let Some(request) = self.decode_queue.pop_front() else {
                break;
            };
            self.running.push(request);
        }
        let max_chunk = model.chunk_tokens[self.role as usize];
        let queued_tokens: u32 = self
            .prefill_queue
            .iter()
            .map(|request| request.prompt_tokens_left)
            .sum();
        self.step_prompt_tokens = max_chunk.min(queued_tokens);
        if self.running.is_empty() && self.step_prompt_tokens == 0 {
            self.busy = false;
            return None;
        }
        self.busy = true;
        let running = self.running.len() as f64;
        let prefill_s = f64::from(self.step_prompt_tokens) * model.prefill_s_per_token;
        let decode_s = match self.role {
            Role::Prefill if self.running.is_empty() => 0.002,
            _ => model.step_base_s + running * model.step_s_per_request,
        };
        Some(decode_s + prefill_s)
    }

    /// Finishes the current step and returns the requests that leave the engine.
    pub fn end_step(&mut self, now_s: f64) -> StepResult {
        let mut result = StepResult::default();
        self.decoded_tokens += self.running.len() as f64;
        for mut request in std::mem::take(&mut self.running) {
            request.generated_tokens += 1;
            if request.generated_tokens >= request.output_tokens {
                result.completed.push(request);
            } else if now_s > request.deadline_s {
                result.expired.push(request);
            } else {
                self.running.push(request);
            }
        }
        self.prefilled_tokens += f64::from(self.step_prompt_tokens);
        let mut tokens_left = std::mem::take(&mut self.step_prompt_tokens);
        while let Some(first) = self.prefill_queue.front_mut() {
            let processed = tokens_left.min(first.prompt_tokens_left);
            first.prompt_tokens_left -= processed;
            tokens_left -= processed;
            if first.prompt_tokens_left > 0 {
                break;
            }
            let Some(mut request) = self.prefill_queue.pop_front() else {
                break;
            };
            request.finish_prefill();
            match request.phase {
                Phase::Prefill => result.prefilled.push(request),
                Phase::Full | Phase::Decode => self.decode_queue.push_back(request),
            }
        }
        let is_expired = |request: &ActiveRequest| now_s > request.deadline_s;
        remove_expired(&mut self.prefill_queue, is_expired, &mut result.expired);
        remove_expired(&mut self.decode_queue, is_expired, &mut result.expired);
        result
    }

    /// Stops the engine as in a crash and returns the requests that were on it.
    pub fn crash(&mut self) -> Vec<ActiveRequest> {
        self.state = EngineState::Down;
        self.epoch += 1;
        self.busy = false;
        self.prefix_cache.clear();
        self.cache_used_tokens = 0;
        let mut aborted = std::mem::take(&mut self.running);
        aborted.extend(self.prefill_queue.drain(..));
        aborted.extend(self.decode_queue.drain(..));
        aborted
    }

    /// Starts to serve with a role and an empty prefix cache.
    pub fn serve(&mut self, now: Duration, role: Role) {
        self.role = role;
        self.state = EngineState::Serving;
        self.serving_since = now;
        self.prefix_cache.clear();
        self.cache_used_tokens = 0;
    }

    /// Returns the number of requests running or queued.
    pub fn load(&self) -> usize {
        self.running.len() + self.decode_queue.len() + self.prefill_queue.len()
    }

    /// Returns the number of prompt tokens queued for prefill.
    pub fn queued_tokens(&self) -> u64 {
        self.prefill_queue
            .iter()
            .map(|request| u64::from(request.prompt_tokens_left))
            .sum()
    }

    /// Returns whether a prefix is cached, and inserts it as the most recently used one.
    ///
    /// Evicts the least recently used prefixes to make room.
    fn use_prefix(&mut self, prefix: u64, tokens: u32, model: &EngineModel) -> bool {
        let cached = self.prefix_cache.shift_remove(&prefix);
        self.cache_used_tokens -= cached.unwrap_or(0);
        while self.cache_used_tokens + tokens > model.cache_capacity_tokens {
            let Some((_, oldest)) = self.prefix_cache.shift_remove_index(0) else {
                return false;
            };
            self.cache_used_tokens -= oldest;
        }
        self.prefix_cache.insert(prefix, tokens);
        self.cache_used_tokens += tokens;
        cached.is_some()
    }
}

/// Moves the expired requests of a queue to `expired`.
fn remove_expired(
    queue: &mut VecDeque<ActiveRequest>,
    is_expired: impl Fn(&ActiveRequest) -> bool,
    expired: &mut Vec<ActiveRequest>,
) {
    if !queue.iter().any(&is_expired) {
        return;
    }
    for request in std::mem::take(queue) {
        let remaining = if is_expired(&request) {
            expired.push(request);
            continue;
        } else {
            &mut *queue
        };
        remaining.push_back(request);
    }
}
