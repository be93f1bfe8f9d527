//! The model of one engine: continuous batching with a limited prefix cache.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, Phase, Role, ZoneName};

use super::job::Job;

/// Speed and size of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineModel {
    /// Time to process one prompt token.
    pub prefill_s_per_token: f64,
    /// Time of a step that generates one token for each running request, without any.
    pub step_base_s: f64,
    /// Time that each running request adds to a step.
    pub step_s_per_request: f64,
    /// Requests that generate at once.
    pub slots: usize,
    /// Prompt tokens that a prefill, mixed and decode engine processes in one step.
    pub chunk_tokens: [u32; 3],
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: u32,
    /// Time to transfer the KV cache of one prompt token.
    pub transfer_s_per_token: f64,
    /// Time in which an engine changes its role.
    pub change_s: f64,
    /// Age of a report when it arrives.
    pub report_lag_s: f64,
}

/// State of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineState {
    /// Accepts requests.
    Serving,
    /// Finishes what it has, then changes to the role.
    Draining(Role),
    /// Changes to the role.
    Changing(Role),
    /// Has crashed.
    Down,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub id: InstanceId,
    pub zone: ZoneName,
    pub role: Role,
    pub state: EngineState,
    /// Time since which it serves.
    pub since: Duration,
    /// Prompts that wait, the first one partly processed; bounded by the deadlines.
    pub prompts: VecDeque<Job>,
    /// Requests that wait for a slot; bounded by the deadlines.
    pub ready: VecDeque<Job>,
    /// Requests that generate; at most `slots`.
    pub running: Vec<Job>,
    /// Counts crashes and idle times, so that an event of an older step is ignored.
    pub epoch: u64,
    pub busy: bool,
    /// Prompt tokens of the step under way.
    chunk: u32,
    /// Cached prefixes, least recently used first; at most `cache_tokens`.
    cache: IndexMap<u64, u32>,
    cached_tokens: u32,
    pub prefill_done: f64,
    pub decode_done: f64,
}

/// What one step has brought.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    /// Requests that have their last token.
    pub completed: Vec<Job>,
    /// Requests whose prompt is processed and which decode elsewhere.
    pub prefilled: Vec<Job>,
    /// Requests whose deadline has passed.
    pub expired: Vec<Job>,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_s_per_token: 0.000_1,
            step_base_s: 0.020,
            step_s_per_request: 0.000_5,
            slots: 32,
            chunk_tokens: [2_048, 512, 128],
            cache_tokens: 60_000,
            transfer_s_per_token: 0.000_01,
            change_s: 6.0,
            report_lag_s: 1.0,
        }
    }
}

impl EngineModel {
    /// Returns the prompt tokens per second of an engine that does nothing else.
    pub fn prefill_tokens_per_s(&self) -> f64 {
        1.0 / self.prefill_s_per_token
    }

    /// Returns the tokens per second that an engine generates with all slots in use.
    pub fn decode_tokens_per_s(&self) -> f64 {
        let slots = self.slots as f64;
        slots / (self.step_base_s + self.step_s_per_request * slots)
    }

    /// Returns the time in seconds in which a request is to be answered.
    pub fn deadline_s(&self, prompt_tokens: u32, max_tokens: u32) -> f64 {
        // 1.25 x the stated 43 ms between tokens, 3 x the prompt and 1 s of waiting.
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
            since: Duration::ZERO,
            prompts: VecDeque::new(),
            ready: VecDeque::new(),
            running: Vec::new(),
            epoch: 0,
            busy: false,
            chunk: 0,
            cache: IndexMap::new(),
            cached_tokens: 0,
            prefill_done: 0.0,
            decode_done: 0.0,
        }
    }

    /// Takes a request; returns the prompt tokens found in the cache.
    pub fn accept(&mut self, mut job: Job, model: &EngineModel) -> u32 {
        if job.phase == Phase::Decode {
            self.ready.push_back(job);
            return 0;
        }
        let shared = job.prefix_tokens;
        let hit = if self.touch(job.prefix, shared, model) {
            shared
        } else {
            0
        };
        job.prompt_left = job.prompt_left.saturating_sub(hit).max(1);
        self.prompts.push_back(job);
        hit
    }

    /// Starts a step if there is work; returns its length.
    pub fn start_step(&mut self, model: &EngineModel) -> Option<f64> {
        while self.running.len() < model.slots {
            let Some(job) = self.ready.pop_front() else {
                break;
            };
            self.running.push(job);
        }
        let most = model.chunk_tokens[self.role as usize];
        let waiting: u32 = self.prompts.iter().map(|job| job.prompt_left).sum();
        self.chunk = most.min(waiting);
        if self.running.is_empty() && self.chunk == 0 {
            self.busy = false;
            return None;
        }
        self.busy = true;
        let running = self.running.len() as f64;
        let prompts_s = f64::from(self.chunk) * model.prefill_s_per_token;
        let decode_s = match self.role {
            Role::Prefill if self.running.is_empty() => 0.002,
            _ => model.step_base_s + running * model.step_s_per_request,
        };
        Some(decode_s + prompts_s)
    }

    /// Ends a step.
    pub fn end_step(&mut self, now_s: f64) -> StepResult {
        let mut result = StepResult::default();
        self.decode_done += self.running.len() as f64;
        for mut job in std::mem::take(&mut self.running) {
            job.generated += 1;
            if job.generated >= job.output_tokens {
                result.completed.push(job);
            } else if now_s > job.deadline_s {
                result.expired.push(job);
            } else {
                self.running.push(job);
            }
        }
        self.prefill_done += f64::from(self.chunk);
        let mut chunk = std::mem::take(&mut self.chunk);
        while let Some(first) = self.prompts.front_mut() {
            let part = chunk.min(first.prompt_left);
            first.prompt_left -= part;
            chunk -= part;
            if first.prompt_left > 0 {
                break;
            }
            let Some(mut job) = self.prompts.pop_front() else {
                break;
            };
            job.prompt_done();
            match job.phase {
                Phase::Prefill => result.prefilled.push(job),
                Phase::Full | Phase::Decode => self.ready.push_back(job),
            }
        }
        let late = |job: &Job| now_s > job.deadline_s;
        take_late(&mut self.prompts, late, &mut result.expired);
        take_late(&mut self.ready, late, &mut result.expired);
        result
    }

    /// Crashes: returns all requests that were on the engine.
    pub fn crash(&mut self) -> Vec<Job> {
        self.state = EngineState::Down;
        self.epoch += 1;
        self.busy = false;
        self.cache.clear();
        self.cached_tokens = 0;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.prompts.drain(..));
        lost.extend(self.ready.drain(..));
        lost
    }

    /// Begins to serve with a role and an empty cache.
    pub fn serve(&mut self, now: Duration, role: Role) {
        self.role = role;
        self.state = EngineState::Serving;
        self.since = now;
        self.cache.clear();
        self.cached_tokens = 0;
    }

    /// Returns the number of requests running or queued.
    pub fn load(&self) -> usize {
        self.running.len() + self.ready.len() + self.prompts.len()
    }

    /// Returns the prompt tokens that wait.
    pub fn queued_tokens(&self) -> u64 {
        self.prompts
            .iter()
            .map(|job| u64::from(job.prompt_left))
            .sum()
    }

    /// Looks up a prefix and makes it the most recently used one.
    fn touch(&mut self, prefix: u64, tokens: u32, model: &EngineModel) -> bool {
        let known = self.cache.shift_remove(&prefix);
        self.cached_tokens -= known.unwrap_or(0);
        while self.cached_tokens + tokens > model.cache_tokens {
            let Some((_, oldest)) = self.cache.shift_remove_index(0) else {
                return false;
            };
            self.cached_tokens -= oldest;
        }
        self.cache.insert(prefix, tokens);
        self.cached_tokens += tokens;
        known.is_some()
    }
}

fn take_late(jobs: &mut VecDeque<Job>, late: impl Fn(&Job) -> bool, expired: &mut Vec<Job>) {
    if !jobs.iter().any(&late) {
        return;
    }
    for job in std::mem::take(jobs) {
        let list = if late(&job) {
            expired.push(job);
            continue;
        } else {
            &mut *jobs
        };
        list.push_back(job);
    }
}
