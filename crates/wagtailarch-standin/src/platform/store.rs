//! The objects of the stand-in platform, in memory.

use std::collections::{BTreeMap, VecDeque};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use displaydoc::Display;
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::platform::{
    ListItem, ListResponse, MAX_VALUE_BYTES, WatchEvent, WatchEventKind, WatchResponse,
};

/// Changes kept for watches; an older `since` has expired.
const MAX_EVENTS: usize = 10_000;
/// Changes in one answer.
const MAX_EVENTS_PER_ANSWER: usize = 1000;
/// Objects kept at once.
const MAX_OBJECTS: usize = 1_000_000;
/// Items of one list answer.
const MAX_LIST_ITEMS: usize = 1000;
/// Bytes of values in one list answer.
const MAX_LIST_BYTES: usize = 4 << 20;

/// What a write expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Anything.
    None,
    /// No object.
    Absent,
    /// This version.
    Version(ObjectVersion),
}

/// Why a call failed.
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
    objects: BTreeMap<String, (ObjectVersion, Bytes)>,
    revision: ObjectVersion,
    /// Latest changes, at most [`MAX_EVENTS`], in the order of their versions.
    events: VecDeque<WatchEvent>,
    /// Version of the newest change that is no longer in `events`.
    expired: ObjectVersion,
}

impl Store {
    /// Returns the version of the newest change.
    pub fn revision(&self) -> ObjectVersion {
        self.revision
    }

    /// Returns an object.
    pub fn get(&self, key: &str) -> Option<(ObjectVersion, Bytes)> {
        self.objects.get(key).cloned()
    }

    /// Writes an object and returns its new version.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<ObjectVersion, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        self.check(key, condition)?;
        if self.objects.len() >= MAX_OBJECTS && !self.objects.contains_key(key) {
            return Err(StoreError::Full);
        }
        let version = self.push_event(WatchEventKind::Put, key);
        self.objects.insert(key.to_owned(), (version, value));
        Ok(version)
    }

    /// Deletes an object.
    pub fn delete(&mut self, key: &str, condition: Condition) -> Result<(), StoreError> {
        if !self.objects.contains_key(key) {
            return Err(StoreError::NotFound);
        }
        self.check(key, condition)?;
        self.objects.remove(key);
        self.push_event(WatchEventKind::Delete, key);
        Ok(())
    }

    /// Lists objects with `prefix` after the key `after`.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> ListResponse {
        let mut answer = ListResponse {
            revision: self.revision,
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
            let full = answer.items.len() == limit || bytes > MAX_LIST_BYTES;
            if full && !answer.items.is_empty() {
                answer.next = answer.items.last().map(|item: &ListItem| item.key.clone());
                break;
            }
            let value_base64 = STANDARD.encode(value);
            answer.items.push(ListItem {
                key: key.clone(),
                version: *version,
                value_base64,
            });
        }
        answer
    }

    /// Returns the changes of keys with `prefix` after version `since`.
    pub fn changes(&self, prefix: &str, since: ObjectVersion) -> Result<WatchResponse, StoreError> {
        if since < self.expired {
            return Err(StoreError::Expired);
        }
        let mut answer = WatchResponse {
            revision: self.revision,
            events: Vec::new(),
        };
        let from = self.events.partition_point(|event| event.version <= since);
        for event in self.events.range(from..) {
            if !event.key.starts_with(prefix) {
                continue;
            }
            if answer.events.len() == MAX_EVENTS_PER_ANSWER {
                answer.revision = answer.events.last().map_or(since, |last| last.version);
                break;
            }
            answer.events.push(event.clone());
        }
        Ok(answer)
    }

    fn check(&self, key: &str, condition: Condition) -> Result<(), StoreError> {
        let found = self.objects.get(key).map(|(version, _)| *version);
        let holds = match condition {
            Condition::None => true,
            Condition::Absent => found.is_none(),
            Condition::Version(version) => found == Some(version),
        };
        if holds {
            Ok(())
        } else {
            Err(StoreError::Mismatch)
        }
    }

    fn push_event(&mut self, kind: WatchEventKind, key: &str) -> ObjectVersion {
        self.revision += 1;
        if self.events.len() == MAX_EVENTS
            && let Some(oldest) = self.events.pop_front()
        {
            self.expired = oldest.version;
        }
        let event = WatchEvent {
            kind,
            key: key.to_owned(),
            version: self.revision,
        };
        self.events.push_back(event);
        self.revision
    }
}
