//! Record of what is in force in one availability zone, stored in `status/<zone>` as JSON.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{FencingNumber, Generation, InstanceId, ZoneName};

/// Key prefix of zone status records; the zone name follows.
pub const STATUS_KEY_PREFIX: &str = "status/";
/// Age from which a record says nothing about the present, in milliseconds.
pub const STATUS_FRESH_MS: u64 = 15_000;
/// Greatest number of instances that a record lists as behind or unknown.
pub const MAX_LAGGING_INSTANCES: usize = 512;

/// Returns the key of the status record of `zone`.
pub fn status_key(zone: &str) -> String {
    format!("{STATUS_KEY_PREFIX}{zone}")
}

/// What is in force in one availability zone, written by the holder of its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatusRecord {
    /// Availability zone.
    pub zone: ZoneName,
    /// Highest generation that every instance with a known generation has in force; 0 if none.
    pub generation: Generation,
    /// Number of entry instances of the zone, those in `lagging` included.
    pub instance_count: u32,
    /// Instances that are behind the newest generation or unknown; at most
    /// `MAX_LAGGING_INSTANCES`, the unknown ones first.
    #[serde(default)]
    pub lagging: Vec<LaggingInstance>,
    /// Time of writing in milliseconds since the Unix epoch, by the clock of the writer.
    pub written_at_ms: u64,
    /// Lease number of the writer.
    pub lease_number: FencingNumber,
}

impl ZoneStatusRecord {
    /// Returns the age in milliseconds at `now_ms`, or the lead of the writer's clock.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.abs_diff(self.written_at_ms)
    }

    /// Tells whether the record says something about the present.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms) < STATUS_FRESH_MS
    }

    /// Tells whether every instance of the zone is known to have `generation` in force.
    pub fn has_in_force(&self, generation: Generation) -> bool {
        let unknown = self
            .lagging
            .iter()
            .any(|instance| instance.generation.is_none());
        self.generation >= generation && !unknown
    }
}

/// An instance that does not have the newest generation in force, as far as is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingInstance {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Last generation that it acknowledged; `None` if that is unknown.
    #[serde(default)]
    pub generation: Option<Generation>,
    /// Why it is behind or unknown, in a few words.
    pub reason: SmolStr,
}
