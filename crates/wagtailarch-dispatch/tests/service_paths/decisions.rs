//! Tests the decisions of one instance, one at a time.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::{
    ConnectAttempt, CrashCheck, CrashStep, ForwardRequest, ForwardResult, ForwardTargets,
    LoadBalancer, PathState, ServicePaths,
};
use wagtailarch_types::{InstanceId, ServiceName, ZoneName};
use wagtailarch_wire::{
    load_note::{LoadNote, NoteBundle},
    path_report::{LostPaths, PathReport},
};

use crate::common::{self, PLAIN, config, plain};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a load note that says only something about paths.
pub fn note(sender: &str, zone: &str, paths: PathReport) -> LoadNote {
    LoadNote {
        zone: zone.into(),
        paths,
        ..common::note(sender, &[], &[])
    }
}

fn select(targets: &mut ForwardTargets, now: Duration, excluded: &[&str]) -> Option<InstanceId> {
    let excluded: Vec<_> = excluded
        .iter()
        .map(|name| InstanceId::from(*name))
        .collect();
    targets.select(
        now,
        &ForwardRequest {
            service: &ServiceName::from(PLAIN),
            own: &InstanceId::from("own"),
            zone: &ZoneName::from("a"),
            excluded: &excluded,
        },
    )
}

/// Returns the report of an instance that has lost its path to `PLAIN`.
fn without_path() -> PathReport {
    let mut paths = ServicePaths::default();
    let service = ServiceName::from(PLAIN);
    for (server, at_ms) in [("s0", 0), ("s1", 1)] {
        let server = InstanceId::from(server);
        let attempt = ConnectAttempt {
            server: &server,
            started_at: ms(at_ms),
        };
        let _ = paths.on_failed(ms(at_ms), &service, attempt);
    }
    PathReport {
        lost: paths.report(),
        ..PathReport::default()
    }
}

/// Guards against requests that are sent to an instance that cannot serve them.
#[rstest]
#[case::with_a_path(PathReport::default(), ms(100), true)]
#[case::without_a_path(without_path(), ms(100), false)]
#[case::without_many_paths(PathReport { lost: (0..100).collect(), ..PathReport::default() }, ms(100), false)]
#[case::leaving(PathReport { leaving: true, ..PathReport::default() }, ms(100), false)]
#[case::without_room(PathReport { served_for_peers: 512, ..PathReport::default() }, ms(100), false)]
#[case::silent(PathReport::default(), ms(3_000), false)]
fn only_an_instance_that_can_serve_is_selected(
    #[case] paths: PathReport,
    #[case] now: Duration,
    #[case] is_selected: bool,
) {
    let mut targets = ForwardTargets::default();
    targets.on_note(Duration::ZERO, &note("p", "b", paths));
    assert_eq!(select(&mut targets, now, &[]).is_some(), is_selected);
    assert_eq!(select(&mut targets, now, &["p"]), None);
}

/// Guards against traffic between zones that is not needed, and against one instance that serves for
/// a whole zone.
#[test]
fn the_own_zone_is_preferred_while_most_of_it_has_a_path() {
    let mut targets = ForwardTargets::default();
    for (name, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")] {
        targets.on_note(Duration::ZERO, &note(name, zone, PathReport::default()));
    }
    let selected = |targets: &mut ForwardTargets, excluded: &[&str]| {
        let all = (0..40).filter_map(|_| select(targets, ms(10), excluded));
        all.collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(
        selected(&mut targets, &[]),
        ["a1".into(), "a2".into()].into()
    );
    assert_eq!(selected(&mut targets, &["a1", "a2"]).len(), 2);
    targets.on_note(Duration::ZERO, &note("a2", "a", without_path()));
    let all = ["a1".into(), "b1".into(), "b2".into()];
    assert_eq!(selected(&mut targets, &[]), all.into());
}

/// Guards against requests that wait for other instances again and again while all servers are
/// down.
#[test]
fn nothing_is_sent_once_nobody_has_a_path() {
    let mut targets = ForwardTargets::default();
    let names = ["a1", "a2", "b1", "b2", "c1", "c2"];
    for name in names {
        targets.on_note(
            Duration::ZERO,
            &note(name, &name[..1], PathReport::default()),
        );
    }
    for _ in 0..4 {
        let name = select(&mut targets, ms(10), &[]).expect("one is left");
        targets.on_sent(&name);
        let service = ServiceName::from(PLAIN);
        targets.on_ended(ms(10), &service, &name, Some(ForwardResult::NoPath));
    }
    assert_eq!(select(&mut targets, ms(20), &[]), None);
    assert!(select(&mut targets, ms(1_020), &[]).is_some());
}

/// Guards against strikes and blamed parts that follow from a lost path, and against crashes that
/// leave no trace.
#[rstest]
#[case::others_reached(&[(PathState::Suspected { since: ms(0) }, Some(1)), (PathState::Direct, Some(1))], CrashStep::ProbeAgain)]
#[case::path_lost(&[(PathState::Lost { since: ms(0) }, Some(1))], CrashStep::Wait)]
#[case::restarted(&[(PathState::Lost { since: ms(0) }, Some(1)), (PathState::Direct, Some(2))], CrashStep::Crashed)]
#[case::left_during_the_loss(&[(PathState::Lost { since: ms(0) }, Some(1)), (PathState::Direct, None)], CrashStep::NotCrashed)]
#[case::path_back(&[(PathState::Lost { since: ms(0) }, Some(1)), (PathState::Direct, Some(1))], CrashStep::Wait)]
fn a_server_has_crashed_only_if_others_are_reached(
    #[case] seen: &[(PathState, Option<u64>)],
    #[case] expected: CrashStep,
) {
    let mut check = CrashCheck::new(ms(0), 1);
    let steps = seen.iter();
    let steps = steps.map(|(path, registered)| check.step(ms(10), *registered, path, false));
    assert_eq!(steps.last(), Some(expected));
}

/// Guards against crashes of all servers of a service that are taken for a lost path.
#[rstest]
#[case::nobody_reaches_it(&[true, true], CrashStep::Crashed)]
#[case::another_one_reaches_it(&[true, false], CrashStep::Wait)]
#[case::no_other_instance(&[], CrashStep::Wait)]
fn servers_that_nobody_reaches_have_crashed(
    #[case] lost_at_peers: &[bool],
    #[case] expected: CrashStep,
) {
    let mut targets = ForwardTargets::default();
    for (number, is_lost) in lost_at_peers.iter().enumerate() {
        let paths = match is_lost {
            true => without_path(),
            false => PathReport::default(),
        };
        targets.on_note(ms(0), &note(&format!("peer-{number}"), "a", paths));
    }
    let lost_everywhere = targets.is_lost_everywhere(ms(10), &ServiceName::from(PLAIN));
    let mut check = CrashCheck::new(ms(0), 1);
    let path = PathState::Lost { since: ms(0) };
    assert_eq!(
        check.step(ms(10), Some(1), &path, lost_everywhere),
        expected
    );
}

/// Guards against a crash that is forgotten after the second probe, and against a server that is
/// blamed although it accepts connections and has not restarted.
#[test]
fn the_second_probe_decides() {
    let mut refused = CrashCheck::new(ms(0), 1);
    refused.on_refused_again();
    let step = refused.step(ms(10), Some(1), &PathState::Direct, false);
    assert_eq!(step, CrashStep::Crashed);
    let mut accepted = CrashCheck::new(ms(0), 1);
    accepted.on_accepted(ms(10));
    let step = accepted.step(ms(20), Some(1), &PathState::Direct, false);
    assert_eq!(step, CrashStep::Wait);
    let step = accepted.step(ms(3_020), Some(1), &PathState::Direct, false);
    assert_eq!(step, CrashStep::NotCrashed);
}

/// Guards against servers that stay in backoff after the path has returned, and against backoff of
/// crashed servers that is lost when the path was only suspected.
#[rstest]
fn servers_are_usable_at_once_after_a_loss(#[values(true, false)] is_lost: bool) {
    let mut balancer = LoadBalancer::default();
    balancer.apply(&[plain("s0", "a"), plain("s1", "a")], &config());
    let service = ServiceName::from(PLAIN);
    balancer.keep_health(&service);
    for _ in 0..8 {
        balancer.on_unreachable(ms(10), &"s0".into());
    }
    match is_lost {
        true => balancer.restore_health(&service),
        false => balancer.drop_kept_health(&service),
    }
    assert_eq!(balancer.is_available(ms(11), &"s0".into()), is_lost);
}

/// Guards against reports that grow with the number of services.
#[test]
fn a_report_is_bounded() {
    let bytes = |lost: LostPaths| {
        let paths = PathReport {
            lost,
            leaving: false,
            served_for_peers: u16::MAX,
        };
        let empty = note("p", "a", PathReport::default());
        let size = |note| NoteBundle::new(vec![note]).encode().unwrap().len();
        let added = size(note("p", "a", paths.clone())) - size(empty);
        assert!(added <= paths.estimated_bytes());
        added
    };
    let services = |count| (0..count).map(|index| u32::MAX - index).collect();
    let most = bytes(services(16));
    println!(
        "bytes of 1 service: {}, of 16: {most}, of 17: {}",
        bytes(services(1)),
        bytes(services(17))
    );
    assert!(most <= 86);
    assert!(bytes(services(1_000)) <= 5);
}
