//! Tests of admission: team limits, fair shares, deadlines and retry times.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use wagtailarch_fleet::Team;
use wagtailarch_traffic::{Admission, AdmitRequest, Admitted, GroupCapacity};
use wagtailarch_types::{Priority, RefusalReason};

fn team(name: &str, requests_per_s: f64, weight: f64) -> Team {
    Team {
        name: name.into(),
        key_hash: "".into(),
        further_key_hashes: Vec::new(),
        route_priority: None,
        requests_per_s,
        tokens_per_s: 1e9,
        weight,
        priority: Priority::High,
        services: Vec::new(),
    }
}

fn capacity(slots: u32) -> GroupCapacity {
    GroupCapacity {
        group: "g".into(),
        backends: 4,
        slots,
        running: 0,
        queued_tokens: 0,
        prefill_tokens_per_s: 40_000.0,
        token_interval: Duration::from_millis(40),
    }
}

fn request(team: &str, id: u128) -> AdmitRequest {
    AdmitRequest {
        team: team.into(),
        group: "g".into(),
        request_id: id,
        priority: Priority::Normal,
        deadline: None,
        prompt_tokens: 100,
        max_tokens: 10,
    }
}

/// Names of the teams; the first one sends bursts.
const TEAMS: [&str; 4] = ["burst", "a", "b", "c"];

proptest! {
    #![proptest_config(common::fuzz_config(100))]

    /// Guards against a burst of one team that takes the shares of others: a team with fewer
    /// requests in flight than its share of the limit must not be refused because of the load.
    #[test]
    fn a_burst_costs_no_other_team_its_share(
        slots in 8..60u32,
        weights in prop::array::uniform4(0.5..4.0f64),
        steps in prop::collection::vec((0..4usize, any::<bool>(), 0..40u32), 1..250),
    ) {
        let admission = Admission::new(1);
        let teams: Vec<Team> =
            TEAMS.iter().zip(weights).map(|(name, weight)| team(name, 1e6, weight)).collect();
        admission.update(Duration::ZERO, &teams, 1, &[capacity(slots)]);
        let total_weight: f64 = weights.iter().sum();
        let limit = f64::from(slots) * 1.25 * 0.95;
        let mut running: [VecDeque<Admitted>; 4] = Default::default();
        let mut now = Duration::ZERO;
        for (team_index, starts, count) in steps {
            now += Duration::from_millis(5);
            if !starts {
                running[team_index].pop_front();
                continue;
            }
            let tries = if team_index == 0 { count } else { 1 };
            for id in 0..tries {
                let share = limit * weights[team_index] / total_weight;
                let below = running[team_index].len() as f64 + 1.0 <= share;
                // Only the bursting team sends requests beyond its share.
                if team_index != 0 && !below {
                    continue;
                }
                match admission.admit(now, &request(TEAMS[team_index], u128::from(id))) {
                    Ok(admitted) => running[team_index].push_back(admitted),
                    Err(refusal) => prop_assert!(!below, "{team_index} below its share: {refusal:?}"),
                }
            }
            let in_flight: usize = running.iter().map(VecDeque::len).sum();
            prop_assert!(in_flight as f64 <= 2.0 * limit + 1.0, "{in_flight} of {limit}");
        }
    }

    /// Guards against a team that exceeds its limit by sending its requests to several instances.
    #[test]
    fn a_limit_holds_over_several_instances(
        count in 2..8usize,
        lag_s in 1..6u64,
        // For each 10 s: bit mask of the instances that get requests, and how many each in 100 ms.
        phases in prop::collection::vec((1..256u32, 1..40u32), 4..12),
    ) {
        let limit = 40.0;
        let instances: Vec<Admission> = (0..count)
            .map(|seed| {
                let admission = Admission::new(seed as u64);
                admission.update(Duration::ZERO, &[team("a", limit, 1.0)], count as u32, &[capacity(100_000)]);
                admission
            })
            .collect();
        let mut accepted = 0.0;
        let mut gossip: VecDeque<Vec<f64>> = VecDeque::new();
        let mut ms = 0;
        for (busy, each) in &phases {
            for _ in 0..100 {
                ms += 100;
                let now = Duration::from_millis(ms);
                for (index, instance) in instances.iter().enumerate() {
                    if busy & (1 << index) == 0 {
                        continue;
                    }
                    for id in 0..*each {
                        accepted += f64::from(u8::from(instance.admit(now, &request("a", u128::from(id))).is_ok()));
                    }
                }
                if ms.is_multiple_of(1_000) {
                    gossip.push_back(instances.iter().map(usage).collect());
                    if gossip.len() as u64 > lag_s {
                        let usages = gossip.pop_front().expect("not empty");
                        let sum: f64 = usages.iter().sum();
                        for (index, instance) in instances.iter().enumerate() {
                            instance.set_remote_usage(&"a".into(), sum - usages[index], 0.0);
                        }
                    }
                }
            }
            // Each change of the pattern may exceed the limit for one gossip lag.
            let elapsed_s = ms as f64 / 1_000.0;
            let bound = limit * (1.1 * elapsed_s + 5.0) + limit + count as f64;
            prop_assert!(accepted <= bound, "{accepted} of {bound} after {elapsed_s} s");
        }
    }
}

fn usage(admission: &Admission) -> f64 {
    admission
        .top_teams(60)
        .first()
        .map_or(0.0, |usage| usage.requests_per_s)
}

/// Guards against a limit that a team cannot reach on a single instance: with all its requests at
/// one of 6 instances it must get at least 0.9 of the limit once the share of that one has grown.
#[test]
fn one_busy_instance_gets_the_limit() {
    let admission = Admission::new(1);
    admission.update(
        Duration::ZERO,
        &[team("a", 60.0, 1.0)],
        6,
        &[capacity(100_000)],
    );
    let mut accepted = 0;
    for ms in (0..60_000).step_by(10) {
        let admitted = admission.admit(Duration::from_millis(ms), &request("a", u128::from(ms)));
        accepted += u32::from(admitted.is_ok() && ms >= 30_000);
    }
    assert!(accepted >= 54 * 30, "{accepted} in 30 s");
}

/// Guards against accepting a request that cannot end before its deadline, and against refusing one
/// that can.
#[rstest]
#[case::enough(Duration::from_secs(2), None)]
#[case::too_short(Duration::from_millis(200), Some(RefusalReason::DeadlineUnreachable))]
fn deadlines_are_checked_at_once(
    #[case] deadline: Duration,
    #[case] refused: Option<RefusalReason>,
) {
    let admission = Admission::new(1);
    admission.update(Duration::ZERO, &[team("a", 60.0, 1.0)], 1, &[capacity(10)]);
    let with_deadline = AdmitRequest {
        deadline: Some(deadline),
        ..request("a", 1)
    };
    let refusal = admission.admit(Duration::ZERO, &with_deadline).err();
    assert_eq!(refusal.map(|refusal| refusal.reason), refused);
    // A long queue makes the longer deadline unreachable as well.
    let queue = GroupCapacity {
        queued_tokens: 200_000,
        ..capacity(10)
    };
    admission.set_capacity(Duration::ZERO, 1, &[queue]);
    let refusal = admission
        .admit(Duration::ZERO, &with_deadline)
        .expect_err("queue of 5 s");
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
}

/// Guards against refused clients that all return at once, and against a request that counts as in
/// flight after it has ended.
#[test]
fn retry_times_spread_and_places_return() {
    let admission = Admission::new(1);
    admission.update(Duration::ZERO, &[team("a", 1e6, 1.0)], 1, &[capacity(4)]);
    let admit = |id| admission.admit(Duration::ZERO, &request("a", id));
    let admitted: Vec<Admitted> = (0..4).map(|id| admit(id).expect("free slot")).collect();
    let times: Vec<Duration> = (10..210)
        .map(|id| admit(id).expect_err("full").retry_after)
        .collect();
    let (least, most) = (
        times.iter().min().expect("some"),
        times.iter().max().expect("some"),
    );
    assert!(*least >= Duration::from_secs(1) && *most >= least.mul_f64(1.8));
    assert_eq!(
        admit(10).expect_err("full").retry_after,
        times[0],
        "fixed by the request id"
    );
    drop(admitted);
    assert!(admit(300).is_ok());
}

/// Guards against requests of low priority that leave no capacity for higher priorities.
#[test]
fn low_priority_leaves_room() {
    let admission = Admission::new(1);
    admission.update(Duration::ZERO, &[team("a", 1e6, 1.0)], 1, &[capacity(40)]);
    let admit = |priority, id| {
        admission.admit(
            Duration::ZERO,
            &AdmitRequest {
                priority,
                ..request("a", id)
            },
        )
    };
    let mut admitted = Vec::new();
    for priority in [Priority::Low, Priority::Normal, Priority::High] {
        let before = admitted.len();
        admitted.extend((0..100).map_while(|id| admit(priority, id).ok()));
        assert!(
            admitted.len() > before,
            "{priority:?} finds room above the lower ones"
        );
    }
}

/// Guards against a limit that grows with the number of accepted requests, which made queues grow
/// under overload.
#[test]
fn the_limit_does_not_grow_under_overload() {
    let admission = Admission::new(1);
    admission.update(Duration::ZERO, &[team("a", 1e6, 1.0)], 4, &[capacity(40)]);
    let mut admitted = Vec::new();
    for second in 1..20 {
        let now = Duration::from_secs(second);
        let running = 4 * admitted.len() as u32;
        admission.set_capacity(
            now,
            4,
            &[GroupCapacity {
                running,
                ..capacity(40)
            }],
        );
        admitted.extend((0..100).map_while(|id| admission.admit(now, &request("a", id)).ok()));
    }
    assert!(
        admitted.len() <= 13,
        "{} of a quarter of 50 slots",
        admitted.len()
    );
}
