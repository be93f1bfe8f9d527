//! One backend server in the routing table.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use smol_str::SmolStr;
use wagtailarch_types::{InstanceId, Role, ZoneName};

use crate::{BackendView, LoadReport};

/// Time over which the weight of a new or recovered backend server rises to 1.
const SLOW_START: Duration = Duration::from_secs(10);
/// Weight at the begin of the slow start.
const SLOW_START_MIN: f64 = 0.1;
/// Slots of a backend server that reports none.
const DEFAULT_SLOTS: u32 = 64;
/// Prompt tokens per second of a prefill engine whose rate is not known yet.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Share of that rate that a mixed engine has, since it generates as well.
const MIXED_PREFILL_SHARE: f64 = 0.5;
/// Share of that rate that a decode engine has, which takes prompts in small pieces.
const DECODE_PREFILL_SHARE: f64 = 0.25;
/// Seconds of waiting prompts in a report above which its prefill rate is what the engine can
/// do; the rate of an engine that waits for prompts says little.
const BACKLOG_S: f64 = 0.2;
/// Weight of a newly reported prefill rate.
const RATE_WEIGHT: f64 = 0.2;
/// Share of the KV cache above which running requests are about to be preempted.
const KV_FULL_RATIO: f64 = 0.9;
/// Score added to a backend server whose KV cache is full.
const KV_FULL_PENALTY: f64 = 1.0;
/// Number of past updates of which the own load is remembered, to find the own share of a
/// lagging report.
const HISTORY: usize = 8;

/// One backend server in the routing table; immutable but for the counters.
#[derive(Debug)]
pub(crate) struct Slot {
    pub id: InstanceId,
    pub zone: ZoneName,
    /// Index of the zone in the table.
    pub zone_index: usize,
    pub address: SmolStr,
    pub counters: Arc<Counters>,
    /// Hash of `id`, for rendezvous hashing.
    pub id_hash: u64,
    /// Requests of other instances, as of the last report.
    others_running: f64,
    /// Waiting prompt tokens of other instances, as of the last report.
    others_tokens: f64,
    /// 1 / slots.
    per_slot: f64,
    /// Seconds for each waiting prompt token.
    s_per_token: f64,
    kv_penalty: f64,
    since: Duration,
    /// End of the slow start.
    full_at: Duration,
}

/// Own load on one backend server.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    in_flight: AtomicU32,
    /// Own prompt tokens that wait for processing.
    waiting_tokens: AtomicU64,
    /// Own suspects in flight: 0 or 1.
    suspects: AtomicU32,
    /// Set by a sign of leaving until the next update.
    suspended: AtomicBool,
}

/// What outlives an update of the table.
#[derive(Debug, Default)]
pub(crate) struct Known {
    pub counters: Arc<Counters>,
    /// Own load at past updates, oldest first; at most `HISTORY`.
    history: VecDeque<OwnLoad>,
    last_seq: Option<u64>,
    others_running: f64,
    others_tokens: f64,
    /// Role for which `prefill_tokens_per_s` holds.
    role: Option<Role>,
    /// Prompt tokens per second under backlog; 0 while unknown.
    prefill_tokens_per_s: f64,
}

/// Own load at one time.
#[derive(Debug, Clone, Copy, Default)]
struct OwnLoad {
    at: Duration,
    in_flight: u32,
    waiting_tokens: u64,
}

impl Slot {
    /// Estimates the load, in shares of what the backend server runs at once plus seconds of
    /// waiting prompts; the request to be placed is included.
    pub fn score(&self, now: Duration) -> f64 {
        let running = self.others_running + f64::from(self.counters.in_flight()) + 1.0;
        let tokens = self.others_tokens + self.counters.waiting_tokens() as f64;
        let load = running * self.per_slot + tokens * self.s_per_token + self.kv_penalty;
        if now >= self.full_at {
            return load;
        }
        load / self.weight(now)
    }

    /// Estimates the time in seconds until a prompt is processed.
    ///
    /// A backend server without a free slot is taken to need a time that no other exceeds.
    pub fn prompt_time_s(&self, prompt_tokens: u32) -> f64 {
        let running = self.others_running + f64::from(self.counters.in_flight()) + 1.0;
        if running * self.per_slot > 1.0 {
            return f64::MAX;
        }
        let tokens = self.others_tokens + self.counters.waiting_tokens() as f64;
        (tokens + f64::from(prompt_tokens)) * self.s_per_token
    }

    /// Returns the score of one request on an otherwise idle backend server.
    pub fn unit_score(&self) -> f64 {
        self.per_slot
    }

    fn weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.since);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).max(SLOW_START_MIN)
    }
}

impl Counters {
    /// Returns the own requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens.load(Ordering::Relaxed)
    }

    /// Counts a request; false if it is a suspect and another suspect is in flight.
    pub fn start(&self, prompt_tokens: u32, suspect: bool) -> bool {
        if suspect {
            let free = self
                .suspects
                .compare_exchange(0, 1, Ordering::Relaxed, Ordering::Relaxed);
            if free.is_err() {
                return false;
            }
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.waiting_tokens
            .fetch_add(u64::from(prompt_tokens), Ordering::Relaxed);
        true
    }

    /// Takes processed prompt tokens from those that wait.
    pub fn prompt_done(&self, tokens: u32) {
        self.waiting_tokens
            .fetch_sub(u64::from(tokens), Ordering::Relaxed);
    }

    /// Takes a request from those in flight.
    pub fn finish(&self, suspect: bool) {
        if suspect {
            self.suspects.store(0, Ordering::Relaxed);
        }
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Sets or clears the sign of leaving.
    pub fn set_suspended(&self, suspended: bool) {
        self.suspended.store(suspended, Ordering::Relaxed);
    }

    /// Tells whether a sign of leaving was seen since the last update.
    pub fn is_suspended(&self) -> bool {
        self.suspended.load(Ordering::Relaxed)
    }
}

impl Known {
    /// Takes over a view and returns its slot in the table.
    pub fn slot(&mut self, now: Duration, view: &BackendView, zone_index: usize) -> Slot {
        self.take_report(now, view);
        self.remember(now);
        self.counters.set_suspended(false);
        let report = view.report.unwrap_or_default();
        let slots = match report.decode_slots {
            0 => DEFAULT_SLOTS,
            slots => slots,
        };
        let kv_full = report.kv_used_ratio > KV_FULL_RATIO;
        Slot {
            id: view.id.clone(),
            zone: view.zone.clone(),
            zone_index,
            address: view.address.clone(),
            counters: Arc::clone(&self.counters),
            id_hash: wagtailarch_types::rendezvous_weight(0, &view.id),
            others_running: self.others_running,
            others_tokens: self.others_tokens,
            per_slot: 1.0 / f64::from(slots),
            s_per_token: 1.0 / self.prefill_rate(),
            kv_penalty: if kv_full { KV_FULL_PENALTY } else { 0.0 },
            since: view.serving_since,
            full_at: view.serving_since + SLOW_START,
        }
    }

    /// Tells whether nothing of the backend server needs to be remembered.
    pub fn is_idle(&self) -> bool {
        self.counters.in_flight() == 0
    }

    fn prefill_rate(&self) -> f64 {
        if self.prefill_tokens_per_s >= 1.0 {
            return self.prefill_tokens_per_s;
        }
        let share = match self.role {
            Some(Role::Prefill) | None => 1.0,
            Some(Role::Mixed) => MIXED_PREFILL_SHARE,
            Some(Role::Decode) => DECODE_PREFILL_SHARE,
        };
        DEFAULT_PREFILL_TOKENS_PER_S * share
    }

    /// Learns the prefill rate from a report under backlog.
    fn learn_rate(&mut self, role: Option<Role>, report: &LoadReport) {
        if self.role != role {
            self.role = role;
            self.prefill_tokens_per_s = 0.0;
        }
        let rate = report.prefill_tokens_per_s;
        if rate < 1.0 || report.queued_tokens as f64 <= BACKLOG_S * rate {
            return;
        }
        let known = self.prefill_rate();
        self.prefill_tokens_per_s = known + RATE_WEIGHT * (rate - known);
    }

    /// Separates the load of other instances in a new report from the own load that it includes.
    fn take_report(&mut self, now: Duration, view: &BackendView) {
        let Some(report) = view.report else {
            self.others_running = 0.0;
            self.others_tokens = 0.0;
            return;
        };
        if self.last_seq == Some(report.seq) {
            return;
        }
        self.last_seq = Some(report.seq);
        let own = self.own_load_at(now.saturating_sub(view.report_age));
        self.others_running = f64::from(report.running.saturating_sub(own.in_flight));
        self.others_tokens = report.queued_tokens.saturating_sub(own.waiting_tokens) as f64;
        let role = view.assignment.as_ref().map(|assignment| assignment.role);
        self.learn_rate(role, &report);
    }

    /// Returns the own load at the last update before `at`, or the oldest that is known.
    fn own_load_at(&self, at: Duration) -> OwnLoad {
        let before = self.history.iter().rev().find(|own| own.at <= at);
        before.or(self.history.front()).copied().unwrap_or_default()
    }

    fn remember(&mut self, now: Duration) {
        if self.history.len() >= HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(OwnLoad {
            at: now,
            in_flight: self.counters.in_flight(),
            waiting_tokens: self.counters.waiting_tokens(),
        });
    }
}
