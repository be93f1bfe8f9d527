//! Report of a run: table, CSV and JSON.

use std::fmt::{self, Write as _};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::outcome::RequestKind;
use super::recorder::{KindStats, Recorder};

/// Report of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the scenario.
    pub seed: u64,
    /// Time from the start of the run to the last response.
    pub duration_s: f64,
    /// Requests sent.
    pub sent: u64,
    /// Arrivals not sent because too many requests were in flight.
    pub not_sent: u64,
    /// Requests with a complete, correct response.
    pub completed: u64,
    /// Requests without a complete response.
    pub lost: u64,
    /// Responses of which a part arrived twice.
    pub doubled: u64,
    /// Responses with text that does not belong to them.
    pub mixed: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests for which no connection could be established.
    pub unreachable: u64,
    /// Non-idempotent calls sent again with the same key.
    pub repeated: u64,
    /// Non-idempotent calls that ran more than once.
    pub ran_twice: u64,
    /// Non-idempotent calls that ran although they were refused as not run.
    pub ran_though_refused: u64,
    /// Completed non-idempotent calls that no service recorded as run.
    pub answered_without_run: u64,
    /// Completed requests per second.
    pub goodput_per_s: f64,
    /// Requests completed within the latency targets, per second.
    pub goodput_in_target_per_s: f64,
    /// Output tokens of completed requests per second.
    pub tokens_per_s: f64,
    /// Refusals by code.
    pub refused_by_code: IndexMap<SmolStr, RefusalCount>,
    /// Lost responses by the address that the request was sent to.
    pub lost_by_target: IndexMap<SmolStr, u64>,
    /// Results by kind of request, without the kinds that were not sent.
    pub kinds: Vec<KindReport>,
    /// Time to the first token that entry instances add to streamed responses.
    ///
    /// This is the difference of the percentiles to those of direct calls, in microseconds; `None`
    /// without direct calls.
    pub added_first_token_us: Option<AddedLatency>,
    /// The first faults, at most 50.
    pub faults: Vec<RequestFault>,
}

/// Refusals with the same code, by whether the request ran.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// The request did not run.
    pub ran_no: u64,
    /// The request ran.
    pub ran_yes: u64,
    /// Unknown, or missing in the response.
    pub ran_unknown: u64,
}

impl RefusalCount {
    /// Counts a refusal whose response states `ran`.
    pub fn add(&mut self, ran: &str) {
        match ran {
            "no" => self.ran_no += 1,
            "yes" => self.ran_yes += 1,
            _ => self.ran_unknown += 1,
        }
    }

    /// Returns the number of refusals.
    pub fn total(&self) -> u64 {
        self.ran_no + self.ran_yes + self.ran_unknown
    }
}

/// Results of one kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    /// Kind of request.
    pub kind: RequestKind,
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete, correct response.
    pub completed: u64,
    /// Requests without a complete response.
    pub lost: u64,
    /// Responses of which a part arrived twice.
    pub doubled: u64,
    /// Responses with text that does not belong to them.
    pub mixed: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests for which no connection could be established.
    pub unreachable: u64,
    /// Output tokens of completed requests.
    pub tokens: u64,
    /// Microseconds to the first token or, for plain calls, to the response.
    pub first_us: Percentiles,
    /// Microseconds between tokens.
    pub between_us: Percentiles,
    /// Microseconds to the end of the response.
    pub total_us: Percentiles,
}

/// Percentiles in microseconds; all 0 if no times were recorded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

/// Latency that entry instances add, as differences of percentiles in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddedLatency {
    /// Difference of the medians.
    pub p50: i64,
    /// Difference of the 99th percentiles.
    pub p99: i64,
}

/// A request with a fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFault {
    /// Kind of fault: `lost`, `doubled`, `mixed`, `unreachable`, `ran_twice`, `ran_though_refused`
    /// or `answered_without_run`.
    pub kind: SmolStr,
    /// Number of the request in the run; 0 for faults found by comparing runs.
    pub request: u64,
    /// Value of `x-request-id`, or the idempotency key for faults found by comparing runs.
    pub request_id: SmolStr,
    /// Address that the request was sent to; empty for faults found by comparing runs.
    pub target: SmolStr,
    /// Description of the fault.
    pub detail: SmolStr,
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        Self {
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}

impl LoadReport {
    /// Creates the report of a recorded run.
    ///
    /// The caller sets the counts of calls whose runs contradict their responses.
    pub(super) fn new(seed: u64, duration_s: f64, recorder: Recorder) -> Self {
        let mut report = Self {
            seed,
            duration_s,
            not_sent: recorder.not_sent,
            repeated: recorder.repeated,
            refused_by_code: recorder.refusals_by_code,
            lost_by_target: recorder.lost_by_target,
            faults: recorder.faults,
            ..Self::default()
        };
        let (mut within_targets, mut tokens) = (0, 0);
        for (kind, stats) in &recorder.kinds {
            if stats.sent == 0 {
                continue;
            }
            report.add_counts(stats);
            within_targets += stats.within_targets;
            tokens += stats.tokens;
            report.kinds.push(KindReport::new(*kind, stats));
        }
        let per_s = |count: u64| count as f64 / duration_s.max(1e-9);
        report.goodput_per_s = per_s(report.completed);
        report.goodput_in_target_per_s = per_s(within_targets);
        report.tokens_per_s = per_s(tokens);
        report.added_first_token_us = report.added_latency();
        report
    }

    fn add_counts(&mut self, stats: &KindStats) {
        self.sent += stats.sent;
        self.completed += stats.completed;
        self.lost += stats.lost;
        self.doubled += stats.doubled;
        self.mixed += stats.mixed;
        self.refused += stats.refused;
        self.unreachable += stats.unreachable;
    }

    /// Returns the latency that entry instances add to streamed responses, compared with direct
    /// calls.
    fn added_latency(&self) -> Option<AddedLatency> {
        let proxied = self.kind(RequestKind::Stream)?.first_us;
        let direct = self.kind(RequestKind::Direct)?.first_us;
        let difference = |a: u64, b: u64| i64::try_from(a).ok()?.checked_sub_unsigned(b);
        Some(AddedLatency {
            p50: difference(proxied.p50, direct.p50)?,
            p99: difference(proxied.p99, direct.p99)?,
        })
    }

    /// Returns the results of one kind of request; `None` if none were sent.
    pub fn kind(&self, kind: RequestKind) -> Option<&KindReport> {
        self.kinds.iter().find(|report| report.kind == kind)
    }

    /// Returns whether any response was lost, doubled or mixed, or any call ran contrary to its
    /// response.
    pub fn has_faults(&self) -> bool {
        self.lost
            + self.doubled
            + self.mixed
            + self.ran_twice
            + self.ran_though_refused
            + self.answered_without_run
            > 0
    }

    /// Returns the results by kind of request as CSV with a header line.
    pub fn to_csv(&self) -> Result<String, csv::Error> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer.write_record(CSV_HEADER)?;
        for kind in &self.kinds {
            let mut row = vec![kind.kind.as_str().to_owned()];
            let counts = [
                kind.sent,
                kind.completed,
                kind.lost,
                kind.doubled,
                kind.mixed,
            ];
            row.extend(counts.iter().map(u64::to_string));
            row.extend(
                [kind.refused, kind.unreachable, kind.tokens]
                    .iter()
                    .map(u64::to_string),
            );
            for times in [kind.first_us, kind.between_us, kind.total_us] {
                row.extend(
                    [times.p50, times.p95, times.p99, times.max]
                        .iter()
                        .map(u64::to_string),
                );
            }
            writer.write_record(row)?;
        }
        let bytes = writer.into_inner().map_err(|error| error.into_error())?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

/// Columns of the CSV output.
const CSV_HEADER: [&str; 21] = [
    "kind",
    "sent",
    "completed",
    "lost",
    "doubled",
    "mixed",
    "refused",
    "unreachable",
    "tokens",
    "first_p50_us",
    "first_p95_us",
    "first_p99_us",
    "first_max_us",
    "between_p50_us",
    "between_p95_us",
    "between_p99_us",
    "between_max_us",
    "total_p50_us",
    "total_p95_us",
    "total_p99_us",
    "total_max_us",
];

impl KindReport {
    fn new(kind: RequestKind, stats: &KindStats) -> Self {
        Self {
            kind,
            sent: stats.sent,
            completed: stats.completed,
            lost: stats.lost,
            doubled: stats.doubled,
            mixed: stats.mixed,
            refused: stats.refused,
            unreachable: stats.unreachable,
            tokens: stats.tokens,
            first_us: Percentiles::of(&stats.first_token),
            between_us: Percentiles::of(&stats.token_intervals),
            total_us: Percentiles::of(&stats.total),
        }
    }
}

impl fmt::Display for LoadReport {
    /// Writes the report as a table.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}  duration {:.1} s  goodput {:.1}/s ({:.1}/s within the latency targets)  \
             tokens {:.0}/s",
            self.seed,
            self.duration_s,
            self.goodput_per_s,
            self.goodput_in_target_per_s,
            self.tokens_per_s
        )?;
        writeln!(
            f,
            "{:<8} {:>8} {:>9} {:>5} {:>7} {:>5} {:>7} {:>11}   {:>26}   {:>26}",
            "kind",
            "sent",
            "completed",
            "lost",
            "doubled",
            "mixed",
            "refused",
            "unreachable",
            "first token p50/p95/p99 ms",
            "between p50/p95/p99 ms"
        )?;
        for kind in &self.kinds {
            writeln!(
                f,
                "{:<8} {:>8} {:>9} {:>5} {:>7} {:>5} {:>7} {:>11}   {:>26}   {:>26}",
                kind.kind.as_str(),
                kind.sent,
                kind.completed,
                kind.lost,
                kind.doubled,
                kind.mixed,
                kind.refused,
                kind.unreachable,
                format_millis(kind.first_us),
                format_millis(kind.between_us)
            )?;
        }
        self.write_totals(f)
    }
}

impl LoadReport {
    fn write_totals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "total: {} sent, {} completed, {} lost, {} doubled, {} mixed, {} refused, \
             {} unreachable, {} not sent",
            self.sent,
            self.completed,
            self.lost,
            self.doubled,
            self.mixed,
            self.refused,
            self.unreachable,
            self.not_sent
        )?;
        writeln!(
            f,
            "non-idempotent calls: {} repeated by the client, {} ran twice, {} ran though \
             refused as not run, {} answered without a run",
            self.repeated, self.ran_twice, self.ran_though_refused, self.answered_without_run
        )?;
        for (code, count) in &self.refused_by_code {
            writeln!(
                f,
                "refused {code}: {} (ran no {}, yes {}, unknown {})",
                count.total(),
                count.ran_no,
                count.ran_yes,
                count.ran_unknown
            )?;
        }
        if let Some(added) = self.added_first_token_us {
            writeln!(
                f,
                "added to the first token against direct calls: p50 {} us, p99 {} us",
                added.p50, added.p99
            )?;
        }
        for fault in &self.faults {
            writeln!(
                f,
                "{} request={} id={} target={}: {}",
                fault.kind, fault.request, fault.request_id, fault.target, fault.detail
            )?;
        }
        Ok(())
    }
}

/// Returns the 50th, 95th and 99th percentiles in milliseconds.
fn format_millis(times: Percentiles) -> String {
    let mut text = String::new();
    for (number, value) in [times.p50, times.p95, times.p99].into_iter().enumerate() {
        let separator = if number == 0 { "" } else { "/" };
        // Writing to a string cannot fail.
        let _ = write!(text, "{separator}{:.1}", value as f64 / 1000.0);
    }
    text
}
