//! Table, targets and CSV files.

use std::path::Path;

use displaydoc::Display;

use super::fleet::FleetKind;
use super::outcome::RunOutcome;
use super::policy::PolicyKind;
use super::scenario::Fault;
use super::suite::{Case, CaseResult};

/// Goodput of the policy in relation to that with foresight.
const FORESIGHT_PART: f64 = 0.95;
/// Goodput at twice the load in relation to its peak.
const OVERLOAD_PART: f64 = 0.95;
/// Role changes for Lisse in relation to those of the threshold rule.
const LISSE_CHANGES_PART: f64 = 0.5;

/// Why a file could not be written.
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

/// The runs of one policy in one scenario, fleet and fault, over all seeds.
struct Row<'a> {
    case: &'a Case,
    outcomes: Vec<&'a RunOutcome>,
}

/// Prints one line for each scenario, fleet, fault and policy.
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
    for row in rows(results) {
        let (least, most) = row.spread();
        println!(
            "{:<14} {:<9} {:<13} {:<15} {:>7.4} {:>7.4}-{:<7.4} {:>9.0} {:>8.1} {:>8.4} {:>7.4} \
             {:>6.1} {:>6.3}",
            row.case.scenario.name,
            row.case.fleet.as_str(),
            row.case.fault.as_str(),
            row.case.policy.as_str(),
            row.goodput(),
            least,
            most,
            row.mean(RunOutcome::good_tokens_per_s),
            row.changes(),
            row.mean(|it| it.refused as f64 / it.offered.max(1) as f64),
            row.mean(|it| it.late as f64 / it.offered.max(1) as f64),
            row.mean(|it| it.lost as f64),
            row.mean(|it| it.cached_tokens as f64 / it.prompt_tokens.max(1) as f64),
        );
    }
}

/// Prints each target as met or missed; returns the number of missed ones.
pub fn print_targets(results: &[CaseResult]) -> usize {
    let rows = rows(results);
    let mut missed = 0;
    let mut check = |met: bool, text: String| {
        missed += usize::from(!met);
        println!("{} {text}", if met { "met   " } else { "missed" });
    };
    for row in rows
        .iter()
        .filter(|row| row.case.policy == PolicyKind::Wagtail)
    {
        let name = row.name();
        let other = |policy| {
            rows.iter()
                .find(|it| it.case.policy == policy && it.name() == name)
        };
        if let Some(foresight) = other(PolicyKind::Foresight) {
            let part = row.goodput() / foresight.goodput().max(1e-9);
            check(
                part >= FORESIGHT_PART,
                format!("{name}: {part:.3} of foresight's goodput"),
            );
        }
        let baselines = PolicyKind::ALL
            .into_iter()
            .filter(|policy| !matches!(policy, PolicyKind::Wagtail | PolicyKind::Foresight));
        let best = baselines
            .filter_map(other)
            .max_by(|a, b| a.goodput().total_cmp(&b.goodput()));
        if let Some(best) = best {
            check(
                row.goodput() > best.goodput(),
                format!(
                    "{name}: goodput {:.4}, best baseline {} {:.4}",
                    row.goodput(),
                    best.case.policy.as_str(),
                    best.goodput()
                ),
            );
        }
        if let Some(rule) = other(PolicyKind::Threshold)
            && row.case.fleet == FleetKind::Lisse
        {
            let (met, text) = change_target(row, rule);
            check(met, text);
        }
        if row.case.scenario.no_changes {
            let changes = row.changes();
            check(
                changes == 0.0,
                format!("{name}: {changes:.1} role changes, none permitted"),
            );
        }
        if row.case.scenario.overload && row.case.fault == Fault::None {
            let (part, peak) = row.overload();
            check(
                part >= OVERLOAD_PART,
                format!("{name}: {part:.3} of the peak of {peak:.0} good tokens/s at 2x load"),
            );
        }
    }
    missed
}

/// Compares role changes and goodput with those of the threshold rule.
fn change_target(own: &Row, rule: &Row) -> (bool, String) {
    let few = own.changes() <= LISSE_CHANGES_PART * rule.changes();
    let text = format!(
        "{}: {:.1} role changes of {:.1} by the threshold rule, goodput {:.4} of {:.4}",
        own.name(),
        own.changes(),
        rule.changes(),
        own.goodput(),
        rule.goodput()
    );
    (few && own.goodput() >= rule.goodput(), text)
}

/// Writes `runs.csv`, a line for each run, and `samples.csv`, a line for each sample of the first
/// seed.
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
        let figures = [
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
        runs.write_record(names.iter().chain(&figures))?;
        if Some(case.seed) != first_seed {
            continue;
        }
        for sample in &outcome.samples {
            let figures = [
                format!("{:.0}", sample.at_s),
                format!("{:.1}", sample.good_tokens_per_s),
                format!("{:.2}", sample.offered_per_s),
                sample.queued_tokens.to_string(),
                sample.running.to_string(),
                sample.roles[0].to_string(),
                sample.roles[1].to_string(),
                sample.roles[2].to_string(),
            ];
            samples.write_record(names.iter().chain(&figures))?;
        }
    }
    runs.flush()?;
    samples.flush()?;
    Ok(())
}

/// Gathers the results, which are in order, over all seeds.
fn rows(results: &[CaseResult]) -> Vec<Row<'_>> {
    let mut rows: Vec<Row> = Vec::new();
    for result in results {
        let same = |row: &&mut Row| {
            row.case.policy == result.case.policy && name(row.case) == name(&result.case)
        };
        match rows.last_mut().filter(same) {
            Some(row) => row.outcomes.push(&result.outcome),
            None => rows.push(Row {
                case: &result.case,
                outcomes: vec![&result.outcome],
            }),
        }
    }
    rows
}

fn name(case: &Case) -> String {
    format!(
        "{} {} {}",
        case.scenario.name,
        case.fleet.as_str(),
        case.fault.as_str()
    )
}

impl Row<'_> {
    fn name(&self) -> String {
        name(self.case)
    }

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

    /// Returns the least and the greatest goodput of all seeds.
    fn spread(&self) -> (f64, f64) {
        let goodput = self.outcomes.iter().map(|outcome| outcome.goodput());
        let least = goodput.clone().fold(f64::INFINITY, f64::min);
        (least, goodput.fold(0.0, f64::max))
    }

    /// Returns the good tokens per second at the last step of the load in relation to the best
    /// step, and those of the best step.
    fn overload(&self) -> (f64, f64) {
        let points = &self.case.scenario.points;
        let mut starts: Vec<f64> = points.iter().map(|point| point.at_s).collect();
        starts.push(self.case.scenario.duration_s);
        starts.dedup();
        let steps: Vec<f64> = starts
            .windows(2)
            // The first 10 s of a step still show the answers to requests of the one before.
            .map(|pair| self.mean(|outcome| outcome.good_tokens_between(pair[0] + 10.0, pair[1])))
            .collect();
        let peak = steps.iter().copied().fold(0.0, f64::max);
        (steps.last().copied().unwrap_or(0.0) / peak.max(1e-9), peak)
    }
}
