//! Verdicts on parts of prompts that crash servers: single cases, and trials in virtual time.

mod simulation;

use std::time::Duration;

use rstest::rstest;
use simulation::{END, Figures, Fleet, LARGE, Load, SMALL, Simulation, parts};
use wagtailarch_dispatch::{LimitMembers, PartEvidence, PartVerdict};
use wagtailarch_wire::part_report::PartReports;

/// Number of requests with a guilty part that may reach servers 3 s after its fifth crash.
const ALLOWED_LATER: usize = 3;
/// Largest share of the sound requests that may be refused for one of their parts.
const MAX_SOUND_REFUSED: f64 = 0.01;
/// Bytes of evidence that an instance may receive in a second.
const MAX_BYTES_PER_S: usize = 2_048;

const ONE: Load = Load {
    guilty_ratio: 0.05,
    guilty: &[&[1, 77]],
    guilty_parts: &[77],
    ordinary_crashes_per_s: 0.0,
    late_peer: false,
    made_up: false,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records requests that begin well.
fn begin_others(evidence: &mut PartEvidence, at: Duration) {
    for _ in 0..3 {
        evidence.on_output(at, &parts(&[500]));
    }
}

fn alone() -> LimitMembers {
    LimitMembers {
        own: Some("front-0".into()),
        live: Vec::new(),
        listed: 1,
    }
}

/// Guards against guilty parts that go on ending servers, against sound requests that are refused
/// for the parts that they share with guilty ones, and against evidence that fills the links.
#[rstest]
#[case::one_part(ONE)]
#[case::two_at_once(Load { guilty: &[&[1, 77], &[2, 88]], guilty_parts: &[77, 88], ..ONE })]
#[case::first_part(Load { guilty: &[&[77, -1]], ..ONE })]
#[case::nested(Load { guilty: &[&[1, 101, 77, -1]], ..ONE })]
#[case::alone_in_its_list(Load { guilty: &[&[77]], ..ONE })]
#[case::every_tenth(Load { guilty_ratio: 0.11, ..ONE })]
#[case::every_second(Load { guilty_ratio: 1.0, ..ONE })]
#[case::ordinary_crashes(Load { ordinary_crashes_per_s: 1.0, ..ONE })]
#[case::only_ordinary_crashes(Load { guilty_ratio: 0.0, ordinary_crashes_per_s: 3.0, ..ONE })]
#[case::late_peer(Load { late_peer: true, ..ONE })]
#[case::made_up_parts(Load { made_up: true, ..ONE })]
fn guilty_parts_are_found_and_sound_ones_served(
    #[case] load: Load,
    #[values(SMALL, LARGE)] fleet: Fleet,
) {
    for seed in 0..fleet.seeds {
        let figures = Simulation::run(fleet, load, seed);
        let Figures {
            sound,
            sound_refused,
            largest_note,
            received_bytes,
            ..
        } = figures;
        let bytes_per_s = received_bytes / END.as_secs() as usize;
        println!(
            "{} instances, seed {seed}: {} crashes, {} after the fifth, {} requests later; \
             {sound_refused} of {sound} sound requests refused; {bytes_per_s} bytes/s, \
             {largest_note} at most",
            fleet.instances,
            figures.crashes.len(),
            figures.ended_after_fifth(),
            figures.later(),
        );
        assert!(figures.later() <= ALLOWED_LATER * load.guilty_parts.len());
        assert!(sound_refused as f64 <= sound as f64 * MAX_SOUND_REFUSED);
        assert!(bytes_per_s <= MAX_BYTES_PER_S);
    }
}

/// Guards against verdicts that depend on the order in which evidence arrives.
#[test]
fn the_verdict_does_not_depend_on_the_order() {
    let taken_at = ms(395);
    let mut notes: Vec<PartReports> = Vec::new();
    for (number, server) in (0..4).zip(1..) {
        let mut peer = PartEvidence::default();
        peer.on_crash(
            ms(100 * number as u64),
            server,
            &parts(&[1, 77, 100 + number]),
        );
        if number == 3 {
            peer.on_output(ms(390), &parts(&[1, 2]));
        }
        notes.push(peer.take_reports(taken_at, &alone()));
    }
    for rotation in 0..notes.len() {
        let mut evidence = PartEvidence::default();
        notes.rotate_left(1);
        for note in &notes {
            evidence.apply(ms(400), note);
        }
        begin_others(&mut evidence, ms(400));
        let verdict = |evidence: &mut PartEvidence, numbers: &[i64]| {
            evidence.verdict(ms(900), &parts(numbers))
        };
        assert_eq!(
            verdict(&mut evidence, &[1, 5]),
            PartVerdict::Clear,
            "{rotation}"
        );
        assert_eq!(
            verdict(&mut evidence, &[9, 77]),
            PartVerdict::Blamed,
            "{rotation}"
        );
    }
}

/// Guards against one crash that counts as several, since several instances report it.
#[test]
fn one_crash_seen_by_several_instances_is_one() {
    let mut evidence = PartEvidence::default();
    for number in 0..5 {
        let mut peer = PartEvidence::default();
        peer.on_crash(ms(10 * number), 7, &parts(&[1, 77]));
        evidence.apply(ms(50), &peer.take_reports(ms(50), &alone()));
    }
    assert_eq!(
        evidence.verdict(ms(2_000), &parts(&[77])),
        PartVerdict::Suspect
    );
}

/// Guards against a blamed part that is tried by several instances or requests at once, and against
/// one that is never tried.
#[test]
fn a_blamed_part_is_tried_once_at_one_instance() {
    let mut evidence = PartEvidence::default();
    let guilty = parts(&[1, 77]);
    for server in 1..=3 {
        evidence.on_crash(ms(u64::from(server) * 200), server, &guilty);
        evidence.on_output(ms(u64::from(server) * 200 + 50), &parts(&[1]));
    }
    begin_others(&mut evidence, ms(800));
    assert_eq!(
        evidence.admit(ms(1_000), &guilty, &alone()),
        PartVerdict::Blamed
    );
    let later = ms(20_000);
    let others = LimitMembers {
        own: None,
        ..alone()
    };
    assert_eq!(evidence.admit(later, &guilty, &others), PartVerdict::Blamed);
    assert_eq!(evidence.admit(later, &guilty, &alone()), PartVerdict::Trial);
    assert_eq!(
        evidence.admit(later, &guilty, &alone()),
        PartVerdict::Blamed
    );
    // A trial that ends in a crash delays the next one.
    evidence.on_crash(later + ms(100), 9, &guilty);
    assert_eq!(
        evidence.admit(ms(40_000), &guilty, &alone()),
        PartVerdict::Blamed
    );
    assert_eq!(
        evidence.admit(ms(70_000), &guilty, &alone()),
        PartVerdict::Trial
    );
    evidence.on_output(ms(70_100), &guilty);
    assert_eq!(
        evidence.admit(ms(70_200), &guilty, &alone()),
        PartVerdict::Clear
    );
}

/// Guards against an instance that starts later, or was cut off, and knows no verdict.
#[test]
fn verdicts_reach_instances_that_start_later() {
    let mut evidence = PartEvidence::default();
    for server in 1..=3 {
        evidence.on_crash(ms(u64::from(server) * 200), server, &parts(&[77]));
    }
    begin_others(&mut evidence, ms(800));
    evidence.take_reports(ms(1_000), &alone());
    let mut late = PartEvidence::default();
    late.apply(ms(500), &evidence.take_reports(ms(3_500), &alone()));
    assert_eq!(late.verdict(ms(600), &parts(&[77])), PartVerdict::Blamed);
}

/// Guards against a sound part that is blamed since no server is left to show its innocence.
#[test]
fn crashes_of_all_servers_blame_no_part() {
    let mut evidence = PartEvidence::default();
    for server in 1..=6 {
        evidence.on_crash(ms(u64::from(server) * 100), server, &parts(&[1, 101]));
    }
    assert_eq!(
        evidence.verdict(ms(5_000), &parts(&[1])),
        PartVerdict::Suspect
    );
    evidence.on_output(ms(5_100), &parts(&[1, 101]));
    begin_others(&mut evidence, ms(5_200));
    assert_eq!(
        evidence.verdict(ms(5_300), &parts(&[1, 101])),
        PartVerdict::Clear
    );
}

/// Guards against candidates that are never reported, since a peer's report of the same crash
/// arrives first.
#[test]
fn a_report_of_a_peer_replaces_only_what_it_contains() {
    let (mut own, mut peer) = (PartEvidence::default(), PartEvidence::default());
    own.on_crash(ms(100), 1, &parts(&[77]));
    peer.on_crash(ms(100), 1, &parts(&[5]));
    own.apply(ms(102), &peer.take_reports(ms(101), &alone()));
    let reports = own.take_reports(ms(103), &alone());
    let keys = reports.crashes.iter().flat_map(|crash| &crash.parts);
    let keys: Vec<_> = keys.map(|part| part.key).collect();
    assert!(keys.contains(&77), "{keys:?}");
}

/// Guards against a trial that ends well and of which the other instances receive nothing.
#[test]
fn a_trial_that_ends_well_is_reported() {
    let mut evidence = PartEvidence::default();
    for server in 1..=3 {
        evidence.on_crash(ms(u64::from(server) * 200), server, &parts(&[77]));
    }
    begin_others(&mut evidence, ms(800));
    let mut peer = PartEvidence::default();
    peer.apply(ms(1_000), &evidence.take_reports(ms(1_000), &alone()));
    // All crashes have expired.
    let later = ms(100_000);
    assert_eq!(peer.verdict(later, &parts(&[77])), PartVerdict::Blamed);
    let admitted = evidence.admit(later, &parts(&[77]), &alone());
    assert_eq!(admitted, PartVerdict::Trial);
    evidence.take_reports(later, &alone());
    evidence.on_output(later + ms(100), &parts(&[77]));
    assert!(evidence.has_unreported());
    peer.apply(
        later + ms(120),
        &evidence.take_reports(later + ms(110), &alone()),
    );
    assert_eq!(
        peer.verdict(later + ms(130), &parts(&[77])),
        PartVerdict::Clear
    );
    assert!(!evidence.has_unreported());
}
