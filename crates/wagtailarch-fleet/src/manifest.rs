//! The manifest, which lists the parts of the fleet file in force.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{Generation, Nonce};

use crate::PartHash;

/// Key of the object that contains the manifest as JSON.
pub const MANIFEST_KEY: &str = "manifest";
/// Maximum length of `applied_by`.
pub const MAX_APPLIED_BY_CHARS: usize = 64;
/// Number of earlier applies that a manifest lists.
///
/// A writer that received no response finds its nonce here unless more applies than this followed
/// its own. An entry takes about 50 bytes of the 1.5 KB budget of a manifest.
pub const MAX_RECENT_APPLIES: usize = 8;

/// Value of the object `manifest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Generation of this configuration; one more than that of the manifest that it replaced.
    pub generation: Generation,
    /// Random number of the apply that wrote this manifest.
    pub apply_nonce: Nonce,
    /// Name of the operator that applied it; at most `MAX_APPLIED_BY_CHARS` characters.
    pub applied_by: SmolStr,
    /// Earlier applies, the latest first; at most `MAX_RECENT_APPLIES`.
    #[serde(default)]
    pub recent: Vec<RecentApply>,
    /// Parts of the configuration.
    pub content: FleetContent,
}

/// Generation and nonce of an earlier apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentApply {
    /// Generation that the apply created.
    pub generation: Generation,
    /// Random number of the apply.
    pub nonce: Nonce,
}

/// Parts of a configuration; equal for equal fleets regardless of the order of their teams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetContent {
    /// Part that contains everything but the teams.
    pub core: PartHash,
    /// Parts that contain the teams.
    pub teams: TeamIndex,
}

/// Parts that contain the teams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamIndex {
    /// Bucket parts in the order of their numbers; at most 32.
    Buckets(Vec<PartHash>),
    /// Index parts, each with 32 bucket parts, in the order of their numbers.
    IndexParts(Vec<PartHash>),
}

impl Manifest {
    /// Returns the manifest that replaces `previous`.
    pub fn next(
        previous: Option<&Self>,
        content: FleetContent,
        apply_nonce: Nonce,
        applied_by: &str,
    ) -> Self {
        let mut recent = Vec::new();
        if let Some(previous) = previous {
            recent.push(RecentApply {
                generation: previous.generation,
                nonce: previous.apply_nonce,
            });
            recent.extend(previous.recent.iter().take(MAX_RECENT_APPLIES - 1));
        }
        Self {
            generation: previous.map_or(0, |previous| previous.generation) + 1,
            apply_nonce,
            applied_by: applied_by.chars().take(MAX_APPLIED_BY_CHARS).collect(),
            recent,
            content,
        }
    }

    /// Returns the nonce of the apply that created `generation`, if the manifest still lists it.
    pub fn nonce_of(&self, generation: Generation) -> Option<Nonce> {
        if self.generation == generation {
            return Some(self.apply_nonce);
        }
        let apply = self
            .recent
            .iter()
            .find(|apply| apply.generation == generation);
        apply.map(|apply| apply.nonce)
    }
}
