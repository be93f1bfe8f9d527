//! Checks splitting into parts, assembly from parts and the differences between files.

use std::collections::HashSet;

use proptest::prelude::*;
use rstest::rstest;
use wagtailarch_fleet::{
    Fleet, FleetContent, PartError, Parts, Team, TeamIndex, assemble, check_part, diff,
    format_key_hash, missing_parts, split,
};
use wagtailarch_types::{Priority, hash_key};

fn fleet_with(teams: Vec<Team>) -> Fleet {
    let text = include_str!("../../../examples/budapest.toml");
    Fleet {
        teams,
        ..Fleet::parse("budapest.toml", text).unwrap()
    }
}

fn team(number: u32, requests_per_s: f64) -> Team {
    Team {
        name: format!("team-{number:05}").into(),
        key_hash: format_key_hash(&hash_key(&number.to_string())).into(),
        further_key_hashes: Vec::new(),
        route_priority: None,
        requests_per_s,
        tokens_per_s: 1_000.0 * requests_per_s,
        weight: 1.0,
        priority: Priority::Normal,
        services: vec!["fedel".into()],
    }
}

fn lookup<'p>(parts: &'p Parts) -> impl Fn(&str) -> Option<&'p [u8]> {
    |hash| parts.get(hash).map(Vec::as_slice)
}

fn sorted(mut fleet: Fleet) -> Fleet {
    fleet.teams.sort_by(|a, b| a.name.cmp(&b.name));
    fleet
}

/// Returns the number of parts of `new` that `old` does not have.
fn count_new_parts(old: &Parts, new: &Parts) -> usize {
    new.keys().filter(|hash| !old.contains_key(*hash)).count()
}

fn teams() -> impl Strategy<Value = Vec<Team>> {
    let numbers = proptest::collection::btree_set(0..50_000_u32, 0..2_500);
    (numbers, 0.001..1e6_f64).prop_map(|(numbers, rate)| {
        numbers
            .into_iter()
            .map(|number| team(number, rate / f64::from(number + 1)))
            .collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against values that are lost or changed in the parts, such as the last digit of a
    /// number.
    #[test]
    fn parts_keep_every_value(teams in teams()) {
        let fleet = fleet_with(teams);
        let (content, parts) = split(&fleet);
        let assembled = assemble(&content, lookup(&parts)).unwrap();
        prop_assert_eq!(&assembled, &sorted(fleet));
        prop_assert_eq!(split(&assembled), (content, parts));
    }

    /// Guards against parts that depend on the order of the teams in the file.
    #[test]
    fn the_order_of_teams_does_not_matter(teams in teams()) {
        let mut reversed = teams.clone();
        reversed.reverse();
        prop_assert_eq!(split(&fleet_with(teams)).0, split(&fleet_with(reversed)).0);
    }

    /// Guards against a change of one team that changes other parts than its bucket and its index
    /// part.
    #[test]
    fn a_change_of_one_team_changes_at_most_two_parts(
        teams in teams(),
        selected in any::<usize>(),
    ) {
        prop_assume!(!teams.is_empty());
        let mut changed = teams.clone();
        let index = selected % changed.len();
        changed[index].weight += 0.5;
        let (content, old) = split(&fleet_with(teams));
        let (_, new) = split(&fleet_with(changed));
        let index_parts = usize::from(matches!(content.teams, TeamIndex::IndexParts(_)));
        prop_assert_eq!(count_new_parts(&old, &new), 1 + index_parts);
    }

    /// Guards against missing parts that are not listed, or listed although nothing references them
    /// or they were fetched before.
    #[test]
    fn fetching_missing_parts_completes_the_fleet(teams in teams()) {
        let (content, parts) = split(&fleet_with(teams));
        let mut fetched = Parts::new();
        loop {
            let missing = missing_parts(&content, lookup(&fetched)).unwrap();
            if missing.is_empty() {
                break;
            }
            for hash in missing {
                let value = parts.get(&hash).expect("only parts of the fleet are missing");
                prop_assert!(fetched.insert(hash, value.clone()).is_none());
            }
        }
        prop_assert_eq!(fetched.len(), parts.len());
    }
}

/// Guards against a number of buckets, or levels of the index, other than the design page states.
#[rstest]
#[case::none(0, 1, false)]
#[case::one_bucket(32, 1, false)]
#[case::two_buckets(33, 2, false)]
#[case::one_level(1_024, 32, false)]
#[case::two_levels(1_025, 2, true)]
#[case::full_size(29_000, 32, true)]
fn the_index_has_the_right_shape(
    #[case] team_count: u32,
    #[case] entries: usize,
    #[case] two_levels: bool,
) {
    let (content, parts) = split(&fleet_with((0..team_count).map(|n| team(n, 1.0)).collect()));
    let (hashes, levels) = match content.teams {
        TeamIndex::Buckets(hashes) => (hashes, false),
        TeamIndex::IndexParts(hashes) => (hashes, true),
    };
    assert_eq!((hashes.len(), levels), (entries, two_levels));
    assert!(parts.values().all(|value| value.len() < 16_000));
}

/// Guards against parts that are accepted although they are missing, altered or malformed.
#[rstest]
fn unusable_parts_are_refused() {
    let (content, mut parts) = split(&fleet_with(vec![team(1, 1.0)]));
    let hash = content.core.clone();
    let value = parts.insert(hash.clone(), b"{}".to_vec()).unwrap();
    assert!(matches!(
        assemble(&content, lookup(&parts)),
        Err(PartError::Malformed { .. })
    ));
    assert!(matches!(
        check_part(&hash, b"{}"),
        Err(PartError::Mismatch { .. })
    ));
    assert_eq!(check_part(&hash, &value), Ok(()));
    parts.shift_remove(&hash);
    assert_eq!(
        assemble(&content, lookup(&parts)),
        Err(PartError::Absent(hash))
    );
    let malformed = FleetContent {
        teams: TeamIndex::IndexParts(vec!["x".into()]),
        ..content
    };
    let not_an_index = |_: &str| Some(b"7".as_slice());
    assert!(matches!(
        missing_parts(&malformed, not_an_index),
        Err(PartError::Malformed { .. })
    ));
}

/// Guards against differences that are missing, wrong or attributed to another table.
#[rstest]
fn differences_are_listed_by_table() {
    let before = fleet_with((0..3).map(|n| team(n, 1.0)).collect());
    let mut after = before.clone();
    after.teams.reverse();
    assert!(diff(&before, &after).is_empty());
    after.teams[0].weight = 2.0;
    after.teams.remove(1);
    after.teams.push(team(9, 1.0));
    after.policy.goodput_weight = 0.75;
    after.groups[0].roles.mixed.as_mut().unwrap().max = 9;
    let shown = diff(&before, &after).to_string();
    let lines: HashSet<&str> = shown.lines().collect();
    let expected = [
        "~ policy",
        "    goodput_weight: 0.8 -> 0.75",
        "~ group fedel-lm",
        "    roles.mixed.max: 8 -> 9",
        "~ team team-00002",
        "    weight: 1.0 -> 2.0",
        "+ team team-00009",
        "- team team-00001",
    ];
    assert_eq!(lines, HashSet::from(expected), "{shown}");
}
