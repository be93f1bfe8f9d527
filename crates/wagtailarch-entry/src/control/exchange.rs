//! The configuration and the list of instances that this instance provides to its peers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;
use wagtailarch_fleet::{MANIFEST_KEY, Manifest, PART_KEY_PREFIX};
use wagtailarch_platform::{ConfigStore, Platform};
use wagtailarch_types::Generation;
use wagtailarch_wire::{
    peer::{ConfigChunk, FetchConfig, MAX_CHUNK_BYTES},
    platform::{InstanceList, MAX_VALUE_BYTES},
};

/// Key under which peers request the last list of instances, as JSON.
pub(super) const LIST_KEY: &str = "instances";

/// Maximum size of the list of instances; a list of 4,200 instances has about 0.7 MB.
pub(super) const MAX_LIST_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// Source of a list of instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListSource {
    Platform,
    Peer,
}

/// Objects that this instance provides to its peers.
pub(super) struct ConfigExchange {
    /// Store of the configuration, which caches the parts.
    pub(super) store: ConfigStore,
    /// Notified when a peer has a newer generation in force.
    pub(super) newer_generation: Notify,
    state: Mutex<ExchangeState>,
}

#[derive(Default)]
struct ExchangeState {
    /// Generation and JSON of the manifest of the last configuration that was loaded with all its
    /// parts. The generation never decreases.
    manifest: Option<(Generation, Bytes)>,
    /// Last list; a list of a peer never replaces one of the platform.
    list: Option<EncodedList>,
}

struct EncodedList {
    source: ListSource,
    revision: u64,
    json: Bytes,
}

impl ConfigExchange {
    pub(super) fn new(platform: Arc<dyn Platform>, instance: &str) -> Self {
        Self {
            store: ConfigStore::new(platform, instance),
            newer_generation: Notify::new(),
            state: Mutex::default(),
        }
    }

    /// Records the manifest of a configuration of which the store has every part.
    pub(super) fn set_loaded_manifest(&self, manifest: &Manifest) {
        let Ok(json) = serde_json::to_vec(manifest) else {
            return;
        };
        let mut state = self.lock();
        let last_generation = state
            .manifest
            .as_ref()
            .map_or(0, |(generation, _)| *generation);
        if manifest.generation > last_generation {
            state.manifest = Some((manifest.generation, json.into()));
        }
    }

    /// Returns the generation of the last loaded configuration; 0 if there is none.
    pub(super) fn generation(&self) -> Generation {
        self.lock()
            .manifest
            .as_ref()
            .map_or(0, |(generation, _)| *generation)
    }

    /// Stores a list for peers, or none if the list is larger than `MAX_LIST_BYTES`.
    pub(super) fn set_list(&self, source: ListSource, list: &InstanceList) {
        let mut state = self.lock();
        if let Some(current) = &state.list {
            let is_same = (current.source, current.revision) == (source, list.revision);
            // Encoding the list after every read would use a large part of the control budget.
            if is_same || (current.source == ListSource::Platform && source == ListSource::Peer) {
                return;
            }
        }
        let json = serde_json::to_vec(list).ok();
        let json = json.filter(|json| json.len() <= MAX_LIST_BYTES);
        state.list = json.map(|json| EncodedList {
            source,
            revision: list.revision,
            json: json.into(),
        });
    }

    /// Returns the source and the revision of the last list.
    pub(super) fn list_version(&self) -> Option<(ListSource, u64)> {
        let state = self.lock();
        state
            .list
            .as_ref()
            .map(|current| (current.source, current.revision))
    }

    /// Returns the requested chunk of an object.
    pub(super) fn chunk(&self, fetch: FetchConfig) -> ConfigChunk {
        let object = self.object(&fetch.key);
        let total_bytes = object.as_ref().map(|object| object.len() as u32);
        let object = object.unwrap_or_default();
        let start = (fetch.offset as usize).min(object.len());
        let end = (start + MAX_CHUNK_BYTES).min(object.len());
        ConfigChunk {
            key: fetch.key,
            total_bytes,
            offset: fetch.offset,
            bytes: object[start..end].to_vec(),
        }
    }

    fn object(&self, key: &str) -> Option<Bytes> {
        match key {
            MANIFEST_KEY => self.lock().manifest.as_ref().map(|(_, json)| json.clone()),
            LIST_KEY => self
                .lock()
                .list
                .as_ref()
                .map(|current| current.json.clone()),
            key => self.store.cached_part(key.strip_prefix(PART_KEY_PREFIX)?),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ExchangeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
