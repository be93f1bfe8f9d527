//! Reports of the results: table, targets and CSV files.

use std::path::Path;

use displaydoc::Display;

use super::fleet::FleetKind;
use super::outcome::RunOutcome;
use super::policy::PolicyKind;
use super::scenario::Fault;
use super::suite::{Case, CaseResult};

/// Least ratio of the goodput of the `wagtail` policy to that of `foresight`.
const MIN_FORESIGHT_RATIO: f64 = 0.95;
/// Least ratio of the goodput at twice the capacity to the peak goodput.
const MIN_OVERLOAD_RATIO: f64 = 0.95;
/// Greatest ratio of the role changes on the Lisse fleet to those of the threshold rule.
const MAX_LISSE_CHANGE_RATIO: f64 = 0.5;

/// Error while writing the CSV files.
#[derive(Debug, Display)]
pub enum ReportError {
    /// cannot write the table: {0}
    Csv(csv::Error),
    /// cannot write the file: {0}
    File(std::io::Error),
}

impl std::error::Error for ReportError {}

impl From<csv::Error> for ReportError {
    fn from(error: csv::Error) -> Self {
        Self::Csv(error)
    }
}

impl From<std::io::Error> for ReportError {
    fn from(error: std::io::Error) -> Self {
        Self::File(error)
    }
}

/// Outcomes of the runs that differ only in their seeds.
struct Row<'a> {
    case: &'a Case,
    outcomes: Vec<&'a RunOutcome>,
}

/// Prints a table with one line for each combination of scenario, fleet, fault and policy.
pub fn print_table(results: &[CaseResult]) {
    println!(
        "{:<14} {:<9} {:<13} {:<15} {:>7} {:>15} {:>9} {:>8} {:>8} {:>7} {:>6} {:>6}",
        "scenario",
        "fleet",
        "fault",
        "policy",
        "goodput",
        "spread",
        "tokens/s",
        "changes",
        "refused",
        "late",
        "lost",
        "cached"
    );
    for row in collect_rows(results) {
        let (min_goodput, max_goodput) = row.spread();
        println!(
            "{:<14} {:<9} {:<13} {:<15} {:>7.4} {:>7.4}-{:<7.4} {:>9.0} {:>8.1} {:>8.4} {:>7.4} \
             {:>6.1} {:>6.3}",
            row.case.scenario.name,
            row.case.fleet.as_str(),
            row.case.fault.as_str(),
            row.case.policy.as_str(),
            row.goodput(),
            min_goodput,
            max_goodput,
            row.mean(RunOutcome::good_tokens_per_s),
            row.changes(),
            row.mean(|outcome| outcome.refused as f64 / outcome.offered.max(1) as f64),
            row.mean(|outcome| outcome.late as f64 / outcome.offered.max(1) as f64),
            row.mean(|outcome| outcome.lost as f64),
            row.mean(|outcome| outcome.cached_tokens as f64 / outcome.prompt_tokens.max(1) as f64),
        );
    }
}

/// Prints each target as met or missed and returns the number of missed ones.
pub fn print_targets(results: &[CaseResult]) -> usize {
    let rows = collect_rows(results);
    let mut missed = 0;
    let mut check = |met: bool, text: String| {
        missed += usize::from(!met);
        println!("{} {text}", if met { "met   " } else { "missed" });
    };
    for row in rows
        .iter()
        .filter(|row| row.case.policy == PolicyKind::Wagtail)
    {
        let setup_name = row.setup_name();
        let row_of = |policy| {
            rows.iter().find(|candidate| {
                candidate.case.policy == policy && candidate.setup_name() == setup_name
            })
        };
        if let Some(foresight) = row_of(PolicyKind::Foresight) {
            let ratio = row.goodput() / foresight.goodput().max(1e-9);
            check(
                ratio >= MIN_FORESIGHT_RATIO,
                format!("{setup_name}: {ratio:.3} of foresight's goodput"),
            );
        }
        let baselines = PolicyKind::ALL
            .into_iter()
            .filter(|policy| !matches!(policy, PolicyKind::Wagtail | PolicyKind::Foresight));
        let best = baselines
            .filter_map(row_of)
            .max_by(|a, b| a.goodput().total_cmp(&b.goodput()));
        if let Some(best) = best {
            check(
                row.goodput() > best.goodput(),
                format!(
                    "{setup_name}: goodput {:.4}, best baseline {} {:.4}",
                    row.goodput(),
                    best.case.policy.as_str(),
                    best.goodput()
                ),
            );
        }
        if let Some(threshold) = row_of(PolicyKind::Threshold)
            && row.case.fleet == FleetKind::Lisse
        {
            let (met, text) = check_change_target(row, threshold);
            check(met, text);
        }
        if row.case.scenario.no_changes {
            let changes = row.changes();
            check(
                changes == 0.0,
                format!("{setup_name}: {changes:.1} role changes, none permitted"),
            );
        }
        if row.case.scenario.overload && row.case.fault == Fault::None {
            let (ratio, peak) = row.overload();
            check(
                ratio >= MIN_OVERLOAD_RATIO,
                format!(
                    "{setup_name}: {ratio:.3} of the peak of {peak:.0} good tokens/s at 2x load"
                ),
            );
        }
    }
    missed
}

/// Compares role changes and goodput with those of the threshold rule.
///
/// Returns whether the target is met, and its description.
fn check_change_target(own: &Row, threshold: &Row) -> (bool, String) {
    let few_changes = own.changes() <= MAX_LISSE_CHANGE_RATIO * threshold.changes();
    let text = format!(
        "{}: {:.1} role changes of {:.1} by the threshold rule, goodput {:.4} of {:.4}",
        own.setup_name(),
        own.changes(),
        threshold.changes(),
        own.goodput(),
        threshold.goodput()
    );
    (few_changes && own.goodput() >= threshold.goodput(), text)
}

/// Writes `runs.csv` with one line for each run, and `samples.csv` with one line for each sample of
/// the runs with the lowest seed.
pub fn write_csv(results: &[CaseResult], dir: &Path) -> Result<(), ReportError> {
    std::fs::create_dir_all(dir)?;
    let mut runs = csv::Writer::from_path(dir.join("runs.csv"))?;
    runs.write_record([
        "scenario",
        "fleet",
        "fault",
        "policy",
        "seed",
        "offered",
        "good",
        "good_tokens_per_s",
        "refused",
        "late",
        "lost",
        "retries",
        "role_changes",
        "cached_tokens",
    ])?;
    let mut samples = csv::Writer::from_path(dir.join("samples.csv"))?;
    samples.write_record([
        "scenario",
        "fleet",
        "fault",
        "policy",
        "at_s",
        "good_tokens_per_s",
        "offered_per_s",
        "queued_tokens",
        "running",
        "prefill",
        "decode",
        "mixed",
    ])?;
    let first_seed = results.iter().map(|result| result.case.seed).min();
    for CaseResult { case, outcome } in results {
        let names = [
            case.scenario.name.to_string(),
            case.fleet.as_str().into(),
            case.fault.as_str().into(),
            case.policy.as_str().into(),
        ];
        let values = [
            case.seed.to_string(),
            outcome.offered.to_string(),
            outcome.good.to_string(),
            format!("{:.1}", outcome.good_tokens_per_s()),
            outcome.refused.to_string(),
            outcome.late.to_string(),
            outcome.lost.to_string(),
            outcome.retries.to_string(),
            outcome.role_changes.to_string(),
            outcome.cached_tokens.to_string(),
        ];
        runs.write_record(names.iter().chain(&values))?;
        if Some(case.seed) != first_seed {
            continue;
        }
        for sample in &outcome.samples {
            let values = [
                format!("{:.0}", sample.at_s),
                format!("{:.1}", sample.good_tokens_per_s),
                format!("{:.2}", sample.offered_per_s),
                sample.queued_tokens.to_string(),
                sample.running.to_string(),
                sample.roles[0].to_string(),
                sample.roles[1].to_string(),
                sample.roles[2].to_string(),
            ];
            samples.write_record(names.iter().chain(&values))?;
        }
    }
    runs.flush()?;
    samples.flush()?;
    Ok(())
}

/// Groups the sorted results into rows.
fn collect_rows(results: &[CaseResult]) -> Vec<Row<'_>> {
    let mut rows: Vec<Row> = Vec::new();
    for result in results {
        let is_same_row = |row: &&mut Row| {
            row.case.policy == result.case.policy
                && setup_name(row.case) == setup_name(&result.case)
        };
        match rows.last_mut().filter(is_same_row) {
            Some(row) => row.outcomes.push(&result.outcome),
            None => rows.push(Row {
                case: &result.case,
                outcomes: vec![&result.outcome],
            }),
        }
    }
    rows
}

/// Returns the names of scenario, fleet and fault, which identify the runs to compare.
fn setup_name(case: &Case) -> String {
    format!(
        "{} {} {}",
        case.scenario.name,
        case.fleet.as_str(),
        case.fault.as_str()
    )
}

impl Row<'_> {
    fn setup_name(&self) -> String {
        setup_name(self.case)
    }

    /// Returns the mean of a value over all seeds.
    fn mean(&self, value: impl Fn(&RunOutcome) -> f64) -> f64 {
        let sum: f64 = self.outcomes.iter().map(|outcome| value(outcome)).sum();
        sum / self.outcomes.len().max(1) as f64
    }

    fn goodput(&self) -> f64 {
        self.mean(RunOutcome::goodput)
    }

    fn changes(&self) -> f64 {
        self.mean(|outcome| outcome.role_changes as f64)
    }

    /// Returns the lowest and the highest goodput of all seeds.
    fn spread(&self) -> (f64, f64) {
        let goodput = self.outcomes.iter().map(|outcome| outcome.goodput());
        let min = goodput.clone().fold(f64::INFINITY, f64::min);
        (min, goodput.fold(0.0, f64::max))
    }

    /// Returns the ratio of the good tokens per second in the last step of the load to those in the
    /// best step, and those in the best step.
    fn overload(&self) -> (f64, f64) {
        let points = &self.case.scenario.points;
        let mut step_starts: Vec<f64> = points.iter().map(|point| point.at_s).collect();
        step_starts.push(self.case.scenario.duration_s);
        step_starts.dedup();
        let step_rates: Vec<f64> = step_starts
            .windows(2)
            // In the first 10 s of a step, requests of the previous step still complete.
            .map(|pair| self.mean(|outcome| outcome.good_tokens_between(pair[0] + 10.0, pair[1])))
            .collect();
        let peak = step_rates.iter().copied().fold(0.0, f64::max);
        (
            step_rates.last().copied().unwrap_or(0.0) / peak.max(1e-9),
            peak,
        )
    }
}
