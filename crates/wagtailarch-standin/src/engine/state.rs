//! State of a stand-in engine: its assignment, requests, orders, reports and counters.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{Assignment, BackendState, BootId, FencingNumber, Generation, Nonce};
use wagtailarch_wire::engine::{
    EngineRefusalCode, EngineReport, GenerateRequest, Order, OrderKind,
};

use super::batch::{Batch, Sequence, StepOutcome};
use super::cache::PrefixCache;
use super::settings::EngineSettings;
use crate::token::{output_text, prompt_key};

/// Maximum number of exported KV caches; the oldest is removed first.
const MAX_KV_ENTRIES: usize = 1024;
/// Maximum number of recorded nonces, by which repeated orders are recognized.
const MAX_NONCES: usize = 1024;
/// Time between two reports.
pub const REPORT_PERIOD: Duration = Duration::from_millis(50);

/// Counters for tests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Number of generate calls accepted.
    pub accepted: u64,
    /// Number of generate calls refused before they ran.
    pub refused: u64,
    /// Number of generate calls whose last frame was sent.
    pub completed: u64,
    /// Number of generate calls canceled by a cancel call.
    pub cancelled: u64,
    /// Number of running generate calls whose client disconnected.
    pub abandoned: u64,
    /// Number of generate calls aborted by an assign order.
    #[serde(rename = "cut_requests")]
    pub aborted_requests: u64,
    /// Number of generate calls refused because their `emitted` differs from the output of the
    /// token function, or their `from_index` is above `max_tokens`.
    pub resume_mismatches: u64,
    /// Number of accepted generate calls with `from_index` above 0.
    pub resumed: u64,
    /// Number of tokens decoded.
    pub decoded_tokens: u64,
    /// Number of tokens prefilled.
    pub prefill_tokens: u64,
    /// Number of KV caches imported from other engines.
    pub kv_imports: u64,
    /// Number of orders that took effect.
    pub orders: u64,
    /// Number of orders received again with the same nonce.
    pub repeated_orders: u64,
    /// Number of orders refused because of an old fencing number.
    pub stale_orders: u64,
    /// Number of accepted orders that conflicted with a change in progress or came from an older
    /// lease.
    pub order_conflicts: u64,
    /// Number of changes of assignment started.
    pub changes: u64,
}

/// An exported KV cache.
#[derive(Debug, Clone, Copy)]
pub struct KvEntry {
    /// Key of the prompt.
    pub key: u64,
    /// Number of tokens of the prompt.
    pub tokens: u32,
}

/// State of an engine.
#[derive(Debug)]
pub struct EngineState {
    settings: EngineSettings,
    boot_id: BootId,
    assignment: Assignment,
    state: BackendState,
    /// End, target assignment and order nonce of the change in progress.
    change: Option<(Instant, Assignment, Nonce)>,
    /// Queued and running requests.
    pub batch: Batch,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Counters.
    pub counters: EngineCounters,
    fencing_number: FencingNumber,
    generation: Generation,
    /// Nonce of the last order that took effect.
    last_order_nonce: Option<Nonce>,
    /// Nonces of the newest orders; at most [`MAX_NONCES`].
    nonces: VecDeque<Nonce>,
    /// Exported KV caches by handle; at most [`MAX_KV_ENTRIES`].
    kv_entries: IndexMap<SmolStr, KvEntry>,
    last_kv_number: u64,
    /// Reports with the times of their creation, the newest last; they cover the report lag.
    reports: VecDeque<(Instant, EngineReport)>,
    seq: u64,
    prefill_rate: f64,
    decode_rate: f64,
    /// Counters of prefilled and decoded tokens at the last report.
    last_token_counts: (u64, u64),
}

impl EngineState {
    /// Creates a serving engine.
    pub fn new(settings: EngineSettings, boot_id: BootId) -> Self {
        let assignment = settings.assignment.clone();
        let cache = PrefixCache::new(settings.cache_blocks);
        let mut state = Self {
            settings,
            boot_id,
            assignment,
            state: BackendState::Serving,
            change: None,
            batch: Batch::default(),
            cache,
            counters: EngineCounters::default(),
            fencing_number: 0,
            generation: 0,
            last_order_nonce: None,
            nonces: VecDeque::new(),
            kv_entries: IndexMap::new(),
            last_kv_number: 0,
            reports: VecDeque::new(),
            seq: 0,
            prefill_rate: 0.0,
            decode_rate: 0.0,
            last_token_counts: (0, 0),
        };
        state.make_report(Instant::now());
        state
    }

    /// Returns the settings.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Returns an error if a call cannot run now.
    pub fn check_call(&self, call: &GenerateRequest) -> Result<(), EngineRefusalCode> {
        if self.state != BackendState::Serving {
            return Err(EngineRefusalCode::Draining);
        }
        let assignment = &self.assignment;
        let adapter = call.adapter.as_ref();
        let matches = call.group == self.settings.group
            && call.model == assignment.model
            && call.version == assignment.version
            && adapter.is_none_or(|name| assignment.adapters.contains(name))
            && assignment.role.serves(call.phase);
        if !matches {
            return Err(EngineRefusalCode::WrongAssignment);
        }
        if self.batch.queue_len() >= self.settings.max_queued {
            return Err(EngineRefusalCode::Full);
        }
        let resumed = output_text(prompt_key(&call.prompt), call.from_index);
        if call.from_index > call.max_tokens || call.emitted != resumed {
            return Err(EngineRefusalCode::BadRequest);
        }
        Ok(())
    }

    /// Adds a call that passed [`Self::check_call`].
    pub fn submit(&mut self, sequence: Sequence) {
        self.counters.accepted += 1;
        self.counters.resumed += u64::from(sequence.next_index > 0);
        self.batch.push(sequence);
    }

    /// Starts or ends draining, unless the assignment is being changed.
    pub fn set_draining(&mut self, draining: bool) {
        if self.state == BackendState::Changing {
            return;
        }
        self.state = if draining {
            BackendState::Draining
        } else {
            BackendState::Serving
        };
    }

    /// Handles an order.
    pub fn handle_order(&mut self, order: &Order, now: Instant) -> Result<(), EngineRefusalCode> {
        if self.nonces.contains(&order.nonce) {
            self.counters.repeated_orders += 1;
            return Ok(());
        }
        let is_stale = order.fencing_number < self.fencing_number;
        if is_stale && self.settings.checks_fencing {
            self.counters.stale_orders += 1;
            return Err(EngineRefusalCode::StaleFencingNumber);
        }
        if is_stale || self.conflicts_with_change(&order.kind) {
            self.counters.order_conflicts += 1;
        }
        if self.nonces.len() == MAX_NONCES {
            self.nonces.pop_front();
        }
        self.nonces.push_back(order.nonce);
        self.fencing_number = self.fencing_number.max(order.fencing_number);
        self.generation = self.generation.max(order.generation);
        self.apply(order, now);
        Ok(())
    }

    /// Returns whether an order conflicts with the change in progress.
    fn conflicts_with_change(&self, kind: &OrderKind) -> bool {
        match (&self.change, kind) {
            (None, _) => false,
            (Some((_, target, _)), OrderKind::Assign(assignment)) => target != assignment,
            (Some(_), OrderKind::Drain | OrderKind::Undrain) => true,
        }
    }

    /// Applies an order; an assign order starts a change, which aborts all requests.
    fn apply(&mut self, order: &Order, now: Instant) {
        match &order.kind {
            OrderKind::Drain => self.set_draining(true),
            OrderKind::Undrain => self.set_draining(false),
            OrderKind::Assign(assignment) => {
                self.counters.aborted_requests += self.batch.abort_all();
                self.counters.changes += 1;
                self.state = BackendState::Changing;
                let end = now + self.settings.change_time;
                self.change = Some((end, assignment.clone(), order.nonce));
                return;
            }
        }
        self.counters.orders += 1;
        self.last_order_nonce = Some(order.nonce);
    }

    /// Completes the change of assignment if its end is reached.
    pub fn finish_change(&mut self, now: Instant) {
        if self.change.as_ref().is_none_or(|(end, ..)| now < *end) {
            return;
        }
        let Some((_, assignment, nonce)) = self.change.take() else {
            return;
        };
        self.assignment = assignment;
        self.state = BackendState::Serving;
        self.last_order_nonce = Some(nonce);
        self.counters.orders += 1;
        self.cache.clear();
        self.kv_entries.clear();
    }

    /// Runs one step and returns a description of the request that crashes the engine, if there is
    /// one.
    pub fn step(&mut self) -> Option<String> {
        let chunk = self.settings.prefill_chunk_tokens;
        let outcome: StepOutcome = self.batch.step(&mut self.cache, chunk);
        self.counters.completed += outcome.finished;
        self.counters.abandoned += outcome.abandoned;
        self.counters.prefill_tokens += u64::from(outcome.prefill_tokens);
        self.counters.decoded_tokens += u64::from(outcome.decoded_tokens);
        for sequence in outcome.prefilled {
            self.send_kv_handle(&sequence);
        }
        outcome.crash
    }

    /// Exports the KV cache of a finished prefill and sends its handle.
    fn send_kv_handle(&mut self, sequence: &Sequence) {
        self.last_kv_number += 1;
        let handle = SmolStr::from(format!("{:x}-{}", self.boot_id, self.last_kv_number));
        if self.kv_entries.len() == MAX_KV_ENTRIES {
            self.kv_entries.shift_remove_index(0);
        }
        let entry = KvEntry {
            key: sequence.key,
            tokens: sequence.prompt_tokens,
        };
        self.kv_entries.insert(handle.clone(), entry);
        let mut frame = sequence.frame();
        frame.kv_handle = Some(handle);
        frame.usage = Some(sequence.usage());
        match sequence.frames.try_send(frame) {
            Ok(()) => self.counters.completed += 1,
            Err(_) => self.counters.abandoned += 1,
        }
    }

    /// Returns the exported KV cache with a handle.
    pub fn kv_entry(&self, handle: &str) -> Option<KvEntry> {
        self.kv_entries.get(handle).copied()
    }

    /// Creates a report and removes those that the report lag no longer needs.
    pub fn make_report(&mut self, now: Instant) {
        self.update_rates();
        self.seq += 1;
        let used_ratio = self.batch.kv_tokens() as f64 / self.settings.kv_capacity_tokens as f64;
        let report = EngineReport {
            engine: self.settings.name.clone(),
            boot_id: self.boot_id,
            seq: self.seq,
            role: self.assignment.role,
            model: self.assignment.model.clone(),
            version: self.assignment.version.clone(),
            adapters: self.assignment.adapters.clone(),
            state: self.state,
            running: u32::try_from(self.batch.len()).unwrap_or(u32::MAX),
            queued_tokens: self.batch.tokens_to_prefill(),
            decode_slots: u32::try_from(self.settings.max_running).unwrap_or(u32::MAX),
            kv_used_ratio: used_ratio.min(1.0),
            prefill_tokens_per_s: self.prefill_rate,
            decode_tokens_per_s: self.decode_rate,
            fencing_number: self.fencing_number,
            last_order_nonce: self.last_order_nonce,
            generation: self.generation,
            order_conflicts: self.counters.order_conflicts,
        };
        self.reports.push_back((now, report));
        let lag = self.settings.report_lag;
        while self.reports.len() > 1 && now.duration_since(self.reports[1].0) >= lag {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least as old as the report lag, or else the oldest one.
    pub fn report(&self) -> Option<&EngineReport> {
        self.reports.front().map(|(_, report)| report)
    }

    /// Updates the token rates from the counters.
    fn update_rates(&mut self) {
        let token_counts = (self.counters.prefill_tokens, self.counters.decoded_tokens);
        let per_s = |new: u64, old: u64| (new - old) as f64 / REPORT_PERIOD.as_secs_f64();
        // Exponential moving average with a time constant of about one second.
        let weight = REPORT_PERIOD.as_secs_f64();
        self.prefill_rate +=
            weight * (per_s(token_counts.0, self.last_token_counts.0) - self.prefill_rate);
        self.decode_rate +=
            weight * (per_s(token_counts.1, self.last_token_counts.1) - self.decode_rate);
        self.last_token_counts = token_counts;
    }
}
