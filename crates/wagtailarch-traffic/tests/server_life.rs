//! Which responses that end with their connections are whole, in virtual time.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_traffic::{Departure, EndVerdict, PortState, ServerLife};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Interval between probes.
const PROBE_INTERVAL_MS: u64 = 200;
/// When the server announces that it leaves.
const ANNOUNCED_MS: u64 = 2_000;
/// When it closes its port.
const PORT_CLOSED_MS: u64 = 4_500;
/// When the connection of the response ends.
const END_MS: u64 = 6_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a server that has closed its port and sent data until shortly before `END_MS`, which runs
/// `responses` responses.
fn leaving_server(responses: usize) -> ServerLife {
    let mut life = ServerLife::default();
    for _ in 0..responses {
        life.on_opened();
    }
    for at in (ANNOUNCED_MS..END_MS).step_by(PROBE_INTERVAL_MS as usize) {
        let port = match at < PORT_CLOSED_MS {
            true => PortState::Open,
            false => PortState::Closed,
        };
        life.on_probe(ms(at), port);
        life.on_heard(ms(at + 50));
    }
    life
}

/// Returns the verdict on a response and when it was reached.
fn verdict(
    life: &mut ServerLife,
    departure: impl Fn(u64) -> Option<Departure>,
) -> (EndVerdict, u64) {
    let end = life.on_ended(ms(END_MS));
    for at in END_MS..END_MS + 10_000 {
        let departure = departure(at);
        match life.verdict(ms(at), end, departure.as_ref(), HEARTBEAT_INTERVAL) {
            EndVerdict::Undecided => {}
            decided => return (decided, at - END_MS),
        }
    }
    (EndVerdict::Undecided, 10_000)
}

fn draining(removed_ms: Option<u64>) -> impl Fn(u64) -> Option<Departure> {
    move |now| {
        Some(Departure {
            removed_at: removed_ms.map(ms).filter(|at| *at <= ms(now)),
            ..Departure::new(ms(ANNOUNCED_MS))
        })
    }
}

/// Guards against the announcement alone that passes for a proof, and against evidence that is not
/// used.
#[rstest]
#[case::nothing_follows(None, EndVerdict::Broken, 1_800)]
#[case::removed_by_itself(Some(END_MS + 40), EndVerdict::Whole, 40)]
#[case::expired(Some(END_MS + 2_500), EndVerdict::Broken, 1_800)]
fn a_draining_server_that_ends_is_judged_by_its_registration(
    #[case] removed_ms: Option<u64>,
    #[case] expected: EndVerdict,
    #[case] after_ms: u64,
) {
    let decided = verdict(&mut leaving_server(1), draining(removed_ms));
    assert_eq!(decided, (expected, after_ms));
}

/// Guards against a registration that expires behind a lost path and passes for one that the server
/// removed.
#[test]
fn a_late_end_is_not_judged_by_the_removal_of_a_registration() {
    let mut life = leaving_server(1);
    life.on_probe(ms(END_MS - 100), PortState::Unreachable);
    let (decided, _) = verdict(&mut life, draining(Some(END_MS + 40)));
    assert_eq!(decided, EndVerdict::Broken);
}

/// Guards against whole responses that are cut while the process goes on.
#[rstest]
#[case::data(true)]
#[case::heartbeat(false)]
fn life_after_the_end_shows_that_a_response_was_whole(#[case] by_data: bool) {
    let mut life = leaving_server(2);
    let end = life.on_ended(ms(END_MS));
    let mut departure = Departure::new(ms(ANNOUNCED_MS));
    // Data and heartbeats that arrive at once may have been sent before.
    for (at, expected) in [
        (END_MS + 200, EndVerdict::Undecided),
        (END_MS + 300, EndVerdict::Whole),
    ] {
        match by_data {
            true => life.on_heard(ms(at)),
            false => departure.registered_at = ms(at),
        }
        let verdict = life.verdict(ms(at), end, Some(&departure), HEARTBEAT_INTERVAL);
        assert_eq!(verdict, expected);
    }
}

/// Guards against responses of a server whose registration was removed at first: the port that it had
/// closed before is the only evidence.
#[rstest]
#[case::in_order(1, 0, EndVerdict::Whole)]
#[case::one_of_several(3, 0, EndVerdict::Whole)]
#[case::killed_with_others(3, 2, EndVerdict::Broken)]
fn a_removed_server_is_judged_by_its_port(
    #[case] responses: usize,
    #[case] ended_together: usize,
    #[case] expected: EndVerdict,
) {
    let mut life = leaving_server(responses);
    for _ in 0..ended_together {
        life.on_ended(ms(END_MS - 1));
    }
    let removed = |_| {
        Some(Departure {
            removed_at: Some(ms(ANNOUNCED_MS)),
            ..Departure::new(ms(ANNOUNCED_MS))
        })
    };
    let (decided, _) = verdict(&mut life, removed);
    assert_eq!(decided, expected);
}

/// Guards against a port that closes at the end of the process and passes for one that was closed
/// before.
#[test]
fn a_port_that_closes_with_the_connections_shows_nothing() {
    let mut life = ServerLife::default();
    life.on_opened();
    life.on_probe(ms(END_MS - 100), PortState::Open);
    life.on_heard(ms(END_MS - 10));
    life.on_probe(ms(END_MS), PortState::Closed);
    life.on_heard(ms(END_MS));
    let removed = |_| {
        Some(Departure {
            removed_at: Some(ms(ANNOUNCED_MS)),
            ..Departure::new(ms(ANNOUNCED_MS))
        })
    };
    let (decided, _) = verdict(&mut life, removed);
    assert_eq!(decided, EndVerdict::Broken);
}

/// Guards against a crash that is decided before an announcement may have arrived, and against a wait
/// without end.
#[rstest]
#[case::crash(None, EndVerdict::Broken, 300)]
#[case::known_late(Some(END_MS + 200), EndVerdict::Whole, 240)]
fn an_announcement_may_arrive_after_the_end(
    #[case] announced_ms: Option<u64>,
    #[case] expected: EndVerdict,
    #[case] after_ms: u64,
) {
    let departure = |now| {
        let at = announced_ms.filter(|at| *at <= now)?;
        Some(Departure {
            removed_at: Some(ms(at + 40)).filter(|at| *at <= ms(now)),
            ..Departure::new(ms(at))
        })
    };
    let decided = verdict(&mut leaving_server(1), departure);
    assert_eq!(decided, (expected, after_ms));
}
