//! Collects the exchanges of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use smol_str::SmolStr;

use super::outcome::{Exchange, RequestKind, RequestOutcome};
use super::plan::Arrival;
use super::report::{RefusalCount, RequestFault};
use super::scenario::Scenario;

/// Greatest time that a histogram holds; longer ones count as this.
const MAX_TIME: Duration = Duration::from_secs(600);
/// Faults described in the report.
const MAX_FAULTS: usize = 50;
/// Distinct refusal codes counted apart.
const MAX_CODES: usize = 64;

/// Histograms and counts of one kind.
#[derive(Debug, Clone)]
pub(super) struct KindRecord {
    pub sent: u64,
    pub completed: u64,
    pub lost: u64,
    pub doubled: u64,
    pub mixed: u64,
    pub refused: u64,
    pub unreachable: u64,
    pub tokens: u64,
    /// Completed within the latency targets.
    pub in_target: u64,
    /// Microseconds to the first token.
    pub first: Histogram<u64>,
    /// Microseconds between tokens.
    pub between: Histogram<u64>,
    /// Microseconds to the end.
    pub total: Histogram<u64>,
}

/// What became of a non-idempotent call, for the check of runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PostEnd {
    /// It must have run once.
    Complete,
    /// The system said that it did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// All records of a run.
#[derive(Debug)]
pub(super) struct Recorder {
    pub kinds: IndexMap<RequestKind, KindRecord>,
    /// At most [`MAX_CODES`] entries.
    pub refused: IndexMap<SmolStr, RefusalCount>,
    pub lost_by_target: IndexMap<SmolStr, u64>,
    /// At most [`MAX_FAULTS`] entries.
    pub faults: Vec<RequestFault>,
    pub not_sent: u64,
    pub repeated: u64,
    /// Ends of non-idempotent calls by key; at most one entry a request.
    pub posts: IndexMap<SmolStr, PostEnd>,
    first_token_target: Duration,
    between_target: Duration,
}

impl KindRecord {
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
            in_target: 0,
            first: histogram(),
            between: histogram(),
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
                .map(|kind| (kind, KindRecord::new()))
                .collect(),
            refused: IndexMap::new(),
            lost_by_target: IndexMap::new(),
            faults: Vec::new(),
            not_sent: 0,
            repeated: 0,
            posts: IndexMap::new(),
            first_token_target: Duration::from_secs_f64(scenario.first_token_target_ms / 1e3),
            between_target: Duration::from_secs_f64(scenario.between_target_ms / 1e3),
        }
    }

    /// Records the end of a request.
    pub(super) fn record(&mut self, arrival: &Arrival, target: &SmolStr, exchange: &Exchange) {
        let in_target = self.in_target(exchange);
        let Some(record) = self.kinds.get_mut(&arrival.kind) else {
            return;
        };
        record.sent += 1;
        match &exchange.outcome {
            RequestOutcome::Complete => {
                record.completed += 1;
                record.in_target += u64::from(in_target);
                record.tokens += u64::from(exchange.tokens);
                record_time(&mut record.total, exchange.total);
                exchange
                    .first
                    .iter()
                    .for_each(|time| record_time(&mut record.first, *time));
                exchange
                    .between
                    .iter()
                    .for_each(|time| record_time(&mut record.between, *time));
            }
            RequestOutcome::Lost(text) => {
                record.lost += 1;
                *self.lost_by_target.entry(target.clone()).or_insert(0) += 1;
                self.fault("lost", arrival, target, exchange, text);
            }
            RequestOutcome::Doubled(text) => {
                record.doubled += 1;
                self.fault("doubled", arrival, target, exchange, text);
            }
            RequestOutcome::Mixed(text) => {
                record.mixed += 1;
                self.fault("mixed", arrival, target, exchange, text);
            }
            RequestOutcome::Refused(refusal) => {
                record.refused += 1;
                let full = self.refused.len() >= MAX_CODES;
                let code = if full {
                    "other".into()
                } else {
                    refusal.code.clone()
                };
                self.refused.entry(code).or_default().add(&refusal.ran);
            }
            RequestOutcome::Unreachable(text) => {
                record.unreachable += 1;
                self.fault("unreachable", arrival, target, exchange, text);
            }
        }
    }

    /// Records how a non-idempotent call ended.
    pub(super) fn record_post(&mut self, key: SmolStr, exchange: &Exchange) {
        let end = match &exchange.outcome {
            RequestOutcome::Complete => PostEnd::Complete,
            RequestOutcome::Refused(refusal) if refusal.ran == "no" => PostEnd::NotRun,
            RequestOutcome::Unreachable(_) => PostEnd::NotRun,
            _ => PostEnd::Unknown,
        };
        self.posts.insert(key, end);
    }

    /// Records a call that ran more often than the answers say.
    pub(super) fn record_runs(&mut self, kind: &'static str, key: &SmolStr, runs: u32) {
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

    fn in_target(&self, exchange: &Exchange) -> bool {
        let count = u32::try_from(exchange.between.len())
            .unwrap_or(u32::MAX)
            .max(1);
        let mean = exchange.between.iter().sum::<Duration>() / count;
        let first = exchange.first.unwrap_or(exchange.total);
        first <= self.first_token_target && mean <= self.between_target
    }

    fn fault(
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
