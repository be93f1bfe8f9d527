//! The configuration and the list of instances that this instance can give to its peers.

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

/// Key that stands for the last list of instances as JSON.
pub(super) const LIST_KEY: &str = "instances";

/// Greatest size of the list of instances; 4,200 instances take up about 0.7 MB.
pub(super) const MAX_LIST_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// Where a list of instances came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListSource {
    Platform,
    Peer,
}

/// What this instance can give to its peers.
pub(super) struct Exchange {
    /// Manifest and parts.
    pub(super) store: ConfigStore,
    /// Notified when a peer has a newer generation in force.
    pub(super) newer: Notify,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Manifest of the last configuration that was loaded with all its parts; its generation
    /// never falls.
    loaded: Option<(Generation, Bytes)>,
    /// Last list; one of a peer never follows one of the platform.
    list: Option<LastList>,
}

struct LastList {
    source: ListSource,
    revision: u64,
    json: Bytes,
}

impl Exchange {
    pub(super) fn new(platform: Arc<dyn Platform>, instance: &str) -> Self {
        Self {
            store: ConfigStore::new(platform, instance),
            newer: Notify::new(),
            state: Mutex::default(),
        }
    }

    /// Notes that the store has every part of a configuration.
    pub(super) fn set_loaded(&self, manifest: &Manifest) {
        let Ok(json) = serde_json::to_vec(manifest) else {
            return;
        };
        let mut state = self.lock();
        let last = state.loaded.as_ref().map_or(0, |(last, _)| *last);
        if manifest.generation > last {
            state.loaded = Some((manifest.generation, json.into()));
        }
    }

    /// Returns the generation of the last loaded configuration; 0 without one.
    pub(super) fn generation(&self) -> Generation {
        self.lock()
            .loaded
            .as_ref()
            .map_or(0, |(generation, _)| *generation)
    }

    /// Keeps a list; one that is too large is not given to peers.
    pub(super) fn set_list(&self, source: ListSource, list: &InstanceList) {
        let mut state = self.lock();
        if let Some(last) = &state.list {
            let is_same = (last.source, last.revision) == (source, list.revision);
            // Encoding the list at each read would use a good part of a node's control budget.
            if is_same || (last.source == ListSource::Platform && source == ListSource::Peer) {
                return;
            }
        }
        let json = serde_json::to_vec(list).ok();
        let json = json.filter(|json| json.len() <= MAX_LIST_BYTES);
        state.list = json.map(|json| LastList {
            source,
            revision: list.revision,
            json: json.into(),
        });
    }

    /// Returns source and revision of the last list.
    pub(super) fn list(&self) -> Option<(ListSource, u64)> {
        let state = self.lock();
        state.list.as_ref().map(|last| (last.source, last.revision))
    }

    /// Answers a peer that asks for a part of an object.
    pub(super) fn answer(&self, fetch: FetchConfig) -> ConfigChunk {
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
            MANIFEST_KEY => self.lock().loaded.as_ref().map(|(_, json)| json.clone()),
            LIST_KEY => self.lock().list.as_ref().map(|last| last.json.clone()),
            key => self.store.cached_part(key.strip_prefix(PART_KEY_PREFIX)?),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
