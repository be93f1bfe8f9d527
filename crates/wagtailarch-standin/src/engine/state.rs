//! State of a stand-in engine: what it serves, its requests, orders and counters.

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

/// Exported KV caches kept at once; the oldest goes first.
const MAX_KV_ENTRIES: usize = 1024;
/// Order nonces remembered to recognise a repeated order.
const MAX_NONCES: usize = 1024;
/// Time between two reports.
pub const REPORT_PERIOD: Duration = Duration::from_millis(50);

/// Counters that tests read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Generate calls accepted.
    pub accepted: u64,
    /// Generate calls refused before anything ran.
    pub refused: u64,
    /// Generate calls that ended completely.
    pub completed: u64,
    /// Generate calls cancelled by the sender.
    pub cancelled: u64,
    /// Generate calls whose reader went away.
    pub abandoned: u64,
    /// Generate calls interrupted by an assign order.
    #[serde(rename = "cut_requests")]
    pub aborted_requests: u64,
    /// Resumed calls whose `emitted` is not what this function generates.
    pub resume_mismatches: u64,
    /// Calls with `from_index` above 0.
    pub resumed: u64,
    /// Tokens generated.
    pub decoded_tokens: u64,
    /// Prompt tokens processed.
    pub prefill_tokens: u64,
    /// KV caches imported from other engines.
    pub kv_imports: u64,
    /// Orders that took effect.
    pub orders: u64,
    /// Orders that were received again with the same nonce.
    pub repeated_orders: u64,
    /// Orders refused for an old fencing number.
    pub stale_orders: u64,
    /// Orders that contradicted one in progress or came from an older lease.
    pub order_conflicts: u64,
    /// Changes of assignment that were started.
    pub changes: u64,
}

/// An exported KV cache.
#[derive(Debug, Clone, Copy)]
pub struct KvEntry {
    /// Key of the prompt that it belongs to.
    pub key: u64,
    /// Tokens of the prompt.
    pub tokens: u32,
}

/// State of one engine.
#[derive(Debug)]
pub struct EngineState {
    settings: EngineSettings,
    boot_id: BootId,
    assignment: Assignment,
    state: BackendState,
    /// End of the change in progress and what is loaded then.
    change: Option<(Instant, Assignment, Nonce)>,
    /// Waiting and running requests.
    pub batch: Batch,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Counters.
    pub counters: EngineCounters,
    fencing_number: FencingNumber,
    generation: Generation,
    last_order_nonce: Option<Nonce>,
    /// Nonces of orders received, at most [`MAX_NONCES`].
    nonces: VecDeque<Nonce>,
    /// Exported KV caches by handle, at most [`MAX_KV_ENTRIES`].
    kv: IndexMap<SmolStr, KvEntry>,
    next_kv: u64,
    /// Reports with the time they were made, newest last; they span the report lag.
    reports: VecDeque<(Instant, EngineReport)>,
    seq: u64,
    prefill_rate: f64,
    decode_rate: f64,
    /// Counted tokens at the last report.
    rate_base: (u64, u64),
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
            kv: IndexMap::new(),
            next_kv: 0,
            reports: VecDeque::new(),
            seq: 0,
            prefill_rate: 0.0,
            decode_rate: 0.0,
            rate_base: (0, 0),
        };
        state.make_report(Instant::now());
        state
    }

    /// Returns the settings.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Checks whether a call could run now.
    pub fn check(&self, call: &GenerateRequest) -> Result<(), EngineRefusalCode> {
        if self.state != BackendState::Serving {
            return Err(EngineRefusalCode::Draining);
        }
        let loaded = &self.assignment;
        let adapter = call.adapter.as_ref();
        let matches = call.group == self.settings.group
            && call.model == loaded.model
            && call.version == loaded.version
            && adapter.is_none_or(|name| loaded.adapters.contains(name))
            && loaded.role.serves(call.phase);
        if !matches {
            return Err(EngineRefusalCode::WrongAssignment);
        }
        if self.batch.waiting() >= self.settings.max_queued {
            return Err(EngineRefusalCode::Full);
        }
        let resumed = output_text(prompt_key(&call.prompt), call.from_index);
        if call.from_index > call.max_tokens || call.emitted != resumed {
            return Err(EngineRefusalCode::BadRequest);
        }
        Ok(())
    }

    /// Adds a checked call.
    pub fn submit(&mut self, sequence: Sequence) {
        self.counters.accepted += 1;
        self.counters.resumed += u64::from(sequence.next_index > 0);
        self.batch.push(sequence);
    }

    /// Takes the state from a switch of the control API or a stop signal.
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

    /// Takes an order.
    pub fn order(&mut self, order: &Order, now: Instant) -> Result<(), EngineRefusalCode> {
        if self.nonces.contains(&order.nonce) {
            self.counters.repeated_orders += 1;
            return Ok(());
        }
        let stale = order.fencing_number < self.fencing_number;
        if stale && self.settings.checks_fencing {
            self.counters.stale_orders += 1;
            return Err(EngineRefusalCode::StaleFencingNumber);
        }
        if stale || self.contradicts(&order.kind) {
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

    /// Tells whether an order contradicts the change in progress.
    fn contradicts(&self, kind: &OrderKind) -> bool {
        match (&self.change, kind) {
            (None, _) => false,
            (Some((_, target, _)), OrderKind::Assign(assignment)) => target != assignment,
            (Some(_), OrderKind::Drain | OrderKind::Undrain) => true,
        }
    }

    fn apply(&mut self, order: &Order, now: Instant) {
        match &order.kind {
            OrderKind::Drain => self.set_draining(true),
            OrderKind::Undrain => self.set_draining(false),
            OrderKind::Assign(assignment) => {
                self.counters.aborted_requests += self.batch.cut();
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

    /// Ends a change whose time has come.
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
        self.kv.clear();
    }

    /// Runs one step; returns the request that crashes the process, if there is one.
    pub fn step(&mut self) -> Option<String> {
        let chunk = self.settings.prefill_chunk_tokens;
        let outcome: StepOutcome = self.batch.step(&mut self.cache, chunk);
        self.counters.completed += outcome.finished;
        self.counters.abandoned += outcome.abandoned;
        self.counters.prefill_tokens += u64::from(outcome.prefill_tokens);
        self.counters.decoded_tokens += u64::from(outcome.decoded_tokens);
        for sequence in outcome.prefilled {
            self.send_handle(&sequence);
        }
        outcome.crash
    }

    /// Ends a prefill with the handle of its KV cache.
    fn send_handle(&mut self, sequence: &Sequence) {
        self.next_kv += 1;
        let handle = SmolStr::from(format!("{:x}-{}", self.boot_id, self.next_kv));
        if self.kv.len() == MAX_KV_ENTRIES {
            self.kv.shift_remove_index(0);
        }
        let entry = KvEntry {
            key: sequence.key,
            tokens: sequence.prompt_tokens,
        };
        self.kv.insert(handle.clone(), entry);
        let mut frame = sequence.frame();
        frame.kv_handle = Some(handle);
        frame.usage = Some(sequence.usage());
        match sequence.frames.try_send(frame) {
            Ok(()) => self.counters.completed += 1,
            Err(_) => self.counters.abandoned += 1,
        }
    }

    /// Returns an exported KV cache.
    pub fn kv_entry(&self, handle: &str) -> Option<KvEntry> {
        self.kv.get(handle).copied()
    }

    /// Makes a report and drops those older than the lag needs.
    pub fn make_report(&mut self, now: Instant) {
        self.update_rates();
        self.seq += 1;
        let used = self.batch.kv_tokens() as f64 / self.settings.kv_capacity_tokens as f64;
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
            queued_tokens: self.batch.queued_tokens(),
            decode_slots: u32::try_from(self.settings.max_running).unwrap_or(u32::MAX),
            kv_used_ratio: used.min(1.0),
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

    /// Returns the newest report that is at least as old as the lag, or the oldest one.
    pub fn report(&self) -> Option<&EngineReport> {
        self.reports.front().map(|(_, report)| report)
    }

    fn update_rates(&mut self) {
        let now = (self.counters.prefill_tokens, self.counters.decoded_tokens);
        let per_s = |new: u64, old: u64| (new - old) as f64 / REPORT_PERIOD.as_secs_f64();
        // Moving average over about one second of reports.
        let weight = REPORT_PERIOD.as_secs_f64();
        self.prefill_rate += weight * (per_s(now.0, self.rate_base.0) - self.prefill_rate);
        self.decode_rate += weight * (per_s(now.1, self.rate_base.1) - self.decode_rate);
        self.rate_base = now;
    }
}
