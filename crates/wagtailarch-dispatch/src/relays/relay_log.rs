//! Log of the objects of a kind, from which a relay serves other instances.

use std::collections::VecDeque;

use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_types::ObjectVersion;

use crate::StoreRead;

/// Maximum size of the objects in a response of a relay.
///
/// If sixty instances fetched a larger one at the same time, it would fill the 20 Mbit/s link of a
/// small machine for more than a second.
pub const MAX_RELAYED_BYTES: usize = 64 * 1024;
/// Number of changes that are kept; an instance that needs older ones receives all objects.
const MAX_CHANGES: usize = 512;

/// The objects of a kind and their latest changes, as this instance read them.
///
/// An instance also records what it reads from a relay, so that its log is complete when it becomes
/// a relay itself.
#[derive(Debug, Clone)]
pub struct RelayLog<T> {
    /// All objects at the version of `read`; empty without a read.
    objects: IndexMap<SmolStr, T>,
    /// Changes after `history_start` up to the version of `read`, each with the store version that
    /// a reader reaches with it.
    changes: VecDeque<(ObjectVersion, RelayChange<T>)>,
    /// Total size of `changes`, at most [`MAX_RELAYED_BYTES`].
    changes_bytes: usize,
    /// Version after which all changes are kept.
    history_start: ObjectVersion,
    /// Newest read that the log includes; absent until all objects have been listed.
    read: Option<StoreRead>,
    /// Whether `read` may be relayed: the store itself was read, and it is available.
    reads_store: bool,
}

/// Source of the objects of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogSource {
    /// The store.
    Store,
    /// Another instance, which read them from the store.
    Relay,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayChange<T> {
    /// Name of the object.
    pub name: SmolStr,
    /// The object after the change, or before its deletion.
    pub object: T,
    /// Whether the object was deleted.
    pub deleted: bool,
    /// Size of the object.
    pub size_bytes: usize,
}

/// The updates that another instance needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayView<T> {
    /// The updates are unknown: this instance does not read from the store, or the store is
    /// unavailable.
    Unknown,
    /// There are no updates up to the version of the newest read, which may be below that of the
    /// instance.
    Unchanged(StoreRead),
    /// All objects.
    All(StoreRead, Vec<(SmolStr, T)>),
    /// The changes up to the version of the newest read.
    Changes(StoreRead, Vec<RelayChange<T>>),
}

impl<T> Default for RelayLog<T> {
    fn default() -> Self {
        Self {
            objects: IndexMap::new(),
            changes: VecDeque::new(),
            changes_bytes: 0,
            history_start: 0,
            read: None,
            reads_store: false,
        }
    }
}

impl<T: Clone> RelayLog<T> {
    /// Replaces all objects by a complete list.
    pub fn on_list(&mut self, source: LogSource, read: StoreRead, objects: Vec<(SmolStr, T)>) {
        *self = Self {
            objects: objects.into_iter().collect(),
            history_start: read.version,
            read: Some(read),
            reads_store: source == LogSource::Store,
            ..Self::default()
        };
    }

    /// Applies all changes after the version `after` up to that of `read`; returns whether the log
    /// is complete.
    ///
    /// A log that ends at another version lacks changes. It is dropped, and the objects have to be
    /// listed.
    #[must_use]
    pub fn on_changes(
        &mut self,
        source: LogSource,
        after: ObjectVersion,
        read: StoreRead,
        changes: Vec<RelayChange<T>>,
    ) -> bool {
        if self.read.is_none_or(|last| last.version != after) {
            *self = Self::default();
            return false;
        }
        for change in changes {
            match change.deleted {
                true => self.objects.shift_remove(&change.name),
                false => self
                    .objects
                    .insert(change.name.clone(), change.object.clone()),
            };
            self.changes_bytes += change.size_bytes;
            self.changes.push_back((read.version, change));
        }
        while self.changes.len() > MAX_CHANGES || self.changes_bytes > MAX_RELAYED_BYTES {
            let Some((change_version, change)) = self.changes.pop_front() else {
                break;
            };
            self.changes_bytes -= change.size_bytes;
            self.history_start = change_version;
        }
        self.read = Some(read);
        self.reads_store = source == LogSource::Store;
        true
    }

    /// Records that the store is unavailable, or that updates come from another instance instead.
    pub fn on_store_lost(&mut self) {
        self.reads_store = false;
    }

    /// Returns the updates for an instance that has all objects up to `known_version`.
    pub fn view(&self, known_version: Option<ObjectVersion>) -> RelayView<T> {
        let Some(read) = self.read.filter(|_| self.reads_store) else {
            return RelayView::Unknown;
        };
        let Some(known_version) =
            known_version.filter(|known_version| *known_version >= self.history_start)
        else {
            let objects = self.objects.iter();
            let objects = objects.map(|(name, object)| (name.clone(), object.clone()));
            return RelayView::All(read, objects.collect());
        };
        let newer = self
            .changes
            .iter()
            .filter(|(change_version, _)| *change_version > known_version);
        let newer: Vec<_> = newer.map(|(_, change)| change.clone()).collect();
        match newer.is_empty() {
            true => RelayView::Unchanged(read),
            false => RelayView::Changes(read, newer),
        }
    }
}
