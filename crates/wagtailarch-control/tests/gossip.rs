//! Tests of gossip and membership.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_control::{
    BackendObservation, EngineUpdate, Gossip, GossipConfig, GossipEvent, Membership,
    MembershipConfig,
};
use wagtailarch_types::{Assignment, BackendState, Role};
use wagtailarch_wire::engine::EngineReport;
use wagtailarch_wire::peer::{EngineLoad, UrgentBody};
use wagtailarch_wire::platform::{InstanceKind, InstanceList, ListedInstance, ListedState};

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn gossip(name: &str, boot_id: u64) -> Gossip {
    Gossip::new(GossipConfig {
        instance: name.into(),
        boot_id,
        zone: "z".into(),
        peer_address: "127.0.0.1:1".into(),
    })
}

/// Merges into `to` the facts of `from` that it is missing. Returns the resulting updates.
fn pull(now: u64, to: &mut Gossip, from: &Gossip) -> Vec<GossipEvent> {
    let delta = from.delta_for(&to.digest());
    to.merge(s(now), delta)
}

fn assignment(version: &str) -> Assignment {
    Assignment {
        role: Role::Decode,
        model: "m".into(),
        version: version.into(),
        adapters: vec!["a".into()],
    }
}

fn load(running: f64) -> EngineLoad {
    EngineLoad {
        role: Role::Decode,
        state: BackendState::Serving,
        running,
        queued_tokens: 1_000.0,
        prefill_tokens_per_s: 0.0,
        decode_tokens_per_s: 500.0,
        kv_used_ratio: 0.4,
    }
}

/// Guards against loads that are lost, or attributed to another engine or assignment, when they
/// reach an instance over a third one.
#[test]
fn loads_travel_over_a_third_instance() {
    let (mut a, mut b, mut c) = (gossip("a", 1), gossip("b", 1), gossip("c", 1));
    let update = EngineUpdate {
        engine: "e".into(),
        assignment: assignment("v1"),
        load: load(7.0),
    };
    a.set_engine(s(1), &update);
    pull(2, &mut b, &a);
    let events = pull(3, &mut c, &b);
    let engine = events.iter().find_map(|event| match event {
        GossipEvent::Engine(engine, assignment, load) => Some((engine, assignment, load)),
        _ => None,
    });
    let (engine, served, load) = engine.expect("the load of the engine");
    assert_eq!((engine.as_str(), served), ("e", &assignment("v1")));
    assert!((load.running - 7.0).abs() < 0.4, "{load:?}");
    assert_eq!(pull(4, &mut c, &b), vec![], "no update is sent twice");
}

/// Guards against urgent messages that are applied twice, or that never reach a peer to which the
/// flood had no connection.
#[test]
fn urgent_messages_come_once() {
    let (mut a, mut b) = (gossip("a", 1), gossip("b", 1));
    let backend = "e".into();
    let urgent = a.urgent(s(1), UrgentBody::Leaving { backend });
    assert!(b.on_urgent(&urgent));
    assert!(!b.on_urgent(&urgent));
    let count_urgent = |events: Vec<GossipEvent>| {
        let urgent = |event: &&GossipEvent| matches!(event, GossipEvent::Urgent(_));
        events.iter().filter(urgent).count()
    };
    assert_eq!(count_urgent(pull(2, &mut b, &a)), 0);
    let mut missed = gossip("c", 1);
    assert_eq!(count_urgent(pull(2, &mut missed, &a)), 1);
    // An expired message must not reach an instance that starts much later.
    a.heartbeat(s(40));
    let mut late = gossip("d", 1);
    assert_eq!(count_urgent(pull(40, &mut late, &a)), 0);
}

/// Guards against applying facts of a process that was replaced by a later one.
#[test]
fn a_later_process_replaces_an_earlier_one() {
    let mut observer = gossip("o", 1);
    let mut old = gossip("a", 5);
    old.set_self(s(1), 9, false);
    pull(1, &mut observer, &old);
    let new = gossip("a", 6);
    let events = pull(2, &mut observer, &new);
    assert!(events.contains(&GossipEvent::Restarted("a".into(), 5)));
    old.set_self(s(3), 10, false);
    assert_eq!(pull(3, &mut observer, &old), vec![]);
}

fn listed(state: ListedState, revision: u64) -> InstanceList {
    InstanceList {
        revision,
        items: vec![ListedInstance {
            id: "e".into(),
            kind: InstanceKind::Engine,
            group: Some("g".into()),
            zone: "z".into(),
            address: "127.0.0.1:9".into(),
            peer_address: None,
            state,
        }],
    }
}

fn report(state: BackendState) -> EngineReport {
    let served = assignment("v1");
    EngineReport {
        engine: "e".into(),
        boot_id: 1,
        seq: 1,
        role: served.role,
        model: served.model,
        version: served.version,
        adapters: served.adapters,
        state,
        running: 0,
        queued_tokens: 0,
        decode_slots: 8,
        kv_used_ratio: 0.0,
        prefill_tokens_per_s: 0.0,
        decode_tokens_per_s: 0.0,
        fencing_number: 0,
        last_order_nonce: None,
        generation: 1,
        order_conflicts: 0,
    }
}

/// Returns a membership with one engine that accepts work at 1 s.
fn serving_membership() -> Membership {
    let mut membership = Membership::new(MembershipConfig::default());
    membership.on_list(s(0), &listed(ListedState::Live, 1));
    membership.on_report(s(1), s(1), &report(BackendState::Serving));
    assert!(membership.statuses(s(1))[0].accepting);
    membership
}

fn accepts(membership: &mut Membership, now: u64) -> bool {
    membership.statuses(s(now))[0].accepting
}

#[derive(Clone, Copy)]
enum Source {
    List,
    Report,
    Observation,
    Peer,
}

/// Guards against new work for a leaving server (G7), and against its return due to a list or a
/// report that is older than the report of leaving.
#[rstest]
fn the_first_report_of_leaving_counts_and_a_return_needs_newer_reports(
    #[values(Source::List, Source::Report, Source::Observation, Source::Peer)] source: Source,
) {
    let mut membership = serving_membership();
    let engine = "e".into();
    match source {
        Source::List => {
            let first = membership.on_list(s(2), &listed(ListedState::Leaving, 2));
            assert_eq!(first, vec![engine]);
        }
        Source::Report => {
            assert!(membership.on_report(s(2), s(2), &report(BackendState::Draining)));
        }
        Source::Observation => {
            assert!(membership.on_observation(s(2), &engine, BackendObservation::Leaving))
        }
        Source::Peer => membership.on_peer_leaving(s(2), &engine),
    }
    assert!(!accepts(&mut membership, 2));
    membership.on_report(s(3), s(1), &report(BackendState::Serving));
    membership.on_list(s(4), &listed(ListedState::Live, 3));
    membership.on_report(s(5), s(5), &report(BackendState::Serving));
    assert!(!accepts(&mut membership, 5), "the list may lag by 10 s");
    membership.on_list(s(13), &listed(ListedState::Live, 3));
    membership.on_report(s(13), s(13), &report(BackendState::Serving));
    assert!(accepts(&mut membership, 13));
}

/// Guards against a planned change after which its engine gets no work for the lag of the list, and
/// against work for an engine that is drained for the change.
#[test]
fn a_planned_drain_ends_with_the_change() {
    let mut membership = serving_membership();
    membership.on_planned_drain(s(2), &"e".into(), true);
    assert!(!membership.on_report(s(2), s(2), &report(BackendState::Draining)));
    assert!(!accepts(&mut membership, 2));
    membership.on_report(s(3), s(3), &report(BackendState::Changing));
    membership.on_report(s(4), s(4), &report(BackendState::Serving));
    membership.on_planned_drain(s(4), &"e".into(), false);
    assert!(accepts(&mut membership, 4));
}

/// Guards against work for an engine that stopped sending reports.
#[test]
fn an_unresponsive_engine_gets_no_work() {
    let mut membership = serving_membership();
    assert!(accepts(&mut membership, 4));
    assert!(!accepts(&mut membership, 5));
}
