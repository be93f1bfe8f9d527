//! Splitting of a fleet file into parts, and its assembly from them.

use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use wagtailarch_types::{Priority, ServiceName, TeamName};

use crate::model::{Fleet, Team};
use crate::{FleetContent, PartError, PartHash, Parts, TeamIndex, part_hash};

/// Maximum average number of teams per bucket; the number of buckets is rounded up to a power of
/// two.
const TEAMS_PER_BUCKET: usize = 32;
/// Maximum number of buckets that a manifest or an index part lists.
const BUCKETS_PER_INDEX: usize = 32;
/// Prefix of every key hash, which is omitted in the parts.
const KEY_HASH_PREFIX: &str = "blake3:";
/// Separates the hashes of the keys of a team in a row.
const HASH_SEPARATOR: &str = ",";

/// A team as a JSON array; without field names, a bucket takes two thirds of the bytes.
///
/// The second field has the hashes of all keys without their prefix. A row of a team with one key
/// has no separator; an older build takes a row with several for one malformed hash.
type TeamRow = (TeamName, SmolStr, f64, f64, f64, Priority, Vec<ServiceName>);

/// Splits a valid fleet into content-addressed parts.
///
/// Equal fleets have equal parts regardless of the order of their teams.
pub fn split(fleet: &Fleet) -> (FleetContent, Parts) {
    let mut parts = Parts::new();
    let core = add_part(&mut parts, &without_teams(fleet));
    let mut buckets = Vec::new();
    for teams in bucket_teams(&fleet.teams) {
        let rows: Vec<TeamRow> = teams.into_iter().map(to_row).collect();
        buckets.push(add_part(&mut parts, &rows));
    }
    if buckets.len() <= BUCKETS_PER_INDEX {
        return (
            FleetContent {
                core,
                teams: TeamIndex::Buckets(buckets),
            },
            parts,
        );
    }
    let mut index_parts = Vec::new();
    for hashes in buckets.chunks(BUCKETS_PER_INDEX) {
        index_parts.push(add_part(&mut parts, &hashes));
    }
    (
        FleetContent {
            core,
            teams: TeamIndex::IndexParts(index_parts),
        },
        parts,
    )
}

/// Returns the parts of a configuration for which `lookup` returns `None`.
///
/// The buckets of an index part are included only if `lookup` returns that part, so callers fetch
/// the missing parts and call this again until the result is empty.
pub fn missing_parts<'p>(
    content: &FleetContent,
    lookup: impl Fn(&str) -> Option<&'p [u8]>,
) -> Result<Vec<PartHash>, PartError> {
    let mut missing = Vec::new();
    let referenced = referenced_parts(content, &lookup)?;
    for hash in referenced {
        if lookup(&hash).is_none() {
            missing.push(hash);
        }
    }
    missing.sort_unstable();
    missing.dedup();
    Ok(missing)
}

/// Returns the parts that a configuration references.
///
/// The buckets of an index part are included only if `lookup` returns that part.
pub fn referenced_parts<'p>(
    content: &FleetContent,
    lookup: impl Fn(&str) -> Option<&'p [u8]>,
) -> Result<Vec<PartHash>, PartError> {
    let mut referenced = vec![content.core.clone()];
    match &content.teams {
        TeamIndex::Buckets(buckets) => referenced.extend_from_slice(buckets),
        TeamIndex::IndexParts(index_parts) => {
            referenced.extend_from_slice(index_parts);
            for hash in index_parts {
                if let Some(value) = lookup(hash) {
                    referenced.extend(decode::<Vec<PartHash>>(hash, value)?);
                }
            }
        }
    }
    Ok(referenced)
}

/// Assembles a configuration from its parts; its teams are sorted by name.
pub fn assemble<'p>(
    content: &FleetContent,
    lookup: impl Fn(&str) -> Option<&'p [u8]>,
) -> Result<Fleet, PartError> {
    let value = |hash: &PartHash| lookup(hash).ok_or_else(|| PartError::Absent(hash.clone()));
    let mut fleet: Fleet = decode(&content.core, value(&content.core)?)?;
    let mut buckets = Vec::new();
    match &content.teams {
        TeamIndex::Buckets(hashes) => buckets.extend_from_slice(hashes),
        TeamIndex::IndexParts(hashes) => {
            for hash in hashes {
                buckets.extend(decode::<Vec<PartHash>>(hash, value(hash)?)?);
            }
        }
    }
    for hash in &buckets {
        let rows: Vec<TeamRow> = decode(hash, value(hash)?)?;
        fleet.teams.extend(rows.into_iter().map(from_row));
    }
    fleet.teams.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    Ok(fleet)
}

/// Returns a copy of a fleet without its teams.
fn without_teams(fleet: &Fleet) -> Fleet {
    Fleet {
        fleet: fleet.fleet.clone(),
        policy: fleet.policy.clone(),
        models: fleet.models.clone(),
        groups: fleet.groups.clone(),
        services: fleet.services.clone(),
        teams: Vec::new(),
    }
}

/// Distributes teams over buckets by the hash of their names; each bucket is sorted by name.
fn bucket_teams(teams: &[Team]) -> Vec<Vec<&Team>> {
    let bucket_count = teams.len().div_ceil(TEAMS_PER_BUCKET).next_power_of_two();
    let mut buckets = vec![Vec::new(); bucket_count];
    for team in teams {
        buckets[bucket_index(&team.name, bucket_count)].push(team);
    }
    for bucket in &mut buckets {
        bucket.sort_unstable_by(|a: &&Team, b: &&Team| a.name.cmp(&b.name));
    }
    buckets
}

/// Returns the bucket of a team; `bucket_count` is a power of two.
fn bucket_index(name: &str, bucket_count: usize) -> usize {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes) as usize & (bucket_count - 1)
}

/// Serializes a value, adds it to the parts and returns its hash.
fn add_part<T: Serialize>(parts: &mut Parts, value: &T) -> PartHash {
    // The data model has only string keys and finite numbers, so it is always valid JSON.
    let bytes = serde_json::to_vec(value).expect("the fleet model is expressible as JSON");
    let hash = part_hash(&bytes);
    parts.insert(hash.clone(), bytes);
    hash
}

fn decode<T: DeserializeOwned>(hash: &PartHash, value: &[u8]) -> Result<T, PartError> {
    serde_json::from_slice(value).map_err(|error| PartError::Malformed {
        hash: hash.clone(),
        reason: error.to_string(),
    })
}

fn to_row(team: &Team) -> TeamRow {
    let hashes = team.key_hashes();
    let hashes = hashes.map(|hash| hash.strip_prefix(KEY_HASH_PREFIX).unwrap_or(hash));
    let hashes: Vec<_> = hashes.collect();
    (
        team.name.clone(),
        SmolStr::new(hashes.join(HASH_SEPARATOR)),
        team.requests_per_s,
        team.tokens_per_s,
        team.weight,
        team.priority,
        team.services.clone(),
    )
}

fn from_row(row: TeamRow) -> Team {
    let (name, hashes, requests_per_s, tokens_per_s, weight, priority, services) = row;
    let hashes = hashes.split(HASH_SEPARATOR);
    let mut hashes = hashes.map(|hash| SmolStr::from(format!("{KEY_HASH_PREFIX}{hash}")));
    Team {
        name,
        key_hash: hashes.next().unwrap_or_default(),
        further_key_hashes: hashes.collect(),
        route_priority: None,
        requests_per_s,
        tokens_per_s,
        weight,
        priority,
        services,
    }
}
