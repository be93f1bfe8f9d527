//! Tests the figure for the pace of a server.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::{ServerPace, UsualTime};

const NOW: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a new server that counts as quick or slow before it has completed work.
#[test]
fn a_new_server_has_the_pace_of_its_service() {
    let pace = ServerPace::default();
    assert_eq!(pace.learned(1.0), 1.0);
    assert_eq!(pace.at(NOW, 1.0), 1.0);
}

/// Guards against a pace that is learned too late for the few samples of one instance, against one that
/// follows a single sample, and against delays that exclude a server.
#[rstest]
#[case::quick_once(&[0.7], 0.8..0.9)]
#[case::quick_often(&[0.7; 12], 0.7..0.75)]
#[case::slow_once(&[1.7], 1.2..1.4)]
#[case::slow_often(&[1.7; 12], 1.55..1.7)]
#[case::one_delay(&[1.0, 1.0, 60.0, 1.0], 1.0..1.4)]
#[case::changed(&[0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 1.7, 1.7, 1.7, 1.7, 1.7, 1.7, 1.7, 1.7], 1.1..1.7)]
#[case::never_excluded(&[50.0; 20], 2.0..3.1)]
#[case::invalid(&[0.0, f64::NAN, f64::INFINITY, -1.0], 1.0..1.01)]
fn the_pace_is_learned(#[case] ratios: &[f64], #[case] expected: std::ops::Range<f64>) {
    let mut pace = ServerPace::default();
    for ratio in ratios {
        pace.on_completed(NOW, *ratio, 1.0, 1.0);
    }
    assert!(
        expected.contains(&pace.learned(1.0)),
        "{}",
        pace.learned(1.0)
    );
}

/// Guards against an old statement that counts like a fresh one, and against odd ones.
#[rstest]
#[case::fresh(250, 0, 2.5..2.6)]
#[case::after_200_ms(250, 200, 1.4..2.0)]
#[case::old(250, 1_500, 1.0..1.01)]
#[case::quicker(50, 0, 0.5..0.51)]
#[case::odd(0, 0, 1.0..1.01)]
#[case::no_measurement(100_000, 0, 1.0..1.01)]
fn a_statement_loses_its_weight_with_age(
    #[case] percent: u32,
    #[case] age_ms: u64,
    #[case] expected: std::ops::Range<f64>,
) {
    let mut pace = ServerPace::default();
    pace.on_stated(NOW, percent);
    let figure = pace.at(NOW + ms(age_ms), 1.0);
    assert!(expected.contains(&figure), "{figure}");
}

/// Guards against a machine's passing slowness that is learned as a property of the server.
#[test]
fn the_stated_figure_is_not_learned() {
    let mut pace = ServerPace::default();
    let mut undisturbed = ServerPace::default();
    for step in 0..10 {
        let now = NOW + ms(step * 1_000);
        let momentary = if step % 2 == 0 { 2.5 } else { 1.0 };
        pace.on_stated(now, (momentary * 100.0) as u32);
        pace.on_completed(now, 0.7 * momentary, 1.0, 1.0);
        undisturbed.on_completed(now, 0.7, 1.0, 1.0);
    }
    let (learned, expected) = (pace.learned(1.0), undisturbed.learned(1.0));
    assert!((learned / expected - 1.0).abs() < 1e-9, "{learned}");
}

/// Guards against a server that was slow once and gets no work any more, so that nothing corrects its
/// figure.
#[test]
fn a_server_without_work_returns_to_the_pace_of_its_service() {
    let mut pace = ServerPace::default();
    for _ in 0..12 {
        pace.on_completed(NOW, 3.0, 1.0, 1.0);
    }
    let figures = [0, 10, 30].map(|age_s| pace.at(NOW + Duration::from_secs(age_s), 1.0));
    assert!(figures[0] > 2.0, "{figures:?}");
    assert!(figures[1] < 1.5, "{figures:?}");
    assert!(figures[2] < 1.1, "{figures:?}");
}

/// Guards against an engine that counts as slow because its service was taken for quicker than it is.
#[test]
fn a_corrected_usual_time_corrects_the_pace() {
    let mut pace = ServerPace::default();
    for _ in 0..12 {
        pace.on_completed(NOW, 3.0, 1.0, 1.0);
    }
    assert!(
        (pace.learned(3.0) - 1.0).abs() < 1e-9,
        "{}",
        pace.learned(3.0)
    );
}

/// Guards against a usual time that follows single requests.
#[test]
fn the_usual_time_is_a_mean_of_many_requests() {
    let mut usual = UsualTime::default();
    assert_eq!(usual.seconds(), None);
    for _ in 0..40 {
        usual.add(0.030);
    }
    usual.add(0.300);
    usual.add(0.0);
    let seconds = usual.seconds().expect("a mean");
    assert!((0.030..0.033).contains(&seconds), "{seconds}");
}
