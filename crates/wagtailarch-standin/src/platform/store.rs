//! The object store of the stand-in platform, in memory.

use std::collections::{BTreeMap, VecDeque};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use displaydoc::Display;
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::platform::{
    ListItem, ListResponse, MAX_VALUE_BYTES, WatchEvent, WatchEventKind, WatchResponse,
};

/// Maximum number of changes kept for watches; watches from an older version fail with
/// [`StoreError::Expired`].
const MAX_EVENTS: usize = 10_000;
/// Maximum number of changes in a response.
const MAX_EVENTS_PER_RESPONSE: usize = 1000;
/// Maximum number of objects.
const MAX_OBJECTS: usize = 1_000_000;
/// Maximum number of items in the response to a list call.
const MAX_LIST_ITEMS: usize = 1000;
/// Maximum total size of the values in the response to a list call, unless it has only one item.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// No precondition.
    None,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// Reason why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StoreError {
    /// the object does not exist
    NotFound,
    /// the object has another version
    Mismatch,
    /// the value is larger than 1 MB
    TooLarge,
    /// the store holds too many objects
    Full,
    /// the revision has expired
    Expired,
}

impl std::error::Error for StoreError {}

/// Versioned objects with a log of changes.
#[derive(Debug, Default)]
pub struct Store {
    /// Objects with their versions by key.
    objects: BTreeMap<String, (ObjectVersion, Bytes)>,
    /// Version of the newest change.
    version: ObjectVersion,
    /// Newest changes in the order of their versions; at most [`MAX_EVENTS`].
    events: VecDeque<WatchEvent>,
    /// Version of the newest change that is no longer in `events`.
    expired_version: ObjectVersion,
}

impl Store {
    /// Returns the version of the newest change.
    pub fn version(&self) -> ObjectVersion {
        self.version
    }

    /// Returns the version and value of an object.
    pub fn get(&self, key: &str) -> Option<(ObjectVersion, Bytes)> {
        self.objects.get(key).cloned()
    }

    /// Writes an object and returns its new version.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> Result<ObjectVersion, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        self.check_precondition(key, precondition)?;
        if self.objects.len() >= MAX_OBJECTS && !self.objects.contains_key(key) {
            return Err(StoreError::Full);
        }
        let version = self.push_event(WatchEventKind::Put, key);
        self.objects.insert(key.to_owned(), (version, value));
        Ok(version)
    }

    /// Deletes an object.
    pub fn delete(&mut self, key: &str, precondition: Precondition) -> Result<(), StoreError> {
        if !self.objects.contains_key(key) {
            return Err(StoreError::NotFound);
        }
        self.check_precondition(key, precondition)?;
        self.objects.remove(key);
        self.push_event(WatchEventKind::Delete, key);
        Ok(())
    }

    /// Lists the objects whose keys have `prefix` and follow `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> ListResponse {
        let mut response = ListResponse {
            revision: self.version,
            ..ListResponse::default()
        };
        let limit = limit.clamp(1, MAX_LIST_ITEMS);
        let start = prefix.max(after).to_owned();
        let mut bytes = 0;
        for (key, (version, value)) in self.objects.range(start..) {
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            if !key.starts_with(prefix) {
                break;
            }
            bytes += value.len();
            let is_full = response.items.len() == limit || bytes > MAX_LIST_BYTES;
            if is_full && !response.items.is_empty() {
                response.next = response
                    .items
                    .last()
                    .map(|item: &ListItem| item.key.clone());
                break;
            }
            let value_base64 = STANDARD.encode(value);
            response.items.push(ListItem {
                key: key.clone(),
                version: *version,
                value_base64,
            });
        }
        response
    }

    /// Returns the changes after version `since` of objects whose keys have `prefix`.
    pub fn changes(&self, prefix: &str, since: ObjectVersion) -> Result<WatchResponse, StoreError> {
        if since < self.expired_version {
            return Err(StoreError::Expired);
        }
        let mut response = WatchResponse {
            revision: self.version,
            events: Vec::new(),
        };
        let first = self.events.partition_point(|event| event.version <= since);
        for event in self.events.range(first..) {
            if !event.key.starts_with(prefix) {
                continue;
            }
            if response.events.len() == MAX_EVENTS_PER_RESPONSE {
                response.revision = response.events.last().map_or(since, |last| last.version);
                break;
            }
            response.events.push(event.clone());
        }
        Ok(response)
    }

    /// Returns [`StoreError::Mismatch`] if the precondition of a write is not met.
    fn check_precondition(&self, key: &str, precondition: Precondition) -> Result<(), StoreError> {
        let current = self.objects.get(key).map(|(version, _)| *version);
        let is_met = match precondition {
            Precondition::None => true,
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if is_met {
            Ok(())
        } else {
            Err(StoreError::Mismatch)
        }
    }

    /// Records a change and returns its version.
    fn push_event(&mut self, kind: WatchEventKind, key: &str) -> ObjectVersion {
        self.version += 1;
        if self.events.len() == MAX_EVENTS
            && let Some(oldest) = self.events.pop_front()
        {
            self.expired_version = oldest.version;
        }
        let event = WatchEvent {
            kind,
            key: key.to_owned(),
            version: self.version,
        };
        self.events.push_back(event);
        self.version
    }
}
