//! Teams by their keys.

use rstest::rstest;
use wagtailarch_fleet::{Team, format_key_hash};
use wagtailarch_traffic::KeyRing;
use wagtailarch_types::{Priority, hash_key};

/// Creates a team with the hashes of the given keys.
fn team(name: &str, keys: &[&str]) -> Team {
    let hashes = keys
        .iter()
        .map(|key| format_key_hash(&hash_key(key)).into());
    let mut hashes = hashes.collect::<Vec<_>>().into_iter();
    Team {
        name: name.into(),
        key_hash: hashes.next().unwrap_or_default(),
        further_key_hashes: hashes.collect(),
        requests_per_s: f64::INFINITY,
        tokens_per_s: f64::INFINITY,
        weight: 1.0,
        priority: Priority::Normal,
        services: Vec::new(),
        route_priority: None,
    }
}

/// Guards against a key that belongs to the wrong team, or to one of several that list it.
#[rstest]
#[case::several_keys(&["a 1 2", "b 3"], "2", Some(0))]
#[case::other_team(&["a 1 2", "b 3"], "3", Some(1))]
#[case::unknown(&["a 1"], "2", None)]
#[case::no_keys(&["a", "b 1"], "1", Some(1))]
#[case::empty_key(&["a"], "", None)]
#[case::shared(&["a 1 2", "b 2"], "2", None)]
#[case::beside_shared(&["a 1 2", "b 2"], "1", Some(0))]
#[case::shared_by_three(&["a 1", "b 1", "c 1"], "1", None)]
#[case::twice_for_one_team(&["a 1 1"], "1", Some(0))]
#[case::entries_of_one_name(&["a 1", "a 1 2"], "1", Some(0))]
fn a_key_belongs_to_one_team(
    #[case] teams: &[&str],
    #[case] key: &str,
    #[case] index: Option<usize>,
) {
    let teams: Vec<_> = teams.iter().map(|text| team(text)).collect();
    let key_ring = KeyRing::new(&teams);
    assert_eq!(key_ring.team_index(&hash_key(key)), index);
}

/// Guards against a shared key that is reported without the names of its teams, or not at all.
#[rstest]
fn shared_keys_name_their_teams() {
    let teams = [team("a 1"), team("b 1"), team("c 2 1")];
    let key_ring = KeyRing::new(&teams);
    let names = key_ring.shared_keys().iter();
    let names: Vec<_> = names
        .map(|shared| (&*shared.first, &*shared.second))
        .collect();
    assert_eq!(names, [("a", "b"), ("a", "c")]);
}
