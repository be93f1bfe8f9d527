//! Verdicts on whole requests that crash servers.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::{LimitMembers, PartEvidence, PartVerdict};
use wagtailarch_wire::part_report::{PartKey, PartReports, ReportedPart, WHOLE_REQUEST};

const REQUEST: PartKey = 77;
const OTHER: PartKey = 78;
/// Interval between two crashes, or rounds of crashes.
const ROUND_MS: u64 = 5_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn alone() -> LimitMembers {
    LimitMembers {
        own: Some("front-0".into()),
        live: Vec::new(),
        listed: 1,
    }
}

fn request(key: PartKey) -> [ReportedPart; 1] {
    [ReportedPart {
        key,
        depth: WHOLE_REQUEST,
    }]
}

/// Records that other requests are completed.
fn complete_others(evidence: &mut PartEvidence, at_ms: u64) {
    for key in 0..3 {
        evidence.on_completed(ms(at_ms), 1_000 + key, true);
    }
}

fn verdict(evidence: &mut PartEvidence, at_ms: u64) -> PartVerdict {
    evidence.verdict(ms(at_ms), &request(REQUEST))
}

/// How often a page is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Popularity {
    /// It is completed at other servers between the rounds.
    Asked,
    /// It is asked for only in two rounds, and runs on both servers that crash.
    Twice,
    /// It runs on one of the servers that crash, in all rounds.
    OnSome,
}

/// Guards against sound requests that are blamed since servers with a common reason ended together, as
/// often as it may be (issue 72, CONFIG).
#[rstest]
#[case::asked(Popularity::Asked)]
#[case::twice(Popularity::Twice)]
#[case::on_some(Popularity::OnSome)]
fn servers_that_end_together_condemn_no_request(
    #[case] popularity: Popularity,
    #[values(2, 8)] servers: u32,
    #[values(1, 3)] instances: usize,
) {
    let mut evidence: Vec<_> = (0..instances).map(|_| PartEvidence::default()).collect();
    for round in 0..6 {
        let at = ROUND_MS * (round + 1);
        for server in 0..servers {
            let number = round as u32 * servers + server;
            let noticed_at = ms(at + u64::from(server));
            let key = match popularity {
                Popularity::Twice if round >= 2 => OTHER,
                Popularity::OnSome if server > 0 => 2_000 + u64::from(number),
                Popularity::Asked | Popularity::Twice | Popularity::OnSome => REQUEST,
            };
            let own = &mut evidence[server as usize % instances];
            own.on_request_crash(noticed_at, number, key, ms(at - 100));
        }
        exchange(&mut evidence, at + 100);
        for own in &mut evidence {
            complete_others(own, at + 500);
            if popularity == Popularity::Asked {
                own.on_completed(ms(at + 600), REQUEST, true);
            }
        }
        exchange(&mut evidence, at + 700);
        for own in &mut evidence {
            assert_eq!(verdict(own, at + 1_000), PartVerdict::Clear, "{round}");
        }
    }
}

/// Sends what is to be reported from each instance to all others.
fn exchange(evidence: &mut [PartEvidence], at_ms: u64) {
    let reports: Vec<_> = evidence
        .iter_mut()
        .map(|own| own.take_reports(ms(at_ms), &alone()))
        .collect();
    for (sender, report) in reports.iter().enumerate() {
        for (receiver, own) in evidence.iter_mut().enumerate() {
            if receiver != sender {
                own.apply(ms(at_ms), report);
            }
        }
    }
}

/// Guards against a request that goes on crashing servers after the third crash: at one instance or at
/// one after the other, often or rarely, and while other requests are served (issue 72).
#[rstest]
fn a_request_is_held_after_its_third_crash(
    #[values(1, 3)] instances: usize,
    #[values(500, 5_000, 150_000)] interval_ms: u64,
) {
    let mut evidence: Vec<_> = (0..instances).map(|_| PartEvidence::default()).collect();
    for number in 0..3 {
        let at = interval_ms * (number + 1);
        for own in &mut evidence {
            assert_eq!(verdict(own, at - 100), PartVerdict::Clear, "{number}");
        }
        let own = &mut evidence[number as usize % instances];
        own.on_request_crash(ms(at), number as u32, REQUEST, ms(at - 100));
        exchange(&mut evidence, at + 20);
        for own in &mut evidence {
            complete_others(own, at + 50);
            // The same path of another caller.
            own.on_completed(ms(at + 60), OTHER, true);
        }
    }
    let known_at = interval_ms * 3 + 450;
    for own in &mut evidence {
        assert_eq!(verdict(own, known_at), PartVerdict::Blamed);
        let other = own.verdict(ms(known_at), &request(OTHER));
        assert_eq!(other, PartVerdict::Clear);
    }
    // An instance that starts hears of it again.
    let mut started = PartEvidence::default();
    for at in [known_at, known_at + 2_500] {
        started.apply(ms(at), &evidence[0].take_reports(ms(at), &alone()));
    }
    assert_eq!(verdict(&mut started, known_at + 2_600), PartVerdict::Blamed);
}

/// Guards against the crashes of one attempt that count as one, since its second run begins as soon as
/// the first server has ended.
#[test]
fn a_run_that_begins_after_a_crash_counts_besides_it() {
    let mut evidence = PartEvidence::default();
    for (server, at) in [(0, 1_000), (1, 1_020), (2, 3_000)] {
        evidence.on_request_crash(ms(at), server, REQUEST, ms(at - 15));
    }
    complete_others(&mut evidence, 3_050);
    assert_eq!(verdict(&mut evidence, 3_500), PartVerdict::Blamed);
}

/// Guards against a verdict that is never tried, is tried by several at once, or outlasts a success.
#[test]
fn a_blamed_request_is_tried_again() {
    let mut evidence = PartEvidence::default();
    for number in 0..3 {
        let at = 1_000 * (number + 1);
        evidence.on_request_crash(ms(at), number as u32, REQUEST, ms(at - 50));
    }
    complete_others(&mut evidence, 3_100);
    let admit =
        |evidence: &mut PartEvidence, at_ms| evidence.admit(ms(at_ms), &request(REQUEST), &alone());
    assert_eq!(admit(&mut evidence, 4_000), PartVerdict::Blamed);
    assert_eq!(admit(&mut evidence, 18_500), PartVerdict::Trial);
    assert_eq!(admit(&mut evidence, 18_600), PartVerdict::Blamed);
    evidence.on_request_crash(ms(18_700), 9, REQUEST, ms(18_600));
    assert_eq!(admit(&mut evidence, 60_000), PartVerdict::Blamed);
    assert_eq!(admit(&mut evidence, 64_000), PartVerdict::Trial);
    evidence.on_completed(ms(64_100), REQUEST, true);
    assert_eq!(admit(&mut evidence, 64_200), PartVerdict::Clear);
    let mut peer = PartEvidence::default();
    let reports: PartReports = evidence.take_reports(ms(64_200), &alone());
    peer.apply(ms(64_250), &reports);
    assert_eq!(verdict(&mut peer, 64_300), PartVerdict::Clear);
}
