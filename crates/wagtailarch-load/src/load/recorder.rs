//! Records the exchanges of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use smol_str::SmolStr;

use super::outcome::{Exchange, RequestKind, RequestOutcome};
use super::report::{RefusalCount, RequestFault};
use super::scenario::Scenario;
use super::schedule::Arrival;

/// Largest time in the histograms; longer times are recorded as this one.
const MAX_TIME: Duration = Duration::from_secs(600);
/// Maximum number of faults in the report.
const MAX_FAULTS: usize = 50;
/// Maximum number of refusal codes that are counted separately.
const MAX_REFUSAL_CODES: usize = 64;

/// Counts and histograms of one kind of request.
#[derive(Debug, Clone)]
pub(super) struct KindStats {
    pub sent: u64,
    pub completed: u64,
    pub lost: u64,
    pub doubled: u64,
    pub mixed: u64,
    pub refused: u64,
    pub unreachable: u64,
    pub tokens: u64,
    /// Requests completed within the latency targets.
    pub within_targets: u64,
    /// Microseconds to the first token.
    pub first_token: Histogram<u64>,
    /// Microseconds between tokens.
    pub token_intervals: Histogram<u64>,
    /// Microseconds to the end of the response.
    pub total: Histogram<u64>,
}

/// Outcome of a non-idempotent call, for the check against the recorded runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PostOutcome {
    /// The call completed, so it must have run once.
    Complete,
    /// The call was refused as not run or never sent, so it must not have run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Records of all requests of a run.
#[derive(Debug)]
pub(super) struct Recorder {
    pub kinds: IndexMap<RequestKind, KindStats>,
    /// Refusals by code; at most [`MAX_REFUSAL_CODES`] codes and `other`.
    pub refusals_by_code: IndexMap<SmolStr, RefusalCount>,
    /// Lost responses by the address that the request was sent to.
    pub lost_by_target: IndexMap<SmolStr, u64>,
    /// The first faults; at most [`MAX_FAULTS`].
    pub faults: Vec<RequestFault>,
    /// Arrivals not sent because too many requests were in flight.
    pub not_sent: u64,
    /// Non-idempotent calls sent again with the same key.
    pub repeated: u64,
    /// Outcomes of non-idempotent calls by idempotency key; at most one for each request.
    pub post_outcomes: IndexMap<SmolStr, PostOutcome>,
    first_token_target: Duration,
    token_interval_target: Duration,
}

impl KindStats {
    fn new() -> Self {
        Self {
            sent: 0,
            completed: 0,
            lost: 0,
            doubled: 0,
            mixed: 0,
            refused: 0,
            unreachable: 0,
            tokens: 0,
            within_targets: 0,
            first_token: histogram(),
            token_intervals: histogram(),
            total: histogram(),
        }
    }
}

impl Recorder {
    /// Creates an empty recorder.
    pub(super) fn new(scenario: &Scenario) -> Self {
        Self {
            kinds: RequestKind::ALL
                .into_iter()
                .map(|kind| (kind, KindStats::new()))
                .collect(),
            refusals_by_code: IndexMap::new(),
            lost_by_target: IndexMap::new(),
            faults: Vec::new(),
            not_sent: 0,
            repeated: 0,
            post_outcomes: IndexMap::new(),
            first_token_target: Duration::from_secs_f64(scenario.first_token_target_ms / 1e3),
            token_interval_target: Duration::from_secs_f64(scenario.between_target_ms / 1e3),
        }
    }

    /// Records the outcome and the times of a request.
    pub(super) fn record(&mut self, arrival: &Arrival, target: &SmolStr, exchange: &Exchange) {
        let within_targets = self.within_targets(exchange);
        let Some(stats) = self.kinds.get_mut(&arrival.kind) else {
            return;
        };
        stats.sent += 1;
        match &exchange.outcome {
            RequestOutcome::Complete => {
                stats.completed += 1;
                stats.within_targets += u64::from(within_targets);
                stats.tokens += u64::from(exchange.tokens);
                record_time(&mut stats.total, exchange.total);
                exchange
                    .first_token
                    .iter()
                    .for_each(|time| record_time(&mut stats.first_token, *time));
                exchange
                    .token_intervals
                    .iter()
                    .for_each(|time| record_time(&mut stats.token_intervals, *time));
            }
            RequestOutcome::Lost(text) => {
                stats.lost += 1;
                *self.lost_by_target.entry(target.clone()).or_insert(0) += 1;
                self.record_fault("lost", arrival, target, exchange, text);
            }
            RequestOutcome::Doubled(text) => {
                stats.doubled += 1;
                self.record_fault("doubled", arrival, target, exchange, text);
            }
            RequestOutcome::Mixed(text) => {
                stats.mixed += 1;
                self.record_fault("mixed", arrival, target, exchange, text);
            }
            RequestOutcome::Refused(refusal) => {
                stats.refused += 1;
                let is_full = self.refusals_by_code.len() >= MAX_REFUSAL_CODES;
                let code = if is_full {
                    "other".into()
                } else {
                    refusal.code.clone()
                };
                self.refusals_by_code
                    .entry(code)
                    .or_default()
                    .add(&refusal.ran);
            }
            RequestOutcome::Unreachable(text) => {
                stats.unreachable += 1;
                self.record_fault("unreachable", arrival, target, exchange, text);
            }
        }
    }

    /// Records the outcome of a non-idempotent call.
    pub(super) fn record_post(&mut self, key: SmolStr, exchange: &Exchange) {
        let outcome = match &exchange.outcome {
            RequestOutcome::Complete => PostOutcome::Complete,
            RequestOutcome::Refused(refusal) if refusal.ran == "no" => PostOutcome::NotRun,
            RequestOutcome::Unreachable(_) => PostOutcome::NotRun,
            _ => PostOutcome::Unknown,
        };
        self.post_outcomes.insert(key, outcome);
    }

    /// Records a call whose number of runs contradicts its response.
    pub(super) fn record_run_fault(&mut self, kind: &'static str, key: &SmolStr, runs: u32) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(RequestFault {
                kind: kind.into(),
                request: 0,
                request_id: key.clone(),
                target: SmolStr::default(),
                detail: format!("{runs} runs").into(),
            });
        }
    }

    /// Returns whether the first token and the mean time between tokens are within their targets.
    fn within_targets(&self, exchange: &Exchange) -> bool {
        let count = u32::try_from(exchange.token_intervals.len())
            .unwrap_or(u32::MAX)
            .max(1);
        let mean = exchange.token_intervals.iter().sum::<Duration>() / count;
        let first_token = exchange.first_token.unwrap_or(exchange.total);
        first_token <= self.first_token_target && mean <= self.token_interval_target
    }

    /// Records a fault unless the report is full.
    fn record_fault(
        &mut self,
        kind: &'static str,
        arrival: &Arrival,
        target: &SmolStr,
        exchange: &Exchange,
        detail: &SmolStr,
    ) {
        if self.faults.len() >= MAX_FAULTS {
            return;
        }
        self.faults.push(RequestFault {
            kind: kind.into(),
            request: arrival.number,
            request_id: exchange.request_id.clone(),
            target: target.clone(),
            detail: format!("{}: {detail}", arrival.kind.as_str()).into(),
        });
    }
}

/// Creates a histogram of microseconds with three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, micros(MAX_TIME), 3).expect("the bounds are valid")
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(micros(time));
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
