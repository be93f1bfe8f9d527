//! Tests which engines change their role.

use std::time::Duration;

use rstest::rstest;
use wagtailarch_dispatch::{PlannedEngine, RoleChange, RoleDemand, RolePlan, RolePlanInput};
use wagtailarch_types::Role;

const START: Duration = Duration::from_secs(3);

/// The input before requests arrive.
const IDLE: RolePlanInput = RolePlanInput {
    demand: RoleDemand {
        running: 0,
        late_wait: Duration::ZERO,
    },
    serving: false,
    instances: 8,
};

/// Returns the input while requests arrive and prompts wait for prefill engines.
fn serving(running: u32) -> RolePlanInput {
    RolePlanInput {
        demand: RoleDemand {
            running,
            late_wait: Duration::from_millis(300),
        },
        serving: true,
        ..IDLE
    }
}

/// Returns four engines in each of three zones, with the given numbers of decode engines.
fn engines(decode_engines: [usize; 3]) -> Vec<PlannedEngine> {
    let mut engines = Vec::new();
    for (zone, decode_engines) in ["a", "b", "c"].into_iter().zip(decode_engines) {
        for index in 0..4 {
            let role = if index < decode_engines {
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

/// Returns 333 engines in each of three zones, with 222 decode engines.
fn large_fleet() -> Vec<PlannedEngine> {
    let mut fleet = Vec::new();
    for zone in ["a", "b", "c"] {
        let members = (0..333).map(|index| PlannedEngine {
            id: format!("{zone}{index}").into(),
            zone: zone.into(),
            role: if index % 3 == 0 {
                Role::Prefill
            } else {
                Role::Decode
            },
        });
        fleet.extend(members);
    }
    fleet
}

/// Returns the changes for a fleet that has not changed for some seconds.
fn changes_when_settled(
    plan: &mut RolePlan,
    engines: &[PlannedEngine],
    input: &RolePlanInput,
) -> Vec<RoleChange> {
    let first_check = START - Duration::from_secs(3);
    assert!(plan.changes(first_check, engines, input).is_empty());
    plan.changes(START, engines, input)
}

/// Guards against idle decode engines while prompts are queued: two thirds of the engines start in
/// the decode role, although the output of usual request mixes needs only a third.
#[test]
fn roles_of_an_idle_fleet_are_assigned_at_once() {
    let mut plan = RolePlan::default();
    let changes = changes_when_settled(&mut plan, &engines([3, 3, 2]), &IDLE);
    assert_eq!(changes.len(), 4);
    assert!(changes.iter().all(|change| change.role == Role::Prefill));
    let assigned = engines([2, 1, 1]);
    assert!(plan.changes(START, &assigned, &IDLE).is_empty());
}

/// Guards against role changes after every crash, since a crashed engine is back within some
/// seconds.
#[test]
fn a_short_imbalance_changes_nothing_while_requests_are_served() {
    let mut plan = RolePlan::default();
    let complete = engines([2, 1, 1]);
    let mut incomplete = complete.clone();
    incomplete.retain(|engine| engine.id != "b0");
    assert!(plan.changes(START, &incomplete, &serving(5)).is_empty());
    let later = START + Duration::from_secs(4);
    assert!(plan.changes(later, &incomplete, &serving(5)).is_empty());
    assert!(plan.changes(later, &complete, &serving(5)).is_empty());
    assert!(plan.changes(later, &incomplete, &serving(5)).is_empty());
    let last = later + Duration::from_secs(7);
    let changes = plan.changes(last, &incomplete, &serving(5));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].role, Role::Decode);
    let again = plan.changes(last, &incomplete, &serving(5));
    assert!(
        again.is_empty(),
        "an engine receives no second order within the cooldown"
    );
}

/// Guards against role changes because another engine left: when roles were distributed over the
/// zones again, requests were refused for five seconds.
#[test]
fn a_leaving_engine_changes_no_other_roles() {
    for left in ["a3", "b3", "c2", "a0"] {
        let mut plan = RolePlan::default();
        let mut fleet = engines([2, 1, 1]);
        fleet.retain(|engine| engine.id != left);
        for second in 0..30 {
            let now = START + Duration::from_secs(second);
            let changes = plan.changes(now, &fleet, &serving(60));
            let lost_decode_engine = left == "a0" && second >= 6;
            assert!(
                changes.is_empty() || lost_decode_engine,
                "{left}: {changes:?}"
            );
        }
    }
}

/// Guards against a fleet without any decode engine, as when all of them name rate limits, in which
/// no zone has two engines.
#[test]
fn one_engine_decodes_although_no_zone_keeps_both_roles() {
    let mut plan = RolePlan::default();
    let mut fleet = engines([0, 0, 0]);
    fleet.retain(|engine| engine.id.ends_with('0'));
    let mut changes = Vec::new();
    for second in 0..8 {
        let now = START + Duration::from_secs(second);
        changes.extend(plan.changes(now, &fleet, &serving(5)));
    }
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].role, Role::Decode);
}

/// Guards against decode engines that are overloaded because their share is fixed.
#[rstest]
#[case(10, 4)]
#[case(240, 6)]
#[case(5_000, 9)]
fn demand_for_output_adds_decode_engines(#[case] running: u32, #[case] expected: usize) {
    let mut plan = RolePlan::default();
    let fleet = engines([1, 1, 1]);
    let mut input = IDLE;
    input.demand.running = running;
    let changes = changes_when_settled(&mut plan, &fleet, &input);
    // Each zone keeps a prefill engine.
    assert_eq!(3 + changes.len(), expected, "{changes:?}");
}

/// Guards against unnecessary orders: with 999 engines and light traffic, 326 orders cost more than
/// was gained.
#[test]
fn decode_engines_keep_their_role_while_prompts_do_not_wait() {
    let mut plan = RolePlan::default();
    let fleet = engines([4, 3, 3]);
    let mut input = serving(10);
    input.demand.late_wait = Duration::from_millis(20);
    for second in 0..60 {
        let now = START + Duration::from_secs(second);
        let changes = plan.changes(now, &fleet, &input);
        // Only the zone without a prefill engine receives one.
        let in_first_zone = changes.iter().all(|change| change.engine == "a0");
        assert!(in_first_zone, "{changes:?}");
    }
    let now = START + Duration::from_secs(70);
    let mut plan = RolePlan::default();
    let waiting = engines([3, 3, 3]);
    assert!(plan.changes(now, &waiting, &serving(10)).is_empty());
    let later = now + Duration::from_secs(7);
    assert_eq!(plan.changes(later, &waiting, &serving(10)).len(), 1);
}

/// Guards against a large fleet that takes hours to follow the demand because only one engine
/// changes at a time, as in a small fleet.
#[test]
fn more_engines_change_at_a_time_in_a_large_fleet() {
    let mut plan = RolePlan::default();
    let fleet = large_fleet();
    assert!(plan.changes(START, &fleet, &serving(10)).is_empty());
    let later = START + Duration::from_secs(7);
    assert_eq!(plan.changes(later, &fleet, &serving(10)).len(), 9);
}

/// Guards against role changes in a large fleet for traffic that never arrives: 999 engines for 101
/// entry instances lacked no prefill engines.
#[rstest]
#[case(101, 0)]
#[case(333, 336)]
fn roles_are_assigned_early_only_with_few_engines_per_instance(
    #[case] instances: usize,
    #[case] expected: usize,
) {
    let fleet = large_fleet();
    let mut plan = RolePlan::default();
    let input = RolePlanInput { instances, ..IDLE };
    let changes = changes_when_settled(&mut plan, &fleet, &input);
    assert_eq!(changes.len(), expected);
}

/// Guards against a large fleet that is mistaken for a small one while its engines register: with
/// 286 engines, 24 orders were sent in the first seconds, and 152 with 2,850 engines, which are
/// updated every 2.5 seconds.
#[rstest]
#[case(500, 20)]
#[case(2_500, 16)]
fn roles_are_not_assigned_while_a_fleet_grows(#[case] update_interval_ms: u64, #[case] parts: u64) {
    let mut plan = RolePlan::default();
    let fleet = large_fleet();
    let input = RolePlanInput {
        instances: 31,
        ..IDLE
    };
    for check in 0..=20 {
        let now = Duration::from_millis(500 * check);
        let updates = (500 * check / update_interval_ms + 1) as usize;
        let known = &fleet[..(updates * fleet.len() / parts as usize).min(fleet.len())];
        assert!(plan.changes(now, known, &input).is_empty());
    }
}

/// Guards against orders for the number of engines that lead to as many changes of roles: 12 engines
/// join within 12 s, or leave, while requests are served, and all have the role of most engines or
/// of few.
#[rstest]
#[case::prefill_engines_join([2, 2, 2], Role::Prefill, 0)]
#[case::decode_engines_join([2, 2, 2], Role::Decode, 0)]
#[case::prefill_engines_leave([2, 2, 2], Role::Prefill, 12)]
#[case::decode_engines_leave([2, 2, 2], Role::Decode, 12)]
fn engines_that_join_or_leave_change_few_roles(
    #[case] decode_engines: [usize; 3],
    #[case] role: Role,
    #[case] joined_before: usize,
) {
    let mut plan = RolePlan::default();
    let mut changes = 0;
    for step in 0..120 {
        let moved = (step / 2_usize).min(12);
        let joined = joined_before.abs_diff(moved);
        let mut all = engines(decode_engines);
        for number in 0..joined {
            all.push(PlannedEngine {
                id: format!("joined-{number}").into(),
                zone: ["a", "b", "c"][number % 3].into(),
                role,
            });
        }
        let now = START + Duration::from_millis(500) * step as u32;
        changes += plan.changes(now, &all, &serving(20)).len();
    }
    assert!(changes <= 10, "{changes} changes within a minute");
}
