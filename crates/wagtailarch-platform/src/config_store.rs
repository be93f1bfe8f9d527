//! The configuration in the platform: manifest and parts.

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

/// Parts that are read or written at once.
const PARALLEL_PARTS: usize = 16;
/// Parts that one apply writes without a pause between them.
const PART_BURST: usize = 64;
/// Pause after each further set of `PARALLEL_PARTS`, which limits an apply to about 100 writes/s.
///
/// The platform takes several hundred writes/s; leases and claims must find room beside the 1,057
/// parts of a first apply at full size.
const PART_PAUSE: Duration = Duration::from_millis(160);

/// The configuration in the platform.
///
/// Applies are decided by one conditional update of the manifest, so that of several writers with
/// one base exactly one wins. An observer never sees a lower generation than it has seen before.
pub struct ConfigStore {
    platform: Arc<dyn Platform>,
    applied_by: SmolStr,
    limits: RetryLimits,
    state: Mutex<State>,
}

/// Repetition of calls that fail for a while.
#[derive(Debug, Clone)]
pub struct RetryLimits {
    /// Greatest number of calls for one step.
    pub attempts: u32,
    /// Pause after the first failure; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest pause; also bounds the pause that a rate limit asks for.
    pub max_backoff: Duration,
}

impl Default for RetryLimits {
    /// Returns limits under which a step gives up after about three seconds of failures.
    fn default() -> Self {
        Self {
            attempts: 8,
            initial_backoff: Duration::from_millis(25),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// What became of an apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The file is the configuration with this generation.
    Applied(Generation),
    /// The file equals the configuration in force, which keeps this generation.
    Unchanged(Generation),
    /// The base is not the configuration in force; nothing was changed.
    Conflict {
        /// Generation in force when the conflict was found; 0 if there is none.
        in_force: Generation,
    },
}

/// Why a configuration could not be read or applied.
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
    /// Manifest with the highest generation that was seen; its generation never falls.
    highest: Option<Manifest>,
    /// Parts whose hashes were checked: those of the last loaded manifest and those offered since,
    /// at most `MAX_CACHED_PARTS`.
    parts: HashMap<PartHash, Bytes>,
}

/// Greatest number of cached parts; 100,000 teams have 4,096 buckets and 128 index parts.
const MAX_CACHED_PARTS: usize = 16_384;

/// What reading the manifest back has shown.
enum ReadBack {
    /// Nothing yet.
    Undecided,
    /// The replaced manifest was written again with the same generation.
    Rewritten,
    /// Who made the generation.
    Decided(Result<ApplyOutcome, ConfigError>),
}

/// Manifest in the platform with the version of its object.
type StoredManifest = Option<(ObjectVersion, Manifest)>;

impl ConfigStore {
    /// Creates a store; `applied_by` names the writer in the manifests of its applies.
    pub fn new(platform: Arc<dyn Platform>, applied_by: &str) -> Self {
        Self::with_limits(platform, applied_by, RetryLimits::default())
    }

    /// Creates a store with other limits on the repetition of calls.
    pub fn with_limits(platform: Arc<dyn Platform>, applied_by: &str, limits: RetryLimits) -> Self {
        let state = Mutex::new(State::default());
        Self {
            platform,
            applied_by: applied_by.into(),
            limits,
            state,
        }
    }

    /// Reads the manifest; `None` if nothing was ever applied.
    ///
    /// A read that shows a lower generation than an earlier one is out of date, and the result is
    /// the highest manifest seen.
    pub async fn current(&self) -> Result<Option<Manifest>, ConfigError> {
        let stored = self.read_manifest().await?;
        Ok(self.observe(stored.map(|(_, manifest)| manifest)))
    }

    /// Returns the manifest with the highest generation seen, without a call.
    pub fn newest_manifest(&self) -> Option<Manifest> {
        self.lock().highest.clone()
    }

    /// Takes note of a manifest from elsewhere, for instance a peer, and returns the highest one.
    pub fn observe(&self, manifest: Option<Manifest>) -> Option<Manifest> {
        let mut state = self.lock();
        let seen = state
            .highest
            .as_ref()
            .map_or(0, |highest| highest.generation);
        if let Some(manifest) = manifest.filter(|manifest| manifest.generation > seen) {
            state.highest = Some(manifest);
        }
        state.highest.clone()
    }

    /// Returns a part from the cache.
    pub fn cached_part(&self, hash: &str) -> Option<Bytes> {
        self.lock().parts.get(hash).cloned()
    }

    /// Adds a part from elsewhere, for instance a peer, to the cache.
    pub fn cache_part(&self, hash: &PartHash, value: Bytes) -> Result<(), PartError> {
        check_part(hash, &value)?;
        let mut state = self.lock();
        if state.parts.len() < MAX_CACHED_PARTS {
            state.parts.insert(hash.clone(), value);
        }
        Ok(())
    }

    /// Reads the configuration that a manifest names; parts that are in the cache are not read.
    ///
    /// Afterwards the cache holds the parts of this configuration only.
    pub async fn load(&self, manifest: &Manifest) -> Result<Fleet, ConfigError> {
        let parts = self.fetch_parts(&manifest.content).await?;
        let fleet = assemble(&manifest.content, |hash| parts.get(hash).map(Bytes::as_ref))?;
        self.keep(&manifest.content, parts)?;
        Ok(fleet)
    }

    /// Reads everything but the teams of the configuration that a manifest names.
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

    /// Applies `fleet` if the generation in force is `base`; 0 stands for no configuration.
    ///
    /// `Unchanged` rests on a read of the manifest, every other outcome on the conditional write.
    /// `nonce` must be random and of this apply alone. `PlatformError::Unknown` means that the
    /// outcome could not be found out; every other error means that nothing was applied.
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
            self.pause(attempt, &PlatformError::Conflict).await;
        }
        let reason = "the manifest was replaced by an equal one during each attempt";
        Err(PlatformError::Unavailable(reason.into()).into())
    }

    /// Applies once; `None` if the manifest was replaced by an equal one, so that nothing was
    /// applied.
    async fn try_apply(
        &self,
        base: Generation,
        fleet: &Fleet,
        nonce: Nonce,
    ) -> Result<Option<ApplyOutcome>, ConfigError> {
        let stored = self.read_from(base).await?;
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

    /// Writes the manifest under the condition that the object has still the version `replaced`,
    /// and finds out what became of it; `None` if it was replaced by an equal manifest.
    ///
    /// The same conditional write may be sent again after a lost answer, since at most one of them
    /// can take effect.
    async fn replace_manifest(
        &self,
        next: Manifest,
        replaced: Option<ObjectVersion>,
    ) -> Result<Option<ApplyOutcome>, ConfigError> {
        let value = encode_manifest(&next)?;
        let expect = replaced.map_or(Precondition::Absent, Precondition::Version);
        let mut may_have_won = false;
        let mut last_error = PlatformError::Unavailable("no attempt was made".into());
        for attempt in 0..self.limits.attempts {
            match self.platform.put(MANIFEST_KEY, value.clone(), expect).await {
                Ok(_) => return Ok(Some(self.applied(next))),
                Err(PlatformError::Conflict) => {
                    return self.settle(next, replaced, may_have_won).await;
                }
                Err(PlatformError::Unknown(reason)) => {
                    may_have_won = true;
                    last_error = PlatformError::Unknown(reason);
                    match self.read_back(&next, replaced).await {
                        ReadBack::Undecided => {}
                        ReadBack::Rewritten => return Ok(None),
                        ReadBack::Decided(outcome) => return outcome.map(Some),
                    }
                }
                Err(error) if is_passing(&error) => last_error = error,
                Err(error) if may_have_won => return Err(unknown(&error).into()),
                Err(error) => return Err(error.into()),
            }
            self.pause(attempt, &last_error).await;
        }
        if may_have_won {
            last_error = unknown(&last_error);
        }
        Err(last_error.into())
    }

    /// Finds out who won after the condition of a write no longer held.
    async fn settle(
        &self,
        next: Manifest,
        replaced: Option<ObjectVersion>,
        may_have_won: bool,
    ) -> Result<Option<ApplyOutcome>, ConfigError> {
        for attempt in 0..self.limits.attempts {
            match self.read_back(&next, replaced).await {
                ReadBack::Undecided => {}
                ReadBack::Rewritten => return Ok(None),
                ReadBack::Decided(outcome) => return outcome.map(Some),
            }
            self.pause(attempt, &PlatformError::Conflict).await;
        }
        let reason = "the manifest could not be read back".to_owned();
        if may_have_won {
            return Err(PlatformError::Unknown(reason).into());
        }
        // The condition failed and no earlier write was sent, so nothing was applied.
        Err(PlatformError::Unavailable(reason).into())
    }

    /// Reads the manifest back to find out who made the generation of `next`.
    async fn read_back(&self, next: &Manifest, replaced: Option<ObjectVersion>) -> ReadBack {
        // The callers repeat the read; repetitions at both levels would multiply.
        let Ok(Some(object)) = self.platform.get(MANIFEST_KEY).await else {
            return ReadBack::Undecided;
        };
        let Ok(manifest) = decode_manifest(&object) else {
            return ReadBack::Undecided;
        };
        let in_force = manifest.generation;
        if in_force < next.generation {
            // Generations never fall, so a later version without the generation of `next` means
            // that the write of `next` can no longer take effect.
            return match replaced.is_some_and(|version| object.version > version) {
                true => ReadBack::Rewritten,
                false => ReadBack::Undecided,
            };
        }
        let winner = manifest.nonce_of(next.generation);
        self.observe(Some(manifest));
        ReadBack::Decided(match winner {
            Some(nonce) if nonce == next.apply_nonce => Ok(ApplyOutcome::Applied(next.generation)),
            Some(_) => Ok(ApplyOutcome::Conflict { in_force }),
            None => {
                let reason = format!("generation {in_force} no longer names earlier applies");
                Err(PlatformError::Unknown(reason).into())
            }
        })
    }

    fn applied(&self, manifest: Manifest) -> ApplyOutcome {
        let generation = manifest.generation;
        self.observe(Some(manifest));
        ApplyOutcome::Applied(generation)
    }

    /// Reads the manifest until it is neither below `base` nor below what was seen before.
    ///
    /// A lower one may be out of date; after the last attempt it is returned as it is.
    async fn read_from(&self, base: Generation) -> Result<StoredManifest, ConfigError> {
        let mut attempt = 0;
        loop {
            let stored = self.read_manifest().await?;
            let generation = stored
                .as_ref()
                .map_or(0, |(_, manifest)| manifest.generation);
            let seen = self
                .newest_manifest()
                .map_or(0, |manifest| manifest.generation);
            attempt += 1;
            if generation >= base.max(seen) || attempt >= self.limits.attempts {
                self.observe(stored.as_ref().map(|(_, manifest)| manifest.clone()));
                return Ok(stored);
            }
            self.pause(attempt, &PlatformError::NotFound).await;
        }
    }

    async fn read_manifest(&self) -> Result<StoredManifest, ConfigError> {
        let Some(object) = self.read(MANIFEST_KEY).await? else {
            return Ok(None);
        };
        Ok(Some((object.version, decode_manifest(&object)?)))
    }

    /// Reads an object, again while the platform is not available.
    async fn read(&self, key: &str) -> PlatformResult<Option<Versioned>> {
        let mut attempt = 0;
        loop {
            let result = self.platform.get(key).await;
            attempt += 1;
            match result {
                Err(error) if is_passing(&error) && attempt < self.limits.attempts => {
                    self.pause(attempt, &error).await;
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
            // Parts are written before their manifest; only a read out of date can miss one.
            if attempt >= self.limits.attempts {
                return Err(PartError::Absent(hash).into());
            }
            self.pause(attempt, &PlatformError::NotFound).await;
        }
    }

    /// Caches the parts of a configuration and forgets all others.
    fn keep(
        &self,
        content: &FleetContent,
        mut parts: HashMap<PartHash, Bytes>,
    ) -> Result<(), PartError> {
        let referenced = referenced_parts(content, |hash| parts.get(hash).map(Bytes::as_ref))?;
        let mut kept = HashMap::with_capacity(referenced.len());
        for hash in referenced.into_iter().take(MAX_CACHED_PARTS) {
            if let Some(value) = parts.remove(&hash) {
                kept.insert(hash, value);
            }
        }
        self.lock().parts = kept;
        Ok(())
    }

    /// Writes the parts that the previous configuration does not have.
    async fn write_parts(
        &self,
        previous: &StoredManifest,
        mut parts: Parts,
    ) -> Result<(), ConfigError> {
        let base = previous.as_ref().map_or(0, |(version, _)| *version);
        if let Some((_, previous)) = previous {
            let known = self.fetch_index(&previous.content).await?;
            parts.retain(|hash, _| !known.contains(hash));
        }
        let mut parts = parts.into_iter();
        let mut written = 0;
        loop {
            let set: Vec<_> = parts.by_ref().take(PARALLEL_PARTS).collect();
            if set.is_empty() {
                return Ok(());
            }
            if written >= PART_BURST {
                tokio::time::sleep(PART_PAUSE).await;
            }
            written += set.len();
            let write = |(hash, value)| self.write_part(hash, Bytes::from(value), base);
            try_join_all(set.into_iter().map(write)).await?;
        }
    }

    /// Returns the hashes of all parts of a configuration and reads its index parts only.
    async fn fetch_index(&self, content: &FleetContent) -> Result<HashSet<PartHash>, ConfigError> {
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
        let known = referenced_parts(content, |hash| index.get(hash).map(Bytes::as_ref))?;
        Ok(known.into_iter().collect())
    }

    /// Writes a part; an existing one has the same content and gets a new version, so that a
    /// [`PartCollector`](crate::PartCollector) that saw it unreferenced does not remove it.
    ///
    /// `base` is the version of the manifest that the apply has read. A part with a later version
    /// settles a lost answer: it was written after the last manifest that a collector replaced, or
    /// the apply fails for its base.
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
            let is_lost = matches!(error, PlatformError::Unknown(_));
            if is_lost
                && let Ok(Some(object)) = self.platform.get(&key).await
                && object.version > base
            {
                return Ok(());
            }
            let passing = is_passing(&error) || is_lost;
            if !passing || attempt >= self.limits.attempts {
                // No manifest refers to the part yet, so nothing was applied.
                return Err(match error {
                    PlatformError::Unknown(reason) => PlatformError::Unavailable(reason),
                    error => error,
                });
            }
            self.pause(attempt, &error).await;
        }
    }

    async fn pause(&self, attempt: u32, error: &PlatformError) {
        let doubled = self
            .limits
            .initial_backoff
            .saturating_mul(1 << attempt.min(16));
        let pause = match error {
            PlatformError::RateLimited { retry_after } => doubled.max(*retry_after),
            _ => doubled,
        };
        tokio::time::sleep(pause.min(self.limits.max_backoff)).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether the same call may succeed a little later.
fn is_passing(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::RateLimited { .. } | PlatformError::Unavailable(_)
    )
}

/// Turns the error of a later step into one that leaves the outcome open.
fn unknown(error: &PlatformError) -> PlatformError {
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
