//! Tests of the use of teams in virtual time: counts, keepers and reports.

use std::time::Duration;

use indexmap::IndexMap;
use rstest::rstest;
use wagtailarch_control::{UseCounter, UseReport, UseReporter, UseSums, use_keepers};
use wagtailarch_types::{InstanceId, TeamName, ZoneName};
use wagtailarch_wire::team_use::{UseAccepted, UseCounts};

/// Length of a window in seconds.
const WINDOW_S: u64 = 5;
/// Time until a report is due in seconds.
const LATE_S: u64 = 10;
const W: u64 = 200;
/// Present window by the clock of the keeper, after all that the tests use.
const NEWEST: u64 = W + 1_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the time `after_ms` after the end of window `W + k`.
fn after_end(k: u64, after_ms: u64) -> Duration {
    ms((W + k + 1) * WINDOW_S * 1_000 + after_ms)
}

fn count(counter: &mut UseCounter, window: u64, team: &str, requests: u64) {
    for _ in 0..requests {
        assert!(counter.count(window, &team.into()));
    }
}

fn accepted(keeper: &str, boot: u64, message: &UseCounts, sums: &UseSums) -> UseAccepted {
    UseAccepted {
        keeper: keeper.into(),
        boot,
        number: message.number,
        reported_through: sums.reported_through(),
    }
}

/// Delivers all messages of a counter to a keeper, and their acceptance back.
fn exchange(counter: &mut UseCounter, keeper: &str, boot: u64, sums: &mut UseSums, ended: u64) {
    for message in counter.messages(&keeper.into(), ended) {
        assert!(sums.on_counts(&message, NEWEST));
        counter.on_accepted(&accepted(keeper, boot, &message, sums));
    }
}

fn totals(sums: &UseSums, window: u64) -> Vec<(String, u64)> {
    let totals = sums.totals(window);
    let mut totals: Vec<_> = totals
        .iter()
        .map(|(t, n)| (t.to_string(), *n))
        .filter(|(_, n)| *n > 0)
        .collect();
    totals.sort();
    totals
}

fn reporter(now: Duration) -> UseReporter {
    UseReporter::new(
        Duration::from_secs(WINDOW_S),
        Duration::from_secs(LATE_S),
        now,
    )
}

/// Sums in which instance `a` has counted `requests` of team `t` in window `W`, and knows all of it.
fn sums_of(requests: u64, complete_through: u64) -> UseSums {
    let mut counter = UseCounter::new("a".into(), 1);
    count(&mut counter, W, "t", requests);
    let mut sums = UseSums::default();
    exchange(&mut counter, "k", 1, &mut sums, W);
    exchange(&mut counter, "k", 1, &mut sums, complete_through);
    sums
}

/// Messages that are lost, repeated, late or reordered leave the sums as they are.
#[rstest]
#[case::in_order(&[0, 1, 2])]
#[case::repeated(&[0, 0, 1, 1, 2, 2, 0])]
#[case::reordered(&[2, 1, 0])]
#[case::first_ones_lost(&[2])]
fn joins_by_maximum(#[case] delivered: &[usize]) {
    let mut counter = UseCounter::new("a".into(), 1);
    let mut messages = Vec::new();
    for _ in 0..3 {
        count(&mut counter, W, "t", 2);
        messages.extend(counter.messages(&"k".into(), W - 1));
    }
    let mut sums = UseSums::default();
    for index in delivered {
        sums.on_counts(&messages[*index], NEWEST);
    }
    assert_eq!(totals(&sums, W), [("t".to_owned(), 6)]);
}

/// Counts of an earlier start of an instance and of the present one add up.
#[test]
fn adds_starts_and_instances() {
    let mut sums = UseSums::default();
    for (instance, boot, requests) in [("a", 1, 3), ("a", 2, 4), ("b", 1, 5)] {
        let mut counter = UseCounter::new(instance.into(), boot);
        count(&mut counter, W, "t", requests);
        exchange(&mut counter, "k", 1, &mut sums, W - 1);
    }
    assert_eq!(totals(&sums, W), [("t".to_owned(), 12)]);
}

/// Only teams with a change are sent again, and all again to a keeper that has restarted.
#[test]
fn sends_what_was_not_accepted() {
    let mut counter = UseCounter::new("a".into(), 1);
    let mut sums = UseSums::default();
    count(&mut counter, W, "t", 1);
    count(&mut counter, W, "u", 1);
    exchange(&mut counter, "k", 1, &mut sums, W - 1);
    assert!(counter.messages(&"k".into(), W - 1).is_empty());
    count(&mut counter, W, "u", 1);
    let messages = counter.messages(&"k".into(), W - 1);
    assert_eq!(messages[0].windows[0].teams, [("u".into(), 2)]);
    // The keeper has restarted: it accepts this message and has nothing else.
    let mut restarted = UseSums::default();
    assert!(restarted.on_counts(&messages[0], NEWEST));
    counter.on_accepted(&accepted("k", 2, &messages[0], &restarted));
    exchange(&mut counter, "k", 2, &mut restarted, W - 1);
    let expected = [("t".to_owned(), 1), ("u".to_owned(), 2)];
    assert_eq!(totals(&restarted, W), expected);
}

/// A keeper ends: the next one gets all windows that were not reported.
#[test]
fn new_keeper_gets_unreported_windows() {
    let mut counter = UseCounter::new("a".into(), 1);
    let mut sums = UseSums::default();
    for window in [W, W + 1, W + 2] {
        count(&mut counter, window, "t", 1);
    }
    exchange(&mut counter, "k", 1, &mut sums, W + 2);
    counter.on_reported(W);
    let mut next = UseSums::default();
    exchange(&mut counter, "l", 1, &mut next, W + 2);
    assert_eq!(totals(&next, W), []);
    assert_eq!(totals(&next, W + 1), [("t".to_owned(), 1)]);
    assert_eq!(totals(&next, W + 2), [("t".to_owned(), 1)]);
    assert!(!counter.count(W, &"t".into()), "the window is reported");
}

/// 29,000 teams with one request each in one window: messages fit into packets, and those that do not
/// fit into one round follow with the next ones.
#[test]
fn splits_messages() {
    let mut counter = UseCounter::new("instance-a-1".into(), u64::MAX);
    let mut sums = UseSums::default();
    for team in 0..29_000 {
        count(&mut counter, W, &format!("team{team:05}"), 1);
    }
    let mut rounds = 0;
    while totals(&sums, W).len() < 29_000 {
        let messages = counter.messages(&"k".into(), W - 1);
        assert!(messages.len() <= 32, "{} messages", messages.len());
        for message in &messages {
            let teams: usize = message
                .windows
                .iter()
                .flat_map(|window| &window.teams)
                .map(|(team, _)| team.len() + 4)
                .sum();
            assert!(teams <= 1_100, "{teams} bytes");
            assert!(message.complete_through < W);
            assert!(sums.on_counts(message, NEWEST));
            counter.on_accepted(&accepted("k", 1, message, &sums));
        }
        rounds += 1;
    }
    assert_eq!(rounds, 11);
}

/// The counts of a window are complete once the keeper has accepted all of them.
#[test]
fn states_completeness_after_acceptance() {
    let mut counter = UseCounter::new("a".into(), 1);
    let mut sums = UseSums::default();
    let live: [InstanceId; 1] = ["a".into()];
    count(&mut counter, W, "t", 1);
    exchange(&mut counter, "k", 1, &mut sums, W);
    assert!(!sums.is_complete(W, live.iter()));
    exchange(&mut counter, "k", 1, &mut sums, W);
    assert!(sums.is_complete(W, live.iter()));
    let with_other: [InstanceId; 2] = ["a".into(), "b".into()];
    assert!(!sums.is_complete(W, with_other.iter()));
}

/// The second keeper is in another zone where there is one, and all instances choose the same ones.
#[rstest]
#[case::three_zones(&["a", "b", "c"], true)]
#[case::one_zone(&["a"], false)]
fn keepers_are_in_different_zones(#[case] zones: &[&str], #[case] differ: bool) {
    let instances: Vec<(InstanceId, ZoneName)> = (0..30)
        .map(|index| {
            let zone = zones[index % zones.len()];
            (format!("{zone}-{index}").into(), zone.into())
        })
        .collect();
    let pairs = || instances.iter().map(|(name, zone)| (name, zone));
    let keepers = use_keepers(pairs());
    assert_eq!(keepers.len(), 2);
    assert_ne!(keepers[0], keepers[1]);
    assert_eq!(keepers[0][..1] != keepers[1][..1], differ);
    let reversed: Vec<_> = pairs().collect();
    assert_eq!(use_keepers(reversed.into_iter().rev()), keepers);
}

/// Which report follows, `after_ms` after the end of window `W + k`, for the window that the store
/// records and the last one that this holder knows as accepted.
#[rstest]
#[case::window_open(0, 500, None, Some(W - 1), None)]
#[case::settled_and_complete(0, 1_000, None, Some(W - 1), Some(W))]
#[case::first_report_ever(0, 1_000, None, None, Some(W))]
#[case::recorded_by_another_is_repeated(0, 1_000, Some(W - 1), None, Some(W - 1))]
#[case::own_unanswered_is_repeated(0, 1_000, Some(W), Some(W - 1), Some(W))]
#[case::next_after_the_recorded(1, 6_000, Some(W), Some(W), Some(W + 1))]
#[case::recorded_in_the_future(0, 1_000, Some(W + 3), Some(W + 3), None)]
#[case::late_windows_are_left_out(9, 6_000, Some(W), Some(W), Some(W + 9))]
fn plans(
    #[case] k: u64,
    #[case] after_ms: u64,
    #[case] recorded: Option<u64>,
    #[case] done: Option<u64>,
    #[case] expected: Option<u64>,
) {
    let sums = sums_of(3, W);
    let live: [InstanceId; 1] = ["a".into()];
    let mut reporter = reporter(ms(W * WINDOW_S * 1_000));
    if let Some(done) = done {
        reporter.on_done(done);
    }
    let recorded = recorded.map(|window| UseReport {
        window,
        counts: IndexMap::from([("recorded".into(), 1)]),
    });
    let now = after_end(k, after_ms);
    let planned = reporter.plan(now, recorded.clone(), &sums, live.iter());
    assert_eq!(planned.as_ref().map(|report| report.window), expected);
    if let (Some(recorded), Some(planned)) = (recorded, planned)
        && recorded.window == planned.window
    {
        assert_eq!(recorded, planned, "a recorded report is repeated as it is");
    }
}

/// The holder waits for the counts of a live instance that is silent, but not until the report is late.
#[rstest]
#[case::waits(5_900, None)]
#[case::reports_without_it(6_000, Some(W))]
fn waits_for_all_counts(#[case] after_ms: u64, #[case] expected: Option<u64>) {
    let sums = sums_of(3, W);
    let live: [InstanceId; 2] = ["a".into(), "silent".into()];
    let mut reporter = reporter(Duration::ZERO);
    reporter.on_done(W - 1);
    let planned = reporter.plan(after_end(0, after_ms), None, &sums, live.iter());
    assert_eq!(planned.map(|report| report.window), expected);
}

/// What the platform has received: reports by window.
#[derive(Default)]
struct Platform {
    reports: IndexMap<u64, IndexMap<TeamName, u64>>,
}

impl Platform {
    fn on_report(&mut self, report: &UseReport) {
        let known = self.reports.entry(report.window);
        let known = known.or_insert_with(|| report.counts.clone());
        assert_eq!(*known, report.counts, "two reports of {}", report.window);
    }
}

/// How far a holder comes with its report before it ends or pauses.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Progress {
    BeforeClaim,
    Claimed,
    Sent,
    Answered,
}

/// Two holders whose sums differ report 30 windows by turns of 5 s, with an attempt each 250 ms that stops
/// somewhere: each window is reported, and never with two contents.
#[rstest]
#[case(&[Progress::Claimed])]
#[case(&[Progress::Sent])]
#[case(&[Progress::BeforeClaim, Progress::Claimed, Progress::Sent, Progress::Answered])]
#[case(&[Progress::Answered, Progress::Answered, Progress::Sent, Progress::Claimed])]
fn holders_take_turns(#[case] stops: &[Progress]) {
    let live: [InstanceId; 1] = ["a".into()];
    let mut stored: Option<UseReport> = None;
    let mut platform = Platform::default();
    let start = ms(W * WINDOW_S * 1_000);
    let mut reporters = [reporter(start), reporter(start)];
    let sums = [sums_of(3, W + 40), sums_of(7, W + 40)];
    for step in 0..600 {
        let holder = step / 20 % 2;
        if step % 20 == 0 {
            reporters[holder].on_lost();
        }
        let now = after_end(0, 1_000 + 250 * step as u64);
        let stop = stops[step % stops.len()];
        let reporter = &mut reporters[holder];
        let Some(report) = reporter.plan(now, stored.clone(), &sums[holder], live.iter()) else {
            continue;
        };
        if stop == Progress::BeforeClaim {
            continue;
        }
        // The store accepts one write for the version that was read.
        stored = Some(report.clone());
        if stop == Progress::Claimed {
            continue;
        }
        platform.on_report(&report);
        if stop == Progress::Answered {
            reporter.on_done(report.window);
        }
    }
    let windows: Vec<_> = platform.reports.keys().copied().collect();
    if stops.contains(&Progress::Answered) {
        let expected: Vec<_> = (W..W + windows.len() as u64).collect();
        assert_eq!(windows, expected);
        assert!(windows.len() >= 29, "{} windows", windows.len());
    }
}

/// 64 instances with 750 requests a second in sum send their counts every 500 ms; `ends` of them end at the
/// same time, in the worst moment. At most their counts of the last 500 ms are missing: 5 in 100 of a
/// window are missing only if half of all instances end.
#[rstest]
#[case::one(1, 0.002)]
#[case::a_zone(22, 0.035)]
#[case::half(32, 0.05)]
#[case::all(64, 0.1)]
fn loses_at_most_one_interval(#[case] ends: usize, #[case] at_most: f64) {
    let mut sums = UseSums::default();
    let mut counters: Vec<_> = (0..64)
        .map(|index| UseCounter::new(format!("i{index}").into(), 1))
        .collect();
    // Steps of 100 ms; each instance counts 6 requests in five of them.
    let mut counted = 0;
    for step in 1..=50 {
        for (index, counter) in counters.iter_mut().enumerate() {
            let is_gone = index < ends && step == 50;
            count(counter, W, &format!("t{}", index % 3), 1);
            counted += 1;
            if step % 5 == 0 && !is_gone {
                exchange(counter, "k", 1, &mut sums, W - 1);
            }
        }
    }
    let reported: u64 = sums.totals(W).values().sum();
    let missing = 1.0 - reported as f64 / f64::from(counted);
    assert!(missing <= at_most + 1e-9, "{missing} of the requests");
}

/// Guards against a message that fills a keeper with windows that have not begun, or that have no
/// counts, so that it accepts no others.
#[test]
fn windows_of_the_future_and_empty_ones_take_no_room() {
    let mut counter = UseCounter::new("i1".into(), 1);
    let mut sums = UseSums::default();
    for window in [W, W + 1, W + 2] {
        count(&mut counter, window, "clerks", 3);
    }
    for mut message in counter.messages(&"k1".into(), W) {
        for window in &mut message.windows {
            if window.window == W {
                window.teams.clear();
            }
        }
        assert!(sums.on_counts(&message, W));
    }
    let kept = [W, W + 1, W + 2].map(|window| totals(&sums, window).len());
    assert_eq!(kept, [0, 1, 0]);
}
