//! The load of one backend server as the router estimates it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use smol_str::SmolStr;
use wagtailarch_types::{InstanceId, Role, ZoneName};

use crate::{BackendView, LoadReport};

/// Time in which the weight of a new or recovered backend server rises to 1.
const SLOW_START: Duration = Duration::from_secs(10);
/// Weight at the start of the slow start.
const SLOW_START_MIN_WEIGHT: f64 = 0.1;
/// Number of concurrent requests assumed for a backend server that does not report its slots.
const DEFAULT_SLOTS: u32 = 64;
/// Prefill rate assumed for a prefill engine until it reports one under backlog.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Fraction of the default prefill rate assumed for a mixed engine, which also decodes.
const MIXED_PREFILL_FRACTION: f64 = 0.5;
/// Fraction of the default prefill rate assumed for a decode engine, which processes prompts in
/// small chunks.
const DECODE_PREFILL_FRACTION: f64 = 0.25;
/// Backlog of prompts, in seconds, above which a reported prefill rate counts as the engine's
/// capacity. With less backlog the engine idles between prompts and reports a lower rate.
const MIN_BACKLOG_S: f64 = 0.2;
/// Weight of a new sample in the moving average of the prefill rate.
const RATE_SAMPLE_WEIGHT: f64 = 0.2;
/// Fraction of the KV cache in use above which the engine is about to preempt running requests.
const KV_FULL_RATIO: f64 = 0.9;
/// Penalty added to the score of an engine whose KV cache is above `KV_FULL_RATIO`.
const KV_FULL_PENALTY: f64 = 1.0;
/// Number of past updates for which the local load is kept. Reports lag, so the local part of a
/// report is that of an earlier update.
const MAX_SAMPLES: usize = 8;

/// A backend server in the routing table with its estimated load.
///
/// Only the shared `local_load` changes between two updates of the table.
#[derive(Debug)]
pub(crate) struct BackendLoad {
    pub id: InstanceId,
    pub zone: ZoneName,
    /// Index of the zone in the table.
    pub zone_index: usize,
    pub address: SmolStr,
    pub local_load: Arc<LocalLoad>,
    /// Hash of `id` for rendezvous hashing.
    pub id_hash: u64,
    /// Requests of other instances that run or wait, as of the last report.
    remote_running: f64,
    /// Queued prompt tokens of other instances, as of the last report.
    remote_queued_tokens: f64,
    /// Load of one request: 1 / number of slots.
    load_per_request: f64,
    /// Seconds of prefill for each prompt token.
    prefill_s_per_token: f64,
    /// Added to the score while the KV cache is nearly full.
    kv_cache_penalty: f64,
    /// Start of the slow start.
    serving_since: Duration,
    slow_start_end: Duration,
}

/// Load of this instance on one backend server.
#[derive(Debug, Default)]
pub(crate) struct LocalLoad {
    in_flight: AtomicU32,
    /// Prompt tokens whose prefill has not finished.
    waiting_tokens: AtomicU64,
    /// Suspects in flight: 0 or 1.
    suspects: AtomicU32,
    /// Whether new requests are withheld until the next update.
    suspended: AtomicBool,
}

/// State of a backend server that is kept across updates of the routing table.
#[derive(Debug, Default)]
pub(crate) struct BackendTracker {
    pub local_load: Arc<LocalLoad>,
    /// Local load at past updates, oldest first; at most `MAX_SAMPLES`.
    samples: VecDeque<LoadSample>,
    /// Sequence number of the last applied report.
    last_seq: Option<u64>,
    remote_running: f64,
    remote_queued_tokens: f64,
    /// Role for which `prefill_tokens_per_s` was measured.
    role: Option<Role>,
    /// Moving average of the prefill rate under backlog; 0 while unknown.
    prefill_tokens_per_s: f64,
}

/// Local load at the time of one update.
#[derive(Debug, Clone, Copy, Default)]
struct LoadSample {
    at: Duration,
    in_flight: u32,
    waiting_tokens: u64,
}

impl BackendLoad {
    /// Returns the estimated load, including the request to be placed.
    ///
    /// It is the fraction of the slots in use plus the queued prefill in seconds. During slow start
    /// it is divided by the weight.
    pub fn score(&self, now: Duration) -> f64 {
        let running = self.remote_running + f64::from(self.local_load.in_flight()) + 1.0;
        let tokens = self.remote_queued_tokens + self.local_load.waiting_tokens() as f64;
        let load = running * self.load_per_request
            + tokens * self.prefill_s_per_token
            + self.kv_cache_penalty;
        if now >= self.slow_start_end {
            return load;
        }
        load / self.slow_start_weight(now)
    }

    /// Estimates the time in seconds until a prompt of `prompt_tokens` has been prefilled.
    ///
    /// Returns `f64::MAX` if no slot is free, so that such a backend server ranks last.
    pub fn prefill_time_s(&self, prompt_tokens: u32) -> f64 {
        let running = self.remote_running + f64::from(self.local_load.in_flight()) + 1.0;
        if running * self.load_per_request > 1.0 {
            return f64::MAX;
        }
        let tokens = self.remote_queued_tokens + self.local_load.waiting_tokens() as f64;
        (tokens + f64::from(prompt_tokens)) * self.prefill_s_per_token
    }

    /// Returns the score of one request on an otherwise idle backend server.
    pub fn unit_score(&self) -> f64 {
        self.load_per_request
    }

    fn slow_start_weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.serving_since);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).max(SLOW_START_MIN_WEIGHT)
    }
}

impl LocalLoad {
    /// Returns the number of this instance's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens.load(Ordering::Relaxed)
    }

    /// Counts a request, or returns false if it is a suspect and another suspect is in flight.
    pub fn try_start(&self, prompt_tokens: u32, suspect: bool) -> bool {
        if suspect {
            let claimed =
                self.suspects
                    .compare_exchange(0, 1, Ordering::Relaxed, Ordering::Relaxed);
            if claimed.is_err() {
                return false;
            }
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.waiting_tokens
            .fetch_add(u64::from(prompt_tokens), Ordering::Relaxed);
        true
    }

    /// Subtracts prompt tokens whose prefill has finished.
    pub fn finish_prefill(&self, tokens: u32) {
        self.waiting_tokens
            .fetch_sub(u64::from(tokens), Ordering::Relaxed);
    }

    /// Subtracts a request that has ended.
    pub fn finish(&self, suspect: bool) {
        if suspect {
            self.suspects.store(0, Ordering::Relaxed);
        }
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Stops or resumes sending new requests.
    pub fn set_suspended(&self, suspended: bool) {
        self.suspended.store(suspended, Ordering::Relaxed);
    }

    /// Returns whether new requests are withheld until the next update.
    pub fn is_suspended(&self) -> bool {
        self.suspended.load(Ordering::Relaxed)
    }
}

impl BackendTracker {
    /// Applies a view and returns the entry for the routing table.
    pub fn apply_view(
        &mut self,
        now: Duration,
        view: &BackendView,
        zone_index: usize,
    ) -> BackendLoad {
        self.apply_report(now, view);
        self.record_sample(now);
        self.local_load.set_suspended(false);
        let report = view.report.unwrap_or_default();
        let slots = match report.decode_slots {
            0 => DEFAULT_SLOTS,
            slots => slots,
        };
        let kv_cache_full = report.kv_used_ratio > KV_FULL_RATIO;
        BackendLoad {
            id: view.id.clone(),
            zone: view.zone.clone(),
            zone_index,
            address: view.address.clone(),
            local_load: Arc::clone(&self.local_load),
            id_hash: wagtailarch_types::rendezvous_weight(0, &view.id),
            remote_running: self.remote_running,
            remote_queued_tokens: self.remote_queued_tokens,
            load_per_request: 1.0 / f64::from(slots),
            prefill_s_per_token: 1.0 / self.prefill_rate(),
            kv_cache_penalty: if kv_cache_full { KV_FULL_PENALTY } else { 0.0 },
            serving_since: view.serving_since,
            slow_start_end: view.serving_since + SLOW_START,
        }
    }

    /// Returns whether no request is in flight, so that the tracker may be removed.
    pub fn is_idle(&self) -> bool {
        self.local_load.in_flight() == 0
    }

    /// Returns the learned prefill rate, or else the default for the role.
    fn prefill_rate(&self) -> f64 {
        if self.prefill_tokens_per_s >= 1.0 {
            return self.prefill_tokens_per_s;
        }
        let fraction = match self.role {
            Some(Role::Prefill) | None => 1.0,
            Some(Role::Mixed) => MIXED_PREFILL_FRACTION,
            Some(Role::Decode) => DECODE_PREFILL_FRACTION,
        };
        DEFAULT_PREFILL_TOKENS_PER_S * fraction
    }

    /// Updates the moving average of the prefill rate if the report shows a backlog.
    fn update_prefill_rate(&mut self, role: Option<Role>, report: &LoadReport) {
        if self.role != role {
            self.role = role;
            self.prefill_tokens_per_s = 0.0;
        }
        let rate = report.prefill_tokens_per_s;
        if rate < 1.0 || report.queued_tokens as f64 <= MIN_BACKLOG_S * rate {
            return;
        }
        let current = self.prefill_rate();
        self.prefill_tokens_per_s = current + RATE_SAMPLE_WEIGHT * (rate - current);
    }

    /// Computes the load of other instances: that of a new report without the local load it
    /// includes.
    fn apply_report(&mut self, now: Duration, view: &BackendView) {
        let Some(report) = view.report else {
            self.remote_running = 0.0;
            self.remote_queued_tokens = 0.0;
            return;
        };
        if self.last_seq == Some(report.seq) {
            return;
        }
        self.last_seq = Some(report.seq);
        let local = self.local_load_at(now.saturating_sub(view.report_age));
        self.remote_running = f64::from(report.running.saturating_sub(local.in_flight));
        self.remote_queued_tokens =
            report.queued_tokens.saturating_sub(local.waiting_tokens) as f64;
        let role = view.assignment.as_ref().map(|assignment| assignment.role);
        self.update_prefill_rate(role, &report);
    }

    /// Returns the local load at the last update up to `at`, or else the oldest one kept.
    fn local_load_at(&self, at: Duration) -> LoadSample {
        let before = self.samples.iter().rev().find(|sample| sample.at <= at);
        before.or(self.samples.front()).copied().unwrap_or_default()
    }

    /// Keeps the current local load for reports that arrive later.
    fn record_sample(&mut self, now: Duration) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(LoadSample {
            at: now,
            in_flight: self.local_load.in_flight(),
            waiting_tokens: self.local_load.waiting_tokens(),
        });
    }
}
