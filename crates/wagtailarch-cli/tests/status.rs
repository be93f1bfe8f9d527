//! Checks when a generation counts as in force everywhere.

use rstest::rstest;
use wagtailarch_cli::{ZoneState, evaluate_status};
use wagtailarch_wire::records::{BehindReason, InstanceBehind, ZoneStatusRecord};

const NOW_MS: u64 = 1_000_000;

fn record(generation: u64, written_at_ms: u64, behind: Vec<InstanceBehind>) -> Vec<u8> {
    let record = ZoneStatusRecord {
        zone: "a".into(),
        generation,
        instances: 3,
        behind,
        written_at_ms,
        lease_number: 4,
    };
    serde_json::to_vec(&record).unwrap()
}

fn behind(generation: Option<u64>, reason: BehindReason, count: usize) -> Vec<InstanceBehind> {
    vec![
        InstanceBehind {
            instance: "entry-1".into(),
            generation,
            reason
        };
        count
    ]
}

/// Guards against a generation that counts as in force everywhere although the state of a zone is
/// unknown.
#[rstest]
#[case::in_force(Some(record(7, NOW_MS, vec![])), ZoneState::InForce)]
#[case::newer(
    Some(record(7, NOW_MS - 14_999, behind(Some(7), BehindReason::OlderGeneration, 1))),
    ZoneState::InForce
)]
#[case::behind(
    Some(record(6, NOW_MS, behind(Some(6), BehindReason::OlderGeneration, 1))),
    ZoneState::Behind
)]
#[case::unresponsive(
    Some(record(7, NOW_MS, behind(Some(7), BehindReason::Unresponsive, 1))),
    ZoneState::UnknownInstances
)]
#[case::never_acknowledged(
    Some(record(0, NOW_MS, behind(None, BehindReason::NeverAcknowledged, 1))),
    ZoneState::UnknownInstances
)]
#[case::truncated_list(
    Some(record(7, NOW_MS, behind(Some(7), BehindReason::OlderGeneration, 64))),
    ZoneState::UnknownInstances
)]
#[case::old(Some(record(7, NOW_MS - 15_000, vec![])), ZoneState::Stale)]
#[case::future(Some(record(7, NOW_MS + 15_000, vec![])), ZoneState::Stale)]
#[case::absent(None, ZoneState::NoRecord)]
#[case::garbage(Some(b"{".to_vec()), ZoneState::Malformed)]
fn a_zone_counts_only_if_certain(#[case] value: Option<Vec<u8>>, #[case] state: ZoneState) {
    let status = evaluate_status(7, 8, vec![("a".into(), value)], NOW_MS);
    assert_eq!(status.zones[0].state, state);
    assert_eq!(status.everywhere, state == ZoneState::InForce);
}

/// Guards against a generation that counts as in force everywhere although zones are missing, a
/// record belongs to another zone, or the generation was never applied.
#[rstest]
fn every_zone_counts() {
    let in_force = || Some(record(7, NOW_MS, vec![]));
    assert!(evaluate_status(7, 7, vec![("a".into(), in_force())], NOW_MS).everywhere);
    let zones = vec![("a".into(), in_force()), ("b".into(), in_force())];
    let status = evaluate_status(7, 7, zones, NOW_MS);
    assert_eq!(
        (status.everywhere, &status.zones[1].state),
        (false, &ZoneState::Malformed)
    );
    assert!(!evaluate_status(7, 7, vec![], NOW_MS).everywhere);
    assert!(
        !evaluate_status(7, 6, vec![("a".into(), in_force())], NOW_MS).everywhere,
        "never applied"
    );
    assert!(!evaluate_status(0, 7, vec![("a".into(), in_force())], NOW_MS).everywhere);
}
