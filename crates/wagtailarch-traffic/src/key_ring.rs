//! The teams of a configuration by their keys.

use std::collections::{HashMap, HashSet};

use wagtailarch_fleet::{Team, parse_key_hash};
use wagtailarch_types::{HashedKey, TeamName};

/// The teams of a configuration by their hashed keys.
#[derive(Debug, Clone, Default)]
pub struct KeyRing {
    /// Index of the team of each key; keys of several teams are absent.
    team_indices: HashMap<HashedKey, u32>,
    shared_keys: Vec<SharedKey>,
}

/// Two teams for which the same key is listed, so that it belongs to neither.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedKey {
    /// Team for which the key is listed first.
    pub first: TeamName,
    /// Team for which it is listed again.
    pub second: TeamName,
}

impl KeyRing {
    /// Creates the ring of the given teams; malformed hashes match no key.
    ///
    /// Entries of the same name are the same team.
    pub fn new(teams: &[Team]) -> Self {
        let mut team_indices: HashMap<HashedKey, u32> = HashMap::new();
        let mut shared_keys = Vec::new();
        let mut shared_hashes = HashSet::new();
        for (index, team) in (0..).zip(teams) {
            for hash in team.key_hashes().filter_map(|text| parse_key_hash(text)) {
                let first = *team_indices.entry(hash).or_insert(index);
                let first_name = &teams[first as usize].name;
                if *first_name == team.name {
                    continue;
                }
                shared_hashes.insert(hash);
                shared_keys.push(SharedKey {
                    first: first_name.clone(),
                    second: team.name.clone(),
                });
            }
        }
        team_indices.retain(|hash, _| !shared_hashes.contains(hash));
        Self {
            team_indices,
            shared_keys,
        }
    }

    /// Returns the index of the team with the given key.
    pub fn team_index(&self, key: &HashedKey) -> Option<usize> {
        self.team_indices.get(key).map(|&index| index as usize)
    }

    /// Returns the teams for which the same key is listed, once for each further listing.
    pub fn shared_keys(&self) -> &[SharedKey] {
        &self.shared_keys
    }
}
