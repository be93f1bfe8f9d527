//! Which engines change their role.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::{PlannedEngine, RolePlan, is_steward};
use wagtailarch_types::{InstanceId, Role};

const START: Duration = Duration::from_secs(3);

fn engines(generating: usize, reading: usize) -> Vec<PlannedEngine> {
    let zones = ["a", "b", "c"];
    let mut engines = Vec::new();
    for zone in zones {
        for index in 0..generating + reading {
            let role = if index < generating {
                Role::Decode
            } else {
                Role::Prefill
            };
            engines.push(PlannedEngine {
                id: format!("{zone}{index}").into(),
                zone: zone.into(),
                role,
            });
        }
    }
    engines
}

/// Guards against engines that wait for output while prompts queue: at the start two thirds of the
/// engines generate, although each zone's output needs one.
#[test]
fn an_idle_fleet_is_arranged_at_once() {
    let mut plan = RolePlan::default();
    let changes = plan.changes(START, &engines(3, 1), 0, false);
    assert_eq!(changes.len(), 6);
    assert!(changes.iter().all(|change| change.role == Role::Prefill));
    assert!(plan.changes(START, &engines(1, 3), 0, false).is_empty());
}

/// Guards against changes that follow every crash: a crashed engine is back after some seconds.
#[test]
fn a_short_lack_changes_nothing_while_requests_are_served() {
    let mut plan = RolePlan::default();
    let mut short = engines(1, 3);
    short.remove(0);
    assert!(plan.changes(START, &short, 5, true).is_empty());
    let later = START + Duration::from_secs(4);
    assert!(plan.changes(later, &short, 5, true).is_empty());
    assert!(plan.changes(later, &engines(1, 3), 5, true).is_empty());
    assert!(plan.changes(later, &short, 5, true).is_empty());
    let last = later + Duration::from_secs(7);
    let changes = plan.changes(last, &short, 5, true);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].role, Role::Decode);
    assert!(
        plan.changes(last, &short, 5, true).is_empty(),
        "one order an engine"
    );
}

/// Guards against engines that are overloaded with output because the share is fixed.
#[rstest]
#[case(10, 3)]
#[case(100, 5)]
#[case(5_000, 9)]
fn output_in_demand_takes_more_engines(#[case] running: u32, #[case] expected: usize) {
    let mut plan = RolePlan::default();
    let fleet = engines(1, 3);
    let changes = plan.changes(START, &fleet, running, false);
    // Each zone keeps an engine that reads.
    assert!((3 + changes.len()).abs_diff(expected) <= 1, "{changes:?}");
}

/// Guards against two instances that both give orders, or none, while all hear each other.
#[test]
fn exactly_one_member_is_the_steward() {
    let members: Vec<InstanceId> = (0..8).map(|i| format!("front-{i}").into()).collect();
    let stewards = members.iter().filter(|&own| {
        let others = members.iter().filter(|member| *member != own);
        is_steward("lm", own, others)
    });
    assert_eq!(stewards.count(), 1);
}
