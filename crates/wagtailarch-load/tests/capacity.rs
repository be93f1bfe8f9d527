//! Tests of the capacity measurements: line fits, call counts and the output table.

use rstest::rstest;
use wagtailarch_load::capacity::{
    Line, Measurement, MeasurementResult, Point, TableFormat, measurements, write_table,
};

fn find_measurement(name: &str) -> Measurement {
    let found = measurements()
        .into_iter()
        .find(|measurement| measurement.name == name);
    found.unwrap_or_else(|| panic!("no measurement {name}"))
}

fn run_once(name: &str) -> MeasurementResult {
    find_measurement(name)
        .run(1, 1)
        .expect("the measurement succeeds")
}

/// Guards against a fit that swaps intercept and slope or computes a wrong coefficient of
/// determination.
#[test]
fn line_fits_points() {
    let exact = [1.0, 2.0, 5.0].map(|x| Point {
        x,
        y: 3.0 + 2.0 * x,
    });
    let line = Line::fit(&exact).expect("three sizes");
    assert!((line.intercept - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9);
    assert!((line.r_squared - 1.0).abs() < 1e-9);
    let uncorrelated = [(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)].map(|(x, y)| Point { x, y });
    assert!(Line::fit(&uncorrelated).expect("three sizes").r_squared < 1e-9);
    assert!(Line::fit(&[Point { x: 1.0, y: 1.0 }; 2]).is_err());
}

/// Guards against counts that miss calls of the decision code or count them twice.
#[rstest]
#[case("order-writes", 2.0)]
#[case("order-calls", 3.0)]
#[case("change-reads", 3.0)]
#[case("lease-reads", 1.0)]
fn calls_are_counted(#[case] name: &str, #[case] per_unit: f64) {
    let line = run_once(name).line;
    assert!((line.slope - per_unit).abs() < 1e-9, "{line:?}");
}

/// Guards against a simulated zone whose frames depend on anything but its seed.
#[test]
fn same_seed_gives_same_bytes() {
    let measurement = find_measurement("gossip-bytes-peers");
    let bytes = |seed| {
        measurement
            .measure_in_process(8, seed)
            .expect("the zone runs")
            .y
    };
    assert_eq!(bytes(7), bytes(7));
    assert_ne!(bytes(7), bytes(8));
}

/// Guards against a missed target that is not marked in one of the formats.
#[rstest]
#[case(TableFormat::Text)]
#[case(TableFormat::Csv)]
fn missed_target_is_marked(#[case] format: TableFormat) {
    let mut results = vec![run_once("order-writes"), run_once("status-bytes")];
    results[0].measurement.target = Some(1.0);
    results[1].measurement.target = Some(1e9);
    let mut table = Vec::new();
    write_table(&results, format, &mut table).expect("the table is written");
    let table = String::from_utf8(table).expect("the table is text");
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3);
    assert!(
        lines[1].ends_with("missed") && lines[2].ends_with("met"),
        "{table}"
    );
}

/// Guards against a measurement that `--only` cannot select because another has the same name.
#[test]
fn names_are_unique() {
    let mut names: Vec<&str> = measurements()
        .iter()
        .map(|measurement| measurement.name)
        .collect();
    let count = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), count);
}
