//! Storage of the configuration in the platform as a manifest and parts.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use futures_util::future::try_join_all;
use futures_util::stream::{self, StreamExt, TryStreamExt};
use smol_str::SmolStr;
use wagtailarch_fleet::{
    Fleet, FleetContent, MANIFEST_KEY, Manifest, PartError, PartHash, Parts, TeamIndex, assemble,
    check_part, missing_parts, part_key, referenced_parts, split,
};
use wagtailarch_types::{Generation, Nonce, ObjectVersion};

use crate::{Platform, PlatformError, PlatformResult, Precondition, Versioned};

/// Number of parts that are read or written at the same time.
const PARALLEL_PARTS: usize = 16;
/// Number of parts that are written for a change of the configuration without a pause.
const PART_BURST: usize = 64;
/// Pause before each further batch of `PARALLEL_PARTS`, which limits a change of the configuration
/// to about 100 writes/s.
///
/// The platform handles several hundred writes/s. The first configuration at full size has 1,057
/// parts, and its writes must leave capacity for those of leases and claims.
const PART_PAUSE: Duration = Duration::from_millis(160);

/// Reads and changes the configuration in the platform.
///
/// A change takes effect by one conditional write of the manifest, so that at most one of several
/// concurrent changes with the same base succeeds. The generation that a `ConfigStore` returns
/// never decreases.
pub struct ConfigStore {
    platform: Arc<dyn Platform>,
    applied_by: SmolStr,
    limits: RetryLimits,
    state: Mutex<State>,
}

/// Limits on the retries of calls that fail transiently.
#[derive(Debug, Clone)]
pub struct RetryLimits {
    /// Maximum number of calls for one step.
    pub attempts: u32,
    /// Backoff after the first failure; it doubles with each further one. Reads, and writes of
    /// parts, start with twice this time.
    pub initial_backoff: Duration,
    /// Maximum backoff, also if the platform requests a longer one when it limits the rate.
    pub max_backoff: Duration,
}

impl Default for RetryLimits {
    /// Returns limits under which a step fails after about three seconds of failed calls.
    fn default() -> Self {
        Self {
            attempts: 8,
            initial_backoff: Duration::from_millis(25),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// Outcome of a change of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The file was applied as this generation.
    Applied(Generation),
    /// The file is equal to the configuration in force, which has this generation.
    Unchanged(Generation),
    /// The base is not the generation in force; nothing was changed.
    Conflict {
        /// Generation in force when the conflict was detected; 0 if there is none.
        in_force: Generation,
    },
}

/// Error of reading or applying a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ConfigError {
    /// {0}
    Platform(PlatformError),
    /// {0}
    Part(PartError),
    /// the manifest cannot be decoded: {0}
    Manifest(String),
}

impl std::error::Error for ConfigError {}

impl From<PlatformError> for ConfigError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

impl From<PartError> for ConfigError {
    fn from(error: PartError) -> Self {
        Self::Part(error)
    }
}

#[derive(Default)]
struct State {
    /// Manifest with the highest generation that was read or received.
    newest_manifest: Option<Manifest>,
    /// Parts with verified hashes: those of the last loaded manifest and those added by
    /// `cache_part` since; at most `MAX_CACHED_PARTS`.
    parts: HashMap<PartHash, Bytes>,
}

/// Maximum number of cached parts; 100,000 teams have 4,096 buckets and 128 index parts.
const MAX_CACHED_PARTS: usize = 16_384;

/// Result of reading the manifest back after a write with an unknown outcome.
enum ReadBack {
    /// The read does not determine the outcome.
    Undecided,
    /// The previous manifest was replaced by an equal one, so the write failed.
    Rewritten,
    /// Outcome of the change.
    Decided(Result<ApplyOutcome, ConfigError>),
}

/// Stored manifest with the version of its object.
type StoredManifest = Option<(ObjectVersion, Manifest)>;

impl ConfigStore {
    /// Creates a `ConfigStore`; `applied_by` is recorded as the writer in the manifests that it
    /// applies.
    pub fn new(platform: Arc<dyn Platform>, applied_by: &str) -> Self {
        Self::with_limits(platform, applied_by, RetryLimits::default())
    }

    /// Creates a `ConfigStore` with the given limits on retries.
    pub fn with_limits(platform: Arc<dyn Platform>, applied_by: &str, limits: RetryLimits) -> Self {
        let state = Mutex::new(State::default());
        Self {
            platform,
            applied_by: applied_by.into(),
            limits,
            state,
        }
    }

    /// Reads the manifest; returns `None` if no configuration was ever applied.
    ///
    /// If the read is stale, that is, if its generation is lower than one received before, returns
    /// the newest manifest instead.
    pub async fn current(&self) -> Result<Option<Manifest>, ConfigError> {
        let stored = self.read_manifest().await?;
        Ok(self.observe(stored.map(|(_, manifest)| manifest)))
    }

    /// Returns the manifest with the highest generation received so far, without a call.
    pub fn newest_manifest(&self) -> Option<Manifest> {
        self.lock().newest_manifest.clone()
    }

    /// Records a manifest, for example from a peer, and returns the one with the highest
    /// generation.
    pub fn observe(&self, manifest: Option<Manifest>) -> Option<Manifest> {
        let mut state = self.lock();
        let newest_generation = state
            .newest_manifest
            .as_ref()
            .map_or(0, |newest| newest.generation);
        if let Some(manifest) = manifest.filter(|manifest| manifest.generation > newest_generation)
        {
            state.newest_manifest = Some(manifest);
        }
        state.newest_manifest.clone()
    }

    /// Returns a cached part.
    pub fn cached_part(&self, hash: &str) -> Option<Bytes> {
        self.lock().parts.get(hash).cloned()
    }

    /// Verifies the hash of a part, for example from a peer, and caches it if there is space.
    pub fn cache_part(&self, hash: &PartHash, value: Bytes) -> Result<(), PartError> {
        check_part(hash, &value)?;
        let mut state = self.lock();
        if state.parts.len() < MAX_CACHED_PARTS {
            state.parts.insert(hash.clone(), value);
        }
        Ok(())
    }

    /// Loads the configuration of a manifest, reading only the parts that are not cached.
    ///
    /// Afterwards only the parts of this configuration are cached.
    pub async fn load(&self, manifest: &Manifest) -> Result<Fleet, ConfigError> {
        let parts = self.fetch_parts(&manifest.content).await?;
        let fleet = assemble(&manifest.content, |hash| parts.get(hash).map(Bytes::as_ref))?;
        self.replace_cache(&manifest.content, parts)?;
        Ok(fleet)
    }

    /// Loads the configuration of a manifest without its teams.
    pub async fn load_core(&self, manifest: &Manifest) -> Result<Fleet, ConfigError> {
        let teams = TeamIndex::Buckets(Vec::new());
        let content = FleetContent {
            core: manifest.content.core.clone(),
            teams,
        };
        let parts = self.fetch_parts(&content).await?;
        Ok(assemble(&content, |hash| {
            parts.get(hash).map(Bytes::as_ref)
        })?)
    }

    /// Applies `fleet` if the generation in force is `base`; 0 means that there is none.
    ///
    /// `Unchanged` is determined by reading the manifest, `Applied` by the conditional write, and
    /// `Conflict` by either. `nonce` must be random and unique to this call.
    /// `PlatformError::Unknown` means that the outcome could not be determined; all other errors
    /// mean that nothing was applied.
    pub async fn apply(
        &self,
        base: Generation,
        fleet: &Fleet,
        nonce: Nonce,
    ) -> Result<ApplyOutcome, ConfigError> {
        for attempt in 0..self.limits.attempts {
            if let Some(outcome) = self.try_apply(base, fleet, nonce).await? {
                return Ok(outcome);
            }
            self.back_off(attempt, &PlatformError::Conflict).await;
        }
        let reason = "the manifest was replaced by an equal one during each attempt";
        Err(PlatformError::Unavailable(reason.into()).into())
    }

    /// Tries to apply `fleet`; returns `None` if the manifest was replaced by an equal one, so that
    /// nothing was applied.
    async fn try_apply(
        &self,
        base: Generation,
        fleet: &Fleet,
        nonce: Nonce,
    ) -> Result<Option<ApplyOutcome>, ConfigError> {
        let stored = self.read_at_least(base).await?;
        let in_force = stored
            .as_ref()
            .map_or(0, |(_, manifest)| manifest.generation);
        if in_force != base {
            return Ok(Some(ApplyOutcome::Conflict { in_force }));
        }
        let (content, parts) = split(fleet);
        if stored
            .as_ref()
            .is_some_and(|(_, manifest)| manifest.content == content)
        {
            return Ok(Some(ApplyOutcome::Unchanged(base)));
        }
        self.write_parts(&stored, parts).await?;
        let previous = stored.as_ref().map(|(_, manifest)| manifest);
        let next = Manifest::next(previous, content, nonce, &self.applied_by);
        let replaced = stored.as_ref().map(|(version, _)| *version);
        self.replace_manifest(next, replaced).await
    }

    /// Writes the manifest if the object still has the version `replaced`, and determines the
    /// outcome; returns `None` if the object was replaced by an equal manifest.
    ///
    /// The conditional write may be repeated after a lost response, since at most one of the writes
    /// can take effect.
    async fn replace_manifest(
        &self,
        next: Manifest,
        replaced: Option<ObjectVersion>,
    ) -> Result<Option<ApplyOutcome>, ConfigError> {
        let value = encode_manifest(&next)?;
        let precondition = replaced.map_or(Precondition::Absent, Precondition::Version);
        let mut may_have_applied = false;
        let mut last_error = PlatformError::Unavailable("no attempt was made".into());
        for attempt in 0..self.limits.attempts {
            match self
                .platform
                .put(MANIFEST_KEY, value.clone(), precondition)
                .await
            {
                Ok(_) => return Ok(Some(self.record_applied(next))),
                Err(PlatformError::Conflict) => {
                    return self
                        .resolve_conflict(next, replaced, may_have_applied)
                        .await;
                }
                Err(PlatformError::Unknown(reason)) => {
                    may_have_applied = true;
                    last_error = PlatformError::Unknown(reason);
                    match self.read_back(&next, replaced).await {
                        ReadBack::Undecided => {}
                        ReadBack::Rewritten => return Ok(None),
                        ReadBack::Decided(outcome) => return outcome.map(Some),
                    }
                }
                Err(error) if is_transient(&error) => last_error = error,
                Err(error) if may_have_applied => return Err(as_unknown(&error).into()),
                Err(error) => return Err(error.into()),
            }
            self.back_off(attempt, &last_error).await;
        }
        if may_have_applied {
            last_error = as_unknown(&last_error);
        }
        Err(last_error.into())
    }

    /// Determines the outcome of a change after the precondition of its write has failed.
    async fn resolve_conflict(
        &self,
        next: Manifest,
        replaced: Option<ObjectVersion>,
        may_have_applied: bool,
    ) -> Result<Option<ApplyOutcome>, ConfigError> {
        for attempt in 0..self.limits.attempts {
            match self.read_back(&next, replaced).await {
                ReadBack::Undecided => {}
                ReadBack::Rewritten => return Ok(None),
                ReadBack::Decided(outcome) => return outcome.map(Some),
            }
            self.back_off(attempt, &PlatformError::Conflict).await;
        }
        let reason = "the manifest could not be read back".to_owned();
        if may_have_applied {
            return Err(PlatformError::Unknown(reason).into());
        }
        // The precondition failed and no earlier write can have taken effect, so nothing was
        // applied.
        Err(PlatformError::Unavailable(reason).into())
    }

    /// Reads the manifest back to determine which change created the generation of `next`.
    async fn read_back(&self, next: &Manifest, replaced: Option<ObjectVersion>) -> ReadBack {
        // The read is not retried here: the callers retry it, and the retries would multiply.
        let Ok(Some(object)) = self.platform.get(MANIFEST_KEY).await else {
            return ReadBack::Undecided;
        };
        let Ok(manifest) = decode_manifest(&object) else {
            return ReadBack::Undecided;
        };
        let in_force = manifest.generation;
        if in_force < next.generation {
            // If the object was replaced and still has a lower generation, it was replaced by an
            // equal manifest, and the condition of the write of `next` can no longer hold.
            return match replaced.is_some_and(|version| object.version > version) {
                true => ReadBack::Rewritten,
                false => ReadBack::Undecided,
            };
        }
        let applied_nonce = manifest.nonce_of(next.generation);
        self.observe(Some(manifest));
        ReadBack::Decided(match applied_nonce {
            Some(nonce) if nonce == next.apply_nonce => Ok(ApplyOutcome::Applied(next.generation)),
            Some(_) => Ok(ApplyOutcome::Conflict { in_force }),
            None => {
                let reason =
                    format!("the manifest of generation {in_force} no longer lists this apply");
                Err(PlatformError::Unknown(reason).into())
            }
        })
    }

    fn record_applied(&self, manifest: Manifest) -> ApplyOutcome {
        let generation = manifest.generation;
        self.observe(Some(manifest));
        ApplyOutcome::Applied(generation)
    }

    /// Reads the manifest until its generation is neither below `base` nor below the newest one
    /// received.
    ///
    /// A read with a lower generation may be stale; the last attempt returns it nevertheless.
    async fn read_at_least(&self, base: Generation) -> Result<StoredManifest, ConfigError> {
        let mut attempt = 0;
        loop {
            let stored = self.read_manifest().await?;
            let generation = stored
                .as_ref()
                .map_or(0, |(_, manifest)| manifest.generation);
            let newest_generation = self
                .newest_manifest()
                .map_or(0, |manifest| manifest.generation);
            attempt += 1;
            if generation >= base.max(newest_generation) || attempt >= self.limits.attempts {
                self.observe(stored.as_ref().map(|(_, manifest)| manifest.clone()));
                return Ok(stored);
            }
            self.back_off(attempt, &PlatformError::NotFound).await;
        }
    }

    async fn read_manifest(&self) -> Result<StoredManifest, ConfigError> {
        let Some(object) = self.read(MANIFEST_KEY).await? else {
            return Ok(None);
        };
        Ok(Some((object.version, decode_manifest(&object)?)))
    }

    /// Reads an object; retries transient failures.
    async fn read(&self, key: &str) -> PlatformResult<Option<Versioned>> {
        let mut attempt = 0;
        loop {
            let result = self.platform.get(key).await;
            attempt += 1;
            match result {
                Err(error) if is_transient(&error) && attempt < self.limits.attempts => {
                    self.back_off(attempt, &error).await;
                }
                result => return result,
            }
        }
    }

    async fn fetch_parts(
        &self,
        content: &FleetContent,
    ) -> Result<HashMap<PartHash, Bytes>, ConfigError> {
        let mut parts = self.lock().parts.clone();
        loop {
            let missing = missing_parts(content, |hash| parts.get(hash).map(Bytes::as_ref))?;
            if missing.is_empty() {
                return Ok(parts);
            }
            let fetched: Vec<(PartHash, Bytes)> = stream::iter(missing)
                .map(|hash| self.fetch_part(hash))
                .buffer_unordered(PARALLEL_PARTS)
                .try_collect()
                .await?;
            parts.extend(fetched);
        }
    }

    async fn fetch_part(&self, hash: PartHash) -> Result<(PartHash, Bytes), ConfigError> {
        let mut attempt = 0;
        loop {
            let object = self.read(&part_key(&hash)).await?;
            attempt += 1;
            if let Some(object) = object {
                check_part(&hash, &object.value)?;
                return Ok((hash, object.value));
            }
            // Parts are written before their manifest and removed some time after it was replaced,
            // so only a stale read, or a read for an old manifest, can miss one.
            if attempt >= self.limits.attempts {
                return Err(PartError::Absent(hash).into());
            }
            self.back_off(attempt, &PlatformError::NotFound).await;
        }
    }

    /// Caches the parts of a configuration and evicts all others.
    fn replace_cache(
        &self,
        content: &FleetContent,
        mut parts: HashMap<PartHash, Bytes>,
    ) -> Result<(), PartError> {
        let referenced = referenced_parts(content, |hash| parts.get(hash).map(Bytes::as_ref))?;
        let mut cached = HashMap::with_capacity(referenced.len());
        for hash in referenced.into_iter().take(MAX_CACHED_PARTS) {
            if let Some(value) = parts.remove(&hash) {
                cached.insert(hash, value);
            }
        }
        self.lock().parts = cached;
        Ok(())
    }

    /// Writes the parts that the previous configuration does not refer to.
    async fn write_parts(
        &self,
        previous: &StoredManifest,
        mut parts: Parts,
    ) -> Result<(), ConfigError> {
        let base = previous.as_ref().map_or(0, |(version, _)| *version);
        if let Some((_, previous)) = previous {
            let previous_hashes = self.fetch_part_hashes(&previous.content).await?;
            parts.retain(|hash, _| !previous_hashes.contains(hash));
        }
        let mut parts = parts.into_iter();
        let mut written = 0;
        loop {
            let batch: Vec<_> = parts.by_ref().take(PARALLEL_PARTS).collect();
            if batch.is_empty() {
                return Ok(());
            }
            if written >= PART_BURST {
                tokio::time::sleep(PART_PAUSE).await;
            }
            written += batch.len();
            let write = |(hash, value)| self.write_part(hash, Bytes::from(value), base);
            try_join_all(batch.into_iter().map(write)).await?;
        }
    }

    /// Returns the hashes of all parts of a configuration; reads only its index parts.
    async fn fetch_part_hashes(
        &self,
        content: &FleetContent,
    ) -> Result<HashSet<PartHash>, ConfigError> {
        let mut index = HashMap::new();
        if let TeamIndex::IndexParts(hashes) = &content.teams {
            for hash in hashes {
                let (hash, value) = match self.cached_part(hash) {
                    Some(value) => (hash.clone(), value),
                    None => self.fetch_part(hash.clone()).await?,
                };
                index.insert(hash, value);
            }
        }
        let hashes = referenced_parts(content, |hash| index.get(hash).map(Bytes::as_ref))?;
        Ok(hashes.into_iter().collect())
    }

    /// Writes a part. An existing part has the same content and receives a new version, so that a
    /// [`PartCollector`](crate::PartCollector) that listed it as unreferenced does not remove it.
    ///
    /// `base` is the version of the manifest that the caller has read. After a lost response, a
    /// part with a later version counts as written: either it was written after the last time that
    /// a collector replaced the manifest, or the change fails since its base is outdated.
    async fn write_part(
        &self,
        hash: PartHash,
        value: Bytes,
        base: ObjectVersion,
    ) -> PlatformResult<()> {
        let key = part_key(&hash);
        let mut attempt = 0;
        loop {
            let result = self
                .platform
                .put(&key, value.clone(), Precondition::Any)
                .await;
            attempt += 1;
            let error = match result {
                Ok(_) => return Ok(()),
                Err(error) => error,
            };
            let is_unknown = matches!(error, PlatformError::Unknown(_));
            if is_unknown
                && let Ok(Some(object)) = self.platform.get(&key).await
                && object.version > base
            {
                return Ok(());
            }
            let is_transient_failure = is_transient(&error) || is_unknown;
            if !is_transient_failure || attempt >= self.limits.attempts {
                // No manifest refers to the part yet, so the change has not taken effect.
                return Err(match error {
                    PlatformError::Unknown(reason) => PlatformError::Unavailable(reason),
                    error => error,
                });
            }
            self.back_off(attempt, &error).await;
        }
    }

    /// Waits before the next attempt. `error` is the failure, or stands for a retry without one; it
    /// matters only if it states a time.
    async fn back_off(&self, attempt: u32, error: &PlatformError) {
        let doubled = self
            .limits
            .initial_backoff
            .saturating_mul(1 << attempt.min(16));
        let backoff = match error {
            PlatformError::RateLimited { retry_after } => doubled.max(*retry_after),
            _ => doubled,
        };
        tokio::time::sleep(backoff.min(self.limits.max_backoff)).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the same call may succeed later.
fn is_transient(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::RateLimited { .. } | PlatformError::Unavailable(_)
    )
}

/// Converts the error of a later step into `Unknown`, since an earlier write may have taken effect.
fn as_unknown(error: &PlatformError) -> PlatformError {
    match error {
        PlatformError::Unknown(_) => error.clone(),
        _ => PlatformError::Unknown(error.to_string()),
    }
}

fn decode_manifest(object: &Versioned) -> Result<Manifest, ConfigError> {
    serde_json::from_slice(&object.value).map_err(|error| ConfigError::Manifest(error.to_string()))
}

fn encode_manifest(manifest: &Manifest) -> Result<Bytes, ConfigError> {
    match serde_json::to_vec(manifest) {
        Ok(value) => Ok(value.into()),
        Err(error) => Err(ConfigError::Manifest(error.to_string())),
    }
}
