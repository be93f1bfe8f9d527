//! Plots of goodput, prefill queue and roles over time.

use std::path::Path;

use displaydoc::Display;
use plotters::prelude::*;

use super::outcome::Sample;
use super::policy::PolicyKind;
use super::suite::CaseResult;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (1_000, 900);

/// cannot write the plot {0}
#[derive(Debug, Display)]
pub struct PlotError(String);

impl std::error::Error for PlotError {}

/// Writes an SVG file for each combination of scenario, fleet and fault, for the lowest seed.
///
/// It shows the good tokens per second and the queued prompt tokens of every policy, and the number
/// of engines by role under the `wagtail` policy.
pub fn plot(results: &[CaseResult], dir: &Path) -> Result<(), PlotError> {
    let first_seed = results.iter().map(|result| result.case.seed).min();
    let first_seed_results: Vec<&CaseResult> = results
        .iter()
        .filter(|result| Some(result.case.seed) == first_seed)
        .collect();
    let is_same_group = |a: &&CaseResult, b: &&CaseResult| {
        a.case.scenario.name == b.case.scenario.name
            && a.case.fleet == b.case.fleet
            && a.case.fault == b.case.fault
    };
    for group in first_seed_results.chunk_by(is_same_group) {
        let case = &group[0].case;
        let name = format!(
            "{}-{}-{}",
            case.scenario.name,
            case.fleet.as_str(),
            case.fault.as_str()
        );
        draw(group, &dir.join(format!("{name}.svg")), &name)
            .map_err(|error| PlotError(format!("{name}: {error}")))?;
    }
    Ok(())
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Draws the panels of one SVG file.
fn draw(group: &[&CaseResult], path: &Path, name: &str) -> DrawResult {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((3, 1));
    let title = format!("{name}: good tokens/s");
    draw_lines(&panels[0], group, &title, |sample| sample.good_tokens_per_s)?;
    let title = "waiting prompt tokens";
    draw_lines(&panels[1], group, title, |sample| {
        sample.queued_tokens as f64
    })?;
    let wagtail = group
        .iter()
        .find(|result| result.case.policy == PolicyKind::Wagtail);
    if let Some(wagtail) = wagtail {
        draw_roles(&panels[2], &wagtail.outcome.samples)?;
    }
    root.present()?;
    Ok(())
}

type Panel<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws a value over time, one line for each policy.
fn draw_lines(
    panel: &Panel,
    group: &[&CaseResult],
    title: &str,
    value: impl Fn(&Sample) -> f64,
) -> DrawResult {
    let samples = || group.iter().flat_map(|result| &result.outcome.samples);
    let end_s = samples().map(|sample| sample.at_s).fold(1.0, f64::max);
    let max_value = samples().map(&value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..end_s, 0.0..max_value * 1.05)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for result in group {
        let color = color(result.case.policy);
        let points = result
            .outcome
            .samples
            .iter()
            .map(|sample| (sample.at_s, value(sample)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(result.case.policy.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

/// Draws the number of serving engines by role as stacked areas.
fn draw_roles(panel: &Panel, samples: &[Sample]) -> DrawResult {
    let end_s = samples.iter().map(|sample| sample.at_s).fold(1.0, f64::max);
    let total = |sample: &Sample| sample.roles.iter().sum::<u32>();
    let max_value = f64::from(samples.iter().map(total).max().unwrap_or(1));
    let mut chart = ChartBuilder::on(panel)
        .caption("serving engines by role (wagtail)", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..end_s, 0.0..max_value * 1.05)?;
    chart.configure_mesh().x_desc("s").draw()?;
    let layers = [
        ("mixed", 3, GREEN),
        ("decode", 2, BLUE),
        ("prefill", 1, RED),
    ];
    for (label, layer_count, color) in layers {
        let height = |sample: &Sample| f64::from(sample.roles[..layer_count].iter().sum::<u32>());
        let points = samples.iter().map(|sample| (sample.at_s, height(sample)));
        chart
            .draw_series(AreaSeries::new(points, 0.0, color.mix(0.6)))?
            .label(label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 16, y + 4)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

/// Returns the line color of a policy.
fn color(policy: PolicyKind) -> RGBColor {
    match policy {
        PolicyKind::Wagtail => RED,
        PolicyKind::FixedSplit => RGBColor(230, 160, 0),
        PolicyKind::Threshold => RGBColor(0, 150, 0),
        PolicyKind::RoundRobin => RGBColor(150, 150, 150),
        PolicyKind::LeastRequests => RGBColor(0, 90, 200),
        PolicyKind::Foresight => BLACK,
    }
}
